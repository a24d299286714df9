package site_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/site"
)

func about(got, want float64) bool {
	return math.Abs(got-want) < 0.15*want
}

// A steady stream of work has the same rate from the moment on at which rates are known, and those of all models are known at
// the same time: the first request for one of them may come later.
func TestRatesDoNotStartLow(t *testing.T) {
	start := time.Unix(1000, 0)
	r := &site.Rates{}
	if got := r.At(start); got != nil {
		t.Fatalf("rates of nothing: %v", got)
	}
	for i := range 20 {
		r.Hear(start.Add(time.Duration(i-100)*100*time.Millisecond), "e", nil)
	}
	for i := range 200 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		work := map[ident.Model]float64{"often": 0.5}
		if i%5 == 4 {
			work["now and then"] = 2.5
		}
		r.Hear(now, "e", work)
		got := r.At(now)
		if i < 15 && got != nil {
			t.Fatalf("%v on: rates of %v are known already", now.Sub(start), got)
		}
		if i >= 15 && (!about(got["often"], 5) || got["now and then"] < 3 || got["now and then"] > 7) {
			t.Fatalf("%v on: rates of %v, want about 5 each", now.Sub(start), got)
		}
	}
	if got := r.At(start.Add(time.Minute))["often"]; got > 0.1 {
		t.Errorf("%.2f long after the last work", got)
	}
}

// After a change of leaders entries come one after the other; their rates are known once all are there, and are right then.
func TestRatesOfEntriesThatComeInTurn(t *testing.T) {
	start := time.Unix(1000, 0)
	r := &site.Rates{}
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
				r.Hear(start.Add(since), fmt.Sprint(e), map[ident.Model]float64{"m": work})
			}
		}
		got := r.At(start.Add(since))
		switch {
		case got == nil:
		case known == 0:
			known = since
			fallthrough
		default:
			if !about(got["m"], 100) {
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
	if got := r.At(start.Add(10 * time.Second))["m"]; !about(got, 50) {
		t.Errorf("%v when half of the entries have ended, want about 50", got)
	}
}

// Where entries restart all the time rates are known all the same.
func TestRatesWhereEntriesRestart(t *testing.T) {
	start := time.Unix(1000, 0)
	r := &site.Rates{}
	for i := range 60 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		r.Hear(now, "steady", map[ident.Model]float64{"m": 0.5})
		r.Hear(now, fmt.Sprint(i/5), nil)
		if got := r.At(now); (got == nil) != (i < 50) {
			t.Fatalf("%v on: %v", now.Sub(start), got)
		}
	}
}
