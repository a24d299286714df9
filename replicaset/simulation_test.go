package replicaset_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/replicaset"
	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	tick           = 50 * time.Millisecond
	reportInterval = 1200 * time.Millisecond
	stallBreakTime = 5 * time.Second
	orderTimeout   = time.Second
)

// engine simulates one upstream by the published interface.
type engine struct {
	id        ident.Incarnation
	address   string
	hall      ident.Hall
	domain    ident.Domain
	alive     bool
	signedOff bool
	draining  bool
	// cutOff is set while control and the engine cannot reach each other. Orders to an engine that is cut off are lost or, if refuses
	// is set, refused; from probeFailsAt on, control's probes find the engine unreachable.
	cutOff       bool
	refuses      bool
	probeFailsAt time.Time
	member       roster.Membership
	members      []ident.Incarnation
	model        ident.Model
	readyAt      time.Time
	closedAt     time.Time
	lastModel    ident.Model
	stagedModel  ident.Model
	stagedAt     time.Time
	stagingModel ident.Model
	highestEpoch ident.Epoch
	// stalledSince is since when the group of this head lacks a member; pausedSince is since when the complete group sends nothing.
	stalledSince time.Time
	pausedSince  time.Time
	sequence     uint64
	lastReport   time.Time
	// reportDue is set when the engine has a change to report, openedLate when a late order opened its group.
	reportDue  bool
	openedLate bool
	// slowdown is how many times slower than usual the engine is.
	slowdown float64
	// next is the next incarnation of the same upstream.
	next *engine
}

// newestIncarnation returns the incarnation that now answers at the engine's address.
func (e *engine) newestIncarnation() *engine {
	for e.next != nil {
		e = e.next
	}
	return e
}

// delayedReport is a report in transit.
type delayedReport struct {
	arrivesAt time.Time
	report    *roster.Report
}

// delivery is an order or an outcome in transit.
type delivery struct {
	due time.Time
	run func()
}

// lateOrder is an order that is carried out when it is due.
type lateOrder struct {
	due   time.Time
	order replicaset.Order
}

// fleet simulates a set of engines and the current leader, and checks the invariants at each order.
type fleet struct {
	t             *testing.T
	random        *rand.Rand
	now           time.Time
	startedAt     time.Time
	engines       []*engine
	byID          map[ident.Incarnation]*engine
	config        *httproute.Engine
	roster        *roster.Roster
	formation     *replicaset.Formation
	term          uint64
	epochs        uint64
	lateOrders    []lateOrder
	executingLate bool
	lateFraction  float64
	lostFraction  float64
	// unreadableFraction is the fraction of orders that are carried out, but whose answers cannot be read; maxReportDelay is the longest
	// transit time of a report.
	unreadableFraction float64
	maxReportDelay     time.Duration
	delayedReports     []delayedReport
	// maxTransit is the longest transit time of an order and of its outcome; without an answer, the outcome is unknown after orderTimeout.
	// droppedFraction is the fraction of outcomes that the formation never receives.
	maxTransit      time.Duration
	droppedFraction float64
	inTransit       []delivery
	// strict is set when a member may join another group only if the head of its own is not open, even if a late order opened the head
	// and no report has shown that yet.
	strict bool
	// worstTiming is set when late orders are carried out at the worst moment: right before a member of their group joins another one.
	worstTiming bool
	// onOpen is called with each head that opens.
	onOpen func(e *engine)
	// loseOrder selects orders that never arrive, dropOutcome outcomes that the formation never receives.
	loseOrder   func(o *replicaset.Order) bool
	dropOutcome func(o *replicaset.Order) bool
	deadSince   map[ident.Incarnation]time.Time
	// stallConfirmed is set when entries together find that a group has missed an iteration.
	stallConfirmed bool
	// pinnedWhileClosing is how many requests at the head of a closing group can't continue at another one.
	pinnedWhileClosing int
	demand             map[ident.Model]float64
	drainedHalls       map[ident.Hall]bool
	// spares is Formation.Spares of each leader.
	spares     bool
	ordersSent int
	// unanswered counts the orders to join and to stage whose outcome the formation has not received.
	unanswered int
	decisions  int
	lastID     int
	violations []string
	// trace lists decisions, orders and their execution.
	trace []string
}

