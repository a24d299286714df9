package site_test

import (
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/site"
)

// A steady stream of work has the same rate from the moment on at which rates are known, and those of all models are known at
// the same time: the first request for one of them may come later.
func TestRatesDoNotStartLow(t *testing.T) {
	start := time.Unix(1000, 0)
	r := &site.Rates{}
	if got := r.At(start); got != nil {
		t.Fatalf("rates of nothing: %v", got)
	}
	for i := range 200 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		r.Add(now, "often", 0.5)
		if i%10 == 9 {
			r.Add(now, "now and then", 5)
		}
		got := r.At(now)
		if i < 15 && got != nil {
			t.Fatalf("%v on: rates of %v are known already", now.Sub(start), got)
		}
		if i >= 15 && (got["often"] < 4.6 || got["often"] > 5.6 || got["now and then"] < 2 || got["now and then"] > 6) {
			t.Fatalf("%v on: rates of %v, want about 5 each", now.Sub(start), got)
		}
	}
	if got := r.At(start.Add(time.Minute))["often"]; got > 0.1 {
		t.Errorf("%.2f long after the last work", got)
	}
}
