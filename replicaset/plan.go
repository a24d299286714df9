package replicaset

// Plan is a pure function: from the free upstreams and the groups that exist
// it chooses the groups to begin and the weights to stage.
//
// A load takes longer than many a group lives, so after the start groups are
// formed only of upstreams that have the weights, and upstreams that lack them
// stage them meanwhile, beside all else. What is left over in each domain is
// put together across domains: such a group is slower, but better than idle
// accelerators.
//
// Targets come from the declared shares at first and from measured demand
// later; each next group goes to the model whose groups are the most loaded.

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	// rejoinTime is how long an engine takes to join when its last group had the same model.
	rejoinTime = 200 * time.Millisecond
	// demandWeight is how far measured demand moves the targets away from the declared shares.
	demandWeight = 0.5
	// strandedAfter is how long an upstream with weights is free before it stages those of another model.
	strandedAfter = 3 * time.Second
)

// Candidate is an upstream without a group.
type Candidate struct {
	ID      ident.Incarnation
	Hall    ident.Hall
	Domain  ident.Domain
	Last    ident.Model
	Staged  []ident.Model
	Staging ident.Model
	FreeFor time.Duration
	// Stood is set when the upstream was the head of a group that stood still although all its members reported.
	Stood bool
}

// Choice is a group to begin; Loads is how many members fetch weights from the store.
type Choice struct {
	Model   ident.Model
	Members []ident.Incarnation
	Far     bool
	Loads   int
	Ready   time.Duration
}

// Staging is an upstream that shall fetch weights to its host.
type Staging struct {
	ID    ident.Incarnation
	Model ident.Model
}

// Decision is what Plan wants begun, the most wanted first.
type Decision struct {
	Groups []Choice
	Stage  []Staging
}

// Situation is what Plan decides on.
type Situation struct {
	Engine *httproute.Engine
	// Free are the upstreams without a group, in the order of their ids.
	Free []Candidate
	// Groups counts the groups of each model that serve or will serve.
	Groups map[ident.Model]int
	// Homes counts the upstreams of each domain that are in groups of each model, Loose those of them in groups that span
	// domains.
	Homes map[ident.Domain]map[ident.Model]int
	Loose map[ident.Domain]map[ident.Model]int
	// Total is the number of usable upstreams, free or not.
	Total int
	// Demand is as in World.
	Demand map[ident.Model]float64
	// Loads is how many loads may begin now.
	Loads int
	// Early is set before the first request, while loads are cheap.
	Early bool
}

// Targets returns the number of groups wanted of each model: shares of the upstreams, corrected by demand.
func Targets(s *Situation) map[ident.Model]int {
	weights := weightsOf(s)
	targets := map[ident.Model]int{}
	left := s.Total
	for {
		best := -1
		bestScore := 0.0
		for i := range s.Engine.Models {
			m := &s.Engine.Models[i]
			if m.Size > left || weights[m.Name] <= 0 {
				continue
			}
			score := weights[m.Name] / float64((targets[m.Name]+1)*m.Size)
			if best < 0 || score > bestScore {
				best, bestScore = i, score
			}
		}
		if best < 0 {
			return targets
		}
		targets[s.Engine.Models[best].Name]++
		left -= s.Engine.Models[best].Size
	}
}

func weightsOf(s *Situation) map[ident.Model]float64 {
	weights := map[ident.Model]float64{}
	shares, demand := 0.0, 0.0
	for i := range s.Engine.Models {
		shares += s.Engine.Models[i].Share
		demand += s.Demand[s.Engine.Models[i].Name]
	}
	for i := range s.Engine.Models {
		m := &s.Engine.Models[i]
		share := 1 / float64(len(s.Engine.Models))
		if shares > 0 {
			share = m.Share / shares
		}
		if demand > 0 {
			share = (1-demandWeight)*share + demandWeight*s.Demand[m.Name]/demand
		}
		weights[m.Name] = share
	}
	return weights
}

// plan is the work on one decision.
type plan struct {
	*Situation
	targets map[ident.Model]int
	groups  map[ident.Model]int
	homes   map[ident.Domain]map[ident.Model]int
	free    []Candidate
	loads   int
}

