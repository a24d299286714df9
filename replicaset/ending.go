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
		f.startLeaving(g, "the head takes no connections, or is not known any more")
		return
	}
	switch memberState(head, g) {
	case roster.MemberReady:
		// An order to open it that was taken for lost may still come; a head that has left refuses it.
		f.startLeaving(g, "has finished its work")
		return
	case roster.MemberBroken:
		f.markEnded(g, "the head says that the group is broken")
		return
	case roster.MemberNone:
		f.endAfterHeadLeft(g, "has finished its work")
		return
	case roster.MemberJoining:
		// Only an order to join that was carried out late puts it back, and one to open it may follow.
		f.startLeaving(g, "the head joins it again")
		return
	}
	if f.snapshot.Unreachable[head.ID] && f.snapshot.Observations[g.Name].SinceLastResponse >= stallTimeout {
		// Entries send nothing there any more, so nothing else tells; one that still answers them is only cut off from here.
		f.startLeaving(g, "the head takes no connections")
		return
	}
	if reason := f.brokenReason(g); reason != "" || f.snapshot.Now.Sub(g.Since) > f.closeTimeoutFor(g) {
		if reason == "" {
			reason = "did not finish in time"
		}
		f.startLeaving(g, reason)
		return
	}
	f.sendOrder(g, g.Head(), ActionClose)
}

// startLeaving begins to take g apart.
func (f *Formation) startLeaving(g *roster.Group, reason string) {
	f.setPhase(g, roster.PhaseLeaving, reason)
	f.advanceLeaving(g)
}

func (f *Formation) advanceLeaving(g *roster.Group) {
	if f.headless[g.Name] {
		if f.leaveMembers(g, 0) {
			f.loseAfterMembersLeft(g, "its members have left")
		}
		return
	}
	head := f.byID[g.Head()]
	if head == nil {
		// One that signed off and is cut off from here may still serve; who has left it is free all the same.
		if f.leaveMembers(g, 1) {
			f.loseAfterMembersLeft(g, "the head is not known any more, the others have left")
		}
		return
	}
	if f.hasLeft(head, g.Epoch) {
		f.endAfterHeadLeft(g, "the head has left: "+string(f.outcome(g, head.ID, ActionLeave)))
		return
	}
	if f.snapshot.ReportAges[head.ID] >= deadTimeout && f.snapshot.Observations[g.Name].SinceLastResponse >= deadTimeout {
		f.markLost(g, "the head is silent to everyone")
		return
	}
	// A refused connection is no word of the head: what is between may refuse, while entries reach it and it serves.
	unreachable := f.snapshot.Unreachable[head.ID] || f.outcome(g, head.ID, ActionLeave) == OutcomeConnectionRefused
	if unreachable && f.leaveMembers(g, 1) {
		f.loseAfterMembersLeft(g, "the head takes no connections, the others have left")
		return
	}
	f.sendOrder(g, head.ID, ActionLeave)
}

// endAfterHeadLeft forgets g, whose head has left it by its own word, once its members are free.
func (f *Formation) endAfterHeadLeft(g *roster.Group, reason string) {
	if !f.mayReopen(g) {
		f.markEnded(g, reason)
		return
	}
	if !f.leaveMembers(g, 1) {
		return
	}
	// Late orders may open it again only if one to join and one to open are on their way to the head.
	reopenUntil := earlier(f.lateUntil(g, g.Head(), ActionJoin), f.lateUntil(g, g.Head(), ActionOpen))
	f.bind(g.Head(), reopenUntil)
	for _, id := range g.Members[1:] {
		f.bind(id, earlier(reopenUntil, f.lateUntil(g, id, ActionJoin)))
	}
	f.markLost(g, reason+", the others too")
}

// loseAfterMembersLeft forgets g, whose head may serve on; the others have left it, but late orders may put them back.
func (f *Formation) loseAfterMembersLeft(g *roster.Group, reason string) {
	for _, id := range g.Members {
		f.bind(id, f.lateUntil(g, id, ActionJoin))
	}
	f.markLost(g, reason)
}

// bind keeps an upstream out of other groups until a time, also under this leader's successors, who know of no single order.
func (f *Formation) bind(id ident.Incarnation, until time.Time) {
	if until.After(f.snapshot.Now) && until.After(f.boundUntil[id]) {
		f.boundUntil[id] = until
		f.Roster.SetBound(id, true)
	}
}

// releaseBound ends what bind began.
func (f *Formation) releaseBound() {
	for id, until := range f.boundUntil {
		if f.byID[id] == nil || f.snapshot.Now.After(until) {
			delete(f.boundUntil, id)
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
		if uncertain, _ := o.uncertain(); uncertain {
			return true
		}
	}
	return false
}

// leaveMembers takes the members from an index on out of a group whose head does not answer, and reports whether none is left in it. A
// member that has left belongs to no group, whatever its old head does.
func (f *Formation) leaveMembers(g *roster.Group, from int) bool {
	allLeft := true
	for _, id := range g.Members[from:] {
		u := f.byID[id]
		if u == nil || f.snapshot.Unreachable[id] {
			continue
		}
		if memberState(u, g) == roster.MemberNone && f.snapshot.ReportAges[id] < missedReportAge || f.hasLeft(u, g.Epoch) {
			continue
		}
		allLeft = false
		f.sendOrder(g, id, ActionLeave)
	}
	return allLeft
}

// hasLeft reports whether u has left the group of that epoch. A report that is newer than its answer and still names the
// group comes from an order to join that was carried out late.
func (f *Formation) hasLeft(u *roster.Upstream, epoch ident.Epoch) bool {
	o := f.orders[orderKey{u.ID, ActionLeave, epoch}]
	if o == nil || o.pending || !leaveConfirmed(o.outcome) {
		return false
	}
	return u.Member.Epoch != epoch || f.snapshot.ReportAges[u.ID] >= f.snapshot.Now.Sub(o.answeredAt)
}

// leaveConfirmed reports whether an order to leave that came to this outcome is certainly carried out, by the word of who listens there.
func leaveConfirmed(o Outcome) bool {
	return o == OutcomeAccepted || o == OutcomeRefused || o == OutcomeWrongIncarnation
}

// markEnded forgets a group that is certainly over.
func (f *Formation) markEnded(g *roster.Group, reason string) {
	f.endedGroups[g.Name] = f.snapshot.Now
	f.removeGroup(g, reason)
}

// markLost forgets a group whose head may still be there: whoever reports it again has to leave it.
func (f *Formation) markLost(g *roster.Group, reason string) {
	f.lostGroups[g.Name] = f.snapshot.Now
	f.removeGroup(g, reason)
}

func (f *Formation) removeGroup(g *roster.Group, reason string) {
	delete(f.headless, g.Name)
	delete(f.replacing, g.Name)
	f.Roster.DropGroup(g.Name)
	f.RecordDecision(g, "dropped", reason)
}

// closeTimeoutFor is how long g may finish its work.
func (f *Formation) closeTimeoutFor(g *roster.Group) time.Duration {
	if _, ok := f.replacing[g.Name]; ok {
		return replaceTimeout
	}
	return closeTimeout
}
