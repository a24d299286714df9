package replicaset

// The upstreams of a new site arrive one after the other. Groups that are formed
// meanwhile take upstreams as they come, and a small group fits before a large one
// does. Until the first request no group serves anybody and loads are quick, so
// groups of a model with more than its share are closed for a model with less.

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

// regroupDeficit is the fraction of a model's groups that must be missing before groups are closed for it: the declared shares are only a
// guess at the demand.
const regroupDeficit = 0.5

// chooseRegrouping returns the groups to close in one domain, so that the largest deficit of the models by their declared shares falls.
func (p *plan) chooseRegrouping() []Closing {
	for _, m := range p.byDeficit() {
		if p.deficit(m.Name) < regroupDeficit {
			continue
		}
		var best []*ExistingGroup
		var bestDomain ident.Domain
		for _, domain := range sortedKeys(p.domainSizes) {
			if p.Expected[domain].Count > 0 {
				continue
			}
			toClose := p.regroupingIn(m, domain)
			if len(toClose) > 0 && (best == nil || len(toClose) < len(best)) {
				best, bestDomain = toClose, domain
			}
		}
		if best == nil {
			continue
		}
		reason := fmt.Sprintf("no request has come yet, and %s has fewer groups by its share", m.Name)
		var closings []Closing
		for _, g := range best {
			closings = append(closings, Closing{Group: g.Name, Domain: bestDomain, Expected: ExpectedGroups{m.Name, 1}, Reason: reason})
		}
		return closings
	}
	return nil
}

// regroupingIn returns the groups to close for one of m in a domain, or nil if its upstreams do not suffice or their models would lack more
// groups than m does.
func (p *plan) regroupingIn(m *httproute.Model, domain ident.Domain) []*ExistingGroup {
	members := countFast(domain, p.free) + countFast(domain, p.Ending)
	var donors []*ExistingGroup
	for i := range p.Groups {
		if g := &p.Groups[i]; g.Settled && g.Model != m.Name && countFast(domain, g.Members) > 0 {
			donors = append(donors, g)
		}
	}
	slices.SortStableFunc(donors, func(a, b *ExistingGroup) int { return cmp.Compare(p.deficit(a.Model), p.deficit(b.Model)) })
	lost := map[ident.Model]float64{}
	var toClose []*ExistingGroup
	for _, g := range donors {
		if members >= m.Size {
			break
		}
		remaining := p.capacity[g.Model] - lost[g.Model] - p.groupCapacity(g)
		if wanted := p.wantedGroups(g.Model); wanted > 0 && (wanted-remaining)/wanted >= p.deficit(m.Name) {
			continue
		}
		lost[g.Model] += p.groupCapacity(g)
		members += countFast(domain, g.Members)
		toClose = append(toClose, g)
	}
	if members < m.Size {
		return nil
	}
	return toClose
}

// countFast counts the upstreams of a domain that are not slow.
func countFast(domain ident.Domain, candidates []Candidate) int {
	n := 0
	for i := range candidates {
		if c := &candidates[i]; c.Domain == domain && fastEnough(c) {
			n++
		}
	}
	return n
}
