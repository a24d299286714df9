package overload

import "time"

const (
	// maxPeriodGap is the time without a sign of excess after which it is over: some passes of an engine with all slots taken.
	maxPeriodGap = 500 * time.Millisecond
	// maxRetryAfter bounds the time after which a caller is told to come back: callers do not wait longer than a third of the
	// time that they have left.
	maxRetryAfter = 2500 * time.Millisecond
)

// Period is how long more has been asked for than there is room for.
type Period struct {
	startedAt    time.Time
	lastExtended time.Time
}

// Extend takes a sign of excess and returns how long it has lasted.
func (e *Period) Extend(now time.Time) time.Duration {
	if now.Sub(e.lastExtended) > maxPeriodGap {
		e.startedAt = now
	}
	e.lastExtended = now
	return now.Sub(e.startedAt)
}

// Reset forgets the excess.
func (e *Period) Reset() {
	*e = Period{}
}

// RetryAfter returns when a caller that is refused for want of room shall come back: how long the excess will last is not known, so
// it is taken to last as long again as it has lasted already.
func (e *Period) RetryAfter(now time.Time) time.Duration {
	return min(maxRetryAfter, e.Extend(now))
}
