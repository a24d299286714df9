package ident

import (
	"fmt"
	"regexp"

	"github.com/google/uuid"
)

// VM is the name of one machine as the platform lists it.
type VM string

// Group is the name of one serving group as an operator declares it.
type Group string

// Daemon is the name of one dunlinquay process as the settings declare it.
type Daemon string

// Customer is the name of one tenant, found by the key that a request presents.
type Customer string

// Hall is the name of one zone.
type Hall string

// Region is the name of a set of halls that share one replicated log.
type Region string

// Domain is the name of one fabric domain.
type Domain string

// Model is the name of a model as callers write it in a request.
type Model string

// Service is the name of a plain service as it stands in the /services/ path.
type Service string

// Class is the name of a request class such as "interactive" or "batch".
type Class string

// Request is the id that one admitted request carries to an upstream.
type Request string

// Change is the id that an operator's client gives a change so that a resend is recognised.
type Change string

// Incarnation is the boot id of an engine or a daemon, new at every start.
type Incarnation string

// Epoch numbers the formations of groups; it is the revision that formed the group.
type Epoch uint64

// Revision is the log index of an applied change; it only rises.
type Revision uint64

// Tokens counts language model tokens.
type Tokens int

// Content is the digest of a request's path and body; the same work of one customer has the same content.
type Content uint64

// String returns c as 16 hex digits.
func (c Content) String() string {
	return fmt.Sprintf("%016x", uint64(c))
}

// Accelerators counts accelerators.
type Accelerators int

// MaxNameLength is the longest accepted name in bytes.
const MaxNameLength = 96

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// ValidName reports whether s is a lower-case name of 1 to MaxNameLength bytes made of letters, digits, dots, dashes and underscores.
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

// NewIncarnation returns a random boot id.
func NewIncarnation() Incarnation {
	return Incarnation(uuid.NewString())
}
