package replicaset

// Groups are closed for better ones in two cases: groups that span domains,
// when a domain has the members of a whole one among theirs and those that are
// free; and groups of a model that has more than it needs, when another model
// lacks one. Both happen one domain at a time, and only when the members
// suffice.

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
		list := p.roomIn(m, domain, closable)
		if len(list) > 0 && (best == nil || len(list) < len(best)) {
			best = list
		}
	}
	return best
}

// closable returns the groups that may end for one of m: those of m across domains, and where m is crowded those of
// models that have more than they need.
func (p *plan) closable(m *httproute.Model) []*Placed {
	surplus := map[ident.Model]int{}
	if p.crowded(m) {
		for name, served := range p.served {
			surplus[name] = int(served) - p.needs[name]
		}
	}
	var list []*Placed
	for i := range p.Groups {
		g := &p.Groups[i]
		switch {
		case !g.Settled:
		case g.Far && g.Model == m.Name:
			list = append(list, g)
		case g.Model != m.Name && surplus[g.Model] > 0:
			list = append(list, g)
		}
	}
	return list
}

func domainsOf(groups []*Placed) []ident.Domain {
	found := map[ident.Domain]bool{}
	for _, g := range groups {
		for i := range g.Members {
			found[g.Members[i].Domain] = true
		}
	}
	return sortedKeys(found)
}

// roomIn returns the groups to close so that domain has the members of a whole group of m, those with the most members
// there first; nothing when they would not suffice.
func (p *plan) roomIn(m *httproute.Model, domain ident.Domain, closable []*Placed) []Closing {
	n := countReady(m, domain, p.free)
	there := slices.Clone(closable)
	slices.SortStableFunc(there, func(a, b *Placed) int {
		return countReady(m, domain, b.Members) - countReady(m, domain, a.Members)
	})
	var list []Closing
	left := map[ident.Model]int{}
	for _, g := range there {
		gain := countReady(m, domain, g.Members)
		if n >= m.Size || gain == 0 {
			break
		}
		if g.Model != m.Name && left[g.Model] >= int(p.served[g.Model])-p.needs[g.Model] {
			continue
		}
		left[g.Model]++
		n += gain
		list = append(list, Closing{g.Name, domain})
	}
	if n < m.Size {
		return nil
	}
	return list
}

// countReady counts the upstreams of a domain that can join a group of m without a load.
func countReady(m *httproute.Model, domain ident.Domain, list []Candidate) int {
	n := 0
	for i := range list {
		if c := &list[i]; c.Domain == domain && readyIn(m, c) <= m.Warm {
			n++
		}
	}
	return n
}
