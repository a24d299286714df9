package replicaset

import (
	"cmp"
	"slices"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

// stage chooses weights to load to hosts: for upstreams that have none, those of the model for which one more upstream is
// most useful in the domain; for the others, beside their work, those of a model that they could not join soon.
func (p *plan) stage() []WeightLoad {
	var list []WeightLoad
	add := func(c *Candidate, m ident.Model) {
		list = append(list, WeightLoad{c.ID, m})
		p.loads--
	}
	have := p.collected()
	for i := range p.free {
		c := &p.free[i]
		if p.loads < 1 || c.Staging != "" || !fresh(c) || p.BeforeFirstRequest {
			continue
		}
		m := p.missing(have[c.Domain])
		have[c.Domain][m]++
		add(c, m)
	}
	hosts := p.onHosts()
	for _, c := range p.everyone() {
		if p.loads < 1 {
			break
		}
		if m := p.further(c, hosts[c.Domain]); m != "" {
			hosts[c.Domain][c.LastModel]--
			hosts[c.Domain][m]++
			add(c, m)
		}
	}
	return list
}

// onHosts counts, for each domain, the hosts that have the weights of each model or are getting them. Only these are left
// when a whole domain restarts.
func (p *plan) onHosts() map[ident.Domain]map[ident.Model]int {
	hosts := map[ident.Domain]map[ident.Model]int{}
	for _, c := range p.everyone() {
		if hosts[c.Domain] == nil {
			hosts[c.Domain] = map[ident.Model]int{}
		}
		if c.Staging != "" {
			hosts[c.Domain][c.Staging]++
			continue
		}
		for _, m := range c.Staged {
			hosts[c.Domain][m]++
		}
	}
	return hosts
}

// fresh reports whether c has no weights at all.
func fresh(c *Candidate) bool {
	return c.LastModel == "" && len(c.Staged) == 0
}

// everyone returns the free upstreams, then the members of groups.
func (p *plan) everyone() []*Candidate {
	var list []*Candidate
	for i := range p.free {
		list = append(list, &p.free[i])
	}
	for i := range p.Groups {
		g := &p.Groups[i]
		if !g.Settled {
			continue
		}
		for j := range g.Members {
			list = append(list, &g.Members[j])
		}
	}
	return list
}

// further returns a model that c should get on its host beside the one that it can join at once. A host keeps one model, so
// what c has there must not be needed: neither by c itself, nor by its domain for a group after a restart.
func (p *plan) further(c *Candidate, hosts map[ident.Model]int) ident.Model {
	if c.Staging != "" || c.LastModel == "" {
		return ""
	}
	for _, m := range c.Staged {
		if m != c.LastModel {
			return ""
		}
	}
	if last, ok := p.Engine.Model(c.LastModel); ok && roster.HasModel(c.Staged, c.LastModel) && hosts[c.LastModel] <= last.Size {
		return ""
	}
	for _, m := range p.byNeed() {
		if m.Name != c.LastModel {
			return m.Name
		}
	}
	return ""
}

// collected counts, for each domain and model, the upstreams outside whole groups that could make up a group there.
func (p *plan) collected() map[ident.Domain]map[ident.Model]int {
	have := map[ident.Domain]map[ident.Model]int{}
	count := func(c *Candidate) {
		if have[c.Domain] == nil {
			have[c.Domain] = map[ident.Model]int{}
		}
		for i := range p.Engine.Models {
			if m := &p.Engine.Models[i]; hasWeights(m, c) || c.Staging == m.Name {
				have[c.Domain][m.Name]++
			}
		}
	}
	for i := range p.free {
		count(&p.free[i])
	}
	for i := range p.Groups {
		if !p.Groups[i].CrossDomain {
			continue
		}
		for j := range p.Groups[i].Members {
			count(&p.Groups[i].Members[j])
		}
	}
	return have
}

// missing returns the model for which one more upstream is most useful in a domain that has those in have.
func (p *plan) missing(have map[ident.Model]int) ident.Model {
	var best *httproute.Model
	bestScore := 0.0
	for _, m := range p.byNeed() {
		// A group that lacks one member is worth more than one that lacks all.
		score := p.need(m.Name) + float64(have[m.Name]%m.Size+1)/float64(m.Size)
		if best == nil || score > bestScore {
			best, bestScore = m, score
		}
	}
	return best.Name
}

// warmUp chooses spares that have been in no group yet. After the start they take the weights from their host; before the
// first request a load is cheap, and the spares of a domain take the models in turn, the one with the largest groups first,
// because it loses members most often.
func (p *plan) warmUp(staged []WeightLoad) []WeightLoad {
	busy := map[ident.Incarnation]bool{}
	for _, l := range staged {
		busy[l.ID] = true
	}
	var list []WeightLoad
	spares := map[ident.Domain]int{}
	for i := range p.free {
		c := &p.free[i]
		if c.LastModel != "" || c.Staging != "" || busy[c.ID] {
			continue
		}
		switch {
		case len(c.Staged) > 0:
			list = append(list, WeightLoad{c.ID, c.Staged[0]})
		case p.BeforeFirstRequest && p.loads > 0:
			list = append(list, WeightLoad{c.ID, p.bySize()[spares[c.Domain]%len(p.Engine.Models)].Name})
			spares[c.Domain]++
			p.loads--
		}
	}
	return list
}

// bySize returns the models, those with the largest groups first.
func (p *plan) bySize() []httproute.Model {
	list := slices.Clone(p.Engine.Models)
	slices.SortStableFunc(list, func(a, b httproute.Model) int { return cmp.Compare(b.Size, a.Size) })
	return list
}
