package replicaset

// A Formation drives the groups of one service. A new leader can continue without
// its state: the groups are in the roster, and decisions follow from the reports
// of the engines.
//
//	forming -> opening -> open -> closing -> (dropped)
//	    \          \        \-> leaving -> (dropped)
//
// Any order may be lost or carried out many seconds late. Four rules keep a
// member from being in two groups nevertheless:
//
//   - epochs increase over all groups and leaders, and engines refuse lower ones;
//   - a group is opened only after every member has reported to be ready in it;
//   - members of a group that may be open join another one only after the head
//     itself has confirmed that it left or that the group is broken, or after
//     they have left the group themselves; a refused or failed connection
//     confirms nothing;
//   - an upstream that an unanswered order may make join a group again, while
//     the head of that group may be open, joins no other group until the order
//     can no longer be carried out.

import (
	"maps"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	// MaxUnansweredOrders is the number of unanswered orders to join and to stage from which no group, warm-up or load is started: a leader
	// that sends an order to every upstream of a large site at once is late with its heartbeats and loses leadership.
	MaxUnansweredOrders = 128
	// resendAfter is the time after which an unanswered order is sent again; engines answer within milliseconds.
	resendAfter = time.Second
	// orderRetention is how long orders are kept; no order is carried out later than that.
	orderRetention = time.Minute
	// endedRetention is the minimum time that an ended group is kept: an upstream that was cut off may report the group again until the
	// roster drops that upstream. Ended groups are not kept for good, since each takes about 100 bytes.
	endedRetention = 2 * time.Minute
	// maxOrderDelay is how long after sending an unanswered order may be carried out: engines accept orders up to about 12 s late.
	maxOrderDelay = 15 * time.Second
	// repeatAfter is the time after which an accepted order without effect is sent again; engines report each change at once.
	repeatAfter = 3 * time.Second
	// loadTimeoutFactor times the declared load time, plus loadTimeoutSlack, bounds a load: concurrent loads slow each other down.
	loadTimeoutFactor = 3
	loadTimeoutSlack  = 5 * time.Second
	// closeTimeout is how long a closing group may take to finish its requests; an engine that shuts down stays for 10 s at most.
	closeTimeout = 10 * time.Second
	// replaceTimeout is the same for a group that closes for a better one, if all its requests can continue at other groups: the free
	// upstreams of the whole domain wait for it.
	replaceTimeout = 1200 * time.Millisecond
	// stallTimeout is how long a group may be stalled while all its members report.
	stallTimeout = 1500 * time.Millisecond
	// stallTimeoutMissedReport is the same if a member has missed a report.
	stallTimeoutMissedReport = 700 * time.Millisecond
	// missedReportAge is the age of the last report from which the next one counts as missed.
	missedReportAge = 1700 * time.Millisecond
	// stallTimeoutUnreachable is like stallTimeout, if a member accepts no connections.
	stallTimeoutUnreachable = 250 * time.Millisecond
	// cutOffAge is a report interval plus slack. A member whose last report was this old when the group last answered an entry is cut
	// off from control.
	cutOffAge = 1500 * time.Millisecond
	// deadTimeout is how long a head must be silent to control and to all entries before its group has certainly ended: an engine
	// breaks a group that is stalled for 5 s.
	deadTimeout = 6500 * time.Millisecond
	// settledAfter is how long a group must have served before it may be closed for a better one.
	settledAfter = time.Second
	// reportWait is how long a new leader waits for the reports of upstreams that it knows only from a copy: upstreams report every
	// 1.2 s, and a daemon that receives reports may lose one.
	reportWait = 3 * time.Second
	// minReportedFraction of the upstreams must have reported by then. If more are missing than one unreachable domain accounts for,
	// their reports are queued at an overloaded leader, and dissolving groups would increase its load. After maxReportWait the leader
	// waits no longer.
	minReportedFraction = 0.75
	maxReportWait       = 10 * time.Second
	// stageRetryAfter is how long an upstream that did not accept an order to stage gets no other one.
	stageRetryAfter = 2 * time.Second
	// loadBurst is how many loads may start at once, regardless of the weight store's rate.
	loadBurst = 4
	// loadRateFraction is the fraction of the weight store's rate that is used: orders that are carried out late may add loads later.
	loadRateFraction = 0.75
)

// stagingOrder is an order to load weights to a host, which is treated as failed after the deadline.
type stagingOrder struct {
	model    ident.Model
	deadline time.Time
	sentAt   time.Time
	// pending is set until the outcome of the order is known.
	pending bool
}