func engineConfig() *httproute.Engine {
	return &httproute.Engine{
		Slots: 26, StepsPerIteration: 5, LoadsPerSecond: 4, ConcurrentLoads: 6, OpenTime: 300 * time.Millisecond, CrossDomainSlowdown: 3,
		Models: []httproute.Model{
			{Name: "large", Size: 4, InitialShare: 0.67, TimeFactor: 1, LoadTime: 16 * time.Second, WarmLoadTime: 1600 * time.Millisecond},
			{Name: "small", Size: 2, InitialShare: 0.33, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond},
		},
	}
}

func newFleet(t *testing.T, seed uint64, domains, perDomain int) *fleet {
	t.Helper()
	return newFleetOf(t, seed, &fleetOptions{domains: domains, perDomain: perDomain, config: engineConfig()})
}

// fleetOptions are the size and the settings of a fleet.
type fleetOptions struct {
	domains, perDomain int
	config             *httproute.Engine
	spares             bool
}

func newFleetOf(t *testing.T, seed uint64, options *fleetOptions) *fleet {
	t.Helper()
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0), byID: map[ident.Incarnation]*engine{},
		config: options.config, spares: options.spares, deadSince: map[ident.Incarnation]time.Time{},
	}
	f.startedAt = f.now
	for d := range options.domains {
		for range options.perDomain {
			f.add(ident.Domain(fmt.Sprintf("domain-%d", d)), ident.Hall(fmt.Sprintf("hall-%d", d/2)), "")
		}
	}
	f.elect(nil)
	return f
}

func (f *fleet) add(domain ident.Domain, hall ident.Hall, address string) *engine {
	f.lastID++
	if address == "" {
		address = fmt.Sprintf("10.0.0.%d:80", f.lastID)
	}
	e := &engine{id: ident.Incarnation(fmt.Sprintf("i-%03d", f.lastID)), address: address, hall: hall, domain: domain, alive: true, reportDue: true}
	f.engines = append(f.engines, e)
	f.byID[e.id] = e
	return e
}

// elect starts a new leader, with a copy of the roster or without one.
func (f *fleet) elect(copied *roster.Copy) {
	f.term++
	f.epochs = 0
	f.roster = roster.New()
	f.roster.SilentAfter = 2300 * reportInterval / 1000
	f.roster.ForgetAfter = 40 * reportInterval
	if copied != nil {
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
		f.roster.Seed(f.now, upstreams, groups)
	}
	formation := replicaset.NewFormation()
	formation.Service = "model"
	formation.Roster = f.roster
	formation.Fence = f.term
	formation.BeforeFirstRequest = f.term == 1
	formation.Spares = f.spares
	term := f.term
	formation.NextEpoch = func() ident.Epoch {
		f.epochs++
		return ident.Epoch(term<<24 | f.epochs)
	}
	formation.Send = f.send
	formation.RecordDecision = func(g *roster.Group, decision, reason string) {
		f.decisions++
		f.tracef("%s/%d %v %s: %s", g.Name, g.Epoch, g.Members, decision, reason)
	}
	f.tracef("leader %d", f.term)
	f.formation = formation
}

// send delivers an order at once, after a delay, or not at all.
func (f *fleet) send(o replicaset.Order) {
	f.ordersSent++
	answered := func() {}
	if o.Action == replicaset.ActionJoin || o.Action == replicaset.ActionStage {
		f.unanswered++
		answered = func() { f.unanswered-- }
	}
	if f.maxTransit == 0 {
		outcome := f.deliverOrder(f.byID[o.To], &o)
		if f.dropOutcome == nil || !f.dropOutcome(&o) {
			f.formation.HandleOutcome(&o, outcome)
			answered()
		}
		return
	}
	sentAt, formation := f.now, f.formation
	f.schedule(f.now.Add(f.transitDelay()), func() {
		outcome := f.deliverOrder(f.byID[o.To].newestIncarnation(), &o)
		at := f.now.Add(f.transitDelay())
		if outcome == replicaset.OutcomeUnknown {
			at = sentAt.Add(orderTimeout)
		}
		if f.random.Float64() < f.droppedFraction {
			return
		}
		f.schedule(at, func() {
			formation.HandleOutcome(&o, outcome)
			answered()
		})
	})
}

