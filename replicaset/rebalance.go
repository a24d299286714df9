package replicaset

// Groups are closed for better ones in two cases: groups that span domains or
// have slow members, when a domain has the members of a whole one among theirs
// and those that are free; and groups of another model, when the highest load of the two models
// becomes lower by it. Both happen only when the members suffice. While the
// groups of one domain end, others may begin to: what comes of it counts as
// there.

import (
	"slices"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

// chooseClosings returns the groups to close for the neediest model that gains by it.
func (p *plan) chooseClosings() []Closing {
	for _, m := range p.byDeficit() {
		if closings := p.closingsFor(m); len(closings) > 0 {
			return closings
		}
	}
	return nil
}

// closingsFor returns the fewest groups to close so that some domain has the members of a whole group of m.
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

// closableGroups returns the groups that may end for one of m: those of m across domains or with slow members, and where m is short
// those of the other models.
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

// closingsIn returns the groups to close so that domain has the members of a whole group of m, those with the most members
// there first; nothing when they would not suffice, or when it does not pay.
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
		closings = append(closings, Closing{g.Name, domain, ExpectedGroups{m.Name, ready / m.Size}})
	}
	return closings
}

// worthClosing reports whether the highest load becomes clearly lower if m gets so many groups and the model of the last group in
// ending loses its groups there. What forms does not help that model yet, so only its groups that serve count.
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
		// One group among many brings little, however many m lacks; it is still worth the move if the other model can spare it.
		minGain = min(minLoadGain, minGainFraction*(loadBefore-loadAfter))
	}
	return max(loadAfter, donorLoad) < loadBefore-minGain
}

// countReady counts the upstreams of a domain that can join a whole group of m without a load.
func countReady(m *httproute.Model, domain ident.Domain, candidates []Candidate) int {
	n := 0
	for i := range candidates {
		if c := &candidates[i]; c.Domain == domain && fastEnough(c) && hasWeights(m, c) {
			n++
		}
	}
	return n
}
