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

// Seat says who coordinates an upstream.
type Seat struct {
	// Name is the coordinator, nothing when this entry can't know it; Self is set when it is this entry.
	Name string
	Self bool
	// Entries is how many entries there are.
	Entries int
	// Quiet is how long this entry grants nothing yet, since another may still do.
	Quiet time.Duration
}

// Gate is whether a request may be meant for an upstream at a moment.
type Gate struct {
	// Limited is set when the upstream has named a limit.
	Limited bool
	// Left is how long there is nothing to be had, Busy is set while it is being asked for.
	Left time.Duration
	Busy bool
	// Rate is what this entry can expect of the limit.
	Rate Rate
}

// Open reports whether it is worth asking.
func (g Gate) Open() bool { return g.Left <= 0 && !g.Busy }

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
	Words *Words[K]
	Now   func() time.Time
	// Draw returns a random number from 0 to 1.
	Draw func() float64
	// Seat says who coordinates an upstream.
	Seat func(k K) Seat
	// Ask sends a question to a coordinator, Observe takes each outcome; neither must block.
	Ask     func(to string, q *Question[K])
	Observe func(o Outcome)

	mu sync.Mutex
	// granted are the requests that were let go as coordinator, own those of this entry's own part.
	granted *Grants[K]
	own     *Grants[K]
	states  map[K]*state
	asked   map[uint64]chan *Answer[K]
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
		Words: NewWords[K](), Now: time.Now, Draw: rand.Float64,
		Seat: func(K) Seat { return Seat{Self: true, Entries: 1} },
		Ask:  func(string, *Question[K]) {}, Observe: func(Outcome) {},
		states: map[K]*state{}, asked: map[uint64]chan *Answer[K]{}, apartOf: map[string]map[K]bool{},
	}
	draw := func() float64 { return l.Draw() }
	// A coordinator begins with a whole interval, whatever was sent before. Parts of many entries begin at random, so that they do not
	// all send at the same moment.
	l.granted = NewGrants[K](func() float64 { return 0 }, draw)
	l.own = NewGrants[K](draw, draw)
	return l
}

// Any reports whether any upstream has a limit.
func (l *Limiter[K]) Any() bool {
	return l.Words.Limited() > 0
}

// Of returns whether a request may be meant for an upstream.
func (l *Limiter[K]) Of(now time.Time, k K) Gate {
	if !l.Any() {
		return Gate{}
	}
	w := l.Words.Of(k)
	if !w.Limited() {
		return Gate{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[k]
	if s == nil {
		return Gate{Limited: true, Rate: w.Rate}
	}
	return Gate{Limited: true, Left: max(0, s.until.Sub(now)), Busy: s.asking >= asksMost, Rate: w.Rate / Rate(max(1, s.sharers))}
}

// Take asks for one request at an upstream that can wait so long for its turn; it returns at once where there is no limit.
func (l *Limiter[K]) Take(ctx context.Context, k K, patience time.Duration) Permit {
	w := l.Words.Of(k)
	if !w.Limited() {
		return Permit{OK: true}
	}
	seat := l.Seat(k)
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
func (l *Limiter[K]) takeHere(k K, rate Rate, seat Seat, patience time.Duration) Permit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.obey(k, rate, l.grant(k, rate, seat, "", patience))
}

// grant answers who asks this entry as coordinator; the mutex is held.
func (l *Limiter[K]) grant(k K, rate Rate, seat Seat, who string, patience time.Duration) Grant {
	if apart := l.apart[k]; apart > 0 {
		// Those that can't ask take their parts all the same: without this an upstream would get these beside its whole limit where
		// datagrams between entries are filtered.
		rate *= Rate(max(1, seat.Entries-apart)) / Rate(max(1, seat.Entries))
	}
	if l.granted.Len() > sweepAt {
		l.granted.Keep(l.isLimited)
	}
	now := l.Now()
	if seat.Quiet > 0 {
		l.granted.Hold(now, k, rate, now.Add(seat.Quiet))
	}
	return l.granted.Ask(now, k, rate, who, patience)
}

// SetApart tells how many entries go by their own parts of limits.
func (l *Limiter[K]) SetApart(apart map[K]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apart = apart
}

// HearApart takes of which limits one entry takes its own part, where entries tell each other and nobody counts them.
func (l *Limiter[K]) HearApart(entry string, of map[K]bool) {
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

func (l *Limiter[K]) isLimited(k K) bool { return l.Words.Of(k).Limited() }

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
func (l *Limiter[K]) takeOwn(k K, rate Rate, seat Seat, patience time.Duration) Permit {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, s := l.Now(), l.state(k)
	if seat.Name != "" && !s.deaf(now) {
		s.until = later(s.until, s.asksAt)
		return Permit{Limited: true, After: s.until.Sub(now)}
	}
	if l.own.Len() > sweepAt {
		l.own.Keep(l.isLimited)
	}
	g := l.own.Ask(now, k, rate/Rate(max(1, seat.Entries)), "", patience)
	g.Sharers = seat.Entries
	if g.OK {
		s.Own++
	}
	return l.obey(k, rate, g)
}
