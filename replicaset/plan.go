package replicaset

// Plan is a pure function: from the free upstreams and the groups that exist
// it chooses the groups to begin, the groups to close for better ones, and the
// weights to load.
//
// A load takes longer than many a group lives, so after the start groups are
// formed only of upstreams that have the weights in use or on their host. What
// decides how long a lost member is missed is therefore prepared before the
// loss:
//
//   - the groups of one model are spread over the domains, and each domain
//     keeps a spare;
//   - a spare has been in a group of the largest model, so it joins at once;
//   - every upstream has the weights of a further model on its host, so that
//     a model can get members from the groups of another one.
//
// While demand is not known, models get groups by their declared shares. Then
// each gets as many as its work needs, and what is left stays spare.

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	// rejoinTime is how long an engine takes to join when its last group had the same model.
	rejoinTime = 200 * time.Millisecond
	// sparesKept is how many upstreams of a domain stay free while no model lacks groups: losses come one by one.
	sparesKept = 1
	// farNeed is the part of a model's groups that must be missing until one across domains is formed: it takes the spares
	// of several domains and carries a third of a whole one.
	farNeed = 0.4
	// groupLoad is the load of a group, in parts of a full one (see Work), that is planned for.
	groupLoad = 0.95
	// moveGain is how much lower the highest load has to become for a group to end for one of another model, movePart the
	// same in parts of what one group more brings, where that is less.
	moveGain = 0.08
	movePart = 0.5
)

// Candidate is an upstream as a possible member of a group.
type Candidate struct {
	ID        ident.Incarnation
	Hall      ident.Hall
	Domain    ident.Domain
	LastModel ident.Model
	Staged    []ident.Model
	Staging   ident.Model
	// StalledAsHead is set when the upstream was the head of a group that stood still although all its members reported.
	StalledAsHead bool
	// Cold is set while the upstream takes few requests yet.
	Cold bool
	// LastHeadedModel is the model of the group that it was last the head of.
	LastHeadedModel ident.Model
	// Slowdown is how many times longer all takes than it should; 0 and 1 are as usual.
	Slowdown float64
}

// ExistingGroup is a group that serves or will serve.
type ExistingGroup struct {
	Name        ident.Group
	Model       ident.Model
	CrossDomain bool
	Members     []Candidate
	// Open is set when the group serves, Settled when it has done so for long enough to be closed for a better one.
	Open    bool
	Settled bool
}

// GroupPlan is a group to begin; Loads is how many members fetch weights from the store.
type GroupPlan struct {
	Model       ident.Model
	Members     []ident.Incarnation
	CrossDomain bool
	Loads       int
	ReadyIn     time.Duration
}

// WeightLoad is an upstream that shall get the weights of a model.
type WeightLoad struct {
	ID    ident.Incarnation
	Model ident.Model
}

// Closing is a group that shall end so that Domain gets better ones: so many of Model.
type Closing struct {
	Group    ident.Group
	Domain   ident.Domain
	Expected ExpectedGroups
}

// ExpectedGroups are groups that a domain gets once others of it have ended.
type ExpectedGroups struct {
	Model ident.Model
	Count int
}

// Decision is what Plan wants begun, the most wanted first.
type Decision struct {
	Groups []GroupPlan
	// Stage are loads to the host, WarmUp joins of a single upstream that make its later ones short.
	Stage  []WeightLoad
	WarmUp []WeightLoad
	Close  []Closing
	// Reason tells what every model needs and has.
	Reason string
}

// PlanInput is what Plan decides on.
type PlanInput struct {
	Engine *httproute.Engine
	// Free are the upstreams without a group, in the order of their ids.
	Free []Candidate
	// Groups are the groups that serve or will serve, in the order of their names.
	Groups []ExistingGroup
	// Expected is what the domains get in which groups end now.
	Expected map[ident.Domain]ExpectedGroups
	// Usable is the number of usable upstreams, free or not.
	Usable int
	// Demand is as in World.
	Demand map[ident.Model]float64
	// LoadBudget is how many loads may begin now.
	LoadBudget int
	// BeforeFirstRequest is set before the first request, while loads are cheap.
	BeforeFirstRequest bool
}

// plan is the work on one decision.
type plan struct {
	*PlanInput
	targets map[ident.Model]int
	needs   map[ident.Model]int
	// served counts the groups of each model; one across domains counts for as much as it carries.
	served map[ident.Model]float64
	// open is the part of served that serves already.
	open map[ident.Model]float64
	// homes counts the groups of each model within a domain.
	homes map[ident.Domain]map[ident.Model]int
	free  []Candidate
	loads int
}

