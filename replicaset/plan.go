package replicaset

// Plan is a pure function: from the free upstreams and the existing groups it
// chooses the groups to form, the groups to close for better ones, and the
// weights to load.
//
// Loading weights takes longer than many groups exist. After the start, groups
// are therefore formed only from upstreams that have the weights in use or on
// their host, and replacements for lost members are prepared in advance:
//
//   - the groups of one model are spread over the domains, and each domain
//     keeps a spare;
//   - a spare has been in a group of the largest model, so it joins at once;
//   - every upstream has the weights of a further model on its host, so that
//     a model can get members from the groups of another one.
//
// While the demand is unknown, models get groups by their declared shares. After
// that, each model gets the groups that its demand requires, and the remaining
// upstreams stay free as spares.

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
	// rejoinTime is the time to join a group of the same model as the engine's last group.
	rejoinTime = 200 * time.Millisecond
	// sparesPerDomain upstreams of a domain stay free while no model lacks groups; one is enough since members are mostly lost one at
	// a time.
	sparesPerDomain = 1
	// crossDomainDeficit is the fraction of a model's groups that must be missing before a group across domains is formed: such a
	// group uses the spares of several domains and has a third of the capacity of a group within one domain.
	crossDomainDeficit = 0.4
	// plannedGroupLoad is the load that is planned for a group, as a fraction of its capacity.
	plannedGroupLoad = 0.95
	// minLoadGain is the reduction of the highest load that justifies closing a group for one of another model. The reduction may be
	// smaller if it is at least minGainFraction of what one more group brings.
	minLoadGain     = 0.08
	minGainFraction = 0.5
)

// Candidate is an upstream that can be a member of a group.
type Candidate struct {
	ID     ident.Incarnation
	Hall   ident.Hall
	Domain ident.Domain
	// LastModel is the model of its last group; Staged models are on its host, and Staging is being loaded to its host.
	LastModel ident.Model
	Staged    []ident.Model
	Staging   ident.Model
	// StalledAsHead is set when the upstream was the head of a group that stalled although all its members reported.
	StalledAsHead bool
	// Cold is set while the upstream, just started, accepts few requests.
	Cold bool
	// LastHeadedModel is the model of the last group that the upstream was the head of.
	LastHeadedModel ident.Model
	// Slowdown is how many times longer than usual the upstream's work takes; 0 and 1 mean that it is not slow.
	Slowdown float64
}

// ExistingGroup is a group that serves or will serve.
type ExistingGroup struct {
	Name        ident.Group
	Model       ident.Model
	CrossDomain bool
	Members     []Candidate
	// Open is set when the group serves, Settled when it has served for long enough to be closed for a better one.
	Open    bool
	Settled bool
}

// GroupPlan is a group to form; Loads members have to load the weights from the store first.
type GroupPlan struct {
	Model       ident.Model
	Members     []ident.Incarnation
	CrossDomain bool
	Loads       int
	ReadyIn     time.Duration
}

// WeightLoad is a decision that an upstream loads the weights of a model.
type WeightLoad struct {
	ID    ident.Incarnation
	Model ident.Model
}

// Closing is a group to close so that Domain gets the Expected groups instead.
type Closing struct {
	Group    ident.Group
	Domain   ident.Domain
	Expected ExpectedGroups
	// Reason is what the models gain and lose by it; "" for a group of the same model.
	Reason string
}

// ExpectedGroups counts the groups of Model that a domain gets once other groups of the domain have closed.
type ExpectedGroups struct {
	Model ident.Model
	Count int
}

// Decision is the result of Plan, each list with the most useful item first.
type Decision struct {
	Groups []GroupPlan
	// Stage lists loads to hosts. WarmUp lists upstreams that join a group of their own, so that they later join without a load.
	Stage  []WeightLoad
	WarmUp []WeightLoad
	Close  []Closing
	// Reason lists the groups that every model has and should have.
	Reason string
}

