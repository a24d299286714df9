package dispatch

import "sync"

// RetryBudget bounds retries to a fraction of the answered requests, so that retries do not multiply an overload.
type RetryBudget struct {
	// RetriesPerRequest is the number of retries that each answered request allows.
	RetriesPerRequest float64

	mu sync.Mutex
	// available is the number of retries that are allowed now.
	available float64
}

const (
	initialRetries = 10
	maxRetries     = 100
)

// NewRetryBudget returns a budget that allows initialRetries before the first request is answered.
func NewRetryBudget(share float64) *RetryBudget {
	return &RetryBudget{RetriesPerRequest: share, available: initialRetries}
}

// AddAnswered adds the retries that one answered request allows.
func (b *RetryBudget) AddAnswered() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(maxRetries, b.available+b.RetriesPerRequest)
}

// AllowRetry reports whether a retry is allowed, and counts it.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
