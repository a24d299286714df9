package ratelimit

// The limit of an upstream holds for all entries together, and each entry sees only its own requests. One entry per
// upstream, its coordinator, therefore grants permits for single requests. An entry that wants to send a request asks
// the coordinator with a datagram and has the reply within a round trip:
//
//	entry a            coordinator b              upstream u, 2 a second
//	ask    ->          0.000 granted, at once
//	request ------------------------------------> 0.002
//	ask    ->          0.300 refused, retry in 0.18 s; the request is sent elsewhere
//	ask    ->          0.485 granted, in 15 ms
//	request ------------------------------------> 0.502
//
// Each entry derives the coordinator of an upstream from its list of entries. After a change of the list two entries
// can believe for a moment that they coordinate the same upstream, so a new coordinator grants nothing until the former
// one has the new list. An entry that cannot reach the coordinator uses its local share, which is the limit divided by
// the number of entries. The control leader counts such entries, and the coordinator grants that much less.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Coordinator is the entry that coordinates the limit of an upstream.
type Coordinator struct {
	// Name is the coordinating entry, empty if this entry cannot know it. Self is set if it is this entry.
	Name string
	Self bool
	// Entries is the number of entries.
	Entries int
	// HoldOff is how long this entry must not grant yet, because the former coordinator may still grant.
	HoldOff time.Duration
}

// Availability says whether a permit for an upstream can be expected at a moment.
type Availability struct {
	// Limited is set if a limit or a cap is in force.
	Limited bool
	// Remaining is the time until a permit can be requested again. Busy is set if this entry has the maximum number of
	// permit requests in flight.
	Remaining time.Duration
	Busy      bool
	// Rate is the share of the limit that this entry can expect.
	Rate Rate
}

// Available reports whether a permit request is worth sending.
func (a Availability) Available() bool { return a.Remaining <= 0 && !a.Busy }

// Permit says whether a request may be sent to an upstream.
type Permit struct {
	OK bool
	// Limited is set if the permit counts against a limit of the given Rate. After is the time until the request is to
	// be sent or, if OK is not set, until a permit can be requested again.
	Limited bool
	Rate    Rate
	After   time.Duration
}

// Limiter keeps one entry within the limits of upstreams, together with all other entries. Exported fields are set
// before use.
type Limiter[K comparable] struct {
	Table *LimitTable[K]
	Now   func() time.Time
	// Random returns a random number in [0, 1).
	Random func() float64
	// Coordinator returns the coordinator of an upstream.
	Coordinator func(k K) Coordinator
	// Send sends a permit request to a coordinator, Observe receives each outcome; neither may block.
	Send    func(to string, q *PermitRequest[K])
	Observe func(o Outcome)

	mu sync.Mutex
	// coordinatorPacer schedules what this entry grants as coordinator, localPacer what it sends from its local shares.
	coordinatorPacer *Pacer[K]
	localPacer       *Pacer[K]
	states           map[K]*state
	pendingReplies   map[uint64]chan *PermitReply[K]
	// localShareCounts is the number of entries that use their local share, for upstreams that this entry coordinates.
	localShareCounts map[K]int
	// localShareUsers holds, by entry, the upstreams for which that entry uses its local share.
	localShareUsers map[string]map[K]bool
}

// Outcome is the result of an attempt to get a permit, or of a permit request.
type Outcome string

// Outcomes of permit requests.
const (
	Granted    Outcome = "granted"
	Refused    Outcome = "refused"
	Unanswered Outcome = "unanswered"
)

// NewLimiter returns the limiter of a single entry, which coordinates every upstream.
func NewLimiter[K comparable]() *Limiter[K] {
	l := &Limiter[K]{
		Table: NewLimitTable[K](), Now: time.Now, Random: rand.Float64,
		Coordinator: func(K) Coordinator { return Coordinator{Self: true, Entries: 1} },
		Send:        func(string, *PermitRequest[K]) {}, Observe: func(Outcome) {},
		states: map[K]*state{}, pendingReplies: map[uint64]chan *PermitReply[K]{}, localShareUsers: map[string]map[K]bool{},
	}
	random := func() float64 { return l.Random() }
	// A coordinator waits one whole interval before its first grant, since earlier requests are unknown. Local shares
	// start at a random point of the interval, so that many entries do not send at the same moment.
	l.coordinatorPacer = NewPacer[K](func() float64 { return 0 }, random)
	l.localPacer = NewPacer[K](random, random)
	return l
}

// HasLimits reports whether any upstream has a limit.
func (l *Limiter[K]) HasLimits() bool {
	return l.Table.Count() > 0
}

