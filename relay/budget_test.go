package relay_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/relay"
)

// The retries of all entries together stay within the rule in every window, even if requests are spread unevenly, and while entries are added
// and removed and the others learn of this up to 3 s later.
func TestRetriesOfAllEntries(t *testing.T) {
	rule := relay.RetryBudgetRule{Ratio: 0.2, Window: 10 * time.Second, Allowance: 50}
	for _, entries := range []int{1, 8, 100, 300} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(entries), 1))
			now := time.Unix(1000, 0)
			var budgets []*relay.RetryBudget
			add := func(knownEntries int) {
				b := relay.NewRetryBudget(rule)
				b.Now = func() time.Time { return now }
				b.SetEntries(knownEntries)
				budgets = append(budgets, b)
			}
			for range entries {
				add(entries)
			}
			var requests, retries []int
			for second := range 60 {
				requestCount, retryCount := 0, 0
				for i, b := range budgets {
					newRequests := random.IntN(2 + 400/(1+i%40))
					for range newRequests {
						b.CountRequest("s")
						requestCount++
						for b.AllowRetry("s") && random.IntN(3) > 0 {
							retryCount++
						}
					}
				}
				requests, retries = append(requests, requestCount), append(retries, retryCount)
				now = now.Add(time.Second)
				if second%10 == 4 && len(budgets) > 1 {
					budgets = budgets[1:]
				}
				if second%10 == 7 {
					knownEntries := len(budgets)
					for _, b := range budgets {
						b.SetEntries(knownEntries)
					}
					add(knownEntries + 1)
				}
			}
			for from := range requests {
				requestCount, retryCount := 0, 0
				for i := from; i < min(from+10, len(requests)); i++ {
					requestCount += requests[i]
					retryCount += retries[i]
				}
				if allowed := rule.Ratio*float64(requestCount) + rule.Allowance; float64(retryCount) > allowed {
					t.Errorf("%d retries in the window from %d s, %d requests allow %.0f", retryCount, from, requestCount, allowed)
				}
			}
		})
	}
}

// Guards against windows that end up to a second early: retries that were made 9 to 10 s ago still count.
func TestRetriesInUnalignedWindows(t *testing.T) {
	rule := relay.RetryBudgetRule{Ratio: 0.2, Window: 10 * time.Second, Allowance: 20}
	const step = 10 * time.Millisecond
	for firstAt := time.Duration(0); firstAt < time.Second; firstAt += 70 * time.Millisecond {
		now := time.Unix(1000, 0)
		startedAt := now
		b := relay.NewRetryBudget(rule)
		b.Now = func() time.Time { return now }
		b.CountRequest("s")
		var retries []time.Duration
		for ; now.Sub(startedAt) < 25*time.Second; now = now.Add(step) {
			for now.Sub(startedAt) >= firstAt && b.AllowRetry("s") {
				retries = append(retries, now.Sub(startedAt))
			}
		}
		for i, from := range retries {
			inWindow := 0
			for _, at := range retries[i:] {
				if at < from+rule.Window {
					inWindow++
				}
			}
			if float64(inWindow) > rule.Ratio+rule.Allowance {
				t.Fatalf("first retries at %v: %d retries in the window from %v, want at most 20", firstAt, inWindow, from)
			}
		}
	}
}

// Guards against entries that divide the allowance of a window by fewer entries than used it.
func TestRetriesWhenEntriesLeave(t *testing.T) {
	rule := relay.RetryBudgetRule{Window: 10 * time.Second, Allowance: 100}
	const entries = 10
	for remaining := 1; remaining < entries; remaining++ {
		now := time.Unix(1000, 0)
		var budgets []*relay.RetryBudget
		for range entries {
			b := relay.NewRetryBudget(rule)
			b.Now = func() time.Time { return now }
			b.SetEntries(entries)
			budgets = append(budgets, b)
		}
		retries := 0
		useAll := func() {
			for _, b := range budgets {
				for b.AllowRetry("s") {
					retries++
				}
			}
		}
		useAll()
		now = now.Add(4 * time.Second)
		budgets = budgets[:remaining]
		for _, b := range budgets {
			b.SetEntries(remaining)
		}
		useAll()
		if float64(retries) > rule.Allowance {
			t.Errorf("%d retries after %d of %d entries have left, want at most %.0f", retries, entries-remaining, entries, rule.Allowance)
		}
		now = now.Add(12 * time.Second)
		retries = 0
		useAll()
		if float64(retries) < 0.8*rule.Allowance {
			t.Errorf("%d retries of the %d remaining entries in the next window, want at least %.0f", retries, remaining, 0.8*rule.Allowance)
		}
	}
}

// Guards against an entry that takes the whole allowance because it does not know yet how many entries there are.
func TestRetriesWhileEntriesAreUnknown(t *testing.T) {
	b := relay.NewRetryBudget(relay.RetryBudgetRule{Ratio: 0.2, Window: 10 * time.Second, Allowance: 100})
	b.SetEntries(0)
	for range 100 {
		b.CountRequest("s")
	}
	retries := 0
	for b.AllowRetry("s") {
		retries++
	}
	if retries > 20 {
		t.Errorf("%d retries for 100 requests, want at most a fifth", retries)
	}
}
