package site

// Forecasts need the demand in steps of equal length, while each entry reports
// its demand since its last call, at moments of its own. A report is spread over
// the steps between the two calls. A step is closed once all entries have
// reported the whole of it, or after maxReportDelay: entries that are late then
// are assumed to have their usual share of the demand.
//
//	entry a   |--------|------|----------|
//	entry b     |-------------------|         (late for the third step)
//	steps     |    1    |    2    |    3    |
//
// A step of which too much is missing is unknown, which is not the same as a
// step without requests.

import (
	"maps"
	"math"
	"time"

	"github.com/dunlinquay/dunlinquay/forecast"
	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// forecastHorizon is how far ahead of the last closed step the demand is forecast: a change of groups takes effect in about two
	// seconds, and a step is closed about a quarter of a second after its end.
	forecastHorizon = 2250 * time.Millisecond
	// maxReportDelay is how long after its end a step waits for entries that have not reported it; a call is held for 500 ms at most.
	maxReportDelay = 600 * time.Millisecond
	// minReportedShare is the share of the demand that must have been reported for a step to be known.
	minReportedShare = 0.75
	// maxJoinedShare is the share of entries that may be new without making the demand before incomparable: their demand was not
	// counted. Entries count as new for entriesSettledAfter.
	maxJoinedShare = 0.1
	// maxOpenSteps bounds the steps that are not closed, and those that are closed at once after a time without evaluations.
	maxOpenSteps = 64
)

// demandSteps holds the demand of all entries in steps of forecast.Step since the first entry.
type demandSteps struct {
	// next is the oldest step that is not closed, 0 before the first one.
	next int
	open map[int]map[ident.Model]stepDemand
	// models and averages hold the forecasts and the present averages.
	models   *forecast.Models
	averages map[ident.Model]float64
}

// stepDemand is a demand in upstream-seconds and in requests; a report spread over several steps gives each a part of a request.
type stepDemand struct {
	upstreamSeconds float64
	requests        float64
}

// ModelForecast is the demand that is expected for a model when a change of groups takes effect.
type ModelForecast struct {
	Model ident.Model `json:"model"`
	// Expected and Average are in upstream-seconds per second, and so is Error, the root of the mean squared error of recent forecasts.
	Expected float64 `json:"expected"`
	Average  float64 `json:"average"`
	Error    float64 `json:"error"`
	// Method is how the expected demand was found; "average" means that the average is planned by.
	Method string `json:"method"`
	// PeriodMS is the period of a wave in the demand, 0 if none was found.
	PeriodMS int64 `json:"period-ms"`
}

// add spreads a demand over the open steps between two times since the first entry. Between two calls at the same time there is no demand.
func (d *demandSteps) add(from, to time.Duration, demand map[ident.Model]ModelDemand) {
	first := max(d.next, int(from/forecast.Step))
	last := int(to / forecast.Step)
	if to <= from || from < 0 || last-first > maxOpenSteps {
		return
	}
	if d.open == nil {
		d.open = map[int]map[ident.Model]stepDemand{}
	}
	for step := first; step <= last; step++ {
		part := overlap(step, from, to).Seconds() / (to - from).Seconds()
		if d.open[step] == nil {
			d.open[step] = map[ident.Model]stepDemand{}
		}
		for model, reported := range demand {
			sum := d.open[step][model]
			sum.upstreamSeconds += part * reported.UpstreamSeconds
			sum.requests += part * float64(reported.Requests)
			d.open[step][model] = sum
		}
	}
	if len(d.open) > maxOpenSteps {
		maps.DeleteFunc(d.open, func(step int, _ map[ident.Model]stepDemand) bool { return step < last-maxOpenSteps/2 })
	}
}

// overlap returns how much of a step is between two times.
func overlap(step int, from, to time.Duration) time.Duration {
	begin := time.Duration(step) * forecast.Step
	return max(0, min(to, begin+forecast.Step)-max(from, begin))
}

// closeSteps passes the steps that are complete, or have waited long enough, to the forecasts.
func (r *DemandRates) closeSteps(now time.Time, averages map[ident.Model]float64) {
	d := &r.steps
	current := int(now.Sub(r.firstEntryAt) / forecast.Step)
	if d.next == 0 || current-d.next > maxOpenSteps {
		// Before this the entries called one after the other, or nothing was evaluated for so long that the earlier demand says little.
		d.restart(current)
	}
	d.averages = maps.Clone(averages)
	for ; d.next < current && r.stepComplete(now, d.next); d.next++ {
		if r.manyJoined(d.next) {
			d.restart(d.next)
		}
		observed := map[ident.Model]forecast.Observation{}
		for model, average := range averages {
			observed[model] = r.observe(d.next, model, average)
		}
		d.models.Add(observed)
		delete(d.open, d.next)
	}
}

