package forecast_test

import (
	"flag"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dunlinquay/dunlinquay/forecast"
)

const (
	horizon = 2 * time.Second
	// maxOtherPercent is how many of 100 forecasts of a steady load may differ from the present average.
	maxOtherPercent = 3
)

// Uses the same rapid seed in each run unless -rapid.seed sets another, so that runs are repeatable.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261203")
	}
	os.Exit(m.Run())
}

// load is a demand over time: the factor of the mean at a time, and the mean number of requests per second. Sizes differ twentyfold.
type load struct {
	requests float64
	factor   func(at time.Duration) float64
	unknown  func(at time.Duration) bool
}

// state is a series after one step, with the present average.
type state struct {
	at       time.Duration
	average  float64
	forecast forecast.Forecast
}

// play feeds a load for a time and calls visit after each step; rates are relative to the mean.
func play(seed uint64, l *load, duration time.Duration, visit func(s *forecast.Series, now state)) {
	random := rand.New(rand.NewPCG(seed, 1))
	s := forecast.NewSeries(horizon)
	a := &presentAverage{}
	for at := time.Duration(0); at < duration; at += forecast.Step {
		factor := 0.0
		for i := range 10 {
			factor += l.factor(at+time.Duration(i)*forecast.Step/10) / 10
		}
		o := l.step(random, factor)
		o.Known = l.unknown == nil || !l.unknown(at)
		a.add(o)
		o.Average = a.value()
		s.Add(o)
		visit(s, state{at + forecast.Step, o.Average, s.Forecast(o.Average)})
	}
}

// step draws the requests of a step.
func (l *load) step(random *rand.Rand, factor float64) forecast.Observation {
	mean := factor * l.requests * forecast.Step.Seconds()
	n := int(math.Round(mean + math.Sqrt(mean)*random.NormFloat64()))
	o := forecast.Observation{Requests: float64(max(0, n))}
	for range n {
		// The mean of these sizes is 1, their standard deviation 1.
		o.Rate += []float64{0.2, 0.4, 0.8, 1.6, 4}[random.IntN(5)] / 1.4
	}
	o.Rate /= l.requests * forecast.Step.Seconds()
	return o
}

// presentAverage is the average that is planned by without forecasts: a long one, or a short one where they differ significantly.
type presentAverage struct{ slow, quick, requests, slowWeight, quickWeight float64 }

func (a *presentAverage) add(o forecast.Observation) {
	slow, quick := math.Exp2(-forecast.Step.Seconds()/6), math.Exp2(-forecast.Step.Seconds()/1.5)
	if !o.Known {
		return
	}
	a.slow, a.slowWeight = a.slow*slow+o.Rate, a.slowWeight*slow+1
	a.quick, a.quickWeight, a.requests = a.quick*quick+o.Rate, a.quickWeight*quick+1, a.requests*quick+o.Requests
}

func (a *presentAverage) value() float64 {
	if a.slowWeight == 0 {
		return 0
	}
	slow, quick := a.slow/a.slowWeight, a.quick/a.quickWeight
	if a.requests == 0 || math.Abs(quick-slow) <= 4*1.2/math.Sqrt(a.requests)*slow {
		return slow
	}
	return quick
}

func squared(v float64) float64 { return v * v }

func steady(time.Duration) float64 { return 1 }

func waveOf(amplitude float64, period time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		return 1 + amplitude*math.Sin(2*math.Pi*at.Seconds()/period.Seconds())
	}
}

// Guards against a wave that is served half a period late: after two periods the error of the expected demand must be at most half of
// the present average's.
func TestWaveIsContinued(t *testing.T) {
	for _, c := range []struct {
		name      string
		requests  float64
		amplitude float64
		period    time.Duration
	}{
		{"300 a second, 0.5 in 13 s", 300, 0.5, 13 * time.Second},
		{"80 a second, 0.5 in 13 s", 80, 0.5, 13 * time.Second},
		{"400 a second, 0.2 in 11 s", 400, 0.2, 11 * time.Second},
		{"300 a second, 0.5 in 5 s", 300, 0.5, 5 * time.Second},
		{"300 a second, 0.5 in 19 s", 300, 0.5, 19 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(10) {
				wave := waveOf(c.amplitude, c.period)
				var forecastError, averageError float64
				from := 2*c.period + 2*time.Second
				play(seed, &load{requests: c.requests, factor: wave}, 100*time.Second, func(_ *forecast.Series, now state) {
					if now.at < from {
						return
					}
					actual := wave(now.at + horizon)
					forecastError += squared(now.forecast.Expected - actual)
					averageError += squared(now.average - actual)
				})
				ratio := math.Sqrt(forecastError / averageError)
				if ratio > 0.5 {
					t.Errorf("seed %d: the error is %.2f of the average's, want at most 0.5", seed, ratio)
				}
			}
		})
	}
}

