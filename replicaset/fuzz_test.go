package replicaset_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/replicaset"
	"github.com/dunlinquay/dunlinquay/roster"
)

// FuzzEngines forms groups with any engine figures that a configuration may contain. The leader must not panic or loop, since every later
// leader would fail in the same way.
func FuzzEngines(f *testing.F) {
	f.Add(26, 5, 4, 2, 0.67, 0.33, 1.0, int64(16*time.Second), int64(time.Second), 46000.0, 6, 4.0, 3.0, 10.0, false)
	f.Add(0, 1, 1, 1, 0.0, 0.0, 0.0, int64(0), int64(0), 0.0, 0, 0.0, 0.0, 0.0, false)
	f.Add(-1, 1, 1<<40, 1<<62, -1.0, 1e308, -5.0, int64(-1<<62), int64(1<<62), -1.0, -7, -1.0, -3.0, 1e300, false)
	f.Add(1<<62, 1<<62, 2, 1, 1e-300, 1e300, 1e300, int64(1), int64(-1), 1e-300, 1<<62, 1e300, 1e300, -1e300, false)
	f.Add(26, 5, 4, 2, 0.67, 0.33, 1.0, int64(16*time.Second), int64(time.Second), 46000.0, 6, 4.0, 3.0, 10.0, true)
	f.Add(0, 1, 1, 1, 0.0, 0.0, 0.0, int64(0), int64(0), 0.0, 0, 0.0, 0.0, 0.0, true)
	f.Add(-1, 1, 1<<40, 1<<62, -1.0, 1e308, -5.0, int64(-1<<62), int64(1<<62), -1.0, -7, -1.0, -3.0, 1e300, true)
	f.Add(1<<62, 1<<62, 2, 1, 1e-300, 1e300, 1e300, int64(1), int64(-1), 1e-300, 1<<62, 1e300, 1e300, -1e300, true)
	f.Fuzz(func(_ *testing.T, slots, stride, size, otherSize int, share, otherShare, pace float64, load, warm int64, readRate float64, concurrentLoads int, loadsPerSecond, crossDomainSlowdown, demand float64, spares bool) {
		engine := &httproute.Engine{
			Slots: slots, StepsPerIteration: max(1, stride), StepTime: 6 * time.Millisecond, StepTimePerSequence: time.Millisecond, PrefillRate: readRate, LoadsPerSecond: loadsPerSecond,
			ConcurrentLoads: concurrentLoads, OpenTime: time.Duration(warm), CrossDomainSlowdown: crossDomainSlowdown,
			Models: []httproute.Model{
				{Name: "a", Size: max(1, size), InitialShare: share, TimeFactor: pace, LoadTime: time.Duration(load), WarmLoadTime: time.Duration(warm)},
				{Name: "b", Size: max(1, otherSize), InitialShare: otherShare, TimeFactor: pace, LoadTime: time.Duration(load), WarmLoadTime: time.Duration(warm)},
			},
		}
		formation := replicaset.NewFormation()
		formation.Service, formation.Roster = "s", roster.New()
		formation.Send = func(replicaset.Order) {}
		epoch := ident.Epoch(0)
		formation.NextEpoch = func() ident.Epoch {
			epoch++
			return epoch
		}
		formation.RecordDecision = func(*roster.Group, string, string) {}
		formation.Spares = spares
		now := time.Unix(1_000_000, 0)
		snapshot := &replicaset.Snapshot{
			ReportAges: map[ident.Incarnation]time.Duration{}, Observations: map[ident.Group]replicaset.Observation{}, Unreachable: map[ident.Incarnation]bool{},
			Demand: map[ident.Model]float64{"a": demand, "b": 1},
		}
		for i := range 12 {
			id := ident.Incarnation(fmt.Sprint("u", i))
			snapshot.Upstreams = append(snapshot.Upstreams, roster.Upstream{
				ID: id, Service: "s", Address: "10.0.0.1:1", Domain: ident.Domain(fmt.Sprint("d", i/6)), Slots: slots,
			})
		}
		for n := range 20 {
			snapshot.Now = now.Add(time.Duration(n) * time.Second)
			if n == 0 {
				formation.Adopt(snapshot, engine)
				continue
			}
			formation.Step(snapshot, engine)
			formation.Explain()
		}
	})
}
