package ratelimit

// An upstream states its limit in every response while it has one, and the newest response counts. Responses can
// overtake each other:
//
//	0.000   request 1 -> u
//	0.010   request 2 -> u    200, limit 3
//	0.090   200, no limit, for request 1: u had no limit when it was sent
//	0.100   request 3 -> u
//	0.190   200, no limit: the limit has ended
//
// A response without a limit therefore ends the limit only if its request was sent after the limit was last seen.

import (
	"sync"
	"sync/atomic"
	"time"
)

// Limit is the newest limit that an upstream advertised, or the end of one.
type Limit struct {
	// Rate is the limit, 0 once the upstream has none any more.
	Rate Rate
	// LastSeen is when the limit was last advertised, Since when it was first.
	LastSeen time.Time
	Since    time.Time
	// Direct is set if this entry saw the limit in a response, and did not learn of it from another entry.
	Direct bool
	// Capped is set if Rate is a cap and not a limit that the upstream advertised.
	Capped bool
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.Rate > 0 }

const (
	// maxTransitTime is how much newer a limit from another entry can appear than it is, because its time in transit is
	// unknown. Without this margin a limit would seem newer each time two entries exchange it, and would outlive its
	// end.
	maxTransitTime = 10 * time.Millisecond
	// sweepAt is the number of upstreams from which on state that is no longer needed is dropped.
	sweepAt = 256
	// endedRetention is how long the end of a limit is kept; older updates from other entries can arrive late.
	endedRetention = time.Minute
	// limitRetention is how long a limit stays in force after it was last seen. By then nobody sends requests to the
	// upstream, or it is gone.
	limitRetention = 10 * time.Minute
)

// defaultMinRate is one request per minute.
const defaultMinRate = Rate(1.0 / 60)

// LimitTable holds the newest limit of each upstream incarnation. Exported fields are set before use.
type LimitTable[K comparable] struct {
	// MinRate is the lower bound of limits. An upstream that advertises a rate of 0 still gets requests at this rate,
	// since only its own response can raise the limit again.
	MinRate Rate

	// count is the number of upstreams with a limit. It is usually 0, and each routing decision checks every upstream.
	count atomic.Int64

	mu     sync.Mutex
	limits map[K]Limit
	// caps bounds the rates of upstreams whatever they advertise.
	caps map[K]Rate
	// nextSweep is the number of limits at which old ones are dropped.
	nextSweep int
}

// NewLimitTable returns an empty table.
func NewLimitTable[K comparable]() *LimitTable[K] {
	return &LimitTable[K]{MinRate: defaultMinRate, limits: map[K]Limit{}}
}

// Record records a limit that a response stated at a time, and returns the previous one and whether the rate has
// changed. A limit older than the newest one changes nothing.
func (t *LimitTable[K]) Record(k K, rate Rate, at time.Time) (previous Limit, changed bool) {
	return t.update(k, Limit{Rate: max(t.MinRate, rate), LastSeen: at, Direct: true}, 0)
}

// Merge is Record for limits that another entry saw; a rate of 0 is the end of a limit.
func (t *LimitTable[K]) Merge(k K, rate Rate, at time.Time) (previous Limit, changed bool) {
	return t.update(k, Limit{Rate: rate, LastSeen: at}, maxTransitTime)
}

// update replaces a limit if the new one is newer by more than margin.
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

// RecordUnlimited records a response at a time without a limit, to a request that was sent before, and reports whether
// this ends the limit.
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

// put replaces a limit; the mutex is held.
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

// dropExpired drops limits after their retention time; the mutex is held.
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

// Effective returns the limit in force: the newest one, or the cap if it is lower.
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

// SetCaps replaces the caps, which hold whatever upstreams advertise, as for upstreams that have just started.
func (t *LimitTable[K]) SetCaps(caps map[K]Rate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.count.Add(int64(len(caps) - len(t.caps)))
	t.caps = caps
}

// Cap returns the cap of an upstream, 0 if there is none.
func (t *LimitTable[K]) Cap(k K) Rate {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.caps[k]
}

// Newest returns the newest limit of an upstream, or the end of its limit, without the cap.
func (t *LimitTable[K]) Newest(k K) Limit {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.limits[k]
}

// Each calls visit for each upstream with a limit or a recently ended one.
func (t *LimitTable[K]) Each(visit func(k K, limit Limit)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for k, limit := range t.limits {
		visit(k, limit)
	}
}

// Count returns the number of upstreams with a limit; one with both a limit and a cap counts twice.
func (t *LimitTable[K]) Count() int {
	return int(t.count.Load())
}
