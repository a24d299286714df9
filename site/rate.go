package site

import (
	"math"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// rateHalf is the time after which work that was asked for counts half: prompts differ by ten times in size, so the
	// work of a few seconds says little.
	rateHalf = 6 * time.Second
	// rateKnown is how long work is counted until its rates are known.
	rateKnown = 1500 * time.Millisecond
)

// Rates are averages of the work a second that was asked of each model; they fade with time. All count from the first request
// on: a model whose first request comes a little later than another's is not one that nobody asks for.
type Rates struct {
	values map[ident.Model]float64
	began  time.Time
	last   time.Time
}

// Add counts work that was asked of a model at now.
func (r *Rates) Add(now time.Time, model ident.Model, work float64) {
	r.fade(now)
	r.values[model] += work * math.Ln2 / rateHalf.Seconds()
}

// At returns the rates, nothing until they are known.
func (r *Rates) At(now time.Time) map[ident.Model]float64 {
	age := now.Sub(r.began)
	if r.began.IsZero() || age < rateKnown {
		return nil
	}
	r.fade(now)
	rates := map[ident.Model]float64{}
	for model, value := range r.values {
		// What came before the count began is not known, so it is left out of the average.
		rates[model] = value / (1 - math.Exp2(-float64(age)/float64(rateHalf)))
	}
	return rates
}

func (r *Rates) fade(now time.Time) {
	if r.began.IsZero() {
		r.began, r.last = now, now
		r.values = map[ident.Model]float64{}
	}
	for model := range r.values {
		r.values[model] *= math.Exp2(-float64(now.Sub(r.last)) / float64(rateHalf))
	}
	r.last = now
}
