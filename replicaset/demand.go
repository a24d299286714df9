package replicaset

import (
	"cmp"
	"math"
	"slices"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

// TargetGroups returns the number of groups of each model if all usable upstreams are divided by the models' declared shares.
func TargetGroups(input *PlanInput) map[ident.Model]int {
	shares := modelShares(input)
	targets := map[ident.Model]int{}
	remaining := input.Usable
	for {
		best := -1
		bestScore := 0.0
		for i := range input.Engine.Models {
			m := &input.Engine.Models[i]
			if m.Size > remaining || shares[m.Name] <= 0 {
				continue
			}
			score := shares[m.Name] / float64((targets[m.Name]+1)*m.Size)
			if best < 0 || score > bestScore {
				best, bestScore = i, score
			}
		}
		if best < 0 {
			return targets
		}
		targets[input.Engine.Models[best].Name]++
		remaining -= input.Engine.Models[best].Size
	}
}

// modelShares returns the declared shares, scaled to a sum of 1; without declared shares all models get the same.
func modelShares(input *PlanInput) map[ident.Model]float64 {
	shares := map[ident.Model]float64{}
	sum := 0.0
	for i := range input.Engine.Models {
		sum += input.Engine.Models[i].InitialShare
	}
	for i := range input.Engine.Models {
		m := &input.Engine.Models[i]
		shares[m.Name] = 1 / float64(len(input.Engine.Models))
		if sum > 0 {
			shares[m.Name] = m.InitialShare / sum
		}
	}
	return shares
}

// RequiredGroups returns how many groups of each model the demand requires; the map is empty while the demand is unknown.
func RequiredGroups(input *PlanInput) map[ident.Model]int {
	total := 0.0
	for _, modelDemand := range input.Demand {
		total += modelDemand
	}
	required := map[ident.Model]int{}
	if total <= 0 {
		return required
	}
	for i := range input.Engine.Models {
		m := &input.Engine.Models[i]
		required[m.Name] = max(1, int(math.Ceil(input.Demand[m.Name]/float64(m.Size)/plannedGroupLoad)))
	}
	return required
}

// deficit is the fraction of a model's wanted groups that is missing; 0 or less if the model has enough.
func (p *plan) deficit(m ident.Model) float64 {
	wanted := p.wantedGroups(m)
	if wanted == 0 {
		return 0
	}
	return (wanted - p.capacity[m]) / wanted
}

// wantedGroups is the number of groups that the demand requires or, while the demand is unknown, the target by declared shares.
func (p *plan) wantedGroups(m ident.Model) float64 {
	if len(p.requiredGroups) > 0 {
		return float64(p.requiredGroups[m])
	}
	return float64(p.targetGroups[m])
}

// hasDeficit reports whether the demand is known and m has fewer groups than the demand requires.
func (p *plan) hasDeficit(m ident.Model) bool {
	return len(p.requiredGroups) > 0 && p.deficit(m) > 0
}

func (p *plan) anyDeficit() bool {
	for i := range p.Engine.Models {
		if p.hasDeficit(p.Engine.Models[i].Name) {
			return true
		}
	}
	return false
}

// byDeficit returns the models sorted by need: first those with a deficit, then by load, highest first. Sorting by load keeps a group from
// being formed for one model while another group of that model is closed for a model with a higher load. While the demand is unknown,
// the larger deficit is first. Of equal models, the one with the larger groups is first, since large groups are harder to place.
func (p *plan) byDeficit() []*httproute.Model {
	var models []*httproute.Model
	for i := range p.Engine.Models {
		models = append(models, &p.Engine.Models[i])
	}
	slices.SortStableFunc(models, func(a, b *httproute.Model) int {
		if len(p.requiredGroups) == 0 {
			return cmp.Or(cmp.Compare(p.deficit(b.Name), p.deficit(a.Name)), cmp.Compare(b.Size, a.Size))
		}
		return cmp.Or(p.deficitFlag(b)-p.deficitFlag(a), cmp.Compare(p.load(b, 0), p.load(a, 0)), cmp.Compare(b.Size, a.Size))
	})
	return models
}

// deficitFlag is 1 for a model with a deficit and 0 otherwise, for sorting.
func (p *plan) deficitFlag(m *httproute.Model) int {
	if p.hasDeficit(m.Name) {
		return 1
	}
	return 0
}

// groupCapacity is the throughput of a group as a fraction of that of a group within one domain without slow members. The slowest member
// determines the speed.
func (p *plan) groupCapacity(g *ExistingGroup) float64 {
	slowdown := 1.0
	for i := range g.Members {
		slowdown = max(slowdown, g.Members[i].Slowdown)
	}
	if g.CrossDomain {
		return p.crossDomainCapacity() / slowdown
	}
	return 1 / slowdown
}

// crossDomainCapacity is the capacity of a group across domains without slow members.
func (p *plan) crossDomainCapacity() float64 {
	return 1 / max(1, p.Engine.CrossDomainSlowdown)
}

// degraded reports whether a group spans domains or has a slow member, and should be replaced by a group of the same model that does
// neither.
func degraded(g *ExistingGroup) bool {
	return g.CrossDomain || slices.ContainsFunc(g.Members, func(c Candidate) bool { return !fastEnough(&c) })
}

// load is the demand for m as a fraction of the throughput of its groups and of additional ones.
func (p *plan) load(m *httproute.Model, additional float64) float64 {
	return p.loadWith(m, p.capacity[m.Name]+additional)
}

// openLoad is load with only the groups that already serve.
func (p *plan) openLoad(m *httproute.Model, additional float64) float64 {
	return p.loadWith(m, p.openCapacity[m.Name]+additional)
}

func (p *plan) loadWith(m *httproute.Model, groups float64) float64 {
	demand := p.Demand[m.Name]
	switch {
	case demand <= 0:
		return 0
	case groups <= 0:
		return math.Inf(1)
	}
	return demand / (groups * float64(m.Size))
}
