package forecast

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// mixTolerance is how many times the average's squared error of the mix that of the forecasts may be.
	mixTolerance = 1.1
	// mixMargin is the fraction of the average's squared error of the mix below which a wave that only some models have is used,
	// mixRelease the one above which it is no longer.
	mixMargin  = 0.85
	mixRelease = 1.0
	// mixHalfLife is the half-life of these errors, in steps: most of the error of a mix is noise.
	mixHalfLife = 40
)

// Models holds the series of the models that share capacity. Capacity is moved by the mix of their demands: if a wave that all of them have
// were continued for one model and not found in the noise of another, capacity would be moved to and fro. Forecasts are therefore used
// only while the mix that they expect is not worse than that of the averages.
type Models struct {
	horizon time.Duration
	series  map[ident.Model]*Series
	// chosen and average are the squared errors of the expected shares, worse and better what follows from them.
	chosen  decayingMean
	average decayingMean
	worse   bool
	better  bool
}

// NewModels returns series that forecast the demand horizon after the last step.
func NewModels(horizon time.Duration) *Models {
	d := decayingMean{halfLife: mixHalfLife}
	return &Models{horizon: horizon, series: map[ident.Model]*Series{}, chosen: d, average: d}
}

// Add adds the next step of all models.
func (m *Models) Add(step map[ident.Model]Observation) {
	for model, o := range step {
		if m.series[model] == nil {
			m.series[model] = NewSeries(m.horizon)
		}
		m.series[model].Add(o)
	}
	m.judge()
}

// judge compares the shares that were expected for the newest target with the actual ones.
func (m *Models) judge() {
	var chosen, average, actual []float64
	for _, model := range m.Names() {
		j, ok := m.series[model].judgement()
		if !ok {
			return
		}
		chosen, average, actual = append(chosen, j.chosen), append(average, j.average), append(actual, j.actual)
	}
	if sum(actual) <= 0 || sum(chosen) <= 0 || sum(average) <= 0 {
		return
	}
	m.chosen.add(shareError(chosen, actual))
	m.average.add(shareError(average, actual))
	ratio := m.chosen.mean() / max(m.average.mean(), math.SmallestNonzeroFloat64)
	m.worse = ratio > mixTolerance
	m.better = ratio < mixMargin || m.better && ratio < mixRelease
}

// suspended reports whether averages are used. A wave that was found in all models is used at once: each was tested on the time before. One
// that was found in some only is used once the expected mix was better.
func (m *Models) suspended() bool {
	waves := 0
	for _, s := range m.series {
		if s.chosen == Periodic {
			waves++
		}
	}
	switch waves {
	case 0:
		return m.worse
	case len(m.series):
		return false
	}
	return !m.better
}

// shareError returns the sum of the squared differences of shares.
func shareError(expected, actual []float64) float64 {
	e, a := sum(expected), sum(actual)
	squares := 0.0
	for i := range expected {
		d := expected[i]/e - actual[i]/a
		squares += d * d
	}
	return squares
}

func sum(list []float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}

// Names returns the models, sorted.
func (m *Models) Names() []ident.Model {
	return slices.Sorted(maps.Keys(m.series))
}

// Forecast returns the demand expected for a model, where average is its present average.
func (m *Models) Forecast(model ident.Model, average float64) Forecast {
	s := m.series[model]
	if s == nil {
		return Forecast{Expected: average}
	}
	if m.suspended() {
		return s.averageForecast(average)
	}
	return s.Forecast(average)
}

// Peak returns the largest demand expected for a model within a time, where average is its present average.
func (m *Models) Peak(model ident.Model, within time.Duration, average float64) float64 {
	if m.suspended() || m.series[model] == nil {
		return average
	}
	return m.series[model].Peak(within, average)
}
