package replicaset_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/dunlinquay/dunlinquay/replicaset"
)

// BenchmarkPlan plans for a site of 3,000 upstreams that loses members all the time.
func BenchmarkPlan(b *testing.B) {
	for _, spares := range []bool{false, true} {
		for _, small := range []float64{300, 420} {
			var groups []string
			var free []string
			for d := range 80 {
				domain := fmt.Sprintf("d%02d:", d)
				groups = append(groups, "large "+domain+strings.Repeat("W", 16))
				for range 4 {
					groups = append(groups, "small "+domain+"wwww")
				}
				free = append(free, domain+"WWWWw")
			}
			input := &replicaset.PlanInput{
				Engine: scarceConfig(), Free: candidates(free...), Groups: existingGroups(groups...), Demand: demandOf(scarceConfig(), 60, small), Usable: 3000,
				Spares: spares, LoadBudget: 4,
			}
			b.Run(fmt.Sprintf("spares=%v/small=%v", spares, small), func(b *testing.B) {
				for b.Loop() {
					replicaset.Plan(input)
				}
			})
		}
	}
}
