package replicaset_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/replicaset"
)

// Free upstreams whose weights don't make up a group of any model load others. Otherwise no group is ever formed.
func TestWeightsOfNoGroupAreReplaced(t *testing.T) {
	engine := &httproute.Engine{LoadsPerSecond: 50, ConcurrentLoads: 50, CrossDomainSlowdown: 3, Models: []httproute.Model{
		{Name: "large", Size: 4, InitialShare: 0.6, TimeFactor: 1, LoadTime: time.Second, WarmLoadTime: 100 * time.Millisecond},
		{Name: "small", Size: 2, InitialShare: 0.4, TimeFactor: 1, LoadTime: time.Second, WarmLoadTime: 100 * time.Millisecond},
	}}
	for _, spares := range []bool{false, true} {
		t.Run(fmt.Sprintf("spares %v", spares), func(t *testing.T) {
			d := replicaset.Plan(&replicaset.PlanInput{
				Engine: engine, Free: candidates("d0:LL", "d1:LS"), Usable: 4, LoadBudget: 8, Spares: spares,
				Demand: map[ident.Model]float64{"large": 1, "small": 2},
			})
			if len(d.Groups) == 0 && len(d.Stage) == 0 && len(d.WarmUp) == 0 {
				t.Errorf("no group is formed and no weights are loaded: %s", d.Reason)
			}
		})
	}
}
