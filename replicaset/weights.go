package replicaset

import (
	"cmp"
	"slices"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

// chooseStaging chooses weights to load to hosts: for upstreams that have none, those of the model for which one more upstream is
// most useful in the domain; for the others, beside their work, those of a model that they could not join soon.
func (p *plan) chooseStaging() []WeightLoad {
	var loads []WeightLoad
	addLoad := func(c *Candidate, m ident.Model) {
		loads = append(loads, WeightLoad{c.ID, m})
		p.loadsLeft--
	}
	available := p.availableMembers()
	for i := range p.free {
		c := &p.free[i]
		if p.loadsLeft < 1 || c.Staging != "" || !withoutWeights(c) || p.BeforeFirstRequest {
			continue
		}
		m := p.mostUsefulModel(available[c.Domain])
		available[c.Domain][m]++
		addLoad(c, m)
	}
	hosts := p.stagedHosts()
	for _, c := range p.stagingCandidates() {
		if p.loadsLeft < 1 {
			break
		}
		if m := p.additionalModel(c, hosts[c.Domain]); m != "" {
			hosts[c.Domain][c.LastModel]--
			hosts[c.Domain][m]++
			addLoad(c, m)
		}
	}
	return loads
}

// stagedHosts counts, for each domain, the hosts that have the weights of each model or are getting them. Only these are left
// when a whole domain restarts.
func (p *plan) stagedHosts() map[ident.Domain]map[ident.Model]int {
	hosts := map[ident.Domain]map[ident.Model]int{}
	for _, c := range p.stagingCandidates() {
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

// withoutWeights reports whether c has no weights at all.
func withoutWeights(c *Candidate) bool {
	return c.LastModel == "" && len(c.Staged) == 0
}

// stagingCandidates returns the free upstreams, then the members of groups.
func (p *plan) stagingCandidates() []*Candidate {
	var candidates []*Candidate
	for i := range p.free {
		candidates = append(candidates, &p.free[i])
	}
	for i := range p.Groups {
		g := &p.Groups[i]
		if !g.Settled {
			continue
		}
		for j := range g.Members {
			candidates = append(candidates, &g.Members[j])
		}
	}
	return candidates
}

// additionalModel returns a model that c should get on its host beside the one that it can join at once. A host keeps one model, so
// what c has there must not be needed: neither by c itself, nor by its domain for a group after a restart.
func (p *plan) additionalModel(c *Candidate, hosts map[ident.Model]int) ident.Model {
	if c.Staging != "" || c.LastModel == "" {
		return ""
	}
	for _, m := range c.Staged {
		if m != c.LastModel {
			return ""
		}
	}
	if lastModel, ok := p.Engine.Model(c.LastModel); ok && roster.HasModel(c.Staged, c.LastModel) && hosts[c.LastModel] <= lastModel.Size {
		return ""
	}
	for _, m := range p.byDeficit() {
		if m.Name != c.LastModel {
			return m.Name
		}
	}
	return ""
}

// availableMembers counts, for each domain and model, the upstreams outside whole groups that could make up a group there.
func (p *plan) availableMembers() map[ident.Domain]map[ident.Model]int {
	available := map[ident.Domain]map[ident.Model]int{}
	add := func(c *Candidate) {
		if available[c.Domain] == nil {
			available[c.Domain] = map[ident.Model]int{}
		}
		for i := range p.Engine.Models {
			if m := &p.Engine.Models[i]; hasWeights(m, c) || c.Staging == m.Name {
				available[c.Domain][m.Name]++
			}
		}
	}
	for i := range p.free {
		add(&p.free[i])
	}
	for i := range p.Groups {
		if !p.Groups[i].CrossDomain {
			continue
		}
		for j := range p.Groups[i].Members {
			add(&p.Groups[i].Members[j])
		}
	}
	return available
}

// mostUsefulModel returns the model for which one more upstream is most useful in a domain that has those in have.
func (p *plan) mostUsefulModel(available map[ident.Model]int) ident.Model {
	var best *httproute.Model
	bestScore := 0.0
	for _, m := range p.byDeficit() {
		// A group that lacks one member is worth more than one that lacks all.
		score := p.deficit(m.Name) + float64(available[m.Name]%m.Size+1)/float64(m.Size)
		if best == nil || score > bestScore {
			best, bestScore = m, score
		}
	}
	return best.Name
}

// chooseWarmUps chooses spares that have been in no group yet. After the start they take the weights from their host; before the
// first request a load is cheap, and the spares of a domain take the models in turn, the one with the largest groups first,
// because it loses members most often.
func (p *plan) chooseWarmUps(staged []WeightLoad) []WeightLoad {
	toStage := map[ident.Incarnation]bool{}
	for _, l := range staged {
		toStage[l.ID] = true
	}
	var joins []WeightLoad
	warmedUp := map[ident.Domain]int{}
	for i := range p.free {
		c := &p.free[i]
		if c.LastModel != "" || c.Staging != "" || toStage[c.ID] {
			continue
		}
		switch {
		case len(c.Staged) > 0:
			joins = append(joins, WeightLoad{c.ID, c.Staged[0]})
		case p.BeforeFirstRequest && p.loadsLeft > 0:
			joins = append(joins, WeightLoad{c.ID, p.bySize()[warmedUp[c.Domain]%len(p.Engine.Models)].Name})
			warmedUp[c.Domain]++
			p.loadsLeft--
		}
	}
	return joins
}

// bySize returns the models, those with the largest groups first.
func (p *plan) bySize() []httproute.Model {
	models := slices.Clone(p.Engine.Models)
	slices.SortStableFunc(models, func(a, b httproute.Model) int { return cmp.Compare(b.Size, a.Size) })
	return models
}