// PlanInput is the input of Plan.
type PlanInput struct {
	Engine *httproute.Engine
	// Free lists the upstreams that can join a group, sorted by id.
	Free []Candidate
	// Groups is sorted by name.
	Groups []ExistingGroup
	// Expected holds the new groups of domains in which groups are closing.
	Expected map[ident.Domain]ExpectedGroups
	// Usable is the number of usable upstreams, free or not, and DomainSizes that of each domain; if it is nil, the listed upstreams count.
	Usable      int
	DomainSizes map[ident.Domain]int
	// Demand is the same as in Snapshot.
	Demand map[ident.Model]float64
	// LoadBudget is the number of loads that may start now.
	LoadBudget int
	// BeforeFirstRequest is set until the first request arrives; until then loads are cheap.
	BeforeFirstRequest bool
	// Spares is the same as in Formation.
	Spares bool
	// Ending lists the members of groups that are closing or leaving, which will be free soon.
	Ending []Candidate
}

// plan is the working state of one call of Plan.
type plan struct {
	*PlanInput
	targetGroups   map[ident.Model]int
	requiredGroups map[ident.Model]int
	// capacity is the number of groups of each model; degraded groups count by the fraction of the throughput that they reach.
	capacity map[ident.Model]float64
	// openCapacity is the capacity of the groups that already serve.
	openCapacity map[ident.Model]float64
	// localGroups counts the groups of each model within a domain.
	localGroups map[ident.Domain]map[ident.Model]int
	free        []Candidate
	loadsLeft   int
	// domainSizes counts the upstreams of each domain.
	domainSizes map[ident.Domain]int
}

