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
	// silenceLimit is how long requests may wait at an engine without a sign before it is avoided: a pass with a full
	// batch takes 70 ms, with a long prompt read in between 200 ms.
	silenceLimit = 500 * time.Millisecond
	// firstEventTimeout and eventGapTimeout are how long a stream waits for an event before it is moved to another group.
	firstEventTimeout = 900 * time.Millisecond
	eventGapTimeout   = 550 * time.Millisecond
	// answerAimFraction is the part of a repeatable request's aim after which it is tried elsewhere.
	answerAimFraction = 0.9
	// recheckInterval is how long a stalled stream waits before it looks for another group again.
	recheckInterval = 100 * time.Millisecond
	// dialTimeout bounds the opening of a connection; it takes a few milliseconds within a region, and what is sent again after
	// a loss comes after a second.
	dialTimeout = 60 * time.Millisecond
	// maxSends bounds how often one request is sent, refusals included.
	maxSends = 4
	// keyLapseMargin is how long before keys lapse an entry stops being ready: balancers look each second or so, and want to miss it twice.
	keyLapseMargin = 2500 * time.Millisecond
	// staleConfigAge is the age of the newest confirmation from the leader from which on an unknown route or key may be a new one.
	staleConfigAge = 1500 * time.Millisecond
)

// Relay passes callers' requests on; exported fields are set before it serves.
type Relay struct {
	Headers HeaderNames
	Hall    ident.Hall
	Dial    transport.Dial
	Now     func() time.Time
	Budget  *RetryBudget
	// Regions are those of the halls, for routes and customers that are bound to some.
	Regions map[ident.Hall]ident.Region
	// KeyValidity is how long after the leader's newest confirmation keys are still believed.
	KeyValidity time.Duration
	// Observe takes each finished request; it must not block.
	Observe func(r *Record)
	// SendUpdate passes on that a prompt was sent, to the entries that use the group or to all when there is no list; it must not block.
	SendUpdate func(update EntryUpdate, to []string)
	// Quarantine is the work that is held because upstreams ended under it.
	Quarantine *quarantine.List
	// OnQuarantine takes what operators are told of held work; it must not block.
	OnQuarantine func(event *QuarantineEvent)
	// Backoff is what upstreams asked this entry for, Asked takes what operators are told of it; it must not block.
	Backoff        *backoff.List[ident.Incarnation]
	OnBackpressure func(event *BackpressureEvent)
	// Limits keep this entry, together with all others, within the limits that upstreams named.
	Limits *ratelimit.Limiter[ident.Incarnation]
	// Unrecognized is what upstreams say in their answers that nothing here reads.
	Unrecognized *unread.List[ident.Incarnation]
	// RandomInt returns a random number below n.
	RandomInt func(n int) int

	// memory bounds what is held for all requests.
	memory *memory
	// coordinators say which entry coordinates an upstream.
	coordinators *ratelimit.Coordinators
	pool         *connPool
	table        atomic.Pointer[httproute.Table]
	confirmedAt  atomic.Pointer[time.Time]
	stopping     atomic.Bool
	inProgress   sync.WaitGroup
	// createdAt is when this relay was made, informed is closed with the first confirmation by control.
	createdAt         time.Time
	firstConfirmation chan struct{}

	mu         sync.Mutex
	rosterCopy *roster.Copy
	entries    *sharing.Entries
	// newEntryAt is when this entry last heard of another one that it had not known.
	newEntryAt time.Time
	index      *targetIndex
	states     map[ident.Incarnation]*targetState
	peerCounts peerCounts
	demand     map[ident.Model]Demand
	// dispatchDelays is what first words took beyond the estimate, by model.
	dispatchDelays map[ident.Model]dispatchDelay
	// eventMargins are what is learnt of when events of a model come, firstEventMargins of its first words.
	eventMargins      map[ident.Model]*stall.Margin
	firstEventMargins map[ident.Model]*stall.Margin
	// queues hold the requests that wait for groups, looking is set while any does.
	queues            map[queueKey]*overload.Queue[*queuedRequest]
	dispatchScheduled bool
	// limitRetryTimes are the times until which callers of each line were told to come back for what upstreams take within their limits.
	limitRetryTimes map[queueKey]time.Time
	// lastRefusal is when a request was last refused here.
	lastRefusal time.Time
	// typicalWaits are the times that callers of a class say they wait.
	typicalWaits map[ident.Class]*overload.TypicalWait
	// quarantineSyncScheduled is set while other entries are told of works by turns.
	quarantineSyncScheduled bool
	// candidates are those of the choice in progress.
	candidates candidates
	// startSlots hold the stream whose turn it is, of those that were held at the start.
	startSlots map[ident.Model]chan struct{}
}

