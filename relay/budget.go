package relay

// Repeats are bounded over all entries together. Each entry may use its own
// part: a share of the requests that it took itself, and an equal part of the
// fixed allowance. Counts are kept by second, so the window slides.

import (
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/ident"
)

// BudgetRule bounds the repeats of one service within each window.
type BudgetRule struct {
	Ratio  float64
	Window time.Duration
	// Allowance is the number of repeats beyond the ratio, over all entries.
	Allowance float64
}

// budgetUse is the part of the rule that is used: entries come and go, and clocks of windows differ.
const budgetUse = 0.85

type second struct {
	at       int64
	requests float64
	repeats  float64
}

// Budget counts requests and repeats of each service; exported fields are set before use.
type Budget struct {
	Rule BudgetRule
	Now  func() time.Time

	mu       sync.Mutex
	start    time.Time
	entries  int
	services map[ident.Service][]second
}

// NewBudget returns an empty budget for one entry.
func NewBudget(rule BudgetRule) *Budget {
	return &Budget{Rule: rule, Now: clock.Now, entries: 1, services: map[ident.Service][]second{}}
}

// SetEntries tells how many entries share the rule.
func (b *Budget) SetEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.entries = max(1, n)
}

// Entries returns how many entries share the rule.
func (b *Budget) Entries() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entries
}

// Request counts a request for a service.
func (b *Budget) Request(service ident.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(service).requests++
}

// Repeat reports whether a request may be sent once more, and counts that.
func (b *Budget) Repeat(service ident.Service) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := b.slot(service)
	requests, repeats := 0.0, 0.0
	for _, s := range b.services[service] {
		requests += s.requests
		repeats += s.repeats
	}
	allowed := budgetUse * (b.Rule.Ratio*requests + b.Rule.Allowance/float64(b.entries))
	if repeats+1 > allowed {
		return false
	}
	slot.repeats++
	return true
}

// slot returns the present second of a service and forgets those outside the window.
func (b *Budget) slot(service ident.Service) *second {
	// Differences of Now follow the steady clock, which the time of day does not.
	now := b.Now()
	if b.start.IsZero() {
		b.start = now
	}
	at := int64(now.Sub(b.start) / time.Second)
	list := b.services[service]
	oldest := at - int64(b.Rule.Window/time.Second)
	for len(list) > 0 && list[0].at <= oldest {
		list = list[1:]
	}
	if len(list) == 0 || list[len(list)-1].at != at {
		list = append(list, second{at: at})
	}
	b.services[service] = list
	return &list[len(list)-1]
}
