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
	// leadInterval is how often the leader looks at its groups when nothing changes.
	leadInterval = 50 * time.Millisecond
	// leadPause gathers the changes of one moment, lookFactor does so for longer where a look takes long: the leader has to hear entries,
	// upstreams and voters between its looks.
	leadPause  = 10 * time.Millisecond
	lookFactor = 3
	// settleReports is how many report intervals a leader without a copy waits until it believes its roster.
	settleReports = 2
	// silentReports and forgetReports are how many intervals without a report make an upstream silent, and forgotten.
	silentReports = 2.3
	forgetReports = 40
	// copyFresh is the age up to which a follower's copy is a start for a new leader.
	copyFresh = 10 * time.Second
	// arrivalPause is the part of a report interval without a new upstream after which the first groups are formed,
	// arrivalLimit how many intervals after the first upstream they are formed at the latest: upstreams that start together
	// report for the first time within two.
	arrivalPause = 0.35
	arrivalLimit = 3
	// entryAway is how long an entry that does not call still counts as one.
	entryAway = 3 * time.Second
	// orderTimeout bounds an order; engines answer at once.
	orderTimeout = time.Second
	// epochBits is the room for the groups of one term below the term in an epoch.
	epochBits = 24
	// neverAnswered stands for the age of an answer that never came.
	neverAnswered = time.Hour
)

type orderAnswer struct {
	service ident.Service
	order   replicaset.Order
	outcome replicaset.Outcome
}

type leadership struct {
	c    *Control
	name LeadershipID
	term quorum.Term
	// began is a time of day, for operators.
	began  time.Time
	roster *roster.Roster
	// view is what entries get of the roster.
	view *roster.View
	// settleAt is when the roster is believed.
	settleAt time.Time

	// looking is held during each look at the groups; formations and decisions belong to it.
	looking    sync.Mutex
	formations map[ident.Service]*replicaset.Formation
	decisions  decisions
	counter    uint64
	answers    chan orderAnswer
	early      bool
	probes     *probes
	paces      *paces
	// forgotAt is when what ended upstreams said was last forgotten.
	forgotAt time.Time
	// known is how many upstreams there were, firstArrived and lastArrived when the first and the newest one was seen.
	known        int
	firstArrived time.Time
	lastArrived  time.Time

	mu      sync.Mutex
	entries map[string]*entryState
	// lists are the entries by hall.
	lists  *entryLists
	totals map[ident.Incarnation]int
	// encoded are the totals as they were encoded at totalsAt.
	encoded  []byte
	totalsAt time.Time
	// packedView and packedAll are what is sent to who has nothing.
	packedView packedRoster
	packedAll  packedRoster
	// paced gives turns to replies that carry much.
	paced pacer
	// apart is how many entries go by their own parts of upstreams' limits.
	apart  map[ident.Incarnation]int
	demand DemandRates
	served bool
	// undeclared are reports of upstreams whose service is not declared.
	undeclared undeclared
	// rollout follows accepted configurations to the entries.
	rollout *rollout[httproute.Version]
	// drains follows orders on halls to the entries.
	drains *rollout[catalog.DrainRevision]
}

// mbit is in bytes.
const mbit = 1e6 / 8

// answersLength bounds the outcomes that wait for the leader's next look.
const answersLength = 256

