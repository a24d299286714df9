package replicaset

// A Formation drives the groups of one service. It keeps no state that a new
// leader could not do without: groups stand in the roster, and what engines
// report decides.
//
//	forming -> opening -> open -> closing -> (dropped)
//	    \          \        \-> leaving -> (dropped)
//
// Four rules keep a member out of two groups although any order may be lost,
// or carried out many seconds late:
//
//   - epochs rise over all groups and leaders, and engines refuse lower ones;
//   - a group is opened only when every member reported ready in it;
//   - members of a group that may be open are given to another one only after
//     the head has left or has said that the group is broken, by its own word,
//     or after they have left themselves; a connection that is refused, or not
//     taken, is nobody's word;
//   - who may be put back into a group by an order without an answer, while its
//     head may be open, waits until no order can be that late.

import (
	"maps"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	// resendAfter is how long an order without an answer waits before it is sent again; engines answer within milliseconds.
	resendAfter = time.Second
	// orderRetention is how long an order is remembered; none is carried out later than that.
	orderRetention = time.Minute
	// endedRetention is how long a group that ended is remembered at least: an upstream that was cut off may report it again
	// until the roster has forgotten that upstream. Kept for good, each takes a leader about 100 bytes.
	endedRetention = 2 * time.Minute
	// maxOrderDelay is how long after it was given an order without an answer may be carried out: engines take orders up to some 12 s late.
	maxOrderDelay = 15 * time.Second
	// repeatAfter is how long an order that was taken may stay without effect in the reports; reports come with each change.
	repeatAfter = 3 * time.Second
	// loadTimeoutFactor and loadTimeoutSlack bound a load: past some at once, each takes longer.
	loadTimeoutFactor = 3
	loadTimeoutSlack  = 5 * time.Second
	// closeTimeout is how long a group may finish its work; an engine that leaves stays for 10 s at most.
	closeTimeout = 10 * time.Second
	// replaceTimeout is the same for a group that makes room for a better one: the upstreams of a whole domain wait for it, and
	// its requests can be continued elsewhere.
	replaceTimeout = 1200 * time.Millisecond
	// stallTimeout is how long a group may show no sign of life when all its members report.
	stallTimeout = 1500 * time.Millisecond
	// stallTimeoutMissedReport is the same when a member has missed a report.
	stallTimeoutMissedReport = 700 * time.Millisecond
	// missedReportAge is the age from which on a report counts as missed.
	missedReportAge = 1700 * time.Millisecond
	// stallTimeoutUnreachable is the same when a member does not take connections.
	stallTimeoutUnreachable = 250 * time.Millisecond
	// cutOffAge is the age of a report at which, by the group's last sign to entries, its member must have reported again if
	// control reached it: a report interval and some slack.
	cutOffAge = 1500 * time.Millisecond
	// deadTimeout is how long a head must be silent to control and to all entries until its group is certainly over: an
	// engine breaks a group that stands still for 5 s.
	deadTimeout = 6500 * time.Millisecond
	// settledAfter is how long a group serves before it may be closed for a better one.
	settledAfter = time.Second
	// reportWait is how long a new leader waits for the reports of upstreams that it knows only from a copy: reports come every
	// 1.2 s, and a daemon that takes them may lose one.
	reportWait = 3 * time.Second
	// minReportedFraction is the part of the upstreams that must have reported by then: more than a domain that is dark is missing only where
	// reports wait for a leader that has too much to do, and it must not make itself more by taking groups apart. maxReportWait is how
	// long it waits in any case.
	minReportedFraction = 0.75
	maxReportWait       = 10 * time.Second
	// stageRetryAfter is how long an upstream whose order to stage was not taken is left alone.
	stageRetryAfter = 2 * time.Second
	// loadBurst is how many loads may begin at once, beyond the rate of the weight store.
	loadBurst = 4
	// loadRateFraction is the part of the weight store's rate that is used; late orders may shift loads in time.
	loadRateFraction = 0.75
)

// stagingOrder is an order to load weights to a host; until is when it is taken for lost.
type stagingOrder struct {
	model ident.Model
	until time.Time
}

