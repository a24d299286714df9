package overload

import "time"

const (
	// maxPeriodGap is how long after the last Extend a period is over: several iterations of an engine with all slots in use.
	maxPeriodGap = 500 * time.Millisecond
	// maxRetryAfter bounds the Retry-After value: callers wait for at most a third of their remaining time.
	maxRetryAfter = 2500 * time.Millisecond
)

// Period is a span of time in which capacity is exceeded.
type Period struct {
	startedAt    time.Time
	lastExtended time.Time
}

// Extend notes that capacity is exceeded now, and returns how long the period has lasted.
func (e *Period) Extend(now time.Time) time.Duration {
	if now.Sub(e.lastExtended) > maxPeriodGap {
		e.startedAt = now
	}
	e.lastExtended = now
	return now.Sub(e.startedAt)
}

// lasted returns how long the period has lasted, 0 if it is over.
func (e *Period) lasted(now time.Time) time.Duration {
	if e.startedAt.IsZero() || now.Sub(e.lastExtended) > maxPeriodGap {
		return 0
	}
	return now.Sub(e.startedAt)
}

// Reset ends the period.
func (e *Period) Reset() {
	*e = Period{}
}

// RetryAfter extends the period and returns the time after which a refused caller should retry: as long as the period has lasted,
// since its end is not known.
func (e *Period) RetryAfter(now time.Time) time.Duration {
	return min(maxRetryAfter, e.Extend(now))
}
