package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dunlinquay/dunlinquay/answerlen"
	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/httphead"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/overload"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/sharing"
	"github.com/dunlinquay/dunlinquay/siteload"
	"github.com/dunlinquay/dunlinquay/stall"
	"github.com/dunlinquay/dunlinquay/transport"
	"github.com/dunlinquay/dunlinquay/unread"
)

const (
	// silenceLimit is how long requests can wait at an engine without an event before it is avoided. An iteration with a full batch takes
	// 70 ms, with a long prompt 200 ms.
	silenceLimit = 500 * time.Millisecond
	// firstEventTimeout and eventGapTimeout are how long a stream waits for an event before it is moved to another group.
	firstEventTimeout = 900 * time.Millisecond
	eventGapTimeout   = 550 * time.Millisecond
	// answerAimFraction is the fraction of its aim after which a repeatable request without an answer is sent to another upstream.
	answerAimFraction = 0.9
	// recheckInterval is how often a stalled stream checks whether another group has capacity.
	recheckInterval = 100 * time.Millisecond
	// dialTimeout bounds opening a connection, which takes a few milliseconds within a region. It is not worth waiting for a TCP
	// retransmission, which takes a second.
	dialTimeout = 60 * time.Millisecond
	// maxSends bounds how often one request is sent, refusals included.
	maxSends = 4
	// keyLapseMargin is how long before its keys lapse an entry stops being ready: balancers check about once per second, and require two
	// failed checks.
	keyLapseMargin = 2500 * time.Millisecond
	// staleConfigAge is the age of the leader's newest confirmation from which an unknown route or key can be one that was added since.
	staleConfigAge = 1500 * time.Millisecond
	// defaultUrgencyFloor leaves callers of less urgent requests some progress, and three quarters of the capacity to more urgent ones.
	defaultUrgencyFloor = 0.25
)

