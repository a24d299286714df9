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
	step        = 50 * time.Millisecond
	reportEvery = 1200 * time.Millisecond
	breakAfter  = 5 * time.Second
	answerWait  = time.Second
)

// engine is one upstream as the published interface describes it.
type engine struct {
	id       ident.Incarnation
	address  string
	hall     ident.Hall
	domain   ident.Domain
	alive    bool
	left     bool
	draining bool
	cut      bool // control does not reach it, nor it control
	// refuses is set when what is sent to it behind the cut is refused and not lost, probedAt is when control finds that out by itself.
	refuses  bool
	probedAt time.Time
	member   roster.Membership
	members  []ident.Incarnation
	model    ident.Model
	readyAt  time.Time
	closedAt time.Time
	last     ident.Model
	staged   ident.Model
	stageAt  time.Time
	staging  ident.Model
	highest  ident.Epoch
	stoodAt  time.Time
	// pausedAt is since when a group that is whole sends nothing.
	pausedAt time.Time
	sequence uint64
	told     time.Time
	changed  bool
	lateOpen bool
	// pace is how many times slower it is.
	pace float64
	// again is the next life of the same upstream.
	again *engine
}

// newest returns the life that answers to the engine's id now.
func (e *engine) newest() *engine {
	for e.again != nil {
		e = e.again
	}
	return e
}

// lateReport is a report on its way.
type lateReport struct {
	at     time.Time
	report *roster.Report
}

// onItsWay is an order or an answer that is under way.
type onItsWay struct {
	at time.Time
	do func()
}

type lateOrder struct {
	at    time.Time
	order replicaset.Order
}

// fleet is a set of engines, the present leader, and the checks of what must always hold.
type fleet struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Time
	began     time.Time
	engines   []*engine
	byID      map[ident.Incarnation]*engine
	model     *httproute.Engine
	roster    *roster.Roster
	formation *replicaset.Formation
	term      uint64
	counter   uint64
	late      []lateOrder
	lateNow   bool
	lateShare float64
	lostShare float64
	// garbledShare is the part of the orders that are carried out and whose answers can't be read, reportDelay how long a report is on its
	// way at most.
	garbledShare float64
	reportDelay  time.Duration
	reports      []lateReport
	// transit is how long an order, and the answer to it, is under way at most; an answer that can't come is known to be missing after
	// answerWait. droppedShare is the part of the outcomes that never get to the formation.
	transit      time.Duration
	droppedShare float64
	underWay     []onItsWay
	// strict is set when a member may join elsewhere only if its own head is certainly not open, also by a late order that nobody can
	// know of.
	strict bool
	// spite is set when late orders are carried out at the worst moment: right before one of their group joins another.
	spite bool
	// opened is told of heads that open.
	opened func(e *engine)
	// lose tells which orders never arrive, drop which outcomes never get to the formation.
	lose      func(o *replicaset.Order) bool
	drop      func(o *replicaset.Order) bool
	deadSince map[ident.Incarnation]time.Time
	// together is set when entries find out together that a group has missed a pass.
	together bool
	demand   map[ident.Model]float64
	// drained are the halls that get no requests.
	drained   map[ident.Hall]bool
	orders    int
	decisions int
	next      int
	faults    []string
	// trace is what was decided, ordered and carried out.
	trace []string
}

func models() *httproute.Engine {
	return &httproute.Engine{
		Slots: 26, Stride: 5, LoadsPerSecond: 4, ConcurrentLoads: 6, OpenTime: 300 * time.Millisecond, FarFactor: 3,
		Models: []httproute.Model{
			{Name: "large", Size: 4, Share: 0.67, Pace: 1, Load: 16 * time.Second, Warm: 1600 * time.Millisecond},
			{Name: "small", Size: 2, Share: 0.33, Pace: 0.6, Load: 12 * time.Second, Warm: 1100 * time.Millisecond},
		},
	}
}

func newFleet(t *testing.T, seed uint64, domains, each int) *fleet {
	t.Helper()
	f := &fleet{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), now: time.Unix(1000, 0), byID: map[ident.Incarnation]*engine{},
		model: models(), deadSince: map[ident.Incarnation]time.Time{},
	}
	f.began = f.now
	for d := range domains {
		for range each {
			f.add(ident.Domain(fmt.Sprintf("domain-%d", d)), ident.Hall(fmt.Sprintf("hall-%d", d/2)), "")
		}
	}
	f.elect(nil)
	return f
}

