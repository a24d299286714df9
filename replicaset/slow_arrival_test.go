package replicaset_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ident"
)

// The upstreams of a new site arrive one after the other, with a gap after the first few. Small groups fit earlier than large ones, and must
// give way to them before the first request; otherwise the large model has no group within a domain for as long as no upstream is lost.
func TestSlowArrivalLeavesNoModelWithoutGroups(t *testing.T) {
	for _, gap := range []time.Duration{0, 400 * time.Millisecond, 2800 * time.Millisecond} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("gap %v seed %d", gap, seed+1), func(t *testing.T) {
				f := newFleetOf(t, seed+1, &fleetOptions{config: tightConfig(), spares: true})
				const domains, perDomain = 5, 10
				order := f.random.Perm(domains * perDomain)
				arrive := func() {
					n := order[0]
					order = order[1:]
					f.add(ident.Domain(fmt.Sprintf("domain-%d", n%domains)), ident.Hall(fmt.Sprintf("hall-%d", n%domains)), "")
				}
				for range domains {
					arrive()
				}
				f.run(gap, nil)
				f.run(9*time.Second-gap, func() {
					if len(order) > 0 {
						arrive()
					}
				})
				f.run(4*time.Second, nil)
				// The targets are 3 and 6 groups. The domains have room for all of one model and two thirds of the other.
				got := f.serving()
				if !cmp.Equal(got, map[ident.Model]int{"large": 2, "small": 6}) && !cmp.Equal(got, map[ident.Model]int{"large": 3, "small": 4}) {
					t.Errorf("%v groups serve, want 2 large and 6 small ones, or 3 and 4", got)
				}
				if len(f.violations) > 0 {
					t.Error(f.violations)
				}
			})
		}
	}
}
