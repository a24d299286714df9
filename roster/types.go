package roster

import (
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// MemberState is what an engine says of its place in a group.
type MemberState string

// The states of a member; an engine outside any group has none.
const (
	MemberNone    MemberState = ""
	MemberJoining MemberState = "joining"
	MemberReady   MemberState = "ready"
	MemberOpen    MemberState = "open"
	MemberClosing MemberState = "closing"
	MemberBroken  MemberState = "broken"
)

// Membership is an engine's place in a group; rank 0 is the head.
type Membership struct {
	Group ident.Group
	Epoch ident.Epoch
	Rank  int
	State MemberState
}

// Upstream is one life of a worker, as its reports describe it.
type Upstream struct {
	ID      ident.Incarnation
	Service ident.Service
	// Address is host:port.
	Address string
	Hall    ident.Hall
	Domain  ident.Domain
	Slots   int
	// Draining upstreams get no new work.
	Draining bool
	// Cold upstreams have started lately and take few requests yet.
	Cold bool
	// Silent upstreams have not reported for longer than SilentAfter.
	Silent bool
	// Loaded are the models in use, Staged those on the host.
	Loaded []ident.Model
	Staged []ident.Model
	// Last is the model of its newest group in this life; the roster keeps it when a report names none.
	Last   ident.Model
	Member Membership
	// Bound is the leader's mark of an upstream that late orders may put back into a group that has ended; reports do not change it.
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

// Report is what an upstream says of itself; a higher Sequence is newer.
type Report struct {
	Upstream
	Sequence uint64
	// ColdFor is how much longer the upstream is cold.
	ColdFor time.Duration
}

// Phase is how far the leader has brought a group.
type Phase string

// The phases of a group, in order.
const (
	PhaseForming Phase = "forming"
	PhaseOpening Phase = "opening"
	PhaseOpen    Phase = "open"
	// PhaseClosing groups finish what they have and get nothing new.
	PhaseClosing Phase = "closing"
	// PhaseLeaving groups are broken or given up; their head has been told to leave.
	PhaseLeaving Phase = "leaving"
)

// Group is one replica: its members, head first, and how far it is.
type Group struct {
	Name    ident.Group
	Epoch   ident.Epoch
	Service ident.Service
	Model   ident.Model
	Members []ident.Incarnation
	Phase   Phase
	// Far groups span domains and are slower, Slow ones have a member that says that it is slow.
	Far  bool
	Slow bool
	// WarmUp groups are never opened: their only member gets weights ready.
	WarmUp bool
	// Doubtful groups were formed by orders some of which had no known outcome: these may be carried out late, also after a change of leaders.
	Doubtful bool
	// Since is when the phase began, on the leader's clock; it is not passed on.
	Since time.Time
}

// Head returns the member that takes requests.
func (g *Group) Head() ident.Incarnation {
	return g.Members[0]
}

// Inheritable reports whether a new leader may start from g as it stands in a copy. Its predecessor may have opened a group
// that the copy shows as forming, and of one that was to be left not every member may be known; reports tell of those.
func (g *Group) Inheritable() bool {
	return g.Phase == PhaseOpen || g.Phase == PhaseClosing
}

// Revision numbers changes of a roster within one leader's term.
type Revision uint64

// Delta is what changed after a revision; a Full delta replaces the copy.
type Delta struct {
	Full     bool
	Revision Revision
	// Replaces are the parts of the copy that the delta replaces, as bits.
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