// Relay forwards callers' requests to upstreams; exported fields are set before it serves.
type Relay struct {
	Headers HeaderNames
	Hall    ident.Hall
	Dial    transport.Dial
	Now     func() time.Time
	Budget  *RetryBudget
	// Regions are the regions of the halls, for routes and customers that are restricted to some regions.
	Regions map[ident.Hall]ident.Region
	// KeyValidity is how long after the leader's newest confirmation keys are accepted.
	KeyValidity time.Duration
	// Observe is called with the record of each finished request; it must not block.
	Observe func(r *Record)
	// SendUpdate sends an update to the entries in to, or to all other entries if to is nil; it must not block.
	SendUpdate func(update EntryUpdate, to []string)
	// Quarantine holds the request fingerprints under which upstreams crashed.
	Quarantine *quarantine.List
	// OnQuarantine is called when a fingerprint is quarantined, admitted as a trial, or cleared; it must not block.
	OnQuarantine func(event *QuarantineEvent)
	// Backoff holds the backoffs that upstreams requested from this entry. OnBackpressure is called when what an upstream requests
	// changes; it must not block.
	Backoff        *backoff.List[ident.Incarnation]
	OnBackpressure func(event *BackpressureEvent)
	// OnReachability is called when this entry reaches more or fewer upstreams of a service than before; it must not block.
	OnReachability func(event ReachabilityEvent)
	// Limits keeps this entry, together with all others, within the limits that upstreams name.
	Limits *ratelimit.Limiter[ident.Incarnation]
	// Unrecognized holds the unrecognized headers of upstreams' answers.
	Unrecognized *unread.List[ident.Incarnation]
	// UrgencyFloor is the fraction of the send rate that less urgent requests keep while more urgent ones wait.
	UrgencyFloor float64
	// ArrivalCheck refuses a request on arrival if the requests ahead of it at all entries leave it no time.
	ArrivalCheck bool
	// RandomInt returns a random number below n.
	RandomInt func(n int) int

	// memory bounds the bodies and answers that are kept in memory.
	memory *memory
	// coordinators tells which entry coordinates an upstream's limit.
	coordinators *ratelimit.Coordinators
	// pool keeps connections to upstreams, entryPool those to other entries.
	pool, entryPool *connPool
	table           atomic.Pointer[httproute.Table]
	confirmedAt     atomic.Pointer[time.Time]
	// closing is set once the connections of callers are about to be closed.
	closing    atomic.Bool
	inProgress sync.WaitGroup
	progress   progress
	// stop is the planned stop, nil before it. requestsCtx ends when requests in progress are ended, by endRequests.
	stop        atomic.Pointer[plannedStop]
	requestsCtx context.Context
	endRequests context.CancelFunc
	// createdAt is when the relay was created; firstConfirmation is closed with the first confirmation by the leader.
	createdAt         time.Time
	firstConfirmation chan struct{}

	mu         sync.Mutex
	rosterCopy *roster.Copy
	entries    *sharing.Entries
	// newEntryAt is when an entry was last added.
	newEntryAt time.Time
	index      *targetIndex
	states     map[ident.Incarnation]*targetState
	peerCounts peerCounts
	demand     map[ident.Model]Demand
	// dispatchDelays is how much later than estimated first events arrive at this entry, siteDelays at all entries, by model.
	dispatchDelays map[ident.Model]ownDelay
	siteDelays     map[ident.Model]siteDelay
	// eventMargins are the learnt margins of further events by model, firstEventMargins those of first events.
	eventMargins      map[ident.Model]*stall.Margin
	firstEventMargins map[ident.Model]*stall.Margin
	// queues hold the requests that wait for groups; dispatchScheduled is set while a timer for the next dispatch is running.
	queues            map[queueKey]*overload.Queue[*queuedRequest]
	dispatchScheduled bool
	// limitRetryTimes are the times from which the next refused caller of each queue can be told to retry within the upstreams' limits.
	limitRetryTimes map[queueKey]time.Time
	// lastRefusal is when this entry last refused a request.
	lastRefusal time.Time
	// typicalWaits are the waiting times that callers of each class announce.
	typicalWaits map[ident.Class]*overload.TypicalWait
	// quarantineSyncScheduled is set while reports are sent periodically to other entries.
	quarantineSyncScheduled bool
	reach                   reachability
	// avoidedEntries are the entries to which no request is forwarded for a while, unless they were only silent and no other is left.
	avoidedEntries map[entryService]avoidance
	// acceptors are entries that accepted requests which this one forwarded, by service.
	acceptors map[ident.Service][]string
	// candidates is reused by every choice.
	candidates candidates
	// startSlots let the streams of a model that were held at the start continue one by one.
	startSlots map[ident.Model]chan struct{}
	// answerLengths holds the lengths of complete answers.
	answerLengths answerlen.Estimator
	// slotTimes are the mean times for which requests use their slots, by model.
	slotTimes map[ident.Model]slotTime
	// answerTimes are how long answers take.
	answerTimes map[answerTimeKey]*answerTime
	// siteLoad holds the counts of this entry's requests and the sums over all entries.
	siteLoad siteLoad
	// shares holds the work of customers, nil if requests are not ordered by customers.
	shares *customerShares
}

// New returns a relay without a configuration.
func New(names HeaderNames, dial transport.Dial) *Relay {
	s := &Relay{
		Headers: names, Dial: dial, Now: clock.Now, Observe: func(*Record) {}, SendUpdate: func(EntryUpdate, []string) {}, RandomInt: rand.IntN,
		UrgencyFloor: defaultUrgencyFloor,
		Quarantine:   &quarantine.List{Rule: quarantine.DefaultRule()}, OnQuarantine: func(*QuarantineEvent) {},
		Backoff: backoff.New[ident.Incarnation](backoff.DefaultRule()), OnBackpressure: func(*BackpressureEvent) {},
		OnReachability: func(ReachabilityEvent) {}, avoidedEntries: map[entryService]avoidance{},
		acceptors:      map[ident.Service][]string{},
		rosterCopy:     roster.NewCopy(),
		states:         map[ident.Incarnation]*targetState{},
		peerCounts:     peerCounts{spillCredit: map[ident.Model]float64{}},
		demand:         map[ident.Model]Demand{},
		dispatchDelays: map[ident.Model]ownDelay{}, siteDelays: map[ident.Model]siteDelay{}, eventMargins: map[ident.Model]*stall.Margin{}, firstEventMargins: map[ident.Model]*stall.Margin{},
		queues: map[queueKey]*overload.Queue[*queuedRequest]{}, limitRetryTimes: map[queueKey]time.Time{},
		typicalWaits: map[ident.Class]*overload.TypicalWait{},
		startSlots:   map[ident.Model]chan struct{}{},
		slotTimes:    map[ident.Model]slotTime{},
		answerTimes:  map[answerTimeKey]*answerTime{},
		siteLoad:     siteLoad{counts: map[queueKey]*queueCounts{}},
		createdAt:    clock.Now(), firstConfirmation: make(chan struct{}), memory: newMemory(defaultMemoryBytes),
	}
	s.requestsCtx, s.endRequests = context.WithCancel(context.Background())
	s.index = newTargetIndex(s.rosterCopy, nil, nil, nil)
	s.reach = reachability{contactAt: map[ident.Service]time.Time{}, pathsCheckedAt: map[ident.Service]time.Time{}, reported: map[ident.Service]Reach{}}
	s.Limits = s.newLimiter()
	s.Unrecognized = unread.New[ident.Incarnation](names.Recognized()...)
	now := func() time.Time { return s.Now() }
	s.pool, s.entryPool = newConnPool(dial, now), newConnPool(dial, now)
	return s
}

