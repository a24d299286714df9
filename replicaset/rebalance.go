package replicaset

// Groups are closed for better ones in two cases, provided that their members and
// the free upstreams suffice for the new group:
//
//   - a group that spans domains or has slow members is replaced by a group of the
//     same model within one domain;
//   - a group of another model is replaced if this lowers the higher load of the
//     two models.
//
// Several domains may close groups at the same time, so expected groups count as
// existing ones.

import (
	"slices"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

// chooseClosings returns the groups to close for the first model, by need, that gains a group.
func (p *plan) chooseClosings() []Closing {
	if p.sparesApply() {
		return p.chooseExchanges()
	}
	for _, m := range p.byDeficit() {
		if closings := p.closingsFor(m); len(closings) > 0 {
			return closings
		}
	}
	return nil
}

// closingsFor returns the smallest set of groups to close so that some domain has the members of a group of m.
func (p *plan) closingsFor(m *httproute.Model) []Closing {
	closable := p.closableGroups(m)
	var best []Closing
	for _, domain := range domainsOf(closable) {
		if p.Expected[domain].Count > 0 {
			continue
		}
		closings := p.closingsIn(m, domain, closable)
		if len(closings) > 0 && (best == nil || len(closings) < len(best)) {
			best = closings
		}
	}
	return best
}

// closableGroups returns the settled groups that may be closed for one of m: degraded groups of m and, if m has a deficit, the groups of
// other models.
func (p *plan) closableGroups(m *httproute.Model) []*ExistingGroup {
	var groups []*ExistingGroup
	for i := range p.Groups {
		g := &p.Groups[i]
		if g.Settled && (g.Model != m.Name && p.hasDeficit(m.Name) || g.Model == m.Name && degraded(g)) {
			groups = append(groups, g)
		}
	}
	return groups
}

func domainsOf(groups []*ExistingGroup) []ident.Domain {
	domains := map[ident.Domain]bool{}
	for _, g := range groups {
		for i := range g.Members {
			domains[g.Members[i].Domain] = true
		}
	}
	return sortedKeys(domains)
}

// closingsIn returns the groups to close so that domain has the members of a group of m, those with the most members there first. It
// returns nil if the members would not suffice or closing is not worth the cost.
func (p *plan) closingsIn(m *httproute.Model, domain ident.Domain, closable []*ExistingGroup) []Closing {
	ready := countReady(m, domain, p.free)
	sorted := slices.Clone(closable)
	slices.SortStableFunc(sorted, func(a, b *ExistingGroup) int {
		return countReady(m, domain, b.Members) - countReady(m, domain, a.Members)
	})
	var toClose []*ExistingGroup
	for _, g := range sorted {
		gain := countReady(m, domain, g.Members)
		if ready >= m.Size || gain == 0 {
			break
		}
		if g.Model != m.Name && !p.worthClosing(m, (ready+gain)/m.Size, append(toClose, g)) {
			continue
		}
		ready += gain
		toClose = append(toClose, g)
	}
	if ready < m.Size {
		return nil
	}
	var closings []Closing
	for _, g := range toClose {
		closings = append(closings, Closing{Group: g.Name, Domain: domain, Expected: ExpectedGroups{m.Name, ready / m.Size}})
	}
	return closings
}

// worthClosing reports whether the higher load of two models becomes clearly lower if m gets newGroups and the donor, the model of the last
// group in toClose, loses its groups in toClose. Of the donor only the groups that already serve count, since those being formed do not help
// it yet.
func (p *plan) worthClosing(m *httproute.Model, newGroups int, toClose []*ExistingGroup) bool {
	donor := toClose[len(toClose)-1].Model
	donorModel, ok := p.Engine.Model(donor)
	if !ok {
		return false
	}
	lostCapacity := 0.0
	for _, g := range toClose {
		if g.Model == donor {
			lostCapacity += p.groupCapacity(g)
		}
	}
	loadBefore, loadAfter, donorLoad := p.load(m, 0), p.load(m, float64(max(1, newGroups))), p.openLoad(donorModel, -lostCapacity)
	minGain := minLoadGain
	if donorLoad <= plannedGroupLoad {
		// One group among many lowers the load of m only a little; closing is still worth it if the donor can spare the group.
		minGain = min(minLoadGain, minGainFraction*(loadBefore-loadAfter))
	}
	return max(loadAfter, donorLoad) < loadBefore-minGain
}

// countReady counts the upstreams of a domain that are not slow and can join a group of m without a load.
func countReady(m *httproute.Model, domain ident.Domain, candidates []Candidate) int {
	n := 0
	for i := range candidates {
		if c := &candidates[i]; c.Domain == domain && fastEnough(c) && hasWeights(m, c) {
			n++
		}
	}
	return n
}