// Formation manages the groups of one service. Exported fields are set before use; Step and HandleOutcome must not run concurrently.
type Formation struct {
	Service ident.Service
	Roster  *roster.Roster
	// Send sends an order without waiting; the outcome is passed to HandleOutcome.
	Send func(o Order)
	// NextEpoch returns an epoch above all earlier ones, also those of earlier leaders.
	NextEpoch func() ident.Epoch
	// Fence is this leader's fencing token.
	Fence uint64
	// RecordDecision is called with each decision on a group and the reason for it.
	RecordDecision func(g *roster.Group, decision, reason string)
	// BeforeFirstRequest is set until the first request arrives.
	BeforeFirstRequest bool
	// Spares lets lost groups of large models be formed again from their remaining members and members of other groups.
	Spares bool

	// startedAt is the time of the first snapshot.
	startedAt time.Time
	engine    *httproute.Engine
	snapshot  *Snapshot
	byID      map[ident.Incarnation]*roster.Upstream
	orders    map[orderKey]*sentOrder
	// staging holds orders to stage whose weights are not on the host yet.
	staging map[ident.Incarnation]stagingOrder
	// replacing holds groups that are closing for better ones.
	replacing map[ident.Group]Closing
	// stalledHeads holds heads of groups that stalled although all their members reported.
	stalledHeads map[ident.Incarnation]bool
	// lastHeaded holds the model of the last group that an upstream was the head of.
	lastHeaded map[ident.Incarnation]ident.Model
	// headless holds groups whose head has not reported.
	headless map[ident.Group]bool
	// lostGroups holds when groups were removed whose heads may still serve.
	lostGroups map[ident.Group]time.Time
	// endedGroups holds when groups certainly ended; reports may still name them.
	endedGroups map[ident.Group]time.Time
	// boundUntil holds until when late orders may make an upstream join a group again that was removed and may serve again.
	boundUntil map[ident.Incarnation]time.Time
	// loadAllowance is the number of loads that may start, as of allowanceAt; it grows with the weight store's rate.
	loadAllowance float64
	allowanceAt   time.Time
}

// NewFormation returns a formation without groups and orders.
func NewFormation() *Formation {
	return &Formation{
		RecordDecision: func(*roster.Group, string, string) {},
		orders:         map[orderKey]*sentOrder{},
		lostGroups:     map[ident.Group]time.Time{},
		endedGroups:    map[ident.Group]time.Time{},
		boundUntil:     map[ident.Incarnation]time.Time{},
		replacing:      map[ident.Group]Closing{},
		stalledHeads:   map[ident.Incarnation]bool{},
		headless:       map[ident.Group]bool{},
		lastHeaded:     map[ident.Incarnation]ident.Model{},
		staging:        map[ident.Incarnation]stagingOrder{},
		loadAllowance:  loadBurst,
	}
}

// Step advances every group by one step and starts new ones.
func (f *Formation) Step(snapshot *Snapshot, engine *httproute.Engine) {
	f.setSnapshot(snapshot, engine)
	f.pruneUpstreams()
	f.adopt(f.allReported())
	for _, g := range f.groups() {
		f.advance(&g)
	}
	f.startPlanned()
}

// Adopt adds complete groups that engines report to the roster without sending orders, for a leader that may not know all upstreams.
func (f *Formation) Adopt(snapshot *Snapshot, engine *httproute.Engine) {
	f.setSnapshot(snapshot, engine)
	f.adopt(false)
}

// allReported reports whether every upstream has reported to this formation, or the missing ones probably will not. Until then, a group of
// which only some members have reported may be complete and serving, and must not be dissolved.
func (f *Formation) allReported() bool {
	elapsed := f.snapshot.Now.Sub(f.startedAt)
	reported := 0
	for id := range f.byID {
		if f.hasReported(id) {
			reported++
		}
	}
	switch {
	case reported == len(f.byID), elapsed >= maxReportWait:
		return true
	}
	return elapsed >= reportWait && float64(reported) >= minReportedFraction*float64(len(f.byID))
}

// hasReported reports whether an upstream has reported to this formation and is not only known from a copy.
func (f *Formation) hasReported(id ident.Incarnation) bool {
	return f.snapshot.ReportAges[id] < f.snapshot.Now.Sub(f.startedAt)
}

func (f *Formation) setSnapshot(snapshot *Snapshot, engine *httproute.Engine) {
	f.snapshot, f.engine = snapshot, engine
	if f.startedAt.IsZero() {
		f.startedAt = snapshot.Now
		if !f.BeforeFirstRequest {
			// The previous leader may just have started a burst of its own, and the store's rate applies to all leaders together.
			f.loadAllowance = 0
		}
	}
	firstSnapshot := f.byID == nil
	f.byID = map[ident.Incarnation]*roster.Upstream{}
	for i := range snapshot.Upstreams {
		u := &snapshot.Upstreams[i]
		if u.Service != f.Service {
			continue
		}
		f.byID[u.ID] = u
		if firstSnapshot && u.Bound {
			f.boundUntil[u.ID] = snapshot.Now.Add(maxOrderDelay)
		}
	}
}

