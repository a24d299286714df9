package site

import (
	"math"
	"time"
)

const (
	// rateHalf is the time after which work that was asked for counts half: prompts differ by ten times in size, so the
	// work of a few seconds says little.
	rateHalf = 6 * time.Second
	// rateKnown is how long work is counted until its rate is known.
	rateKnown = 1500 * time.Millisecond
)

// Rate is an average of work a second that fades with time.
type Rate struct {
	value float64
	began time.Time
	last  time.Time
}

// Add counts work that was asked for at now.
func (r *Rate) Add(now time.Time, work float64) {
	r.fade(now)
	r.value += work * math.Ln2 / rateHalf.Seconds()
}

// At returns the rate, 0 until it is known.
func (r *Rate) At(now time.Time) float64 {
	r.fade(now)
	age := now.Sub(r.began)
	if age < rateKnown {
		return 0
	}
	// What came before the count began is not known, so it is left out of the average.
	return r.value / (1 - math.Exp2(-float64(age)/float64(rateHalf)))
}

func (r *Rate) fade(now time.Time) {
	if r.began.IsZero() {
		r.began, r.last = now, now
	}
	r.value *= math.Exp2(-float64(now.Sub(r.last)) / float64(rateHalf))
	r.last = now
}