// SetConfig applies a checked configuration to requests that arrive from now on.
func (s *Relay) SetConfig(cfg *httproute.Config) {
	table := httproute.NewTable(cfg)
	s.table.Store(table)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setIndex(newTargetIndex(s.rosterCopy, table, s.entries, s.index.drainedHalls))
	s.dropUndeclaredClasses(cfg)
	s.signalFirstConfirmation()
}

// Version returns the version of the configuration in force, 0 without one.
func (s *Relay) Version() httproute.Version {
	if t := s.table.Load(); t != nil {
		return t.Config.Version
	}
	return 0
}

// ApplyRoster applies a change of upstreams and groups.
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

// SetEntries replaces the entries that share the groups.
func (s *Relay) SetEntries(entries *sharing.Entries) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries != nil && entries.AddsTo(s.entries) {
		s.newEntryAt = s.Now()
	}
	s.entries = entries
	known := map[string]bool{}
	for _, address := range entries.Others() {
		known[address] = true
	}
	s.entryPool.prune(func(address string) bool { return known[address] })
	for service, acceptors := range s.acceptors {
		s.acceptors[service] = slices.DeleteFunc(acceptors, func(address string) bool { return !known[address] })
	}
	s.coordinators.SetEntries(entries)
	s.setIndex(newTargetIndex(s.rosterCopy, s.table.Load(), entries, s.index.drainedHalls))
}

// setIndex replaces the target index; the mutex is held.
func (s *Relay) setIndex(index *targetIndex) {
	s.index = index
	s.updateReach()
	s.Limits.Table.SetCaps(index.coldLimits)
}

// SetDrained replaces the drained halls, whose upstreams get no new requests; requests in progress continue.
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

// RosterSums returns the digests of this entry's roster copy, nil when that is empty.
func (s *Relay) RosterSums() *roster.Digests {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.rosterCopy.Upstreams) == 0 {
		return nil
	}
	return s.rosterCopy.Digests()
}

// Upstreams returns the incarnations of the known upstreams.
func (s *Relay) Upstreams() []ident.Incarnation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.index.incarnations))
}

// Drained returns the drained halls, sorted.
func (s *Relay) Drained() []ident.Hall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.index.drainedHalls))
}

// markCold marks the upstreams of a hall as cold until the roster of the leader says otherwise; the mutex is held.
func (s *Relay) markCold(hall ident.Hall) {
	for id, u := range s.rosterCopy.Upstreams {
		if u.Hall == hall {
			u.Cold = true
			s.rosterCopy.Upstreams[id] = u
		}
	}
}

// isDrained reports whether a hall is drained.
func (s *Relay) isDrained(hall ident.Hall) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.drainedHalls[hall]
}

// SetConfirmed notes that everything that the leader had confirmed by then is in force at this entry.
func (s *Relay) SetConfirmed(at time.Time) {
	s.confirmedAt.Store(&at)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.signalFirstConfirmation()
}

// ConfirmedAge returns the age of the leader's newest confirmation, one hour if there was none.
func (s *Relay) ConfirmedAge() time.Duration {
	if at := s.confirmedAt.Load(); at != nil {
		return s.Now().Sub(*at)
	}
	return time.Hour
}

