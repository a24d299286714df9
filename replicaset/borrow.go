package replicaset

// When a domain lacks a few members for a group of a large model, they are taken
// from a group of another model in the same domain. Waiting until the large model
// lacks groups by its demand costs more: by then the members that remained of its
// lost group have been used for other groups, and several groups have to be closed
// for one of the large model.
//
// Example: 14 members of a group of 16 and one spare remain. One group of 4 is
// closed, and three of its members would be free again without the large group.

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

// sparesApply reports whether the demand is known and lost groups are formed again by exchanges.
func (p *plan) sparesApply() bool {
	return p.Spares && len(p.requiredGroups) > 0
}

// exchange is a set of groups of one domain to close for groups of another model.
type exchange struct {
	closings []Closing
	worth    exchangeWorth
}

// maxExchanges bounds the exchanges of one step, since each of them is chosen anew from all groups and the leader has to handle messages
// meanwhile; the next step follows within 50 ms.
const maxExchanges = 8

// chooseExchanges returns the groups to close, in as many domains as the models need.
func (p *plan) chooseExchanges() []Closing {
	var closings []Closing
	p.expectRestored()
	for range maxExchanges {
		best := p.bestExchange()
		if best == nil {
			break
		}
		closings = append(closings, best.closings...)
		p.applyExchange(best)
	}
	return closings
}

// expectRestored counts the lost groups that their remaining members and the spares form again without an exchange, and reserves their
// domains.
func (p *plan) expectRestored() {
	models := p.bySize()
	for _, domain := range sortedKeys(p.domainSizes) {
		for i := range models {
			if m := &models[i]; p.Expected[domain].Count == 0 && p.lostGroup(m, domain) && p.readyMembers(m, domain) >= m.Size {
				p.expectGroups(domain, ExpectedGroups{m.Name, 1}, p.Groups)
			}
		}
	}
}

// bestExchange returns the exchange with the largest gain for the first model, by need, that gains a group.
func (p *plan) bestExchange() *exchange {
	for _, m := range p.byDeficit() {
		if best := p.bestExchangeFor(m); best != nil {
			return best
		}
	}
	return nil
}

func (p *plan) bestExchangeFor(m *httproute.Model) *exchange {
	replaceable := slices.ContainsFunc(p.Groups, func(g ExistingGroup) bool { return g.Model == m.Name && degraded(&g) })
	var best *exchange
	for _, domain := range sortedKeys(p.domainSizes) {
		if p.Expected[domain].Count > 0 || !replaceable && !p.hasDeficit(m.Name) && !p.lostGroup(m, domain) {
			continue
		}
		e := p.exchangeIn(m, domain, func(g *ExistingGroup) bool { return g.Settled })
		if e != nil && (best == nil || e.worth.gain() > best.worth.gain()) {
			best = e
		}
	}
	return best
}

// exchangeIn returns the groups to close so that a domain has the members of a group of m, those whose model misses them least first, of the
// groups that accept selects. It returns nil if the members would not suffice or the exchange is not worth its cost.
func (p *plan) exchangeIn(m *httproute.Model, domain ident.Domain, accept func(g *ExistingGroup) bool) *exchange {
	ready := p.readyMembers(m, domain)
	members := slices.Concat(readyIn(m, domain, p.free), readyIn(m, domain, p.Ending))
	var toClose []*ExistingGroup
	for _, g := range p.donors(m, domain, m.Size-ready, accept) {
		if ready >= m.Size {
			break
		}
		added := readyIn(m, domain, g.Members)
		// Whether the time that it takes is worth it is known only once all groups to close are.
		worth := p.worthOf(m, (ready+len(added))/m.Size, append(toClose, g), 0)
		if !p.worthwhile(m, domain, append(toClose, g), &worth) {
			continue
		}
		ready += len(added)
		members = append(members, added...)
		toClose = append(toClose, g)
	}
	if ready < m.Size || len(toClose) == 0 {
		return nil
	}
	e := &exchange{worth: p.worthOf(m, ready/m.Size, toClose, p.exchangeDelay(m, members))}
	if !p.worthwhile(m, domain, toClose, &e.worth) {
		return nil
	}
	expected := ExpectedGroups{m.Name, ready / m.Size}
	for _, g := range toClose {
		e.closings = append(e.closings, Closing{Group: g.Name, Domain: domain, Expected: expected, Reason: p.describeExchange(m, domain, g, &e.worth)})
	}
	return e
}

// worthwhile reports whether closing groups for m is worth it: the higher load of the models falls, or a lost group of m is formed again from
// the members that remain of it and a few of a model that keeps its required groups.
func (p *plan) worthwhile(m *httproute.Model, domain ident.Domain, toClose []*ExistingGroup, worth *exchangeWorth) bool {
	switch {
	case allOf(m, toClose):
		return true
	case p.lostGroup(m, domain) && p.keepsRequired(m, toClose) && worth.restores():
		return true
	}
	return p.hasDeficit(m.Name) && worth.worthwhile()
}

// allOf reports whether all groups are of m, so that none is lost for another model.
func allOf(m *httproute.Model, groups []*ExistingGroup) bool {
	return !slices.ContainsFunc(groups, func(g *ExistingGroup) bool { return g.Model != m.Name })
}

