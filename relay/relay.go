package relay

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/overload"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/sharing"
	"github.com/dunlinquay/dunlinquay/stall"
	"github.com/dunlinquay/dunlinquay/transport"
	"github.com/dunlinquay/dunlinquay/unread"
)

const (
	// stallSuspect is how long requests may wait at an engine without a sign before it is avoided: a pass with a full
	// batch takes 70 ms, with a long prompt read in between 200 ms.
	stallSuspect = 500 * time.Millisecond
	// firstEventLimit and eventLimit are how long a stream waits for an event before it is moved to another group.
	firstEventLimit = 900 * time.Millisecond
	eventLimit      = 550 * time.Millisecond
	// answerPart is the part of a repeatable request's aim after which it is tried elsewhere.
	answerPart = 0.9
	// lookAgain is how long a stalled stream waits before it looks for another group again.
	lookAgain = 100 * time.Millisecond
	// dialTimeout bounds the opening of a connection; it takes a few milliseconds within a region, and what is sent again after
	// a loss comes after a second.
	dialTimeout = 60 * time.Millisecond
	// maxArrivals bounds how often one request is sent, refusals included.
	maxArrivals = 4
	// leaveAhead is how long before keys lapse an entry stops being ready: balancers look each second or so, and want to miss it twice.
	leaveAhead = 2500 * time.Millisecond
	// unknownAfter is the age of the newest confirmation from the leader from which on an unknown route or key may be a new one.
	unknownAfter = 1500 * time.Millisecond
)

// Relay passes callers' requests on; exported fields are set before it serves.
type Relay struct {
	Names  Names
	Hall   ident.Hall
	Dial   transport.Dial
	Now    func() time.Time
	Budget *Budget
	// Regions are those of the halls, for routes and customers that are bound to some.
	Regions map[ident.Hall]ident.Region
	// KeysLapse is how long after the leader's newest confirmation keys are still believed.
	KeysLapse time.Duration
	// Observe takes each finished request; it must not block.
	Observe func(r *Record)
	// Tell passes on that a prompt was sent, to the entries that use the group or to all when there is no list; it must not block.
	Tell func(n News, to []string)
	// Quarantine is the work that is held because upstreams ended under it.
	Quarantine *quarantine.List
	// Note takes what operators are told of held work; it must not block.
	Note func(h *Holding)
	// Backoff is what upstreams asked this entry for, Asked takes what operators are told of it; it must not block.
	Backoff *backoff.List[ident.Incarnation]
	Asked   func(a *Asking)
	// Limits keep this entry, together with all others, within the limits that upstreams named.
	Limits *ratelimit.Limiter[ident.Incarnation]
	// Unread is what upstreams say in their answers that nothing here reads.
	Unread *unread.List[ident.Incarnation]
	// Draw returns a random number below n.
	Draw func(n int) int

	// memory bounds what is held for all requests.
	memory *memory
	// seats say which entry coordinates an upstream.
	seats     *ratelimit.Seats
	pool      *pool
	table     atomic.Pointer[httproute.Table]
	confirmed atomic.Pointer[time.Time]
	stopping  atomic.Bool
	working   sync.WaitGroup
	// began is when this relay was made, informed is closed with the first confirmation by control.
	began    time.Time
	informed chan struct{}

	mu      sync.Mutex
	copied  *roster.Copy
	entries *sharing.Entries
	// entriesSince is when this entry last heard of another one that it had not known.
	entriesSince time.Time
	fleet        *fleet
	states       map[ident.Incarnation]*targetState
	counts       counts
	demand       map[ident.Model]Demand
	// launch is what first words took beyond the estimate, by model.
	launch map[ident.Model]launch
	// margins are what is learnt of when events of a model come, firstMargins of its first words.
	margins      map[ident.Model]*stall.Margin
	firstMargins map[ident.Model]*stall.Margin
	// queues hold the requests that wait for groups, looking is set while any does.
	queues  map[line]*overload.Queue[*waiting]
	looking bool
	// promised are the times until which callers of each line were told to come back for what upstreams take within their limits.
	promised map[line]time.Time
	// refused is when a request was last refused here.
	refused time.Time
	// usual are the times that callers of a class say they wait.
	usual map[ident.Class]*overload.Usual
	// telling is set while other entries are told of works by turns.
	telling bool
	// candidates are those of the choice in progress.
	candidates candidates
	// turns hold the stream whose turn it is, of those that were held at the start.
	turns map[ident.Model]chan struct{}
}