// Guards against plans that follow noise: on a steady load nearly all forecasts must be the present average.
func TestSteadyLoadIsPlannedByAverage(t *testing.T) {
	for _, requests := range []float64{5, 40, 80, 400, 2000} {
		for seed := range uint64(10) {
			steps, other := 0, map[forecast.Method]int{}
			play(seed, &load{requests: requests, factor: steady}, 5*time.Minute, func(_ *forecast.Series, now state) {
				steps++
				if now.forecast.Expected != now.average {
					other[now.forecast.Method]++
				}
			})
			differs := 0
			for _, n := range other {
				differs += n
			}
			if differs > steps*maxOtherPercent/100 {
				t.Errorf("%v requests a second, seed %d: %d of %d forecasts differ from the average (%v)", requests, seed, differs, steps, other)
			}
		}
	}
}

// shiftOf returns a load that changes to a level after 40 s and back after 50 s.
func shiftOf(level float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= shiftBegin && at < shiftEnd {
			return level
		}
		return 1
	}
}

const (
	shiftBegin = 40 * time.Second
	shiftEnd   = 50 * time.Second
	// followedWithin is how long after a shift the expected demand must have reached its new value.
	followedWithin = 2500 * time.Millisecond
)

// Guards against a shift of the mix that the plan follows only after six seconds: one model rises to 1.6 times its demand while the other
// falls to 0.7, and both return 10 s later.
func TestShiftOfMixIsFollowed(t *testing.T) {
	for _, level := range []float64{1.6, 0.7} {
		for seed := range uint64(10) {
			factor := shiftOf(level)
			reached := map[time.Duration]bool{}
			play(seed, &load{requests: 2000, factor: factor}, 65*time.Second, func(_ *forecast.Series, now state) {
				for _, change := range []time.Duration{shiftBegin, shiftEnd} {
					want := factor(change)
					if after := now.at - change; after > 0 && after <= followedWithin && math.Abs(now.forecast.Expected-want) <= 0.1*want {
						reached[change] = true
					}
				}
			})
			if diff := cmp.Diff(map[time.Duration]bool{shiftBegin: true, shiftEnd: true}, reached); diff != "" {
				t.Errorf("to %v, seed %d: shifts that were followed (-want +got):\n%s", level, seed, diff)
			}
		}
	}
}

// Guards against a method that follows a shift only at thousands of requests a second. The mean of a few seconds of a few hundred requests
// is itself off by more than a tenth now and then, so the mean over many runs is judged.
func TestShiftOfMixIsFollowedOnAverage(t *testing.T) {
	const runs = 300
	for _, requests := range []float64{300} {
		for _, level := range []float64{1.6, 0.7} {
			factor := shiftOf(level)
			sums := map[time.Duration]float64{}
			for seed := range uint64(runs) {
				play(seed, &load{requests: requests, factor: factor}, shiftEnd+followedWithin, func(_ *forecast.Series, now state) {
					for _, change := range []time.Duration{shiftBegin, shiftEnd} {
						if now.at == change+followedWithin {
							sums[change] += now.forecast.Expected / runs
						}
					}
				})
			}
			for change, got := range sums {
				if want := factor(change); math.Abs(got-want) > 0.1*want {
					t.Errorf("%v requests a second to %v: %.2f expected at %v, want %v", requests, level, got, change+followedWithin, want)
				}
			}
		}
	}
}

// Guards against a ramp that is planned for by an average of the past: the trend must be used, with a smaller error.
func TestRampIsContinued(t *testing.T) {
	for _, rise := range []time.Duration{10 * time.Second, 20 * time.Second} {
		ramp := func(at time.Duration) float64 {
			return 1 + min(1, max(0, (at-30*time.Second).Seconds()/rise.Seconds()))
		}
		var forecastError, averageError float64
		trends := 0
		for seed := range uint64(20) {
			play(seed, &load{requests: 400, factor: ramp}, 30*time.Second+rise, func(_ *forecast.Series, now state) {
				if now.at < 34*time.Second {
					return
				}
				forecastError += squared(now.forecast.Expected - ramp(now.at+horizon))
				averageError += squared(now.average - ramp(now.at+horizon))
				if now.forecast.Method == forecast.Trend {
					trends++
				}
			})
		}
		t.Logf("ramp of %v: error %.2f of the average's, trend used in %d steps", rise, math.Sqrt(forecastError/averageError), trends)
		if trends == 0 || forecastError >= averageError {
			t.Errorf("ramp of %v: squared error %.2f of the average's, trend used in %d steps", rise, forecastError/averageError, trends)
		}
	}
}

