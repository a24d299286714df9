package fleet

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

// Kind is the type of a command; it determines which field of Command holds the content.
type Kind uint8

// The kinds of commands: KindCreateGroup to KindSetLimits are operators' changes, the others are issued by the leader.
const (
	KindCreateGroup Kind = iota + 1
	KindChangeGroup
	KindDeleteGroup
	KindLabelVM
	KindDrainVM
	KindSetLimits
	KindRegisterVMs
	KindSetListings
	KindAssign
	KindDrainGroup
	KindConfirm
	KindBreakGroup
)

// Command is one entry of the replicated log; Kind determines which of the fields from Spec on are set.
type Command struct {
	Kind Kind `cbor:"1,keyasint"`
	// Change, By and At (Unix time in milliseconds) are set for an operator's change.
	Change ident.Change `cbor:"2,keyasint,omitempty"`
	By     string       `cbor:"3,keyasint,omitempty"`
	At     int64        `cbor:"4,keyasint,omitempty"`
	// IfRevision makes the change fail if the object was changed after this revision; zero disables the check.
	IfRevision ident.Revision `cbor:"5,keyasint,omitempty"`

	Spec          *GroupSpec     `cbor:"6,keyasint,omitempty"`
	Group         ident.Group    `cbor:"7,keyasint,omitempty"`
	Label         *LabelChange   `cbor:"8,keyasint,omitempty"`
	Limits        *LimitChange   `cbor:"9,keyasint,omitempty"`
	VMs           []VM           `cbor:"10,keyasint,omitempty"`
	Listings      []VMListing    `cbor:"11,keyasint,omitempty"`
	Assign        *Assignment    `cbor:"12,keyasint,omitempty"`
	Confirmations []Confirmation `cbor:"13,keyasint,omitempty"`
}

// LabelChange sets and removes labels of one VM (KindLabelVM) or sets whether the VM is drained (KindDrainVM).
type LabelChange struct {
	VM     ident.VM          `cbor:"1,keyasint"`
	Set    map[string]string `cbor:"2,keyasint,omitempty"`
	Remove []string          `cbor:"3,keyasint,omitempty"`
	Drain  bool              `cbor:"4,keyasint,omitempty"`
}

// LimitChange replaces the limits of one customer.
type LimitChange struct {
	Customer ident.Customer `cbor:"1,keyasint"`
	Limits   CustomerLimits `cbor:"2,keyasint"`
}

// VMListing is a new listing of one VM.
type VMListing struct {
	VM      ident.VM `cbor:"1,keyasint"`
	Listing Listing  `cbor:"2,keyasint"`
}

// Assignment starts a new epoch of Group with Members in rank order; without members the group returns to pending. The command is refused if
// the group's epoch is no longer Base. KindDrainGroup and KindBreakGroup use only Group and Base.
type Assignment struct {
	Group     ident.Group `cbor:"1,keyasint"`
	BaseEpoch ident.Epoch `cbor:"2,keyasint"`
	Members   []ident.VM  `cbor:"3,keyasint,omitempty"`
	Reason    string      `cbor:"4,keyasint,omitempty"`
}

// Confirmation records that an engine joined Epoch as Incarnation or, if Left is set, that it left.
type Confirmation struct {
	VM          ident.VM          `cbor:"1,keyasint"`
	Epoch       ident.Epoch       `cbor:"2,keyasint"`
	Incarnation ident.Incarnation `cbor:"3,keyasint,omitempty"`
	Left        bool              `cbor:"4,keyasint,omitempty"`
}

// Answer is the result of a command, the same on every member and for every resend.
type Answer struct {
	Revision ident.Revision `cbor:"1,keyasint" json:"revision"`
	Code     result.Code    `cbor:"2,keyasint,omitempty" json:"code,omitempty"`
	Text     string         `cbor:"3,keyasint,omitempty" json:"text,omitempty"`
}

// Err returns the refusal as an error, or nil if the command was accepted.
func (a Answer) Err() error {
	if a.Code == result.OK {
		return nil
	}
	return result.New(a.Code, "%s", a.Text)
}

var encoding = mustEncoding()

// mustEncoding returns the deterministic encoding mode: sorted keys and shortest numbers.
func mustEncoding() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns c as a log entry, in deterministic encoding.
func Encode(c *Command) ([]byte, error) {
	return encoding.Marshal(c)
}

// Decode reads a command that Encode wrote.
func Decode(data []byte) (*Command, error) {
	c := &Command{}
	if err := cbor.Unmarshal(data, c); err != nil {
		return nil, result.Wrap(err, result.ChangeInvalid, "fleet command cannot be decoded")
	}
	return c, nil
}

// digest distinguishes a resend from another change with the same id. Time and IfRevision are left out: a client that reads the object
// again before a resend sees its own change, so its IfRevision differs.
func (c *Command) digest() uint64 {
	normalized := *c
	normalized.At, normalized.IfRevision = 0, 0
	data, err := encoding.Marshal(&normalized)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// Summary returns a short description of an operator's change, for the history and the log.
func (c *Command) Summary() string {
	switch c.Kind {
	case KindCreateGroup:
		return fmt.Sprintf("create group %s", c.Spec.Name)
	case KindChangeGroup:
		return fmt.Sprintf("change group %s", c.Spec.Name)
	case KindDeleteGroup:
		return fmt.Sprintf("delete group %s", c.Group)
	case KindLabelVM:
		return fmt.Sprintf("label vm %s%s", c.Label.VM, c.Label.describe())
	case KindDrainVM:
		return fmt.Sprintf("drain vm %s: %t", c.Label.VM, c.Label.Drain)
	case KindSetLimits:
		return fmt.Sprintf("limits of %s", c.Limits.Customer)
	}
	return fmt.Sprintf("command %d", c.Kind)
}

func (l *LabelChange) describe() string {
	var b strings.Builder
	for _, key := range sortedKeys(l.Set) {
		fmt.Fprintf(&b, " %s=%s", key, l.Set[key])
	}
	for _, key := range l.Remove {
		fmt.Fprintf(&b, " -%s", key)
	}
	return b.String()
}