// New returns a relay that knows no configuration yet.
func New(names Names, dial transport.Dial) *Relay {
	s := &Relay{
		Names: names, Dial: dial, Now: clock.Now, Observe: func(*Record) {}, Tell: func(News, []string) {}, Draw: rand.IntN,
		Quarantine: &quarantine.List{Rule: quarantine.DefaultRule()}, Note: func(*Holding) {},
		Backoff: backoff.New[ident.Incarnation](backoff.DefaultRule()), Asked: func(*Asking) {},
		copied: roster.NewCopy(),
		states: map[ident.Incarnation]*targetState{},
		counts: counts{spill: map[ident.Model]float64{}},
		demand: map[ident.Model]Demand{},
		launch: map[ident.Model]launch{}, margins: map[ident.Model]*stall.Margin{}, firstMargins: map[ident.Model]*stall.Margin{},
		queues: map[line]*overload.Queue[*waiting]{}, promised: map[line]time.Time{},
		usual: map[ident.Class]*overload.Usual{},
		turns: map[ident.Model]chan struct{}{},
		began: clock.Now(), informed: make(chan struct{}), memory: newMemory(memoryDefault),
	}
	s.fleet = newFleet(s.copied, nil, nil, nil)
	s.Limits = s.newLimits()
	s.Unread = unread.New[ident.Incarnation](names.Known()...)
	s.pool = newPool(dial, func() time.Time { return s.Now() })
	return s
}

// SetConfig puts a checked configuration in force for requests that come from now on.
func (s *Relay) SetConfig(cfg *httproute.Config) {
	table := httproute.NewTable(cfg)
	s.table.Store(table)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setFleet(newFleet(s.copied, table, s.entries, s.fleet.drained))
	s.forgetClasses(cfg)
	s.inform()
}

// Version returns the version in force, 0 when there is none.
func (s *Relay) Version() httproute.Version {
	if t := s.table.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// SetRoster applies what changed of upstreams and groups.
func (s *Relay) SetRoster(d *roster.Delta) {
	s.mu.Lock()
	s.copied.Apply(d)
	if d.Empty() {
		s.mu.Unlock()
		return
	}
	f := newFleet(s.copied, s.table.Load(), s.entries, s.fleet.drained)
	s.setFleet(f)
	now := s.Now()
	for group, head := range f.heads {
		s.state(head).belong(now, group)
	}
	for id, ts := range s.states {
		if !f.lives[id] && ts.inflight == 0 {
			delete(s.states, id)
		}
	}
	s.mu.Unlock()
	s.Unread.Keep(func(id ident.Incarnation) bool { return f.lives[id] })
	s.pool.prune(func(address string) bool { return f.addresses[address] })
}

// SetEntries tells which entries share the groups.
func (s *Relay) SetEntries(entries *sharing.Entries) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries != nil && entries.Adds(s.entries) {
		s.entriesSince = s.Now()
	}
	s.entries = entries
	s.seats.Set(entries)
	s.setFleet(newFleet(s.copied, s.table.Load(), entries, s.fleet.drained))
}

// setFleet puts targets in force; the mutex is held.
func (s *Relay) setFleet(f *fleet) {
	s.fleet = f
	s.Limits.Words.SetCaps(f.caps)
}

