package ratelimit

import "time"

const (
	// localShareAfter is how long questions have had no answer until an entry takes its own part; coordinatorRetry is when it then asks again.
	localShareAfter  = 700 * time.Millisecond
	coordinatorRetry = time.Second
	// recentPeriod is how long a request counts as a late one for operators, maxRecentGrants how many are kept.
	recentPeriod    = 10 * time.Second
	maxRecentGrants = 1000
)

// state is what this entry knows of an upstream's limit.
type state struct {
	// retryAt is when it is worth asking again, asking how many questions are out.
	retryAt  time.Time
	inFlight int
	// unansweredSince is since when no question was answered, nextRequestAt when the coordinator is asked again then.
	unansweredSince time.Time
	nextRequestAt   time.Time
	// sharers is how many share the limit, and at how many requests this entry was let go, refused and not answered.
	sharers int
	// recentGrants are the moments of the last requests that were granted.
	recentGrants []time.Time
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

// grantsSince returns the moments after a time, as many as are kept.
func (s *state) grantsSince(from time.Time) []time.Time {
	grants := s.recentGrants
	for len(grants) > 0 && (grants[0].Before(from) || len(grants) > maxRecentGrants) {
		grants = grants[1:]
	}
	return grants
}

// recordUnanswered notes that a question had no answer.
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

// usesLocalShare reports whether the coordinator has not answered for so long that this entry goes by its own part.
func (s *state) usesLocalShare(now time.Time) bool {
	return !s.unansweredSince.IsZero() && now.Sub(s.unansweredSince) >= localShareAfter
}

// Stats returns what became of this entry's questions on an upstream, and whether it goes by its own part of the limit.
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
