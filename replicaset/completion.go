package replicaset

// A group is formed only from upstreams that have the weights. When a model lacks
// groups and no domain has the members of another one, the members that a domain
// lacks load the weights, while they stay in use. Once they have them, the group
// is formed as usual, by closing other groups if need be.
//
// Example: a domain of 10 has two groups of 4 of a small model and 2 spares. The
// large model needs 8 members, of which the domain has 6 with the weights on their
// hosts. Two other members load them, and the small groups serve meanwhile.

import (
	"cmp"
	"slices"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

// maxCompletions bounds the groups that one step loads weights for, like maxExchanges.
const maxCompletions = 8

// completion is a group that can be formed once some of its members have loaded the weights.
type completion struct {
	model   *httproute.Model
	members []*Candidate
	// loads are the members that neither have the weights nor are loading them.
	loads  []*Candidate
	donors []*ExistingGroup
}

// better reports whether c is preferred to other: it needs fewer loads, then fewer groups to close, then waits for more loads in progress.
func (c *completion) better(other *completion) bool {
	if other == nil {
		return true
	}
	return cmp.Or(len(c.loads)-len(other.loads), len(c.donors)-len(other.donors), other.loading()-c.loading()) < 0
}

// loading counts the members that are loading the weights.
func (c *completion) loading() int {
	n := 0
	for _, m := range c.members {
		if m.Staging == c.model.Name {
			n++
		}
	}
	return n
}

// completionPool holds the upstreams and groups of the domains that no planned completion uses.
type completionPool struct {
	idle   map[ident.Domain][]*Candidate
	donors map[ident.Domain][]*ExistingGroup
}

func (p *plan) newCompletionPool() *completionPool {
	pool := &completionPool{map[ident.Domain][]*Candidate{}, map[ident.Domain][]*ExistingGroup{}}
	for _, candidates := range [][]Candidate{p.free, p.Ending} {
		for i := range candidates {
			c := &candidates[i]
			if p.Expected[c.Domain].Count == 0 {
				pool.idle[c.Domain] = append(pool.idle[c.Domain], c)
			}
		}
	}
	for i := range p.Groups {
		g := &p.Groups[i]
		for _, domain := range domainsOf([]*ExistingGroup{g}) {
			if g.Settled && p.Expected[domain].Count == 0 {
				pool.donors[domain] = append(pool.donors[domain], g)
			}
		}
	}
	return pool
}

// remove takes the members and donors of a completion out of the pool.
func (pool *completionPool) remove(c *completion) {
	for domain := range pool.idle {
		pool.idle[domain] = slices.DeleteFunc(pool.idle[domain], func(u *Candidate) bool { return slices.Contains(c.members, u) })
	}
	for domain := range pool.donors {
		pool.donors[domain] = slices.DeleteFunc(pool.donors[domain], func(g *ExistingGroup) bool { return slices.Contains(c.donors, g) })
	}
}

// chooseMissingLoads chooses the loads that complete groups of the models that lack some, and counts these groups as existing.
func (p *plan) chooseMissingLoads() []WeightLoad {
	var loads []WeightLoad
	if len(p.requiredGroups) == 0 || p.BeforeFirstRequest || p.loadsLeft < 1 {
		return loads
	}
	pool := p.newCompletionPool()
	for range maxCompletions {
		c := p.nextCompletion(pool)
		if c == nil {
			break
		}
		pool.remove(c)
		p.applyCompletion(c)
		for _, member := range c.loads {
			if p.loadsLeft < 1 {
				return loads
			}
			loads = append(loads, WeightLoad{member.ID, c.model.Name})
			p.loadsLeft--
		}
	}
	return loads
}

// nextCompletion returns the best completion for the first model, by need, that has one; groups across domains come last.
func (p *plan) nextCompletion(pool *completionPool) *completion {
	models := slices.DeleteFunc(p.byDeficit(), func(m *httproute.Model) bool { return !p.hasDeficit(m.Name) })
	for _, m := range models {
		if c := p.localCompletion(m, pool); c != nil {
			return c
		}
	}
	for _, m := range models {
		if !p.needsCrossDomain(m) {
			continue
		}
		var idle []*Candidate
		for _, domain := range sortedKeys(pool.idle) {
			idle = append(idle, pool.idle[domain]...)
		}
		if c := completionOf(m, idle, nil); c != nil {
			return c
		}
	}
	return nil
}

// localCompletion returns the best completion of a group of m within one domain.
func (p *plan) localCompletion(m *httproute.Model, pool *completionPool) *completion {
	var best *completion
	for _, domain := range sortedKeys(p.domainSizes) {
		idle := pool.idle[domain]
		if c := completionOf(m, idle, nil); c != nil && c.better(best) {
			best = c
		}
		if c := p.completionWithDonors(m, domain, idle, pool.donors[domain]); c != nil && c.better(best) {
			best = c
		}
	}
	return best
}

// completionWithDonors returns a completion that closes groups of the domain, as far as that is worth it once the members have the weights.
func (p *plan) completionWithDonors(m *httproute.Model, domain ident.Domain, idle []*Candidate, groups []*ExistingGroup) *completion {
	candidates := slices.Clone(idle)
	var donors []*ExistingGroup
	sorted := slices.DeleteFunc(slices.Clone(groups), func(g *ExistingGroup) bool { return g.Model == m.Name && !degraded(g) })
	slices.SortStableFunc(sorted, func(a, b *ExistingGroup) int {
		return cmp.Or(cmp.Compare(p.loadWithout(a), p.loadWithout(b)), countReady(m, domain, b.Members)-countReady(m, domain, a.Members))
	})
	for _, g := range sorted {
		if usableCount(m, candidates) >= m.Size {
			break
		}
		worth := p.worthOf(m, 1, append(donors, g), 0)
		if !p.worthwhile(m, domain, append(donors, g), &worth) {
			continue
		}
		donors = append(donors, g)
		for i := range g.Members {
			if g.Members[i].Domain == domain {
				candidates = append(candidates, &g.Members[i])
			}
		}
	}
	if len(donors) == 0 {
		return nil
	}
	return completionOf(m, candidates, donors)
}

// completionOf returns a group of m from the candidates that needs the fewest loads, or nil if there are too few candidates.
func completionOf(m *httproute.Model, candidates []*Candidate, donors []*ExistingGroup) *completion {
	if usableCount(m, candidates) < m.Size {
		return nil
	}
	sorted := slices.DeleteFunc(slices.Clone(candidates), func(c *Candidate) bool { return completionRank(m, c) == unusable })
	slices.SortStableFunc(sorted, func(a, b *Candidate) int { return completionRank(m, a) - completionRank(m, b) })
	c := &completion{model: m, members: sorted[:m.Size], donors: donors}
	for _, member := range c.members {
		if completionRank(m, member) >= needsLoad {
			c.loads = append(c.loads, member)
		}
	}
	return c
}

// The ranks of possible members of a completion, best first.
const (
	hasWeightsInUse = iota
	hasWeightsOnHost
	isLoading
	needsLoad
	replacesWeights
	unusable
)

// completionRank is higher for a worse member of a completion of m.
func completionRank(m *httproute.Model, c *Candidate) int {
	switch {
	case !fastEnough(c), c.Staging != "" && c.Staging != m.Name && c.LastModel != m.Name:
		return unusable
	case c.LastModel == m.Name:
		return hasWeightsInUse
	case hasWeights(m, c):
		return hasWeightsOnHost
	case c.Staging == m.Name:
		return isLoading
	case withoutWeights(c):
		return needsLoad
	}
	return replacesWeights
}

// usableCount counts the candidates that can be members of a completion of m.
func usableCount(m *httproute.Model, candidates []*Candidate) int {
	n := 0
	for _, c := range candidates {
		if completionRank(m, c) != unusable {
			n++
		}
	}
	return n
}

// applyCompletion counts the group of a completion as existing, and its donors as closed.
func (p *plan) applyCompletion(c *completion) {
	crossDomain := slices.ContainsFunc(c.members, func(u *Candidate) bool { return u.Domain != c.members[0].Domain })
	capacity := 1.0
	if crossDomain {
		capacity = p.crossDomainCapacity()
	}
	p.addGroup(c.model.Name, capacity, crossDomain, c.members[0].Domain)
	for _, g := range c.donors {
		p.capacity[g.Model] -= p.groupCapacity(g)
		p.openCapacity[g.Model] -= p.groupCapacity(g)
	}
}
