package forecast

// A change of groups takes effect about two seconds after its decision, so the
// plan needs the demand at that time. An average that is long enough for
// requests whose sizes differ tenfold follows a wave or a burst too late. A
// Series compares several methods with the average by how well each predicted
// the demand of the last seconds:
//
//	method     expects                                         is better
//	average    the average that is planned by without forecast on steady demand
//	slow       a longer average                                where the average follows noise
//	quick      a shorter average                               on slow, clear changes
//	trend      damped continuation of level and slope          on ramps
//	change     the mean since a significant change             after steps
//	periodic   continuation of a wave found in the data        on waves that occurred twice
//
// For example, a wave of 13 s that an average with a half-life of 6 s shows at a
// quarter of its amplitude is continued once 26 s of it are known.

import (
	"math"
	"time"
)

// Step is the time between two observations: several reports of each entry, and short compared to the horizon.
const Step = 250 * time.Millisecond

const (
	// historySteps bounds the memory to a minute: three periods of the longest period that is searched.
	historySteps = 240
	// targetSteps is the length of the window whose mean a forecast is compared with; a single step has too few requests.
	targetSteps = 4
	// errorHalfLife is the half-life of the errors in steps: most of a typical period, and short enough to drop a method soon after it
	// fails.
	errorHalfLife = 24
	// recentHalfLife is the half-life of the average's error after which it may be used again: the errors of a step that is over would
	// otherwise keep a less steady method in use for half a minute.
	recentHalfLife = 8
	// minScores is the weight of scores from which the error of a method is known.
	minScores = 8
	// requestNoise is the standard deviation of the work of one request, relative to its mean. Requests arrive at random, which adds a
	// variance of 1 to that of their sizes, 1.2 squared.
	requestNoise = 1.56
	// unexplained is how many times the variance that the number of requests explains the squared error of the average must have
	// before another method replaces it, keptUnexplained the same for a method in use. The mean of squared errors over errorHalfLife
	// varies by about half in steady demand.
	unexplained     = 3.0
	keptUnexplained = 1.5
	// clearMargin is the fraction of the average's squared error below which a method replaces it, keptMargin the same for a method
	// in use; the gap keeps the plan from alternating between two methods.
	clearMargin = 0.5
	keptMargin  = 0.75
	// maxUnknownSteps is how many newest steps may be unknown before only the average is used: forecasts are extrapolations, and
	// become worse with each step.
	maxUnknownSteps = 4
	// guardHalfLife is the half-life, in steps, of the errors by which all forecasts are judged, and guardTolerance how many times the
	// average's squared error theirs may be, apart from sampling noise. Where bursts are short, choosing anew after each of them can be worse than the average, which
	// the errors of the single methods do not show.
	guardHalfLife  = 60
	guardTolerance = 1.1
	// guardRelease is the tolerance below which forecasts are used again.
	guardRelease = 1.05
	// maxOverSeen bounds a forecast as a multiple of the largest demand seen over targetSteps.
	maxOverSeen = 1.25
)

// Method is a way to expect the demand.
type Method int

// The methods.
const (
	Average Method = iota
	Slow
	Quick
	Trend
	Change
	Periodic
	methodCount
)

// String returns the name that logs and operators see.
func (m Method) String() string {
	return [methodCount]string{"average", "slow", "quick", "trend", "change", "periodic"}[m]
}

// Observation is the demand of one step.
type Observation struct {
	// Known is unset for a step of which too little was reported; the other fields but Average are ignored then.
	Known bool
	// Rate is the demand per second, in any unit, Requests the number of requests behind it.
	Rate     float64
	Requests float64
	// Average is the average that is planned by without forecasts.
	Average float64
}

// Forecast is the demand expected one horizon after the last step.
type Forecast struct {
	Expected float64
	Method   Method
	// Error is the root of the mean squared error of the method's recent forecasts, including the sampling noise; 0 while unknown.
	Error float64
	// Period is the period found in the data, 0 if there is none.
	Period time.Duration
}

// Series is the demand for one model over time.
type Series struct {
	horizon int
	// count is the number of steps so far; step i is in history[i % historySteps].
	count   int
	history [historySteps]point
	unknown int

	slow   decayingMean
	quick  decayingMean
	trend  trend
	change change
	wave   wave

	errors [methodCount]decayingMean
	// noise is the part of the squared errors that the number of requests explains; recentNoise and recentMiss are this part and the
	// average's squared error over recentHalfLife.
	noise       decayingMean
	recentNoise decayingMean
	recentMiss  decayingMean
	chosen      Method
	// chosenMiss and averageMiss are the squared errors of the chosen methods and of the average over guardHalfLife; guarded is set while
	// the former is larger.
	chosenMiss  decayingMean
	averageMiss decayingMean
	guarded     bool
}

