package ratelimit

import "time"

const (
	// MaxWaitWithAlternatives is how long a request waits for its turn that could go elsewhere: without that the turns that nobody happens to ask for in
	// time are lost, which at high rates is most of them.
	MaxWaitWithAlternatives = 20 * time.Millisecond
	// asksPerSecond is how often an upstream is asked for by entries whose requests wait there, all together: hundreds of them would
	// otherwise all ask for each turn. Once half as many come, those that are refused are told to come at different times.
	asksPerSecond = 200.0
	// askWindow is the time over which questions are counted: all that wait ask at the same moment when a limit begins.
	askWindow = 100 * time.Millisecond
	// askerFor is how long one that asked counts among those that share a limit, turnsKept the same in turns.
	askerFor  = 2 * time.Second
	turnsKept = 2
)

// Grant is the answer to who wants to send an upstream a request.
type Grant struct {
	// OK is set when it may, After from now; otherwise it may ask again then.
	OK    bool          `cbor:"5,keyasint,omitempty"`
	After time.Duration `cbor:"6,keyasint,omitempty"`
	// Sharers is how many have asked lately, this one included.
	Sharers int `cbor:"7,keyasint,omitempty"`
}

// Pacer let requests go to upstreams one after the other, each at least the interval of the limit after the one before. Nothing is
// saved up while nobody asks. It is not safe for concurrent use.
type Pacer[K comparable] struct {
	// InitialElapsed is the part of the first interval that is over when an upstream is asked for the first time: what was sent before is not
	// known.
	InitialElapsed func() float64
	// Random returns a random number from 0 to 1.
	Random func() float64

	turns map[K]*turn
}

// turn is where an upstream stands.
type turn struct {
	// last is the moment of the last request that was granted, to is whom it was.
	last time.Time
	to   string
	// rate is the limit that it was granted by.
	rate Rate
	// askers are when each one asked last, sharers is how many of them count as of counted.
	askers  map[string]time.Time
	sharers int
	counted time.Time
	// asks is how many have come since began, lately how many came in a second before that.
	asks   int
	began  time.Time
	lately float64
}

// NewPacer returns grants of nothing yet.
func NewPacer[K comparable](over, draw func() float64) *Pacer[K] {
	return &Pacer[K]{InitialElapsed: over, Random: draw, turns: map[K]*turn{}}
}

// Reserve asks for a request at an upstream with a limit, on behalf of who, which can wait for its turn as long as its patience. One that has
// nowhere else to go gets the next turn that is free within that time, or knows at once that there is none.
func (g *Pacer[K]) Reserve(now time.Time, k K, rate Rate, who string, patience time.Duration) Grant {
	interval := rate.Interval()
	t := g.turn(now, k, interval)
	t.ask(now, who, interval)
	if rate < t.rate && t.last.After(now) {
		// Turns that were given out at a higher limit are given up by those that have them.
		t.last = now
	}
	free := t.last.Add(interval)
	wait, early := free.Sub(now), min(patience, MaxWaitWithAlternatives)
	if who == t.to && t.sharers > 1 {
		// Whoever got the last one is the first to know of the next, and would get all.
		early = 0
	}
	if wait <= early || wait <= patience && patience > MaxWaitWithAlternatives {
		t.last, t.to, t.rate = later(free, now), who, rate
		return Grant{OK: true, After: max(0, wait), Sharers: t.sharers}
	}
	spread := 0.0
	if t.lately > asksPerSecond/2 {
		spread = g.Random() * 2 * float64(t.sharers-1) / asksPerSecond
	}
	return Grant{After: wait - early + time.Duration(spread*float64(time.Second)), Sharers: t.sharers}
}

// HoldUntil lets no request go to an upstream before a time.
func (g *Pacer[K]) HoldUntil(now time.Time, k K, rate Rate, until time.Time) {
	interval := rate.Interval()
	t := g.turn(now, k, interval)
	t.last = later(t.last, until.Add(-interval))
}

// turn returns where an upstream stands.
func (g *Pacer[K]) turn(now time.Time, k K, interval time.Duration) *turn {
	t := g.turns[k]
	if t == nil {
		t = &turn{last: now.Add(-time.Duration(g.InitialElapsed() * float64(interval))), askers: map[string]time.Time{}}
		g.turns[k] = t
	}
	return t
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ask notes who asked, and counts all that have lately.
func (t *turn) ask(now time.Time, who string, interval time.Duration) {
	t.asks++
	if over := now.Sub(t.began); over >= askWindow {
		t.lately = float64(t.asks) / over.Seconds()
		t.asks, t.began = 0, now
	}
	_, known := t.askers[who]
	t.askers[who] = now
	if known && now.Sub(t.counted) < askerFor/4 {
		return
	}
	for other, at := range t.askers {
		if now.Sub(at) > max(askerFor, turnsKept*interval) {
			delete(t.askers, other)
		}
	}
	t.sharers, t.counted = len(t.askers), now
}

// Retain drops what is known of upstreams that keep does not name.
func (g *Pacer[K]) Retain(keep func(k K) bool) {
	for k := range g.turns {
		if !keep(k) {
			delete(g.turns, k)
		}
	}
}

// Len returns how many upstreams something is known of.
func (g *Pacer[K]) Len() int {
	return len(g.turns)
}