// Guards against waves that are continued after they have ended.
func TestEndOfWave(t *testing.T) {
	for seed := range uint64(10) {
		wave := waveOf(0.5, 13*time.Second)
		factor := func(at time.Duration) float64 {
			if at < 65*time.Second {
				return wave(at)
			}
			return 1
		}
		var forecastError, averageError float64
		play(seed, &load{requests: 300, factor: factor}, 120*time.Second, func(_ *forecast.Series, now state) {
			if now.at < 80*time.Second {
				return
			}
			forecastError += squared(now.forecast.Expected - 1)
			averageError += squared(now.average - 1)
			if now.at > 100*time.Second && now.forecast.Method != forecast.Average {
				t.Errorf("seed %d: %v is used %v after the end of the wave", seed, now.forecast.Method, now.at-65*time.Second)
			}
		})
		if forecastError > 2*averageError {
			t.Errorf("seed %d: the squared error after the end of the wave is %.1f times the average's", seed, forecastError/averageError)
		}
	}
}

// Guards against missing reports that look like a fall of the demand, a trend or a period: unknown steps change nothing, and while the
// newest steps are unknown the average is used.
func TestUnknownSteps(t *testing.T) {
	gap := func(at time.Duration) bool { return at%(10*time.Second) >= 8*time.Second }
	for seed := range uint64(10) {
		steps, other := 0, 0
		play(seed, &load{requests: 400, factor: steady, unknown: gap}, 5*time.Minute, func(_ *forecast.Series, now state) {
			steps++
			if now.forecast.Expected != now.average {
				other++
			}
		})
		if other > steps*maxOtherPercent/100 {
			t.Errorf("seed %d: %d of %d forecasts differ from the average", seed, other, steps)
		}
	}
	lost := func(at time.Duration) bool { return at >= 60*time.Second }
	play(1, &load{requests: 400, factor: waveOf(0.5, 13*time.Second), unknown: lost}, 70*time.Second, func(_ *forecast.Series, now state) {
		if now.at == 60*time.Second && now.forecast.Method != forecast.Periodic {
			t.Errorf("%v is used before the reports stop, want periodic", now.forecast.Method)
		}
		if now.at > 62*time.Second && now.forecast.Expected != now.average {
			t.Errorf("%.2f expected %v after the last report, want the average", now.forecast.Expected, now.at-60*time.Second)
		}
	})
}

// Guards against weights that are loaded ahead for the demand of now: the peak of the next period is known from the wave.
func TestPeakOfWave(t *testing.T) {
	period := 13 * time.Second
	play(1, &load{requests: 400, factor: waveOf(0.5, period)}, 90*time.Second, func(s *forecast.Series, now state) {
		if now.at < 40*time.Second {
			return
		}
		if got := s.Peak(period, now.average); math.Abs(got-1.5) > 0.15 {
			t.Errorf("peak of %.2f after %v, want 1.5", got, now.at)
		}
		if got := now.forecast.Period; (got - period).Abs() > period/10 {
			t.Errorf("period of %v after %v, want %v", got, now.at, period)
		}
	})
}

// Guards against forecasts that no capacity can serve: whatever was seen, they are finite, not negative and not far above what was seen.
func TestForecastIsBounded(t *testing.T) {
	rate := rapid.OneOf(rapid.Float64Range(0, 100), rapid.Float64Range(0, 1e300), rapid.SampledFrom([]float64{0, math.NaN(), math.Inf(1), math.Inf(-1), -1, math.MaxFloat64}))
	rapid.Check(t, func(t *rapid.T) {
		s := forecast.NewSeries(time.Duration(rapid.IntRange(0, 10_000).Draw(t, "horizon-ms")) * time.Millisecond)
		largest := 0.0
		pattern := rapid.SliceOfN(rate, 1, 60).Draw(t, "pattern")
		for i := range rapid.IntRange(1, 600).Draw(t, "steps") {
			o := forecast.Observation{Rate: pattern[i%len(pattern)], Requests: rapid.Float64Range(0, 1000).Draw(t, "requests"), Known: rapid.IntRange(0, 9).Draw(t, "known") > 0}
			average := rapid.Float64Range(0, 100).Draw(t, "average")
			o.Average = average
			s.Add(o)
			if o.Known && o.Rate >= 0 && o.Rate <= math.MaxFloat64 {
				largest = max(largest, o.Rate)
			}
			for _, got := range []float64{s.Forecast(average).Expected, s.Peak(20*time.Second, average)} {
				if math.IsNaN(got) || got < 0 || got > max(average, 1.25*largest) {
					t.Fatalf("step %d: %v expected, where at most %v was seen", i, got, largest)
				}
			}
		}
	})
}

// BenchmarkUpdateAndForecast measures one step and one forecast of two models with a wave.
func BenchmarkUpdateAndForecast(b *testing.B) {
	var series [2]*forecast.Series
	for i := range series {
		series[i] = forecast.NewSeries(horizon)
	}
	wave := waveOf(0.5, 13*time.Second)
	for i := 0; b.Loop(); i++ {
		for _, s := range series {
			s.Add(forecast.Observation{Known: true, Rate: wave(time.Duration(i) * forecast.Step), Requests: 100, Average: 1})
			_ = s.Forecast(1)
		}
	}
}