func (f *fleet) add(domain ident.Domain, hall ident.Hall, address string) *engine {
	f.next++
	if address == "" {
		address = fmt.Sprintf("10.0.0.%d:80", f.next)
	}
	e := &engine{id: ident.Incarnation(fmt.Sprintf("i-%03d", f.next)), address: address, hall: hall, domain: domain, alive: true, changed: true}
	f.engines = append(f.engines, e)
	f.byID[e.id] = e
	return e
}

// elect begins another leader's reign, from a copy of the roster or from nothing.
func (f *fleet) elect(copied *roster.Copy) {
	f.term++
	f.counter = 0
	f.roster = roster.New()
	f.roster.SilentAfter = 2300 * reportEvery / 1000
	f.roster.ForgetAfter = 40 * reportEvery
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
	fo := replicaset.NewFormation()
	fo.Service = "model"
	fo.Roster = f.roster
	fo.Fence = f.term
	fo.BeforeFirstRequest = f.term == 1
	term := f.term
	fo.NextEpoch = func() ident.Epoch {
		f.counter++
		return ident.Epoch(term<<24 | f.counter)
	}
	fo.Send = f.give
	fo.RecordDecision = func(g *roster.Group, decision, reason string) {
		f.decisions++
		f.tracef("%s/%d %v %s: %s", g.Name, g.Epoch, g.Members, decision, reason)
	}
	f.tracef("leader %d", f.term)
	f.formation = fo
}

// give delivers an order at once, after a moment, late, or never.
func (f *fleet) give(o replicaset.Order) {
	f.orders++
	if f.transit == 0 {
		outcome := f.arrive(f.byID[o.To], &o)
		if f.drop == nil || !f.drop(&o) {
			f.formation.HandleOutcome(&o, outcome)
		}
		return
	}
	given, formation := f.now, f.formation
	f.after(f.now.Add(f.moment()), func() {
		outcome := f.arrive(f.byID[o.To].newest(), &o)
		at := f.now.Add(f.moment())
		if outcome == replicaset.OutcomeUnknown {
			at = given.Add(answerWait)
		}
		if f.random.Float64() < f.droppedShare {
			return
		}
		f.after(at, func() { formation.HandleOutcome(&o, outcome) })
	})
}

func (f *fleet) moment() time.Duration { return time.Duration(f.random.Int64N(int64(f.transit))) }

func (f *fleet) after(at time.Time, do func()) { f.underWay = append(f.underWay, onItsWay{at, do}) }

// move lets what is under way arrive.
func (f *fleet) move() {
	list := f.underWay
	f.underWay = nil
	for _, w := range list {
		if f.now.Before(w.at) {
			f.underWay = append(f.underWay, w)
			continue
		}
		w.do()
	}
}

// arrive does what becomes of an order where it is sent to, and returns its outcome.
func (f *fleet) arrive(e *engine, o *replicaset.Order) (outcome replicaset.Outcome) {
	defer func() { f.tracef("%s of %s/%d to %s: %s", o.Action, o.Group, o.Epoch, e.id, outcome) }()
	switch chance := f.random.Float64(); {
	case !e.alive && !e.left:
		return replicaset.OutcomeUnknown
	case !e.alive:
		return replicaset.OutcomeConnectionRefused
	case e.cut && e.refuses:
		return replicaset.OutcomeConnectionRefused
	case e.cut, f.lose != nil && f.lose(o), chance < f.lostShare:
		return replicaset.OutcomeUnknown
	case chance < f.lostShare+f.lateShare:
		after := 2*time.Second + time.Duration(f.random.Int64N(int64(10*time.Second)))
		f.late = append(f.late, lateOrder{f.now.Add(after), *o})
		return replicaset.OutcomeUnknown
	case chance < f.lostShare+f.lateShare+f.garbledShare:
		f.carryOut(e, o)
		return replicaset.OutcomeUnknown
	}
	return f.carryOut(e, o)
}

func (f *fleet) faultf(format string, args ...any) {
	f.faults = append(f.faults, fmt.Sprintf("%.2f s: ", f.now.Sub(f.began).Seconds())+fmt.Sprintf(format, args...))
}

// tracef notes what happens; a failing test shows the end of it.
func (f *fleet) tracef(format string, args ...any) {
	f.trace = append(f.trace, fmt.Sprintf("%.2f s: ", f.now.Sub(f.began).Seconds())+fmt.Sprintf(format, args...))
}

