package relay

// Retries are bounded over all entries together. Each entry may use its local
// share: a ratio of the requests that it received itself, and an equal part of the
// fixed allowance. Counts are kept in short intervals, so the window slides. A
// process that has just started does not know these counts of its former process,
// and uses less.

import (
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/ident"
)

// RetryBudgetRule bounds the retries of one service within each window: Ratio of its requests plus Allowance.
type RetryBudgetRule struct {
	Ratio  float64
	Window time.Duration
	// Allowance is the number of retries beyond the ratio, over all entries.
	Allowance float64
}

// usableFraction is the fraction of the rule that entries use, since the number of entries changes and their windows are not aligned.
const usableFraction = 0.85

const (
	// intervalsPerWindow is the number of intervals of a window in which requests and retries are counted.
	intervalsPerWindow = 40
	// retryIntervals is the number of intervals over which retries count. The oldest interval has partly passed, and a retry arrives at an
	// upstream later than it was allowed.
	retryIntervals = intervalsPerWindow + 2
)

// intervalCounts are the counts of one interval.
type intervalCounts struct {
	index    int64
	requests float64
	retries  float64
}

// RetryBudget counts requests and retries of each service; exported fields are set before use.
type RetryBudget struct {
	Rule RetryBudgetRule
	Now  func() time.Time
	// StartedAt is when this process started. Retries of its former process within the last window are not known. It is zero if there
	// was no former process.
	StartedAt time.Time

	mu    sync.Mutex
	start time.Time
	// entryCounts are the numbers of entries that were known within the window, each smaller than the one before. A number that a later
	// one reaches is dropped.
	entryCounts []entryCount
	// newEntryFraction is the fraction of the entries that started within the window, 0 if it is not known.
	newEntryFraction float64
	intervals        map[ident.Service][]intervalCounts
}

// NewRetryBudget returns an empty budget for one entry.
func NewRetryBudget(rule RetryBudgetRule) *RetryBudget {
	return &RetryBudget{Rule: rule, Now: clock.Now, entryCounts: []entryCount{{n: 1}}, intervals: map[ident.Service][]intervalCounts{}}
}

// entryCount is a number of entries and when it became known.
type entryCount struct {
	n     int
	since time.Time
}

// SetEntries sets how many entries share the rule. A smaller number than before applies after a window, since the entries that have left
// may have used their parts in this one. If n is 0, the number is not known, and entries have no part of the allowance.
func (b *RetryBudget) SetEntries(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n <= 0 {
		b.entryCounts = nil
		return
	}
	kept := b.entryCounts
	for len(kept) > 0 && kept[len(kept)-1].n < n {
		kept = kept[:len(kept)-1]
	}
	if len(kept) == 0 || kept[len(kept)-1].n > n {
		kept = append(kept, entryCount{n, b.Now()})
	}
	b.entryCounts = kept
}

// largestEntryCount returns the largest number of entries within the window, 0 if none is known; the mutex is held.
func (b *RetryBudget) largestEntryCount(now time.Time) int {
	for len(b.entryCounts) > 1 && now.Sub(b.entryCounts[1].since) >= b.retention() {
		b.entryCounts = b.entryCounts[1:]
	}
	if len(b.entryCounts) == 0 {
		return 0
	}
	return b.entryCounts[0].n
}

// SetNewEntryFraction sets the fraction of the entries that started within the window, 0 if it is not known.
func (b *RetryBudget) SetNewEntryFraction(fraction float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.newEntryFraction = fraction
}

// Entries returns how many entries share the rule, 1 if that is not known.
func (b *RetryBudget) Entries() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.entryCounts) == 0 {
		return 1
	}
	return b.entryCounts[len(b.entryCounts)-1].n
}

// CountRequest counts a request for a service.
func (b *RetryBudget) CountRequest(service ident.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentInterval(service).requests++
}

// RetryDecision is a decision on a retry with the state of the budget that led to it.
type RetryDecision struct {
	Allowed bool `json:"allowed"`
	// Requests and Retries are those of this entry within the window, without the retry in question; Limit bounds the retries.
	Requests float64 `json:"requests"`
	Retries  float64 `json:"retries"`
	Limit    float64 `json:"limit"`
	// Entries is the largest number of entries that shared the rule within the window, as far as this entry knows, 0 if it knows none.
	Entries int `json:"entries"`
	// New is set in the first window of this process, in which it has no part of the allowance.
	New bool `json:"new,omitempty"`
}

// AllowRetry reports whether the budget allows one more retry, and counts the retry if so.
func (b *RetryBudget) AllowRetry(service ident.Service) bool {
	return b.Decide(service).Allowed
}

// Decide is AllowRetry with the state of the budget that led to the decision.
func (b *RetryBudget) Decide(service ident.Service) RetryDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.currentInterval(service)
	now := b.Now()
	d := RetryDecision{Entries: b.largestEntryCount(now)}
	for _, c := range b.intervals[service] {
		if c.index > current.index-intervalsPerWindow {
			d.Requests += c.requests
		}
		d.Retries += c.retries
	}
	d.New = b.isNew(now)
	if d.New {
		d.Limit = b.usableByNewEntry() * b.Rule.Ratio * d.Requests
	} else {
		d.Limit = usableFraction * (b.Rule.Ratio*d.Requests + b.allowanceOfEntry(d.Entries))
	}
	d.Allowed = d.Retries+1 <= d.Limit
	if d.Allowed {
		current.retries++
	}
	return d
}

// IsNew reports whether this process is in its first window, in which it has no part of the allowance.
func (b *RetryBudget) IsNew() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isNew(b.Now())
}

func (b *RetryBudget) isNew(now time.Time) bool {
	return !b.StartedAt.IsZero() && now.Sub(b.StartedAt) < b.retention()
}

// allowanceOfEntry is an entry's part of the allowance.
func (b *RetryBudget) allowanceOfEntry(entries int) float64 {
	if entries <= 0 {
		return 0
	}
	return b.Rule.Allowance / float64(entries)
}

// usableByNewEntry is the fraction of the ratio that an entry uses in its first window. Its former process may have used its whole part of
// the rule just before, so all new entries together use what the former processes left.
func (b *RetryBudget) usableByNewEntry() float64 {
	fraction := b.newEntryFraction
	if fraction <= 0 {
		fraction = 1
	}
	return min(usableFraction, (1-usableFraction)/fraction)
}

func (b *RetryBudget) intervalLength() time.Duration {
	return max(1, b.Rule.Window/intervalsPerWindow)
}

// retention is how long a retry counts.
func (b *RetryBudget) retention() time.Duration {
	return retryIntervals * b.intervalLength()
}

// currentInterval returns the counts of the current interval of a service and drops those that no longer count.
func (b *RetryBudget) currentInterval(service ident.Service) *intervalCounts {
	// Differences of Now follow the monotonic clock, unlike the time of day.
	now := b.Now()
	if b.start.IsZero() {
		b.start = now
	}
	index := int64(now.Sub(b.start) / b.intervalLength())
	list := b.intervals[service]
	for len(list) > 0 && list[0].index <= index-retryIntervals {
		list = list[1:]
	}
	if len(list) == 0 || list[len(list)-1].index != index {
		list = append(list, intervalCounts{index: index})
	}
	b.intervals[service] = list
	return &list[len(list)-1]
}
