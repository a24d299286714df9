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
		f.startLeaving(g, "the head has ended")
		return
	}
	switch memberState(head, g) {
	case roster.MemberBroken:
		f.markEnded(g, "the head says that the group is broken")
		return
	case roster.MemberNone:
		f.startLeaving(g, "the head is in another group")
		return
	}
	if reason := f.brokenReason(g); reason != "" {
		f.startLeaving(g, reason)
		return
	}
	f.updateSlow(g)
	for _, id := range g.Members {
		if f.byID[id].Draining {
			f.setPhase(g, roster.PhaseClosing, "member "+string(id)+" is leaving")
			f.advanceClosing(g)
			return
		}
	}
}

// updateSlow lets entries know of a group with a slow member.
func (f *Formation) updateSlow(g *roster.Group) {
	slow := slices.ContainsFunc(g.Members, func(id ident.Incarnation) bool { return f.snapshot.Slowdowns[id] >= SlowdownLimit })
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

// brokenReason returns why an open group can't serve any more, or nothing. Silence alone proves nothing: a member that control
// does not reach may serve.
func (f *Formation) brokenReason(g *roster.Group) string {
	reportMissed, unreachable := false, false
	for _, id := range g.Members {
		u := f.byID[id]
		if u == nil {
			return "member " + string(id) + " has ended"
		}
		if s := memberState(u, g); s == roster.MemberNone && u.Member.Epoch > g.Epoch {
			return "member " + string(id) + " is in another group"
		}
		if f.isCutOff(g, id) {
			continue
		}
		reportMissed = reportMissed || f.snapshot.ReportAges[id] >= missedReportAge
		unreachable = unreachable || f.snapshot.Unreachable[id]
	}
	return f.stallReason(g, reportMissed, unreachable)
}

// isCutOff reports whether a member does not reach control but works: a dead one would have reported before, and the group has
// answered entries since.
func (f *Formation) isCutOff(g *roster.Group, id ident.Incarnation) bool {
	return f.snapshot.ReportAges[id]-f.snapshot.Observations[g.Name].SinceLastResponse >= cutOffAge
}

// stallReason weighs what entries see of a group, given whether a member missed a report or takes no connections.
func (f *Formation) stallReason(g *roster.Group, reportMissed, unreachable bool) string {
	observation := f.snapshot.Observations[g.Name]
	switch {
	case observation.BlamedMember != "" && slices.ContainsFunc(g.Members, func(id ident.Incarnation) bool { return id.UpstreamID() == observation.BlamedMember }):
		return "the head blames member " + observation.BlamedMember
	case unreachable && (observation.StallConfirmed || observation.StalledFor >= stallTimeoutUnreachable):
		return "stands still, and a member takes no connections"
	case reportMissed && observation.StalledFor >= stallTimeoutMissedReport:
		return "stands still, and a member is silent"
	case observation.StalledFor >= stallTimeout:
		f.stalledHeads[g.Head()] = true
		return "stands still"
	case observation.ConnectionRefused && f.snapshot.ReportAges[g.Head()] >= missedReportAge:
		return "the head refuses connections"
	}
	return ""
}
