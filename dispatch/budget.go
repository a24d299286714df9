package dispatch

import "sync"

// Budget bounds retries to a fraction of the answered requests, so that retries do not multiply an overload.
type Budget struct {
	// Share is the number of retries that each answered request allows.
	Share float64

	mu sync.Mutex
	// available is the number of retries that are allowed now.
	available float64
}

const (
	initialRetries = 10
	maxRetries     = 100
)

// NewBudget returns a budget that allows initialRetries before the first request is answered.
func NewBudget(share float64) *Budget {
	return &Budget{Share: share, available: initialRetries}
}

// Earn adds the retries that one answered request allows.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(maxRetries, b.available+b.Share)
}

// Spend reports whether a retry is allowed, and counts it.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