func (f *fleet) transitDelay() time.Duration {
	return time.Duration(f.random.Int64N(int64(f.maxTransit)))
}

func (f *fleet) schedule(at time.Time, run func()) {
	f.inTransit = append(f.inTransit, delivery{at, run})
}

// deliverDue delivers the orders and outcomes that are due.
func (f *fleet) deliverDue() {
	deliveries := f.inTransit
	f.inTransit = nil
	for _, d := range deliveries {
		if f.now.Before(d.due) {
			f.inTransit = append(f.inTransit, d)
			continue
		}
		d.run()
	}
}

// deliverOrder executes, delays, loses or refuses an order at the engine, and returns its outcome.
func (f *fleet) deliverOrder(e *engine, o *replicaset.Order) (outcome replicaset.Outcome) {
	defer func() { f.tracef("%s of %s/%d to %s: %s", o.Action, o.Group, o.Epoch, e.id, outcome) }()
	switch draw := f.random.Float64(); {
	case !e.alive && !e.signedOff:
		return replicaset.OutcomeUnknown
	case !e.alive:
		return replicaset.OutcomeConnectionRefused
	case e.cutOff && e.refuses:
		return replicaset.OutcomeConnectionRefused
	case e.cutOff, f.loseOrder != nil && f.loseOrder(o), draw < f.lostFraction:
		return replicaset.OutcomeUnknown
	case draw < f.lostFraction+f.lateFraction:
		delay := 2*time.Second + time.Duration(f.random.Int64N(int64(10*time.Second)))
		f.lateOrders = append(f.lateOrders, lateOrder{f.now.Add(delay), *o})
		return replicaset.OutcomeUnknown
	case draw < f.lostFraction+f.lateFraction+f.unreadableFraction:
		f.execute(e, o)
		return replicaset.OutcomeUnknown
	}
	return f.execute(e, o)
}

