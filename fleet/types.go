package fleet

import (
	"github.com/dunlinquay/dunlinquay/ident"
)

// Listing is whether a VM stays, as reported by the platform, the engine or an operator.
type Listing uint8

// A live VM stays, a leaving one will be removed, a gone one no longer exists.
const (
	ListingLive Listing = iota
	ListingLeaving
	ListingGone
)

// String returns the listing in kebab case.
func (l Listing) String() string {
	return [...]string{"live", "leaving", "gone"}[l]
}

// VMPhase is the progress of a VM's move into or out of a group.
type VMPhase uint8

// The phases of a VM; only a free VM may be assigned to another group.
const (
	VMFree VMPhase = iota
	VMJoining
	VMJoined
	VMLeaving
)

// String returns the phase in kebab case.
func (p VMPhase) String() string {
	return [...]string{"free", "joining", "joined", "leaving"}[p]
}

// GroupPhase is the stage of a group's life cycle.
type GroupPhase uint8

// The phases of a group; only serving groups get requests. A broken group lost a member and
// serves again only in a new epoch, even if the member returns.
const (
	GroupPending GroupPhase = iota
	GroupForming
	GroupServing
	GroupDraining
	GroupBroken
)

// String returns the phase in kebab case.
func (p GroupPhase) String() string {
	return [...]string{"pending", "forming", "serving", "draining", "broken"}[p]
}

// VM is a machine with an engine: its properties, listing and group membership.
type VM struct {
	Name         ident.VM           `cbor:"1,keyasint" json:"name"`
	Address      string             `cbor:"2,keyasint" json:"address"`
	Hall         ident.Hall         `cbor:"3,keyasint" json:"hall"`
	Domain       ident.Domain       `cbor:"4,keyasint" json:"domain"`
	Accelerators ident.Accelerators `cbor:"5,keyasint" json:"accelerators"`
	// Speed is relative to other VMs; a replica is as slow as its slowest member.
	Speed        float64           `cbor:"6,keyasint" json:"speed"`
	ChecksOrders bool              `cbor:"7,keyasint" json:"checks-orders"`
	Labels       map[string]string `cbor:"8,keyasint,omitempty" json:"labels,omitempty"`

	Listing Listing `cbor:"9,keyasint" json:"-"`
	// Drained is set if an operator excluded the VM from groups.
	Drained bool `cbor:"10,keyasint" json:"drained"`

	Group       ident.Group       `cbor:"11,keyasint" json:"group,omitempty"`
	Epoch       ident.Epoch       `cbor:"12,keyasint" json:"epoch,omitempty"`
	Phase       VMPhase           `cbor:"13,keyasint" json:"-"`
	Incarnation ident.Incarnation `cbor:"14,keyasint" json:"incarnation,omitempty"`

	// Changed is the revision of the last change by an operator.
	Changed ident.Revision `cbor:"15,keyasint" json:"changed"`
}

// Eligible reports whether the VM can be a member of any group: live and not drained.
func (v *VM) Eligible() bool {
	return v.Listing == ListingLive && !v.Drained
}

// GroupSpec is an operator's declaration of a group: one replica of Model on Size VMs that meet all requirements of Selector.
type GroupSpec struct {
	Name     ident.Group   `cbor:"1,keyasint" json:"name"`
	Model    ident.Model   `cbor:"2,keyasint" json:"model"`
	Version  string        `cbor:"3,keyasint,omitempty" json:"version,omitempty"`
	Adapters []string      `cbor:"4,keyasint,omitempty" json:"adapters,omitempty"`
	Size     int           `cbor:"5,keyasint" json:"size"`
	Selector []Requirement `cbor:"6,keyasint,omitempty" json:"selector,omitempty"`
	// Priority orders groups that compete for VMs; 0 is the highest priority.
	Priority int `cbor:"7,keyasint" json:"priority"`
	// OneDomain forbids a replica across fabric domains, even if it cannot form in one.
	OneDomain bool `cbor:"8,keyasint" json:"one-domain"`
}

// Group is a declared group and its current formation.
type Group struct {
	Spec GroupSpec `cbor:"1,keyasint" json:"spec"`
	// Generation is the revision of creation; it differs for a group that was deleted and created again.
	Generation ident.Revision `cbor:"2,keyasint" json:"generation"`
	Changed    ident.Revision `cbor:"3,keyasint" json:"changed"`
	Epoch      ident.Epoch    `cbor:"4,keyasint" json:"epoch"`
	Phase      GroupPhase     `cbor:"5,keyasint" json:"-"`
	Members    []ident.VM     `cbor:"6,keyasint,omitempty" json:"members"`
	// NeedsReform is set if the current members no longer fit the spec or must load something else, and the group needs a new epoch.
	NeedsReform bool `cbor:"7,keyasint" json:"reform"`
	Deleted     bool `cbor:"8,keyasint" json:"deleted"`
	// DrainRevision is the revision at which draining started.
	DrainRevision ident.Revision `cbor:"9,keyasint" json:"drained-from,omitempty"`
}

// CustomerLimits bounds one customer over all daemons; zero means unlimited.
type CustomerLimits struct {
	Weight            float64        `cbor:"1,keyasint" json:"weight"`
	Concurrent        int            `cbor:"2,keyasint" json:"concurrent"`
	RequestsPerSecond float64        `cbor:"3,keyasint" json:"requests-per-second"`
	TokensPerSecond   float64        `cbor:"4,keyasint" json:"tokens-per-second"`
	Changed           ident.Revision `cbor:"5,keyasint" json:"changed"`
}

// HistoryEntry is a change by an operator and the answer to the change.
type HistoryEntry struct {
	Change   ident.Change   `cbor:"1,keyasint" json:"change"`
	Revision ident.Revision `cbor:"2,keyasint" json:"revision"`
	Operator string         `cbor:"3,keyasint" json:"by"`
	// At is the proposer's Unix time in milliseconds.
	At      int64  `cbor:"4,keyasint" json:"at"`
	Summary string `cbor:"5,keyasint" json:"what"`
	Digest  uint64 `cbor:"6,keyasint" json:"-"`
	Answer  Answer `cbor:"7,keyasint" json:"answer"`
}
