package roster

import (
	"maps"
	"reflect"
	"slices"

	"github.com/dunlinquay/dunlinquay/ident"
)

// View is the part of a roster that entries route by: the workers of plain services, and the heads of groups that serve.
// Members of groups change state all the time, which concerns nobody but the leader; telling
// every entry of it would fill the leader's link at a large site.
type View struct {
	*Roster

	of   *Roster
	seen Revision
	// headed is the group that an upstream in the view is there for.
	headed map[ident.Incarnation]ident.Group
}

// NewView returns a view of a roster; Follow brings it up to date.
func NewView(of *Roster) *View {
	return &View{Roster: New(), of: of, headed: map[ident.Incarnation]ident.Group{}}
}

// Update takes over what has changed; plain tells which services have no engines.
func (v *View) Update(plain func(service ident.Service) bool) {
	d := v.of.Since(v.seen)
	v.seen = d.Revision
	v.mu.Lock()
	defer v.mu.Unlock()
	if d.Full {
		v.forgetOthers(&d)
	}
	for _, id := range d.Gone {
		v.remove(id)
	}
	for i := range d.Upstreams {
		u := &d.Upstreams[i]
		if _, heads := v.headed[u.ID]; heads || plain(u.Service) {
			v.put(u)
		}
	}
	for _, name := range d.Dropped {
		v.dropGroup(name)
	}
	for i := range d.Groups {
		v.followGroup(&d.Groups[i])
	}
}

// forgetOthers drops what a whole roster does not name.
func (v *View) forgetOthers(d *Delta) {
	groups, upstreams := map[ident.Group]bool{}, map[ident.Incarnation]bool{}
	for i := range d.Groups {
		groups[d.Groups[i].Name] = true
	}
	for i := range d.Upstreams {
		upstreams[d.Upstreams[i].ID] = true
	}
	for _, name := range slices.Collect(maps.Keys(v.groups)) {
		if !groups[name] {
			v.dropGroup(name)
		}
	}
	for _, id := range slices.Collect(maps.Keys(v.upstreams)) {
		if !upstreams[id] {
			v.remove(id)
		}
	}
}

func (v *View) followGroup(g *Group) {
	if g.Phase != PhaseOpen {
		v.dropGroup(g.Name)
		return
	}
	out := *g
	out.Members = g.Members[:1]
	if old, ok := v.groups[g.Name]; ok && reflect.DeepEqual(old, out) {
		return
	}
	v.headed[g.Head()] = g.Name
	if head, ok := v.of.Upstream(g.Head()); ok {
		v.put(&head)
	}
	v.groups[g.Name] = out
	v.touch(change{group: g.Name})
}

// put adds or replaces an upstream without what entries do not need.
func (v *View) put(u *Upstream) {
	out := Upstream{ID: u.ID, Service: u.Service, Address: u.Address, Hall: u.Hall, Slots: u.Slots, Draining: u.Draining, Silent: u.Silent, Cold: u.Cold}
	if rec := v.upstreams[u.ID]; rec != nil {
		if reflect.DeepEqual(rec.Upstream, out) {
			return
		}
	}
	v.upstreams[u.ID] = &upstreamRecord{Upstream: out}
	v.touch(change{upstream: u.ID})
}

func (v *View) remove(id ident.Incarnation) {
	if v.upstreams[id] == nil {
		return
	}
	delete(v.upstreams, id)
	delete(v.headed, id)
	v.touch(change{upstream: id})
}

func (v *View) dropGroup(name ident.Group) {
	g, ok := v.groups[name]
	if !ok {
		return
	}
	delete(v.groups, name)
	v.touch(change{group: name})
	if v.headed[g.Head()] == name {
		v.remove(g.Head())
	}
}
