package site

// A leadership is one daemon's term as leader. Besides the replicated configuration it needs only soft state, which
// upstreams rebuild by reporting about once a second, with their groups. A new leader starts from the copy of the
// roster that it kept as a follower, or without one waits until all upstreams have reported. What upstreams do not
// report again, their announcements of shutdown, is replicated as well.

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
	"github.com/dunlinquay/dunlinquay/siteload"
)

const (
	// evaluateInterval is how often the leader evaluates its groups when nothing changes.
	evaluateInterval = 50 * time.Millisecond
	// minEvaluatePause is the shortest time over which changes are gathered between two evaluations,
	// evaluatePauseFactor that time as a multiple of the last evaluation's duration: between evaluations the leader has
	// to handle messages of entries, upstreams and voters.
	minEvaluatePause    = 10 * time.Millisecond
	evaluatePauseFactor = 3
	// settleReportIntervals is how many report intervals a leader without a copy waits before it acts on its roster.
	settleReportIntervals = 2
	// silentReportIntervals is the number of report intervals without a report after which an upstream counts as silent,
	// forgetReportIntervals the number after which the upstream is removed.
	silentReportIntervals = 2.3
	forgetReportIntervals = 40
	// maxCopyAge is the age up to which a new leader starts from its follower's copy of the roster.
	maxCopyAge = 10 * time.Second
	// quietArrivalIntervals is the fraction of a report interval without a new upstream after which the first groups
	// are formed, maxArrivalIntervals the number of intervals after the first upstream within which that happens in any
	// case: upstreams that start together send their first reports within two intervals.
	quietArrivalIntervals = 0.35
	maxArrivalIntervals   = 3
	// entryTimeout is how long an entry counts after its last call.
	entryTimeout = 3 * time.Second
	// orderTimeout bounds an order; engines answer at once.
	orderTimeout = time.Second
	// epochCounterBits is the width of the counter below the term in an epoch.
	epochCounterBits = 24
	// noAnswerAge is the age reported for the last answer of a group that has not answered yet.
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
	// startedAt is wall-clock time, shown to operators.
	startedAt time.Time
	roster    *roster.Roster
	// entryView is the roster as sent to entries.
	entryView *roster.View
	// settledAt is when the roster counts as complete.
	settledAt time.Time

	// evaluating is held during each evaluation of the groups; it guards formations and decisions.
	evaluating   sync.Mutex
	formations   map[ident.Service]*replicaset.Formation
	decisions    decisionLog
	epochCounter uint64
	orderResults chan orderResult
	// initialStart is set from the first start of a site until its first request. Later leaderships that know of groups that served plan as
	// after the first request.
	initialStart bool
	prober       *prober
	slowdowns    *slowdownTracker
	// unrecognizedPrunedAt is when unrecognized names of removed upstreams were last deleted.
	unrecognizedPrunedAt time.Time
	// upstreamsSeen is the largest number of upstreams so far, firstArrived and lastArrived are when the first and the
	// newest was seen.
	upstreamsSeen int
	firstArrived  time.Time
	lastArrived   time.Time

	mu      sync.Mutex
	entries map[string]*entryState
	starts  *entryStarts
	// lists are the entries by hall.
	lists  *entryLists
	totals map[ident.Incarnation]int
	// totalsData are the totals as encoded at totalsEncodedAt.
	totalsData      []byte
	totalsEncodedAt time.Time
	// load holds what the entries counted of the requests for each model; loadSummary are its sums at loadSummedAt.
	load         siteload.Table
	loadSummary  *siteload.Summary
	loadSummedAt time.Time
	// packedEntryView and packedFullRoster are sent to daemons that have no roster.
	packedEntryView  packedRoster
	packedFullRoster packedRoster
	// bulkPacer limits the rate of large replies.
	bulkPacer pacer
	// localShareEntries counts, by upstream, the entries that use their local share of the upstream's limit.
	localShareEntries map[ident.Incarnation]int
	demand            DemandRates
	// loggedMethods are the forecast methods that were last logged.
	loggedMethods map[ident.Model]string
	forecastLog   logLimiter
	requestsSeen  bool
	// undeclared are reports of upstreams whose service is not declared.
	undeclared undeclared
	// configRollout tracks accepted configurations until the entries have them in force.
	configRollout *rollout[httproute.Version]
	// drainRollout tracks orders on halls until the entries have them in force.
	drainRollout *rollout[catalog.DrainRevision]
	// departureExpiry is guarded by evaluating.
	departureExpiry departureExpiry
	// leaseHeldAt is when the lease last held.
	leaseHeldAt time.Time
	// shortagesCheckedAt is when each service was last checked for models that lack groups.
	shortagesCheckedAt map[ident.Service]time.Time
}

