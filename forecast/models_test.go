package forecast_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/forecast"
	"github.com/dunlinquay/dunlinquay/ident"
)

// mixState is the expected demand of two models after a step, and their present averages, relative to the means.
type mixState struct {
	at                time.Duration
	average, expected map[ident.Model]float64
}

// playMix feeds the demands of several models for a time and calls visit after each step.
func playMix(seed uint64, loads map[ident.Model]*load, duration time.Duration, visit func(m *forecast.Models, now mixState)) {
	m := forecast.NewModels(horizon)
	random, averages := map[ident.Model]*rand.Rand{}, map[ident.Model]*presentAverage{}
	for model := range loads {
		random[model], averages[model] = rand.New(rand.NewPCG(seed, uint64(len(model)))), &presentAverage{}
	}
	for at := time.Duration(0); at < duration; at += forecast.Step {
		step := map[ident.Model]forecast.Observation{}
		now := mixState{at + forecast.Step, map[ident.Model]float64{}, map[ident.Model]float64{}}
		for model, l := range loads {
			o := l.step(random[model], l.factor(at+forecast.Step/2))
			o.Known = true
			averages[model].add(o)
			o.Average = averages[model].value()
			step[model], now.average[model] = o, o.Average
		}
		m.Add(step)
		for model := range loads {
			now.expected[model] = m.Forecast(model, now.average[model]).Expected
		}
		visit(m, now)
	}
}

// mixErrors returns the root mean squared error of the logarithm of the expected ratio of two demands, by forecast and by average.
func mixErrors(requests, amplitudes [2]float64, period time.Duration) (byForecast, byAverage float64) {
	loads := map[ident.Model]*load{
		"large":  {requests: requests[0], factor: waveOf(amplitudes[0], period)},
		"small1": {requests: requests[1], factor: waveOf(amplitudes[1], period)},
	}
	n := 0.0
	for seed := range uint64(10) {
		playMix(seed, loads, 90*time.Second, func(_ *forecast.Models, now mixState) {
			if now.at < 2*period+2*time.Second {
				return
			}
			actual := math.Log(loads["large"].factor(now.at+horizon) / loads["small1"].factor(now.at+horizon))
			byForecast += squared(math.Log(now.expected["large"]/now.expected["small1"]) - actual)
			byAverage += squared(math.Log(now.average["large"]/now.average["small1"]) - actual)
			n++
		})
	}
	return math.Sqrt(byForecast / n), math.Sqrt(byAverage / n)
}

// Guards against capacity that is moved to and fro because a swing of all models is continued for some of them only: the expected mix must
// not be worse by more than 5 in 100, which is less than a group of 10 to 20.
func TestCommonSwingKeepsMix(t *testing.T) {
	for _, requests := range [][2]float64{{81, 305}, {40, 422}} {
		for _, amplitude := range []float64{0.08, 0.2} {
			got, average := mixErrors(requests, [2]float64{amplitude, amplitude}, 11*time.Second)
			t.Logf("%v requests a second, amplitude %v: error of the mix %.3f, %.3f by the average", requests, amplitude, got, average)
			if got > average+0.05 {
				t.Errorf("%v requests a second, amplitude %v: error of the mix %.3f, %.3f by the average", requests, amplitude, got, average)
			}
		}
	}
}

// Guards against a check of the mix that keeps waves from being used where they move the mix: for waves of 0.5 the error of the expected mix
// must be at most half of the average's.
func TestOppositeSwingsAreContinued(t *testing.T) {
	for _, amplitudes := range [][2]float64{{0.5, -0.5}, {0.5, 0}} {
		got, average := mixErrors([2]float64{81, 305}, amplitudes, 13*time.Second)
		t.Logf("amplitudes %v: error of the mix %.3f, %.3f by the average", amplitudes, got, average)
		if got > 0.5*average {
			t.Errorf("amplitudes %v: error of the mix %.3f, %.3f by the average", amplitudes, got, average)
		}
	}
}

// Guards against a check of the mix that keeps a shift from being followed, since a later shift back was not expected.
func TestShiftOfTwoModelsIsFollowed(t *testing.T) {
	loads := map[ident.Model]*load{"large": {requests: 2000, factor: shiftOf(1.6)}, "small1": {requests: 2000, factor: shiftOf(0.7)}}
	for seed := range uint64(10) {
		reached := map[ident.Model]map[time.Duration]bool{"large": {}, "small1": {}}
		playMix(seed, loads, shiftEnd+followedWithin, func(_ *forecast.Models, now mixState) {
			for model, l := range loads {
				for _, change := range []time.Duration{shiftBegin, shiftEnd} {
					want := l.factor(change)
					if after := now.at - change; after > 0 && after <= followedWithin && math.Abs(now.expected[model]-want) <= 0.1*want {
						reached[model][change] = true
					}
				}
			}
		})
		both := map[time.Duration]bool{shiftBegin: true, shiftEnd: true}
		if diff := cmp.Diff(map[ident.Model]map[time.Duration]bool{"large": both, "small1": both}, reached); diff != "" {
			t.Errorf("seed %d: shifts that were followed (-want +got):\n%s", seed, diff)
		}
	}
}
