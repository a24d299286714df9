package site

import (
	"math"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// slowHalfLife is the half-life of demand: prompts differ tenfold in size, so the demand of a few seconds is a poor
	// estimate.
	slowHalfLife = 6 * time.Second
	// quickHalfLife is the half-life of the short average. It is used where there are enough requests for a reliable
	// estimate within a second or two; the slow average would start groups late there.
	quickHalfLife = 1500 * time.Millisecond
	// requestVariation is the standard deviation of the upstream time of one request, relative to its mean.
	// quickSignificance is how many standard errors the quick rate must differ from the slow rate to be used.
	requestVariation  = 1.2
	quickSignificance = 4.0
	// ratesKnownAfter is how long demand is counted before its rates are known, entriesSettledAfter how long no new
	// entry may have called, and ratesKnownAtLatest when rates count as known in any case.
	ratesKnownAfter     = 1500 * time.Millisecond
	entriesSettledAfter = time.Second
	ratesKnownAtLatest  = 5 * time.Second
)

// DemandRates are decaying averages of the demand for each model per second. They are kept by entry: after a change of
// leaders the entries call one after the other, and the demand on an entry before its first call is unknown.
type DemandRates struct {
	// Forecast replaces an average by the demand that is expected when a change of groups takes effect, where that is better. It is set
	// before use.
	Forecast bool

	entries       map[string]*entryRates
	firstEntryAt  time.Time
	newestEntryAt time.Time
	steps         demandSteps
}

type entryRates struct {
	values    map[ident.Model]demandRate
	startedAt time.Time
	decayedAt time.Time
	// reportedAt is the time of the last call.
	reportedAt time.Time
}

// demandRate is the demand for a model per second, in upstream-seconds over a long and a short time, and in requests
// over the short one.
type demandRate struct {
	slow     float64
	quick    float64
	requests float64
}

// ModelDemand is the demand for a model, in upstream-seconds and in requests.
type ModelDemand struct {
	UpstreamSeconds float64
	Requests        int
}

// Add adds the demand on an entry since its last call; the first call only starts the count. No entry is counted before
// the first request to any of them.
func (r *DemandRates) Add(now time.Time, entry string, demand map[ident.Model]ModelDemand) {
	if r.entries == nil && len(demand) == 0 {
		return
	}
	rates := r.entries[entry]
	if rates == nil {
		r.addEntry(now, entry)
		return
	}
	if r.Forecast {
		r.steps.add(rates.reportedAt.Sub(r.firstEntryAt), now.Sub(r.firstEntryAt), demand)
	}
	rates.reportedAt = now
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
	r.entries[entry] = &entryRates{map[ident.Model]demandRate{}, now, now, now}
}

// Forget removes an entry that has stopped; its callers use other entries.
func (r *DemandRates) Forget(entry string) {
	delete(r.entries, entry)
}

// At returns the rates, nil until they are known.
func (r *DemandRates) At(now time.Time) map[ident.Model]float64 {
	rates := r.averages(now)
	if r.Forecast && rates != nil {
		r.closeSteps(now, rates)
		r.steps.forecast(rates)
	}
	return rates
}

// averages returns the averages, nil until they are known.
func (r *DemandRates) averages(now time.Time) map[ident.Model]float64 {
	age := now.Sub(r.firstEntryAt)
	if r.entries == nil || age < ratesKnownAfter || age < ratesKnownAtLatest && now.Sub(r.newestEntryAt) < entriesSettledAfter {
		return nil
	}
	sums := map[ident.Model]demandRate{}
	for _, entry := range r.entries {
		entry.decay(now)
		// The demand before the count began is unknown, so that time is left out of the average.
		slowWeight := entry.slowWeight(now)
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

// estimate returns the slow rate, or the quick one where the two differ by more than chance explains.
func (v *demandRate) estimate() float64 {
	requests := v.requests * quickHalfLife.Seconds() / math.Ln2
	if requests <= 0 || math.Abs(v.quick-v.slow) <= quickSignificance*requestVariation/math.Sqrt(requests)*v.slow {
		return v.slow
	}
	return v.quick
}

// slowWeight is the weight of the time since the count began in a slow average.
func (e *entryRates) slowWeight(now time.Time) float64 {
	return max(minWeight, 1-decayFactor(now.Sub(e.startedAt), slowHalfLife))
}

// minWeight keeps the demand of an entry's first moments from counting as its rate.
const minWeight = 0.1

func (e *entryRates) decay(now time.Time) {
	slowFactor, quickFactor := decayFactor(now.Sub(e.decayedAt), slowHalfLife), decayFactor(now.Sub(e.decayedAt), quickHalfLife)
	for model, value := range e.values {
		e.values[model] = demandRate{value.slow * slowFactor, value.quick * quickFactor, value.requests * quickFactor}
	}
	e.decayedAt = now
}

// decayFactor returns the fraction of demand that remains after a time.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}
