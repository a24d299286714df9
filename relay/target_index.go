package relay

import (
	"maps"
	"slices"
	"sort"

	"github.com/dunlinquay/dunlinquay/estimate"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/sharing"
)

// target is an upstream to which requests can be sent: a worker of a plain service, or the head of an open group.
type target struct {
	id            ident.Incarnation
	service       ident.Service
	address       string
	hall          ident.Hall
	slots         int
	group         ident.Group
	model         ident.Model
	crossDomain   bool
	hasSlowMember bool
	// silent is set when the upstream does not report to the leader.
	silent bool
	// inSubset is set when this entry uses the target and is notified of all prompts sent there. users are the other entries that are,
	// nil when all are.
	inSubset bool
	users    []string
	// timing has the figures of a group of engines, typicalPrompt its mean prompt size; a plain worker has neither.
	timing        estimate.Group
	typicalPrompt ident.Tokens
	// state caches the state of the upstream; it is guarded by the relay's mutex.
	state *targetState
}

// targetIndex is the roster indexed for routing. It is immutable except for the states cached in its targets.
type targetIndex struct {
	plainTargets map[ident.Service][]target
	groupTargets map[ident.Service]map[ident.Model][]target
	addresses    map[string]bool
	incarnations map[ident.Incarnation]bool
	heads        map[ident.Group]ident.Incarnation
	// byHead are the groups by head.
	byHead map[ident.Incarnation]*target
	// all are the targets of all services.
	all []*target
	// usedModels are the models with a group in the subset of this entry.
	usedModels map[ident.Model]bool
	// coldLimits are the limits of cold upstreams.
	coldLimits map[ident.Incarnation]ratelimit.Rate
	// drainedHalls are the halls whose upstreams get no new requests; drainedGroups are the groups there, which can still have streams.
	drainedHalls  map[ident.Hall]bool
	drainedGroups []target
}

func newTargetIndex(rosterCopy *roster.Copy, table *httproute.Table, entries *sharing.Entries, drainedHalls map[ident.Hall]bool) *targetIndex {
	index := &targetIndex{
		plainTargets: map[ident.Service][]target{},
		groupTargets: map[ident.Service]map[ident.Model][]target{},
		addresses:    map[string]bool{},
		incarnations: map[ident.Incarnation]bool{},
		heads:        map[ident.Group]ident.Incarnation{},
		byHead:       map[ident.Incarnation]*target{},
		usedModels:   map[ident.Model]bool{},
		coldLimits:   map[ident.Incarnation]ratelimit.Rate{},
		drainedHalls: drainedHalls,
	}
	for id, upstream := range rosterCopy.Upstreams {
		index.addresses[upstream.Address] = true
		index.incarnations[id] = true
		if coldLimit := coldRate(table, &upstream); coldLimit > 0 {
			index.coldLimits[id] = coldLimit
		}
		if upstream.Draining || drainedHalls[upstream.Hall] || hasEngine(table, upstream.Service) {
			continue
		}
		index.plainTargets[upstream.Service] = append(index.plainTargets[upstream.Service], target{
			id: id, service: upstream.Service, address: upstream.Address, hall: upstream.Hall, slots: upstream.Slots, silent: upstream.Silent, inSubset: true,
		})
	}
	for name := range rosterCopy.Groups {
		group := rosterCopy.Groups[name]
		index.addGroup(rosterCopy, table, &group)
	}
	for _, targets := range index.plainTargets {
		sortTargets(targets)
	}
	for _, byModel := range index.groupTargets {
		for model, targets := range byModel {
			sortTargets(targets)
			index.usedModels[model] = assignUsers(targets, entries) || index.usedModels[model]
			for i := range targets {
				index.byHead[targets[i].id] = &targets[i]
			}
		}
	}
	index.collectTargets()
	for i := range index.drainedGroups {
		index.byHead[index.drainedGroups[i].id] = &index.drainedGroups[i]
	}
	return index
}

// collectTargets sets all, in the order of services and models.
func (f *targetIndex) collectTargets() {
	collect := func(targets []target) {
		for i := range targets {
			f.all = append(f.all, &targets[i])
		}
	}
	for _, service := range slices.Sorted(maps.Keys(f.plainTargets)) {
		collect(f.plainTargets[service])
	}
	for _, service := range slices.Sorted(maps.Keys(f.groupTargets)) {
		for _, model := range slices.Sorted(maps.Keys(f.groupTargets[service])) {
			collect(f.groupTargets[service][model])
		}
	}
}