func newPlan(s *PlanInput) *plan {
	p := &plan{
		PlanInput: s, targets: TargetGroups(s), needs: RequiredGroups(s), loads: s.LoadBudget,
		served: map[ident.Model]float64{}, open: map[ident.Model]float64{}, homes: map[ident.Domain]map[ident.Model]int{},
	}
	p.free = append(p.free, s.Free...)
	for i := range s.Groups {
		g := &s.Groups[i]
		p.settle(g.Model, p.part(g), g.CrossDomain, g.Members[0].Domain)
		if g.Open {
			p.open[g.Model] += p.part(g)
		}
	}
	for domain, c := range s.Expected {
		for range c.Count {
			p.settle(c.Model, 1, false, domain)
		}
	}
	return p
}

// Plan returns what to begin now.
func Plan(s *PlanInput) Decision {
	p := newPlan(s)
	var d Decision
	d.Groups = p.begin((*plan).near)
	if !s.BeforeFirstRequest {
		d.Close = p.makeRoom()
	}
	if len(d.Close) == 0 && !s.BeforeFirstRequest {
		d.Groups = append(d.Groups, p.begin((*plan).far)...)
	}
	d.Stage = p.stage()
	d.WarmUp = p.warmUp(d.Stage)
	d.Reason = p.why()
	return d
}

// why tells, for each model, the groups that it has of those that it needs, or would get by its share.
func (p *plan) why() string {
	var list []string
	for i := range p.Engine.Models {
		m := p.Engine.Models[i].Name
		list = append(list, fmt.Sprintf("%s %.1f of %.0f", m, p.served[m], p.wanted(m)))
	}
	return strings.Join(list, ", ")
}

// begin chooses groups one by one as long as choose finds one for a model, the neediest first.
func (p *plan) begin(choose func(p *plan, m *httproute.Model) (GroupPlan, bool)) []GroupPlan {
	var list []GroupPlan
	for {
		choice, ok := p.next(choose)
		if !ok {
			return list
		}
		list = append(list, choice)
		p.loads -= choice.Loads
		part := 1.0
		if choice.CrossDomain {
			part = p.farPart()
		}
		p.settle(choice.Model, part, choice.CrossDomain, p.take(choice.Members))
	}
}

func (p *plan) next(choose func(p *plan, m *httproute.Model) (GroupPlan, bool)) (GroupPlan, bool) {
	for _, m := range p.byNeed() {
		if choice, ok := choose(p, m); ok {
			return choice, true
		}
	}
	return GroupPlan{}, false
}

// settle counts a group of a model in a domain, which carries part of what a whole one does.
func (p *plan) settle(model ident.Model, part float64, far bool, domain ident.Domain) {
	p.served[model] += part
	if far {
		return
	}
	if p.homes[domain] == nil {
		p.homes[domain] = map[ident.Model]int{}
	}
	p.homes[domain][model]++
}

// take removes members from the free upstreams and returns the domain of the last one.
func (p *plan) take(members []ident.Incarnation) ident.Domain {
	var rest []Candidate
	var domain ident.Domain
	for i := range p.free {
		if slices.Contains(members, p.free[i].ID) {
			domain = p.free[i].Domain
			continue
		}
		rest = append(rest, p.free[i])
	}
	p.free = rest
	return domain
}

// near returns the best group of m within one domain: the soonest ready, in a domain with the fewest groups of m, with the
// fewest upstreams left over.
func (p *plan) near(m *httproute.Model) (GroupPlan, bool) {
	short := p.short(m.Name)
	if !short && p.othersFirst(m) {
		return GroupPlan{}, false
	}
	if choice, ok := p.nearOf(m, short, quick); ok || p.served[m.Name] > 0 {
		return choice, ok
	}
	// A slow group is better than none.
	return p.nearOf(m, short, func(*Candidate) bool { return true })
}

// nearOf is near among the upstreams that fit.
func (p *plan) nearOf(m *httproute.Model, short bool, fits func(c *Candidate) bool) (GroupPlan, bool) {
	var best GroupPlan
	var bestRank rank
	found := false
	all := byDomain(p.free, fits)
	usable := byDomain(p.free, func(c *Candidate) bool { return fits(c) && (p.BeforeFirstRequest || hasWeights(m, c)) })
	for _, name := range sortedKeys(usable) {
		list := usable[name]
		if len(list) < m.Size || !short && !p.sparesStay(name, len(all[name])-m.Size) {
			continue
		}
		choice := soonest(m, list)
		if choice.Loads > p.loads {
			continue
		}
		left := len(all[name]) - m.Size
		r := rank{choice.ReadyIn, p.homes[name][m.Name], left < sparesKept, left}
		if !found || r.less(bestRank) {
			best, bestRank, found = choice, r, true
		}
	}
	return best, found
}