// Availability returns whether a permit for k can be expected at now.
func (l *Limiter[K]) Availability(now time.Time, k K) Availability {
	if !l.HasLimits() {
		return Availability{}
	}
	limit := l.Table.Effective(k)
	if !limit.Limited() {
		return Availability{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[k]
	if s == nil {
		return Availability{Limited: true, Rate: limit.Rate}
	}
	return Availability{Limited: true, Remaining: max(0, s.retryAt.Sub(now)), Busy: s.inFlight >= maxInFlight, Rate: limit.Rate / Rate(max(1, s.sharers))}
}

// Acquire requests a permit for one request that can wait for up to maxWait. It returns at once if the upstream has no
// limit.
func (l *Limiter[K]) Acquire(ctx context.Context, k K, maxWait time.Duration) Permit {
	limit := l.Table.Effective(k)
	if !limit.Limited() {
		return Permit{OK: true}
	}
	coordinator := l.Coordinator(k)
	if coordinator.Self {
		return l.acquireAsCoordinator(k, limit.Rate, coordinator, maxWait)
	}
	if coordinator.Name != "" {
		if reply, answered := l.requestPermit(ctx, coordinator.Name, k, limit, maxWait); answered {
			return l.applyReply(k, reply)
		}
	}
	return l.acquireLocalShare(k, limit.Rate, coordinator, maxWait)
}

// acquireAsCoordinator grants a permit to this entry, which is the coordinator.
func (l *Limiter[K]) acquireAsCoordinator(k K, rate Rate, coordinator Coordinator, maxWait time.Duration) Permit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recordGrant(k, rate, l.grant(k, rate, coordinator, "", maxWait))
}

// grant decides as coordinator on a permit for requester; the mutex is held.
func (l *Limiter[K]) grant(k K, rate Rate, coordinator Coordinator, requester string, maxWait time.Duration) Grant {
	if localShares := l.localShareCounts[k]; localShares > 0 {
		// Entries that cannot reach the coordinator send at their local shares in any case. Where datagrams between
		// entries are filtered, the upstream would otherwise get these requests in addition to its whole limit.
		rate *= Rate(max(1, coordinator.Entries-localShares)) / Rate(max(1, coordinator.Entries))
	}
	if l.coordinatorPacer.Len() > sweepAt {
		l.coordinatorPacer.Retain(l.isLimited)
	}
	now := l.Now()
	if coordinator.HoldOff > 0 {
		l.coordinatorPacer.HoldUntil(now, k, rate, now.Add(coordinator.HoldOff))
	}
	return l.coordinatorPacer.Reserve(now, k, rate, requester, maxWait)
}

// SetLocalShares sets the number of entries that use their local share, by upstream.
func (l *Limiter[K]) SetLocalShares(counts map[K]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.localShareCounts = counts
}

// MergeLocalShares sets the upstreams for which one entry uses its local share. It is for entries that notify each
// other, without a control leader that counts them.
func (l *Limiter[K]) MergeLocalShares(entry string, upstreams map[K]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.localShareUsers[entry] = upstreams
	if len(upstreams) == 0 {
		delete(l.localShareUsers, entry)
	}
	l.localShareCounts = nil
	for _, upstreams := range l.localShareUsers {
		for k := range upstreams {
			if l.localShareCounts == nil {
				l.localShareCounts = map[K]int{}
			}
			l.localShareCounts[k]++
		}
	}
}

func (l *Limiter[K]) isLimited(k K) bool { return l.Table.Effective(k).Limited() }

// recordGrant records a grant or refusal and returns it as a permit; the mutex is held.
func (l *Limiter[K]) recordGrant(k K, rate Rate, grant Grant) Permit {
	s := l.state(k)
	s.sharers = grant.Sharers
	now := l.Now()
	if !grant.OK {
		s.Refused++
		s.retryAt = now.Add(grant.After)
		l.Observe(Refused)
	} else {
		s.Granted++
		s.recentGrants = append(s.grantsSince(now.Add(-recentPeriod)), now)
		l.Observe(Granted)
	}
	return Permit{OK: grant.OK, Limited: true, Rate: rate, After: grant.After}
}

// acquireLocalShare grants a permit from this entry's local share if the coordinator is unknown, or has not replied for
// localShareAfter.
func (l *Limiter[K]) acquireLocalShare(k K, rate Rate, coordinator Coordinator, maxWait time.Duration) Permit {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, s := l.Now(), l.state(k)
	if coordinator.Name != "" && !s.usesLocalShare(now) {
		s.retryAt = later(s.retryAt, s.nextRequestAt)
		return Permit{Limited: true, After: s.retryAt.Sub(now)}
	}
	if l.localPacer.Len() > sweepAt {
		l.localPacer.Retain(l.isLimited)
	}
	grant := l.localPacer.Reserve(now, k, rate/Rate(max(1, coordinator.Entries)), "", maxWait)
	grant.Sharers = coordinator.Entries
	if grant.OK {
		s.Own++
	}
	return l.recordGrant(k, rate, grant)
}
