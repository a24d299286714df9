package planner

import (
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
)

// Condition is the state of a VM by presence, with the bounds of the settings.
type Condition uint8

// The conditions of a VM. A suspect VM is absent, but not yet for long enough to act on.
const (
	ConditionPresent Condition = iota
	ConditionSuspect
	ConditionLost
	ConditionRestarted
	ConditionUnknown
)

// String returns the condition as operators see it.
func (c Condition) String() string {
	return [...]string{"present", "suspect", "lost", "restarted", "unknown"}[c]
}

// VM is a VM with its condition.
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

// Group is a declared group with the state that planning needs.
type Group struct {
	*fleet.Group
	// Drained is set when no daemon has a request in progress at the group.
	Drained bool
	// DownFor is how long the group has been unable to serve.
	DownFor time.Duration
	members []int
}

// Snapshot is the input of Plan in indexed form; VMs and groups are sorted by name.
type Snapshot struct {
	VMs     []VM
	Groups  []Group
	domains []string
	byVM    map[ident.VM]int
	byGroup map[ident.Group]int
}

// noIndex is the index of no group and no domain.
const noIndex = -1

// NewSnapshot returns the indexed form of state, with every VM present and no group drained.
func NewSnapshot(state *fleet.State) *Snapshot {
	s := &Snapshot{byVM: make(map[ident.VM]int, len(state.VMs)), byGroup: make(map[ident.Group]int, len(state.Groups))}
	for i, g := range state.SortedGroups() {
		s.Groups = append(s.Groups, Group{Group: g})
		s.byGroup[g.Spec.Name] = i
	}
	domains := map[string]int{}
	for i, v := range state.SortedVMs() {
		s.VMs = append(s.VMs, VM{VM: v, domain: s.domainIndex(domains, v), group: s.groupIndex(v)})
		s.byVM[v.Name] = i
	}
	for i := range s.Groups {
		g := &s.Groups[i]
		for _, name := range g.Members {
			g.members = append(g.members, s.byVM[name])
		}
	}
	return s
}

// domainIndex returns the index of a VM's domain; domain names are unique only within a hall.
func (s *Snapshot) domainIndex(domains map[string]int, v *fleet.VM) int {
	key := string(v.Hall) + "/" + string(v.Domain)
	i, ok := domains[key]
	if !ok {
		i = len(s.domains)
		domains[key] = i
		s.domains = append(s.domains, key)
	}
	return i
}

func (s *Snapshot) groupIndex(v *fleet.VM) int {
	if v.Phase == fleet.VMFree {
		return noIndex
	}
	if i, ok := s.byGroup[v.Group]; ok {
		return i
	}
	return noIndex
}

// VM returns the VM of that name, or nil.
func (s *Snapshot) VM(name ident.VM) *VM {
	if i, ok := s.byVM[name]; ok {
		return &s.VMs[i]
	}
	return nil
}

// Group returns the group of that name, or nil.
func (s *Snapshot) Group(name ident.Group) *Group {
	if i, ok := s.byGroup[name]; ok {
		return &s.Groups[i]
	}
	return nil
}

// canKeep reports whether member i can stay in its group g: not lost, in the group's current epoch, eligible, and matching its selector.
func (s *Snapshot) canKeep(g *Group, i int) bool {
	v := &s.VMs[i]
	present := v.Condition != ConditionLost
	held := v.Epoch == g.Epoch && (v.Phase == fleet.VMJoined || v.Phase == fleet.VMJoining)
	return present && held && v.Eligible() && g.Spec.FailedRequirement(v.VM) == nil
}

// keptMembers returns the members that can stay.
func (s *Snapshot) keptMembers(g *Group) []int {
	var kept []int
	for _, i := range g.members {
		if s.canKeep(g, i) {
			kept = append(kept, i)
		}
	}
	return kept
}

// intact reports whether all members of g can stay and none has restarted.
func (s *Snapshot) intact(g *Group) bool {
	for _, i := range g.members {
		c := s.VMs[i].Condition
		if c == ConditionLost || c == ConditionRestarted || !s.canKeep(g, i) {
			return false
		}
	}
	return len(g.members) == g.Spec.Size
}

// canServe reports whether no member is lost or has restarted, so that g can answer requests even if its members should change.
func (s *Snapshot) canServe(g *Group) bool {
	for _, i := range g.members {
		if c := s.VMs[i].Condition; c == ConditionLost || c == ConditionRestarted {
			return false
		}
	}
	return len(g.members) > 0
}

// spansDomains reports whether the VMs are in more than one fabric domain.
func (s *Snapshot) spansDomains(members []int) bool {
	return slices.ContainsFunc(members, func(i int) bool {
		return s.VMs[i].domain != s.VMs[members[0]].domain
	})
}

func (s *Snapshot) vmNames(members []int) []ident.VM {
	names := make([]ident.VM, len(members))
	for i, m := range members {
		names[i] = s.VMs[m].Name
	}
	return names
}
