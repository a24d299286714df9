package replicaset_test

import (
	"testing"
	"time"
)

// Upstreams that are lost while they load weights stay in the roster for a while. Their loads must not keep other upstreams from loading.
func TestLoadsOfLostUpstreamsDoNotCount(t *testing.T) {
	f := newFleet(t, 11, 2, 8)
	f.run(12*time.Second, nil)
	f.demand = demandFor(2, 2)
	f.run(20*time.Second, nil)
	replace := func(n int) []*engine {
		var added []*engine
		for range n {
			added = append(added, f.add(f.engines[0].domain, f.engines[0].hall, ""))
		}
		f.run(5*time.Second, nil)
		return added
	}
	loading := func(engines []*engine) int {
		n := 0
		for _, e := range engines {
			if e.stagingModel != "" {
				n++
			}
		}
		return n
	}
	first := replace(f.config.ConcurrentLoads)
	if n := loading(first); n != f.config.ConcurrentLoads {
		t.Fatalf("%d upstreams load weights, want %d", n, f.config.ConcurrentLoads)
	}
	for _, e := range first {
		f.kill(e)
	}
	if n := loading(replace(4)); n != 4 {
		t.Errorf("%d of 4 new upstreams load weights after those that were loading were lost", n)
	}
}
