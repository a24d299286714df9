package site

// A leadership is the time in which one daemon leads. What it needs beyond the
// replicated configuration is soft: upstreams report about once a second, and
// groups stand in their reports, so a new leader starts from the copy that it
// had as a follower, or from nothing and waits until all have reported.

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quorum"
	"github.com/dunlinquay/dunlinquay/replicaset"
	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	// evaluateInterval is how often the leader looks at its groups when nothing changes.
	evaluateInterval = 50 * time.Millisecond
	// minEvaluatePause gathers the changes of one moment, evaluatePauseFactor does so for longer where a look takes long: the leader has to hear entries,
	// upstreams and voters between its looks.
	minEvaluatePause    = 10 * time.Millisecond
	evaluatePauseFactor = 3
	// settleReportIntervals is how many report intervals a leader without a copy waits until it believes its roster.
	settleReportIntervals = 2
	// silentReportIntervals and forgetReportIntervals are how many intervals without a report make an upstream silent, and forgotten.
	silentReportIntervals = 2.3
	forgetReportIntervals = 40
	// maxCopyAge is the age up to which a follower's copy is a start for a new leader.
	maxCopyAge = 10 * time.Second
	// quietArrivalIntervals is the part of a report interval without a new upstream after which the first groups are formed,
	// maxArrivalIntervals how many intervals after the first upstream they are formed at the latest: upstreams that start together
	// report for the first time within two.
	quietArrivalIntervals = 0.35
	maxArrivalIntervals   = 3
	// entryTimeout is how long an entry that does not call still counts as one.
	entryTimeout = 3 * time.Second
	// orderTimeout bounds an order; engines answer at once.
	orderTimeout = time.Second
	// epochCounterBits is the room for the groups of one term below the term in an epoch.
	epochCounterBits = 24
	// noAnswerAge stands for the age of an answer that never came.
	noAnswerAge = time.Hour
)

type orderResult struct {
	service ident.Service
	order   replicaset.Order
	outcome replicaset.Outcome
}

type leadership struct {
	control *Control
	name    LeadershipID
	term    quorum.Term
	// startedAt is a time of day, for operators.
	startedAt time.Time
	roster    *roster.Roster
	// entryView is what entries get of the roster.
	entryView *roster.View
	// settledAt is when the roster is believed.
	settledAt time.Time

	// evaluating is held during each look at the groups; formations and decisions belong to it.
	evaluating   sync.Mutex
	formations   map[ident.Service]*replicaset.Formation
	decisions    decisionLog
	epochCounter uint64
	orderResults chan orderResult
	initialStart bool
	prober       *prober
	slowdowns    *slowdownTracker
	// unrecognizedPrunedAt is when what ended upstreams said was last forgotten.
	unrecognizedPrunedAt time.Time
	// upstreamsSeen is how many upstreams there were, firstArrived and lastArrived when the first and the newest one was seen.
	upstreamsSeen int
	firstArrived  time.Time
	lastArrived   time.Time

	mu      sync.Mutex
	entries map[string]*entryState
	// lists are the entries by hall.
	lists  *entryLists
	totals map[ident.Incarnation]int
	// totalsData are the totals as they were encoded at totalsEncodedAt.
	totalsData      []byte
	totalsEncodedAt time.Time
	// packedEntryView and packedFullRoster are what is sent to who has nothing.
	packedEntryView  packedRoster
	packedFullRoster packedRoster
	// bulkPacer gives turns to replies that carry much.
	bulkPacer pacer
	// localShareEntries is how many entries go by their own parts of upstreams' limits.
	localShareEntries map[ident.Incarnation]int
	demand            DemandRates
	requestsSeen      bool
	// undeclared are reports of upstreams whose service is not declared.
	undeclared undeclared
	// configRollout follows accepted configurations to the entries.
	configRollout *rollout[httproute.Version]
	// drainRollout follows orders on halls to the entries.
	drainRollout *rollout[catalog.DrainRevision]
}

// bytesPerMbit is in bytes.
const bytesPerMbit = 1e6 / 8

// orderResultQueueLength bounds the outcomes that wait for the leader's next look.
const orderResultQueueLength = 256

