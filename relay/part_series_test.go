package relay_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

var (
	partSeriesFirst = flag.Uint64("part-series-first", 1, "first seed of TestBadPartsAmongOtherFaults")
	partSeriesCount = flag.Uint64("part-series", 4, "number of seeds of TestBadPartsAmongOtherFaults")
)

const (
	partSeriesDuration = 26 * time.Second
	// partSeriesFaults is how long other faults come, partSeriesRecovered when their effects must have ended.
	partSeriesFaults    = 14 * time.Second
	partSeriesRecovered = partSeriesFaults + partLostGrace
)

// randomPartScenario returns a scenario with up to three bad parts at random positions.
func randomPartScenario(random *rand.Rand) partScenario {
	position, badParts := random.IntN(3), 1+random.IntN(3)
	return partScenario{
		entries: 2 + random.IntN(20), lossRate: 0.33 * random.Float64(), rate: 0.5 + 8*random.Float64(), soundRate: 15 + 100*random.Float64(),
		duration: partSeriesDuration, badParts: badParts,
		header: func(n int) string {
			parts := slices.Insert([]string{"a0:300", fmt.Sprintf("5%d:100", n%partSubjects)}, position, fmt.Sprintf("bad%d:100", n%badParts))
			return strings.Join(parts, ",") + fmt.Sprintf(",d%d:50", n)
		},
	}
}

// addFaults crashes upstreams for other reasons and restarts entries.
func (c *partCluster) addFaults(random *rand.Rand) {
	for time.Since(c.startedAt) < partSeriesFaults {
		time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
		if random.IntN(3) == 0 {
			c.restartEntry(random.IntN(len(c.entries)))
			continue
		}
		first := random.IntN(partGroups)
		for i := range 1 + random.IntN(partGroups/4) {
			c.crashEngine((first + i) % partGroups)
		}
	}
}

// Guards against bad parts that reach more upstreams, and other requests that are refused for them, when upstreams crash for other reasons too,
// entries restart and updates are lost.
func TestBadPartsAmongOtherFaults(t *testing.T) {
	for seed := *partSeriesFirst; seed < *partSeriesFirst+*partSeriesCount; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 2))
			scenario := randomPartScenario(random)
			c := runPart(t, scenario, func(c *partCluster) {
				go c.addFaults(random)
				c.load()
			})
			before, after := c.servedFraction(0, partAt-partSettled), c.servedFraction(partSeriesRecovered, partSeriesDuration)
			t.Logf("%d entries, %.2f of updates lost, %.1f and %.0f requests per second with and without %d bad parts: %d upstreams crashed under these, %d late arrivals, %.2f of the others served before, %.2f after",
				scenario.entries, scenario.lossRate, scenario.rate, scenario.soundRate, scenario.badParts, len(c.crashes), c.lateArrivals(), before, after)
			if c.lateArrivals() > maxLateArrivals {
				t.Errorf("%d requests reached upstreams later than %v after the fifth crash, want at most %d", c.lateArrivals(), partContact, maxLateArrivals)
			}
			if after < 0.95*before {
				t.Errorf("%.2f of the other requests served, %.2f before, want at least 95%% of that", after, before)
			}
		})
	}
}
