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
	// rateKnown is how long work is counted until its rates are known, rateSettled how long no entry may have been new, and
	// rateLimit when they count as known in any case.
	rateKnown   = 1500 * time.Millisecond
	rateSettled = time.Second
	rateLimit   = 5 * time.Second
)

// Rates are averages of the work a second that was asked of each model; they fade with time. Every entry has its own: after a
// change of leaders entries come one after the other, and what one was asked for before it came is not known.
type Rates struct {
	entries map[string]*entryRates
	first   time.Time
	newest  time.Time
}

type entryRates struct {
	values map[ident.Model]float64
	began  time.Time
	last   time.Time
}

// Hear takes the work that an entry was asked for since it was last heard; the first time it only begins to count. Nothing
// counts before the first request to any of them.
func (r *Rates) Hear(now time.Time, entry string, work map[ident.Model]float64) {
	if r.entries == nil && len(work) == 0 {
		return
	}
	e := r.entries[entry]
	if e == nil {
		r.enter(now, entry)
		return
	}
	e.fade(now)
	for model, w := range work {
		e.values[model] += w * math.Ln2 / rateHalf.Seconds()
	}
}

func (r *Rates) enter(now time.Time, entry string) {
	if r.entries == nil {
		r.entries = map[string]*entryRates{}
		r.first = now
	}
	r.newest = now
	r.entries[entry] = &entryRates{map[ident.Model]float64{}, now, now}
}

// Forget drops an entry that has ended: its callers go to others.
func (r *Rates) Forget(entry string) {
	delete(r.entries, entry)
}

// At returns the rates, nothing until they are known.
func (r *Rates) At(now time.Time) map[ident.Model]float64 {
	age := now.Sub(r.first)
	if r.entries == nil || age < rateKnown || age < rateLimit && now.Sub(r.newest) < rateSettled {
		return nil
	}
	rates := map[ident.Model]float64{}
	for _, e := range r.entries {
		e.fade(now)
		// What came before the count began is not known, so it is left out of the average.
		part := 1 - math.Exp2(-float64(now.Sub(e.began))/float64(rateHalf))
		for model, value := range e.values {
			rates[model] += value / max(part, leastPart)
		}
	}
	return rates
}

// leastPart keeps the work of an entry's first moments from being taken for its rate.
const leastPart = 0.1

func (e *entryRates) fade(now time.Time) {
	part := math.Exp2(-float64(now.Sub(e.last)) / float64(rateHalf))
	for model := range e.values {
		e.values[model] *= part
	}
	e.last = now
}
