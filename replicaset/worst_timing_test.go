package replicaset_test

import (
	"strings"
	"testing"
	"time"
)

// traceLines is how many lines of the trace are printed for a failing seed.
const traceLines = 120

// runWorstTiming simulates a small fleet with lost, late and unreadable orders, upstreams that end, restart or are cut off, and changes of
// the leader, in which late orders are executed at the worst moment.
func runWorstTiming(t *testing.T, seed uint64) *fleet {
	f := newFleet(t, seed, 1, 10)
	f.injectWorstTiming(seed)
	return f
}

func (f *fleet) injectWorstTiming(seed uint64) {
	f.run(12*time.Second, nil)
	f.lateFraction, f.lostFraction, f.unreadableFraction, f.strict, f.worstTiming = 0.35, 0.1, 0.05, true, true
	f.demand = demandFor(float64(seed%2+1), float64(seed%3+1))
	copied := f.copyRoster()
	const cut, reconnect, demand, restart = 50, 50, 50, 60
	oneIn := func(n int) bool { return f.random.IntN(n) == 0 }
	f.run(40*time.Second, func() {
		f.injectFault(&copied)
		switch engines := f.living(); {
		case oneIn(cut):
			f.cutOffRefusing(engines[f.random.IntN(len(engines))])
		case oneIn(reconnect):
			engines[f.random.IntN(len(engines))].cutOff = false
		case oneIn(demand):
			f.demand = demandFor(float64(f.random.IntN(3)), float64(f.random.IntN(4)))
		case oneIn(restart):
			f.restart(engines[f.random.IntN(len(engines))])
		}
		for len(f.living()) < 8 {
			f.add("domain-0", "hall-0", "")
		}
	})
}

// No member joins another group while the head of its own is open, even if orders are lost, late or repeated and leaders change. In seed 137,
// a head that had confirmed that it left its group opened the group again after a change of leaders, because the new leader did not know
// that the head was bound.
func TestLateOrdersAtTheWorstMoment(t *testing.T) {
	seeds := []uint64{137}
	for seed := uint64(1); seed <= 40; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		if f := runWorstTiming(t, seed); len(f.violations) > 0 {
			t.Errorf("seed %d: %v\n%s", seed, f.violations, strings.Join(f.trace[max(0, len(f.trace)-traceLines):], "\n"))
		}
	}
}

// FuzzLateOrders is TestLateOrdersAtTheWorstMoment for any seed.
func FuzzLateOrders(f *testing.F) {
	f.Add(uint64(137))
	f.Fuzz(func(t *testing.T, seed uint64) {
		if f := runWorstTiming(t, seed); len(f.violations) > 0 {
			t.Errorf("%v", f.violations)
		}
	})
}