// carryOut does what an engine does with an order, and checks the rules.
func (f *fleet) carryOut(e *engine, o *replicaset.Order) replicaset.Outcome {
	f.tracef("%s of %s/%d carried out at %s, which is in %v, late: %v", o.Action, o.Group, o.Epoch, e.id, e.member, f.lateNow)
	switch o.Action {
	case replicaset.ActionJoin:
		return f.join(e, o)
	case replicaset.ActionStage:
		m, _ := f.model.Model(o.Model)
		e.staging, e.stageAt = o.Model, f.now.Add(f.load(m))
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
			e.changed = true
		}
	case replicaset.ActionLeave:
		e.member = roster.Membership{}
		e.members = nil
		e.changed = true
	}
	return replicaset.OutcomeAccepted
}

func (f *fleet) join(e *engine, o *replicaset.Order) replicaset.Outcome {
	if e.member.Group == o.Group && e.member.Epoch == o.Epoch {
		return replicaset.OutcomeAccepted
	}
	if f.spite && !f.lateNow && f.random.IntN(2) == 0 {
		f.spoil(e, o)
	}
	if o.Epoch < e.highest {
		return replicaset.OutcomeFenced
	}
	if len(e.members) > 0 {
		// A head that opened by a late order a moment ago and has not been able to report it can't be known to be open.
		head := f.byID[e.members[0]]
		unknown := head.lateOpen && head.changed && !f.strict
		serves := head.member.State == roster.MemberOpen || head.member.State == roster.MemberClosing
		if head.alive && head.member.Group == e.member.Group && serves && !unknown {
			f.faultf("%s joins %s while the head %s of its group %s is %s", e.id, o.Group, head.id, e.member.Group, head.member.State)
		}
	}
	m, _ := f.model.Model(o.Model)
	e.highest = o.Epoch
	e.members = o.Members
	e.model = o.Model
	rank := 0
	for i, id := range o.Members {
		if id == e.id {
			rank = i
		}
	}
	e.member = roster.Membership{Group: o.Group, Epoch: o.Epoch, Rank: rank, State: roster.MemberJoining}
	wait := f.load(m)
	switch {
	case e.last == o.Model:
		wait = 200 * time.Millisecond
	case e.staged == o.Model:
		wait = m.Warm
	}
	e.readyAt = f.now.Add(wait)
	e.changed = true
	return replicaset.OutcomeAccepted
}

// spoil carries out the late orders of groups that e was in, before it joins another by o. Who joins by one is ready at once, as if that had
// been a moment ago and nobody had heard of it yet.
func (f *fleet) spoil(e *engine, o *replicaset.Order) {
	f.lateNow = true
	defer func() { f.lateNow = false }()
	var rest []lateOrder
	for _, action := range []replicaset.Action{replicaset.ActionJoin, replicaset.ActionOpen} {
		rest = nil
		for _, l := range f.late {
			to := f.byID[l.order.To].newest()
			if l.order.Action != action || l.order.Group == o.Group || !slices.Contains(l.order.Members, e.id) || !to.alive {
				rest = append(rest, l)
				continue
			}
			f.carryOut(to, &l.order)
			if to.member.Epoch == l.order.Epoch && to.member.State == roster.MemberJoining {
				to.member.State = roster.MemberReady
			}
		}
		f.late = rest
	}
}

// load is how long weights take from the store: a tenth before the first request.
func (f *fleet) load(m *httproute.Model) time.Duration {
	if f.now.Sub(f.began) < 10*time.Second {
		return m.Load / 10
	}
	return m.Load
}

func (f *fleet) open(e *engine) replicaset.Outcome {
	if e.member.State != roster.MemberReady {
		return replicaset.OutcomeRefused
	}
	m, _ := f.model.Model(e.model)
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
	if !f.lateNow && (len(e.members) != m.Size || ready+lost < m.Size) {
		f.faultf("%s opens %s with %d of %d members ready", e.id, e.member.Group, ready, m.Size)
	}
	e.member.State = roster.MemberOpen
	e.lateOpen = f.lateNow
	e.changed = true
	if f.opened != nil {
		f.opened(e)
	}
	return replicaset.OutcomeAccepted
}

// pass lets a moment go by.
func (f *fleet) pass() {
	f.now = f.now.Add(step)
	f.move()
	var rest []lateOrder
	for _, l := range f.late {
		switch e := f.byID[l.order.To].newest(); {
		case f.now.Before(l.at):
			rest = append(rest, l)
		case e.alive:
			f.lateNow = true
			f.carryOut(e, &l.order)
			f.lateNow = false
		}
	}
	f.late = rest
	for _, e := range f.engines {
		f.progress(e)
	}
	f.deliver()
	if f.now.Sub(f.began) > 10*time.Second {
		f.formation.BeforeFirstRequest = false
	}
	f.roster.Expire(f.now)
	f.formation.Step(f.world(), f.model)
}