// SetDrained replaces the halls whose upstreams get no request from now on; what runs there goes on.
func (s *Relay) SetDrained(halls []ident.Hall) {
	drained := map[ident.Hall]bool{}
	for _, hall := range halls {
		drained[hall] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for hall := range s.fleet.drained {
		if !drained[hall] {
			s.chill(hall)
		}
	}
	s.setFleet(newFleet(s.copied, s.table.Load(), s.entries, drained))
}

// Sums returns the digests of what this entry has of the roster, nil when it has nothing.
func (s *Relay) Sums() *roster.Sums {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.copied.Upstreams) == 0 {
		return nil
	}
	return s.copied.Sums()
}

// Upstreams returns the lives of upstreams that this entry knows.
func (s *Relay) Upstreams() []ident.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.fleet.lives))
}

// Drained returns the halls whose upstreams get nothing new, in order.
func (s *Relay) Drained() []ident.Hall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.fleet.drained))
}

// chill takes the upstreams of a hall for cold until the leader says otherwise, as it does once they have reported; the mutex is held.
func (s *Relay) chill(hall ident.Hall) {
	for id, u := range s.copied.Upstreams {
		if u.Hall == hall {
			u.Cold = true
			s.copied.Upstreams[id] = u
		}
	}
}

// isDrained reports whether the upstreams of a hall get nothing new.
func (s *Relay) isDrained(hall ident.Hall) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fleet.drained[hall]
}

// SetConfirmed notes that everything the leader had confirmed at that moment is in force here.
func (s *Relay) SetConfirmed(at time.Time) {
	s.confirmed.Store(&at)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inform()
}

// ConfirmedAge returns how old the leader's newest confirmation is; it is very large before the first.
func (s *Relay) ConfirmedAge() time.Duration {
	if at := s.confirmed.Load(); at != nil {
		return s.Now().Sub(*at)
	}
	return time.Hour
}

// Ready reports whether callers may come here: requests can be served, also when those that come now are.
func (s *Relay) Ready() bool {
	return !s.stopping.Load() && s.table.Load() != nil && !s.lapsesSoon()
}

// lapsesSoon reports whether keys are believed for less time than the balancer and callers need to go elsewhere: an entry that is cut off
// from control would refuse them then.
func (s *Relay) lapsesSoon() bool {
	return s.ConfirmedAge() > s.KeysLapse-min(leaveAhead, s.KeysLapse/2)
}

// Stop makes answers close their connections; requests go on being served.
func (s *Relay) Stop() {
	s.stopping.Store(true)
}

// Stopping reports whether Stop was called.
func (s *Relay) Stopping() bool {
	return s.stopping.Load()
}

// Demand is work that was asked for.
type Demand struct {
	Requests int
	Prompt   ident.Tokens
	Answer   ident.Tokens
}

// Seen is what this entry saw of one upstream that it has requests at or heard from.
type Seen struct {
	ID       ident.Incarnation
	Group    ident.Group
	Inflight int
	// Answered is how long ago it last sent anything; negative when it never did.
	Answered time.Duration
	Silence  time.Duration
	// Stands is set when the group stands still by what several entries saw.
	Stands  bool
	Refused bool
	Blamed  string
	// Backoff is how long it wants nothing from this entry yet, Leaving is set when that is because it leaves.
	Backoff time.Duration
	Leaving bool
	// Limit is what is known of its limit, nil where it has none.
	Limit *LimitSeen
	// Events and Pauses are the events that came since the last look and the time between them, over all streams.
	Events int
	Pauses time.Duration
}

