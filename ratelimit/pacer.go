package ratelimit

import "time"

const (
	// MaxWaitWithAlternatives is how long a request waits for its turn that could go elsewhere: without that the turns that nobody happens to ask for in
	// time are lost, which at high rates is most of them.
	MaxWaitWithAlternatives = 20 * time.Millisecond
	// maxRequestsPerSecond is how often an upstream is asked for by entries whose requests wait there, all together: hundreds of them would
	// otherwise all ask for each turn. Once half as many come, those that are refused are told to come at different times.
	maxRequestsPerSecond = 200.0
	// requestRateWindow is the time over which questions are counted: all that wait ask at the same moment when a limit begins.
	requestRateWindow = 100 * time.Millisecond
	// sharerRetention is how long one that asked counts among those that share a limit, sharerRetentionIntervals the same in turns.
	sharerRetention          = 2 * time.Second
	sharerRetentionIntervals = 2
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

	schedules map[K]*schedule
}

// schedule is where an upstream stands.
type schedule struct {
	// lastGrant is the moment of the last request that was granted, to is whom it was.
	lastGrant     time.Time
	lastRequester string
	// lastRate is the limit that it was granted by.
	lastRate Rate
	// requesters are when each one asked last, sharers is how many of them count as of counted.
	requesters       map[string]time.Time
	sharers          int
	sharersCountedAt time.Time
	// windowRequests is how many have come since began, lately how many came in a second before that.
	windowRequests    int
	windowStart       time.Time
	requestsPerSecond float64
}

// NewPacer returns grants of nothing yet.
func NewPacer[K comparable](initialElapsed, random func() float64) *Pacer[K] {
	return &Pacer[K]{InitialElapsed: initialElapsed, Random: random, schedules: map[K]*schedule{}}
}

// Reserve asks for a request at an upstream with a limit, on behalf of who, which can wait for its turn as long as its patience. One that has
// nowhere else to go gets the next turn that is free within that time, or knows at once that there is none.
func (p *Pacer[K]) Reserve(now time.Time, k K, rate Rate, requester string, maxWait time.Duration) Grant {
	interval := rate.Interval()
	s := p.schedule(now, k, interval)
	s.recordRequest(now, requester, interval)
	if rate < s.lastRate && s.lastGrant.After(now) {
		// Turns that were given out at a higher limit are given up by those that have them.
		s.lastGrant = now
	}
	next := s.lastGrant.Add(interval)
	wait, maxEarly := next.Sub(now), min(maxWait, MaxWaitWithAlternatives)
	if requester == s.lastRequester && s.sharers > 1 {
		// Whoever got the last one is the first to know of the next, and would get all.
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

// HoldUntil lets no request go to an upstream before a time.
func (p *Pacer[K]) HoldUntil(now time.Time, k K, rate Rate, until time.Time) {
	interval := rate.Interval()
	s := p.schedule(now, k, interval)
	s.lastGrant = later(s.lastGrant, until.Add(-interval))
}

// schedule returns where an upstream stands.
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

// recordRequest notes who asked, and counts all that have lately.
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

// Retain drops what is known of upstreams that keep does not name.
func (p *Pacer[K]) Retain(keep func(k K) bool) {
	for k := range p.schedules {
		if !keep(k) {
			delete(p.schedules, k)
		}
	}
}

// Len returns how many upstreams something is known of.
func (p *Pacer[K]) Len() int {
	return len(p.schedules)
}