func (f *Formation) groups() []roster.Group {
	var groups []roster.Group
	for _, g := range f.Roster.Groups() {
		if g.Service == f.Service {
			groups = append(groups, g)
		}
	}
	return groups
}

// pruneUpstreams drops the state of upstreams that are no longer known, and old orders.
func (f *Formation) pruneUpstreams() {
	for key, o := range f.orders {
		if f.byID[key.to] == nil || f.snapshot.Now.Sub(o.sentAt) > orderRetention {
			delete(f.orders, key)
		}
	}
	gone := func(id ident.Incarnation) bool { return f.byID[id] == nil }
	maps.DeleteFunc(f.staging, func(id ident.Incarnation, _ stagingOrder) bool { return gone(id) })
	maps.DeleteFunc(f.lastHeaded, func(id ident.Incarnation, _ ident.Model) bool { return gone(id) })
	f.releaseBound()
	maps.DeleteFunc(f.stalledHeads, func(id ident.Incarnation, _ bool) bool { return gone(id) })
	f.pruneGroups()
}

// pruneGroups drops ended groups that are older than endedRetention and that no upstream reports.
func (f *Formation) pruneGroups() {
	reported := map[ident.Group]bool{}
	for _, u := range f.byID {
		reported[u.Member.Group] = true
	}
	expired := func(g ident.Group, at time.Time) bool { return !reported[g] && f.snapshot.Now.Sub(at) > endedRetention }
	maps.DeleteFunc(f.endedGroups, expired)
	maps.DeleteFunc(f.lostGroups, expired)
}

func (f *Formation) advance(g *roster.Group) {
	switch g.Phase {
	case roster.PhaseForming:
		f.advanceForming(g)
	case roster.PhaseOpening:
		f.advanceOpening(g)
	case roster.PhaseOpen:
		f.advanceOpen(g)
	case roster.PhaseClosing:
		f.advanceClosing(g)
	case roster.PhaseLeaving:
		f.advanceLeaving(g)
	}
}

// memberState returns the state that u reports for g, or MemberNone if it reports another group.
func memberState(u *roster.Upstream, g *roster.Group) roster.MemberState {
	if u == nil || u.Member.Group != g.Name || u.Member.Epoch != g.Epoch {
		return roster.MemberNone
	}
	return u.Member.State
}

// unfitReason returns why g cannot be formed from its members any more, or "".
func (f *Formation) unfitReason(g *roster.Group) string {
	for _, id := range g.Members {
		u := f.byID[id]
		switch {
		case u == nil:
			return "member " + string(id) + " is no longer known"
		case u.Draining:
			return "member " + string(id) + " is shutting down"
		case u.Silent:
			return "member " + string(id) + " is silent"
		case f.snapshot.Unreachable[id]:
			return "member " + string(id) + " accepts no connections"
		}
		if o := f.outcome(g, id, ActionJoin); joinImpossible(o) {
			return "order to join for member " + string(id) + " failed: " + string(o)
		}
	}
	return ""
}

func joinImpossible(o Outcome) bool {
	return o == OutcomeFenced || o == OutcomeWrongIncarnation || o == OutcomeConnectionRefused
}

func (f *Formation) advanceForming(g *roster.Group) {
	if reason := f.unfitReason(g); reason != "" {
		f.markEnded(g, reason)
		return
	}
	if f.snapshot.Now.Sub(g.Since) > f.loadTimeout(g.Model) {
		f.markEnded(g, "its members were not ready in time")
		return
	}
	ready := 0
	for _, id := range g.Members {
		switch memberState(f.byID[id], g) {
		case roster.MemberReady:
			ready++
		case roster.MemberJoining:
		default:
			// Orders that were carried out late may have made the member join an earlier group again.
			if f.outOfGroup(f.byID[id]) {
				f.sendOrder(g, id, ActionJoin)
			}
		}
	}
	if ready < len(g.Members) {
		return
	}
	if g.WarmUp {
		f.startLeaving(g, "the spare has the weights")
		return
	}
	f.setPhase(g, roster.PhaseOpening, "every member is ready")
	f.sendOrder(g, g.Head(), ActionOpen)
}

func (f *Formation) advanceOpening(g *roster.Group) {
	if reason := f.unfitReason(g); reason != "" {
		f.startLeaving(g, reason)
		return
	}
	switch memberState(f.byID[g.Head()], g) {
	case roster.MemberOpen:
		f.lastHeaded[g.Head()] = g.Model
		f.setPhase(g, roster.PhaseOpen, "the head serves")
	case roster.MemberReady:
		f.sendOrder(g, g.Head(), ActionOpen)
	default:
		f.setPhase(g, roster.PhaseLeaving, "the head is no longer ready")
	}
}

func (f *Formation) setPhase(g *roster.Group, phase roster.Phase, reason string) {
	g.Phase = phase
	g.Since = f.snapshot.Now
	f.Roster.PutGroup(g)
	f.RecordDecision(g, string(phase), reason)
}
