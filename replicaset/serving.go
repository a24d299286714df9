package replicaset

// A group that serves goes on until its head or another member is lost, leaves
// or turns slow; silence alone proves nothing.

import (
	"slices"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

func (f *Formation) advanceOpen(g *roster.Group) {
	head := f.byID[g.Head()]
	if head == nil {
		f.leave(g, "the head has ended")
		return
	}
	switch in(head, g) {
	case roster.MemberBroken:
		f.drop(g, "the head says that the group is broken")
		return
	case roster.MemberNone:
		f.leave(g, "the head is in another group")
		return
	}
	if why := f.broken(g); why != "" {
		f.leave(g, why)
		return
	}
	f.noteSlow(g)
	for _, id := range g.Members {
		if f.byID[id].Draining {
			f.phase(g, roster.PhaseClosing, "member "+string(id)+" is leaving")
			f.advanceClosing(g)
			return
		}
	}
}

// noteSlow lets entries know of a group with a slow member.
func (f *Formation) noteSlow(g *roster.Group) {
	slow := slices.ContainsFunc(g.Members, func(id ident.Incarnation) bool { return f.world.Slowdowns[id] >= SlowdownLimit })
	if slow == g.Slow {
		return
	}
	g.Slow = slow
	f.Roster.PutGroup(g)
	if slow {
		f.RecordDecision(g, "slow", "a member says that it is slow")
		return
	}
	f.RecordDecision(g, "as usual", "no member is slow any more")
}

// broken returns why an open group can't serve any more, or nothing. Silence alone proves nothing: a member that control
// does not reach may serve.
func (f *Formation) broken(g *roster.Group) string {
	missed, dead := false, false
	for _, id := range g.Members {
		u := f.byID[id]
		if u == nil {
			return "member " + string(id) + " has ended"
		}
		if s := in(u, g); s == roster.MemberNone && u.Member.Epoch > g.Epoch {
			return "member " + string(id) + " is in another group"
		}
		if f.cutOff(g, id) {
			continue
		}
		missed = missed || f.world.ReportAges[id] >= missedReport
		dead = dead || f.world.Unreachable[id]
	}
	return f.standsStill(g, missed, dead)
}

// cutOff reports whether a member does not reach control but works: a dead one would have reported before, and the group has
// answered entries since.
func (f *Formation) cutOff(g *roster.Group, id ident.Incarnation) bool {
	return f.world.ReportAges[id]-f.world.Observations[g.Name].SinceLastResponse >= cutAfter
}

// standsStill weighs what entries see of a group, given whether a member missed a report or takes no connections.
func (f *Formation) standsStill(g *roster.Group, missed, dead bool) string {
	sight := f.world.Observations[g.Name]
	switch {
	case sight.BlamedMember != "" && slices.ContainsFunc(g.Members, func(id ident.Incarnation) bool { return id.UpstreamID() == sight.BlamedMember }):
		return "the head blames member " + sight.BlamedMember
	case dead && (sight.StallConfirmed || sight.StalledFor >= stallWithDead):
		return "stands still, and a member takes no connections"
	case missed && sight.StalledFor >= stallWithSilent:
		return "stands still, and a member is silent"
	case sight.StalledFor >= stallAlone:
		f.stood[g.Head()] = true
		return "stands still"
	case sight.ConnectionRefused && f.world.ReportAges[g.Head()] >= missedReport:
		return "the head refuses connections"
	}
	return ""
}
