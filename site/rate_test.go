package site_test

import (
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/site"
)

// A steady stream of work has the same rate from the moment on at which a rate is known.
func TestTheRateOfWorkDoesNotStartLow(t *testing.T) {
	start := time.Unix(1000, 0)
	r := &site.Rate{}
	for i := range 200 {
		now := start.Add(time.Duration(i) * 100 * time.Millisecond)
		r.Add(now, 0.5)
		got := r.At(now)
		if i < 15 && got != 0 {
			t.Fatalf("%v on: a rate of %.2f is known already", now.Sub(start), got)
		}
		if i >= 15 && (got < 4.6 || got > 5.6) {
			t.Fatalf("%v on: a rate of %.2f, want about 5", now.Sub(start), got)
		}
	}
	if got := r.At(start.Add(time.Minute)); got > 0.1 {
		t.Errorf("%.2f long after the last work", got)
	}
}