// New returns a relay that knows no configuration yet.
func New(names HeaderNames, dial transport.Dial) *Relay {
	s := &Relay{
		Headers: names, Dial: dial, Now: clock.Now, Observe: func(*Record) {}, SendUpdate: func(EntryUpdate, []string) {}, RandomInt: rand.IntN,
		Quarantine: &quarantine.List{Rule: quarantine.DefaultRule()}, OnQuarantine: func(*QuarantineEvent) {},
		Backoff: backoff.New[ident.Incarnation](backoff.DefaultRule()), OnBackpressure: func(*BackpressureEvent) {},
		rosterCopy:     roster.NewCopy(),
		states:         map[ident.Incarnation]*targetState{},
		peerCounts:     peerCounts{spillCredit: map[ident.Model]float64{}},
		demand:         map[ident.Model]Demand{},
		dispatchDelays: map[ident.Model]dispatchDelay{}, eventMargins: map[ident.Model]*stall.Margin{}, firstEventMargins: map[ident.Model]*stall.Margin{},
		queues: map[queueKey]*overload.Queue[*queuedRequest]{}, limitRetryTimes: map[queueKey]time.Time{},
		typicalWaits: map[ident.Class]*overload.TypicalWait{},
		startSlots:   map[ident.Model]chan struct{}{},
		createdAt:    clock.Now(), firstConfirmation: make(chan struct{}), memory: newMemory(defaultMemoryBytes),
	}
	s.index = newTargetIndex(s.rosterCopy, nil, nil, nil)
	s.Limits = s.newLimiter()
	s.Unrecognized = unread.New[ident.Incarnation](names.Recognized()...)
	s.pool = newConnPool(dial, func() time.Time { return s.Now() })
	return s
}

// SetConfig puts a checked configuration in force for requests that come from now on.
func (s *Relay) SetConfig(cfg *httproute.Config) {
	table := httproute.NewTable(cfg)
	s.table.Store(table)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setIndex(newTargetIndex(s.rosterCopy, table, s.entries, s.index.drainedHalls))
	s.dropUndeclaredClasses(cfg)
	s.signalFirstConfirmation()
}

// Version returns the version in force, 0 when there is none.
func (s *Relay) Version() httproute.Version {
	if t := s.table.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// ApplyRoster applies what changed of upstreams and groups.
func (s *Relay) ApplyRoster(delta *roster.Delta) {
	s.mu.Lock()
	s.rosterCopy.Apply(delta)
	if delta.Empty() {
		s.mu.Unlock()
		return
	}
	index := newTargetIndex(s.rosterCopy, s.table.Load(), s.entries, s.index.drainedHalls)
	s.setIndex(index)
	now := s.Now()
	for group, head := range index.heads {
		s.stateFor(head).resetForGroup(now, group)
	}
	for id, state := range s.states {
		if !index.incarnations[id] && state.inflight == 0 {
			delete(s.states, id)
		}
	}
	s.mu.Unlock()
	s.Unrecognized.Retain(func(id ident.Incarnation) bool { return index.incarnations[id] })
	s.pool.prune(func(address string) bool { return index.addresses[address] })
}

// SetEntries tells which entries share the groups.
func (s *Relay) SetEntries(entries *sharing.Entries) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries != nil && entries.AddsTo(s.entries) {
		s.newEntryAt = s.Now()
	}
	s.entries = entries
	s.coordinators.SetEntries(entries)
	s.setIndex(newTargetIndex(s.rosterCopy, s.table.Load(), entries, s.index.drainedHalls))
}

// setIndex puts targets in force; the mutex is held.
func (s *Relay) setIndex(index *targetIndex) {
	s.index = index
	s.Limits.Table.SetCaps(index.coldLimits)
}

// SetDrained replaces the halls whose upstreams get no request from now on; what runs there goes on.
func (s *Relay) SetDrained(halls []ident.Hall) {
	drainedHalls := map[ident.Hall]bool{}
	for _, hall := range halls {
		drainedHalls[hall] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for hall := range s.index.drainedHalls {
		if !drainedHalls[hall] {
			s.markCold(hall)
		}
	}
	s.setIndex(newTargetIndex(s.rosterCopy, s.table.Load(), s.entries, drainedHalls))
}

// RosterSums returns the digests of what this entry has of the roster, nil when it has nothing.
func (s *Relay) RosterSums() *roster.Digests {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.rosterCopy.Upstreams) == 0 {
		return nil
	}
	return s.rosterCopy.Digests()
}

// Upstreams returns the lives of upstreams that this entry knows.
func (s *Relay) Upstreams() []ident.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.index.incarnations))
}

// Drained returns the halls whose upstreams get nothing new, in order.
func (s *Relay) Drained() []ident.Hall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.index.drainedHalls))
}

// markCold takes the upstreams of a hall for cold until the leader says otherwise, as it does once they have reported; the mutex is held.
func (s *Relay) markCold(hall ident.Hall) {
	for id, u := range s.rosterCopy.Upstreams {
		if u.Hall == hall {
			u.Cold = true
			s.rosterCopy.Upstreams[id] = u
		}
	}
}

// isDrained reports whether the upstreams of a hall get nothing new.
func (s *Relay) isDrained(hall ident.Hall) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.drainedHalls[hall]
}

// SetConfirmed notes that everything the leader had confirmed at that moment is in force here.
func (s *Relay) SetConfirmed(at time.Time) {
	s.confirmedAt.Store(&at)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.signalFirstConfirmation()
}