// Formation keeps the groups of one service; exported fields are set before use, and Step and Answered must not run concurrently.
type Formation struct {
	Service ident.Service
	Roster  *roster.Roster
	// Send gives an order without waiting; its outcome comes back through Answered.
	Send func(o Order)
	// NextEpoch returns a number above all earlier ones.
	NextEpoch func() ident.Epoch
	// Fence is this leader's fence.
	Fence uint64
	// RecordDecision records a decision on a group and why it was taken.
	RecordDecision func(g *roster.Group, decision, reason string)
	// BeforeFirstRequest is set until the first request is seen.
	BeforeFirstRequest bool

	// startedAt is when the formation looked for the first time.
	startedAt time.Time
	engine    *httproute.Engine
	snapshot  *Snapshot
	byID      map[ident.Incarnation]*roster.Upstream
	orders    map[orderKey]*sentOrder
	// staging holds the orders to stage whose weights are not on the host yet.
	staging map[ident.Incarnation]stagingOrder
	// replacing holds groups that close so that a domain gets a whole group instead.
	replacing map[ident.Group]Closing
	// stalledHeads holds heads of groups that stood still although all their members reported.
	stalledHeads map[ident.Incarnation]bool
	// lastHeaded holds the model of the group that an upstream was last the head of.
	lastHeaded map[ident.Incarnation]ident.Model
	// headless holds groups whose head has not reported; their members leave one by one.
	headless map[ident.Group]bool
	// lostGroups holds when groups were given up whose heads may still be there.
	lostGroups map[ident.Group]time.Time
	// endedGroups holds when groups ended for certain; reports may still name them.
	endedGroups map[ident.Group]time.Time
	// boundUntil holds until when upstreams may be put back into a group that has ended, and serves there again.
	boundUntil    map[ident.Incarnation]time.Time
	loadAllowance float64
	allowanceAt   time.Time
}

// NewFormation returns a formation without any history.
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

// Step takes every group one step further and begins new ones.
func (f *Formation) Step(w *Snapshot, engine *httproute.Engine) {
	f.setSnapshot(w, engine)
	f.pruneUpstreams()
	f.adopt(f.allReported())
	for _, g := range f.groups() {
		f.advance(&g)
	}
	f.startPlanned()
}

// Adopt takes over the whole groups that engines report and orders nothing, as long as not all upstreams may be known.
func (f *Formation) Adopt(w *Snapshot, engine *httproute.Engine) {
	f.setSnapshot(w, engine)
	f.adopt(false)
}

// allReported reports whether every upstream has reported since this formation began, or will hardly do so. Before that a group of
// which only some members have reported may be whole, and taking it apart would end groups that serve.
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

// hasReported reports whether an upstream has reported since this formation began, and is not only known from a copy.
func (f *Formation) hasReported(id ident.Incarnation) bool {
	return f.snapshot.ReportAges[id] < f.snapshot.Now.Sub(f.startedAt)
}

func (f *Formation) setSnapshot(w *Snapshot, engine *httproute.Engine) {
	f.snapshot, f.engine = w, engine
	if f.startedAt.IsZero() {
		f.startedAt = w.Now
		if !f.BeforeFirstRequest {
			// The leader before may have begun as many at once a moment ago, and the store's rate is one for all leaders.
			f.loadAllowance = 0
		}
	}
	first := f.byID == nil
	f.byID = map[ident.Incarnation]*roster.Upstream{}
	for i := range w.Upstreams {
		u := &w.Upstreams[i]
		if u.Service != f.Service {
			continue
		}
		f.byID[u.ID] = u
		if first && u.Bound {
			f.boundUntil[u.ID] = w.Now.Add(maxOrderDelay)
		}
	}
}

func (f *Formation) groups() []roster.Group {
	var list []roster.Group
	for _, g := range f.Roster.Groups() {
		if g.Service == f.Service {
			list = append(list, g)
		}
	}
	return list
}

// pruneUpstreams drops what was kept about upstreams that have ended.
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

// pruneGroups drops groups that ended long ago and that no upstream reports any more.
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

// memberState returns the state that u reports for g, or none when it reports another group.
func memberState(u *roster.Upstream, g *roster.Group) roster.MemberState {
	if u == nil || u.Member.Group != g.Name || u.Member.Epoch != g.Epoch {
		return roster.MemberNone
	}
	return u.Member.State
}

// unfitReason returns why g can't be formed from its members any more, or nothing.
func (f *Formation) unfitReason(g *roster.Group) string {
	for _, id := range g.Members {
		u := f.byID[id]
		switch {
		case u == nil:
			return "member " + string(id) + " has ended"
		case u.Draining:
			return "member " + string(id) + " is leaving"
		case u.Silent:
			return "member " + string(id) + " is silent"
		case f.snapshot.Unreachable[id]:
			return "member " + string(id) + " takes no connections"
		}
		if o := f.outcome(g, id, ActionJoin); joinImpossible(o) {
			return "member " + string(id) + " answered the order to join: " + string(o)
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
		f.markEnded(g, "not formed in time")
		return
	}
	ready := 0
	for _, id := range g.Members {
		switch memberState(f.byID[id], g) {
		case roster.MemberReady:
			ready++
		case roster.MemberJoining:
		default:
			// It may have been put back into an earlier group by orders that were carried out late.
			if f.outOfGroup(f.byID[id]) {
				f.sendOrder(g, id, ActionJoin)
			}
		}
	}
	if ready < len(g.Members) {
		return
	}
	if g.WarmUp {
		f.startLeaving(g, "the spare is warm")
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

func (f *Formation) setPhase(g *roster.Group, to roster.Phase, reason string) {
	g.Phase = to
	g.Since = f.snapshot.Now
	f.Roster.PutGroup(g)
	f.RecordDecision(g, string(to), reason)
}
