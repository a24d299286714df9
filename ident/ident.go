package ident

import (
	"fmt"
	"regexp"

	"github.com/google/uuid"
)

// VM is the name of a virtual machine in the platform's list.
type VM string

// Group is the name of a serving group.
type Group string

// Daemon is the name of a dunlinquay process in the settings.
type Daemon string

// Customer is the name of a tenant. A request's API key identifies the customer.
type Customer string

// Hall is the name of a data hall, which the platform calls a zone.
type Hall string

// Region is the name of a set of halls that share one replicated log.
type Region string

// Domain is the name of a domain of the accelerators' fabric; groups across domains are slower.
type Domain string

// Model is the name of a model in callers' requests.
type Model string

// Service is the name of a set of interchangeable upstreams, as in the path /services/NAME/ and in routes.
type Service string

// Class is the name of a request class such as "interactive" or "batch".
type Class string

// Request is the id with which one admitted request is sent to upstreams.
type Request string

// Change is the id that an operator's client assigns to a change, so that a resent change is recognized.
type Change string

// Incarnation identifies one run of an upstream, an engine or a daemon; every start has a new one.
type Incarnation string

// Epoch numbers the formations of a group. Its value is the revision that formed the group.
type Epoch uint64

// Revision is the log index of an applied change. Revisions only increase.
type Revision uint64

// Tokens counts language model tokens.
type Tokens int

// PromptPart is the id that a caller gives a part of a prompt, in lower case.
type PromptPart string

// ContentHash is the hash of a request's path and body, which stays the same when a caller sends the request again.
type ContentHash uint64

// String returns c as 16 hex digits.
func (c ContentHash) String() string {
	return fmt.Sprintf("%016x", uint64(c))
}

// Accelerators counts accelerators.
type Accelerators int

// MaxNameLength is the longest accepted name in bytes.
const MaxNameLength = 96

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// ValidName reports whether s has 1 to MaxNameLength bytes, which are lower-case letters, digits, dots, dashes and underscores, and begins
// with a letter or a digit.
func ValidName(s string) bool {
	return len(s) <= MaxNameLength && namePattern.MatchString(s)
}

// NewRequest returns a random request id.
func NewRequest() Request {
	return Request(uuid.NewString())
}

// NewChange returns a random change id.
func NewChange() Change {
	return Change(uuid.NewString())
}

// NewIncarnation returns a random incarnation.
func NewIncarnation() Incarnation {
	return Incarnation(uuid.NewString())
}
