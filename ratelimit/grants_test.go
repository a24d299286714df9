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

// The same draws in each run, so that a run says the same as the one before; -rapid.seed draws others.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261203")
	}
	os.Exit(m.Run())
}

func newGrants(seed uint64, over float64) *ratelimit.Pacer[string] {
	return ratelimit.NewPacer[string](func() float64 { return over }, rand.New(rand.NewPCG(seed, 1)).Float64)
}

// beyond returns by how many requests a list of moments is beyond the rate in the span where it is furthest beyond it.
func beyond(list []time.Time, rate ratelimit.Rate) float64 {
	most, lowest := 0.0, 0.0
	for i, at := range list {
		over := float64(i) - float64(rate)*at.Sub(list[0]).Seconds()
		lowest = min(lowest, over)
		most = max(most, over-lowest+1)
	}
	return most
}

// However many ask in whatever order, what is granted keeps the limit in every span of time, and what is refused is told to come
// back when there is something to be had.
func TestGrantsKeepTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := ratelimit.Rate(rapid.Float64Range(0.02, 500).Draw(t, "rate"))
		askers := rapid.IntRange(1, 40).Draw(t, "askers")
		g := newGrants(rapid.Uint64().Draw(t, "seed"), 0)
		now := start
		var sent []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400_000).Draw(t, "pause")) * time.Microsecond)
			got := g.Reserve(now, "u", rate, fmt.Sprint(rapid.IntRange(1, askers).Draw(t, "who")),
				time.Duration(rapid.IntRange(0, 3000).Draw(t, "patience"))*time.Millisecond)
			if got.After < 0 || !got.OK && got.After == 0 {
				t.Fatalf("%+v", got)
			}
			if got.OK {
				sent = append(sent, now.Add(got.After))
			}
		}
		for i := 1; i < len(sent); i++ {
			if sent[i].Before(sent[i-1]) {
				t.Fatalf("granted out of order")
			}
		}
		if over := beyond(sent, rate); over > 1.000001 {
			t.Fatalf("%.3f beyond the limit", over)
		}
	})
}

// Nothing is saved up: not before the first request, and not while nobody asks.
func TestNothingIsSavedUp(t *testing.T) {
	g := newGrants(1, 0)
	if got := g.Reserve(at(0), "u", 2, "a", ratelimit.MaxWaitWithAlternatives); got.OK || got.After != 480*time.Millisecond {
		t.Errorf("at the start %+v", got)
	}
	if got := g.Reserve(at(480), "u", 2, "a", ratelimit.MaxWaitWithAlternatives); !got.OK || got.After != 20*time.Millisecond {
		t.Errorf("before its turn %+v", got)
	}
	for n, want := range []bool{true, false, false} {
		if got := g.Reserve(at(60_000), "u", 2, "a", ratelimit.MaxWaitWithAlternatives); got.OK != want {
			t.Errorf("ask %d after a minute: %+v", n, got)
		}
	}
}

// The limit of the moment counts: a higher one does not wait for the turn of the lower one, nor a lower one use that of the higher.
func TestTheLimitChanges(t *testing.T) {
	g := newGrants(1, 0)
	g.Reserve(at(0), "u", 0.1, "a", ratelimit.MaxWaitWithAlternatives)
	if got := g.Reserve(at(100), "u", 50, "a", ratelimit.MaxWaitWithAlternatives); !got.OK {
		t.Errorf("a higher limit: %+v", got)
	}
	if got := g.Reserve(at(200), "u", 0.5, "a", ratelimit.MaxWaitWithAlternatives); got.OK || got.After != 1880*time.Millisecond {
		t.Errorf("a lower limit: %+v", got)
	}
}

// With as many askers as there are, each of which asks again when it is told, nearly all of the limit is used, nobody is left out, and
// the coordinator is not overrun.
func TestTheLimitIsUsed(t *testing.T) {
	for _, askers := range []int{1, 8, 100, 300} {
		for _, rate := range []ratelimit.Rate{0.5, 2, 50} {
			t.Run(fmt.Sprintf("%d askers, %v a second", askers, rate), func(t *testing.T) {
				g := newGrants(2, 0)
				// due are the askers by the ms in which they ask.
				due := map[int][]int{0: rand.New(rand.NewPCG(1, 1)).Perm(askers)}
				got := make([]int, askers)
				var sent []time.Time
				asks := 0
				span := max(30, time.Duration(2*askers)/time.Duration(max(1, int(rate)))) * time.Second
				random := rand.New(rand.NewPCG(1, 1))
				for ms := range int(span / time.Millisecond) {
					list := due[ms]
					delete(due, ms)
					random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
					for _, i := range list {
						a := g.Reserve(at(ms), "u", rate, fmt.Sprint(i), ratelimit.MaxWaitWithAlternatives)
						asks++
						next := ms + 1 + int(a.After/time.Millisecond)
						due[next] = append(due[next], i)
						if a.OK {
							sent = append(sent, at(ms).Add(a.After))
							got[i]++
						}
					}
				}
				if over := beyond(sent, rate); over > 1.000001 {
					t.Errorf("%.2f beyond the limit", over)
				}
				if used := float64(len(sent)) / (float64(rate) * span.Seconds()); used < 0.9 {
					t.Errorf("%.2f of the limit is used", used)
				}
				if perSecond := float64(asks) / span.Seconds(); perSecond > 500 {
					t.Errorf("%.0f questions a second", perSecond)
				}
				least := len(sent)
				for _, n := range got {
					least = min(least, n)
				}
				if mean := len(sent) / askers; mean > 20 && least < mean/4 {
					t.Errorf("one has %d where the mean is %d", least, mean)
				}
			})
		}
	}
}
