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
	id            ident.Incarnation
	address       string
	hall          ident.Hall
	slots         int
	group         ident.Group
	model         ident.Model
	crossDomain   bool
	hasSlowMember bool
	silent        bool
	// inSubset is set when this entry hears of all prompts that are sent there, users are the entries that do, nil when all do.
	inSubset bool
	users    []string
	// timing are the figures of a group of engines, prompt is the usual size of a prompt there; a plain worker has none.
	timing        estimate.Group
	typicalPrompt ident.Tokens
	// state is what this entry knows of the upstream, once it was looked for; it is guarded by the relay's mutex.
	state *targetState
}

// targetIndex lays a copy of the roster out for routing; but for the states of its targets it is never changed after newTargetIndex.
type targetIndex struct {
	plainTargets map[ident.Service][]target
	groupTargets map[ident.Service]map[ident.Model][]target
	addresses    map[string]bool
	incarnations map[ident.Incarnation]bool
	heads        map[ident.Group]ident.Incarnation
	// byHead are the groups by their heads.
	byHead map[ident.Incarnation]*target
	// usedModels are the models of which this entry uses any group.
	usedModels map[ident.Model]bool
	// coldLimits are the limits of cold upstreams.
	coldLimits map[ident.Incarnation]ratelimit.Rate
	// drainedHalls are the halls whose upstreams get nothing new, left the groups there, which may have streams yet.
	drainedHalls  map[ident.Hall]bool
	drainedGroups []target
}

func newTargetIndex(c *roster.Copy, table *httproute.Table, entries *sharing.Entries, drained map[ident.Hall]bool) *targetIndex {
	f := &targetIndex{
		plainTargets: map[ident.Service][]target{},
		groupTargets: map[ident.Service]map[ident.Model][]target{},
		addresses:    map[string]bool{},
		incarnations: map[ident.Incarnation]bool{},
		heads:        map[ident.Group]ident.Incarnation{},
		byHead:       map[ident.Incarnation]*target{},
		usedModels:   map[ident.Model]bool{},
		coldLimits:   map[ident.Incarnation]ratelimit.Rate{},
		drainedHalls: drained,
	}
	for id, u := range c.Upstreams {
		f.addresses[u.Address] = true
		f.incarnations[id] = true
		if rate := coldRate(table, &u); rate > 0 {
			f.coldLimits[id] = rate
		}
		if u.Draining || drained[u.Hall] || hasEngine(table, u.Service) {
			continue
		}
		f.plainTargets[u.Service] = append(f.plainTargets[u.Service], target{
			id: id, address: u.Address, hall: u.Hall, slots: u.Slots, silent: u.Silent, inSubset: true,
		})
	}
	for name := range c.Groups {
		g := c.Groups[name]
		f.addGroup(c, table, &g)
	}
	for _, list := range f.plainTargets {
		sortTargets(list)
	}
	for _, models := range f.groupTargets {
		for model, list := range models {
			sortTargets(list)
			f.usedModels[model] = assignUsers(list, entries) || f.usedModels[model]
			for i := range list {
				f.byHead[list[i].id] = &list[i]
			}
		}
	}
	for i := range f.drainedGroups {
		f.byHead[f.drainedGroups[i].id] = &f.drainedGroups[i]
	}
	return f
}

// assignUsers notes which entries use each of the groups of one model, and reports whether this one uses any.
func assignUsers(list []target, entries *sharing.Entries) bool {
	if entries == nil || entries.AllUseAll() {
		for i := range list {
			list[i].inSubset = true
		}
		return true
	}
	halls := map[ident.Hall][]sharing.Group{}
	for i := range list {
		halls[list[i].hall] = append(halls[list[i].hall], sharing.Group{Name: list[i].group})
	}
	for hall, groups := range halls {
		entries.AssignUsers(hall, groups)
	}
	used := false
	for i := range list {
		t := &list[i]
		// Both lists are in the same order.
		g := halls[t.hall][0]
		halls[t.hall] = halls[t.hall][1:]
		t.inSubset, t.users = g.Used, g.Users
		used = used || g.Used
	}
	return used
}

// coldRateFraction is the part of what a cold upstream takes that it gets.
const coldRateFraction = 0.9

// coldRate is how many requests a second an upstream gets from all entries while it is cold, 0 when it is not or its service has no bound.
func coldRate(table *httproute.Table, u *roster.Upstream) ratelimit.Rate {
	if !u.Cold || table == nil {
		return 0
	}
	s := table.Service(u.Service)
	if s == nil {
		return 0
	}
	return ratelimit.Rate(coldRateFraction * s.ColdRate)
}

func hasEngine(table *httproute.Table, service ident.Service) bool {
	if table == nil {
		return false
	}
	s := table.Service(service)
	return s != nil && s.Engine != nil
}

// addGroup adds an open group all of whose members stay.
func (f *targetIndex) addGroup(c *roster.Copy, table *httproute.Table, g *roster.Group) {
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
		head.Slots = min(head.Slots, crossDomainSlotsOf(table, g))
	}
	t := target{
		id: head.ID, address: head.Address, hall: head.Hall, slots: head.Slots, group: g.Name, model: g.Model, crossDomain: g.Far, hasSlowMember: g.Slow, silent: head.Silent,
		timing: timingOf(table, g), typicalPrompt: typicalPromptOf(table, g),
	}
	f.heads[g.Name] = head.ID
	if f.drainedHalls[head.Hall] {
		f.drainedGroups = append(f.drainedGroups, t)
		return
	}
	models := f.groupTargets[g.Service]
	if models == nil {
		models = map[ident.Model][]target{}
		f.groupTargets[g.Service] = models
	}
	models[g.Model] = append(models[g.Model], t)
}

// timingOf returns the figures by which requests at g are rated, none for a model that the engine does not publish.
func timingOf(table *httproute.Table, g *roster.Group) estimate.Group {
	s := table.Service(g.Service)
	if s == nil || s.Engine == nil {
		return estimate.Group{}
	}
	m, ok := s.Engine.Model(g.Model)
	if !ok {
		return estimate.Group{}
	}
	if g.Far || g.Slow {
		return estimate.NewGroup(s.Engine, m, groupSlowdown(s))
	}
	return estimate.NewGroup(s.Engine, m, 1)
}

// typicalPromptOf returns the mean size of prompts of the service of g.
func typicalPromptOf(table *httproute.Table, g *roster.Group) ident.Tokens {
	if s := table.Service(g.Service); s != nil && s.Engine != nil {
		return s.Engine.Usual.Prompt
	}
	return 0
}

// crossDomainSlots is how many requests a group across domains gets at pace 1: with more, its pauses grow past the usual aims.
const crossDomainSlots = 7

func crossDomainSlotsOf(table *httproute.Table, g *roster.Group) int {
	s := table.Service(g.Service)
	if s == nil || s.Engine == nil {
		return crossDomainSlots
	}
	m, ok := s.Engine.Model(g.Model)
	if !ok || m.Pace <= 0 {
		return crossDomainSlots
	}
	return int(crossDomainSlots / m.Pace)
}

func sortTargets(list []target) {
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
}
