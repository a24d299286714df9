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

// makeRoom returns the groups to close for the neediest model that gains by it.
func (p *plan) makeRoom() []Closing {
	for _, m := range p.byNeed() {
		if list := p.roomFor(m); len(list) > 0 {
			return list
		}
	}
	return nil
}

// roomFor returns the fewest groups to close so that some domain has the members of a whole group of m.
func (p *plan) roomFor(m *httproute.Model) []Closing {
	closable := p.closable(m)
	var best []Closing
	for _, domain := range domainsOf(closable) {
		if p.Expected[domain].Count > 0 {
			continue
		}
		list := p.roomIn(m, domain, closable)
		if len(list) > 0 && (best == nil || len(list) < len(best)) {
			best = list
		}
	}
	return best
}

// closable returns the groups that may end for one of m: those of m across domains or with slow members, and where m is short
// those of the other models.
func (p *plan) closable(m *httproute.Model) []*ExistingGroup {
	var list []*ExistingGroup
	for i := range p.Groups {
		g := &p.Groups[i]
		if g.Settled && (g.Model != m.Name && p.short(m.Name) || g.Model == m.Name && lame(g)) {
			list = append(list, g)
		}
	}
	return list
}

func domainsOf(groups []*ExistingGroup) []ident.Domain {
	found := map[ident.Domain]bool{}
	for _, g := range groups {
		for i := range g.Members {
			found[g.Members[i].Domain] = true
		}
	}
	return sortedKeys(found)
}

// roomIn returns the groups to close so that domain has the members of a whole group of m, those with the most members
// there first; nothing when they would not suffice, or when it does not pay.
func (p *plan) roomIn(m *httproute.Model, domain ident.Domain, closable []*ExistingGroup) []Closing {
	n := countReady(m, domain, p.free)
	there := slices.Clone(closable)
	slices.SortStableFunc(there, func(a, b *ExistingGroup) int {
		return countReady(m, domain, b.Members) - countReady(m, domain, a.Members)
	})
	var ending []*ExistingGroup
	for _, g := range there {
		gain := countReady(m, domain, g.Members)
		if n >= m.Size || gain == 0 {
			break
		}
		if g.Model != m.Name && !p.pays(m, (n+gain)/m.Size, append(ending, g)) {
			continue
		}
		n += gain
		ending = append(ending, g)
	}
	if n < m.Size {
		return nil
	}
	var list []Closing
	for _, g := range ending {
		list = append(list, Closing{g.Name, domain, ExpectedGroups{m.Name, n / m.Size}})
	}
	return list
}

// pays reports whether the highest load becomes clearly lower if m gets so many groups and the model of the last group in
// ending loses its groups there. What forms does not help that model yet, so only its groups that serve count.
func (p *plan) pays(m *httproute.Model, more int, ending []*ExistingGroup) bool {
	other := ending[len(ending)-1].Model
	o, ok := p.Engine.Model(other)
	if !ok {
		return false
	}
	lost := 0.0
	for _, g := range ending {
		if g.Model == other {
			lost += p.part(g)
		}
	}
	before, after, donor := p.load(m, 0), p.load(m, float64(max(1, more))), p.loadNow(o, -lost)
	least := moveGain
	if donor <= groupLoad {
		// One group among many brings little, however many m lacks; it is still worth the move if the other model can spare it.
		least = min(moveGain, movePart*(before-after))
	}
	return max(after, donor) < before-least
}

// countReady counts the upstreams of a domain that can join a whole group of m without a load.
func countReady(m *httproute.Model, domain ident.Domain, list []Candidate) int {
	n := 0
	for i := range list {
		if c := &list[i]; c.Domain == domain && quick(c) && hasWeights(m, c) {
			n++
		}
	}
	return n
}