func (c *Control) newLeadership(status *quorum.Status) *leadership {
	now := clock.Now()
	r := &leadership{
		control: c, term: status.Term, startedAt: time.Now(), roster: roster.New(),
		name:              LeadershipID(string(c.self.Folder) + "/" + strconv.FormatUint(uint64(status.Term), 10)),
		formations:        map[ident.Service]*replicaset.Formation{},
		orderResults:      make(chan orderResult, orderResultQueueLength),
		entries:           map[string]*entryState{},
		lists:             newEntryLists(),
		totals:            map[ident.Incarnation]int{},
		localShareEntries: map[ident.Incarnation]int{},
		bulkPacer:         pacer{bytesPerSecond: pacedLinkFraction * float64(c.Settings.LinkMbps) * bytesPerMbit},
		initialStart:      c.Settings.FirstStart,
		prober:            newProber(c.Dial),
		slowdowns:         newSlowdownTracker(c.slowdownQuery(), c.Log),
		configRollout:     newRollout[httproute.Version](now, int(c.leaderEntries.Load())),
		drainRollout:      newRollout[catalog.DrainRevision](now, int(c.leaderEntries.Load())),
	}
	if configVersion := c.stateMachine.Held().Version; configVersion > 0 {
		r.configRollout.track(now, now, configVersion)
	}
	if drained := c.stateMachine.Drained().Revision; drained > 0 {
		r.drainRollout.track(now, now, drained)
	}
	r.entryView = roster.NewView(r.roster)
	reportInterval := c.Settings.Times.Report.Std()
	r.roster.SilentAfter = time.Duration(silentReportIntervals * float64(reportInterval))
	r.roster.ForgetAfter = forgetReportIntervals * reportInterval
	c.mu.Lock()
	defer c.mu.Unlock()
	fresh := !c.copyConfirmedAt.IsZero() && now.Sub(c.copyConfirmedAt) < maxCopyAge
	if fresh || c.copyFromDisk && c.copyConfirmedAt.IsZero() {
		r.seed(now, c.rosterCopy)
	}
	if !fresh && !c.Settings.FirstStart {
		r.settledAt = now.Add(settleReportIntervals * reportInterval)
	}
	return r
}

func (r *leadership) seed(now time.Time, copied *roster.Copy) {
	var upstreams []roster.Upstream
	for _, u := range copied.Upstreams {
		upstreams = append(upstreams, u)
	}
	var groups []roster.Group
	for _, g := range copied.Groups {
		if g.Inheritable() {
			groups = append(groups, g)
		}
	}
	r.roster.Seed(now, upstreams, groups)
}

func (r *leadership) settled(now time.Time) bool {
	return !now.Before(r.settledAt)
}

// leadLoop begins and ends leaderships and looks after the groups.
func (c *Control) leadLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r := c.currentLeadership()
		if r == nil {
			sleep(ctx, evaluateInterval/2)
			continue
		}
		_, changed := r.roster.Changed()
		startedAt := clock.Now()
		r.evaluate()
		r.waitForChange(ctx, changed, evaluatePause(clock.Since(startedAt)))
	}
}

func (c *Control) currentLeadership() *leadership {
	status := c.node.Status()
	r := c.leadership.Load()
	if r != nil && (status.Role != quorum.RoleLeader || status.Term != r.term) {
		c.Log.Info("leadership ended", "leadership", r.name, "leader", status.Leader, "term", status.Term)
		c.leadership.Store(nil)
		// Calls that wait here for news go to the next leader at once.
		c.notifyWaiting()
		r = nil
	}
	if r == nil && c.leads() {
		r = c.newLeadership(&status)
		c.Log.Info("leadership began", "leadership", r.name, "settled-in-ms", max(0, r.settledAt.Sub(clock.Now()).Milliseconds()),
			"upstreams", len(r.roster.Since(0).Upstreams), "version", c.stateMachine.Held().Version)
		c.leadership.Store(r)
	}
	return r
}

// evaluatePause returns how long changes are gathered after a look that took so long.
func evaluatePause(took time.Duration) time.Duration {
	return min(evaluateInterval, max(minEvaluatePause, evaluatePauseFactor*took))
}

// waitForChange returns when it is time for the next look, a pause after a change at the soonest.
func (r *leadership) waitForChange(ctx context.Context, changed <-chan struct{}, minPause time.Duration) {
	timer := time.NewTimer(evaluateInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
		sleep(ctx, minPause)
	case result := <-r.orderResults:
		r.evaluating.Lock()
		defer r.evaluating.Unlock()
		r.applyOrderResult(&result)
	}
}

func (r *leadership) applyOrderResult(result *orderResult) {
	if f := r.formations[result.service]; f != nil {
		f.HandleOutcome(&result.order, result.outcome)
	}
	r.control.metrics.order(result.order.Action, result.outcome)
	r.control.Log.Info("order answered", "to", result.order.To, "action", result.order.Action, "group", result.order.Group, "epoch", result.order.Epoch, "outcome", result.outcome,
		"known", result.order.Context)
}

