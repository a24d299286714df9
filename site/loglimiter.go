package site

import (
	"sync"
	"time"
)

// logLimiter bounds the log lines on one matter that others can cause as often as they like.
type logLimiter struct {
	// Lines is how many lines each second may have, one if it is not set.
	Lines int

	mu      sync.Mutex
	began   time.Time
	written int
	many    int
}

// next counts one case and reports whether it may be logged, and how many came since the last one that was.
func (l *logLimiter) next(now time.Time) (many int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.many++
	if now.Sub(l.began) >= time.Second {
		l.began, l.written = now, 0
	}
	if l.written >= max(1, l.Lines) {
		return 0, false
	}
	l.written++
	many, l.many = l.many, 0
	return many, true
}
