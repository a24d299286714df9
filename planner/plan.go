package planner

// Plan compares what is declared with what is there and returns the next
// actions. It keeps no state: what it wants next follows from the log and from
// presence, so a new leader continues where the last one stopped.
//
// The order of choice is: important groups before others, groups that lost a
// member before groups that never formed, small ones before large ones. Within
// that order each group takes the VMs that hurt the rest least: its own
// members, a spare of its own domain, a domain that it fills to the brim, and
// only then several domains. In which order the chosen VMs load is not decided
// here but by control.Orders, which knows what the weight store is doing.
//
// Spares are never held back from a declared group: a group that waits so that
// another may be repaired later is down for certain, the other one only
// perhaps. The weights decide whether moving a split replica home is worth a
// reload; see docs/design/planner.md for what else was weighed.

import (
	"slices"
	"sort"
	"time"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
)

// Policy holds the weights of a deployment and what the planner must know of its times.
type Policy struct {
	// DowntimeWeight weighs a second of one group's downtime, Stranded a second of one stranded accelerator.
	DowntimeWeight float64
	StrandedWeight float64
	// LoadTime is how long one load takes.
	LoadTime time.Duration
	// RecoveryWait is how long a broken group without a spare waits for a VM that may only have paused.
	RecoveryWait time.Duration
	// SplitSpeedLoss is the share of its speed that a replica across domains loses.
	SplitSpeedLoss float64
	// PaybackPeriod is how long a move home has to pay for itself.
	PaybackPeriod time.Duration
}

// DefaultPolicy returns even weights and times that suit a replica of some hundred gigabytes.
func DefaultPolicy() Policy {
	return Policy{
		DowntimeWeight: 1, StrandedWeight: 1,
		LoadTime: time.Minute, RecoveryWait: 5 * time.Second, SplitSpeedLoss: 0.4, PaybackPeriod: 30 * time.Minute,
	}
}

// ActionKind says what an action does.
type ActionKind uint8

// The kinds of actions.
const (
	ActionAssign ActionKind = iota + 1
	ActionDrain
	ActionBreak
)

// Action is one command for the log, decided on epoch Base; an assignment without members releases them.
type Action struct {
	Kind      ActionKind
	Group     ident.Group
	BaseEpoch ident.Epoch
	Members   []ident.VM
	Reason    string
}

type plan struct {
	snapshot         *Snapshot
	policy           Policy
	taken            []bool
	domainVersion    []int
	freeIndexes      []int
	freeScanned      bool
	pools            map[string]*pool
	actions          []Action
	unrepairedGroups []int // groups that lost members and found no replacement
	unformedGroups   []int // pending groups that found no single domain
}

// Plan returns the next actions for w under policy; equal inputs give equal actions.
func Plan(s *Snapshot, policy Policy) []Action {
	p := &plan{snapshot: s, policy: policy, taken: make([]bool, len(s.VMs)), domainVersion: make([]int, len(s.domains)), pools: map[string]*pool{}}
	for _, g := range p.order() {
		p.decide(g)
	}
	for _, g := range p.unformedGroups {
		p.formAcrossDomains(g)
	}
	p.consolidate()
	p.moveToOneDomain()
	return p.actions
}

// anyJoining reports whether any VM is on its way into a group.
func (p *plan) anyJoining() bool {
	for i := range p.snapshot.VMs {
		if p.snapshot.VMs[i].Phase == fleet.VMJoining {
			return true
		}
	}
	return false
}

// order returns the groups that need a decision, the most useful first.
func (p *plan) order() []int {
	var order []int
	for i := range p.snapshot.Groups {
		if p.settled(&p.snapshot.Groups[i]) {
			continue
		}
		order = append(order, i)
	}
	sort.SliceStable(order, func(a, b int) bool {
		return p.precedes(&p.snapshot.Groups[order[a]], &p.snapshot.Groups[order[b]])
	})
	return order
}

// settled is true for the many groups about which nothing has to be decided.
func (p *plan) settled(g *Group) bool {
	return !g.Deleted && !g.Reform && (g.Phase == fleet.GroupServing || g.Phase == fleet.GroupForming) && p.snapshot.intact(g)
}

func (p *plan) precedes(a, b *Group) bool {
	if a.Spec.Priority != b.Spec.Priority {
		return a.Spec.Priority < b.Spec.Priority
	}
	if aExisted, bExisted := a.Phase != fleet.GroupPending, b.Phase != fleet.GroupPending; aExisted != bExisted {
		return aExisted
	}
	return a.Spec.Size < b.Spec.Size
}

