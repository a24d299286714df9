package site_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/site"
)

// demandOf is work of so many seconds for each model, of two requests each.
func demandOf(work map[ident.Model]float64) map[ident.Model]site.ModelDemand {
	demand := map[ident.Model]site.ModelDemand{}
	for model, w := range work {
		demand[model] = site.ModelDemand{UpstreamSeconds: w, Requests: 2}
	}
	return demand
}

func isAbout(got, want float64) bool {
	return math.Abs(got-want) < 0.15*want
}

// A steady stream of work has the same rate from the moment on at which rates are known, and those of all models are known at
// the same time: the first request for one of them may come later.
func TestRatesDoNotStartLow(t *testing.T) {
	start := time.Unix(1000, 0)
	r := &site.DemandRates{}
	if got := r.At(start); got != nil {
		t.Fatalf("rates of nothing: %v", got)
	}
	for i := range 20 {
		r.Add(start.Add(time.Duration(i-100)*100*time.Millisecond), "e", nil)
	}
	for i := range 200 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		work := map[ident.Model]float64{"often": 0.5}
		if i%5 == 4 {
			work["now and then"] = 2.5
		}
		r.Add(now, "e", demandOf(work))
		got := r.At(now)
		if i < 15 && got != nil {
			t.Fatalf("%v on: rates of %v are known already", now.Sub(start), got)
		}
		if i >= 15 && (!isAbout(got["often"], 5) || got["now and then"] < 3 || got["now and then"] > 7) {
			t.Fatalf("%v on: rates of %v, want about 5 each", now.Sub(start), got)
		}
	}
	if got := r.At(start.Add(time.Minute))["often"]; got > 0.1 {
		t.Errorf("%.2f long after the last work", got)
	}
}

// After a change of leaders entries come one after the other; their rates are known once all are there, and are right then.
func TestRatesWithStaggeredEntries(t *testing.T) {
	start := time.Unix(1000, 0)
	r := &site.DemandRates{}
	known := time.Duration(0)
	for i := range 100 {
		since := time.Duration(i) * 100 * time.Millisecond
		for e := range 20 {
			if at := time.Duration(e) * 100 * time.Millisecond; since >= at {
				// What an entry could not tell before comes with its first word.
				work := 0.5
				if since == at {
					work = 5
				}
				r.Add(start.Add(since), fmt.Sprint(e), demandOf(map[ident.Model]float64{"m": work}))
			}
		}
		got := r.At(start.Add(since))
		switch {
		case got == nil:
		case known == 0:
			known = since
			fallthrough
		default:
			if !isAbout(got["m"], 100) {
				t.Fatalf("%v on: %v, want about 100", since, got)
			}
		}
	}
	if known < 2900*time.Millisecond || known > 3100*time.Millisecond {
		t.Errorf("known after %v, want a second after the last entry", known)
	}
	for e := range 10 {
		r.Forget(fmt.Sprint(e))
	}
	if got := r.At(start.Add(10 * time.Second))["m"]; !isAbout(got, 50) {
		t.Errorf("%v when half of the entries have ended, want about 50", got)
	}
}

// Where entries restart all the time rates are known all the same.
func TestRatesWithRestartingEntries(t *testing.T) {
	start := time.Unix(1000, 0)
	r := &site.DemandRates{}
	for i := range 60 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		r.Add(now, "steady", demandOf(map[ident.Model]float64{"m": 0.5}))
		r.Add(now, fmt.Sprint(i/5), nil)
		if got := r.At(now); (got == nil) != (i < 50) {
			t.Fatalf("%v on: %v", now.Sub(start), got)
		}
	}
}

// A class that comes at 1.6 times is seen within two seconds where hundreds of requests come in each; chance where few come moves
// nothing, however their sizes differ.
func TestRatesFollowBurst(t *testing.T) {
	for _, c := range []struct {
		name     string
		requests float64
		// seen is how long after its start the rate must show two thirds of the burst.
		seen time.Duration
	}{
		{"600 a second", 600, 2500 * time.Millisecond},
		{"60 a second", 60, 8 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 1))
			start := time.Unix(1000, 0)
			r := &site.DemandRates{}
			meanSeconds := 1.4 // the mean of the sizes below
			for i := range 400 {
				now := start.Add(time.Duration(i) * 100 * time.Millisecond)
				factor := 1.0
				if i >= 200 {
					factor = 1.6
				}
				demand := site.ModelDemand{}
				for demand.Requests = 0; float64(demand.Requests) < factor*c.requests/10; demand.Requests++ {
					demand.UpstreamSeconds += []float64{0.2, 0.4, 0.8, 1.6, 4}[random.IntN(5)]
				}
				r.Add(now, "e", map[ident.Model]site.ModelDemand{"m": demand})
				got := r.At(now)["m"] / (meanSeconds * c.requests)
				if i >= 60 && i < 200 && math.Abs(got-1) > 0.25 {
					t.Fatalf("%.2f of the usual rate after %v", got, now.Sub(start))
				}
				if i >= 200 && now.Sub(start)-20*time.Second >= c.seen && got < 1.4 {
					t.Fatalf("%.2f of the usual rate %v after the start of a burst", got, now.Sub(start)-20*time.Second)
				}
			}
		})
	}
}

// A look that takes long leaves the leader time for everything else before the next one.
func TestEvaluatePause(t *testing.T) {
	for took, want := range map[time.Duration]time.Duration{
		0: 10 * time.Millisecond, time.Millisecond: 10 * time.Millisecond, 8 * time.Millisecond: 24 * time.Millisecond, time.Second: 50 * time.Millisecond,
	} {
		if got := site.EvaluatePause(took); got != want {
			t.Errorf("%v after a look of %v, want %v", got, took, want)
		}
	}
}

// Entries that lose their leader at the same moment ask for the next one over a time in which it can answer them, and hear its voters.
func TestRetryJitter(t *testing.T) {
	for entries, want := range map[int]time.Duration{0: 0, 8: 0, 31: 0, 89: 44500 * time.Microsecond, 984: 492 * time.Millisecond, 2000: time.Second} {
		if got := site.JitterFor(entries); got != want {
			t.Errorf("%d entries ask over %v, want %v", entries, got, want)
		}
	}
}
