package planner

import (
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
)

// Condition is what presence says of a VM, judged against the bounds of the settings.
type Condition uint8

// The conditions of a VM; a suspect one is absent, but not yet for long enough to act on.
const (
	ConditionPresent Condition = iota
	ConditionSuspect
	ConditionLost
	ConditionRestarted
	ConditionUnknown
)

// String returns the condition in kebab case.
func (c Condition) String() string {
	return [...]string{"present", "suspect", "lost", "restarted", "unknown"}[c]
}

// VM is one machine as the planner sees it.
type VM struct {
	*fleet.VM
	Condition Condition
	// StableFor is how long the condition has held.
	StableFor time.Duration
	// Flaps counts recent losses of this VM.
	Flaps  int
	domain int
	group  int
}

// Group is one declared group as the planner sees it.
type Group struct {
	*fleet.Group
	// Drained is set when no daemon has a request in progress at this group.
	Drained bool
	// DownFor is how long the group has not been able to serve.
	DownFor time.Duration
	members []int
}

// Snapshot is the whole input of a plan in dense form; VMs and groups are in order of their names.
type Snapshot struct {
	VMs     []VM
	Groups  []Group
	domains []string
	byVM    map[ident.VM]int
	byGroup map[ident.Group]int
}

const none = -1

// NewSnapshot returns the dense form of s, with every VM present and every group not drained.
func NewSnapshot(s *fleet.State) *Snapshot {
	w := &Snapshot{byVM: make(map[ident.VM]int, len(s.VMs)), byGroup: make(map[ident.Group]int, len(s.Groups))}
	for i, g := range s.SortedGroups() {
		w.Groups = append(w.Groups, Group{Group: g})
		w.byGroup[g.Spec.Name] = i
	}
	domains := map[string]int{}
	for i, v := range s.SortedVMs() {
		w.VMs = append(w.VMs, VM{VM: v, domain: w.domainIndex(domains, v), group: w.groupIndex(v)})
		w.byVM[v.Name] = i
	}
	for i := range w.Groups {
		g := &w.Groups[i]
		for _, name := range g.Members {
			g.members = append(g.members, w.byVM[name])
		}
	}
	return w
}

// domainIndex numbers domains; a domain's name counts within its hall only.
func (w *Snapshot) domainIndex(domains map[string]int, v *fleet.VM) int {
	key := string(v.Hall) + "/" + string(v.Domain)
	i, ok := domains[key]
	if !ok {
		i = len(w.domains)
		domains[key] = i
		w.domains = append(w.domains, key)
	}
	return i
}

func (w *Snapshot) groupIndex(v *fleet.VM) int {
	if v.Phase == fleet.VMFree {
		return none
	}
	if i, ok := w.byGroup[v.Group]; ok {
		return i
	}
	return none
}

// VM returns the VM of that name, or nil.
func (w *Snapshot) VM(name ident.VM) *VM {
	if i, ok := w.byVM[name]; ok {
		return &w.VMs[i]
	}
	return nil
}

// Group returns the group of that name, or nil.
func (w *Snapshot) Group(name ident.Group) *Group {
	if i, ok := w.byGroup[name]; ok {
		return &w.Groups[i]
	}
	return nil
}

// keeps reports whether member i can stay in its group g: there, wanted, admitted and not on its way out.
func (w *Snapshot) keeps(g *Group, i int) bool {
	v := &w.VMs[i]
	there := v.Condition != ConditionLost
	held := v.Epoch == g.Epoch && (v.Phase == fleet.VMJoined || v.Phase == fleet.VMJoining)
	return there && held && v.Eligible() && g.Spec.FailedRequirement(v.VM) == nil
}

// kept returns the members that can stay.
func (w *Snapshot) kept(g *Group) []int {
	var kept []int
	for _, i := range g.members {
		if w.keeps(g, i) {
			kept = append(kept, i)
		}
	}
	return kept
}

// sound reports whether nothing has to change about the members of g.
func (w *Snapshot) sound(g *Group) bool {
	for _, i := range g.members {
		c := w.VMs[i].Condition
		if c == ConditionLost || c == ConditionRestarted || !w.keeps(g, i) {
			return false
		}
	}
	return len(g.members) == g.Spec.Size
}

// alive reports whether the formation can still answer requests, whether or not its members are the wanted ones.
func (w *Snapshot) alive(g *Group) bool {
	for _, i := range g.members {
		if c := w.VMs[i].Condition; c == ConditionLost || c == ConditionRestarted {
			return false
		}
	}
	return len(g.members) > 0
}

// split reports whether the VMs lie in more than one fabric domain.
func (w *Snapshot) split(members []int) bool {
	return slices.ContainsFunc(members, func(i int) bool {
		return w.VMs[i].domain != w.VMs[members[0]].domain
	})
}

func (w *Snapshot) names(members []int) []ident.VM {
	names := make([]ident.VM, len(members))
	for i, m := range members {
		names[i] = w.VMs[m].Name
	}
	return names
}
