package replicaset

// A group ends in one of three ways: its head has finished and left, its head
// is gone or has broken the group, or its head is unreachable and the other
// members have left. The functions below determine which members are certainly
// free for another group.

import (
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

func (f *Formation) advanceClosing(g *roster.Group) {
	head := f.byID[g.Head()]
	if head == nil || f.outcome(g, head.ID, ActionClose) == OutcomeConnectionRefused {
		f.startLeaving(g, "the head accepts no connections, or is no longer known")
		return
	}
	switch memberState(head, g) {
	case roster.MemberReady:
		// An order to open the group without a known outcome may still arrive; a head that has left refuses it.
		f.startLeaving(g, "has finished its requests")
		return
	case roster.MemberBroken:
		f.markEnded(g, "the head reports the group as broken")
		return
	case roster.MemberNone:
		f.endAfterHeadLeft(g, "has finished its requests")
		return
	case roster.MemberJoining:
		// Only an order to join that was carried out late causes this; an order to open may follow.
		f.startLeaving(g, "the head is joining the group again")
		return
	}
	if f.snapshot.Unreachable[head.ID] && f.snapshot.Observations[g.Name].SinceLastResponse >= stallTimeout {
		// Entries send no requests to a closing group, so no stall would show. A head that still answers entries is only cut off from
		// control.
		f.startLeaving(g, "the head accepts no connections")
		return
	}
	if reason := f.brokenReason(g); reason != "" || f.snapshot.Now.Sub(g.Since) > f.closeTimeoutFor(g) {
		if reason == "" {
			reason = "did not finish its requests in time"
		}
		f.startLeaving(g, reason)
		return
	}
	f.sendOrder(g, g.Head(), ActionClose)
}

// startLeaving starts dissolving g.
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
		// A head that signed off and is cut off from control may still serve. Members that have left the group are free nevertheless.
		if f.leaveMembers(g, 1) {
			f.loseAfterMembersLeft(g, "the head is no longer known, the other members have left")
		}
		return
	}
	if f.hasLeft(head, g.Epoch) {
		f.endAfterHeadLeft(g, "the head has left, its order to leave: "+string(f.outcome(g, head.ID, ActionLeave)))
		return
	}
	if f.snapshot.ReportAges[head.ID] >= deadTimeout && f.snapshot.Observations[g.Name].SinceLastResponse >= deadTimeout {
		f.markLost(g, "the head answers neither control nor entries")
		return
	}
	// A refused connection does not prove that the head has ended: a device on the path may refuse it while the head serves entries.
	unreachable := f.snapshot.Unreachable[head.ID] || f.outcome(g, head.ID, ActionLeave) == OutcomeConnectionRefused
	if unreachable && f.leaveMembers(g, 1) {
		f.loseAfterMembersLeft(g, "the head accepts no connections, the other members have left")
		return
	}
	f.sendOrder(g, head.ID, ActionLeave)
}

// endAfterHeadLeft removes g, whose head has confirmed that it left, once the other members are free.
func (f *Formation) endAfterHeadLeft(g *roster.Group, reason string) {
	if !f.mayReopen(g) {
		f.markEnded(g, reason)
		return
	}
	if !f.leaveMembers(g, 1) {
		return
	}
	// Late orders can open the group again only if both an order to join and an order to open may still arrive at the head.
	reopenUntil := earlier(f.lateUntil(g, g.Head(), ActionJoin), f.lateUntil(g, g.Head(), ActionOpen))
	f.bind(g.Head(), reopenUntil)
	for _, id := range g.Members[1:] {
		f.bind(id, earlier(reopenUntil, f.lateUntil(g, id, ActionJoin)))
	}
	f.markLost(g, reason+", and so have the other members")
}

// loseAfterMembersLeft removes g, whose head may still serve. The other members have left, but late orders may make them join again.
func (f *Formation) loseAfterMembersLeft(g *roster.Group, reason string) {
	for _, id := range g.Members {
		f.bind(id, f.lateUntil(g, id, ActionJoin))
	}
	f.markLost(g, reason)
}

// bind keeps an upstream out of other groups until a time. The roster passes the mark on to later leaders, which do not know the single
// orders.
func (f *Formation) bind(id ident.Incarnation, until time.Time) {
	if until.After(f.snapshot.Now) && until.After(f.boundUntil[id]) {
		f.boundUntil[id] = until
		f.Roster.SetBound(id, true)
	}
}

// releaseBound releases bound upstreams whose time is over.
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

// mayReopen reports whether the head may join and open g again because of orders that are carried out late: those of an earlier leader,
// or those without a known outcome. The other members are then free only after they have left the group themselves.
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

// leaveMembers orders the members from an index on to leave a group, and reports whether all of them have left or are gone. A member that
// has left belongs to no group, whatever its former head does.
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

// hasLeft reports whether u has left the group of that epoch. A report that still names the group and is newer than the answer to the
// order to leave means that an order to join was carried out late.
func (f *Formation) hasLeft(u *roster.Upstream, epoch ident.Epoch) bool {
	o := f.orders[orderKey{u.ID, ActionLeave, epoch}]
	if o == nil || o.pending || !leaveConfirmed(o.outcome) {
		return false
	}
	return u.Member.Epoch != epoch || f.snapshot.ReportAges[u.ID] >= f.snapshot.Now.Sub(o.answeredAt)
}

// leaveConfirmed reports whether the outcome of an order to leave is an answer of the engine that proves that the upstream is out of the
// group.
func leaveConfirmed(o Outcome) bool {
	return o == OutcomeAccepted || o == OutcomeRefused || o == OutcomeWrongIncarnation
}

// markEnded removes a group that has certainly ended.
func (f *Formation) markEnded(g *roster.Group, reason string) {
	f.endedGroups[g.Name] = f.snapshot.Now
	f.removeGroup(g, reason)
}

// markLost removes a group whose head may still serve; an upstream that reports the group again is ordered to leave it.
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

// closeTimeoutFor is how long g may take to finish its requests.
func (f *Formation) closeTimeoutFor(g *roster.Group) time.Duration {
	if _, ok := f.replacing[g.Name]; ok && f.snapshot.Observations[g.Name].Pinned == 0 {
		return replaceTimeout
	}
	return closeTimeout
}
