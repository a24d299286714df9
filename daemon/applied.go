package daemon

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/presence"
	"github.com/dunlinquay/dunlinquay/routing"
)

// appliedState is the part of the fleet's state that this daemon serves by, at
// one revision. The revision is reported only after the routing table has been
// replaced, so that a drain that waits for the revision can rely on it.
type appliedState struct {
	routes *routing.Table
	table  *presence.Table

	mu              sync.Mutex
	appliedRevision ident.Revision
	targets         map[targetKey]*routing.Target
	draining        map[ident.Group]bool
	modelNames      []ident.Model
	customerLimits  map[ident.Customer]fleet.CustomerLimits
}

type targetKey struct {
	group ident.Group
	epoch ident.Epoch
}

func newAppliedState(routes *routing.Table, table *presence.Table) *appliedState {
	return &appliedState{routes: routes, table: table, targets: map[targetKey]*routing.Target{}, draining: map[ident.Group]bool{}}
}

func (v *appliedState) revision() ident.Revision {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.appliedRevision
}

func (v *appliedState) models() []ident.Model {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.modelNames
}

// apply serves by s from now on; a state older than the applied one is ignored.
func (v *appliedState) apply(s *fleet.State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s.Revision < v.appliedRevision {
		return
	}
	var serving []*routing.Target
	names := map[ident.Model]bool{}
	var declared []ident.Model
	v.draining = map[ident.Group]bool{}
	for _, group := range s.SortedGroups() {
		names[group.Spec.Model] = true
		declared = append(declared, group.Spec.Model)
		for _, adapter := range group.Spec.Adapters {
			names[group.Spec.Model+":"+ident.Model(adapter)] = true
		}
		switch group.Phase {
		case fleet.GroupServing:
			serving = append(serving, v.target(s, group))
		case fleet.GroupDraining:
			v.draining[group.Spec.Name] = true
		}
	}
	v.routes.Replace(serving, declared)
	v.dropUnusedTargets(serving)
	v.modelNames = v.modelNames[:0:0]
	for name := range names {
		v.modelNames = append(v.modelNames, name)
	}
	slices.Sort(v.modelNames)
	v.customerLimits = maps.Clone(s.Limits)
	v.appliedRevision = s.Revision
}

// limits returns the customer limits that operators have set.
func (v *appliedState) limits() map[ident.Customer]fleet.CustomerLimits {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.customerLimits
}

// target returns the routing target of the group's epoch, and creates it once for each epoch.
func (v *appliedState) target(s *fleet.State, group *fleet.Group) *routing.Target {
	key := targetKey{group.Spec.Name, group.Epoch}
	if t := v.targets[key]; t != nil {
		return t
	}
	t := routing.NewTarget()
	t.Group, t.Epoch, t.Model, t.Adapters = group.Spec.Name, group.Epoch, group.Spec.Model, group.Spec.Adapters
	for i, name := range group.Members {
		vm := s.VMs[name]
		if i == 0 {
			t.Head, t.Hall = vm.Address, vm.Hall
		}
		t.Members = append(t.Members, presence.Member{Cell: v.table.Cell(name), Incarnation: vm.Incarnation, Epoch: group.Epoch})
	}
	v.targets[key] = t
	return t
}

// groupWhole reports whether this daemon would route requests to the group now.
func (v *appliedState) groupWhole(now time.Time, name ident.Group, epoch ident.Epoch) bool {
	v.mu.Lock()
	t := v.targets[targetKey{name, epoch}]
	v.mu.Unlock()
	return t != nil && t.Whole(now, v.routes.Bound)
}

// dropUnusedTargets removes targets that neither serve nor have a request in progress.
func (v *appliedState) dropUnusedTargets(serving []*routing.Target) {
	kept := make(map[*routing.Target]bool, len(serving))
	for _, t := range serving {
		kept[t] = true
	}
	for key, t := range v.targets {
		if !kept[t] && t.InFlight() == 0 {
			delete(v.targets, key)
		}
	}
}

// inFlight counts this daemon's requests in progress at draining groups, over all epochs of a group.
func (v *appliedState) inFlight() map[ident.Group]int {
	v.mu.Lock()
	defer v.mu.Unlock()
	counts := map[ident.Group]int{}
	for key, t := range v.targets {
		if n := t.InFlight(); n > 0 && v.draining[key.group] {
			counts[key.group] += n
		}
	}
	return counts
}

// applyLoop applies each new state of the fleet.
func (d *Daemon) applyLoop(ctx context.Context) {
	for {
		changed := d.fleet.Changed()
		d.fleet.Read(d.applied.apply)
		d.shares.refresh()
		d.admission.AdmitWaiting()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
