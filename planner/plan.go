package planner

// Plan compares the declared groups with the VMs and returns the next actions. It
// keeps no state: its decisions follow from the log and from presence, so a new
// leader continues where the last one stopped.
//
// Groups are planned in order of priority, then groups that lost a member before
// groups that have never been formed, then small groups before large ones. Each
// group gets the VMs that leave the best choice to the other groups: its own
// members, a spare of its own domain, a domain of which it leaves the fewest VMs,
// and only then VMs of several domains. The order in which the chosen VMs load
// weights is decided by control.Orders, which knows the state of the weight store.
//
// Spares are never held back from a declared group: a group that waits so that
// another may be repaired later is certainly down, while the other one may never
// need the repair. The weights of the policy decide whether moving a split group
// into one domain is worth a reload; see docs/design/planner.md for the
// alternatives.

import (
	"slices"
	"sort"
	"time"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
)

// Policy holds the weights of a deployment and the durations that decisions depend on.
type Policy struct {
	// DowntimeWeight is the cost of a second of one group's downtime, StrandedWeight that of a second of one stranded accelerator.
	DowntimeWeight float64
	StrandedWeight float64
	// LoadTime is the time that one load of weights takes.
	LoadTime time.Duration
	// RecoveryWait is how long a broken group without a spare waits for a VM that may only have paused.
	RecoveryWait time.Duration
	// SplitSpeedLoss is the fraction of its speed that a group across domains loses.
	SplitSpeedLoss float64
	// PaybackPeriod is the time within which moving a group into one domain must recover the cost of the reload.
	PaybackPeriod time.Duration
}

// DefaultPolicy returns equal weights, and durations for groups with some hundred gigabytes of weights.
func DefaultPolicy() Policy {
	return Policy{
		DowntimeWeight: 1, StrandedWeight: 1,
		LoadTime: time.Minute, RecoveryWait: 5 * time.Second, SplitSpeedLoss: 0.4, PaybackPeriod: 30 * time.Minute,
	}
}

// ActionKind is the kind of an action.
type ActionKind uint8

// The kinds of actions. ActionBreak records that a group has lost a member and cannot be repaired yet.
const (
	ActionAssign ActionKind = iota + 1
	ActionDrain
	ActionBreak
)

// Action is one command for the log, valid for a group in epoch BaseEpoch. An assignment without members releases the group's members.
type Action struct {
	Kind      ActionKind
	Group     ident.Group
	BaseEpoch ident.Epoch
	Members   []ident.VM
	Reason    string
}

// plan is the working state of one call of Plan; VMs, groups and domains are indexes into the snapshot.
type plan struct {
	snapshot         *Snapshot
	policy           Policy
	taken            []bool // VMs that were assigned
	domainVersion    []int  // counts the assigned VMs of each domain, for poolDomain
	freeIndexes      []int
	freeScanned      bool
	pools            map[string]*pool
	actions          []Action
	unrepairedGroups []int // groups that lost members without a replacement
	unformedGroups   []int // pending groups that fit into no single domain
}

// Plan returns the next actions for s under policy; equal inputs give equal actions.
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

// anyJoining reports whether any VM is joining a group.
func (p *plan) anyJoining() bool {
	for i := range p.snapshot.VMs {
		if p.snapshot.VMs[i].Phase == fleet.VMJoining {
			return true
		}
	}
	return false
}

// order returns the groups that need a decision, sorted by precedence.
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

// settled reports whether a group needs no decision, as is the case for most groups.
func (p *plan) settled(g *Group) bool {
	return !g.Deleted && !g.NeedsReform && (g.Phase == fleet.GroupServing || g.Phase == fleet.GroupForming) && p.snapshot.intact(g)
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
		// Wait until requests in progress have ended, also at members that no longer belong to the group.
	case g.Deleted:
		p.assign(g, nil, "group deleted")
	case g.Phase == fleet.GroupPending:
		p.form(i, g)
	case g.Phase == fleet.GroupServing && canServe:
		p.addAction(Action{Kind: ActionDrain, Group: g.Spec.Name, BaseEpoch: g.Epoch, Reason: "declared load or members changed"})
	case g.Phase == fleet.GroupDraining || g.NeedsReform:
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

// freeVMs returns the VMs that can join a group. They are searched on the first call, so that a plan that needs none saves the search.
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

// poolFor returns the pool of the free VMs that a spec's selector matches.
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

// formAcrossDomains forms a group from several domains; it is called after all groups that fit into one domain have been formed.
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

// repair keeps the members that can stay and adds free VMs for the lost ones.
func (p *plan) repair(i int, g *Group) {
	kept := p.snapshot.keptMembers(g)
	missing := g.Spec.Size - len(kept)
	if missing == 0 {
		p.assign(g, kept, "a member restarted")
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
	p.assign(g, append(kept, added...), "lost members replaced")
}

// replaceAll forms a group that has lost all members from other VMs.
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
	p.assign(g, members, "all members lost, formed from other VMs")
}

// waitForVM leaves a broken group as it is until a VM is free for it. The break is recorded in the log, so that a later leader does not
// mistake the return of the lost member for an unbroken group.
func (p *plan) waitForVM(i int, g *Group) {
	p.unrepairedGroups = append(p.unrepairedGroups, i)
	if g.Phase != fleet.GroupBroken {
		p.addAction(Action{Kind: ActionBreak, Group: g.Spec.Name, BaseEpoch: g.Epoch, Reason: "a member was lost and no free VM can replace it"})
	}
}

// reform chooses the members after a drain: the same ones if all can stay and are in one domain, else VMs of one domain if possible.
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
		p.assign(g, kept[:g.Spec.Size], "reduced to the declared size")
	default:
		p.repair(i, g)
	}
}

// singleDomainSet returns VMs for the whole group from the domain with the most kept members that has enough VMs, or nil.
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

// consolidate dissolves one broken group whose members can complete another one.
func (p *plan) consolidate() {
	if len(p.unrepairedGroups) < 2 {
		return
	}
	first := &p.snapshot.Groups[p.unrepairedGroups[0]]
	missing := first.Spec.Size - len(p.snapshot.keptMembers(first))
	for n := len(p.unrepairedGroups) - 1; n > 0; n-- {
		donor := &p.snapshot.Groups[p.unrepairedGroups[n]]
		// A VM that only paused returns without a load. One that restarts has to load anyway, so waiting longer gains nothing.
		if min(donor.DownFor, first.DownFor) < p.policy.RecoveryWait {
			continue
		}
		if p.countUsefulVMs(first, donor) >= missing {
			p.assign(donor, nil, "its VMs complete group "+string(first.Spec.Name))
			return
		}
	}
}

// countUsefulVMs counts the members of donor that could join g.
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

// moveToOneDomain drains one group across domains if one domain can hold the group and the gained speed is worth the reload.
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
			p.addAction(Action{Kind: ActionDrain, Group: g.Spec.Name, BaseEpoch: g.Epoch, Reason: "one domain can hold the whole group"})
			return
		}
	}
}

// worthMoving compares the accelerator time that a group across domains wastes within PaybackPeriod with the downtime of a reload.
func (p *plan) worthMoving() bool {
	gain := p.policy.StrandedWeight * p.policy.SplitSpeedLoss * float64(p.policy.PaybackPeriod)
	return gain > p.policy.DowntimeWeight*float64(p.policy.LoadTime)
}

// sortBySpeed sorts VMs by speed, fastest first, then by losses.
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

// sortForRepair sorts VMs by losses, fewest first. Equal VMs are sorted by speed: first those that do not slow down the group, slowest first so
// that fast VMs stay free for other groups, then the others, fastest first.
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