func newPlan(input *PlanInput) *plan {
	p := &plan{
		PlanInput: input, targetGroups: TargetGroups(input), requiredGroups: RequiredGroups(input), loadsLeft: input.LoadBudget,
		capacity: map[ident.Model]float64{}, openCapacity: map[ident.Model]float64{}, localGroups: map[ident.Domain]map[ident.Model]int{},
		domainSizes: countDomains(input),
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

// Plan decides which groups to form or close and which weights to load now.
func Plan(input *PlanInput) Decision {
	p := newPlan(input)
	var d Decision
	d.Groups = p.formGroups((*plan).planLocal)
	if input.BeforeFirstRequest {
		d.Close = p.chooseRegrouping()
	} else {
		d.Close = p.chooseClosings()
	}
	if len(d.Close) == 0 && !input.BeforeFirstRequest {
		d.Groups = append(d.Groups, p.formGroups((*plan).planCrossDomain)...)
	}
	d.Reason = p.summary()
	d.Stage = p.chooseMissingLoads()
	d.Stage = append(d.Stage, p.chooseStaging(d.Stage)...)
	d.WarmUp = p.chooseWarmUps(d.Stage)
	return d
}

// summary lists the capacity and the wanted groups of each model.
func (p *plan) summary() string {
	var parts []string
	for i := range p.Engine.Models {
		m := p.Engine.Models[i].Name
		parts = append(parts, fmt.Sprintf("%s %.1f of %.0f", m, p.capacity[m], p.wantedGroups(m)))
	}
	return strings.Join(parts, ", ")
}

// formGroups plans groups, for the model with the largest deficit first, until choose finds none for any model.
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

// addGroup counts a group of a model with a fraction of the capacity of a complete group.
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
	var domain ident.Domain
	for i := range p.free {
		if slices.Contains(members, p.free[i].ID) {
			domain = p.free[i].Domain
		}
	}
	p.free = without(p.free, members)
	return domain
}

// without returns the candidates that are not listed as members.
func without(candidates []Candidate, members []ident.Incarnation) []Candidate {
	var remaining []Candidate
	for i := range candidates {
		if !slices.Contains(members, candidates[i].ID) {
			remaining = append(remaining, candidates[i])
		}
	}
	return remaining
}

// planLocal plans the best group of m within one domain: the one that is ready first, then in the domain with the fewest groups of m,
// then with the fewest upstreams left over.
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

// planLocalFrom is planLocal for the upstreams that accept selects.
func (p *plan) planLocalFrom(m *httproute.Model, lacking bool, accept func(c *Candidate) bool) (GroupPlan, bool) {
	var best GroupPlan
	var bestRank groupRank
	found := false
	allFree := byDomain(p.free, accept)
	usable := byDomain(p.free, func(c *Candidate) bool { return accept(c) && (p.BeforeFirstRequest || hasWeights(m, c)) })
	for _, domain := range sortedKeys(usable) {
		candidates := usable[domain]
		if len(candidates) < m.Size || !lacking && !p.leavesEnoughSpares(m, domain, len(allFree[domain])-m.Size) {
			continue
		}
		group := fastestMembers(m, candidates)
		if group.Loads > p.loadsLeft || !lacking && p.reserved(m, domain, &group) {
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

// yieldsToOthers reports whether free upstreams are kept for a model with a larger deficit than m.
func (p *plan) yieldsToOthers(m *httproute.Model) bool {
	if len(p.requiredGroups) == 0 && !p.BeforeFirstRequest {
		return p.deficit(m.Name) < p.deficit(p.byDeficit()[0].Name)
	}
	return p.anyDeficit()
}

// countDomains counts the upstreams of each domain.
func countDomains(input *PlanInput) map[ident.Domain]int {
	if input.DomainSizes != nil {
		return input.DomainSizes
	}
	counts := map[ident.Domain]int{}
	add := func(candidates []Candidate) {
		for i := range candidates {
			counts[candidates[i].Domain]++
		}
	}
	add(input.Free)
	add(input.Ending)
	for i := range input.Groups {
		add(input.Groups[i].Members)
	}
	return counts
}

// reserved reports whether a group of m, which has enough groups, would take members that the domain keeps for a larger model.
func (p *plan) reserved(m *httproute.Model, domain ident.Domain, group *GroupPlan) bool {
	if !p.sparesApply() {
		return false
	}
	remaining := without(p.free, group.Members)
	return p.takesRemaining(m, domain, remaining)
}

// leavesEnoughSpares reports whether a domain may be left with leftOver free upstreams by a group of m; its first group may use all of
// them, and so may one that most members of a lost group remain for.
func (p *plan) leavesEnoughSpares(m *httproute.Model, domain ident.Domain, leftOver int) bool {
	return leftOver >= sparesPerDomain || len(p.localGroups[domain]) == 0 || p.sparesApply() && p.lostGroup(m, domain)
}

// groupRank orders possible groups; a lower rank is better.
type groupRank struct {
	readyIn time.Duration
	// sameModel counts the domain's groups of the model, leftOver the upstreams that would stay free.
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

// sortedKeys gives iteration over a map the same order in each run.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// planCrossDomain plans a group from free upstreams of several domains, preferably of one hall, for a model that lacks groups.
func (p *plan) planCrossDomain(m *httproute.Model) (GroupPlan, bool) {
	if !p.needsCrossDomain(m) {
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

// needsCrossDomain reports whether m lacks so many groups that one across domains is worth its members.
func (p *plan) needsCrossDomain(m *httproute.Model) bool {
	return p.load(m, 0) > plannedGroupLoad && p.deficit(m.Name) >= crossDomainDeficit
}

// fastestMembers plans a group of the candidates that are ready first, with the best head at the front.
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

// headPenalty is higher for a worse head of a group of m: one that accepted requests and sent nothing, one that accepts few requests
// yet, and one to which entries still send requests for another model because they have not received the change.
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

// SlowdownLimit is the slowdown from which an upstream is left out of groups; below it, a group still answers in time.
const SlowdownLimit = 1.5

func fastEnough(c *Candidate) bool {
	return c.Slowdown < SlowdownLimit
}

// hasWeights reports whether c can join a group of m without a load from the store.
func hasWeights(m *httproute.Model, c *Candidate) bool {
	return c.LastModel == m.Name || roster.HasModel(c.Staged, m.Name)
}

// joinTime estimates how long c takes to join a group of m.
func joinTime(m *httproute.Model, c *Candidate) time.Duration {
	switch {
	case c.LastModel == m.Name:
		return rejoinTime
	case roster.HasModel(c.Staged, m.Name):
		return m.WarmLoadTime
	}
	return m.LoadTime
}
