package replicaset

// An open group serves until a member is lost, shuts down or becomes slow.
// Missing reports alone do not prove a loss.

import (
	"slices"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

func (f *Formation) advanceOpen(g *roster.Group) {
	head := f.byID[g.Head()]
	if head == nil {
		f.startLeaving(g, "the head is no longer known")
		return
	}
	switch memberState(head, g) {
	case roster.MemberBroken:
		f.markEnded(g, "the head reports the group as broken")
		return
	case roster.MemberNone:
		f.startLeaving(g, "the head is no longer in the group")
		return
	}
	if reason := f.brokenReason(g); reason != "" {
		f.startLeaving(g, reason)
		return
	}
	f.updateSlow(g)
	for _, id := range g.Members {
		if f.byID[id].Draining {
			f.setPhase(g, roster.PhaseClosing, "member "+string(id)+" is shutting down")
			f.advanceClosing(g)
			return
		}
	}
}

// updateSlow publishes to entries whether a group has a slow member.
func (f *Formation) updateSlow(g *roster.Group) {
	slow := slices.ContainsFunc(g.Members, func(id ident.Incarnation) bool { return f.snapshot.Slowdowns[id] >= SlowdownLimit })
	if slow == g.Slow {
		return
	}
	g.Slow = slow
	f.Roster.PutGroup(g)
	if slow {
		f.RecordDecision(g, "slow", "a member reports that it is slow")
		return
	}
	f.RecordDecision(g, "as usual", "no member is slow")
}

// brokenReason returns why an open group cannot serve any more, or "". Missing reports alone are no reason, since a member that control
// does not reach may still serve.
func (f *Formation) brokenReason(g *roster.Group) string {
	reportMissed, unreachable := false, false
	for _, id := range g.Members {
		u := f.byID[id]
		if u == nil {
			return "member " + string(id) + " is no longer known"
		}
		if s := memberState(u, g); s == roster.MemberNone && u.Member.Epoch > g.Epoch {
			return "member " + string(id) + " is in another group"
		}
		if f.isCutOff(g, id) {
			continue
		}
		reportMissed = reportMissed || f.hasMissedReport(id)
		unreachable = unreachable || f.snapshot.Unreachable[id]
	}
	return f.stallReason(g, reportMissed, unreachable)
}

// hasMissedReport reports whether the next report of an upstream is overdue. An upstream that has not reported to a new leader may have
// reported to its predecessor.
func (f *Formation) hasMissedReport(id ident.Incarnation) bool {
	since := f.snapshot.ReportAges[id]
	if !f.hasReported(id) {
		since = f.snapshot.Now.Sub(f.startedAt)
	}
	return since >= missedReportAge
}

// isCutOff reports whether a member works but is cut off from control: the group has answered entries long after the member's last
// report.
func (f *Formation) isCutOff(g *roster.Group, id ident.Incarnation) bool {
	return f.snapshot.ReportAges[id]-f.snapshot.Observations[g.Name].SinceLastResponse >= cutOffAge
}

// stallReason returns why the group has to be dissolved by the observations of entries, or "". The fewer members report and accept
// connections, the shorter is the stall that suffices.
func (f *Formation) stallReason(g *roster.Group, reportMissed, unreachable bool) string {
	observation := f.snapshot.Observations[g.Name]
	switch {
	case observation.BlamedMember != "" && slices.ContainsFunc(g.Members, func(id ident.Incarnation) bool { return id.UpstreamID() == observation.BlamedMember }):
		return "the head blames a failure on member " + observation.BlamedMember
	case unreachable && (observation.StallConfirmed || observation.StalledFor >= stallTimeoutUnreachable):
		return "stalled, and a member accepts no connections"
	case reportMissed && observation.StalledFor >= stallTimeoutMissedReport:
		return "stalled, and a member missed a report"
	case observation.StalledFor >= stallTimeout:
		f.stalledHeads[g.Head()] = true
		return "stalled"
	case observation.ConnectionRefused && f.snapshot.ReportAges[g.Head()] >= missedReportAge:
		return "the head refuses connections of entries"
	}
	return ""
}
