package ratelimit_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dunlinquay/dunlinquay/ratelimit"
)

// Uses the same rapid seed in each run unless -rapid.seed sets another, so that runs are repeatable.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261203")
	}
	os.Exit(m.Run())
}

func newPacer(seed uint64, initialElapsed float64) *ratelimit.Pacer[string] {
	return ratelimit.NewPacer[string](func() float64 { return initialElapsed }, rand.New(rand.NewPCG(seed, 1)).Float64)
}

// maxExcess returns the largest excess over the rate, in requests, of any span of the sent times.
func maxExcess(sent []time.Time, rate ratelimit.Rate) float64 {
	excess, minBalance := 0.0, 0.0
	for i, at := range sent {
		balance := float64(i) - float64(rate)*at.Sub(sent[0]).Seconds()
		minBalance = min(minBalance, balance)
		excess = max(excess, balance-minBalance+1)
	}
	return excess
}

// Whatever the order of requests, grants stay within the rate in every span, and a refusal names a retry time.
func TestPacerNeverExceedsTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := ratelimit.Rate(rapid.Float64Range(0.02, 500).Draw(t, "rate"))
		requesters := rapid.IntRange(1, 40).Draw(t, "requesters")
		pacer := newPacer(rapid.Uint64().Draw(t, "seed"), 0)
		now := start
		var sent []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400_000).Draw(t, "gap")) * time.Microsecond)
			got := pacer.Reserve(now, "u", rate, fmt.Sprint(rapid.IntRange(1, requesters).Draw(t, "requester")),
				time.Duration(rapid.IntRange(0, 3000).Draw(t, "max wait"))*time.Millisecond)
			if got.After < 0 || !got.OK && got.After == 0 {
				t.Fatalf("grant %+v is neither granted nor has a retry time", got)
			}
			if got.OK {
				sent = append(sent, now.Add(got.After))
			}
		}
		for i := 1; i < len(sent); i++ {
			if sent[i].Before(sent[i-1]) {
				t.Fatalf("grants are out of order")
			}
		}
		if excess := maxExcess(sent, rate); excess > 1.000001 {
			t.Fatalf("%.3f requests over the limit", excess)
		}
	})
}

// Unused capacity is not saved up, neither before the first request nor while there are none.
func TestPacerAllowsNoBursts(t *testing.T) {
	pacer := newPacer(1, 0)
	if got := pacer.Reserve(at(0), "u", 2, "a", ratelimit.MaxWaitWithAlternatives); got.OK || got.After != 480*time.Millisecond {
		t.Errorf("first request: %+v", got)
	}
	if got := pacer.Reserve(at(480), "u", 2, "a", ratelimit.MaxWaitWithAlternatives); !got.OK || got.After != 20*time.Millisecond {
		t.Errorf("request shortly before its permit: %+v", got)
	}
	for n, want := range []bool{true, false, false} {
		if got := pacer.Reserve(at(60_000), "u", 2, "a", ratelimit.MaxWaitWithAlternatives); got.OK != want {
			t.Errorf("request %d after a minute: %+v", n, got)
		}
	}
}

// Only the current limit counts: a higher limit ignores the longer interval before, a lower one the shorter interval.
func TestPacerAppliesLimitChanges(t *testing.T) {
	pacer := newPacer(1, 0)
	pacer.Reserve(at(0), "u", 0.1, "a", ratelimit.MaxWaitWithAlternatives)
	if got := pacer.Reserve(at(100), "u", 50, "a", ratelimit.MaxWaitWithAlternatives); !got.OK {
		t.Errorf("after a higher limit: %+v", got)
	}
	if got := pacer.Reserve(at(200), "u", 0.5, "a", ratelimit.MaxWaitWithAlternatives); got.OK || got.After != 1880*time.Millisecond {
		t.Errorf("after a lower limit: %+v", got)
	}
}

// Many requesters that each retry when told to use nearly all of the limit, share it fairly and do not overload the
// coordinator with permit requests.
func TestPacerUsesTheLimitAndIsFair(t *testing.T) {
	for _, requesters := range []int{1, 8, 100, 300} {
		for _, rate := range []ratelimit.Rate{0.5, 2, 50} {
			t.Run(fmt.Sprintf("%d requesters, %v per second", requesters, rate), func(t *testing.T) {
				pacer := newPacer(2, 0)
				// due holds the requesters by the millisecond of their next request.
				due := map[int][]int{0: rand.New(rand.NewPCG(1, 1)).Perm(requesters)}
				grants := make([]int, requesters)
				var sent []time.Time
				requests := 0
				span := max(30, time.Duration(2*requesters)/time.Duration(max(1, int(rate)))) * time.Second
				random := rand.New(rand.NewPCG(1, 1))
				for ms := range int(span / time.Millisecond) {
					asking := due[ms]
					delete(due, ms)
					random.Shuffle(len(asking), func(i, j int) { asking[i], asking[j] = asking[j], asking[i] })
					for _, i := range asking {
						grant := pacer.Reserve(at(ms), "u", rate, fmt.Sprint(i), ratelimit.MaxWaitWithAlternatives)
						requests++
						next := ms + 1 + int(grant.After/time.Millisecond)
						due[next] = append(due[next], i)
						if grant.OK {
							sent = append(sent, at(ms).Add(grant.After))
							grants[i]++
						}
					}
				}
				if excess := maxExcess(sent, rate); excess > 1.000001 {
					t.Errorf("%.2f requests over the limit", excess)
				}
				if used := float64(len(sent)) / (float64(rate) * span.Seconds()); used < 0.9 {
					t.Errorf("fraction %.2f of the limit is used", used)
				}
				if perSecond := float64(requests) / span.Seconds(); perSecond > 500 {
					t.Errorf("%.0f permit requests per second", perSecond)
				}
				fewest := len(sent)
				for _, n := range grants {
					fewest = min(fewest, n)
				}
				if mean := len(sent) / requesters; mean > 20 && fewest < mean/4 {
					t.Errorf("a requester got %d permits, the mean is %d", fewest, mean)
				}
			})
		}
	}
}
