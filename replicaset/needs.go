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
func TargetGroups(s *PlanInput) map[ident.Model]int {
	weights := weightsOf(s)
	targets := map[ident.Model]int{}
	left := s.Usable
	for {
		best := -1
		bestScore := 0.0
		for i := range s.Engine.Models {
			m := &s.Engine.Models[i]
			if m.Size > left || weights[m.Name] <= 0 {
				continue
			}
			score := weights[m.Name] / float64((targets[m.Name]+1)*m.Size)
			if best < 0 || score > bestScore {
				best, bestScore = i, score
			}
		}
		if best < 0 {
			return targets
		}
		targets[s.Engine.Models[best].Name]++
		left -= s.Engine.Models[best].Size
	}
}

func weightsOf(s *PlanInput) map[ident.Model]float64 {
	weights := map[ident.Model]float64{}
	shares := 0.0
	for i := range s.Engine.Models {
		shares += s.Engine.Models[i].Share
	}
	for i := range s.Engine.Models {
		m := &s.Engine.Models[i]
		weights[m.Name] = 1 / float64(len(s.Engine.Models))
		if shares > 0 {
			weights[m.Name] = m.Share / shares
		}
	}
	return weights
}

// RequiredGroups returns how many whole groups of each model carry the demand; nothing while no demand is known.
func RequiredGroups(s *PlanInput) map[ident.Model]int {
	demand := 0.0
	for _, work := range s.Demand {
		demand += work
	}
	needs := map[ident.Model]int{}
	if demand <= 0 {
		return needs
	}
	for i := range s.Engine.Models {
		m := &s.Engine.Models[i]
		needs[m.Name] = max(1, int(math.Ceil(s.Demand[m.Name]/float64(m.Size)/groupLoad)))
	}
	return needs
}

// need is the part of a model's groups that is missing; 0 or less when it has enough.
func (p *plan) need(m ident.Model) float64 {
	wanted := p.wanted(m)
	if wanted == 0 {
		return 0
	}
	return (wanted - p.served[m]) / wanted
}

// wanted is the number of groups that m should have.
func (p *plan) wanted(m ident.Model) float64 {
	if len(p.needs) > 0 {
		return float64(p.needs[m])
	}
	return float64(p.targets[m])
}

// short reports whether m is known to have fewer groups than its demand needs.
func (p *plan) short(m ident.Model) bool {
	return len(p.needs) > 0 && p.need(m) > 0
}

func (p *plan) anyShort() bool {
	for i := range p.Engine.Models {
		if p.short(p.Engine.Models[i].Name) {
			return true
		}
	}
	return false
}

// byNeed returns the models, the neediest first: those that lack groups, then the one with the highest load, so that no group
// is begun and another one of its model ends for a model that needs it more. While demand is not known the part of the groups
// that is missing decides. Of equal ones the one with the larger groups comes first, which are harder to place.
func (p *plan) byNeed() []*httproute.Model {
	var list []*httproute.Model
	for i := range p.Engine.Models {
		list = append(list, &p.Engine.Models[i])
	}
	slices.SortStableFunc(list, func(a, b *httproute.Model) int {
		if len(p.needs) == 0 {
			return cmp.Or(cmp.Compare(p.need(b.Name), p.need(a.Name)), cmp.Compare(b.Size, a.Size))
		}
		return cmp.Or(p.lacks(b)-p.lacks(a), cmp.Compare(p.load(b, 0), p.load(a, 0)), cmp.Compare(b.Size, a.Size))
	})
	return list
}

// lacks is 1 for a model that lacks groups, for sorting.
func (p *plan) lacks(m *httproute.Model) int {
	if p.short(m.Name) {
		return 1
	}
	return 0
}

// part is what a group carries, in parts of a whole one: it runs at its slowest member's pace.
func (p *plan) part(g *ExistingGroup) float64 {
	pace := 1.0
	for i := range g.Members {
		pace = max(pace, g.Members[i].Slowdown)
	}
	if g.CrossDomain {
		return p.farPart() / pace
	}
	return 1 / pace
}

// farPart is what a group across domains carries.
func (p *plan) farPart() float64 {
	return 1 / max(1, p.Engine.FarFactor)
}

// lame reports whether a group is worth ending for a whole one of its model: it spans domains or has a slow member.
func lame(g *ExistingGroup) bool {
	return g.CrossDomain || slices.ContainsFunc(g.Members, func(c Candidate) bool { return !quick(&c) })
}

// load is the part of the throughput of m's groups that is asked for, if it had so many more of them.
func (p *plan) load(m *httproute.Model, more float64) float64 {
	return p.loadOf(m, p.served[m.Name]+more)
}

// loadNow is the same for the groups that serve already.
func (p *plan) loadNow(m *httproute.Model, more float64) float64 {
	return p.loadOf(m, p.open[m.Name]+more)
}

func (p *plan) loadOf(m *httproute.Model, groups float64) float64 {
	demand := p.Demand[m.Name]
	switch {
	case demand <= 0:
		return 0
	case groups <= 0:
		return math.Inf(1)
	}
	return demand / (groups * float64(m.Size))
}
