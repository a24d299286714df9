package replicaset_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// lossInterval is the time between two losses of group members.
const lossInterval = 3 * time.Second

// replayResult is how the groups of a model served over a replay.
type replayResult struct {
	// enough is the fraction of the time in which the model had its required groups.
	enough float64
	least  int
}

// replay runs a fleet and counts the groups of each model that serve within one domain.
func (f *fleet) replay(d time.Duration, required map[ident.Model]int, beforeTick func(step int)) map[ident.Model]*replayResult {
	results := map[ident.Model]*replayResult{}
	step := 0
	f.run(d, func() {
		beforeTick(step)
		step++
		for model := range required {
			if results[model] == nil {
				results[model] = &replayResult{least: math.MaxInt}
			}
			serving := f.countGroups(model, func(head, member *engine) bool { return member.domain == head.domain })
			if serving >= required[model] {
				results[model].enough += float64(tick) / float64(d)
			}
			results[model].least = min(results[model].least, serving)
		}
	})
	return results
}

// scarceFleet is a fleet of 6 domains of 37 upstreams with a steady demand that requires 5 groups of 16 and 22 of 4.
func scarceFleet(t *testing.T, seed uint64, spares bool) *fleet {
	f := newFleetOf(t, seed, &fleetOptions{domains: 6, perDomain: 37, config: scarceConfig(), spares: spares})
	f.stallConfirmed = true
	f.run(12*time.Second, nil)
	f.demand = demandOf(f.config, 5, 22)
	f.run(20*time.Second, nil)
	return f
}

// losses returns a function that ends two group members every lossInterval, in one large group or in any.
func (f *fleet) losses(inLargeGroup bool) func(step int) {
	return func(step int) {
		if step%int(lossInterval/tick) != 0 {
			return
		}
		accept := anyMember
		if inLargeGroup {
			group := f.headOf("large").member.Group
			accept = func(e *engine) bool { return e.member.Group == group }
		}
		f.replaceLost(2, accept)
	}
}

// While members are lost all the time, the large model must not lack groups because the members that remain of its groups, and the spares,
// are used for a small model that has more than enough.
func TestLargeModelUnderLosses(t *testing.T) {
	required := map[ident.Model]int{"large": 5, "small": 22}
	const seeds = 4
	for _, inLargeGroup := range []bool{false, true} {
		enough := map[ident.Model]float64{}
		for seed := range uint64(seeds) {
			f := scarceFleet(t, seed+1, true)
			f.run(lossInterval, nil)
			for model, r := range f.replay(20*time.Second, required, f.losses(inLargeGroup)) {
				enough[model] += r.enough / seeds
				if r.least < required[model]/2 {
					t.Errorf("seed %d, losses in one group %v: only %d groups of %s serve", seed, inLargeGroup, r.least, model)
				}
			}
			if len(f.violations) > 0 {
				t.Error(f.violations)
			}
		}
		text := fmt.Sprintf("losses in one group %v: the required groups serve for %.2f (large) and %.2f (small) of the time", inLargeGroup, enough["large"], enough["small"])
		t.Log(text)
		if enough["large"] < 0.8 || enough["small"] < 0.9 {
			t.Error(text)
		}
	}
}

// The mix of two models turns every 6.5 s. Exchanges must not close groups of each model in turn for the other one while both are short, and
// a steady load must cause no changes.
func TestTurnsOfTheMix(t *testing.T) {
	for _, c := range []struct {
		large, small, amplitude float64
	}{{9, 18, 0}, {9, 18, 0.3}, {11, 23, 0}, {11, 23, 0.3}} {
		served, decisions := map[bool]float64{}, map[bool]int{}
		for _, spares := range []bool{false, true} {
			for seed := range uint64(2) {
				s, d := turnMix(t, seed+1, spares, c.large, c.small, c.amplitude)
				served[spares] += s / 2
				decisions[spares] += d
			}
		}
		text := fmt.Sprintf("demand for %v large and %v small groups, amplitude %v: %.3f served with %d decisions, without spares %.3f with %d",
			c.large, c.small, c.amplitude, served[true], decisions[true], served[false], decisions[false])
		t.Log(text)
		if decisions[true] > decisions[false] || served[true] < served[false] {
			t.Error(text)
		}
	}
}