// donors returns the groups that may be closed for one of m that lacks members in a domain: degraded groups of m and groups of other models.
// Those that provide the missing members are first, then those whose model has the lowest load afterwards, then those with the weights in
// use.
func (p *plan) donors(m *httproute.Model, domain ident.Domain, missing int, accept func(g *ExistingGroup) bool) []*ExistingGroup {
	var donors []*ExistingGroup
	for i := range p.Groups {
		g := &p.Groups[i]
		if accept(g) && (g.Model != m.Name || degraded(g)) && countReady(m, domain, g.Members) > 0 {
			donors = append(donors, g)
		}
	}
	provided := func(g *ExistingGroup) int { return min(missing, countReady(m, domain, g.Members)) }
	slices.SortStableFunc(donors, func(a, b *ExistingGroup) int {
		return cmp.Or(
			provided(b)-provided(a), cmp.Compare(p.loadWithout(a), p.loadWithout(b)),
			countLast(m, domain, b.Members)-countLast(m, domain, a.Members), countReady(m, domain, b.Members)-countReady(m, domain, a.Members))
	})
	return donors
}

// loadWithout is the load of a group's model once the group is closed.
func (p *plan) loadWithout(g *ExistingGroup) float64 {
	m, ok := p.Engine.Model(g.Model)
	if !ok {
		return 0
	}
	return p.openLoad(m, -p.groupCapacity(g))
}

// exchangeDelay is the time until a group of m serves that is formed of the members once groups have closed.
func (p *plan) exchangeDelay(m *httproute.Model, members []Candidate) time.Duration {
	return replaceTimeout + fastestMembers(m, members).ReadyIn + p.Engine.OpenTime
}

// readyIn returns the upstreams of a domain that countReady counts.
func readyIn(m *httproute.Model, domain ident.Domain, candidates []Candidate) []Candidate {
	var ready []Candidate
	for i := range candidates {
		if c := &candidates[i]; c.Domain == domain && fastEnough(c) && hasWeights(m, c) {
			ready = append(ready, *c)
		}
	}
	return ready
}

func (p *plan) describeExchange(m *httproute.Model, domain ident.Domain, g *ExistingGroup, worth *exchangeWorth) string {
	if g.Model == m.Name {
		return ""
	}
	return fmt.Sprintf("members are taken from %s for %s in domain %s, which had %d: load of %s from %.2f to %.2f within %.1f s, of %s then %.2f",
		g.Model, m.Name, domain, p.readyMembers(m, domain), m.Name, worth.before, worth.after, worth.delay.Seconds(), g.Model, worth.donor)
}

// applyExchange counts the groups of an exchange as closed, and reserves the free upstreams of its domain.
func (p *plan) applyExchange(e *exchange) {
	var remaining []ExistingGroup
	for i := range p.Groups {
		g := p.Groups[i]
		if !slices.ContainsFunc(e.closings, func(c Closing) bool { return c.Group == g.Name }) {
			remaining = append(remaining, g)
			continue
		}
		p.capacity[g.Model] -= p.groupCapacity(&g)
		p.openCapacity[g.Model] -= p.groupCapacity(&g)
		if !g.CrossDomain {
			p.localGroups[g.Members[0].Domain][g.Model]--
		}
	}
	p.expectGroups(e.closings[0].Domain, e.closings[0].Expected, remaining)
}

// expectGroups counts the new groups of a domain, reserves its free upstreams, and keeps the remaining groups in the input.
func (p *plan) expectGroups(domain ident.Domain, expected ExpectedGroups, remaining []ExistingGroup) {
	input := *p.PlanInput
	input.Groups = remaining
	input.Expected = maps.Clone(input.Expected)
	if input.Expected == nil {
		input.Expected = map[ident.Domain]ExpectedGroups{}
	}
	input.Expected[domain] = expected
	for range expected.Count {
		p.addGroup(expected.Model, 1, false, domain)
	}
	p.PlanInput = &input
	p.free = slices.DeleteFunc(slices.Clone(p.free), func(c Candidate) bool { return c.Domain == domain })
}

// takesRemaining reports whether a group of m would take members that remain of a lost group of a larger model, which can be formed again.
func (p *plan) takesRemaining(m *httproute.Model, domain ident.Domain, remaining []Candidate) bool {
	for i := range p.Engine.Models {
		larger := &p.Engine.Models[i]
		if larger.Size <= m.Size || !p.lostGroup(larger, domain) {
			continue
		}
		left := countReady(larger, domain, remaining) + countReady(larger, domain, p.Ending)
		if left < larger.Size && p.canRestore(larger, domain) {
			return true
		}
	}
	return false
}

// isLarge reports whether another model has smaller groups than m.
func (p *plan) isLarge(m *httproute.Model) bool {
	return slices.ContainsFunc(p.Engine.Models, func(other httproute.Model) bool { return other.Size < m.Size })
}

// lostGroup reports whether most members of a lost group of a large model remain in a domain.
func (p *plan) lostGroup(m *httproute.Model, domain ident.Domain) bool {
	return p.isLarge(m) && 2*(countLast(m, domain, p.free)+countLast(m, domain, p.Ending)) > m.Size
}

// canRestore reports whether a domain has the members of a group of m, or can take the missing ones from another group.
func (p *plan) canRestore(m *httproute.Model, domain ident.Domain) bool {
	return p.readyMembers(m, domain) >= m.Size || p.exchangeIn(m, domain, func(g *ExistingGroup) bool { return g.Open }) != nil
}

// readyMembers counts the upstreams of a domain that are free, or will be soon, and can join a group of m without a load.
func (p *plan) readyMembers(m *httproute.Model, domain ident.Domain) int {
	return countReady(m, domain, p.free) + countReady(m, domain, p.Ending)
}

// countLast counts the upstreams of a domain that are not slow and whose last group was of m.
func countLast(m *httproute.Model, domain ident.Domain, candidates []Candidate) int {
	n := 0
	for i := range candidates {
		if c := &candidates[i]; c.Domain == domain && fastEnough(c) && c.LastModel == m.Name {
			n++
		}
	}
	return n
}
