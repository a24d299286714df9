package ratelimit

import "time"

const (
	// localShareAfter is how long permit requests must go unanswered before an entry uses its local share, and
	// coordinatorRetry how often it asks the coordinator from then on.
	localShareAfter  = 700 * time.Millisecond
	coordinatorRetry = time.Second
	// recentPeriod and maxRecentGrants bound the recent grants that operators are shown.
	recentPeriod    = 10 * time.Second
	maxRecentGrants = 1000
)

// state is what this entry knows about the limit of an upstream.
type state struct {
	// retryAt is the earliest time for the next attempt, inFlight the number of permit requests in flight.
	retryAt  time.Time
	inFlight int
	// unansweredSince is the time of the first permit request in a row without a reply, nextRequestAt the earliest time
	// for the next one.
	unansweredSince time.Time
	nextRequestAt   time.Time
	// sharers is the number of entries that share the limit.
	sharers int
	// recentGrants holds the times of the last grants.
	recentGrants []time.Time
	Counts
}

// Counts are the outcomes of this entry's attempts to get permits for an upstream.
type Counts struct {
	// Granted and Refused count decisions, Own the grants from the local share, Unanswered the permit requests without
	// a reply.
	Granted, Refused, Own, Unanswered int
	// Lately is the number of grants in the last seconds.
	Lately int
}

func (l *Limiter[K]) state(k K) *state {
	s := l.states[k]
	if s != nil {
		return s
	}
	if len(l.states) > sweepAt {
		for other := range l.states {
			if l.states[other].inFlight == 0 && !l.isLimited(other) {
				delete(l.states, other)
			}
		}
	}
	s = &state{}
	l.states[k] = s
	return s
}

// grantsSince returns the grants after a time, at most maxRecentGrants.
func (s *state) grantsSince(from time.Time) []time.Time {
	grants := s.recentGrants
	for len(grants) > 0 && (grants[0].Before(from) || len(grants) > maxRecentGrants) {
		grants = grants[1:]
	}
	return grants
}

// recordUnanswered records a permit request without a reply.
func (s *state) recordUnanswered(now time.Time) {
	s.Unanswered++
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
	s.nextRequestAt = now.Add(replyTimeout)
	if s.usesLocalShare(now) {
		s.nextRequestAt = now.Add(coordinatorRetry)
	}
}

// usesLocalShare reports whether the coordinator has not replied for localShareAfter.
func (s *state) usesLocalShare(now time.Time) bool {
	return !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) >= localShareAfter
}

// Stats returns the outcomes for an upstream, and whether this entry uses its local share of the limit.
func (l *Limiter[K]) Stats(k K) (counts Counts, usesLocalShare bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.states[k]
	if s == nil {
		return Counts{}, false
	}
	now := l.Now()
	s.recentGrants = s.grantsSince(now.Add(-recentPeriod))
	s.Lately = len(s.recentGrants)
	return s.Counts, s.usesLocalShare(now)
}
