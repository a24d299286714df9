package ratelimit

// An upstream names its limit in each answer for as long as it has one, so the
// newest answer counts. Answers overtake each other:
//
//	0.000   request 1 -> u
//	0.010   request 2 -> u    200, limit 3
//	0.090   200, no limit, for request 1: it was sent before u was known to have one
//	0.100   request 3 -> u
//	0.190   200, no limit: the limit has ended
//
// So an answer without a limit ends it only if its request was sent after the
// newest word that there is one.

import (
	"sync"
	"sync/atomic"
	"time"
)

// Limit is what an upstream said of its limit.
type Limit struct {
	// Rate is the limit, 0 when it said that it has none any more.
	Rate Rate
	// LastSeen is when it last said so, Since when it first did.
	LastSeen time.Time
	Since    time.Time
	// Direct is set when it said so to this entry, and not to another one that told.
	Direct bool
	// Capped is set when Rate is a cap, which is not the upstream's word.
	Capped bool
}

// Limited reports whether there is a limit.
func (w Limit) Limited() bool { return w.Rate > 0 }

const (
	// onTheWay is how much newer than it is a word of others may look, since the time that it was on its way is not known. Without that a
	// word would grow younger with each time that two entries tell it each other, and outlive its end.
	onTheWay = 10 * time.Millisecond
	// sweepAt is how many words are kept before old ones are looked for.
	sweepAt = 256
	// endedKept is how long the end of a limit is remembered: what others said before may come late.
	endedKept = time.Minute
	// saidKept is how long a limit counts of which nothing more was heard: nobody has sent the upstream anything since, or it is gone.
	saidKept = 10 * time.Minute
)

// leastDefault is one request a minute.
const leastDefault = Rate(1.0 / 60)

// LimitTable are the newest words of upstreams on their limits, by their lives; exported fields are set before use.
type LimitTable[K comparable] struct {
	// MinRate is the lowest limit that is kept: an upstream that takes nothing is tried at that rate all the same, since only an answer of
	// its own says that it takes more again.
	MinRate Rate

	// limited is how many upstreams have a limit: most of the time none has, and each choice asks for each upstream.
	limited atomic.Int64

	mu    sync.Mutex
	words map[K]Limit
	// caps bound what is sent to upstreams whatever they say.
	caps map[K]Rate
	// sweep is how many words there may be until old ones are dropped.
	sweep int
}

// NewLimitTable returns words of nobody.
func NewLimitTable[K comparable]() *LimitTable[K] {
	return &LimitTable[K]{MinRate: leastDefault, words: map[K]Limit{}}
}

// Record takes the limit that an upstream named at a time, and returns its word before. It reports whether the limit has changed by it; an
// older word than the newest one changes nothing.
func (s *LimitTable[K]) Record(k K, rate Rate, at time.Time) (was Limit, changed bool) {
	return s.take(k, Limit{Rate: max(s.MinRate, rate), LastSeen: at, Direct: true}, 0)
}

// Merge is Name for what others heard, also that there is no limit any more, which is a rate of 0.
func (s *LimitTable[K]) Merge(k K, rate Rate, at time.Time) (was Limit, changed bool) {
	return s.take(k, Limit{Rate: rate, LastSeen: at}, onTheWay)
}

// take takes a word that counts if it is newer than the one before by more than a margin.
func (s *LimitTable[K]) take(k K, w Limit, margin time.Duration) (was Limit, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was, known := s.words[k]
	if known && !w.LastSeen.After(was.LastSeen.Add(margin)) || !known && w.Rate == 0 {
		return was, false
	}
	w.Since = w.LastSeen
	if known && was.Rate == w.Rate {
		w.Since = was.Since
	}
	s.put(k, was, w, w.LastSeen)
	return was, was.Rate != w.Rate
}

// RecordUnlimited takes an answer without a limit to a request that was sent at a time, and reports whether the limit has ended by it.
func (s *LimitTable[K]) RecordUnlimited(k K, sent, at time.Time) (was Limit, ended bool) {
	if s.limited.Load() == 0 {
		return Limit{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	was = s.words[k]
	if !was.Limited() || !sent.After(was.LastSeen) {
		return was, false
	}
	s.put(k, was, Limit{LastSeen: at, Since: at, Direct: true}, at)
	return was, true
}

// put replaces a word; the mutex is held.
func (s *LimitTable[K]) put(k K, was, w Limit, now time.Time) {
	s.count(was, -1)
	s.count(w, 1)
	s.words[k] = w
	if len(s.words) > max(s.sweep, sweepAt) {
		s.drop(now)
		s.sweep = 2 * len(s.words)
	}
}

func (s *LimitTable[K]) count(w Limit, n int64) {
	if w.Limited() {
		s.limited.Add(n)
	}
}

// drop forgets words that nobody goes by any more; the mutex is held.
func (s *LimitTable[K]) drop(now time.Time) {
	for k, w := range s.words {
		age := now.Sub(w.LastSeen)
		if w.Limited() && age < saidKept || age < endedKept {
			continue
		}
		s.count(w, -1)
		delete(s.words, k)
	}
}

// Effective returns the limit of an upstream: its newest word, or the cap where that is lower.
func (s *LimitTable[K]) Effective(k K) Limit {
	if s.limited.Load() == 0 {
		return Limit{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.words[k]
	if rate, ok := s.caps[k]; ok && (!w.Limited() || rate < w.Rate) {
		w.Rate, w.Direct, w.Capped = rate, false, true
	}
	return w
}

// SetCaps replaces the limits that hold for upstreams whatever they say, as for those that have just started.
func (s *LimitTable[K]) SetCaps(caps map[K]Rate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limited.Add(int64(len(caps) - len(s.caps)))
	s.caps = caps
}

// Cap returns the cap of an upstream, 0 where there is none.
func (s *LimitTable[K]) Cap(k K) Rate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.caps[k]
}

// Newest returns the newest word of an upstream, also that there is no limit any more.
func (s *LimitTable[K]) Newest(k K) Limit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.words[k]
}

// Each calls visit for each upstream of which there is a word.
func (s *LimitTable[K]) Each(visit func(k K, w Limit)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, w := range s.words {
		visit(k, w)
	}
}

// Count returns how many upstreams have a limit; one with a cap as well counts twice.
func (s *LimitTable[K]) Count() int {
	return int(s.limited.Load())
}
