package replicaset

// A group ends in one of three ways: its head has finished and left, its head
// is gone or broken, or nobody reaches its head and the others have left. What
// is told apart here is whether a member is certainly free for another group.

import (
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

func (f *Formation) advanceClosing(g *roster.Group) {
	head := f.byID[g.Head()]
	if head == nil || f.outcome(g, head.ID, ActionClose) == OutcomeConnectionRefused {
		f.leave(g, "the head takes no connections, or is not known any more")
		return
	}
	switch in(head, g) {
	case roster.MemberReady:
		// An order to open it that was taken for lost may still come; a head that has left refuses it.
		f.leave(g, "has finished its work")
		return
	case roster.MemberBroken:
		f.drop(g, "the head says that the group is broken")
		return
	case roster.MemberNone:
		f.headLeft(g, "has finished its work")
		return
	case roster.MemberJoining:
		// Only an order to join that was carried out late puts it back, and one to open it may follow.
		f.leave(g, "the head joins it again")
		return
	}
	if f.world.Unreachable[head.ID] && f.world.Observations[g.Name].SinceLastResponse >= stallAlone {
		// Entries send nothing there any more, so nothing else tells; one that still answers them is only cut off from here.
		f.leave(g, "the head takes no connections")
		return
	}
	if why := f.broken(g); why != "" || f.world.Now.Sub(g.Since) > f.closeLimit(g) {
		if why == "" {
			why = "did not finish in time"
		}
		f.leave(g, why)
		return
	}
	f.order(g, g.Head(), ActionClose)
}

// leave begins to take g apart.
func (f *Formation) leave(g *roster.Group, why string) {
	f.phase(g, roster.PhaseLeaving, why)
	f.advanceLeaving(g)
}

func (f *Formation) advanceLeaving(g *roster.Group) {
	if f.headless[g.Name] {
		if f.membersLeft(g, 0) {
			f.loseHead(g, "its members have left")
		}
		return
	}
	head := f.byID[g.Head()]
	if head == nil {
		// One that signed off and is cut off from here may still serve; who has left it is free all the same.
		if f.membersLeft(g, 1) {
			f.loseHead(g, "the head is not known any more, the others have left")
		}
		return
	}
	if f.hasLeft(head, g.Epoch) {
		f.headLeft(g, "the head has left: "+string(f.outcome(g, head.ID, ActionLeave)))
		return
	}
	if f.world.ReportAges[head.ID] >= deadAfter && f.world.Observations[g.Name].SinceLastResponse >= deadAfter {
		f.lose(g, "the head is silent to everyone")
		return
	}
	// A refused connection is no word of the head: what is between may refuse, while entries reach it and it serves.
	away := f.world.Unreachable[head.ID] || f.outcome(g, head.ID, ActionLeave) == OutcomeConnectionRefused
	if away && f.membersLeft(g, 1) {
		f.loseHead(g, "the head takes no connections, the others have left")
		return
	}
	f.order(g, head.ID, ActionLeave)
}

// headLeft forgets g, whose head has left it by its own word, once its members are free.
func (f *Formation) headLeft(g *roster.Group, why string) {
	if !f.mayReopen(g) {
		f.drop(g, why)
		return
	}
	if !f.membersLeft(g, 1) {
		return
	}
	// Late orders may open it again only if one to join and one to open are on their way to the head.
	reopens := earlier(f.lateUntil(g, g.Head(), ActionJoin), f.lateUntil(g, g.Head(), ActionOpen))
	f.bind(g.Head(), reopens)
	for _, id := range g.Members[1:] {
		f.bind(id, earlier(reopens, f.lateUntil(g, id, ActionJoin)))
	}
	f.lose(g, why+", the others too")
}

// loseHead forgets g, whose head may serve on; the others have left it, but late orders may put them back.
func (f *Formation) loseHead(g *roster.Group, why string) {
	for _, id := range g.Members {
		f.bind(id, f.lateUntil(g, id, ActionJoin))
	}
	f.lose(g, why)
}

// bind keeps an upstream out of other groups until a time, also under this leader's successors, who know of no single order.
func (f *Formation) bind(id ident.Incarnation, until time.Time) {
	if until.After(f.world.Now) && until.After(f.bound[id]) {
		f.bound[id] = until
		f.Roster.SetBound(id, true)
	}
}

// release ends what bind began.
func (f *Formation) release() {
	for id, until := range f.bound {
		if f.byID[id] == nil || f.world.Now.After(until) {
			delete(f.bound, id)
			f.Roster.SetBound(id, false)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// mayReopen reports whether the head may join and open g again by orders that are carried out late: those of an earlier
// leader, or without a known outcome. Its members are then free only after they have left it themselves.
func (f *Formation) mayReopen(g *roster.Group) bool {
	for _, action := range []Action{ActionJoin, ActionOpen} {
		o := f.orders[orderKey{g.Head(), action, g.Epoch}]
		if o == nil {
			if action == ActionJoin {
				return true
			}
			continue
		}
		if unsure, _ := o.unsure(); unsure {
			return true
		}
	}
	return false
}

// membersLeft takes the members from an index on out of a group whose head does not answer, and reports whether none is left in it. A
// member that has left belongs to no group, whatever its old head does.
func (f *Formation) membersLeft(g *roster.Group, from int) bool {
	left := true
	for _, id := range g.Members[from:] {
		u := f.byID[id]
		if u == nil || f.world.Unreachable[id] {
			continue
		}
		if in(u, g) == roster.MemberNone && f.world.ReportAges[id] < missedReport || f.hasLeft(u, g.Epoch) {
			continue
		}
		left = false
		f.order(g, id, ActionLeave)
	}
	return left
}

// hasLeft reports whether u has left the group of that epoch. A report that is newer than its answer and still names the
// group comes from an order to join that was carried out late.
func (f *Formation) hasLeft(u *roster.Upstream, epoch ident.Epoch) bool {
	o := f.orders[orderKey{u.ID, ActionLeave, epoch}]
	if o == nil || o.waiting || !settled(o.outcome) {
		return false
	}
	return u.Member.Epoch != epoch || f.world.ReportAges[u.ID] >= f.world.Now.Sub(o.answered)
}

// settled reports whether an order to leave that came to this outcome is certainly carried out, by the word of who listens there.
func settled(o Outcome) bool {
	return o == OutcomeAccepted || o == OutcomeRefused || o == OutcomeWrongIncarnation
}

// drop forgets a group that is certainly over.
func (f *Formation) drop(g *roster.Group, why string) {
	f.over[g.Name] = f.world.Now
	f.remove(g, why)
}

// lose forgets a group whose head may still be there: whoever reports it again has to leave it.
func (f *Formation) lose(g *roster.Group, why string) {
	f.lost[g.Name] = f.world.Now
	f.remove(g, why)
}

func (f *Formation) remove(g *roster.Group, why string) {
	delete(f.headless, g.Name)
	delete(f.homing, g.Name)
	f.Roster.DropGroup(g.Name)
	f.RecordDecision(g, "dropped", why)
}

// closeLimit is how long g may finish its work.
func (f *Formation) closeLimit(g *roster.Group) time.Duration {
	if _, ok := f.homing[g.Name]; ok {
		return homeLimit
	}
	return closeLimit
}