func (c *Control) newLeadership(s *quorum.Status) *leadership {
	now := clock.Now()
	r := &leadership{
		c: c, term: s.Term, began: time.Now(), roster: roster.New(),
		name:       LeadershipID(string(c.self.Folder) + "/" + strconv.FormatUint(uint64(s.Term), 10)),
		formations: map[ident.Service]*replicaset.Formation{},
		answers:    make(chan orderAnswer, answersLength),
		entries:    map[string]*entryState{},
		lists:      newEntryLists(),
		totals:     map[ident.Incarnation]int{},
		apart:      map[ident.Incarnation]int{},
		paced:      pacer{rate: pacedPart * float64(c.Settings.LinkMbps) * mbit},
		early:      c.Settings.FirstStart,
		probes:     newProbes(c.Dial),
		paces:      newPaces(c.paceAsker(), c.Log),
		rollout:    newRollout[httproute.Version](now, int(c.entriesHeard.Load())),
		drains:     newRollout[catalog.DrainRevision](now, int(c.entriesHeard.Load())),
	}
	if held := c.machine.Held().Version; held > 0 {
		r.rollout.accept(now, now, held)
	}
	if drained := c.machine.Drained().Revision; drained > 0 {
		r.drains.accept(now, now, drained)
	}
	r.view = roster.NewView(r.roster)
	report := c.Settings.Times.Report.Std()
	r.roster.SilentAfter = time.Duration(silentReports * float64(report))
	r.roster.ForgetAfter = forgetReports * report
	c.mu.Lock()
	defer c.mu.Unlock()
	fresh := !c.copiedAt.IsZero() && now.Sub(c.copiedAt) < copyFresh
	if fresh || c.recalled && c.copiedAt.IsZero() {
		r.seed(now, c.copied)
	}
	if !fresh && !c.Settings.FirstStart {
		r.settleAt = now.Add(settleReports * report)
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
	return !now.Before(r.settleAt)
}

// leadLoop begins and ends leaderships and looks after the groups.
func (c *Control) leadLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r := c.currentLeadership()
		if r == nil {
			pause(ctx, leadInterval/2)
			continue
		}
		_, changed := r.roster.Changed()
		began := clock.Now()
		r.step()
		r.wait(ctx, changed, lookPause(clock.Since(began)))
	}
}

func (c *Control) currentLeadership() *leadership {
	s := c.node.Status()
	r := c.leadership.Load()
	if r != nil && (s.Role != quorum.RoleLeader || s.Term != r.term) {
		c.Log.Info("leadership ended", "leadership", r.name, "leader", s.Leader, "term", s.Term)
		c.leadership.Store(nil)
		// Calls that wait here for news go to the next leader at once.
		c.renew()
		r = nil
	}
	if r == nil && c.leads() {
		r = c.newLeadership(&s)
		c.Log.Info("leadership began", "leadership", r.name, "settled-in-ms", max(0, r.settleAt.Sub(clock.Now()).Milliseconds()),
			"upstreams", len(r.roster.Since(0).Upstreams), "version", c.machine.Held().Version)
		c.leadership.Store(r)
	}
	return r
}

// lookPause returns how long changes are gathered after a look that took so long.
func lookPause(took time.Duration) time.Duration {
	return min(leadInterval, max(leadPause, lookFactor*took))
}

// wait returns when it is time for the next look, a pause after a change at the soonest.
func (r *leadership) wait(ctx context.Context, changed <-chan struct{}, least time.Duration) {
	timer := time.NewTimer(leadInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-changed:
		pause(ctx, least)
	case a := <-r.answers:
		r.looking.Lock()
		defer r.looking.Unlock()
		r.answered(&a)
	}
}

func (r *leadership) answered(a *orderAnswer) {
	if f := r.formations[a.service]; f != nil {
		f.HandleOutcome(&a.order, a.outcome)
	}
	r.c.tallies.order(a.order.Action, a.outcome)
	r.c.Log.Info("order answered", "to", a.order.To, "action", a.order.Action, "group", a.order.Group, "epoch", a.order.Epoch, "outcome", a.outcome,
		"known", a.order.Context)
}