// assignUsers sets which entries use each group of one model, and reports whether this entry uses any.
func assignUsers(targets []target, entries *sharing.Entries) bool {
	if entries == nil || entries.AllUseAll() {
		for i := range targets {
			targets[i].inSubset = true
		}
		return true
	}
	groupsByHall := map[ident.Hall][]sharing.Group{}
	for i := range targets {
		groupsByHall[targets[i].hall] = append(groupsByHall[targets[i].hall], sharing.Group{Name: targets[i].group})
	}
	for hall, groups := range groupsByHall {
		entries.AssignUsers(hall, groups)
	}
	anyUsed := false
	for i := range targets {
		t := &targets[i]
		// Both lists are in the same order.
		group := groupsByHall[t.hall][0]
		groupsByHall[t.hall] = groupsByHall[t.hall][1:]
		t.inSubset, t.users = group.Used, group.Users
		anyUsed = anyUsed || group.Used
	}
	return anyUsed
}

// coldRateFraction is the fraction of its accepted rate that a cold upstream is sent.
const coldRateFraction = 0.9

// coldRate is how many requests per second all entries together send to a cold upstream, 0 when it is warm or its service has no bound.
func coldRate(table *httproute.Table, upstream *roster.Upstream) ratelimit.Rate {
	if !upstream.Cold || table == nil {
		return 0
	}
	service := table.Service(upstream.Service)
	if service == nil {
		return 0
	}
	return ratelimit.Rate(coldRateFraction * service.MaxColdRate)
}

func hasEngine(table *httproute.Table, name ident.Service) bool {
	if table == nil {
		return false
	}
	service := table.Service(name)
	return service != nil && service.Engine != nil
}

// addGroup adds an open group, unless one of its members is missing or draining.
func (f *targetIndex) addGroup(rosterCopy *roster.Copy, table *httproute.Table, group *roster.Group) {
	if group.Phase != roster.PhaseOpen || table == nil {
		return
	}
	for _, id := range group.Members {
		if member, ok := rosterCopy.Upstreams[id]; !ok || member.Draining {
			return
		}
	}
	head := rosterCopy.Upstreams[group.Head()]
	if group.Far {
		head.Slots = min(head.Slots, crossDomainSlotsOf(table, group))
	}
	t := target{
		id: head.ID, service: group.Service, address: head.Address, hall: head.Hall, slots: head.Slots, group: group.Name, model: group.Model, crossDomain: group.Far, hasSlowMember: group.Slow, silent: head.Silent,
		timing: timingOf(table, group), typicalPrompt: typicalPromptOf(table, group),
	}
	f.heads[group.Name] = head.ID
	if f.drainedHalls[head.Hall] {
		f.drainedGroups = append(f.drainedGroups, t)
		return
	}
	byModel := f.groupTargets[group.Service]
	if byModel == nil {
		byModel = map[ident.Model][]target{}
		f.groupTargets[group.Service] = byModel
	}
	byModel[group.Model] = append(byModel[group.Model], t)
}

// timingOf returns the timing figures of a group, none for a model that the engine does not publish.
func timingOf(table *httproute.Table, group *roster.Group) estimate.Group {
	service := table.Service(group.Service)
	if service == nil || service.Engine == nil {
		return estimate.Group{}
	}
	model, ok := service.Engine.Model(group.Model)
	if !ok {
		return estimate.Group{}
	}
	if group.Far || group.Slow {
		return estimate.NewGroup(service.Engine, model, groupSlowdown(service))
	}
	return estimate.NewGroup(service.Engine, model, 1)
}

// typicalPromptOf returns the mean prompt size of the group's service.
func typicalPromptOf(table *httproute.Table, group *roster.Group) ident.Tokens {
	if service := table.Service(group.Service); service != nil && service.Engine != nil {
		return service.Engine.TypicalSize.Prompt
	}
	return 0
}

// crossDomainSlots is how many requests a group across domains gets at pace 1; with more, its event gaps exceed typical aims.
const crossDomainSlots = 7

func crossDomainSlotsOf(table *httproute.Table, group *roster.Group) int {
	service := table.Service(group.Service)
	if service == nil || service.Engine == nil {
		return crossDomainSlots
	}
	model, ok := service.Engine.Model(group.Model)
	if !ok || model.TimeFactor <= 0 {
		return crossDomainSlots
	}
	return int(crossDomainSlots / model.TimeFactor)
}

func sortTargets(targets []target) {
	sort.Slice(targets, func(i, j int) bool { return targets[i].id < targets[j].id })
}