func (p *plan) decide(i int) {
	g := &p.snapshot.Groups[i]
	canServe := p.snapshot.canServe(g)
	switch {
	case g.Phase == fleet.GroupDraining && !g.Drained && canServe:
		// Requests in progress end in peace, also at members that are no longer wanted.
	case g.Deleted:
		p.assign(g, nil, "dissolved")
	case g.Phase == fleet.GroupPending:
		p.form(i, g)
	case g.Phase == fleet.GroupServing && canServe:
		p.addAction(Action{Kind: ActionDrain, Group: g.Spec.Name, BaseEpoch: g.Epoch, Reason: "declared load or members changed"})
	case g.Phase == fleet.GroupDraining || g.Reform:
		p.reform(i, g)
	default:
		p.repair(i, g)
	}
}

func (p *plan) addAction(a Action) {
	p.actions = append(p.actions, a)
}

func (p *plan) assign(g *Group, members []int, reason string) {
	for _, i := range members {
		if !p.taken[i] {
			p.taken[i] = true
			p.domainVersion[p.snapshot.VMs[i].domain]++
		}
	}
	p.addAction(Action{Kind: ActionAssign, Group: g.Spec.Name, BaseEpoch: g.Epoch, Members: p.snapshot.vmNames(members), Reason: reason})
}

// freeVMs lists the VMs that any group could take, found at the first need and not for a plan without one.
func (p *plan) freeVMs() []int {
	if !p.freeScanned {
		p.freeScanned = true
		for i := range p.snapshot.VMs {
			if p.snapshot.freeFit(i) == FitYes {
				p.freeIndexes = append(p.freeIndexes, i)
			}
		}
	}
	return p.freeIndexes
}

func (p *plan) poolFor(spec *fleet.GroupSpec) *pool {
	key := selectorKey(spec)
	pl := p.pools[key]
	if pl == nil {
		pl = newPool(p, spec)
		p.pools[key] = pl
	}
	return pl
}

func (p *plan) form(i int, g *Group) {
	members := p.poolFor(&g.Spec).fromOneDomain(g.Spec.Size)
	if members == nil {
		p.unformedGroups = append(p.unformedGroups, i)
		return
	}
	p.assign(g, members, "formed in one domain")
}

// formAcrossDomains is tried after every group that fits one domain has had its choice.
func (p *plan) formAcrossDomains(i int) {
	g := &p.snapshot.Groups[i]
	if g.Spec.OneDomain {
		return
	}
	members := p.poolFor(&g.Spec).fromSeveralDomains(g.Spec.Size)
	if members != nil {
		p.assign(g, members, "formed across domains")
	}
}

// repair keeps the members that are there and looks for as many more as are lost.
func (p *plan) repair(i int, g *Group) {
	kept := p.snapshot.keptMembers(g)
	missing := g.Spec.Size - len(kept)
	if missing == 0 {
		p.assign(g, kept, "member restarted")
		return
	}
	if len(kept) == 0 {
		p.replaceAll(i, g)
		return
	}
	added := p.poolFor(&g.Spec).additions(kept, missing, g.Spec.OneDomain)
	if added == nil {
		p.waitForVM(i, g)
		return
	}
	p.assign(g, append(kept, added...), "lost member replaced")
}

// replaceAll forms the group elsewhere when its whole domain is dark.
func (p *plan) replaceAll(i int, g *Group) {
	pl := p.poolFor(&g.Spec)
	members := pl.fromOneDomain(g.Spec.Size)
	if members == nil && !g.Spec.OneDomain {
		members = pl.fromSeveralDomains(g.Spec.Size)
	}
	if members == nil {
		p.waitForVM(i, g)
		return
	}
	p.assign(g, members, "all members lost, formed elsewhere")
}

// waitForVM leaves a broken group as it is until a VM is there for it. That it broke goes into the log,
// so that no later leader takes a member's return for an undisturbed formation.
func (p *plan) waitForVM(i int, g *Group) {
	p.unrepairedGroups = append(p.unrepairedGroups, i)
	if g.Phase != fleet.GroupBroken {
		p.addAction(Action{Kind: ActionBreak, Group: g.Spec.Name, BaseEpoch: g.Epoch, Reason: "member lost and no VM to replace it"})
	}
}

// reform chooses members anew after a drain: the same ones if they still are the right ones and lie together.
func (p *plan) reform(i int, g *Group) {
	kept := p.snapshot.keptMembers(g)
	unchanged := len(kept) == g.Spec.Size
	if unchanged && !p.snapshot.spansDomains(kept) {
		p.assign(g, kept, "reloaded in place")
		return
	}
	if members := p.singleDomainSet(g, kept); members != nil {
		p.assign(g, members, "moved into one domain")
		return
	}
	switch {
	case unchanged:
		p.assign(g, kept, "reloaded in place")
	case len(kept) > g.Spec.Size:
		p.assign(g, kept[:g.Spec.Size], "made smaller")
	default:
		p.repair(i, g)
	}
}

