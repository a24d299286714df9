package site

import (
	"math"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// slowHalfLife is the time after which work that was asked for counts half: prompts differ by ten times in size, so the
	// work of a few seconds says little.
	slowHalfLife = 6 * time.Second
	// quickHalfLife is the same where so many requests come that a second or two say enough, and slower rates would bring groups late.
	quickHalfLife = 1500 * time.Millisecond
	// requestVariation is how far the work of single requests is off its mean, in parts of it, and quickSignificance how many times the error
	// that this makes of a rate of quickHalfLife that rate must be off the slow one to count.
	requestVariation  = 1.2
	quickSignificance = 4.0
	// ratesKnownAfter is how long work is counted until its rates are known, entriesSettledAfter how long no entry may have been new, and
	// ratesKnownAtLatest when they count as known in any case.
	ratesKnownAfter     = 1500 * time.Millisecond
	entriesSettledAfter = time.Second
	ratesKnownAtLatest  = 5 * time.Second
)

// DemandRates are averages of the work a second that was asked of each model; they fade with time. Every entry has its own: after a
// change of leaders entries come one after the other, and what one was asked for before it came is not known.
type DemandRates struct {
	entries       map[string]*entryRates
	firstEntryAt  time.Time
	newestEntryAt time.Time
}

type entryRates struct {
	values    map[ident.Model]demandRate
	startedAt time.Time
	decayedAt time.Time
}

// demandRate is the work a second that was asked of a model, over a long and a short time, and the requests a second over the short one.
type demandRate struct {
	slow     float64
	quick    float64
	requests float64
}

// ModelDemand is the work that was asked of a model, in upstream-seconds, and the requests that asked for it.
type ModelDemand struct {
	UpstreamSeconds float64
	Requests        int
}

// Add takes the work that an entry was asked for since it was last heard; the first time it only begins to count. Nothing
// counts before the first request to any of them.
func (r *DemandRates) Add(now time.Time, entry string, demand map[ident.Model]ModelDemand) {
	if r.entries == nil && len(demand) == 0 {
		return
	}
	rates := r.entries[entry]
	if rates == nil {
		r.addEntry(now, entry)
		return
	}
	rates.decay(now)
	for model, reported := range demand {
		value := rates.values[model]
		value.slow += reported.UpstreamSeconds * math.Ln2 / slowHalfLife.Seconds()
		value.quick += reported.UpstreamSeconds * math.Ln2 / quickHalfLife.Seconds()
		value.requests += float64(reported.Requests) * math.Ln2 / quickHalfLife.Seconds()
		rates.values[model] = value
	}
}

func (r *DemandRates) addEntry(now time.Time, entry string) {
	if r.entries == nil {
		r.entries = map[string]*entryRates{}
		r.firstEntryAt = now
	}
	r.newestEntryAt = now
	r.entries[entry] = &entryRates{map[ident.Model]demandRate{}, now, now}
}

// Forget drops an entry that has ended: its callers go to others.
func (r *DemandRates) Forget(entry string) {
	delete(r.entries, entry)
}

// At returns the rates, nothing until they are known.
func (r *DemandRates) At(now time.Time) map[ident.Model]float64 {
	age := now.Sub(r.firstEntryAt)
	if r.entries == nil || age < ratesKnownAfter || age < ratesKnownAtLatest && now.Sub(r.newestEntryAt) < entriesSettledAfter {
		return nil
	}
	sums := map[ident.Model]demandRate{}
	for _, entry := range r.entries {
		entry.decay(now)
		// What came before the count began is not known, so it is left out of the average.
		slowWeight := max(minWeight, 1-decayFactor(now.Sub(entry.startedAt), slowHalfLife))
		quickWeight := max(minWeight, 1-decayFactor(now.Sub(entry.startedAt), quickHalfLife))
		for model, value := range entry.values {
			sum := sums[model]
			sum.slow += value.slow / slowWeight
			sum.quick += value.quick / quickWeight
			sum.requests += value.requests / quickWeight
			sums[model] = sum
		}
	}
	rates := map[ident.Model]float64{}
	for model, sum := range sums {
		rates[model] = sum.estimate()
	}
	return rates
}

// estimate returns the slow rate, or the quick one when that is off by more than chance makes it.
func (v *demandRate) estimate() float64 {
	requests := v.requests * quickHalfLife.Seconds() / math.Ln2
	if requests <= 0 || math.Abs(v.quick-v.slow) <= quickSignificance*requestVariation/math.Sqrt(requests)*v.slow {
		return v.slow
	}
	return v.quick
}

// minWeight keeps the work of an entry's first moments from being taken for its rate.
const minWeight = 0.1

func (e *entryRates) decay(now time.Time) {
	slowFactor, quickFactor := decayFactor(now.Sub(e.decayedAt), slowHalfLife), decayFactor(now.Sub(e.decayedAt), quickHalfLife)
	for model, value := range e.values {
		e.values[model] = demandRate{value.slow * slowFactor, value.quick * quickFactor, value.requests * quickFactor}
	}
	e.decayedAt = now
}

// decayFactor is what is left of work after a time.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
