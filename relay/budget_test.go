package relay_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/relay"
)

// The repeats of all entries together stay within the rule in every window, however unevenly requests come, while entries come and go and the
// others hear of it up to three seconds later.
func TestRepeatsOfAllEntriesTogether(t *testing.T) {
	rule := relay.RetryBudgetRule{Ratio: 0.2, Window: 10 * time.Second, Allowance: 50}
	for _, entries := range []int{1, 8, 100, 300} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) {
			random := rand.New(rand.NewPCG(uint64(entries), 1))
			now := time.Unix(1000, 0)
			var list []*relay.RetryBudget
			add := func(known int) {
				b := relay.NewRetryBudget(rule)
				b.Now = func() time.Time { return now }
				b.SetEntries(known)
				list = append(list, b)
			}
			for range entries {
				add(entries)
			}
			var requests, repeats []int
			for second := range 60 {
				came, again := 0, 0
				for i, b := range list {
					wanted := random.IntN(2 + 400/(1+i%40))
					for range wanted {
						b.CountRequest("s")
						came++
						for b.AllowRetry("s") && random.IntN(3) > 0 {
							again++
						}
					}
				}
				requests, repeats = append(requests, came), append(repeats, again)
				now = now.Add(time.Second)
				if second%10 == 4 && len(list) > 1 {
					list = list[1:]
				}
				if second%10 == 7 {
					known := len(list)
					for _, b := range list {
						b.SetEntries(known)
					}
					add(known + 1)
				}
			}
			for from := range requests {
				came, again := 0, 0
				for i := from; i < min(from+10, len(requests)); i++ {
					came += requests[i]
					again += repeats[i]
				}
				if most := rule.Ratio*float64(came) + rule.Allowance; float64(again) > most {
					t.Errorf("%d repeats in the window from %d s, %d requests allow %.0f", again, from, came, most)
				}
			}
		})
	}
}