// Ready reports whether a balancer can send callers to this entry: requests that arrive now can be served to their end.
func (s *Relay) Ready() bool {
	return !s.Stopping() && s.table.Load() != nil && !s.keysLapseSoon()
}

// keysLapseSoon reports whether keys are accepted for less time than the balancer and callers need to switch to another entry: an entry
// that is cut off from control refuses them afterwards.
func (s *Relay) keysLapseSoon() bool {
	return s.ConfirmedAge() > s.KeyValidity-min(keyLapseMargin, s.KeyValidity/2)
}

// Close notes that the connections of callers are closed from now on, whether their requests have ended or not.
func (s *Relay) Close() {
	s.closing.Store(true)
}

// Demand is the number of requests for a model, with their prompt tokens and expected answer tokens.
type Demand struct {
	Requests int
	Prompt   ident.Tokens
	Answer   ident.Tokens
}

// Observation is what this entry observed of one upstream.
type Observation struct {
	ID       ident.Incarnation
	Group    ident.Group
	Inflight int
	// Pinned is how many of them can't continue at another upstream.
	Pinned int
	// Answered is the time since it last sent anything, negative when it never did.
	Answered time.Duration
	// Silence is how long requests have waited there without progress.
	Silence time.Duration
	// Stands is set when the group has stalled by the suspicions of several entries.
	Stands bool
	// Refused is set when it refused a connection, Blamed is the member that it named as the cause of a failure.
	Refused bool
	Blamed  string
	// Backoff is the remaining backoff of this entry; Leaving is set when the reason is that the upstream is leaving.
	Backoff time.Duration
	Leaving bool
	// Limit is its limit, nil without one.
	Limit *LimitObservation
	// Events is the number of further events since the last collection and Pauses the sum of the gaps before them, over all streams.
	Events int
	Pauses time.Duration
}

