package replicaset_test

import (
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/replicaset"
)

// The store takes so many loads a second from all upstreams, whoever leads: a new leader does not begin with a burst of its own beside its
// predecessor's.
func TestLoadsOfSeveralLeaders(t *testing.T) {
	const window = 5 * time.Second
	f := newFleet(t, 3, 8, 8)
	f.run(12*time.Second, nil)
	began := []time.Time{}
	f.lose = func(o *replicaset.Order) bool {
		if o.Action == replicaset.ActionStage {
			began = append(began, f.now)
		}
		return false
	}
	// All hosts lose their weights, and leaders follow each other quickly.
	for _, e := range f.engines {
		e.staged, e.changed = "", true
	}
	steps := 0
	f.run(20*time.Second, func() {
		if steps++; steps%30 == 0 {
			f.elect(f.copied())
		}
	})
	most := 0
	for i := range began {
		n := 0
		for _, at := range began[i:] {
			if at.Sub(began[i]) < window {
				n++
			}
		}
		most = max(most, n)
	}
	// A burst of the first leader, and the part of the rate that is used.
	if allowed := 4 + int(window.Seconds()*f.model.LoadsPerSecond*3/4); most > allowed {
		t.Errorf("%d loads begin within %v under several leaders, want %d at most", most, window, allowed)
	}
	if most == 0 {
		t.Error("no load begins: the test shows nothing")
	}
}