// ConfirmedAge returns how old the leader's newest confirmation is; it is very large before the first.
func (s *Relay) ConfirmedAge() time.Duration {
	if at := s.confirmedAt.Load(); at != nil {
		return s.Now().Sub(*at)
	}
	return time.Hour
}

// Ready reports whether callers may come here: requests can be served, also when those that come now are.
func (s *Relay) Ready() bool {
	return !s.stopping.Load() && s.table.Load() != nil && !s.keysLapseSoon()
}

// keysLapseSoon reports whether keys are believed for less time than the balancer and callers need to go elsewhere: an entry that is cut off
// from control would refuse them then.
func (s *Relay) keysLapseSoon() bool {
	return s.ConfirmedAge() > s.KeyValidity-min(keyLapseMargin, s.KeyValidity/2)
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

// Observation is what this entry saw of one upstream that it has requests at or heard from.
type Observation struct {
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
	Limit *LimitObservation
	// Events and Pauses are the events that came since the last look and the time between them, over all streams.
	Events int
	Pauses time.Duration
}

// CollectObservations returns what was seen of every upstream, and the demand since the last look.
func (s *Relay) CollectObservations() ([]Observation, map[ident.Model]Demand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	groupByHead := map[ident.Incarnation]ident.Group{}
	for name, head := range s.index.heads {
		groupByHead[head] = name
	}
	var observations []Observation
	for id, state := range s.states {
		stalled := s.declaredStalled(state, now)
		backoffState := s.Backoff.StateOf(now, id)
		limit := s.limitObservation(id, now)
		if state.inflight == 0 && state.lastContact.IsZero() && !state.connectionRefused && !stalled && backoffState.Remaining == 0 && limit == nil {
			continue
		}
		observation := Observation{ID: id, Group: groupByHead[id], Inflight: state.inflight, Answered: -1, Silence: state.waitWithoutProgress(now), Refused: state.connectionRefused, Blamed: state.blamedMember}
		observation.Stands = stalled
		observation.Backoff, observation.Leaving, observation.Limit = backoffState.Remaining, backoffState.Leaving, limit
		observation.Events, observation.Pauses = state.eventCount, state.eventGapTotal
		state.eventCount, state.eventGapTotal = 0, 0
		if !state.lastContact.IsZero() {
			observation.Answered = now.Sub(state.lastContact)
		}
		observations = append(observations, observation)
	}
	demand := s.demand
	s.demand = map[ident.Model]Demand{}
	return observations, demand
}

// ServeHTTP takes one caller's request.
func (s *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inProgress.Add(1)
	defer s.inProgress.Done()
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
	s.inProgress.Wait()
}

// Record tells how one request went.
type Record struct {
	ID       string
	Route    ident.Class
	Customer ident.Customer
	Model    ident.Model
	// Content is the digest of the request's path and body.
	Content   ident.Content
	Code      result.Code
	Status    int
	ErrorText string
	// Version and Revision are the configuration and the roster that decided, ConfirmedAge the age of the leader's confirmation.
	Version      httproute.Version
	Revision     roster.Revision
	ConfirmedAge time.Duration
	Attempts     []Attempt
	Prompt       ident.Tokens
	Events       int
	FirstEvent   time.Duration
	// ExpectedFirstEvent is when the first word was to come by the estimate of the first try, 0 where there is none.
	ExpectedFirstEvent time.Duration
	// MaxEventGap is the longest pause between two events.
	MaxEventGap time.Duration
	Total       time.Duration
	// PriorElapsed is what the caller spent on earlier tries, as far as that is known.
	PriorElapsed time.Duration
	// LimitWaits is how often nothing was to be had of the limit of an upstream that the request was meant for.
	LimitWaits int
	// RetryAfter is when the caller was told to come back.
	RetryAfter time.Duration
}

// Attempt is one upstream that a request was meant for.
type Attempt struct {
	Upstream ident.Incarnation `json:"to"`
	Group    ident.Group       `json:"group,omitempty"`
	Result   string            `json:"result"`
	// StartMS is when it began, in ms after the request came.
	StartMS int64 `json:"at-ms"`
	// EstimateMS is the estimated time to the first word in ms, Unread and Requests are what this entry knew to be there.
	EstimateMS    int64        `json:"first-ms,omitempty"`
	PendingPrompt ident.Tokens `json:"unread,omitempty"`
	Requests      int          `json:"requests,omitempty"`
	// SilentMS is how long it had been silent in ms when it was given up, and Suspicions how many entries suspected its group.
	SilentMS   int64 `json:"silent-ms,omitempty"`
	Suspicions int   `json:"suspicions,omitempty"`
	// ConnFailure says how the connection of a try ended that has no whole answer, RanMS is how long after the request was sent in ms, and
	// Events how many events had come of it.
	ConnFailure ConnFailure `json:"cut,omitempty"`
	RanMS       int64       `json:"ran-ms,omitempty"`
	Events      int         `json:"events,omitempty"`
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
