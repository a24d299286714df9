package replicaset_test

import (
	"strings"
	"testing"
	"time"
)

// traceShown is how many lines of a trace a failing seed shows.
const traceShown = 120

// playSpite plays a small world in which orders are lost, late and unreadable, upstreams end, start again and are cut off, and leaders change,
// and in which late orders are carried out at the worst moment. It reports what broke.
func playSpite(t *testing.T, seed uint64) *fleet {
	f := newFleet(t, seed, 1, 10)
	f.run(12*time.Second, nil)
	f.lateShare, f.lostShare, f.garbledShare, f.strict, f.spite = 0.35, 0.1, 0.05, true, true
	f.demand = groupsOf(float64(seed%2+1), float64(seed%3+1))
	copied := f.copied()
	const cut, heal, demand, restart = 50, 50, 50, 60
	odds := func(n int) bool { return f.random.IntN(n) == 0 }
	f.run(40*time.Second, func() {
		f.trouble(&copied)
		switch list := f.alive(); {
		case odds(cut):
			f.cutOff(list[f.random.IntN(len(list))])
		case odds(heal):
			list[f.random.IntN(len(list))].cut = false
		case odds(demand):
			f.demand = groupsOf(float64(f.random.IntN(3)), float64(f.random.IntN(4)))
		case odds(restart):
			f.restart(list[f.random.IntN(len(list))])
		}
		for len(f.alive()) < 8 {
			f.add("domain-0", "hall-0", "")
		}
	})
	return f
}

// No member joins another group while the head of its own is open, whatever is lost, late or doubled, and whoever leads. In seed 137 a head
// that had left its group by its own word opened it again after a change of leaders: the new one did not know that it was bound.
func TestLateOrdersAtTheWorstMoment(t *testing.T) {
	seeds := []uint64{137}
	for seed := uint64(1); seed <= 40; seed++ {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		if f := playSpite(t, seed); len(f.faults) > 0 {
			t.Errorf("seed %d: %v\n%s", seed, f.faults, strings.Join(f.trace[max(0, len(f.trace)-traceShown):], "\n"))
		}
	}
}

// FuzzLateOrders goes through any seed.
func FuzzLateOrders(f *testing.F) {
	f.Add(uint64(137))
	f.Fuzz(func(t *testing.T, seed uint64) {
		if f := playSpite(t, seed); len(f.faults) > 0 {
			t.Errorf("%v", f.faults)
		}
	})
}
