package forecast

import "math"

const (
	// minPeriod and maxPeriod bound the periods that are searched, in steps: 4 s to 20 s. Shorter ones cannot be followed by groups, and
	// longer ones do not occur twice in the history.
	minPeriod = 16
	maxPeriod = 80
	// searchEvery is the number of steps between two searches.
	searchEvery = 4
	// smoothSteps is the length of the window over which steps are averaged before the search.
	smoothSteps = 5
	// minCorrelation is the least autocorrelation at the period, periodSignificance how many standard errors it must have. A false
	// period is used only if its forecasts are better than the average, so that two are enough.
	minCorrelation     = 0.4
	periodSignificance = 2.0
	// sameCorrelation is the fraction of the largest autocorrelation that the shortest period must have: multiples of a period
	// correlate as well.
	sameCorrelation = 0.85
	// fittedPeriods bounds the window to which a wave is fitted, so that it follows changes of phase and amplitude.
	fittedPeriods = 3
	// minFittedPeriods is the least window of a fit in a backtest.
	minFittedPeriods = 1.2
	// samePeriod is the relative difference up to which a period counts as the one found before.
	samePeriod = 0.1
	// refinements is how many periods on each side of the found one are tried, refinement the relative distance between two.
	refinements = 4
	refinement  = 0.02
	// terms is a mean, and sine and cosine of two harmonics.
	terms = 5
)

// wave is a periodic function fitted to the newest steps.
type wave struct {
	// period is in steps, 0 without a wave.
	period float64
	// found is the step at which the period was found.
	found int
	fit   fit
}

// fit holds coefficients of the mean and of the harmonics of one period.
type fit struct {
	omega        float64
	coefficients [terms]float64
	// residual is the mean squared difference.
	residual float64
}

// at returns the value of the wave at a step.
func (w *wave) at(step float64) float64 { return w.fit.at(step) }

func (f *fit) at(step float64) float64 {
	sum := 0.0
	for i, b := range basis(f.omega * step) {
		sum += f.coefficients[i] * b
	}
	return sum
}

func basis(angle float64) [terms]float64 {
	sin, cos := math.Sincos(angle)
	return [terms]float64{1, cos, sin, cos*cos - sin*sin, 2 * sin * cos}
}

// update searches for a period now and then, and fits the wave to the newest steps.
func (w *wave) update(s *Series) {
	if s.count%searchEvery == 0 {
		w.search(s)
	}
	if w.period == 0 {
		return
	}
	f, ok := s.fitWave(w.period, s.count)
	if !ok {
		w.drop(s)
		return
	}
	w.fit = f
}

// drop forgets the wave and the errors of its forecasts.
func (w *wave) drop(s *Series) {
	*w = wave{}
	s.errors[Periodic] = decayingMean{halfLife: errorHalfLife}
}

func (w *wave) search(s *Series) {
	found := s.findPeriod()
	if found == 0 {
		if w.period > 0 {
			w.drop(s)
		}
		return
	}
	found = s.refinePeriod(found)
	if math.Abs(found-w.period) > samePeriod*found {
		s.backtest(found)
		w.found = s.count - 1
	}
	w.period = found
}

// refinePeriod returns the period near the given one whose wave fits best.
func (s *Series) refinePeriod(period float64) float64 {
	best, bestResidual := period, math.Inf(1)
	for k := -refinements; k <= refinements; k++ {
		candidate := period * (1 + refinement*float64(k))
		if f, ok := s.fitWave(candidate, s.count); ok && f.residual < bestResidual {
			best, bestResidual = candidate, f.residual
		}
	}
	return best
}

// backtest sets the error of the periodic method to that of the forecasts which it would have made in the last period.
func (s *Series) backtest(period float64) {
	errors := decayingMean{halfLife: errorHalfLife}
	for i := max(s.oldest(), s.count-int(period)); i < s.count; i++ {
		made := s.forecastFor(i)
		actual, _, ok := s.target(i)
		if !ok || float64(made-s.oldest()) < minFittedPeriods*period {
			continue
		}
		if f, ok := s.fitWave(period, made+1); ok {
			miss := max(0, f.at(float64(made+s.horizon)+targetCentre)) - actual
			errors.add(miss * miss)
		}
	}
	s.errors[Periodic] = errors
}

