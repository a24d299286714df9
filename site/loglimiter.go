package site

import (
	"sync"
	"time"
)

// logLimiter bounds the rate of log lines on events that other parties can cause at any rate.
type logLimiter struct {
	// linesPerSecond is the bound, one if it is not set.
	linesPerSecond int

	mu          sync.Mutex
	windowStart time.Time
	written     int
	occurrences int
}

// allow counts one event and reports whether to log it, and how many events there were since the last logged one.
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
