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

// engine is one upstream as the published interface describes it.
type engine struct {
	id        ident.Incarnation
	address   string
	hall      ident.Hall
	domain    ident.Domain
	alive     bool
	signedOff bool
	draining  bool
	cutOff    bool // control does not reach it, nor it control
	// refuses is set when what is sent to it behind the cut is refused and not lost, probeFailsAt is when control finds that out by itself.
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
	stalledSince time.Time
	// pausedSince is since when a group that is whole sends nothing.
	pausedSince time.Time
	sequence    uint64
	lastReport  time.Time
	reportDue   bool
	openedLate  bool
	// slowdown is how many times slower it is.
	slowdown float64
	// next is the next life of the same upstream.
	next *engine
}

// newestIncarnation returns the life that answers to the engine's id now.
func (e *engine) newestIncarnation() *engine {
	for e.next != nil {
		e = e.next
	}
	return e
}

// delayedReport is a report on its way.
type delayedReport struct {
	arrivesAt time.Time
	report    *roster.Report
}

// delivery is an order or an answer that is under way.
type delivery struct {
	due time.Time
	run func()
}

type lateOrder struct {
	due   time.Time
	order replicaset.Order
}

// fleet is a set of engines, the present leader, and the checks of what must always hold.
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
	// unreadableFraction is the part of the orders that are carried out and whose answers can't be read, maxReportDelay how long a report is on its
	// way at most.
	unreadableFraction float64
	maxReportDelay     time.Duration
	delayedReports     []delayedReport
	// maxTransit is how long an order, and the answer to it, is under way at most; an answer that can't come is known to be missing after
	// orderTimeout. droppedFraction is the part of the outcomes that never get to the formation.
	maxTransit      time.Duration
	droppedFraction float64
	inTransit       []delivery
	// strict is set when a member may join elsewhere only if its own head is certainly not open, also by a late order that nobody can
	// know of.
	strict bool
	// worstTiming is set when late orders are carried out at the worst moment: right before one of their group joins another.
	worstTiming bool
	// onOpen is told of heads that open.
	onOpen func(e *engine)
	// loseOrder tells which orders never arrive, drop which outcomes never get to the formation.
	loseOrder   func(o *replicaset.Order) bool
	dropOutcome func(o *replicaset.Order) bool
	deadSince   map[ident.Incarnation]time.Time
	// stallConfirmed is set when entries find out together that a group has missed a pass.
	stallConfirmed bool
	demand         map[ident.Model]float64
	// drained are the halls that get no requests.
	drained    map[ident.Hall]bool
	ordersSent int
	decisions  int
	lastID     int
	violations []string
	// trace is what was decided, ordered and carried out.
	trace []string
}