func (f *fleet) progress(e *engine) {
	if !e.alive {
		return
	}
	if e.member.State == roster.MemberJoining && !f.now.Before(e.readyAt) {
		e.member.State = roster.MemberReady
		e.last, e.staged = e.model, e.model
		e.changed = true
	}
	if e.member.State == roster.MemberClosing && !f.now.Before(e.closedAt) {
		e.member.State = roster.MemberReady
		e.changed = true
	}
	if e.staging != "" && !f.now.Before(e.stageAt) {
		e.staged, e.staging = e.staging, ""
		e.changed = true
	}
	f.standStill(e)
	if e.left || e.cut || !e.changed && f.now.Sub(e.told) < reportEvery {
		return
	}
	e.sequence++
	if f.random.Float64() < f.lostShare {
		return
	}
	e.changed = false
	e.told = f.now
	if f.reportDelay == 0 {
		f.roster.ApplyReport(f.now, f.report(e))
		return
	}
	after := time.Duration(f.random.Int64N(int64(f.reportDelay)))
	f.reports = append(f.reports, lateReport{f.now.Add(after), f.report(e)})
}

// deliver hands over the reports that have arrived.
func (f *fleet) deliver() {
	var rest []lateReport
	for _, r := range f.reports {
		if f.now.Before(r.at) {
			rest = append(rest, r)
			continue
		}
		f.roster.ApplyReport(f.now, r.report)
	}
	f.reports = rest
}

// standStill breaks a group whose head lacks a member for long enough.
func (f *fleet) standStill(e *engine) {
	if e.member.State != roster.MemberOpen && e.member.State != roster.MemberClosing {
		e.stoodAt = time.Time{}
		return
	}
	if f.whole(e) {
		e.stoodAt = time.Time{}
		return
	}
	if e.stoodAt.IsZero() {
		e.stoodAt = f.now
	}
	if f.now.Sub(e.stoodAt) >= breakAfter {
		e.member.State = roster.MemberBroken
		e.changed = true
	}
}

func (f *fleet) whole(head *engine) bool {
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
	if e.last != "" {
		r.Loaded = []ident.Model{e.last}
	}
	if e.staged != "" {
		r.Staged = []ident.Model{e.staged}
	}
	return r
}

// world is what the leader would know: entries use every open group that they know of all the time.
func (f *fleet) world() *replicaset.Snapshot {
	upstreams, ages := f.roster.Upstreams(f.now)
	w := &replicaset.Snapshot{Now: f.now, Upstreams: upstreams, ReportAges: ages, Observations: map[ident.Group]replicaset.Observation{}, Unreachable: map[ident.Incarnation]bool{}, Demand: f.demand}
	w.DrainedHalls = f.drained
	w.Slowdowns = map[ident.Incarnation]float64{}
	for _, e := range f.engines {
		if e.alive && e.pace > 1 {
			w.Slowdowns[e.id] = e.pace
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
		case !head.pausedAt.IsZero():
			sight.SinceLastResponse = f.now.Sub(head.pausedAt)
			sight.StalledFor = sight.SinceLastResponse
		case !head.stoodAt.IsZero():
			sight.SinceLastResponse = f.now.Sub(head.stoodAt)
			sight.StalledFor = sight.SinceLastResponse
		}
		sight.StallConfirmed = f.together && sight.StalledFor >= 2*step
		w.Observations[g.Name] = sight
	}
	for _, e := range f.engines {
		if e.alive && e.cut && !f.now.Before(e.probedAt) {
			w.Unreachable[e.id] = true
		}
	}
	for id, at := range f.deadSince {
		if f.now.Sub(at) > f.probed() && f.now.Sub(at) < 5*time.Second {
			w.Unreachable[id] = true
		}
	}
	return w
}

// probed is how long after its end it is known that an upstream takes no connections: its group has to be found to stand still first.
func (f *fleet) probed() time.Duration {
	if f.together {
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
	born := ident.StartTime(f.now.UnixMilli())
	again := &engine{
		id: ident.IncarnationOf(e.id.UpstreamID(), born), address: e.address, hall: e.hall, domain: e.domain, staged: e.staged, cut: e.cut,
		alive: true, changed: true,
	}
	e.again = again
	f.engines = append(f.engines, again)
	f.byID[again.id] = again
	return again
}

// alive returns the living engines in a fixed order.
func (f *fleet) alive() []*engine {
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
		if e.alive && e.member.State == roster.MemberOpen && f.whole(e) {
			n[e.model]++
		}
	}
	return n
}

func (f *fleet) run(d time.Duration, each func()) {
	for range int(d / step) {
		if each != nil {
			each()
		}
		f.pass()
	}
}

func (f *fleet) copied() *roster.Copy {
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
