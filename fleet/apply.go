package fleet

// All changes of a State are made by Apply, which enforces these invariants
// against the state built from the log, whatever a planner or an operator
// requests:
//
//   - a VM is assigned only while it is free or a member of the same group;
//   - a leaving VM stays reserved until its engine confirms that it left, or
//     the platform lists it as gone;
//   - a decision based on an older epoch of the group is refused.
//
// A refusal is an answer too, and is the same on every member.
//
// The history stores the texts of refusals and of Command.What. They are part
// of the state, so builds with different texts would write different snapshots.

import (
	"fmt"
	"slices"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

const (
	maxGroupSize    = 256
	maxLabels       = 64
	maxRequirements = 32
)

// refusal is why a command is refused; nil means accepted.
type refusal struct {
	code result.Code
	text string
}

func refuse(code result.Code, format string, args ...any) *refusal {
	return &refusal{code, fmt.Sprintf(format, args...)}
}

// Apply executes c at revision and returns its answer; a resent operator's change gets the answer of the first execution.
func (s *State) Apply(revision ident.Revision, c *Command) Answer {
	s.Revision = revision
	if c.Change == "" {
		return answerOf(revision, s.execute(revision, c))
	}
	digest := c.digest()
	if first, ok := s.findChange(c.Change); ok {
		if first.Digest != digest {
			return answerOf(revision, refuse(result.ChangeIDReused, "change id %s was used at revision %d for: %s", c.Change, first.Revision, first.Summary))
		}
		return first.Answer
	}
	answer := answerOf(revision, s.execute(revision, c))
	s.addHistory(HistoryEntry{
		Change: c.Change, Revision: revision, Operator: c.By, At: c.At, Summary: c.Summary(), Digest: digest, Answer: answer,
	})
	return answer
}

func answerOf(revision ident.Revision, r *refusal) Answer {
	if r == nil {
		return Answer{Revision: revision}
	}
	return Answer{Revision: revision, Code: r.code, Text: r.text}
}

func (s *State) execute(revision ident.Revision, c *Command) *refusal {
	if r := c.checkContent(); r != nil {
		return r
	}
	switch c.Kind {
	case KindCreateGroup:
		return s.createGroup(revision, c.Spec)
	case KindChangeGroup:
		return s.changeGroup(revision, c)
	case KindDeleteGroup:
		return s.deleteGroup(revision, c)
	case KindLabelVM:
		return s.labelVM(revision, c)
	case KindDrainVM:
		return s.drainVM(revision, c)
	case KindSetLimits:
		return s.setLimits(revision, c)
	case KindRegisterVMs:
		return s.registerVMs(c.VMs)
	case KindSetListings:
		return s.updateListings(revision, c.Listings)
	case KindAssign:
		return s.assign(revision, c.Assign)
	case KindDrainGroup:
		return s.drainGroup(revision, c.Assign)
	case KindBreakGroup:
		return s.breakGroup(c.Assign)
	case KindConfirm:
		return s.applyConfirmations(c.Confirmations)
	}
	return refuse(result.ChangeInvalid, "unknown kind %d", c.Kind)
}

// checkContent refuses a command without the field that its Kind requires; only a faulty sender omits it.
func (c *Command) checkContent() *refusal {
	missing := false
	switch c.Kind {
	case KindCreateGroup, KindChangeGroup:
		missing = c.Spec == nil
	case KindLabelVM, KindDrainVM:
		missing = c.Label == nil
	case KindSetLimits:
		missing = c.Limits == nil
	case KindAssign, KindDrainGroup, KindBreakGroup:
		missing = c.Assign == nil
	}
	if missing {
		return refuse(result.ChangeInvalid, "the change has no content")
	}
	return nil
}

func (s *State) createGroup(revision ident.Revision, spec *GroupSpec) *refusal {
	if r := checkSpec(spec); r != nil {
		return r
	}
	if g, ok := s.Groups[spec.Name]; ok {
		if g.Deleted {
			return refuse(result.ChangeExists, "group %s is being dissolved since revision %d", spec.Name, g.Changed)
		}
		return refuse(result.ChangeExists, "group %s exists since revision %d", spec.Name, g.Generation)
	}
	s.Groups[spec.Name] = &Group{Spec: *spec, Generation: revision, Changed: revision}
	return nil
}

func checkSpec(spec *GroupSpec) *refusal {
	if !ident.ValidName(string(spec.Name)) {
		return refuse(result.ChangeInvalid, "%q is not a name", spec.Name)
	}
	if spec.Model == "" || len(spec.Model) > ident.MaxNameLength {
		return refuse(result.ChangeInvalid, "group %s needs a model of at most %d bytes", spec.Name, ident.MaxNameLength)
	}
	if spec.Size < 1 || spec.Size > maxGroupSize {
		return refuse(result.ChangeInvalid, "size %d is not between 1 and %d", spec.Size, maxGroupSize)
	}
	if len(spec.Selector) > maxRequirements {
		return refuse(result.ChangeInvalid, "more than %d selectors", maxRequirements)
	}
	return nil
}

// revisionConflict refuses a change if the object has changed since c.IfRevision.
func revisionConflict(c *Command, object string, changed ident.Revision) *refusal {
	if c.IfRevision == 0 || c.IfRevision >= changed {
		return nil
	}
	return refuse(result.ChangeConflict, "%s was changed at revision %d, after revision %d", object, changed, c.IfRevision)
}

func (s *State) liveGroup(name ident.Group) (*Group, *refusal) {
	g, ok := s.Groups[name]
	if !ok || g.Deleted {
		return nil, refuse(result.ChangeNotFound, "there is no group %s", name)
	}
	return g, nil
}

func (s *State) changeGroup(revision ident.Revision, c *Command) *refusal {
	g, r := s.liveGroup(c.Spec.Name)
	if r != nil {
		return r
	}
	if r := checkSpec(c.Spec); r != nil {
		return r
	}
	if r := revisionConflict(c, "group "+string(c.Spec.Name), g.Changed); r != nil {
		return r
	}
	if g.Epoch != 0 && len(g.Members) > 0 && s.needsReform(g, c.Spec) {
		g.NeedsReform = true
	}
	g.Spec = *c.Spec
	g.Changed = revision
	return nil
}

// needsReform reports whether next changes the group's size or what its members load, or excludes a member.
func (s *State) needsReform(g *Group, next *GroupSpec) bool {
	old := &g.Spec
	if old.Model != next.Model || old.Version != next.Version || !slices.Equal(old.Adapters, next.Adapters) || old.Size != next.Size {
		return true
	}
	return slices.ContainsFunc(g.Members, func(name ident.VM) bool {
		return next.FailedRequirement(s.VMs[name]) != nil
	})
}

func (s *State) deleteGroup(revision ident.Revision, c *Command) *refusal {
	g, r := s.liveGroup(c.Group)
	if r != nil {
		return r
	}
	if r := revisionConflict(c, "group "+string(c.Group), g.Changed); r != nil {
		return r
	}
	g.Deleted = true
	g.Changed = revision
	s.startDraining(revision, g)
	if len(g.Members) == 0 {
		delete(s.Groups, c.Group)
	}
	return nil
}

// startDraining moves a serving group to draining; groups in other phases stay as they are.
func (s *State) startDraining(revision ident.Revision, g *Group) {
	if g.Phase == GroupServing {
		g.Phase = GroupDraining
		g.DrainRevision = revision
	}
}

func (s *State) labelVM(revision ident.Revision, c *Command) *refusal {
	v, ok := s.VMs[c.Label.VM]
	if !ok {
		return refuse(result.ChangeNotFound, "there is no VM %s", c.Label.VM)
	}
	if r := revisionConflict(c, "VM "+string(v.Name), v.Changed); r != nil {
		return r
	}
	labels := map[string]string{}
	for _, key := range sortedKeys(v.Labels) {
		labels[key] = v.Labels[key]
	}
	for _, key := range c.Label.Remove {
		delete(labels, key)
	}
	for _, key := range sortedKeys(c.Label.Set) {
		if key == LabelVM || key == LabelHall || key == LabelDomain {
			return refuse(result.ChangeInvalid, "label %s is built in", key)
		}
		labels[key] = c.Label.Set[key]
	}
	if len(labels) > maxLabels {
		return refuse(result.ChangeInvalid, "more than %d labels", maxLabels)
	}
	v.Labels = labels
	v.Changed = revision
	s.recheckMembership(revision, v)
	return nil
}

// recheckMembership marks the group of v for reform if v can no longer be a member, and drains the group if v is not eligible for any
// group.
func (s *State) recheckMembership(revision ident.Revision, v *VM) {
	g, ok := s.Groups[v.Group]
	if !ok || !slices.Contains(g.Members, v.Name) {
		return
	}
	if v.Eligible() && g.Spec.FailedRequirement(v) == nil {
		return
	}
	g.NeedsReform = true
	if !v.Eligible() {
		s.startDraining(revision, g)
	}
}

func (s *State) drainVM(revision ident.Revision, c *Command) *refusal {
	v, ok := s.VMs[c.Label.VM]
	if !ok {
		return refuse(result.ChangeNotFound, "there is no VM %s", c.Label.VM)
	}
	if r := revisionConflict(c, "VM "+string(v.Name), v.Changed); r != nil {
		return r
	}
	v.Drained = c.Label.Drain
	v.Changed = revision
	s.recheckMembership(revision, v)
	return nil
}

func (s *State) setLimits(revision ident.Revision, c *Command) *refusal {
	l := c.Limits.Limits
	if l.Weight < 0 || l.Concurrent < 0 || l.RequestsPerSecond < 0 || l.TokensPerSecond < 0 {
		return refuse(result.ChangeInvalid, "limits cannot be negative")
	}
	if r := revisionConflict(c, "the limits of "+string(c.Limits.Customer), s.Limits[c.Limits.Customer].Changed); r != nil {
		return r
	}
	l.Changed = revision
	s.Limits[c.Limits.Customer] = l
	return nil
}

// registerVMs adds or updates VMs from the settings or the platform; labels, drain and membership of a known VM stay.
func (s *State) registerVMs(vms []VM) *refusal {
	for i := range vms {
		declared := &vms[i]
		if !ident.ValidName(string(declared.Name)) || declared.Accelerators < 1 {
			return refuse(result.ChangeInvalid, "VM %q has no valid name or no accelerators", declared.Name)
		}
	}
	for i := range vms {
		declared := vms[i]
		if old, ok := s.VMs[declared.Name]; ok {
			old.Address, old.Accelerators, old.Speed, old.ChecksOrders = declared.Address, declared.Accelerators, declared.Speed, declared.ChecksOrders
			old.Hall, old.Domain = declared.Hall, declared.Domain
			continue
		}
		declared.Group, declared.Epoch, declared.Phase, declared.Incarnation = "", 0, VMFree, ""
		s.VMs[declared.Name] = &declared
	}
	return nil
}

func (s *State) updateListings(revision ident.Revision, listings []VMListing) *refusal {
	for _, l := range listings {
		v, ok := s.VMs[l.VM]
		if !ok {
			continue
		}
		v.Listing = l.Listing
		if v.Listing == ListingGone && v.Phase == VMLeaving {
			v.release()
		}
		s.recheckMembership(revision, v)
	}
	return nil
}

// release frees the VM for assignment to any group.
func (v *VM) release() {
	v.Group, v.Epoch, v.Phase, v.Incarnation = "", 0, VMFree, ""
}
