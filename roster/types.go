package roster

import (
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// MemberState is the state of an engine in its group, as the engine reports it.
type MemberState string

// States of a member; an engine outside any group has none.
const (
	MemberNone    MemberState = ""
	MemberJoining MemberState = "joining"
	MemberReady   MemberState = "ready"
	MemberOpen    MemberState = "open"
	MemberClosing MemberState = "closing"
	MemberBroken  MemberState = "broken"
)

// Membership is an engine's place in a group. Rank 0 is the head.
type Membership struct {
	Group ident.Group
	Epoch ident.Epoch
	Rank  int
	State MemberState
}

// Upstream is one incarnation of a worker, as its reports describe it.
type Upstream struct {
	ID      ident.Incarnation
	Service ident.Service
	// Address is host:port.
	Address string
	Hall    ident.Hall
	Domain  ident.Domain
	Slots   int
	// Draining upstreams get no new requests.
	Draining bool
	// Cold upstreams have just started and get few requests.
	Cold bool
	// Silent upstreams have not reported for longer than SilentAfter.
	Silent bool
	// Loaded holds the models in use, Staged those stored on the host.
	Loaded []ident.Model
	Staged []ident.Model
	// Last is the model of the newest group of this incarnation. The roster keeps it if a report names no model.
	Last   ident.Model
	Member Membership
	// Bound is set by the leader for an upstream that late orders could put back into an ended group. Reports do not
	// change it.
	Bound bool
}

// HasModel reports whether list contains model.
func HasModel(list []ident.Model, model ident.Model) bool {
	for _, m := range list {
		if m == model {
			return true
		}
	}
	return false
}

// Report is what an upstream reports about itself; a higher Sequence is newer.
type Report struct {
	Upstream
	Sequence uint64
	// ColdFor is how much longer the upstream is cold.
	ColdFor time.Duration
}

// Phase is the stage of a group in its life cycle.
type Phase string

// Phases of a group, in order.
const (
	PhaseForming Phase = "forming"
	PhaseOpening Phase = "opening"
	PhaseOpen    Phase = "open"
	// PhaseClosing groups finish their requests and get no new ones.
	PhaseClosing Phase = "closing"
	// PhaseLeaving groups are broken or given up; their head has been ordered to leave.
	PhaseLeaving Phase = "leaving"
)

// Group is one replica. Members lists its head first.
type Group struct {
	Name    ident.Group
	Epoch   ident.Epoch
	Service ident.Service
	Model   ident.Model
	Members []ident.Incarnation
	Phase   Phase
	// Far groups span domains and are slower. Slow groups have a member that reports itself slow.
	Far  bool
	Slow bool
	// WarmUp groups are never opened: they make their only member stage weights.
	WarmUp bool
	// Doubtful groups were formed by orders of which some have an unknown outcome. Such orders can still be carried
	// out, even after a change of leaders.
	Doubtful bool
	// Since is when the phase began, on the leader's clock. It is not sent to others.
	Since time.Time
}

// Head returns the member that serves requests.
func (g *Group) Head() ident.Incarnation {
	return g.Members[0]
}

// Inheritable reports whether a new leader can adopt g from a copy. A group that the copy shows as forming may have
// been opened since, and the members of a group that is to leave may not all be known; reports show both.
func (g *Group) Inheritable() bool {
	return g.Phase == PhaseOpen || g.Phase == PhaseClosing
}

// Revision numbers the changes of a roster within one leader's term.
type Revision uint64

// Delta is what changed after a revision; a Full delta replaces the whole copy.
type Delta struct {
	Full     bool
	Revision Revision
	// Replaces is the bit set of the partitions of the copy that the delta replaces.
	Replaces  uint64
	Upstreams []Upstream
	Groups    []Group
	Gone      []ident.Incarnation
	Dropped   []ident.Group
}

// Empty reports whether applying d changes nothing but the revision.
func (d *Delta) Empty() bool {
	return !d.Full && d.Replaces == 0 && len(d.Upstreams) == 0 && len(d.Groups) == 0 && len(d.Gone) == 0 && len(d.Dropped) == 0
}