// bytesPerMbit converts megabits to bytes.
const bytesPerMbit = 1e6 / 8

// orderResultQueueLength bounds the outcomes of orders that wait for the next evaluation.
const orderResultQueueLength = 256

func (c *Control) newLeadership(status *quorum.Status) *leadership {
	now := clock.Now()
	r := &leadership{
		control: c, term: status.Term, startedAt: time.Now(), roster: roster.New(),
		name:               LeadershipID(string(c.self.Folder) + "/" + strconv.FormatUint(uint64(status.Term), 10)),
		formations:         map[ident.Service]*replicaset.Formation{},
		orderResults:       make(chan orderResult, orderResultQueueLength),
		entries:            map[string]*entryState{},
		starts:             newEntryStarts(c.Settings.Retries.Window.Std()),
		lists:              newEntryLists(),
		totals:             map[ident.Incarnation]int{},
		localShareEntries:  map[ident.Incarnation]int{},
		bulkPacer:          pacer{bytesPerSecond: pacedLinkFraction * float64(c.Settings.LinkMbps) * bytesPerMbit},
		prober:             newProber(c.Dial),
		slowdowns:          newSlowdownTracker(c.slowdownQuery(), c.Log),
		configRollout:      newRollout[httproute.Version](now, int(c.leaderEntryCount.Load())),
		drainRollout:       newRollout[catalog.DrainRevision](now, int(c.leaderEntryCount.Load())),
		demand:             DemandRates{Forecast: c.Settings.Scheduling.Forecast},
		loggedMethods:      map[ident.Model]string{},
		shortagesCheckedAt: map[ident.Service]time.Time{},
		leaseHeldAt:        now,
	}
	if configVersion := c.stateMachine.Current().Version; configVersion > 0 {
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
	r.initialStart = c.Settings.FirstStart && !hasServingGroup(c.rosterCopy)
	for _, d := range c.stateMachine.Departures() {
		r.roster.ApplyDeparture(now, d.ID, d.SignedOff)
	}
	return r
}

// hasServingGroup reports whether a copy of a roster has a group that served, so that requests may have arrived already.
func hasServingGroup(copied *roster.Copy) bool {
	for _, g := range copied.Groups {
		if g.Inheritable() {
			return true
		}
	}
	return false
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

// leadLoop starts and ends leaderships and evaluates the groups of the current one.
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
		c.keepRoster(r)
		c.metrics.load.publish(&siteload.Summary{})
		// Calls that wait here for updates are answered at once, so that their callers turn to the next leader.
		c.notifyWaiting()
		r = nil
	}
	if r == nil && c.leads() {
		r = c.newLeadership(&status)
		c.Log.Info("leadership started", "leadership", r.name, "settled-in-ms", max(0, r.settledAt.Sub(clock.Now()).Milliseconds()),
			"upstreams", len(r.roster.Since(0).Upstreams), "version", c.stateMachine.Current().Version)
		c.leadership.Store(r)
	}
	return r
}

// keepRoster makes the roster of an ended leadership the copy that the next leadership of this daemon may start from, as a follower's copy
// would be.
func (c *Control) keepRoster(r *leadership) {
	c.mu.Lock()
	defer c.mu.Unlock()
	full := r.roster.Since(0)
	c.rosterCopy = roster.NewCopy()
	c.rosterCopy.Apply(&full)
	c.copyConfirmedAt = r.leaseHeldAt
	c.copyLeadership = r.name
}

