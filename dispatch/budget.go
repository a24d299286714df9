package dispatch

import "sync"

// Budget lets retries be at most a share of recent requests, so that retries cannot multiply an overload.
type Budget struct {
	// Share is the number of retries for each request that was answered.
	Share float64

	mu    sync.Mutex
	available float64
}

const (
	initialRetries = 10
	maxRetries = 100
)

// NewBudget returns a budget that allows a few retries at once.
func NewBudget(share float64) *Budget {
	return &Budget{Share: share, available: initialRetries}
}

// Earn adds what one answered request pays in.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(maxRetries, b.available+b.Share)
}

// Spend reports whether one retry is allowed, and takes it.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
