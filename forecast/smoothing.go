package forecast

import "math"

const (
	// slowHalfLife and quickHalfLife are those of the averages, in steps: 6 s and 1.5 s.
	slowHalfLife  = 24
	quickHalfLife = 6
	// levelWeight and trendWeight are the weights of a new step in Holt's level and trend; noise in the trend counts once for each step of
	// the horizon, so it is learnt slowly. damping is the fraction of the trend that remains after a step.
	levelWeight = 0.16
	trendWeight = 0.06
	damping     = 0.95
)

// decayingMean is a mean in which older values count less; weight is the sum of the weights, 1 for the newest value.
type decayingMean struct {
	halfLife float64
	sum      float64
	weight   float64
}

func (d *decayingMean) add(v float64) {
	f := math.Exp2(-1 / d.halfLife)
	d.sum, d.weight = d.sum*f+v, d.weight*f+1
}

func (d *decayingMean) mean() float64 {
	if d.weight == 0 {
		return 0
	}
	return d.sum / d.weight
}

// trend is the level and the change per step, by Holt's method with a damped trend.
type trend struct {
	started bool
	level   float64
	slope   float64
}

func (t *trend) add(rate float64, known bool) {
	if !t.started {
		t.started, t.level = known, rate
		return
	}
	expected := t.level + damping*t.slope
	if !known {
		t.level, t.slope = max(0, expected), t.slope*damping
		return
	}
	level := levelWeight*rate + (1-levelWeight)*expected
	t.slope = trendWeight*(level-t.level) + (1-trendWeight)*damping*t.slope
	t.level = level
}

// ahead returns the level after so many steps.
func (t *trend) ahead(steps int) float64 {
	damped := damping * (1 - math.Pow(damping, float64(steps))) / (1 - damping)
	return t.level + damped*t.slope
}
