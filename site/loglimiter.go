package site

import (
	"sync"
	"time"
)

// logLimiter bounds the log lines on one matter that others can cause as often as they like.
type logLimiter struct {
	// linesPerSecond is how many lines each second may have, one if it is not set.
	linesPerSecond int

	mu          sync.Mutex
	windowStart time.Time
	written     int
	occurrences int
}

// allow counts one case and reports whether it may be logged, and how many came since the last one that was.
func (l *logLimiter) allow(now time.Time) (occurrences int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.occurrences++
	if now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.written = now, 0
	}
	if l.written >= max(1, l.linesPerSecond) {
		return 0, false
	}
	l.written++
	occurrences, l.occurrences = l.occurrences, 0
	return occurrences, true
}