// Look returns what was seen of every upstream, and the demand since the last look.
func (s *Relay) Look() ([]Seen, map[ident.Model]Demand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	groups := map[ident.Incarnation]ident.Group{}
	for name, head := range s.fleet.heads {
		groups[head] = name
	}
	var seen []Seen
	for id, ts := range s.states {
		stands := s.stalled(ts, now)
		asked := s.Backoff.Of(now, id)
		limit := s.limitSeen(id, now)
		if ts.inflight == 0 && ts.answered.IsZero() && !ts.refused && !stands && asked.Left == 0 && limit == nil {
			continue
		}
		one := Seen{ID: id, Group: groups[id], Inflight: ts.inflight, Answered: -1, Silence: ts.silence(now), Refused: ts.refused, Blamed: ts.blamed}
		one.Stands = stands
		one.Backoff, one.Leaving, one.Limit = asked.Left, asked.Leaving, limit
		one.Events, one.Pauses = ts.events, ts.pauses
		ts.events, ts.pauses = 0, 0
		if !ts.answered.IsZero() {
			one.Answered = now.Sub(ts.answered)
		}
		seen = append(seen, one)
	}
	demand := s.demand
	s.demand = map[ident.Model]Demand{}
	return seen, demand
}

// ServeHTTP takes one caller's request.
func (s *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.working.Add(1)
	defer s.working.Done()
	x := s.newExchange(w, r)
	defer x.releaseMemory()
	err := x.admit()
	if err == nil {
		err = x.run()
	}
	x.finish(err)
}

// Wait returns when no request is in progress.
func (s *Relay) Wait() {
	s.working.Wait()
}

// Record tells how one request went.
type Record struct {
	ID       string
	Route    ident.Class
	Customer ident.Customer
	Model    ident.Model
	// Content is the digest of the request's path and body.
	Content ident.Content
	Code    result.Code
	Status  int
	Text    string
	// Version and Revision are the configuration and the roster that decided, ConfirmedAge the age of the leader's confirmation.
	Version      httproute.Version
	Revision     roster.Revision
	ConfirmedAge time.Duration
	Tries        []Try
	Prompt       ident.Tokens
	Events       int
	First        time.Duration
	// Expected is when the first word was to come by the estimate of the first try, 0 where there is none.
	Expected time.Duration
	// Gap is the longest pause between two events.
	Gap   time.Duration
	Total time.Duration
	// Spent is what the caller spent on earlier tries, as far as that is known.
	Spent time.Duration
	// LimitWaits is how often nothing was to be had of the limit of an upstream that the request was meant for.
	LimitWaits int
	// Retry is when the caller was told to come back.
	Retry time.Duration
}

// Try is one upstream that a request was meant for.
type Try struct {
	To     ident.Incarnation `json:"to"`
	Group  ident.Group       `json:"group,omitempty"`
	Result string            `json:"result"`
	// AtMS is when it began, in ms after the request came.
	AtMS int64 `json:"at-ms"`
	// FirstMS is the estimated time to the first word in ms, Unread and Requests are what this entry knew to be there.
	FirstMS  int64        `json:"first-ms,omitempty"`
	Unread   ident.Tokens `json:"unread,omitempty"`
	Requests int          `json:"requests,omitempty"`
	// SilentMS is how long it had been silent in ms when it was given up, and Suspicions how many entries suspected its group.
	SilentMS   int64 `json:"silent-ms,omitempty"`
	Suspicions int   `json:"suspicions,omitempty"`
	// Cut says how the connection of a try ended that has no whole answer, RanMS is how long after the request was sent in ms, and
	// Events how many events had come of it.
	Cut    Cut   `json:"cut,omitempty"`
	RanMS  int64 `json:"ran-ms,omitempty"`
	Events int   `json:"events,omitempty"`
	// Status is the upstream's answer where that was a failure or a refusal, RetryAfter what it said of when to come back, and
	// Leaving is set when it said that it leaves.
	Status     int    `json:"status,omitempty"`
	RetryAfter string `json:"retry-after,omitempty"`
	Leaving    bool   `json:"leaving,omitempty"`
	// Limit is the limit that it named in its answer, in requests a second.
	Limit ratelimit.Rate `json:"limit,omitempty"`
	// PassedOver is how many others wanted nothing when this one was chosen.
	PassedOver int `json:"passed-over,omitempty"`
}
