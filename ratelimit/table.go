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
func (l Limit) Limited() bool { return l.Rate > 0 }

const (
	// maxTransitTime is how much newer than it is a word of others may look, since the time that it was on its way is not known. Without that a
	// word would grow younger with each time that two entries tell it each other, and outlive its end.
	maxTransitTime = 10 * time.Millisecond
	// sweepAt is how many words are kept before old ones are looked for.
	sweepAt = 256
	// endedRetention is how long the end of a limit is remembered: what others said before may come late.
	endedRetention = time.Minute
	// limitRetention is how long a limit counts of which nothing more was heard: nobody has sent the upstream anything since, or it is gone.
	limitRetention = 10 * time.Minute
)

// defaultMinRate is one request a minute.
const defaultMinRate = Rate(1.0 / 60)

// LimitTable are the newest words of upstreams on their limits, by their lives; exported fields are set before use.
type LimitTable[K comparable] struct {
	// MinRate is the lowest limit that is kept: an upstream that takes nothing is tried at that rate all the same, since only an answer of
	// its own says that it takes more again.
	MinRate Rate

	// count is how many upstreams have a limit: most of the time none has, and each choice asks for each upstream.
	count atomic.Int64

	mu     sync.Mutex
	limits map[K]Limit
	// caps bound what is sent to upstreams whatever they say.
	caps map[K]Rate
	// nextSweep is how many words there may be until old ones are dropped.
	nextSweep int
}

// NewLimitTable returns words of nobody.
func NewLimitTable[K comparable]() *LimitTable[K] {
	return &LimitTable[K]{MinRate: defaultMinRate, limits: map[K]Limit{}}
}

// Record takes the limit that an upstream named at a time, and returns its word before. It reports whether the limit has changed by it; an
// older word than the newest one changes nothing.
func (t *LimitTable[K]) Record(k K, rate Rate, at time.Time) (previous Limit, changed bool) {
	return t.update(k, Limit{Rate: max(t.MinRate, rate), LastSeen: at, Direct: true}, 0)
}

// Merge is Name for what others heard, also that there is no limit any more, which is a rate of 0.
func (t *LimitTable[K]) Merge(k K, rate Rate, at time.Time) (previous Limit, changed bool) {
	return t.update(k, Limit{Rate: rate, LastSeen: at}, maxTransitTime)
}

// update takes a word that counts if it is newer than the one before by more than a margin.
func (t *LimitTable[K]) update(k K, limit Limit, margin time.Duration) (previous Limit, changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous, known := t.limits[k]
	if known && !limit.LastSeen.After(previous.LastSeen.Add(margin)) || !known && limit.Rate == 0 {
		return previous, false
	}
	limit.Since = limit.LastSeen
	if known && previous.Rate == limit.Rate {
		limit.Since = previous.Since
	}
	t.put(k, previous, limit, limit.LastSeen)
	return previous, previous.Rate != limit.Rate
}

// RecordUnlimited takes an answer without a limit to a request that was sent at a time, and reports whether the limit has ended by it.
func (t *LimitTable[K]) RecordUnlimited(k K, sent, at time.Time) (previous Limit, ended bool) {
	if t.count.Load() == 0 {
		return Limit{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	previous = t.limits[k]
	if !previous.Limited() || !sent.After(previous.LastSeen) {
		return previous, false
	}
	t.put(k, previous, Limit{LastSeen: at, Since: at, Direct: true}, at)
	return previous, true
}

// put replaces a word; the mutex is held.
func (t *LimitTable[K]) put(k K, previous, limit Limit, now time.Time) {
	t.addToCount(previous, -1)
	t.addToCount(limit, 1)
	t.limits[k] = limit
	if len(t.limits) > max(t.nextSweep, sweepAt) {
		t.dropExpired(now)
		t.nextSweep = 2 * len(t.limits)
	}
}

func (t *LimitTable[K]) addToCount(limit Limit, n int64) {
	if limit.Limited() {
		t.count.Add(n)
	}
}

// dropExpired forgets words that nobody goes by any more; the mutex is held.
func (t *LimitTable[K]) dropExpired(now time.Time) {
	for k, limit := range t.limits {
		age := now.Sub(limit.LastSeen)
		if limit.Limited() && age < limitRetention || age < endedRetention {
			continue
		}
		t.addToCount(limit, -1)
		delete(t.limits, k)
	}
}

// Effective returns the limit of an upstream: its newest word, or the cap where that is lower.
func (t *LimitTable[K]) Effective(k K) Limit {
	if t.count.Load() == 0 {
		return Limit{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	limit := t.limits[k]
	if rate, ok := t.caps[k]; ok && (!limit.Limited() || rate < limit.Rate) {
		limit.Rate, limit.Direct, limit.Capped = rate, false, true
	}
	return limit
}

// SetCaps replaces the limits that hold for upstreams whatever they say, as for those that have just started.
func (t *LimitTable[K]) SetCaps(caps map[K]Rate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count.Add(int64(len(caps) - len(t.caps)))
	t.caps = caps
}

// Cap returns the cap of an upstream, 0 where there is none.
func (t *LimitTable[K]) Cap(k K) Rate {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.caps[k]
}

// Newest returns the newest word of an upstream, also that there is no limit any more.
func (t *LimitTable[K]) Newest(k K) Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits[k]
}

// Each calls visit for each upstream of which there is a word.
func (t *LimitTable[K]) Each(visit func(k K, limit Limit)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, limit := range t.limits {
		visit(k, limit)
	}
}

// Count returns how many upstreams have a limit; one with a cap as well counts twice.
func (t *LimitTable[K]) Count() int {
	return int(t.count.Load())
}
