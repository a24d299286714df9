package replicaset

import (
	"cmp"
	"math"
	"slices"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

// TargetGroups returns the number of groups that each model would have if all upstreams were used: by declared shares, or in
// proportion to demand where it is known.
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

func modelShares(input *PlanInput) map[ident.Model]float64 {
	shares := map[ident.Model]float64{}
	sum := 0.0
	for i := range input.Engine.Models {
		sum += input.Engine.Models[i].Share
	}
	for i := range input.Engine.Models {
		m := &input.Engine.Models[i]
		shares[m.Name] = 1 / float64(len(input.Engine.Models))
		if sum > 0 {
			shares[m.Name] = m.Share / sum
		}
	}
	return shares
}

// RequiredGroups returns how many whole groups of each model carry the demand; nothing while no demand is known.
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

// deficit is the part of a model's groups that is missing; 0 or less when it has enough.
func (p *plan) deficit(m ident.Model) float64 {
	wanted := p.wantedGroups(m)
	if wanted == 0 {
		return 0
	}
	return (wanted - p.capacity[m]) / wanted
}

// wantedGroups is the number of groups that m should have.
func (p *plan) wantedGroups(m ident.Model) float64 {
	if len(p.requiredGroups) > 0 {
		return float64(p.requiredGroups[m])
	}
	return float64(p.targetGroups[m])
}

// hasDeficit reports whether m is known to have fewer groups than its demand needs.
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

// byDeficit returns the models, the neediest first: those that lack groups, then the one with the highest load, so that no group
// is begun and another one of its model ends for a model that needs it more. While demand is not known the part of the groups
// that is missing decides. Of equal ones the one with the larger groups comes first, which are harder to place.
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

// deficitFlag is 1 for a model that lacks groups, for sorting.
func (p *plan) deficitFlag(m *httproute.Model) int {
	if p.hasDeficit(m.Name) {
		return 1
	}
	return 0
}

// groupCapacity is what a group carries, in parts of a whole one: it runs at its slowest member's pace.
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

// crossDomainCapacity is what a group across domains carries.
func (p *plan) crossDomainCapacity() float64 {
	return 1 / max(1, p.Engine.FarFactor)
}

// degraded reports whether a group is worth ending for a whole one of its model: it spans domains or has a slow member.
func degraded(g *ExistingGroup) bool {
	return g.CrossDomain || slices.ContainsFunc(g.Members, func(c Candidate) bool { return !fastEnough(&c) })
}

// load is the part of the throughput of m's groups that is asked for, if it had so many more of them.
func (p *plan) load(m *httproute.Model, additional float64) float64 {
	return p.loadWith(m, p.capacity[m.Name]+additional)
}

// openLoad is the same for the groups that serve already.
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