type point struct {
	Observation
	// forecasts holds what each method expected at this step; NaN where it expected nothing.
	forecasts [methodCount]float64
	chosen    Method
}

// NewSeries returns an empty series that forecasts the demand horizon after the last step.
func NewSeries(horizon time.Duration) *Series {
	return &Series{
		horizon: max(1, int(math.Round(horizon.Seconds()/Step.Seconds()))),
		slow:    decayingMean{halfLife: slowHalfLife}, quick: decayingMean{halfLife: quickHalfLife}, noise: decayingMean{halfLife: errorHalfLife},
		chosenMiss:  decayingMean{halfLife: guardHalfLife},
		averageMiss: decayingMean{halfLife: guardHalfLife},
		recentNoise: decayingMean{halfLife: recentHalfLife}, recentMiss: decayingMean{halfLife: recentHalfLife},
		errors: newErrors(),
	}
}

func newErrors() [methodCount]decayingMean {
	var errors [methodCount]decayingMean
	for m := range errors {
		errors[m].halfLife = errorHalfLife
	}
	return errors
}

// Add adds the next step.
func (s *Series) Add(o Observation) {
	o.Known = o.Known && isValid(o.Rate) && isValid(o.Requests)
	if !isValid(o.Average) {
		o.Average = 0
	}
	s.history[s.count%historySteps] = point{Observation: o}
	s.count++
	s.unknown++
	if o.Known {
		s.unknown = 0
		s.slow.add(o.Rate)
		s.quick.add(o.Rate)
		s.score()
	}
	s.trend.add(o.Rate, o.Known)
	s.updateChange()
	s.wave.update(s)
	s.newest().forecasts = s.expectations()
	s.choose()
}

// isValid reports whether a value from outside can be used.
func isValid(v float64) bool {
	return v >= 0 && !math.IsInf(v, 1)
}

// at returns step i, which must be one of the last historySteps.
func (s *Series) at(i int) *point { return &s.history[i%historySteps] }

func (s *Series) newest() *point { return s.at(s.count - 1) }

// oldest returns the index of the oldest step in memory.
func (s *Series) oldest() int { return max(0, s.count-historySteps) }

// expectations returns what each method expects now.
func (s *Series) expectations() [methodCount]float64 {
	average := s.newest().Average
	f := [methodCount]float64{Average: average, Slow: s.slow.mean(), Quick: s.quick.mean(), Trend: s.trend.ahead(s.horizon), Change: average, Periodic: math.NaN()}
	if s.change.active {
		f[Change] = s.change.level
	}
	if s.wave.period > 0 {
		f[Periodic] = s.wave.at(float64(s.count-1+s.horizon) + targetCentre)
	}
	limit := maxOverSeen * s.largestSeen()
	for m := range f {
		if Method(m) != Average && !math.IsNaN(f[m]) {
			f[m] = min(max(0, f[m]), max(average, limit))
		}
	}
	return f
}

// targetCentre is where the centre of a target lies, in steps after the step at the horizon.
const targetCentre = 0.5

// target returns the mean of the targetSteps that end with step i, and its requests; ok is unset if one of them is unknown.
func (s *Series) target(i int) (mean, requests float64, ok bool) {
	if i-targetSteps+1 < s.oldest() {
		return 0, 0, false
	}
	for j := i - targetSteps + 1; j <= i; j++ {
		p := s.at(j)
		if !p.Known {
			return 0, 0, false
		}
		mean += p.Rate / targetSteps
		requests += p.Requests
	}
	return mean, requests, true
}

// forecastFor returns the step at which the demand of the target that ends with step i was forecast.
func (s *Series) forecastFor(i int) int { return i - s.horizon - targetSteps/2 }

// score compares the forecasts for the target that ends now with it.
func (s *Series) score() {
	i := s.count - 1
	made := s.forecastFor(i)
	actual, requests, ok := s.target(i)
	if !ok || made < s.oldest() {
		return
	}
	forecasts := &s.at(made).forecasts
	noise := sampleVariance(actual, requests)
	s.noise.add(noise)
	s.recentNoise.add(noise)
	miss := forecasts[Average] - actual
	s.recentMiss.add(miss * miss)
	s.averageMiss.add(miss * miss)
	chosenMiss := forecasts[s.at(made).chosen] - actual
	s.chosenMiss.add(chosenMiss * chosenMiss)
	for m, forecast := range forecasts {
		if !math.IsNaN(forecast) {
			s.errors[m].add((forecast - actual) * (forecast - actual))
		}
	}
}

