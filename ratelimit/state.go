package ratelimit

import "time"

const (
	// deafAfter is how long questions have had no answer until an entry takes its own part; deafAgain is when it then asks again.
	deafAfter = 700 * time.Millisecond
	deafAgain = time.Second
	// latelyFor is how long a request counts as a late one for operators, latelyMost how many are kept.
	latelyFor  = 10 * time.Second
	latelyMost = 1000
)

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

// Stats returns what became of this entry's questions on an upstream, and whether it goes by its own part of the limit.
func (l *Limiter[K]) Stats(k K) (c Counts, apart bool) {
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
