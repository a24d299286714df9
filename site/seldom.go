package site

import (
	"sync"
	"time"
)

// seldomPause is the least time between two log lines on something that others can cause as often as they like.
const seldomPause = time.Second

// seldom bounds the log lines on one matter.
type seldom struct {
	mu   sync.Mutex
	last time.Time
	many int
}

// next counts one case and reports whether it may be logged, and how many came since the last one that was.
func (s *seldom) next(now time.Time) (many int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.many++
	if now.Sub(s.last) < seldomPause {
		return 0, false
	}
	many, s.many, s.last = s.many, 0, now
	return many, true
}