// sampleVariance returns the variance of a mean demand that so many requests explain.
func sampleVariance(mean, requests float64) float64 {
	return requestNoise * requestNoise * mean * mean / max(1, requests)
}

// choose selects the method for the next forecasts. While no forecast that was made after a change can be judged, the errors say nothing of
// it, so that the level since the change is used, or a wave that was found before.
func (s *Series) choose() {
	best := s.smallestError()
	if s.change.active && (best == Average || s.changeUnjudged() && (best != Periodic || s.wave.found >= s.change.since)) {
		best = Average
		if s.changeAllowed() {
			best = Change
		}
	}
	s.chosen = best
	s.newest().chosen = best
	s.guard()
}

// smallestError returns the method with the smallest recent error if the average's error is larger by a clear margin and not explained by
// the sampling noise.
func (s *Series) smallestError() Method {
	needed, margin := unexplained, clearMargin
	if s.chosen != Average {
		needed, margin = keptUnexplained, keptMargin
	}
	average := &s.errors[Average]
	if average.weight < minScores || average.mean() <= needed*s.noise.mean() || s.recentMiss.mean() <= needed*s.recentNoise.mean() {
		return Average
	}
	best := Average
	for m := Slow; m < methodCount; m++ {
		if s.usable(m) && s.errors[m].mean() < margin*average.mean() && s.errors[m].mean() < s.errors[best].mean() {
			best = m
		}
	}
	return best
}

// guard suspends the use of forecasts while the chosen ones were worse than the average; they are still made and judged. It does not apply
// to a wave, which was tested on the time before it was found.
func (s *Series) guard() {
	tolerance := guardTolerance
	if s.guarded {
		tolerance = guardRelease
	}
	s.guarded = s.chosenMiss.mean() > tolerance*s.averageMiss.mean()+s.noise.mean()
}

// usable reports whether a method expects something now and its error is known.
func (s *Series) usable(m Method) bool {
	return s.unknown <= maxUnknownSteps && s.errors[m].weight >= minScores && !math.IsNaN(s.newest().forecasts[m])
}

// judgement is what was expected for a target by the method that was chosen and by the average, and what it was.
type judgement struct {
	chosen, average, actual float64
}

// judgement returns that of the newest target; ok is unset if it is unknown.
func (s *Series) judgement() (j judgement, ok bool) {
	i := s.count - 1
	made := s.forecastFor(i)
	actual, _, ok := s.target(i)
	if !ok || made < s.oldest() {
		return j, false
	}
	p := s.at(made)
	return judgement{p.forecasts[p.chosen], p.forecasts[Average], actual}, true
}

// Forecast returns the demand expected one horizon after the last step, where average is the present average.
func (s *Series) Forecast(average float64) Forecast {
	if s.count == 0 || s.chosen == Average || s.unknown > maxUnknownSteps || s.guarded && s.chosen != Periodic {
		return s.averageForecast(average)
	}
	return Forecast{s.newest().forecasts[s.chosen], s.chosen, s.errorOf(s.chosen), stepsToTime(s.wave.period)}
}

// averageForecast returns the forecast by the average.
func (s *Series) averageForecast(average float64) Forecast {
	return Forecast{average, Average, s.errorOf(Average), stepsToTime(s.wave.period)}
}

// errorOf returns the root of the mean squared error of a method, 0 while unknown.
func (s *Series) errorOf(m Method) float64 {
	if s.errors[m].weight < minScores {
		return 0
	}
	return math.Sqrt(s.errors[m].mean())
}

// Peak returns the largest demand expected between now and the given time ahead, where average is the present average.
func (s *Series) Peak(within time.Duration, average float64) float64 {
	f := s.Forecast(average)
	peak := max(average, f.Expected)
	if f.Method != Periodic {
		return peak
	}
	limit := maxOverSeen * s.largestSeen()
	for ahead := range int(min(within, historySteps*Step) / Step) {
		peak = max(peak, min(limit, s.wave.at(float64(s.count+ahead))))
	}
	return peak
}

// largestSeen returns the largest mean of targetSteps in memory, or of fewer steps at the start.
func (s *Series) largestSeen() float64 {
	largest, sum, known := 0.0, 0.0, 0
	for i := s.oldest(); i < s.count; i++ {
		if p := s.at(i); !p.Known {
			sum, known = 0, 0
			continue
		}
		sum += s.at(i).Rate
		if known++; known > targetSteps {
			sum -= s.at(i - targetSteps).Rate
		}
		largest = max(largest, sum/float64(min(known, targetSteps)))
	}
	return largest
}

func stepsToTime(steps float64) time.Duration {
	return time.Duration(steps * float64(Step))
}