// settle counts n more upstreams of a domain as working for model.
func (p *plan) settle(domain ident.Domain, model ident.Model, n int) {
	if p.homes[domain] == nil {
		p.homes[domain] = map[ident.Model]int{}
	}
	p.homes[domain][model] += n
}

// Plan returns what to begin now.
func Plan(s *Situation) Decision {
	p := &plan{Situation: s, targets: Targets(s), groups: map[ident.Model]int{}, loads: s.Loads}
	p.free = append(p.free, s.Free...)
	p.homes = map[ident.Domain]map[ident.Model]int{}
	for domain, models := range s.Homes {
		for model, n := range models {
			p.settle(domain, model, n)
		}
	}
	for name, n := range s.Groups {
		p.groups[name] = n
	}
	var d Decision
	for {
		choice, ok := p.next()
		if !ok {
			break
		}
		d.Groups = append(d.Groups, choice)
		p.groups[choice.Model]++
		p.loads -= choice.Loads
		p.take(&choice)
	}
	if !s.Early {
		d.Stage = p.stage()
	}
	return d
}

func (p *plan) take(choice *Choice) {
	var rest []Candidate
	for _, c := range p.free {
		if contains(choice.Members, c.ID) {
			p.settle(c.Domain, choice.Model, 1)
			continue
		}
		rest = append(rest, c)
	}
	p.free = rest
}

func contains(list []ident.Incarnation, id ident.Incarnation) bool {
	for _, other := range list {
		if other == id {
			return true
		}
	}
	return false
}

// next returns the best group of the model that is furthest below its target and can be formed.
func (p *plan) next() (Choice, bool) {
	models := p.byNeed()
	for _, m := range models {
		if choice, ok := p.near(m); ok {
			return choice, true
		}
	}
	if p.Early {
		return Choice{}, false
	}
	for _, m := range models {
		if choice, ok := p.far(m); ok {
			return choice, true
		}
	}
	return Choice{}, false
}

// need is the part of a model's groups that is missing; 0 or less when it has enough.
func (p *plan) need(m ident.Model) float64 {
	if p.targets[m] == 0 {
		return 0
	}
	return float64(p.targets[m]-p.groups[m]) / float64(p.targets[m])
}

func (p *plan) byNeed() []*httproute.Model {
	var list []*httproute.Model
	for i := range p.Engine.Models {
		list = append(list, &p.Engine.Models[i])
	}
	sort.SliceStable(list, func(i, j int) bool { return p.need(list[i].Name) > p.need(list[j].Name) })
	return list
}

// usable reports whether c may be given to a group of m now.
func (p *plan) usable(m *httproute.Model, c *Candidate) bool {
	if readyIn(m, c) <= m.Warm {
		return true
	}
	return p.Early && p.need(m.Name) > 0
}

// near returns the best group of m within one domain: the soonest ready, in a domain that holds m already, with the
// fewest upstreams left over.
func (p *plan) near(m *httproute.Model) (Choice, bool) {
	domains := map[ident.Domain][]Candidate{}
	for i := range p.free {
		if c := &p.free[i]; p.usable(m, c) {
			domains[c.Domain] = append(domains[c.Domain], *c)
		}
	}
	var best Choice
	var bestRank rank
	found := false
	for _, name := range sortedKeys(domains) {
		list := domains[name]
		if len(list) < m.Size {
			continue
		}
		choice := soonest(m, list)
		if choice.Loads > p.loads {
			continue
		}
		r := rank{choice.Ready, p.strangers(name, m.Name), len(list) - m.Size}
		if !found || r.less(bestRank) {
			best, bestRank, found = choice, r, true
		}
	}
	return best, found
}

// rank orders choices; lower is better.
type rank struct {
	ready     time.Duration
	strangers int
	left      int
}

func (r rank) less(o rank) bool {
	if r.ready != o.ready {
		return r.ready < o.ready
	}
	if r.strangers != o.strangers {
		return r.strangers < o.strangers
	}
	return r.left < o.left
}

// strangers counts the upstreams of a domain that work for other models. Domains of one model can put the survivors of
// two broken groups together.
func (p *plan) strangers(name ident.Domain, model ident.Model) int {
	n := 0
	for other, count := range p.homes[name] {
		if other != model {
			n += count
		}
	}
	for i := range p.free {
		if c := &p.free[i]; c.Domain == name && c.Last != "" && c.Last != model {
			n++
		}
	}
	return n
}

