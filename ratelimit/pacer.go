package ratelimit

import "time"

const (
	// MaxWaitWithAlternatives is how long a request that could be sent to another upstream waits for its permit. If
	// such requests did not wait at all, intervals in which no request happens to arrive would be lost, which at high
	// rates are most of them.
	MaxWaitWithAlternatives = 20 * time.Millisecond
	// maxRequestsPerSecond is the target for permit requests for one upstream from all entries together. Without a
	// target hundreds of entries with waiting requests would all ask for each permit. Above half of the target, refused
	// entries are told to retry at random times.
	maxRequestsPerSecond = 200.0
	// requestRateWindow is the period over which permit requests are counted; when a limit begins, all entries with
	// waiting requests ask at the same moment.
	requestRateWindow = 100 * time.Millisecond
	// sharerRetention is how long an entry counts as a sharer of a limit after its last permit request. At low rates it
	// is sharerRetentionIntervals intervals of the limit.
	sharerRetention          = 2 * time.Second
	sharerRetentionIntervals = 2
)

// Grant is the coordinator's decision on a permit.
type Grant struct {
	// OK grants the request, to be sent After from now. If it is not set, After is the time until the next attempt.
	OK    bool          `cbor:"5,keyasint,omitempty"`
	After time.Duration `cbor:"6,keyasint,omitempty"`
	// Sharers is the number of entries with recent permit requests, including this one.
	Sharers int `cbor:"7,keyasint,omitempty"`
}

// Pacer spaces the requests to each upstream by at least the interval of its limit. Unused intervals are not saved up.
// It is not safe for concurrent use.
type Pacer[K comparable] struct {
	// InitialElapsed returns the fraction of the first interval that counts as elapsed at the first permit request for
	// an upstream, since earlier requests are unknown.
	InitialElapsed func() float64
	// Random returns a random number in [0, 1).
	Random func() float64

	schedules map[K]*schedule
}

// schedule is the state of one upstream.
type schedule struct {
	// lastGrant is the time for which the last request was granted, lastRequester the entry that it was granted to.
	lastGrant     time.Time
	lastRequester string
	// lastRate is the limit at the last grant.
	lastRate Rate
	// requesters holds the last permit request of each entry; sharers is their number at sharersCountedAt.
	requesters       map[string]time.Time
	sharers          int
	sharersCountedAt time.Time
	// windowRequests is the number of permit requests since windowStart, requestsPerSecond their rate in the window
	// before.
	windowRequests    int
	windowStart       time.Time
	requestsPerSecond float64
}

// NewPacer returns a pacer without any grants.
func NewPacer[K comparable](initialElapsed, random func() float64) *Pacer[K] {
	return &Pacer[K]{InitialElapsed: initialElapsed, Random: random, schedules: map[K]*schedule{}}
}

// Reserve asks for the next permit at rate on behalf of requester, which can wait for up to maxWait. A request without
// alternatives gets the next free time within maxWait, or is refused at once if there is none.
func (p *Pacer[K]) Reserve(now time.Time, k K, rate Rate, requester string, maxWait time.Duration) Grant {
	interval := rate.Interval()
	s := p.schedule(now, k, interval)
	s.recordRequest(now, requester, interval)
	if rate < s.lastRate && s.lastGrant.After(now) {
		// Entries give up reservations that were made at a higher limit.
		s.lastGrant = now
	}
	next := s.lastGrant.Add(interval)
	wait, maxEarly := next.Sub(now), min(maxWait, MaxWaitWithAlternatives)
	if requester == s.lastRequester && s.sharers > 1 {
		// The entry with the last permit is the first to know when the next one is free, and would get all of them.
		maxEarly = 0
	}
	if wait <= maxEarly || wait <= maxWait && maxWait > MaxWaitWithAlternatives {
		s.lastGrant, s.lastRequester, s.lastRate = later(next, now), requester, rate
		return Grant{OK: true, After: max(0, wait), Sharers: s.sharers}
	}
	jitterSeconds := 0.0
	if s.requestsPerSecond > maxRequestsPerSecond/2 {
		jitterSeconds = p.Random() * 2 * float64(s.sharers-1) / maxRequestsPerSecond
	}
	return Grant{After: wait - maxEarly + time.Duration(jitterSeconds*float64(time.Second)), Sharers: s.sharers}
}

// HoldUntil grants nothing for an upstream before a time.
func (p *Pacer[K]) HoldUntil(now time.Time, k K, rate Rate, until time.Time) {
	interval := rate.Interval()
	s := p.schedule(now, k, interval)
	s.lastGrant = later(s.lastGrant, until.Add(-interval))
}

// schedule returns the state of an upstream.
func (p *Pacer[K]) schedule(now time.Time, k K, interval time.Duration) *schedule {
	s := p.schedules[k]
	if s == nil {
		s = &schedule{lastGrant: now.Add(-time.Duration(p.InitialElapsed() * float64(interval))), requesters: map[string]time.Time{}}
		p.schedules[k] = s
	}
	return s
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordRequest updates the rate of permit requests and the number of sharers.
func (s *schedule) recordRequest(now time.Time, requester string, interval time.Duration) {
	s.windowRequests++
	if elapsed := now.Sub(s.windowStart); elapsed >= requestRateWindow {
		s.requestsPerSecond = float64(s.windowRequests) / elapsed.Seconds()
		s.windowRequests, s.windowStart = 0, now
	}
	_, known := s.requesters[requester]
	s.requesters[requester] = now
	if known && now.Sub(s.sharersCountedAt) < sharerRetention/4 {
		return
	}
	for other, lastRequest := range s.requesters {
		if now.Sub(lastRequest) > max(sharerRetention, sharerRetentionIntervals*interval) {
			delete(s.requesters, other)
		}
	}
	s.sharers, s.sharersCountedAt = len(s.requesters), now
}

// Retain drops the state of upstreams for which keep returns false.
func (p *Pacer[K]) Retain(keep func(k K) bool) {
	for k := range p.schedules {
		if !keep(k) {
			delete(p.schedules, k)
		}
	}
}

// Len returns the number of upstreams with state.
func (p *Pacer[K]) Len() int {
	return len(p.schedules)
}
