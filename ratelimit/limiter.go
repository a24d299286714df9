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

const (
	// answerTime is how long an answer is waited for: several round trips between halls, with pauses of a busy VM.
	answerTime = 60 * time.Millisecond
	// deafAfter is how long questions have had no answer until an entry takes its own part; deafAgain is when it then asks again.
	deafAfter = 700 * time.Millisecond
	deafAgain = time.Second
	// movedAgain is when an entry asks again that has another list of entries than the one it asked.
	movedAgain = 200 * time.Millisecond
	// latelyFor is how long a request counts as a late one for operators, latelyMost how many are kept.
	latelyFor  = 10 * time.Second
	latelyMost = 1000
	// asksMost is how many questions on one upstream may be out at an entry.
	asksMost = 4
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

// Question asks the coordinator of an upstream for one request there, and tells it what the upstream said.
type Question[K comparable] struct {
	ID   uint64        `cbor:"1,keyasint"`
	Key  K             `cbor:"2,keyasint"`
	Rate Rate          `cbor:"3,keyasint"`
	Age  time.Duration `cbor:"4,keyasint,omitempty"`
	// Patience is how long the request can wait for its turn.
	Patience time.Duration `cbor:"5,keyasint,omitempty"`
}

// Answer is the coordinator's answer, and the newest word of the upstream that it knows.
type Answer[K comparable] struct {
	ID   uint64        `cbor:"1,keyasint"`
	Key  K             `cbor:"2,keyasint"`
	Rate Rate          `cbor:"3,keyasint,omitempty"`
	Age  time.Duration `cbor:"4,keyasint,omitempty"`
	Grant
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

// state is what this entry knows of an upstream's limit.
type state struct {
	// until is when it is worth asking again, asking how many questions are out.
	until  time.Time
	asking int
	// silent is since when no question was answered, asksAt when the coordinator is asked again then.
	silent time.Time
	asksAt time.Time
	// sharers is how many share the limit, and at how many requests this entry was let go, refused and not answered.
	sharers int
	// lately are the moments of the last requests that were granted.
	lately []time.Time
	Counts
}

// Counts are what became of the requests of this entry that were meant for an upstream with a limit.
type Counts struct {
	// Granted and Refused are those that were let go and that were not, Own those of the granted that were of this entry's own part, and
	// Unanswered the questions that had no answer.
	Granted, Refused, Own, Unanswered int
	// Lately is how many were granted in the last seconds.
	Lately int
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

func (l *Limiter[K]) state(k K) *state {
	s := l.states[k]
	if s != nil {
		return s
	}
	if len(l.states) > sweepAt {
		for other := range l.states {
			if l.states[other].asking == 0 && !l.isLimited(other) {
				delete(l.states, other)
			}
		}
	}
	s = &state{}
	l.states[k] = s
	return s
}

// ask asks the coordinator and waits for its answer.
func (l *Limiter[K]) ask(ctx context.Context, to string, k K, w Word, patience time.Duration) (*Answer[K], bool) {
	now := l.Now()
	l.mu.Lock()
	s := l.state(k)
	if now.Before(s.asksAt) || s.asking >= asksMost {
		l.mu.Unlock()
		return nil, false
	}
	s.asking++
	id, answer := rand.Uint64(), make(chan *Answer[K], 1)
	l.asked[id] = answer
	l.mu.Unlock()
	l.Ask(to, &Question[K]{ID: id, Key: k, Rate: w.Rate, Age: now.Sub(w.At), Patience: patience})
	timer := time.NewTimer(answerTime)
	defer timer.Stop()
	var a *Answer[K]
	select {
	case a = <-answer:
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.asked, id)
	s.asking--
	if a == nil && ctx.Err() == nil {
		s.unanswered(l.Now())
		l.Observe(Unanswered)
	}
	return a, a != nil
}

// since returns the moments after a time, as many as are kept.
func (s *state) since(from time.Time) []time.Time {
	list := s.lately
	for len(list) > 0 && (list[0].Before(from) || len(list) > latelyMost) {
		list = list[1:]
	}
	return list
}

// unanswered notes that a question had no answer.
func (s *state) unanswered(now time.Time) {
	s.Unanswered++
	if s.silent.IsZero() {
		s.silent = now
	}
	s.asksAt = now.Add(answerTime)
	if s.deaf(now) {
		s.asksAt = now.Add(deafAgain)
	}
}

// deaf reports whether the coordinator has not answered for so long that this entry goes by its own part.
func (s *state) deaf(now time.Time) bool {
	return !s.silent.IsZero() && now.Sub(s.silent) >= deafAfter
}

// take does what the coordinator answered.
func (l *Limiter[K]) take(k K, a *Answer[K]) Permit {
	l.Words.Hear(k, a.Rate, l.Now().Add(-a.Age))
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(k)
	s.silent, s.asksAt = time.Time{}, time.Time{}
	return l.obey(k, a.Rate, a.Grant)
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

// Asked answers a question of another entry; there is no answer when this one can't know whether it coordinates the upstream.
func (l *Limiter[K]) Asked(q *Question[K], from string) (*Answer[K], bool) {
	seat := l.Seat(q.Key)
	if !seat.Self && seat.Name == "" {
		return nil, false
	}
	now := l.Now()
	l.Words.Hear(q.Key, max(l.Words.Least, q.Rate), now.Add(-max(0, q.Age)))
	w := l.Words.Newest(q.Key)
	a := &Answer[K]{ID: q.ID, Key: q.Key, Rate: w.Rate, Age: now.Sub(w.At)}
	if w.Rate == q.Rate {
		// It is no news to who asks, and must not look like that.
		a.Age = max(a.Age, q.Age)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !w.Limited():
		a.Grant = Grant{OK: true}
	case !seat.Self:
		a.Grant = Grant{After: movedAgain, Sharers: 1}
	default:
		a.Grant = l.grant(q.Key, w.Rate, seat, from, q.Patience)
	}
	return a, true
}

// Answered takes the answer to a question; one that is not waited for any more is dropped, and the request that it granted is lost.
func (l *Limiter[K]) Answered(a *Answer[K]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer := l.asked[a.ID]; answer != nil {
		select {
		case answer <- a:
		default:
		}
	}
}

// Look returns what became of this entry's questions on an upstream, and whether it goes by its own part of the limit.
func (l *Limiter[K]) Look(k K) (c Counts, apart bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[k]
	if s == nil {
		return Counts{}, false
	}
	now := l.Now()
	s.lately = s.since(now.Add(-latelyFor))
	s.Lately = len(s.lately)
	return s.Counts, s.deaf(now)
}