// turnMix returns the mean fraction of the required groups that serve over 39 s, and the number of decisions.
func turnMix(t *testing.T, seed uint64, spares bool, large, small, amplitude float64) (float64, int) {
	config := engineConfig()
	config.Models[0].Size, config.Models[1].Size = 8, 4
	f := newFleetOf(t, seed, &fleetOptions{domains: 9, perDomain: 19, config: config, spares: spares})
	f.run(12*time.Second, nil)
	f.demand = demandOf(config, large, small)
	f.run(20*time.Second, nil)
	f.decisions = 0
	startedAt, served := f.now, 0.0
	const duration = 39 * time.Second
	f.run(duration, func() {
		wave := amplitude * math.Sin(2*math.Pi*f.now.Sub(startedAt).Seconds()/13)
		f.demand = demandOf(config, large*(1+wave), small*(1-wave))
		// In the order of a map the sums of equal runs would differ by rounding.
		for _, required := range []struct {
			model  ident.Model
			groups float64
		}{{"large", large * (1 + wave)}, {"small", small * (1 - wave)}} {
			groups := f.countGroups(required.model, func(head, member *engine) bool { return member.domain == head.domain })
			served += min(1, float64(groups)/required.groups) / 2 * float64(tick) / float64(duration)
		}
	})
	if len(f.violations) > 0 {
		t.Error(f.violations)
	}
	return served, f.decisions
}

// A lasting shift of the mix is followed as quickly with the setting on.
func TestShiftWithSpares(t *testing.T) {
	f := newFleetOf(t, 13, &fleetOptions{domains: 12, perDomain: 8, config: engineConfig(), spares: true})
	f.run(12*time.Second, nil)
	f.demand = demandFor(12, 12)
	f.run(60*time.Second, nil)
	f.demand = demandFor(18, 6)
	f.run(3600*time.Millisecond, nil)
	if got := f.serving(); got["large"] != 18 || got["small"] != 6 {
		t.Errorf("%d large and %d small groups serve, want 18 and 6", got["large"], got["small"])
	}
	if len(f.violations) > 0 {
		t.Error(f.violations)
	}
}

// A new leader does not know the losses, so it keeps one spare as without the setting.
func TestNewLeaderWithUnknownLosses(t *testing.T) {
	var decisions [][]string
	for _, spares := range []bool{false, true} {
		f := scarceFleet(t, 1, true)
		f.replay(12*time.Second, nil, f.losses(false))
		f.run(20*time.Second, nil)
		f.spares = spares
		f.elect(f.copyRoster())
		f.decisions = 0
		f.run(5*time.Second, nil)
		decisions = append(decisions, []string{fmt.Sprint(f.decisions), fmt.Sprint(f.serving())})
	}
	if !slices.Equal(decisions[0], decisions[1]) {
		t.Errorf("decisions and groups of a new leader %v, without the setting %v", decisions[1], decisions[0])
	}
}

// unevenOptions is a fleet of domains that are large enough to keep several spares.
func unevenOptions(domains int) *fleetOptions {
	config := engineConfig()
	config.Models[0].Size = 6
	return &fleetOptions{domains: domains, perDomain: 18, config: config, spares: true}
}

// With spares sized by losses, and members taken from other groups, no member is in two groups and no incomplete group opens, whatever is
// lost or late.
func TestNoMemberIsInTwoGroupsWithSpares(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		f := newFleetOf(t, seed, unevenOptions(2))
		f.lateFraction, f.lostFraction = 0.15, 0.05
		f.run(12*time.Second, nil)
		f.demand = demandOf(f.config, float64(seed%3+1), float64(seed%5+3))
		copied := f.copyRoster()
		f.run(40*time.Second, func() {
			f.injectFault(&copied)
			if f.random.IntN(40) == 0 {
				f.replaceLost(2, anyMember)
			}
		})
		f.endFaults()
		// Nearly all upstreams have no weights then, and the store starts only some loads at a time.
		f.run(time.Minute, nil)
		f.checkRecovery(seed)
	}
	for seed := uint64(1); seed <= 20; seed++ {
		f := newFleetOf(t, seed, unevenOptions(1))
		f.injectWorstTiming(seed)
		if len(f.violations) > 0 {
			t.Errorf("seed %d: %v", seed, f.violations)
		}
	}
}