// othersFirst reports whether free upstreams are kept for what completes a group of a model that needs one more than m.
func (p *plan) othersFirst(m *httproute.Model) bool {
	if len(p.needs) == 0 && !p.BeforeFirstRequest {
		return p.need(m.Name) < p.need(p.byNeed()[0].Name)
	}
	return p.anyShort()
}

// sparesStay reports whether a domain may be left with so many free upstreams; the first group of a domain may use all.
func (p *plan) sparesStay(name ident.Domain, left int) bool {
	return left >= sparesKept || len(p.homes[name]) == 0
}

// rank orders choices; lower is better.
type rank struct {
	ready time.Duration
	// same is how many groups of the model the domain has, bare whether it would have no spare, left how many would be free.
	same int
	bare bool
	left int
}

func (r rank) less(o rank) bool {
	if r.ready != o.ready {
		return r.ready < o.ready
	}
	if r.same != o.same {
		return r.same < o.same
	}
	if r.bare != o.bare {
		return o.bare
	}
	return r.left < o.left
}

func byDomain(list []Candidate, fits func(c *Candidate) bool) map[ident.Domain][]Candidate {
	domains := map[ident.Domain][]Candidate{}
	for i := range list {
		if c := &list[i]; fits(c) {
			domains[c.Domain] = append(domains[c.Domain], *c)
		}
	}
	return domains
}

// sortedKeys makes the order in which a map is gone through the same in each run.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// far puts together what is left over in several domains, those of one hall first, for a model that lacks groups.
func (p *plan) far(m *httproute.Model) (GroupPlan, bool) {
	if p.load(m, 0) <= groupLoad || p.need(m.Name) < farNeed {
		return GroupPlan{}, false
	}
	halls := map[ident.Hall]int{}
	var ready []Candidate
	for i := range p.free {
		if c := &p.free[i]; quick(c) && hasWeights(m, c) {
			ready = append(ready, *c)
			halls[c.Hall]++
		}
	}
	if len(ready) < m.Size {
		return GroupPlan{}, false
	}
	sort.SliceStable(ready, func(i, j int) bool {
		if a, b := halls[ready[i].Hall], halls[ready[j].Hall]; a != b {
			return a > b
		}
		return ready[i].Hall < ready[j].Hall
	})
	choice := soonest(m, ready[:m.Size])
	choice.CrossDomain = true
	return choice, true
}

// soonest takes the members that are ready first.
func soonest(m *httproute.Model, list []Candidate) GroupPlan {
	sorted := slices.Clone(list)
	slices.SortStableFunc(sorted, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(readyIn(m, &a), readyIn(m, &b)), cmp.Compare(unlikelyHead(m, &a), unlikelyHead(m, &b)))
	})
	choice := GroupPlan{Model: m.Name}
	slices.SortStableFunc(sorted[:m.Size], func(a, b Candidate) int {
		return cmp.Compare(unlikelyHead(m, &a), unlikelyHead(m, &b))
	})
	for i := range sorted[:m.Size] {
		c := &sorted[i]
		choice.Members = append(choice.Members, c.ID)
		choice.ReadyIn = max(choice.ReadyIn, readyIn(m, c))
		if !hasWeights(m, c) {
			choice.Loads++
		}
	}
	return choice
}

// unlikelyHead is higher for a worse head of a group of m: one that took requests and sent nothing, one that takes few requests yet, and
// one to which entries that have not heard of the change yet still send requests for another model.
func unlikelyHead(m *httproute.Model, c *Candidate) int {
	switch {
	case c.StalledAsHead:
		return 3
	case c.Cold:
		return 2
	case c.LastHeadedModel != "" && c.LastHeadedModel != m.Name:
		return 1
	}
	return 0
}

// SlowdownLimit is the pace from which on an upstream is left out of groups: at less a group still answers in time.
const SlowdownLimit = 1.5

func quick(c *Candidate) bool {
	return c.Slowdown < SlowdownLimit
}

// hasWeights reports whether c joins a group of m without a load from the store.
func hasWeights(m *httproute.Model, c *Candidate) bool {
	return c.LastModel == m.Name || roster.HasModel(c.Staged, m.Name)
}

// readyIn returns how long c takes to join a group of m.
func readyIn(m *httproute.Model, c *Candidate) time.Duration {
	switch {
	case c.LastModel == m.Name:
		return rejoinTime
	case roster.HasModel(c.Staged, m.Name):
		return m.Warm
	}
	return m.Load
}
