package relay

import (
	"sort"

	"github.com/dunlinquay/dunlinquay/estimate"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/sharing"
)

// target is where a request may be sent: a worker of a plain service, or the head of an open group.
type target struct {
	id      ident.Incarnation
	address string
	hall    ident.Hall
	slots   int
	group   ident.Group
	model   ident.Model
	far     bool
	slow    bool
	silent  bool
	// known is set when this entry hears of all prompts that are sent there, users are the entries that do, nil when all do.
	known bool
	users []string
	// times are the figures of a group of engines, prompt is the usual size of a prompt there; a plain worker has none.
	times  estimate.Group
	prompt ident.Tokens
	// state is what this entry knows of the upstream, once it was looked for; it is guarded by the relay's mutex.
	state *targetState
}

// fleet lays a copy of the roster out for routing; but for the states of its targets it is never changed after newFleet.
type fleet struct {
	plain     map[ident.Service][]target
	groups    map[ident.Service]map[ident.Model][]target
	addresses map[string]bool
	lives     map[ident.Incarnation]bool
	heads     map[ident.Group]ident.Incarnation
	// byHead are the groups by their heads.
	byHead map[ident.Incarnation]*target
	// uses are the models of which this entry uses any group.
	uses map[ident.Model]bool
	// caps are the limits of cold upstreams.
	caps map[ident.Incarnation]ratelimit.Rate
	// drained are the halls whose upstreams get nothing new, left the groups there, which may have streams yet.
	drained map[ident.Hall]bool
	left    []target
}

func newFleet(c *roster.Copy, table *httproute.Table, entries *sharing.Entries, drained map[ident.Hall]bool) *fleet {
	f := &fleet{
		plain:     map[ident.Service][]target{},
		groups:    map[ident.Service]map[ident.Model][]target{},
		addresses: map[string]bool{},
		lives:     map[ident.Incarnation]bool{},
		heads:     map[ident.Group]ident.Incarnation{},
		byHead:    map[ident.Incarnation]*target{},
		uses:      map[ident.Model]bool{},
		caps:      map[ident.Incarnation]ratelimit.Rate{},
		drained:   drained,
	}
	for id, u := range c.Upstreams {
		f.addresses[u.Address] = true
		f.lives[id] = true
		if rate := coldRate(table, &u); rate > 0 {
			f.caps[id] = rate
		}
		if u.Draining || drained[u.Hall] || hasEngine(table, u.Service) {
			continue
		}
		f.plain[u.Service] = append(f.plain[u.Service], target{
			id: id, address: u.Address, hall: u.Hall, slots: u.Slots, silent: u.Silent, known: true,
		})
	}
	for name := range c.Groups {
		g := c.Groups[name]
		f.addGroup(c, table, &g)
	}
	for _, list := range f.plain {
		sortTargets(list)
	}
	for _, models := range f.groups {
		for model, list := range models {
			sortTargets(list)
			f.uses[model] = shareOut(list, entries) || f.uses[model]
			for i := range list {
				f.byHead[list[i].id] = &list[i]
			}
		}
	}
	for i := range f.left {
		f.byHead[f.left[i].id] = &f.left[i]
	}
	return f
}

// shareOut notes which entries use each of the groups of one model, and reports whether this one uses any.
func shareOut(list []target, entries *sharing.Entries) bool {
	if entries == nil || entries.Together() {
		for i := range list {
			list[i].known = true
		}
		return true
	}
	halls := map[ident.Hall][]sharing.Group{}
	for i := range list {
		halls[list[i].hall] = append(halls[list[i].hall], sharing.Group{Name: list[i].group})
	}
	for hall, groups := range halls {
		entries.Users(hall, groups)
	}
	used := false
	for i := range list {
		t := &list[i]
		// Both lists are in the same order.
		g := halls[t.hall][0]
		halls[t.hall] = halls[t.hall][1:]
		t.known, t.users = g.Used, g.Users
		used = used || g.Used
	}
	return used
}

// coldPart is the part of what a cold upstream takes that it gets.
const coldPart = 0.9

// coldRate is how many requests a second an upstream gets from all entries while it is cold, 0 when it is not or its service has no bound.
func coldRate(table *httproute.Table, u *roster.Upstream) ratelimit.Rate {
	if !u.Cold || table == nil {
		return 0
	}
	s := table.Service(u.Service)
	if s == nil {
		return 0
	}
	return ratelimit.Rate(coldPart * s.ColdRate)
}

func hasEngine(table *httproute.Table, service ident.Service) bool {
	if table == nil {
		return false
	}
	s := table.Service(service)
	return s != nil && s.Engine != nil
}

// addGroup adds an open group all of whose members stay.
func (f *fleet) addGroup(c *roster.Copy, table *httproute.Table, g *roster.Group) {
	if g.Phase != roster.PhaseOpen || table == nil {
		return
	}
	for _, id := range g.Members {
		if u, ok := c.Upstreams[id]; !ok || u.Draining {
			return
		}
	}
	head := c.Upstreams[g.Head()]
	if g.Far {
		head.Slots = min(head.Slots, farSlotsOf(table, g))
	}
	t := target{
		id: head.ID, address: head.Address, hall: head.Hall, slots: head.Slots, group: g.Name, model: g.Model, far: g.Far, slow: g.Slow, silent: head.Silent,
		times: timesOf(table, g), prompt: usualPrompt(table, g),
	}
	f.heads[g.Name] = head.ID
	if f.drained[head.Hall] {
		f.left = append(f.left, t)
		return
	}
	models := f.groups[g.Service]
	if models == nil {
		models = map[ident.Model][]target{}
		f.groups[g.Service] = models
	}
	models[g.Model] = append(models[g.Model], t)
}

// timesOf returns the figures by which requests at g are rated, none for a model that the engine does not publish.
func timesOf(table *httproute.Table, g *roster.Group) estimate.Group {
	s := table.Service(g.Service)
	if s == nil || s.Engine == nil {
		return estimate.Group{}
	}
	m, ok := s.Engine.Model(g.Model)
	if !ok {
		return estimate.Group{}
	}
	if g.Far || g.Slow {
		return estimate.Of(s.Engine, m, slowdown(s))
	}
	return estimate.Of(s.Engine, m, 1)
}

// usualPrompt returns the mean size of prompts of the service of g.
func usualPrompt(table *httproute.Table, g *roster.Group) ident.Tokens {
	if s := table.Service(g.Service); s != nil && s.Engine != nil {
		return s.Engine.Usual.Prompt
	}
	return 0
}

// farSlots is how many requests a group across domains gets at pace 1: with more, its pauses grow past the usual aims.
const farSlots = 7

func farSlotsOf(table *httproute.Table, g *roster.Group) int {
	s := table.Service(g.Service)
	if s == nil || s.Engine == nil {
		return farSlots
	}
	m, ok := s.Engine.Model(g.Model)
	if !ok || m.Pace <= 0 {
		return farSlots
	}
	return int(farSlots / m.Pace)
}

func sortTargets(list []target) {
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
}