// fitWave fits a wave of a period to the steps before end by least squares.
func (s *Series) fitWave(period float64, end int) (fit, bool) {
	f := fit{omega: 2 * math.Pi / period}
	var normal [terms][terms + 1]float64
	known, squares := 0, 0.0
	for i := max(s.oldest(), end-int(fittedPeriods*period)); i < end; i++ {
		p := s.at(i)
		if !p.Known {
			continue
		}
		known++
		squares += p.Rate * p.Rate
		b := basis(f.omega * float64(i))
		for r := range terms {
			for c := r; c < terms; c++ {
				normal[r][c] += b[r] * b[c]
			}
			normal[r][terms] += b[r] * p.Rate
		}
	}
	if float64(known) < minFittedPeriods*period {
		return f, false
	}
	projections := [terms]float64{}
	for r := range terms {
		projections[r] = normal[r][terms]
		for c := range r {
			normal[r][c] = normal[c][r]
		}
	}
	f.coefficients = solve(&normal)
	explained := 0.0
	for r := range terms {
		explained += f.coefficients[r] * projections[r]
	}
	f.residual = max(0, squares-explained) / float64(known)
	return f, !math.IsNaN(explained) && !math.IsInf(explained, 0)
}

// solve returns the solution of a positive definite system by elimination.
func solve(m *[terms][terms + 1]float64) [terms]float64 {
	for r := range terms {
		for below := r + 1; below < terms; below++ {
			f := m[below][r] / m[r][r]
			for c := r; c <= terms; c++ {
				m[below][c] -= f * m[r][c]
			}
		}
	}
	var x [terms]float64
	for r := terms - 1; r >= 0; r-- {
		x[r] = m[r][terms]
		for c := r + 1; c < terms; c++ {
			x[r] -= m[r][c] * x[c]
		}
		x[r] /= m[r][r]
	}
	return x
}

// findPeriod returns the shortest period with a significant autocorrelation that occurred twice, 0 if there is none.
func (s *Series) findPeriod() float64 {
	var values [historySteps]float64
	n, known := s.detrended(&values)
	if known < 2*minPeriod {
		return 0
	}
	var correlations [maxPeriod + 2]float64
	largest := 0.0
	last := min(maxPeriod, n/2)
	for lag := minPeriod - 1; lag <= min(last+1, n-1); lag++ {
		correlations[lag] = correlation(values[:n-lag], values[lag:n])
	}
	for lag := minPeriod; lag <= last; lag++ {
		if isPeak(&correlations, lag, last) && significant(correlations[lag], n-lag) {
			largest = max(largest, correlations[lag])
		}
	}
	for lag := minPeriod; lag <= last; lag++ {
		if largest > 0 && isPeak(&correlations, lag, last) && correlations[lag] >= sameCorrelation*largest {
			return float64(lag) + vertex(correlations[lag-1], correlations[lag], correlations[lag+1])
		}
	}
	return 0
}

// significant reports whether a correlation of so many smoothed steps is not explained by noise.
func significant(correlation float64, steps int) bool {
	return correlation >= minCorrelation && correlation >= periodSignificance/math.Sqrt(float64(steps)/smoothSteps)
}

// isPeak reports whether the correlation at a lag is a local maximum; at the last lag it may still rise.
func isPeak(correlations *[maxPeriod + 2]float64, lag, last int) bool {
	return lag < last && correlations[lag] >= correlations[lag-1] && correlations[lag] > correlations[lag+1]
}

// vertex returns where the parabola through three values at -1, 0 and 1 has its maximum.
func vertex(left, centre, right float64) float64 {
	curvature := left - 2*centre + right
	if curvature >= 0 {
		return 0
	}
	return 0.5 * (left - right) / curvature
}

// correlation returns the correlation of two series with mean 0; unknown values are 0.
func correlation(a, b []float64) float64 {
	var ab, aa, bb float64
	for i := range a {
		if a[i] == 0 || b[i] == 0 {
			continue
		}
		ab += a[i] * b[i]
		aa += a[i] * a[i]
		bb += b[i] * b[i]
	}
	if aa <= 0 || bb <= 0 {
		return 0
	}
	return ab / math.Sqrt(aa*bb)
}

// detrended fills values with the smoothed history without its mean and linear trend, 0 where it is unknown, and returns how many steps
// there are and how many of them are known.
func (s *Series) detrended(values *[historySteps]float64) (n, known int) {
	first := s.oldest()
	n = s.count - first
	var t, tt, v, tv float64
	var valid [historySteps]bool
	for i := range n {
		mean, _, k := s.window(max(first, first+i-smoothSteps/2), min(s.count, first+i+smoothSteps/2+1))
		if k == 0 || !s.at(first+i).Known {
			continue
		}
		valid[i], values[i] = true, mean
		known++
		x := float64(i)
		t, tt, v, tv = t+x, tt+x*x, v+mean, tv+x*mean
	}
	if known == 0 {
		return n, 0
	}
	count := float64(known)
	slope := 0.0
	if d := count*tt - t*t; d > 0 {
		slope = (count*tv - t*v) / d
	}
	level := (v - slope*t) / count
	for i := range n {
		if valid[i] {
			values[i] -= level + slope*float64(i)
		}
	}
	return n, known
}