// evaluatePause returns how long changes are gathered after an evaluation of the given duration.
func evaluatePause(duration time.Duration) time.Duration {
	return min(evaluateInterval, max(minEvaluatePause, evaluatePauseFactor*duration))
}

// waitForChange returns when the next evaluation is due: after evaluateInterval, or minPause after a change.
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
	r.control.metrics.countOrder(result.order.Action, result.outcome)
	r.control.Log.Info("order answered", "to", result.order.To, "action", result.order.Action, "group", result.order.Group, "epoch", result.order.Epoch, "outcome", result.outcome,
		"known", result.order.Context)
}

// evaluate evaluates every service with engines; it does nothing without the lease.
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
	r.leaseHeldAt = now
	r.logRollouts(now)
	r.roster.Expire(now)
	r.expireDepartures(now)
	r.pruneUnrecognized(now)
	table := r.control.newestTable()
	if table == nil {
		return
	}
	r.applyDeclared(now, table)
	defer r.updateEntryView(table)
	snapshot := r.clusterSnapshot(now)
	r.slowdowns.evaluate(snapshot, r.roster.Groups(), table)
	r.control.metrics.countGroups(now, r.roster.Groups(), snapshot.Upstreams)
	r.publishLoad(now)
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
		r.logShortages(now, s.Name, f)
	}
}

// logShortages logs, at most once a second for each service, which models lack groups and what their domains have for another one.
func (r *leadership) logShortages(now time.Time, service ident.Service, f *replicaset.Formation) {
	if now.Sub(r.shortagesCheckedAt[service]) < time.Second {
		return
	}
	r.shortagesCheckedAt[service] = now
	if shortages := f.ExplainShortages(); len(shortages) > 0 {
		r.control.Log.Info("models lack groups", "service", service, "shortages", shortages)
	}
}

// logRollouts logs which configurations and orders on halls are in force at all entries, and which are late at some.
func (r *leadership) logRollouts(now time.Time) {
	for _, report := range r.drainRollout.newReports(now) {
		r.control.Log.Info("drained halls rollout to entries", "revision", report.Version, "entries", report.Entries,
			"after-ms", report.After.Milliseconds(), "missing", report.Missing)
	}
	for _, report := range r.configRollout.newReports(now) {
		r.control.metrics.recordRollout(&report)
		if len(report.Missing) == 0 {
			r.control.Log.Info("configuration in force at all entries", "version", report.Version, "entries", report.Entries, "after-ms", report.After.Milliseconds())
			continue
		}
		r.control.Log.Info("configuration late at some entries", "version", report.Version, "entries", report.Entries, "after-ms", report.After.Milliseconds(),
			"missing", report.Missing)
	}
}

// updateEntryView brings the entries' view of the roster up to date.
func (r *leadership) updateEntryView(table *httproute.Table) {
	r.entryView.Update(func(name ident.Service) bool {
		s := table.Service(name)
		return s == nil || s.Engine == nil
	})
}

// upstreamsArriving reports whether upstreams of a new site are still sending their first reports. Groups formed from
// the first few of them would be spread badly over the failure domains.
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
	f.Spares = r.control.Settings.Scheduling.Spares
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

// sendOrder sends an order in the background, if the lease holds at that moment.
func (r *leadership) sendOrder(service ident.Service, order replicaset.Order) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		outcome := replicaset.OutcomeUnknown
		// A backoff that the upstream requested applies to orders as well; the formation repeats the order.
		if r.control.leads() && !r.control.backedOff(order.To) {
			outcome = r.control.SendOrder(ctx, &order)
		}
		select {
		case r.orderResults <- orderResult{service, order, outcome}:
		default:
			r.control.Log.Info("outcome of an order dropped, the leader's queue is full", "to", order.To, "action", order.Action)
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
	r.logForecasts(now)
	r.prober.probeStalled(snapshot, r.roster.Groups())
	snapshot.Unreachable = r.prober.unreachable(now, ages)
	return snapshot
}