// step looks at every service with engines; without the lease nothing is ordered.
func (r *leadership) step() {
	r.looking.Lock()
	defer r.looking.Unlock()
	for range len(r.answers) {
		a := <-r.answers
		r.answered(&a)
	}
	now := clock.Now()
	if !r.c.leads() {
		return
	}
	r.logRollouts(now)
	r.roster.Expire(now)
	r.forgetUnread(now)
	table := r.c.newestTable()
	if table == nil {
		return
	}
	r.takeDeclared(now, table)
	defer r.show(table)
	w := r.world(now)
	r.paces.look(w, r.roster.Groups(), table)
	r.c.tallies.count(now, r.roster.Groups(), w.Upstreams)
	for i := range table.Config.Services {
		s := &table.Config.Services[i]
		if s.Engine == nil {
			continue
		}
		f := r.formation(s.Name)
		f.BeforeFirstRequest = r.early
		if !r.settled(now) || r.arriving(now, len(w.Upstreams)) {
			f.Adopt(w, s.Engine)
			continue
		}
		f.Step(w, s.Engine)
	}
}

// logRollouts logs which configurations, and orders on halls, have reached all entries, and which are late at some.
func (r *leadership) logRollouts(now time.Time) {
	for _, report := range r.drains.reports(now) {
		r.c.Log.Info("drained halls followed to the entries", "revision", report.Version, "entries", report.Entries,
			"after-ms", report.After.Milliseconds(), "missing", report.Missing)
	}
	for _, report := range r.rollout.reports(now) {
		r.c.tallies.rollout(&report)
		if len(report.Missing) == 0 {
			r.c.Log.Info("configuration in force at all entries", "version", report.Version, "entries", report.Entries, "after-ms", report.After.Milliseconds())
			continue
		}
		r.c.Log.Info("configuration late at some entries", "version", report.Version, "entries", report.Entries, "after-ms", report.After.Milliseconds(),
			"missing", report.Missing)
	}
}

// show brings the view for entries up to date.
func (r *leadership) show(table *httproute.Table) {
	r.view.Update(func(name ident.Service) bool {
		s := table.Service(name)
		return s == nil || s.Engine == nil
	})
}

// arriving reports whether upstreams still come in for the first time at the start of a site: groups that are formed of
// the first few would be spread over the domains badly.
func (r *leadership) arriving(now time.Time, upstreams int) bool {
	if !r.early {
		return false
	}
	if r.known == 0 {
		r.firstArrived = now
	}
	if upstreams > r.known {
		r.known = upstreams
		r.lastArrived = now
	}
	report := float64(r.c.Settings.Times.Report)
	return now.Sub(r.lastArrived) < time.Duration(arrivalPause*report) && now.Sub(r.firstArrived) < time.Duration(arrivalLimit*report)
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
		r.counter++
		return ident.Epoch(uint64(r.term)<<epochBits | r.counter)
	}
	f.Send = func(o replicaset.Order) { r.order(service, o) }
	f.RecordDecision = func(g *roster.Group, decision, reason string) {
		r.decisions.add(&GroupDecision{time.Now(), g.Name, g.Model, g.Members, decision, reason})
		r.c.Log.Info("group "+decision, "group", g.Name, "epoch", g.Epoch, "model", g.Model, "members", g.Members, "far", g.Far, "reason", reason)
	}
	r.formations[service] = f
	return f
}

// order gives an order in the background, under the lease that holds at that moment.
func (r *leadership) order(service ident.Service, o replicaset.Order) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		outcome := replicaset.OutcomeUnknown
		// What it asked for binds orders too; the formation gives the order again.
		if r.c.leads() && !r.c.waits(o.To) {
			outcome = r.c.SendOrder(ctx, &o)
		}
		select {
		case r.answers <- orderAnswer{service, o, outcome}:
		default:
			r.c.Log.Info("outcome of an order dropped, the leader is behind", "to", o.To, "action", o.Action)
		}
	}()
}

func (r *leadership) world(now time.Time) *replicaset.Snapshot {
	upstreams, ages := r.roster.Upstreams(now)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.served {
		r.early = false
	}
	w := &replicaset.Snapshot{
		Now: now, Upstreams: upstreams, ReportAges: ages, Observations: r.sights(now), Demand: r.demand.At(now), DrainedHalls: r.c.drainedHalls(),
	}
	r.probes.look(w, r.roster.Groups())
	w.Unreachable = r.probes.dead(now, ages)
	return w
}
