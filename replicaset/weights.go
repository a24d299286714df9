package replicaset

import (
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

// stage chooses weights to load to hosts: for upstreams that have none, those of the model for which one more upstream is
// most useful in the domain; for the others, beside their work, those of a model that they could not join soon.
func (p *plan) stage() []Loading {
	var list []Loading
	add := func(c *Candidate, m ident.Model) {
		list = append(list, Loading{c.ID, m})
		p.loads--
	}
	have := p.collected()
	for i := range p.free {
		c := &p.free[i]
		if p.loads < 1 || c.Staging != "" || !fresh(c) || p.Early {
			continue
		}
		m := p.missing(have[c.Domain])
		have[c.Domain][m]++
		add(c, m)
	}
	for _, c := range p.everyone() {
		if p.loads < 1 {
			break
		}
		if m := p.further(c); m != "" {
			add(c, m)
		}
	}
	return list
}

// fresh reports whether c has no weights at all.
func fresh(c *Candidate) bool {
	return c.Last == "" && len(c.Staged) == 0
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

// further returns a model that c should get on its host beside the one that it can join at once; a host keeps one model, so
// what c has there must not be lost by it.
func (p *plan) further(c *Candidate) ident.Model {
	if c.Staging != "" || c.Last == "" {
		return ""
	}
	for _, m := range c.Staged {
		if m != c.Last {
			return ""
		}
	}
	for _, m := range p.byNeed() {
		if m.Name != c.Last {
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
			if m := &p.Engine.Models[i]; readyIn(m, c) <= m.Warm || c.Staging == m.Name {
				have[c.Domain][m.Name]++
			}
		}
	}
	for i := range p.free {
		count(&p.free[i])
	}
	for i := range p.Groups {
		if !p.Groups[i].Far {
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
// first request a load is cheap, and the model with the largest groups loses members most often.
func (p *plan) warmUp(staged []Loading) []Loading {
	busy := map[ident.Incarnation]bool{}
	for _, l := range staged {
		busy[l.ID] = true
	}
	var list []Loading
	for i := range p.free {
		c := &p.free[i]
		if c.Last != "" || c.Staging != "" || busy[c.ID] {
			continue
		}
		switch {
		case len(c.Staged) > 0:
			list = append(list, Loading{c.ID, c.Staged[0]})
		case p.Early && p.loads > 0:
			list = append(list, Loading{c.ID, p.largest()})
			p.loads--
		}
	}
	return list
}

// largest returns the model with the largest groups.
func (p *plan) largest() ident.Model {
	best := &p.Engine.Models[0]
	for i := range p.Engine.Models {
		if m := &p.Engine.Models[i]; m.Size > best.Size {
			best = m
		}
	}
	return best.Name
}