// CollectObservations returns the observations of all upstreams and the demand since the last call.
func (s *Relay) CollectObservations() ([]Observation, map[ident.Model]Demand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	groupByHead := map[ident.Incarnation]ident.Group{}
	for name, head := range s.index.heads {
		groupByHead[head] = name
	}
	isNew := s.Budget.IsNew()
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
		observation.Pinned = pinnedRequests(state, isNew)
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

// pinnedRequests counts the requests at a target that can't continue at another one: they must not be repeated, have used all attempts of
// their route, or would need the retry budget of an entry that has just started (isNew); the relay's mutex is held.
func pinnedRequests(state *targetState, isNew bool) int {
	if isNew {
		return state.inflight
	}
	movable := 0
	for f := range state.forwarders {
		// A request with a hedge may have used all attempts when that ends.
		if !f.moveDenied && !f.moveRequested {
			movable++
		}
	}
	return max(0, state.inflight-movable)
}

// ServeHTTP serves one caller's request.
func (s *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.serve(s.newExchange(w, r))
}

func (s *Relay) serve(x *exchange) {
	s.inProgress.Add(1)
	defer s.inProgress.Done()
	s.progress[phaseReading].Add(1)
	defer func() { s.progress[x.phase].Add(-1) }()
	defer x.releaseMemory()
	err := x.admit()
	x.enter(phaseWaiting)
	if err == nil {
		err = x.serve()
	}
	if err == nil {
		x.learnAnswerTime()
	}
	x.finish(err)
	x.releaseMemory()
	x.discardBody()
}

// Wait returns when no request is in progress.
func (s *Relay) Wait() {
	s.inProgress.Wait()
}

// Record describes a finished request.
type Record struct {
	ID       string
	Route    ident.Class
	Customer ident.Customer
	Model    ident.Model
	// Content is the digest of the request's path and body.
	Content   ident.ContentHash
	Code      result.Code
	Status    int
	ErrorText string
	// Version and Revision are those of the configuration and the roster in force, ConfirmedAge is the age of the leader's confirmation.
	Version      httproute.Version
	Revision     roster.Revision
	ConfirmedAge time.Duration
	Attempts     []Attempt
	Prompt       ident.Tokens
	// PromptParts are the parts of the prompt, set when the connection of an attempt was cut.
	PromptParts []ident.PromptPart
	Events      int
	FirstEvent  time.Duration
	// ExpectedFirstEvent is the time to first event by the estimate of the first attempt, 0 without one.
	ExpectedFirstEvent time.Duration
	// MaxEventGap is the longest gap between two events.
	MaxEventGap time.Duration
	Total       time.Duration
	// PriorElapsed is the time elapsed on earlier attempts of the caller, 0 where it is not known.
	PriorElapsed time.Duration
	// LimitWaits is how often no permit was granted for the chosen upstream.
	LimitWaits int
	// ForwardedBy is the entry that forwarded the request, "" if it came from a caller. Declined is why this entry declined it, "" if it did not.
	ForwardedBy string
	Declined    DeclineReason
	// UnreachableTargets is how many targets were unreachable from this entry at the last choice.
	UnreachableTargets int
	// Targets is the number of targets at the last choice, SuspectTargets how many of them were suspect.
	Targets, SuspectTargets int
	// RetryDecisions are the decisions of the retry budget on further attempts, in order.
	RetryDecisions []RetryDecision
	// Interruption is why this entry closed the caller's connection before the answer was complete, "" if it did not.
	Interruption InterruptReason
	// RetryAfter is the time after which the caller was told to retry.
	RetryAfter time.Duration
	// Urgency orders the request among others for the same groups, Queued is how long it waited for capacity.
	Urgency siteload.Urgency
	Queued  time.Duration
	// Site is what was known of the requests at all entries when the request was refused, nil where nothing was known.
	Site *SiteQueue
}

// SiteQueue describes the requests at all entries that compete with one request.
type SiteQueue struct {
	// Waiting is the number of waiting requests of the same or higher urgency, SendRate how many of all urgencies are sent per second.
	Waiting  int
	SendRate float64
	// Age is the age of the oldest report in these numbers.
	Age time.Duration
}

// Attempt describes the attempt to send a request to one upstream.
type Attempt struct {
	Upstream ident.Incarnation `json:"to,omitempty"`
	Hall     ident.Hall        `json:"hall,omitempty"`
	// Entry is the entry through which the request was sent, in place of an upstream.
	Entry string `json:"entry,omitempty"`
	// Declined is why that entry declined the request.
	Declined DeclineReason `json:"declined,omitempty"`
	Group    ident.Group   `json:"group,omitempty"`
	Result   string        `json:"result"`
	// StartMS is its start, in ms after the request arrived.
	StartMS int64 `json:"at-ms"`
	// EstimateMS is the estimated time to first event in ms; PendingPrompt and Requests are the known load of the upstream, Counted is the
	// part of Requests that the leader's counts show.
	EstimateMS    int64        `json:"first-ms,omitempty"`
	PendingPrompt ident.Tokens `json:"unread,omitempty"`
	Requests      int          `json:"requests,omitempty"`
	Counted       int          `json:"counted,omitempty"`
	// SilentMS is how long the upstream had been silent when the attempt was abandoned, Suspicions how many entries suspected its group.
	SilentMS   int64 `json:"silent-ms,omitempty"`
	Suspicions int   `json:"suspicions,omitempty"`
	// ConnFailure is how the connection failed of an attempt without a complete answer, RanMS the time since the request was sent, and
	// Events the number of events that had arrived.
	ConnFailure ConnFailure `json:"cut,omitempty"`
	RanMS       int64       `json:"ran-ms,omitempty"`
	Events      int         `json:"events,omitempty"`
	// HeadRule is the rule that the head of its answer breaks, HeadLine the start of the line that does, quoted.
	HeadRule httphead.Rule `json:"head-rule,omitempty"`
	HeadLine string        `json:"head-line,omitempty"`
	// Crashed is set when the upstream was found to have crashed.
	Crashed bool `json:"crashed,omitempty"`
	// Status is the upstream's status if it failed or refused, RetryAfter its Retry-After header; Leaving is set when it announced that it
	// is leaving.
	Status     int    `json:"status,omitempty"`
	RetryAfter string `json:"retry-after,omitempty"`
	Leaving    bool   `json:"leaving,omitempty"`
	// Limit is the limit that its answer named, in requests per second.
	Limit ratelimit.Rate `json:"limit,omitempty"`
	// PassedOver is how many other upstreams were unavailable at the choice.
	PassedOver int `json:"passed-over,omitempty"`
}
