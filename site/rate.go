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
	// quickHalf is the same where so many requests come that a second or two say enough, and slower rates would bring groups late.
	quickHalf = 1500 * time.Millisecond
	// workSpread is how far the work of single requests is off its mean, in parts of it, and quickSure how many times the error
	// that this makes of a rate of quickHalf that rate must be off the slow one to count.
	workSpread = 1.2
	quickSure  = 4.0
	// rateKnown is how long work is counted until its rates are known, rateSettled how long no entry may have been new, and
	// rateLimit when they count as known in any case.
	rateKnown   = 1500 * time.Millisecond
	rateSettled = time.Second
	rateLimit   = 5 * time.Second
)

// DemandRates are averages of the work a second that was asked of each model; they fade with time. Every entry has its own: after a
// change of leaders entries come one after the other, and what one was asked for before it came is not known.
type DemandRates struct {
	entries map[string]*entryRates
	first   time.Time
	newest  time.Time
}

type entryRates struct {
	values map[ident.Model]rate
	began  time.Time
	last   time.Time
}

// rate is the work a second that was asked of a model, over a long and a short time, and the requests a second over the short one.
type rate struct {
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
func (r *DemandRates) Add(now time.Time, entry string, asked map[ident.Model]ModelDemand) {
	if r.entries == nil && len(asked) == 0 {
		return
	}
	e := r.entries[entry]
	if e == nil {
		r.enter(now, entry)
		return
	}
	e.fade(now)
	for model, a := range asked {
		v := e.values[model]
		v.slow += a.UpstreamSeconds * math.Ln2 / rateHalf.Seconds()
		v.quick += a.UpstreamSeconds * math.Ln2 / quickHalf.Seconds()
		v.requests += float64(a.Requests) * math.Ln2 / quickHalf.Seconds()
		e.values[model] = v
	}
}

func (r *DemandRates) enter(now time.Time, entry string) {
	if r.entries == nil {
		r.entries = map[string]*entryRates{}
		r.first = now
	}
	r.newest = now
	r.entries[entry] = &entryRates{map[ident.Model]rate{}, now, now}
}

// Forget drops an entry that has ended: its callers go to others.
func (r *DemandRates) Forget(entry string) {
	delete(r.entries, entry)
}

// At returns the rates, nothing until they are known.
func (r *DemandRates) At(now time.Time) map[ident.Model]float64 {
	age := now.Sub(r.first)
	if r.entries == nil || age < rateKnown || age < rateLimit && now.Sub(r.newest) < rateSettled {
		return nil
	}
	sums := map[ident.Model]rate{}
	for _, e := range r.entries {
		e.fade(now)
		// What came before the count began is not known, so it is left out of the average.
		slow := max(leastPart, 1-faded(now.Sub(e.began), rateHalf))
		quick := max(leastPart, 1-faded(now.Sub(e.began), quickHalf))
		for model, v := range e.values {
			sum := sums[model]
			sum.slow += v.slow / slow
			sum.quick += v.quick / quick
			sum.requests += v.requests / quick
			sums[model] = sum
		}
	}
	rates := map[ident.Model]float64{}
	for model, sum := range sums {
		rates[model] = sum.likely()
	}
	return rates
}

// likely returns the slow rate, or the quick one when that is off by more than chance makes it.
func (v *rate) likely() float64 {
	requests := v.requests * quickHalf.Seconds() / math.Ln2
	if requests <= 0 || math.Abs(v.quick-v.slow) <= quickSure*workSpread/math.Sqrt(requests)*v.slow {
		return v.slow
	}
	return v.quick
}

// leastPart keeps the work of an entry's first moments from being taken for its rate.
const leastPart = 0.1

func (e *entryRates) fade(now time.Time) {
	slow, quick := faded(now.Sub(e.last), rateHalf), faded(now.Sub(e.last), quickHalf)
	for model, v := range e.values {
		e.values[model] = rate{v.slow * slow, v.quick * quick, v.requests * quick}
	}
	e.last = now
}

// faded is what is left of work after a time.
func faded(after, half time.Duration) float64 {
	return math.Exp2(-float64(after) / float64(half))
}