// singleDomainSet returns a full set of VMs in one domain, own members included, or nil.
func (p *plan) singleDomainSet(g *Group, kept []int) []int {
	pl := p.poolFor(&g.Spec)
	keptByDomain := map[int][]int{}
	for _, i := range kept {
		keptByDomain[p.snapshot.VMs[i].domain] = append(keptByDomain[p.snapshot.VMs[i].domain], i)
	}
	var best []int
	mostKept := -1
	for _, d := range pl.domains {
		pl.refresh(d)
		keptHere := keptByDomain[d.index]
		if len(keptHere)+len(d.members) < g.Spec.Size || len(keptHere) <= mostKept {
			continue
		}
		set := slices.Concat(keptHere, d.members)
		best, mostKept = set[:g.Spec.Size], len(keptHere)
	}
	return best
}

// consolidate gives up one broken group whose members would complete another one.
func (p *plan) consolidate() {
	if len(p.unrepairedGroups) < 2 {
		return
	}
	first := &p.snapshot.Groups[p.unrepairedGroups[0]]
	missing := first.Spec.Size - len(p.snapshot.keptMembers(first))
	for n := len(p.unrepairedGroups) - 1; n > 0; n-- {
		donor := &p.snapshot.Groups[p.unrepairedGroups[n]]
		// A VM that paused is back without a load; one that restarts has to load as well, so waiting longer gains nothing.
		if min(donor.DownFor, first.DownFor) < p.policy.RecoveryWait {
			continue
		}
		if p.countUsefulVMs(first, donor) >= missing {
			p.assign(donor, nil, "its VMs complete group "+string(first.Spec.Name))
			return
		}
	}
}

func (p *plan) countUsefulVMs(g, donor *Group) int {
	count := 0
	domain, _, _ := p.poolFor(&g.Spec).mainDomain(p.snapshot.keptMembers(g))
	for _, i := range p.snapshot.keptMembers(donor) {
		v := &p.snapshot.VMs[i]
		if g.Spec.FailedRequirement(v.VM) == nil && (!g.Spec.OneDomain || domain == noIndex || v.domain == domain) {
			count++
		}
	}
	return count
}

// moveToOneDomain drains one split group when one domain could hold it and the speed gained pays for the reload.
func (p *plan) moveToOneDomain() {
	if len(p.actions) > 0 || !p.worthMoving() || p.anyJoining() {
		return
	}
	for i := range p.snapshot.Groups {
		g := &p.snapshot.Groups[i]
		if g.Phase == fleet.GroupDraining {
			return
		}
		if g.Phase != fleet.GroupServing || len(g.members) == 0 || !p.snapshot.spansDomains(g.members) {
			continue
		}
		if p.singleDomainSet(g, p.snapshot.keptMembers(g)) != nil {
			p.addAction(Action{Kind: ActionDrain, Group: g.Spec.Name, BaseEpoch: g.Epoch, Reason: "one domain can hold the replica"})
			return
		}
	}
}

// worthMoving weighs the speed that a split replica loses, which wastes its accelerators, against the downtime of a reload.
func (p *plan) worthMoving() bool {
	gain := p.policy.StrandedWeight * p.policy.SplitSpeedLoss * float64(p.policy.PaybackPeriod)
	return gain > p.policy.DowntimeWeight*float64(p.policy.LoadTime)
}

func (p *plan) sortBySpeed(members []int) {
	vms := p.snapshot.VMs
	sort.SliceStable(members, func(a, b int) bool {
		x, y := &vms[members[a]], &vms[members[b]]
		if x.Speed != y.Speed {
			return x.Speed > y.Speed
		}
		return x.Flaps < y.Flaps
	})
}

// sortForRepair puts VMs that were lost least often first, among them those that do not slow the group, the slowest of
// them in front, so that fast ones stay for others.
func (p *plan) sortForRepair(members []int, slowest float64) {
	vms := p.snapshot.VMs
	sort.SliceStable(members, func(a, b int) bool {
		if f, g := vms[members[a]].Flaps, vms[members[b]].Flaps; f != g {
			return f < g
		}
		x, y := vms[members[a]].Speed, vms[members[b]].Speed
		if (x >= slowest) != (y >= slowest) {
			return x >= slowest
		}
		if x >= slowest {
			return x < y
		}
		return x > y
	})
}
