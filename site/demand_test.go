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

// demandOf is a demand of so many upstream-seconds for each model, in two requests each.
func demandOf(secondsByModel map[ident.Model]float64) map[ident.Model]site.ModelDemand {
	demand := map[ident.Model]site.ModelDemand{}
	for model, seconds := range secondsByModel {
		demand[model] = site.ModelDemand{UpstreamSeconds: seconds, Requests: 2}
	}
	return demand
}

func isAbout(got, want float64) bool {
	return math.Abs(got-want) < 0.15*want
}

// Steady demand has the same rate from the moment on at which rates are known, and the rates of all models are known at
// the same time, although the first request for one of them may arrive later.
func TestRatesOfSteadyDemand(t *testing.T) {
	start := time.Unix(1000, 0)
	r := &site.DemandRates{}
	if got := r.At(start); got != nil {
		t.Fatalf("rates without demand: %v", got)
	}
	for i := range 20 {
		r.Add(start.Add(time.Duration(i-100)*100*time.Millisecond), "e", nil)
	}
	for i := range 200 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		seconds := map[ident.Model]float64{"often": 0.5}
		if i%5 == 4 {
			seconds["now and then"] = 2.5
		}
		r.Add(now, "e", demandOf(seconds))
		got := r.At(now)
		if i < 15 && got != nil {
			t.Fatalf("after %v: rates of %v are known already", now.Sub(start), got)
		}
		if i >= 15 && (!isAbout(got["often"], 5) || got["now and then"] < 3 || got["now and then"] > 7) {
			t.Fatalf("after %v: rates of %v, want about 5 each", now.Sub(start), got)
		}
	}
	if got := r.At(start.Add(time.Minute))["often"]; got > 0.1 {
		t.Errorf("%.2f long after the last demand", got)
	}
}

// After a change of leaders entries call one after the other; their rates are known once all have called, and are right
// then.
func TestRatesWithStaggeredEntries(t *testing.T) {
	start := time.Unix(1000, 0)
	r := &site.DemandRates{}
	known := time.Duration(0)
	for i := range 100 {
		since := time.Duration(i) * 100 * time.Millisecond
		for e := range 20 {
			if at := time.Duration(e) * 100 * time.Millisecond; since >= at {
				// The first call reports the demand since the entry's last call to the former leader.
				seconds := 0.5
				if since == at {
					seconds = 5
				}
				r.Add(start.Add(since), fmt.Sprint(e), demandOf(map[ident.Model]float64{"m": seconds}))
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
				t.Fatalf("after %v: %v, want about 100", since, got)
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
		t.Errorf("%v when half of the entries have stopped, want about 50", got)
	}
}

// Where entries restart all the time, rates are known at ratesKnownAtLatest.
func TestRatesWithRestartingEntries(t *testing.T) {
	start := time.Unix(1000, 0)
	r := &site.DemandRates{}
	for i := range 60 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		r.Add(now, "steady", demandOf(map[ident.Model]float64{"m": 0.5}))
		r.Add(now, fmt.Sprint(i/5), nil)
		if got := r.At(now); (got == nil) != (i < 50) {
			t.Fatalf("after %v: %v", now.Sub(start), got)
		}
	}
}

// A rise to 1.6 times the demand shows within two seconds at hundreds of requests a second. At few requests, chance
// does not move the rate, although their sizes differ much.
func TestRatesFollowBurst(t *testing.T) {
	for _, c := range []struct {
		name     string
		requests float64
		// visibleWithin is how long after its start two thirds of the burst must show in the rate.
		visibleWithin time.Duration
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
					t.Fatalf("%.2f of the mean rate after %v", got, now.Sub(start))
				}
				if i >= 200 && now.Sub(start)-20*time.Second >= c.visibleWithin && got < 1.4 {
					t.Fatalf("%.2f of the mean rate %v after the start of a burst", got, now.Sub(start)-20*time.Second)
				}
			}
		})
	}
}

// After a long evaluation the leader leaves time for everything else before the next one.
func TestEvaluatePause(t *testing.T) {
	for took, want := range map[time.Duration]time.Duration{
		0: 10 * time.Millisecond, time.Millisecond: 10 * time.Millisecond, 8 * time.Millisecond: 24 * time.Millisecond, time.Second: 50 * time.Millisecond,
	} {
		if got := site.EvaluatePause(took); got != want {
			t.Errorf("%v after an evaluation of %v, want %v", got, took, want)
		}
	}
}

// Entries that lose their leader at the same moment spread their next calls, so that the next leader can answer them
// and stay in contact with its voters.
func TestRetryJitter(t *testing.T) {
	for entries, want := range map[int]time.Duration{0: 0, 8: 0, 31: 0, 89: 44500 * time.Microsecond, 984: 492 * time.Millisecond, 2000: time.Second} {
		if got := site.JitterFor(entries); got != want {
			t.Errorf("%d entries call over %v, want %v", entries, got, want)
		}
	}
}
