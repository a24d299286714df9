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
	// sparesPerDomain is how many upstreams of a domain stay free while no model lacks groups: losses come one by one.
	sparesPerDomain = 1
	// crossDomainDeficit is the part of a model's groups that must be missing until one across domains is formed: it takes the spares
	// of several domains and carries a third of a whole one.
	crossDomainDeficit = 0.4
	// plannedGroupLoad is the load of a group, in parts of a full one (see Work), that is planned for.
	plannedGroupLoad = 0.95
	// minLoadGain is how much lower the highest load has to become for a group to end for one of another model, minGainFraction the
	// same in parts of what one group more brings, where that is less.
	minLoadGain     = 0.08
	minGainFraction = 0.5
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
	targetGroups   map[ident.Model]int
	requiredGroups map[ident.Model]int
	// capacity counts the groups of each model; one across domains counts for as much as it carries.
	capacity map[ident.Model]float64
	// openCapacity is the part of served that serves already.
	openCapacity map[ident.Model]float64
	// localGroups counts the groups of each model within a domain.
	localGroups map[ident.Domain]map[ident.Model]int
	free        []Candidate
	loadsLeft   int
}

func newPlan(input *PlanInput) *plan {
	p := &plan{
		PlanInput: input, targetGroups: TargetGroups(input), requiredGroups: RequiredGroups(input), loadsLeft: input.LoadBudget,
		capacity: map[ident.Model]float64{}, openCapacity: map[ident.Model]float64{}, localGroups: map[ident.Domain]map[ident.Model]int{},
	}
	p.free = append(p.free, input.Free...)
	for i := range input.Groups {
		g := &input.Groups[i]
		p.addGroup(g.Model, p.groupCapacity(g), g.CrossDomain, g.Members[0].Domain)
		if g.Open {
			p.openCapacity[g.Model] += p.groupCapacity(g)
		}
	}
	for domain, c := range input.Expected {
		for range c.Count {
			p.addGroup(c.Model, 1, false, domain)
		}
	}
	return p
}

// Plan returns what to begin now.
func Plan(input *PlanInput) Decision {
	p := newPlan(input)
	var d Decision
	d.Groups = p.formGroups((*plan).planLocal)
	if !input.BeforeFirstRequest {
		d.Close = p.chooseClosings()
	}
	if len(d.Close) == 0 && !input.BeforeFirstRequest {
		d.Groups = append(d.Groups, p.formGroups((*plan).planCrossDomain)...)
	}
	d.Stage = p.chooseStaging()
	d.WarmUp = p.chooseWarmUps(d.Stage)
	d.Reason = p.summary()
	return d
}

// summary tells, for each model, the groups that it has of those that it needs, or would get by its share.
func (p *plan) summary() string {
	var list []string
	for i := range p.Engine.Models {
		m := p.Engine.Models[i].Name
		list = append(list, fmt.Sprintf("%s %.1f of %.0f", m, p.capacity[m], p.wantedGroups(m)))
	}
	return strings.Join(list, ", ")
}

// formGroups chooses groups one by one as long as choose finds one for a model, the neediest first.
func (p *plan) formGroups(choose func(p *plan, m *httproute.Model) (GroupPlan, bool)) []GroupPlan {
	var groups []GroupPlan
	for {
		group, ok := p.nextGroup(choose)
		if !ok {
			return groups
		}
		groups = append(groups, group)
		p.loadsLeft -= group.Loads
		capacity := 1.0
		if group.CrossDomain {
			capacity = p.crossDomainCapacity()
		}
		p.addGroup(group.Model, capacity, group.CrossDomain, p.claimMembers(group.Members))
	}
}

func (p *plan) nextGroup(choose func(p *plan, m *httproute.Model) (GroupPlan, bool)) (GroupPlan, bool) {
	for _, m := range p.byDeficit() {
		if group, ok := choose(p, m); ok {
			return group, true
		}
	}
	return GroupPlan{}, false
}

// addGroup counts a group of a model in a domain, which carries part of what a whole one does.
func (p *plan) addGroup(model ident.Model, capacity float64, crossDomain bool, domain ident.Domain) {
	p.capacity[model] += capacity
	if crossDomain {
		return
	}
	if p.localGroups[domain] == nil {
		p.localGroups[domain] = map[ident.Model]int{}
	}
	p.localGroups[domain][model]++
}

// claimMembers removes members from the free upstreams and returns the domain of the last one.
func (p *plan) claimMembers(members []ident.Incarnation) ident.Domain {
	var remaining []Candidate
	var domain ident.Domain
	for i := range p.free {
		if slices.Contains(members, p.free[i].ID) {
			domain = p.free[i].Domain
			continue
		}
		remaining = append(remaining, p.free[i])
	}
	p.free = remaining
	return domain
}

// planLocal returns the best group of m within one domain: the soonest ready, in a domain with the fewest groups of m, with the
// fewest upstreams left over.
func (p *plan) planLocal(m *httproute.Model) (GroupPlan, bool) {
	lacking := p.hasDeficit(m.Name)
	if !lacking && p.yieldsToOthers(m) {
		return GroupPlan{}, false
	}
	if group, ok := p.planLocalFrom(m, lacking, fastEnough); ok || p.capacity[m.Name] > 0 {
		return group, ok
	}
	// A slow group is better than none.
	return p.planLocalFrom(m, lacking, func(*Candidate) bool { return true })
}