func engineConfig() *httproute.Engine {
	return &httproute.Engine{
		Slots: 26, Stride: 5, LoadsPerSecond: 4, ConcurrentLoads: 6, OpenTime: 300 * time.Millisecond, FarFactor: 3,
		Models: []httproute.Model{
			{Name: "large", Size: 4, Share: 0.67, Pace: 1, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
			{Name: "small", Size: 2, Share: 0.33, Pace: 0.6, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
		},
	}
}

func newFleet(t *testing.T, seed uint64, domains, perDomain int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0), byID: map[ident.Incarnation]*engine{},
		config: engineConfig(), deadSince: map[ident.Incarnation]time.Time{},
	}
	f.startedAt = f.now
	for d := range domains {
		for range perDomain {
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

// elect begins another leader's reign, from a copy of the roster or from nothing.
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

// send delivers an order at once, after a moment, late, or never.
func (f *fleet) send(o replicaset.Order) {
	f.ordersSent++
	if f.maxTransit == 0 {
		outcome := f.deliverOrder(f.byID[o.To], &o)
		if f.dropOutcome == nil || !f.dropOutcome(&o) {
			f.formation.HandleOutcome(&o, outcome)
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
		f.schedule(at, func() { formation.HandleOutcome(&o, outcome) })
	})
}

func (f *fleet) transitDelay() time.Duration {
	return time.Duration(f.random.Int64N(int64(f.maxTransit)))
}

func (f *fleet) schedule(at time.Time, do func()) {
	f.inTransit = append(f.inTransit, delivery{at, do})
}

// deliverDue lets what is under way arrive.
func (f *fleet) deliverDue() {
	list := f.inTransit
	f.inTransit = nil
	for _, w := range list {
		if f.now.Before(w.due) {
			f.inTransit = append(f.inTransit, w)
			continue
		}
		w.run()
	}
}

// deliverOrder does what becomes of an order where it is sent to, and returns its outcome.
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

func (f *fleet) violationf(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%.2f s: ", f.now.Sub(f.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// tracef notes what happens; a failing test shows the end of it.
func (f *fleet) tracef(format string, args ...any) {
	f.trace = append(f.trace, fmt.Sprintf("%.2f s: ", f.now.Sub(f.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// execute does what an engine does with an order, and checks the rules.
func (f *fleet) execute(e *engine, o *replicaset.Order) replicaset.Outcome {
	f.tracef("%s of %s/%d carried out at %s, which is in %v, late: %v", o.Action, o.Group, o.Epoch, e.id, e.member, f.executingLate)
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
		// A head that opened by a late order a moment ago and has not been able to report it can't be known to be open.
		head := f.byID[e.members[0]]
		unknown := head.openedLate && head.reportDue && !f.strict
		serves := head.member.State == roster.MemberOpen || head.member.State == roster.MemberClosing
		if head.alive && head.member.Group == e.member.Group && serves && !unknown {
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
	wait := f.loadTime(m)
	switch {
	case e.lastModel == o.Model:
		wait = 200 * time.Millisecond
	case e.stagedModel == o.Model:
		wait = m.Warm
	}
	e.readyAt = f.now.Add(wait)
	e.reportDue = true
	return replicaset.OutcomeAccepted
}

// executeLateOrders carries out the late orders of groups that e was in, before it joins another by o. Who joins by one is ready at once, as if that had
// been a moment ago and nobody had heard of it yet.
func (f *fleet) executeLateOrders(e *engine, o *replicaset.Order) {
	f.executingLate = true
	defer func() { f.executingLate = false }()
	var rest []lateOrder
	for _, action := range []replicaset.Action{replicaset.ActionJoin, replicaset.ActionOpen} {
		rest = nil
		for _, l := range f.lateOrders {
			to := f.byID[l.order.To].newestIncarnation()
			if l.order.Action != action || l.order.Group == o.Group || !slices.Contains(l.order.Members, e.id) || !to.alive {
				rest = append(rest, l)
				continue
			}
			f.execute(to, &l.order)
			if to.member.Epoch == l.order.Epoch && to.member.State == roster.MemberJoining {
				to.member.State = roster.MemberReady
			}
		}
		f.lateOrders = rest
	}
}

// loadTime is how long weights take from the store: a tenth before the first request.
func (f *fleet) loadTime(m *httproute.Model) time.Duration {
	if f.now.Sub(f.startedAt) < 10*time.Second {
		return m.Load / 10
	}
	return m.Load
}

func (f *fleet) open(e *engine) replicaset.Outcome {
	if e.member.State != roster.MemberReady {
		return replicaset.OutcomeRefused
	}
	m, _ := f.config.Model(e.model)
	ready := 0
	for _, id := range e.members {
		o := f.byID[id]
		if o.alive && o.member.Group == e.member.Group && o.member.Epoch == e.member.Epoch && o.member.State == roster.MemberReady {
			ready++
		}
	}
	// A member that was ready and was lost since is no fault of the leader.
	lost := 0
	for _, id := range e.members {
		if !f.byID[id].alive {
			lost++
		}
	}
	// Nor is what happened since, when the order is carried out late: no entry sends requests to that group any more.
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

// advance lets a moment go by.
func (f *fleet) advance() {
	f.now = f.now.Add(tick)
	f.deliverDue()
	var rest []lateOrder
	for _, l := range f.lateOrders {
		switch e := f.byID[l.order.To].newestIncarnation(); {
		case f.now.Before(l.due):
			rest = append(rest, l)
		case e.alive:
			f.executingLate = true
			f.execute(e, &l.order)
			f.executingLate = false
		}
	}
	f.lateOrders = rest
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

// deliverReports hands over the reports that have arrived.
func (f *fleet) deliverReports() {
	var rest []delayedReport
	for _, r := range f.delayedReports {
		if f.now.Before(r.arrivesAt) {
			rest = append(rest, r)
			continue
		}
		f.roster.ApplyReport(f.now, r.report)
	}
	f.delayedReports = rest
}

// updateStall breaks a group whose head lacks a member for long enough.
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

func (f *fleet) complete(head *engine) bool {
	for _, id := range head.members {
		o := f.byID[id]
		if !o.alive || o.member.Group != head.member.Group || o.member.Epoch != head.member.Epoch {
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

// snapshot is what the leader would know: entries use every open group that they know of all the time.
func (f *fleet) snapshot() *replicaset.Snapshot {
	upstreams, ages := f.roster.Upstreams(f.now)
	w := &replicaset.Snapshot{Now: f.now, Upstreams: upstreams, ReportAges: ages, Observations: map[ident.Group]replicaset.Observation{}, Unreachable: map[ident.Incarnation]bool{}, Demand: f.demand}
	w.DrainedHalls = f.drained
	w.Slowdowns = map[ident.Incarnation]float64{}
	for _, e := range f.engines {
		if e.alive && e.slowdown > 1 {
			w.Slowdowns[e.id] = e.slowdown
		}
	}
	for _, g := range f.roster.Groups() {
		head := f.byID[g.Head()]
		sight := replicaset.Observation{}
		switch {
		case !head.alive:
			sight.SinceLastResponse = f.now.Sub(f.deadSince[head.id])
			// Streams at a group that closes break off with its head, and nothing new is sent there that could stand still.
			if g.Phase == roster.PhaseOpen {
				sight.StalledFor = sight.SinceLastResponse
			}
		case !head.pausedSince.IsZero():
			sight.SinceLastResponse = f.now.Sub(head.pausedSince)
			sight.StalledFor = sight.SinceLastResponse
		case !head.stalledSince.IsZero():
			sight.SinceLastResponse = f.now.Sub(head.stalledSince)
			sight.StalledFor = sight.SinceLastResponse
		}
		sight.StallConfirmed = f.stallConfirmed && sight.StalledFor >= 2*tick
		w.Observations[g.Name] = sight
	}
	for _, e := range f.engines {
		if e.alive && e.cutOff && !f.now.Before(e.probeFailsAt) {
			w.Unreachable[e.id] = true
		}
	}
	for id, at := range f.deadSince {
		if f.now.Sub(at) > f.probeDelay() && f.now.Sub(at) < 5*time.Second {
			w.Unreachable[id] = true
		}
	}
	return w
}

// probeDelay is how long after its end it is known that an upstream takes no connections: its group has to be found to stand still first.
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

// restart ends an engine and starts it again under its id: it holds and knows nothing of before but what is on its host.
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

// living returns the living engines in a fixed order.
func (f *fleet) living() []*engine {
	var list []*engine
	for _, e := range f.engines {
		if e.alive {
			list = append(list, e)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}

// serving counts the groups that could serve a request now.
func (f *fleet) serving() map[ident.Model]int {
	n := map[ident.Model]int{}
	for _, e := range f.engines {
		if e.alive && e.member.State == roster.MemberOpen && f.complete(e) {
			n[e.model]++
		}
	}
	return n
}

func (f *fleet) run(d time.Duration, each func()) {
	for range int(d / tick) {
		if each != nil {
			each()
		}
		f.advance()
	}
}

func (f *fleet) copyRoster() *roster.Copy {
	c := roster.NewCopy()
	d := f.roster.Since(0)
	c.Apply(&d)
	return c
}

// spare returns an upstream that is in no group.
func (f *fleet) spare() *engine {
	for _, e := range f.engines {
		if e.alive && e.member.State == roster.MemberNone {
			return e
		}
	}
	f.t.Fatal("no spare")
	return nil
}

// headOf returns the head of an open group of model.
func (f *fleet) headOf(model ident.Model) *engine {
	for _, e := range f.engines {
		if e.alive && e.member.State == roster.MemberOpen && e.model == model {
			return e
		}
	}
	f.t.Fatal("no open group")
	return nil
}
