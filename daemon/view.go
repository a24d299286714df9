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

// view is what this daemon serves by: the routing table of one revision. Its
// revision is reported to others only after the table is in force, so that a
// drain which waits for the revision can rely on it.
type view struct {
	routes *routing.Table
	table  *presence.Table

	mu       sync.Mutex
	at       ident.Revision
	targets  map[targetKey]*routing.Target
	draining map[ident.Group]bool
	names    []ident.Model
	bounds   map[ident.Customer]fleet.CustomerLimits
}

type targetKey struct {
	group ident.Group
	epoch ident.Epoch
}

func newView(routes *routing.Table, table *presence.Table) *view {
	return &view{routes: routes, table: table, targets: map[targetKey]*routing.Target{}, draining: map[ident.Group]bool{}}
}

func (v *view) revision() ident.Revision {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.at
}

func (v *view) models() []ident.Model {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.names
}

// update puts the state in force; it never goes back to an older revision.
func (v *view) update(s *fleet.State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s.Revision < v.at {
		return
	}
	var serving []*routing.Target
	names := map[ident.Model]bool{}
	var declared []ident.Model
	v.draining = map[ident.Group]bool{}
	for _, g := range s.SortedGroups() {
		names[g.Spec.Model] = true
		declared = append(declared, g.Spec.Model)
		for _, a := range g.Spec.Adapters {
			names[g.Spec.Model+":"+ident.Model(a)] = true
		}
		switch g.Phase {
		case fleet.GroupServing:
			serving = append(serving, v.target(s, g))
		case fleet.GroupDraining:
			v.draining[g.Spec.Name] = true
		}
	}
	v.routes.Replace(serving, declared)
	v.forget(serving)
	v.names = v.names[:0:0]
	for name := range names {
		v.names = append(v.names, name)
	}
	slices.Sort(v.names)
	v.bounds = maps.Clone(s.Limits)
	v.at = s.Revision
}

// limits returns what operators have set for customers.
func (v *view) limits() map[ident.Customer]fleet.CustomerLimits {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.bounds
}

// target returns the target of the group's epoch, the same one as long as the epoch lasts.
func (v *view) target(s *fleet.State, g *fleet.Group) *routing.Target {
	key := targetKey{g.Spec.Name, g.Epoch}
	if t := v.targets[key]; t != nil {
		return t
	}
	t := routing.NewTarget()
	t.Group, t.Epoch, t.Model, t.Adapters = g.Spec.Name, g.Epoch, g.Spec.Model, g.Spec.Adapters
	for i, name := range g.Members {
		m := s.VMs[name]
		if i == 0 {
			t.Head, t.Hall = m.Address, m.Hall
		}
		t.Members = append(t.Members, presence.Member{Cell: v.table.Cell(name), Incarnation: m.Incarnation, Epoch: g.Epoch})
	}
	v.targets[key] = t
	return t
}

// whole reports whether requests can go to the group now, as this daemon sees it.
func (v *view) whole(now time.Time, name ident.Group, epoch ident.Epoch) bool {
	v.mu.Lock()
	t := v.targets[targetKey{name, epoch}]
	v.mu.Unlock()
	return t != nil && t.Whole(now, v.routes.Bound)
}

// forget drops targets that serve no more and have no request in progress.
func (v *view) forget(serving []*routing.Target) {
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

// inFlight counts this daemon's requests at groups that drain, whatever epoch they began in.
func (v *view) inFlight() map[ident.Group]int {
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

// viewLoop puts each new state in force.
func (d *Daemon) viewLoop(ctx context.Context) {
	for {
		changed := d.machine.Changed()
		d.machine.Read(d.view.update)
		d.shares.refresh()
		d.gate.Pump()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