// sortedKeys makes the order in which a map is gone through the same in each run.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// far puts together what is left over in several domains, those of one hall first.
func (p *plan) far(m *httproute.Model) (Choice, bool) {
	if p.need(m.Name) <= 0 {
		return Choice{}, false
	}
	halls := map[ident.Hall]int{}
	var ready []Candidate
	for i := range p.free {
		if c := &p.free[i]; readyIn(m, c) <= m.Warm {
			ready = append(ready, *c)
			halls[c.Hall]++
		}
	}
	if len(ready) < m.Size {
		return Choice{}, false
	}
	sort.SliceStable(ready, func(i, j int) bool {
		if a, b := halls[ready[i].Hall], halls[ready[j].Hall]; a != b {
			return a > b
		}
		return ready[i].Hall < ready[j].Hall
	})
	choice := soonest(m, ready[:m.Size])
	choice.Far = true
	return choice, true
}

// stage chooses weights for the upstreams that have none of use: first those that complete a group in their domain.
func (p *plan) stage() []Staging {
	var list []Staging
	have := p.collected()
	for i := range p.free {
		c := &p.free[i]
		if c.Staging != "" || p.loads < 1 || p.serves(c) {
			continue
		}
		m := p.missing(have[c.Domain])
		if m == "" || c.Last == m || roster.Has(c.Staged, m) {
			continue
		}
		list = append(list, Staging{c.ID, m})
		have[c.Domain][m]++
		p.loads--
	}
	return list
}

// collected counts, for each domain and model, the upstreams that could make up a group there.
func (p *plan) collected() map[ident.Domain]map[ident.Model]int {
	have := map[ident.Domain]map[ident.Model]int{}
	for domain, models := range p.Loose {
		have[domain] = map[ident.Model]int{}
		for model, n := range models {
			have[domain][model] = n
		}
	}
	for i := range p.free {
		c := &p.free[i]
		if have[c.Domain] == nil {
			have[c.Domain] = map[ident.Model]int{}
		}
		for _, m := range p.Engine.Models {
			if readyIn(&m, c) <= m.Warm || c.Staging == m.Name {
				have[c.Domain][m.Name]++
			}
		}
	}
	return have
}

// serves reports whether c keeps the weights that it has for a while.
func (p *plan) serves(c *Candidate) bool {
	fresh := c.Last == "" && len(c.Staged) == 0
	return !fresh && c.FreeFor < strandedAfter
}

// missing returns the model for which one more upstream is most useful in a domain that has those in have.
func (p *plan) missing(have map[ident.Model]int) ident.Model {
	best := ident.Model("")
	bestScore := 0.0
	for i := range p.Engine.Models {
		m := &p.Engine.Models[i]
		score := p.need(m.Name)
		if score <= 0 {
			continue
		}
		// A group that lacks one member is worth more than one that lacks all.
		score += float64(have[m.Name]%m.Size+1) / float64(m.Size)
		if score > bestScore {
			best, bestScore = m.Name, score
		}
	}
	return best
}

// soonest takes the members that are ready first.
func soonest(m *httproute.Model, list []Candidate) Choice {
	sorted := append([]Candidate(nil), list...)
	sort.SliceStable(sorted, func(i, j int) bool { return readyIn(m, &sorted[i]) < readyIn(m, &sorted[j]) })
	choice := Choice{Model: m.Name}
	// A head that takes requests and sends nothing serves best as another member.
	sort.SliceStable(sorted[:m.Size], func(i, j int) bool { return !sorted[i].Stood && sorted[j].Stood })
	for i := range sorted[:m.Size] {
		c := &sorted[i]
		choice.Members = append(choice.Members, c.ID)
		choice.Ready = max(choice.Ready, readyIn(m, c))
		if readyIn(m, c) > m.Warm {
			choice.Loads++
		}
	}
	return choice
}

// readyIn returns how long c takes to join a group of m.
func readyIn(m *httproute.Model, c *Candidate) time.Duration {
	switch {
	case c.Last == m.Name:
		return rejoinTime
	case roster.Has(c.Staged, m.Name):
		return m.Warm
	}
	return m.Load
}
