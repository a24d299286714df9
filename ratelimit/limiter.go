package ratelimit

// All entries together must keep the limit of an upstream, and each sees its own
// requests only. So one of them, the coordinator of that upstream, lets each
// request go; whoever wants to send one asks it with a datagram and has the
// answer within a round trip:
//
//	entry a            coordinator b              upstream u, 2 a second
//	ask    ->          0.000 granted, at once
//	request ------------------------------------> 0.002
//	ask    ->          0.300 refused, again in 0.18 s; the request goes elsewhere
//	ask    ->          0.485 granted, in 15 ms
//	request ------------------------------------> 0.502
//
// All entries know who coordinates an upstream by their list of entries. Two may
// believe it of themselves for a moment when the list changes, so a new
// coordinator first lets the old one hear of it. Whoever can't reach the
// coordinator keeps its own part of the limit: the limit divided by the entries.
// The control leader tells the coordinator how many do, which leaves that to them.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Coordinator says who coordinates an upstream.
type Coordinator struct {
	// Name is the coordinator, nothing when this entry can't know it; Self is set when it is this entry.
	Name string
	Self bool
	// Entries is how many entries there are.
	Entries int
	// HoldOff is how long this entry grants nothing yet, since another may still do.
	HoldOff time.Duration
}

// Availability is whether a request may be meant for an upstream at a moment.
type Availability struct {
	// Limited is set when the upstream has named a limit.
	Limited bool
	// Remaining is how long there is nothing to be had, Busy is set while it is being asked for.
	Remaining time.Duration
	Busy      bool
	// Rate is what this entry can expect of the limit.
	Rate Rate
}

// Available reports whether it is worth asking.
func (a Availability) Available() bool { return a.Remaining <= 0 && !a.Busy }

// Permit is whether a request may be sent to an upstream.
type Permit struct {
	OK bool
	// Limited is set when it counts against a limit, which was Rate; it is then to be sent After from now. Without one, After is when there
	// may be a turn.
	Limited bool
	Rate    Rate
	After   time.Duration
}

// Limiter keeps one entry within the limits of upstreams, together with all others; exported fields are set before use.
type Limiter[K comparable] struct {
	Table *LimitTable[K]
	Now   func() time.Time
	// Random returns a random number from 0 to 1.
	Random func() float64
	// Coordinator says who coordinates an upstream.
	Coordinator func(k K) Coordinator
	// Send sends a question to a coordinator, Observe takes each outcome; neither must block.
	Send    func(to string, q *PermitRequest[K])
	Observe func(o Outcome)

	mu sync.Mutex
	// coordinatorPacer are the requests that were let go as coordinator, own those of this entry's own part.
	coordinatorPacer *Pacer[K]
	localPacer       *Pacer[K]
	states           map[K]*state
	pendingReplies   map[uint64]chan *PermitReply[K]
	// localShareCounts is how many entries go by their own parts of the limits that this one coordinates.
	localShareCounts map[K]int
	// localShareUsers are the limits of which each entry takes its own part.
	localShareUsers map[string]map[K]bool
}

// Outcome is what became of one request that was meant for an upstream with a limit, or of a question.
type Outcome string

// The outcomes.
const (
	Granted    Outcome = "granted"
	Refused    Outcome = "refused"
	Unanswered Outcome = "unanswered"
)

// NewLimiter returns a limiter of an entry that is alone.
func NewLimiter[K comparable]() *Limiter[K] {
	l := &Limiter[K]{
		Table: NewLimitTable[K](), Now: time.Now, Random: rand.Float64,
		Coordinator: func(K) Coordinator { return Coordinator{Self: true, Entries: 1} },
		Send:        func(string, *PermitRequest[K]) {}, Observe: func(Outcome) {},
		states: map[K]*state{}, pendingReplies: map[uint64]chan *PermitReply[K]{}, localShareUsers: map[string]map[K]bool{},
	}
	random := func() float64 { return l.Random() }
	// A coordinator begins with a whole interval, whatever was sent before. Parts of many entries begin at random, so that they do not
	// all send at the same moment.
	l.coordinatorPacer = NewPacer[K](func() float64 { return 0 }, random)
	l.localPacer = NewPacer[K](random, random)
	return l
}

// HasLimits reports whether any upstream has a limit.
func (l *Limiter[K]) HasLimits() bool {
	return l.Table.Count() > 0
}

// Availability returns whether a request may be meant for an upstream.
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

// Acquire asks for one request at an upstream that can wait so long for its turn; it returns at once where there is no limit.
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

// acquireAsCoordinator asks this entry as coordinator.
func (l *Limiter[K]) acquireAsCoordinator(k K, rate Rate, coordinator Coordinator, maxWait time.Duration) Permit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recordGrant(k, rate, l.grant(k, rate, coordinator, "", maxWait))
}

// grant answers who asks this entry as coordinator; the mutex is held.
func (l *Limiter[K]) grant(k K, rate Rate, coordinator Coordinator, requester string, maxWait time.Duration) Grant {
	if localShares := l.localShareCounts[k]; localShares > 0 {
		// Those that can't ask take their parts all the same: without this an upstream would get these beside its whole limit where
		// datagrams between entries are filtered.
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

// SetLocalShares tells how many entries go by their own parts of limits.
func (l *Limiter[K]) SetLocalShares(counts map[K]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.localShareCounts = counts
}

// MergeLocalShares takes of which limits one entry takes its own part, where entries tell each other and nobody counts them.
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

// recordGrant notes what was granted, and makes a permit of it; the mutex is held.
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

// acquireLocalShare takes a request of this entry's own part once nobody can be asked, or none meanwhile.
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