// violationf records that an invariant was violated.
func (f *fleet) violationf(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%.2f s: ", f.now.Sub(f.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// tracef adds a line to the trace, the end of which a failing test prints.
func (f *fleet) tracef(format string, args ...any) {
	f.trace = append(f.trace, fmt.Sprintf("%.2f s: ", f.now.Sub(f.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// execute carries out an order at an engine, and checks the invariants.
func (f *fleet) execute(e *engine, o *replicaset.Order) replicaset.Outcome {
	f.tracef("%s of %s/%d executed at %s with membership %v, late: %v", o.Action, o.Group, o.Epoch, e.id, e.member, f.executingLate)
	switch o.Action {
	case replicaset.ActionJoin:
		return f.join(e, o)
	case replicaset.ActionStage:
		m, _ := f.config.Model(o.Model)
		e.stagingModel, e.stagedAt = o.Model, f.now.Add(f.loadTime(m))
		return replicaset.OutcomeAccepted
	}
	if e.member.Group != o.Group || e.member.Epoch != o.Epoch {
		return replicaset.OutcomeRefused
	}
	switch o.Action {
	case replicaset.ActionOpen:
		return f.open(e)
	case replicaset.ActionClose:
		if e.member.State == roster.MemberOpen {
			e.member.State = roster.MemberClosing
			e.closedAt = f.now.Add(time.Duration(f.random.Int64N(int64(3 * time.Second))))
			e.reportDue = true
		}
	case replicaset.ActionLeave:
		e.member = roster.Membership{}
		e.members = nil
		e.reportDue = true
	}
	return replicaset.OutcomeAccepted
}

func (f *fleet) join(e *engine, o *replicaset.Order) replicaset.Outcome {
	if e.member.Group == o.Group && e.member.Epoch == o.Epoch {
		return replicaset.OutcomeAccepted
	}
	if f.worstTiming && !f.executingLate && f.random.IntN(2) == 0 {
		f.executeLateOrders(e, o)
	}
	if o.Epoch < e.highestEpoch {
		return replicaset.OutcomeFenced
	}
	if len(e.members) > 0 {
		// Unless strict is set, the leader need not know of a head that a late order opened and that has not reported since.
		head := f.byID[e.members[0]]
		unreported := head.openedLate && head.reportDue && !f.strict
		serves := head.member.State == roster.MemberOpen || head.member.State == roster.MemberClosing
		if head.alive && head.member.Group == e.member.Group && serves && !unreported {
			f.violationf("%s joins %s while the head %s of its group %s is %s", e.id, o.Group, head.id, e.member.Group, head.member.State)
		}
	}
	m, _ := f.config.Model(o.Model)
	e.highestEpoch = o.Epoch
	e.members = o.Members
	e.model = o.Model
	rank := 0
	for i, id := range o.Members {
		if id == e.id {
			rank = i
		}
	}
	e.member = roster.Membership{Group: o.Group, Epoch: o.Epoch, Rank: rank, State: roster.MemberJoining}
	joinTime := f.loadTime(m)
	switch {
	case e.lastModel == o.Model:
		joinTime = 200 * time.Millisecond
	case e.stagedModel == o.Model:
		joinTime = m.WarmLoadTime
	}
	e.readyAt = f.now.Add(joinTime)
	e.reportDue = true
	return replicaset.OutcomeAccepted
}

// executeLateOrders executes the late orders of groups that e was in, right before o makes e join another one. An engine that joins by a late
// order is ready at once, as if it had joined a moment ago and not reported yet.
func (f *fleet) executeLateOrders(e *engine, o *replicaset.Order) {
	f.executingLate = true
	defer func() { f.executingLate = false }()
	var remaining []lateOrder
	for _, action := range []replicaset.Action{replicaset.ActionJoin, replicaset.ActionOpen} {
		remaining = nil
		for _, l := range f.lateOrders {
			to := f.byID[l.order.To].newestIncarnation()
			if l.order.Action != action || l.order.Group == o.Group || !slices.Contains(l.order.Members, e.id) || !to.alive {
				remaining = append(remaining, l)
				continue
			}
			f.execute(to, &l.order)
			if to.member.Epoch == l.order.Epoch && to.member.State == roster.MemberJoining {
				to.member.State = roster.MemberReady
			}
		}
		f.lateOrders = remaining
	}
}

// loadTime is how long a load from the store takes: a tenth before the first request.
func (f *fleet) loadTime(m *httproute.Model) time.Duration {
	if f.now.Sub(f.startedAt) < 10*time.Second {
		return m.LoadTime / 10
	}
	return m.LoadTime
}

func (f *fleet) open(e *engine) replicaset.Outcome {
	if e.member.State != roster.MemberReady {
		return replicaset.OutcomeRefused
	}
	m, _ := f.config.Model(e.model)
	ready := 0
	for _, id := range e.members {
		member := f.byID[id]
		if member.alive && member.member.Group == e.member.Group && member.member.Epoch == e.member.Epoch && member.member.State == roster.MemberReady {
			ready++
		}
	}
	// A member that was lost after it was ready is not an error of the leader.
	lost := 0
	for _, id := range e.members {
		if !f.byID[id].alive {
			lost++
		}
	}
	// Neither are members that are not ready when the order is executed late: no entry sends requests to that group any more.
	if !f.executingLate && (len(e.members) != m.Size || ready+lost < m.Size) {
		f.violationf("%s opens %s with %d of %d members ready", e.id, e.member.Group, ready, m.Size)
	}
	e.member.State = roster.MemberOpen
	e.openedLate = f.executingLate
	e.reportDue = true
	if f.onOpen != nil {
		f.onOpen(e)
	}
	return replicaset.OutcomeAccepted
}

// advance simulates one tick.
func (f *fleet) advance() {
	f.now = f.now.Add(tick)
	f.deliverDue()
	var remaining []lateOrder
	for _, l := range f.lateOrders {
		switch e := f.byID[l.order.To].newestIncarnation(); {
		case f.now.Before(l.due):
			remaining = append(remaining, l)
		case e.alive:
			f.executingLate = true
			f.execute(e, &l.order)
			f.executingLate = false
		}
	}
	f.lateOrders = remaining
	for _, e := range f.engines {
		f.progress(e)
	}
	f.deliverReports()
	if f.now.Sub(f.startedAt) > 10*time.Second {
		f.formation.BeforeFirstRequest = false
	}
	f.roster.Expire(f.now)
	f.formation.Step(f.snapshot(), f.config)
}

func (f *fleet) progress(e *engine) {
	if !e.alive {
		return
	}
	if e.member.State == roster.MemberJoining && !f.now.Before(e.readyAt) {
		e.member.State = roster.MemberReady
		e.lastModel, e.stagedModel = e.model, e.model
		e.reportDue = true
	}
	if e.member.State == roster.MemberClosing && !f.now.Before(e.closedAt) {
		e.member.State = roster.MemberReady
		e.reportDue = true
	}
	if e.stagingModel != "" && !f.now.Before(e.stagedAt) {
		e.stagedModel, e.stagingModel = e.stagingModel, ""
		e.reportDue = true
	}
	f.updateStall(e)
	if e.signedOff || e.cutOff || !e.reportDue && f.now.Sub(e.lastReport) < reportInterval {
		return
	}
	e.sequence++
	if f.random.Float64() < f.lostFraction {
		return
	}
	e.reportDue = false
	e.lastReport = f.now
	if f.maxReportDelay == 0 {
		f.roster.ApplyReport(f.now, f.report(e))
		return
	}
	delay := time.Duration(f.random.Int64N(int64(f.maxReportDelay)))
	f.delayedReports = append(f.delayedReports, delayedReport{f.now.Add(delay), f.report(e)})
}

// deliverReports applies the reports that have arrived to the roster.
func (f *fleet) deliverReports() {
	var remaining []delayedReport
	for _, r := range f.delayedReports {
		if f.now.Before(r.arrivesAt) {
			remaining = append(remaining, r)
			continue
		}
		f.roster.ApplyReport(f.now, r.report)
	}
	f.delayedReports = remaining
}

// updateStall makes a head break its group once a member has been missing for stallBreakTime.
func (f *fleet) updateStall(e *engine) {
	if e.member.State != roster.MemberOpen && e.member.State != roster.MemberClosing {
		e.stalledSince = time.Time{}
		return
	}
	if f.complete(e) {
		e.stalledSince = time.Time{}
		return
	}
	if e.stalledSince.IsZero() {
		e.stalledSince = f.now
	}
	if f.now.Sub(e.stalledSince) >= stallBreakTime {
		e.member.State = roster.MemberBroken
		e.reportDue = true
	}
}

// complete reports whether all members of the head's group are in it.
func (f *fleet) complete(head *engine) bool {
	for _, id := range head.members {
		member := f.byID[id]
		if !member.alive || member.member.Group != head.member.Group || member.member.Epoch != head.member.Epoch {
			return false
		}
	}
	return true
}

func (f *fleet) report(e *engine) *roster.Report {
	r := &roster.Report{Sequence: e.sequence, Upstream: roster.Upstream{
		ID: e.id, Service: "model", Address: e.address, Hall: e.hall, Domain: e.domain, Slots: 26, Draining: e.draining, Member: e.member,
	}}
	if e.lastModel != "" {
		r.Loaded = []ident.Model{e.lastModel}
	}
	if e.stagedModel != "" {
		r.Staged = []ident.Model{e.stagedModel}
	}
	return r
}

// snapshot returns what the leader would know if entries constantly sent requests to every open group.
func (f *fleet) snapshot() *replicaset.Snapshot {
	upstreams, ages := f.roster.Upstreams(f.now)
	snapshot := &replicaset.Snapshot{Now: f.now, Upstreams: upstreams, ReportAges: ages, Observations: map[ident.Group]replicaset.Observation{}, Unreachable: map[ident.Incarnation]bool{}, Demand: f.demand}
	snapshot.DrainedHalls = f.drainedHalls
	snapshot.Slowdowns = map[ident.Incarnation]float64{}
	for _, e := range f.engines {
		if e.alive && e.slowdown > 1 {
			snapshot.Slowdowns[e.id] = e.slowdown
		}
	}
	for _, g := range f.roster.Groups() {
		head := f.byID[g.Head()]
		observation := replicaset.Observation{}
		switch {
		case !head.alive:
			observation.SinceLastResponse = f.now.Sub(f.deadSince[head.id])
			// The streams of a closing group end with its head, and no new requests are sent there that could stall.
			if g.Phase == roster.PhaseOpen {
				observation.StalledFor = observation.SinceLastResponse
			}
		case !head.pausedSince.IsZero():
			observation.SinceLastResponse = f.now.Sub(head.pausedSince)
			observation.StalledFor = observation.SinceLastResponse
		case !head.stalledSince.IsZero():
			observation.SinceLastResponse = f.now.Sub(head.stalledSince)
			observation.StalledFor = observation.SinceLastResponse
		}
		if head.member.State == roster.MemberClosing {
			observation.Pinned = f.pinnedWhileClosing
		}
		observation.StallConfirmed = f.stallConfirmed && observation.StalledFor >= 2*tick
		snapshot.Observations[g.Name] = observation
	}
	for _, e := range f.engines {
		if e.alive && e.cutOff && !f.now.Before(e.probeFailsAt) {
			snapshot.Unreachable[e.id] = true
		}
	}
	for id, at := range f.deadSince {
		if f.now.Sub(at) > f.probeDelay() && f.now.Sub(at) < 5*time.Second {
			snapshot.Unreachable[id] = true
		}
	}
	return snapshot
}

// probeDelay is how long after the end of an engine probes show it as unreachable: the stall of its group has to be detected first.
func (f *fleet) probeDelay() time.Duration {
	if f.stallConfirmed {
		return 150 * time.Millisecond
	}
	return 300 * time.Millisecond
}

func (f *fleet) kill(e *engine) {
	e.alive = false
	f.deadSince[e.id] = f.now
}

// restart ends an engine and starts it again under its id; of its state only the weights on its host remain.
func (f *fleet) restart(e *engine) *engine {
	f.kill(e)
	startedAt := ident.StartTime(f.now.UnixMilli())
	next := &engine{
		id: ident.IncarnationOf(e.id.UpstreamID(), startedAt), address: e.address, hall: e.hall, domain: e.domain, stagedModel: e.stagedModel, cutOff: e.cutOff,
		alive: true, reportDue: true,
	}
	e.next = next
	f.engines = append(f.engines, next)
	f.byID[next.id] = next
	return next
}

// living returns the living engines sorted by id.
func (f *fleet) living() []*engine {
	var engines []*engine
	for _, e := range f.engines {
		if e.alive {
			engines = append(engines, e)
		}
	}
	sort.Slice(engines, func(i, j int) bool { return engines[i].id < engines[j].id })
	return engines
}

// serving counts the groups that could serve a request now.
func (f *fleet) serving() map[ident.Model]int {
	counts := map[ident.Model]int{}
	for _, e := range f.engines {
		if e.alive && e.member.State == roster.MemberOpen && f.complete(e) {
			counts[e.model]++
		}
	}
	return counts
}

func (f *fleet) run(d time.Duration, beforeTick func()) {
	for range int(d / tick) {
		if beforeTick != nil {
			beforeTick()
		}
		f.advance()
	}
}

func (f *fleet) copyRoster() *roster.Copy {
	c := roster.NewCopy()
	delta := f.roster.Since(0)
	c.Apply(&delta)
	return c
}

// spare returns a living engine that is in no group.
func (f *fleet) spare() *engine {
	for _, e := range f.engines {
		if e.alive && e.member.State == roster.MemberNone {
			return e
		}
	}
	f.t.Fatal("no engine is outside all groups")
	return nil
}

// headOf returns the head of an open group of the model.
func (f *fleet) headOf(model ident.Model) *engine {
	for _, e := range f.engines {
		if e.alive && e.member.State == roster.MemberOpen && e.model == model {
			return e
		}
	}
	f.t.Fatal("no open group")
	return nil
}
