package replicaset_test

import (
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/replicaset"
)

// The rate of the weight store applies to the loads of all leaders together, so a new leader must not add a burst of loads to that of the
// previous one.
func TestLoadRateAcrossLeaders(t *testing.T) {
	const window = 5 * time.Second
	f := newFleet(t, 3, 8, 8)
	f.run(12*time.Second, nil)
	starts := []time.Time{}
	f.loseOrder = func(o *replicaset.Order) bool {
		if o.Action == replicaset.ActionStage {
			starts = append(starts, f.now)
		}
		return false
	}
	// All hosts lose their weights, and the leader changes often.
	for _, e := range f.engines {
		e.stagedModel, e.reportDue = "", true
	}
	steps := 0
	f.run(20*time.Second, func() {
		if steps++; steps%30 == 0 {
			f.elect(f.copyRoster())
		}
	})
	maxStarts := 0
	for i := range starts {
		n := 0
		for _, at := range starts[i:] {
			if at.Sub(starts[i]) < window {
				n++
			}
		}
		maxStarts = max(maxStarts, n)
	}
	// The burst of the first leader, and three quarters of the store's rate.
	if allowed := 4 + int(window.Seconds()*f.config.LoadsPerSecond*3/4); maxStarts > allowed {
		t.Errorf("%d loads start within %v under several leaders, want at most %d", maxStarts, window, allowed)
	}
	if maxStarts == 0 {
		t.Error("no load starts, so the test checked nothing")
	}
}
