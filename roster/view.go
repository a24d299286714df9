package roster

import (
	"maps"
	"reflect"
	"slices"

	"github.com/dunlinquay/dunlinquay/ident"
)

// View is the part of a roster that entries route by: the upstreams of plain services and the heads of open groups.
// Other members of groups often change state, which matters only to the leader; sending that to every entry would fill
// the leader's link at a large site.
type View struct {
	*Roster

	source       *Roster
	seenRevision Revision
	// groupOfHead holds the group of each upstream that is in the view as its head.
	groupOfHead map[ident.Incarnation]ident.Group
}

// NewView returns an empty view of a roster; Update fills it.
func NewView(source *Roster) *View {
	return &View{Roster: New(), source: source, groupOfHead: map[ident.Incarnation]ident.Group{}}
}

// Update applies the roster's changes; isPlain reports whether a service has no engines.
func (v *View) Update(isPlain func(service ident.Service) bool) {
	d := v.source.Since(v.seenRevision)
	v.seenRevision = d.Revision
	v.mu.Lock()
	defer v.mu.Unlock()
	if d.Full {
		v.removeMissing(&d)
	}
	for _, id := range d.Gone {
		v.removeUpstream(id)
	}
	for i := range d.Upstreams {
		u := &d.Upstreams[i]
		if _, isHead := v.groupOfHead[u.ID]; isHead || isPlain(u.Service) {
			v.putUpstream(u)
		}
	}
	for _, name := range d.Dropped {
		v.dropGroup(name)
	}
	for i := range d.Groups {
		v.updateGroup(&d.Groups[i])
	}
}

// removeMissing drops what a full delta does not contain.
func (v *View) removeMissing(d *Delta) {
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
			v.removeUpstream(id)
		}
	}
}

func (v *View) updateGroup(g *Group) {
	if g.Phase != PhaseOpen {
		v.dropGroup(g.Name)
		return
	}
	visible := *g
	visible.Members = g.Members[:1]
	if old, ok := v.groups[g.Name]; ok && reflect.DeepEqual(old, visible) {
		return
	}
	v.groupOfHead[g.Head()] = g.Name
	if head, ok := v.source.Upstream(g.Head()); ok {
		v.putUpstream(&head)
	}
	v.groups[g.Name] = visible
	v.recordChange(change{group: g.Name})
}

// putUpstream adds or replaces an upstream, with only the fields that entries need.
func (v *View) putUpstream(u *Upstream) {
	visible := Upstream{ID: u.ID, Service: u.Service, Address: u.Address, Hall: u.Hall, Slots: u.Slots, Draining: u.Draining, Silent: u.Silent, Cold: u.Cold}
	if record := v.upstreams[u.ID]; record != nil {
		if reflect.DeepEqual(record.Upstream, visible) {
			return
		}
	}
	v.upstreams[u.ID] = &upstreamRecord{Upstream: visible}
	v.recordChange(change{upstream: u.ID})
}

func (v *View) removeUpstream(id ident.Incarnation) {
	if v.upstreams[id] == nil {
		return
	}
	delete(v.upstreams, id)
	delete(v.groupOfHead, id)
	v.recordChange(change{upstream: id})
}

func (v *View) dropGroup(name ident.Group) {
	g, ok := v.groups[name]
	if !ok {
		return
	}
	delete(v.groups, name)
	v.recordChange(change{group: name})
	if v.groupOfHead[g.Head()] == name {
		v.removeUpstream(g.Head())
	}
}
