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
func (g Availability) Available() bool { return g.Remaining <= 0 && !g.Busy }

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
	// granted are the requests that were let go as coordinator, own those of this entry's own part.
	granted *Pacer[K]
	own     *Pacer[K]
	states  map[K]*state
	asked   map[uint64]chan *PermitReply[K]
	// apart is how many entries go by their own parts of the limits that this one coordinates.
	apart map[K]int
	// apartOf are the limits of which each entry takes its own part.
	apartOf map[string]map[K]bool
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
		states: map[K]*state{}, asked: map[uint64]chan *PermitReply[K]{}, apartOf: map[string]map[K]bool{},
	}
	draw := func() float64 { return l.Random() }
	// A coordinator begins with a whole interval, whatever was sent before. Parts of many entries begin at random, so that they do not
	// all send at the same moment.
	l.granted = NewPacer[K](func() float64 { return 0 }, draw)
	l.own = NewPacer[K](draw, draw)
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
	w := l.Table.Effective(k)
	if !w.Limited() {
		return Availability{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[k]
	if s == nil {
		return Availability{Limited: true, Rate: w.Rate}
	}
	return Availability{Limited: true, Remaining: max(0, s.until.Sub(now)), Busy: s.asking >= asksMost, Rate: w.Rate / Rate(max(1, s.sharers))}
}

// Acquire asks for one request at an upstream that can wait so long for its turn; it returns at once where there is no limit.
func (l *Limiter[K]) Acquire(ctx context.Context, k K, patience time.Duration) Permit {
	w := l.Table.Effective(k)
	if !w.Limited() {
		return Permit{OK: true}
	}
	seat := l.Coordinator(k)
	if seat.Self {
		return l.takeHere(k, w.Rate, seat, patience)
	}
	if seat.Name != "" {
		if a, answered := l.ask(ctx, seat.Name, k, w, patience); answered {
			return l.take(k, a)
		}
	}
	return l.takeOwn(k, w.Rate, seat, patience)
}

// takeHere asks this entry as coordinator.
func (l *Limiter[K]) takeHere(k K, rate Rate, seat Coordinator, patience time.Duration) Permit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.obey(k, rate, l.grant(k, rate, seat, "", patience))
}

// grant answers who asks this entry as coordinator; the mutex is held.
func (l *Limiter[K]) grant(k K, rate Rate, seat Coordinator, who string, patience time.Duration) Grant {
	if apart := l.apart[k]; apart > 0 {
		// Those that can't ask take their parts all the same: without this an upstream would get these beside its whole limit where
		// datagrams between entries are filtered.
		rate *= Rate(max(1, seat.Entries-apart)) / Rate(max(1, seat.Entries))
	}
	if l.granted.Len() > sweepAt {
		l.granted.Retain(l.isLimited)
	}
	now := l.Now()
	if seat.HoldOff > 0 {
		l.granted.HoldUntil(now, k, rate, now.Add(seat.HoldOff))
	}
	return l.granted.Reserve(now, k, rate, who, patience)
}

// SetLocalShares tells how many entries go by their own parts of limits.
func (l *Limiter[K]) SetLocalShares(apart map[K]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apart = apart
}

// MergeLocalShares takes of which limits one entry takes its own part, where entries tell each other and nobody counts them.
func (l *Limiter[K]) MergeLocalShares(entry string, of map[K]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apartOf[entry] = of
	if len(of) == 0 {
		delete(l.apartOf, entry)
	}
	l.apart = nil
	for _, of := range l.apartOf {
		for k := range of {
			if l.apart == nil {
				l.apart = map[K]int{}
			}
			l.apart[k]++
		}
	}
}

func (l *Limiter[K]) isLimited(k K) bool { return l.Table.Effective(k).Limited() }

// obey notes what was granted, and makes a permit of it; the mutex is held.
func (l *Limiter[K]) obey(k K, rate Rate, g Grant) Permit {
	s := l.state(k)
	s.sharers = g.Sharers
	now := l.Now()
	if !g.OK {
		s.Refused++
		s.until = now.Add(g.After)
		l.Observe(Refused)
	} else {
		s.Granted++
		s.lately = append(s.since(now.Add(-latelyFor)), now)
		l.Observe(Granted)
	}
	return Permit{OK: g.OK, Limited: true, Rate: rate, After: g.After}
}

// takeOwn takes a request of this entry's own part once nobody can be asked, or none meanwhile.
func (l *Limiter[K]) takeOwn(k K, rate Rate, seat Coordinator, patience time.Duration) Permit {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, s := l.Now(), l.state(k)
	if seat.Name != "" && !s.deaf(now) {
		s.until = later(s.until, s.asksAt)
		return Permit{Limited: true, After: s.until.Sub(now)}
	}
	if l.own.Len() > sweepAt {
		l.own.Retain(l.isLimited)
	}
	g := l.own.Reserve(now, k, rate/Rate(max(1, seat.Entries)), "", patience)
	g.Sharers = seat.Entries
	if g.OK {
		s.Own++
	}
	return l.obey(k, rate, g)
}