// planLocalFrom is near among the upstreams that fit.
func (p *plan) planLocalFrom(m *httproute.Model, lacking bool, accept func(c *Candidate) bool) (GroupPlan, bool) {
	var best GroupPlan
	var bestRank groupRank
	found := false
	allFree := byDomain(p.free, accept)
	usable := byDomain(p.free, func(c *Candidate) bool { return accept(c) && (p.BeforeFirstRequest || hasWeights(m, c)) })
	for _, domain := range sortedKeys(usable) {
		candidates := usable[domain]
		if len(candidates) < m.Size || !lacking && !p.leavesEnoughSpares(domain, len(allFree[domain])-m.Size) {
			continue
		}
		group := fastestMembers(m, candidates)
		if group.Loads > p.loadsLeft {
			continue
		}
		leftOver := len(allFree[domain]) - m.Size
		r := groupRank{group.ReadyIn, p.localGroups[domain][m.Name], leftOver < sparesPerDomain, leftOver}
		if !found || r.less(bestRank) {
			best, bestRank, found = group, r, true
		}
	}
	return best, found
}

// yieldsToOthers reports whether free upstreams are kept for what completes a group of a model that needs one more than m.
func (p *plan) yieldsToOthers(m *httproute.Model) bool {
	if len(p.requiredGroups) == 0 && !p.BeforeFirstRequest {
		return p.deficit(m.Name) < p.deficit(p.byDeficit()[0].Name)
	}
	return p.anyDeficit()
}

// leavesEnoughSpares reports whether a domain may be left with so many free upstreams; the first group of a domain may use all.
func (p *plan) leavesEnoughSpares(domain ident.Domain, leftOver int) bool {
	return leftOver >= sparesPerDomain || len(p.localGroups[domain]) == 0
}

// groupRank orders choices; lower is better.
type groupRank struct {
	readyIn time.Duration
	// sameModel is how many groups of the model the domain has, bare whether it would have no spare, left how many would be free.
	sameModel int
	noSpare   bool
	leftOver  int
}

func (r groupRank) less(other groupRank) bool {
	if r.readyIn != other.readyIn {
		return r.readyIn < other.readyIn
	}
	if r.sameModel != other.sameModel {
		return r.sameModel < other.sameModel
	}
	if r.noSpare != other.noSpare {
		return other.noSpare
	}
	return r.leftOver < other.leftOver
}

func byDomain(candidates []Candidate, accept func(c *Candidate) bool) map[ident.Domain][]Candidate {
	domains := map[ident.Domain][]Candidate{}
	for i := range candidates {
		if c := &candidates[i]; accept(c) {
			domains[c.Domain] = append(domains[c.Domain], *c)
		}
	}
	return domains
}

// sortedKeys makes the order in which a map is gone through the same in each run.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// planCrossDomain puts together what is left over in several domains, those of one hall first, for a model that lacks groups.
func (p *plan) planCrossDomain(m *httproute.Model) (GroupPlan, bool) {
	if p.load(m, 0) <= plannedGroupLoad || p.deficit(m.Name) < crossDomainDeficit {
		return GroupPlan{}, false
	}
	readyByHall := map[ident.Hall]int{}
	var ready []Candidate
	for i := range p.free {
		if c := &p.free[i]; fastEnough(c) && hasWeights(m, c) {
			ready = append(ready, *c)
			readyByHall[c.Hall]++
		}
	}
	if len(ready) < m.Size {
		return GroupPlan{}, false
	}
	sort.SliceStable(ready, func(i, j int) bool {
		if a, b := readyByHall[ready[i].Hall], readyByHall[ready[j].Hall]; a != b {
			return a > b
		}
		return ready[i].Hall < ready[j].Hall
	})
	group := fastestMembers(m, ready[:m.Size])
	group.CrossDomain = true
	return group, true
}

// fastestMembers takes the members that are ready first.
func fastestMembers(m *httproute.Model, candidates []Candidate) GroupPlan {
	sorted := slices.Clone(candidates)
	slices.SortStableFunc(sorted, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(joinTime(m, &a), joinTime(m, &b)), cmp.Compare(headPenalty(m, &a), headPenalty(m, &b)))
	})
	group := GroupPlan{Model: m.Name}
	slices.SortStableFunc(sorted[:m.Size], func(a, b Candidate) int {
		return cmp.Compare(headPenalty(m, &a), headPenalty(m, &b))
	})
	for i := range sorted[:m.Size] {
		c := &sorted[i]
		group.Members = append(group.Members, c.ID)
		group.ReadyIn = max(group.ReadyIn, joinTime(m, c))
		if !hasWeights(m, c) {
			group.Loads++
		}
	}
	return group
}

// headPenalty is higher for a worse head of a group of m: one that took requests and sent nothing, one that takes few requests yet, and
// one to which entries that have not heard of the change yet still send requests for another model.
func headPenalty(m *httproute.Model, c *Candidate) int {
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

func fastEnough(c *Candidate) bool {
	return c.Slowdown < SlowdownLimit
}

// hasWeights reports whether c joins a group of m without a load from the store.
func hasWeights(m *httproute.Model, c *Candidate) bool {
	return c.LastModel == m.Name || roster.HasModel(c.Staged, m.Name)
}

// joinTime returns how long c takes to join a group of m.
func joinTime(m *httproute.Model, c *Candidate) time.Duration {
	switch {
	case c.LastModel == m.Name:
		return rejoinTime
	case roster.HasModel(c.Staged, m.Name):
		return m.Warm
	}
	return m.Load
}