// evaluate looks at every service with engines; without the lease nothing is ordered.
func (r *leadership) evaluate() {
	r.evaluating.Lock()
	defer r.evaluating.Unlock()
	for range len(r.orderResults) {
		result := <-r.orderResults
		r.applyOrderResult(&result)
	}
	now := clock.Now()
	if !r.control.leads() {
		return
	}
	r.logRollouts(now)
	r.roster.Expire(now)
	r.pruneUnrecognized(now)
	table := r.control.newestTable()
	if table == nil {
		return
	}
	r.applyDeclared(now, table)
	defer r.updateEntryView(table)
	snapshot := r.clusterSnapshot(now)
	r.slowdowns.evaluate(snapshot, r.roster.Groups(), table)
	r.control.metrics.count(now, r.roster.Groups(), snapshot.Upstreams)
	for i := range table.Config.Services {
		s := &table.Config.Services[i]
		if s.Engine == nil {
			continue
		}
		f := r.formation(s.Name)
		f.BeforeFirstRequest = r.initialStart
		if !r.settled(now) || r.upstreamsArriving(now, len(snapshot.Upstreams)) {
			f.Adopt(snapshot, s.Engine)
			continue
		}
		f.Step(snapshot, s.Engine)
	}
}

// logRollouts logs which configurations, and orders on halls, have reached all entries, and which are late at some.
func (r *leadership) logRollouts(now time.Time) {
	for _, report := range r.drainRollout.newReports(now) {
		r.control.Log.Info("drained halls followed to the entries", "revision", report.Version, "entries", report.Entries,
			"after-ms", report.After.Milliseconds(), "missing", report.Missing)
	}
	for _, report := range r.configRollout.newReports(now) {
		r.control.metrics.rollout(&report)
		if len(report.Missing) == 0 {
			r.control.Log.Info("configuration in force at all entries", "version", report.Version, "entries", report.Entries, "after-ms", report.After.Milliseconds())
			continue
		}
		r.control.Log.Info("configuration late at some entries", "version", report.Version, "entries", report.Entries, "after-ms", report.After.Milliseconds(),
			"missing", report.Missing)
	}
}

// updateEntryView brings the view for entries up to date.
func (r *leadership) updateEntryView(table *httproute.Table) {
	r.entryView.Update(func(name ident.Service) bool {
		s := table.Service(name)
		return s == nil || s.Engine == nil
	})
}

// upstreamsArriving reports whether upstreams still come in for the first time at the start of a site: groups that are formed of
// the first few would be spread over the domains badly.
func (r *leadership) upstreamsArriving(now time.Time, upstreams int) bool {
	if !r.initialStart {
		return false
	}
	if r.upstreamsSeen == 0 {
		r.firstArrived = now
	}
	if upstreams > r.upstreamsSeen {
		r.upstreamsSeen = upstreams
		r.lastArrived = now
	}
	reportInterval := float64(r.control.Settings.Times.Report)
	return now.Sub(r.lastArrived) < time.Duration(quietArrivalIntervals*reportInterval) && now.Sub(r.firstArrived) < time.Duration(maxArrivalIntervals*reportInterval)
}

func (r *leadership) formation(service ident.Service) *replicaset.Formation {
	f := r.formations[service]
	if f != nil {
		return f
	}
	f = replicaset.NewFormation()
	f.Service = service
	f.Roster = r.roster
	f.Fence = uint64(r.term)
	f.NextEpoch = func() ident.Epoch {
		r.epochCounter++
		return ident.Epoch(uint64(r.term)<<epochCounterBits | r.epochCounter)
	}
	f.Send = func(o replicaset.Order) { r.sendOrder(service, o) }
	f.RecordDecision = func(g *roster.Group, decision, reason string) {
		r.decisions.add(&GroupDecision{time.Now(), g.Name, g.Model, g.Members, decision, reason})
		r.control.Log.Info("group "+decision, "group", g.Name, "epoch", g.Epoch, "model", g.Model, "members", g.Members, "far", g.Far, "reason", reason)
	}
	r.formations[service] = f
	return f
}

// sendOrder gives an order in the background, under the lease that holds at that moment.
func (r *leadership) sendOrder(service ident.Service, order replicaset.Order) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		outcome := replicaset.OutcomeUnknown
		// What it asked for binds orders too; the formation gives the order again.
		if r.control.leads() && !r.control.backedOff(order.To) {
			outcome = r.control.SendOrder(ctx, &order)
		}
		select {
		case r.orderResults <- orderResult{service, order, outcome}:
		default:
			r.control.Log.Info("outcome of an order dropped, the leader is behind", "to", order.To, "action", order.Action)
		}
	}()
}

func (r *leadership) clusterSnapshot(now time.Time) *replicaset.Snapshot {
	upstreams, ages := r.roster.Upstreams(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requestsSeen {
		r.initialStart = false
	}
	snapshot := &replicaset.Snapshot{
		Now: now, Upstreams: upstreams, ReportAges: ages, Observations: r.groupObservations(now), Demand: r.demand.At(now), DrainedHalls: r.control.drainedHalls(),
	}
	r.prober.probeStalled(snapshot, r.roster.Groups())
	snapshot.Unreachable = r.prober.unreachable(now, ages)
	return snapshot
}
