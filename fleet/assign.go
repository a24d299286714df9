package fleet

// Commands of the planner and the leader on groups: membership, phases, and
// confirmations from engines.

import (
	"slices"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

func (s *State) assign(revision ident.Revision, a *Assignment) *refusal {
	g, ok := s.Groups[a.Group]
	if !ok {
		return refuse(result.ChangeNotFound, "there is no group %s", a.Group)
	}
	if g.Epoch != a.BaseEpoch {
		return refuse(result.ChangeConflict, "group %s is in epoch %d, decision was based on epoch %d", a.Group, g.Epoch, a.BaseEpoch)
	}
	if len(a.Members) > 0 {
		if r := s.checkMembers(g, a.Members); r != nil {
			return r
		}
	}
	s.moveMembers(revision, g, a.Members)
	return nil
}

func (s *State) checkMembers(g *Group, members []ident.VM) *refusal {
	if g.Deleted {
		return refuse(result.ChangeRefused, "group %s is being dissolved", g.Spec.Name)
	}
	if len(members) != g.Spec.Size {
		return refuse(result.ChangeRefused, "group %s needs %d VMs, got %d", g.Spec.Name, g.Spec.Size, len(members))
	}
	seen := map[ident.VM]bool{}
	for _, name := range members {
		if seen[name] {
			return refuse(result.ChangeRefused, "VM %s is listed more than once", name)
		}
		seen[name] = true
		if r := s.checkMember(g, name); r != nil {
			return r
		}
	}
	return nil
}

func (s *State) checkMember(g *Group, name ident.VM) *refusal {
	v, ok := s.VMs[name]
	if !ok {
		return refuse(result.ChangeNotFound, "there is no VM %s", name)
	}
	if !v.Eligible() {
		return refuse(result.ChangeRefused, "VM %s is %s or drained", name, v.Listing)
	}
	if q := g.Spec.FailedRequirement(v); q != nil {
		return refuse(result.ChangeRefused, "VM %s does not meet requirement %s", name, q)
	}
	if v.Phase == VMFree {
		return nil
	}
	// A leaving VM has not confirmed that it left the older epoch, so even the same group must wait.
	if v.Group == g.Spec.Name && v.Epoch == g.Epoch && v.Phase != VMLeaving {
		return nil
	}
	return refuse(result.ChangeRefused, "VM %s belongs to group %s in epoch %d (%s)", name, v.Group, v.Epoch, v.Phase)
}

// moveMembers starts a new epoch of g: VMs not in members leave the group, those in members join.
func (s *State) moveMembers(revision ident.Revision, g *Group, members []ident.VM) {
	for _, name := range g.Members {
		if v := s.VMs[name]; !slices.Contains(members, name) {
			v.Phase = VMLeaving
			if v.Listing == ListingGone {
				v.release()
			}
		}
	}
	g.Epoch = ident.Epoch(revision)
	g.Members = append([]ident.VM(nil), members...)
	g.NeedsReform = false
	g.DrainRevision = 0
	for _, name := range members {
		v := s.VMs[name]
		v.Group, v.Epoch, v.Phase, v.Incarnation = g.Spec.Name, g.Epoch, VMJoining, ""
	}
	if len(members) > 0 {
		g.Phase = GroupForming
		return
	}
	g.Phase = GroupPending
	if g.Deleted {
		delete(s.Groups, g.Spec.Name)
	}
}

func (s *State) drainGroup(revision ident.Revision, a *Assignment) *refusal {
	g, ok := s.Groups[a.Group]
	if !ok {
		return refuse(result.ChangeNotFound, "there is no group %s", a.Group)
	}
	if g.Epoch != a.BaseEpoch || g.Phase != GroupServing {
		return refuse(result.ChangeConflict, "group %s is %s in epoch %d, want serving in epoch %d", a.Group, g.Phase, g.Epoch, a.BaseEpoch)
	}
	s.startDraining(revision, g)
	return nil
}

// breakGroup records that the group lost a member; the current epoch never serves again.
func (s *State) breakGroup(a *Assignment) *refusal {
	g, ok := s.Groups[a.Group]
	if !ok {
		return refuse(result.ChangeNotFound, "there is no group %s", a.Group)
	}
	if g.Epoch != a.BaseEpoch || g.Phase == GroupPending {
		return refuse(result.ChangeConflict, "group %s is %s in epoch %d, want a formed group in epoch %d", a.Group, g.Phase, g.Epoch, a.BaseEpoch)
	}
	g.Phase = GroupBroken
	return nil
}

// applyConfirmations records joins and leaves; confirmations for another epoch or phase are ignored.
func (s *State) applyConfirmations(confirms []Confirmation) *refusal {
	for _, c := range confirms {
		v, ok := s.VMs[c.VM]
		if !ok || v.Epoch != c.Epoch {
			continue
		}
		switch {
		case c.Left && v.Phase == VMLeaving:
			v.release()
		case !c.Left && v.Phase == VMJoining:
			v.Phase = VMJoined
			v.Incarnation = c.Incarnation
			s.completeFormation(v.Group)
		}
	}
	return nil
}

// completeFormation makes a forming group serve once all members have joined its epoch.
func (s *State) completeFormation(name ident.Group) {
	g, ok := s.Groups[name]
	if !ok || g.Phase != GroupForming {
		return
	}
	for _, member := range g.Members {
		if v := s.VMs[member]; v.Phase != VMJoined || v.Epoch != g.Epoch {
			return
		}
	}
	g.Phase = GroupServing
}
