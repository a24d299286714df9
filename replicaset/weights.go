package replicaset

import (
	"cmp"
	"slices"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

// chooseStaging chooses weights to load to hosts, beside those that are already planned. An upstream without weights gets those of the model for which one more member is most
// useful in its domain; any other upstream gets, while it works, those of a model that it could not join soon.
func (p *plan) chooseStaging(planned []WeightLoad) []WeightLoad {
	var loads []WeightLoad
	isPlanned := map[ident.Incarnation]bool{}
	for _, l := range planned {
		isPlanned[l.ID] = true
	}
	addLoad := func(c *Candidate, m ident.Model) {
		loads = append(loads, WeightLoad{c.ID, m})
		p.loadsLeft--
	}
	available := p.availableMembers()
	for i := range p.free {
		c := &p.free[i]
		if p.loadsLeft < 1 || c.Staging != "" || isPlanned[c.ID] || !withoutWeights(c) || p.BeforeFirstRequest {
			continue
		}
		m := p.mostUsefulModel(c.Domain, available[c.Domain])
		available[c.Domain][m]++
		addLoad(c, m)
	}
	hosts := p.stagedHosts()
	for _, c := range p.stagingCandidates() {
		if p.loadsLeft < 1 {
			break
		}
		if m := p.additionalModel(c, hosts[c.Domain]); m != "" && !isPlanned[c.ID] {
			hosts[c.Domain][c.LastModel]--
			hosts[c.Domain][m]++
			addLoad(c, m)
		}
	}
	return loads
}

// stagedHosts counts, for each domain, the hosts that have or are loading the weights of each model. Only these weights remain after a
// whole domain restarts.
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

// withoutWeights reports whether c has weights of no model, in use or on its host.
func withoutWeights(c *Candidate) bool {
	return c.LastModel == "" && len(c.Staged) == 0
}

// stagingCandidates returns the free upstreams, then the members of settled groups.
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

// additionalModel returns a model to load to the host of c in addition to the model that c can join at once. A host keeps the weights of
// one model, so those that it has must be needed neither by c itself nor by the domain to form a group after a restart.
func (p *plan) additionalModel(c *Candidate, hosts map[ident.Model]int) ident.Model {
	if c.Staging != "" || c.LastModel == "" {
		return ""
	}
	for _, m := range c.Staged {
		if m != c.LastModel {
			return ""
		}
	}
	last, ok := p.Engine.Model(c.LastModel)
	reserved := ok && roster.HasModel(c.Staged, c.LastModel) && hosts[c.LastModel] <= last.Size
	for _, m := range p.byDeficit() {
		if m.Name != c.LastModel && (!reserved || p.excludes(last, m, c.Domain)) {
			return m.Name
		}
	}
	return ""
}

// excludes reports whether a domain has room for a group of either model, but not of both. Each of its upstreams can then join groups of both
// models, so that those of one can take the place of the other's at once; after a restart the domain forms groups of the other model.
func (p *plan) excludes(a, b *httproute.Model, domain ident.Domain) bool {
	size := p.domainSizes[domain]
	return max(a.Size, b.Size) <= size && size < a.Size+b.Size
}

// availableMembers counts, for each domain and model, the possible members of a new group: free upstreams and members of groups
// across domains.
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

// mostUsefulModel returns the model for which one more upstream is most useful in a domain with the available members. Models whose groups
// are larger than the domain count only if all are.
func (p *plan) mostUsefulModel(domain ident.Domain, available map[ident.Model]int) ident.Model {
	var best *httproute.Model
	bestScore := 0.0
	fits := func(m *httproute.Model) bool { return m.Size <= p.domainSizes[domain] }
	models := p.byDeficit()
	if slices.ContainsFunc(models, fits) {
		models = slices.DeleteFunc(models, func(m *httproute.Model) bool { return !fits(m) })
	}
	for _, m := range models {
		// The fewer members a group lacks, the higher is the score.
		score := p.deficit(m.Name) + float64(available[m.Name]%m.Size+1)/float64(m.Size)
		if best == nil || score > bestScore {
			best, bestScore = m, score
		}
	}
	return best.Name
}

// chooseWarmUps chooses spares that have been in no group yet. They load the weights that are on their host. Before the first request,
// when loads are cheap, spares without weights load them from the store: those of one domain get the models in turn, starting with the
// model with the largest groups, which lose members most often.
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

// bySize returns the models sorted by group size, largest first.
func (p *plan) bySize() []httproute.Model {
	models := slices.Clone(p.Engine.Models)
	slices.SortStableFunc(models, func(a, b httproute.Model) int { return cmp.Compare(b.Size, a.Size) })
	return models
}