// restart forgets the demand before a step.
func (d *demandSteps) restart(step int) {
	d.next = max(1, step)
	d.models = forecast.NewModels(forecastHorizon)
	maps.DeleteFunc(d.open, func(open int, _ map[ident.Model]stepDemand) bool { return open < step })
}

// stepComplete reports whether all entries have reported a step or need not be awaited any longer.
func (r *DemandRates) stepComplete(now time.Time, step int) bool {
	end := r.firstEntryAt.Add(time.Duration(step+1) * forecast.Step)
	if now.Sub(end) >= maxReportDelay {
		return true
	}
	for _, e := range r.entries {
		if e.reportedAt.Before(end) {
			return false
		}
	}
	return true
}

// manyJoined reports whether many entries are new in a step.
func (r *DemandRates) manyJoined(step int) bool {
	end := r.firstEntryAt.Add(time.Duration(step+1) * forecast.Step)
	joined := 0
	for _, e := range r.entries {
		if e.startedAt.Before(end) && end.Sub(e.startedAt) < entriesSettledAfter {
			joined++
		}
	}
	return float64(joined) > maxJoinedShare*float64(len(r.entries))
}

// observe returns the demand for a model in a step.
func (r *DemandRates) observe(step int, model ident.Model, average float64) forecast.Observation {
	counted := r.steps.open[step][model]
	o := forecast.Observation{Requests: counted.requests, Average: average}
	share := r.reportedShare(step, model)
	if share >= minReportedShare {
		o.Known = true
		o.Rate = counted.upstreamSeconds / forecast.Step.Seconds() / share
	}
	return o
}

// reportedShare returns which part of the demand for a model in a step was reported, by the entries' usual shares.
func (r *DemandRates) reportedShare(step int, model ident.Model) float64 {
	begin := time.Duration(step) * forecast.Step
	reported, total := 0.0, 0.0
	for _, e := range r.entries {
		started := e.startedAt.Sub(r.firstEntryAt)
		if started > begin {
			continue
		}
		share := e.values[model].slow / e.slowWeight(e.decayedAt)
		total += share
		reported += share * float64(overlap(step, started, e.reportedAt.Sub(r.firstEntryAt))) / float64(forecast.Step)
	}
	if total <= 0 || math.IsInf(total, 0) {
		return 0
	}
	return reported / total
}

// forecast replaces the rates by what is expected where that is better.
func (d *demandSteps) forecast(rates map[ident.Model]float64) {
	for model, average := range rates {
		rates[model] = d.models.Forecast(model, average).Expected
	}
}

// Forecasts returns the forecasts as of the last evaluation, sorted by model.
func (r *DemandRates) Forecasts() []ModelForecast {
	var list []ModelForecast
	if r.steps.models == nil {
		return nil
	}
	for _, model := range r.steps.models.Names() {
		average := r.steps.averages[model]
		f := r.steps.models.Forecast(model, average)
		list = append(list, ModelForecast{model, f.Expected, average, f.Error, f.Method.String(), f.Period.Milliseconds()})
	}
	return list
}

// Peaks returns the largest demand per second that is expected for each model within a time; weights are loaded ahead for it.
func (r *DemandRates) Peaks(within time.Duration) map[ident.Model]float64 {
	peaks := map[ident.Model]float64{}
	for model, average := range r.steps.averages {
		peaks[model] = r.steps.models.Peak(model, within, average)
	}
	return peaks
}

// logForecasts logs models whose demand is forecast by another method than before; the mutex is held.
func (r *leadership) logForecasts(now time.Time) {
	if !r.demand.Forecast {
		return
	}
	for _, f := range r.demand.Forecasts() {
		logged, known := r.loggedMethods[f.Model]
		if f.Method == logged || !known && f.Method == forecast.Average.String() {
			continue
		}
		if _, ok := r.forecastLog.allow(now); ok {
			r.loggedMethods[f.Model] = f.Method
			r.control.Log.Info("demand forecast by another method", "model", f.Model, "expected", f.Expected, "average", f.Average, "error", f.Error,
				"method", f.Method, "period-ms", f.PeriodMS)
		}
	}
}
