package replicaset

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

type groupKey struct {
	name  ident.Group
	epoch ident.Epoch
}

// adopt takes over groups that engines report and the roster lacks, as after the loss of a leader. A whole one goes on
// serving; any other is dissolved once all is known: its former leader may have ordered it to open, and an order may be
// carried out late.
func (f *Formation) adopt(allKnown bool) {
	known := map[ident.Group]bool{}
	for _, g := range f.groups() {
		known[g.Name] = true
	}
	reported := map[groupKey][]*roster.Upstream{}
	for _, u := range f.byID {
		if m := u.Member; !known[m.Group] && !f.out(u) && !f.stale(u) {
			key := groupKey{m.Group, m.Epoch}
			reported[key] = append(reported[key], u)
		}
	}
	for key, members := range reported {
		sort.Slice(members, func(i, j int) bool { return members[i].Member.Rank < members[j].Member.Rank })
		g := f.reportedGroup(key, members)
		if g.Phase != roster.PhaseOpen && !allKnown {
			continue
		}
		f.Roster.PutGroup(g)
		f.Note(g, string(g.Phase), "reported by its members, unknown to this leader")
	}
}

// stale reports whether the last report of u is older than the loss of the group that it names.
func (f *Formation) stale(u *roster.Upstream) bool {
	at, lost := f.lost[u.Member.Group]
	return lost && f.world.Ages[u.ID] >= f.world.Now.Sub(at)
}

// out reports whether u is certainly out of the group that it last reported: that group is over, or u has left it. An
// order that was given before the end of a group may be carried out after it, so a head may open a group again.
func (f *Formation) out(u *roster.Upstream) bool {
	m := u.Member
	if m.State == roster.MemberNone {
		return true
	}
	if at, ok := f.over[m.Group]; ok {
		serves := m.State == roster.MemberOpen || m.State == roster.MemberClosing
		return !serves || f.world.Ages[u.ID] > f.world.Now.Sub(at)
	}
	return f.hasLeft(u, m.Epoch)
}

// reportedGroup puts a group together from its members' reports, in the order of their ranks. Unless it is whole and open
// it is to be left; its first member is then the head, if the head reported at all.
func (f *Formation) reportedGroup(key groupKey, members []*roster.Upstream) *roster.Group {
	head := members[0]
	g := &roster.Group{Name: key.name, Epoch: key.epoch, Service: f.Service, Phase: roster.PhaseOpen, Since: f.world.Now}
	for _, m := range head.Loaded {
		g.Model = m
	}
	_, lost := f.lost[g.Name]
	whole := head.Member.State == roster.MemberOpen && !lost
	for i, u := range members {
		g.Members = append(g.Members, u.ID)
		g.Far = g.Far || u.Domain != head.Domain
		whole = whole && u.Member.Rank == i
	}
	model, ok := f.engine.Model(g.Model)
	if !whole || !ok || model.Size != len(members) {
		g.Phase = roster.PhaseLeaving
		f.headless[g.Name] = head.Member.Rank != 0
	}
	return g
}

// begin starts groups from the upstreams that are free, and stages weights on those that lack them.
func (f *Formation) begin() {
	s := f.situation()
	s.Free = f.unreserved(s.Free)
	d := Plan(s)
	for i := range d.Groups {
		f.beginGroup(&d.Groups[i])
	}
	for _, st := range d.Stage {
		f.spend(1)
		f.staging[st.ID] = staged{st.Model, f.world.Now}
		f.Send(Order{To: st.ID, Address: f.byID[st.ID].Address, Action: ActionStage, Model: st.Model, Fence: f.Fence})
	}
	f.bringHome(f.situation())
}

func (f *Formation) beginGroup(choice *Choice) {
	f.spend(choice.Loads)
	epoch := f.NextEpoch()
	g := roster.Group{
		Name:    ident.Group("g" + strconv.FormatUint(uint64(epoch), 36)),
		Epoch:   epoch,
		Service: f.Service,
		Model:   choice.Model,
		Members: choice.Members,
		Phase:   roster.PhaseForming,
		Far:     choice.Far,
		Since:   f.world.Now,
	}
	f.Roster.PutGroup(&g)
	f.Note(&g, "begun", "expected to be ready in "+choice.Ready.String())
	for _, id := range g.Members {
		f.order(&g, id, ActionJoin)
	}
}

func (f *Formation) situation() *Situation {
	s := &Situation{
		Engine: f.engine, Groups: map[ident.Model]int{}, Homes: map[ident.Domain]map[ident.Model]int{},
		Loose: map[ident.Domain]map[ident.Model]int{}, Demand: f.world.Demand, Early: f.Early,
	}
	taken := map[ident.Incarnation]bool{}
	for _, g := range f.groups() {
		f.countGroup(s, &g)
		for _, id := range g.Members {
			taken[id] = true
		}
	}
	for i := range f.world.Upstreams {
		u := &f.world.Upstreams[i]
		if u.Service != f.Service || u.Draining || u.Silent {
			continue
		}
		s.Total++
		if taken[u.ID] || !f.out(u) {
			delete(f.free, u.ID)
			continue
		}
		if f.world.Ages[u.ID] >= missedReport || f.world.Dead[u.ID] {
			continue
		}
		s.Free = append(s.Free, f.candidate(u))
	}
	s.Loads = f.loadsNow()
	return s
}

func (f *Formation) candidate(u *roster.Upstream) Candidate {
	now := f.world.Now
	if _, ok := f.free[u.ID]; !ok {
		f.free[u.ID] = now
	}
	c := Candidate{
		ID: u.ID, Hall: u.Hall, Domain: u.Domain, Last: f.last[u.ID], Staged: u.Staged, FreeFor: now.Sub(f.free[u.ID]),
		Stood: f.stood[u.ID],
	}
	if st, ok := f.staging[u.ID]; ok {
		if roster.Has(u.Staged, st.model) || now.Sub(st.at) > f.loadLimit(st.model) {
			delete(f.staging, u.ID)
		} else {
			c.Staging = st.model
		}
	}
	return c
}

// loadLimit is how long a load may take until it is taken for lost.
func (f *Formation) loadLimit(model ident.Model) time.Duration {
	if m, ok := f.engine.Model(model); ok {
		return loadFactor*m.Load + loadSlack
	}
	return loadSlack
}

func (f *Formation) countGroup(s *Situation, g *roster.Group) {
	switch g.Phase {
	case roster.PhaseForming, roster.PhaseOpening, roster.PhaseOpen:
		s.Groups[g.Model]++
	default:
		return
	}
	for _, id := range g.Members {
		u := f.byID[id]
		if u == nil {
			continue
		}
		count(s.Homes, u.Domain, g.Model)
		if g.Far {
			count(s.Loose, u.Domain, g.Model)
		}
	}
}

func count(counts map[ident.Domain]map[ident.Model]int, domain ident.Domain, model ident.Model) {
	if counts[domain] == nil {
		counts[domain] = map[ident.Model]int{}
	}
	counts[domain][model]++
}

// unreserved leaves out the upstreams of domains in which a whole group is about to be formed.
func (f *Formation) unreserved(free []Candidate) []Candidate {
	var rest []Candidate
	for i := range free {
		reserved := false
		for _, domain := range f.homing {
			reserved = reserved || free[i].Domain == domain
		}
		if !reserved {
			rest = append(rest, free[i])
		}
	}
	return rest
}

// bringHome closes groups that span domains when one domain has enough upstreams for a whole one among their members and
// those that are free.
func (f *Formation) bringHome(s *Situation) {
	if len(f.homing) > 0 {
		return
	}
	for i := range f.engine.Models {
		m := &f.engine.Models[i]
		far := f.farGroups(m)
		for _, domain := range f.looseDomains(far) {
			groups := f.home(s, m, domain, far)
			for j := range groups {
				f.homing[groups[j].Name] = domain
				f.phase(&groups[j], roster.PhaseClosing, "domain "+string(domain)+" has enough members for a whole group")
			}
			if len(groups) > 0 {
				return
			}
		}
	}
}

// farGroups returns the open groups of m that span domains and have served for a while.
func (f *Formation) farGroups(m *httproute.Model) []roster.Group {
	var list []roster.Group
	for _, g := range f.groups() {
		if g.Far && g.Model == m.Name && g.Phase == roster.PhaseOpen && f.world.Now.Sub(g.Since) >= farAtLeast {
			list = append(list, g)
		}
	}
	return list
}

// looseDomains returns the domains of the groups' members, in order.
func (f *Formation) looseDomains(groups []roster.Group) []ident.Domain {
	found := map[ident.Domain]bool{}
	for i := range groups {
		for _, id := range groups[i].Members {
			if u := f.byID[id]; u != nil {
				found[u.Domain] = true
			}
		}
	}
	return sortedKeys(found)
}

// home returns the groups to close so that domain has the members of a whole one, those with the most members there
// first; nothing when they would not suffice.
func (f *Formation) home(s *Situation, m *httproute.Model, domain ident.Domain, far []roster.Group) []roster.Group {
	n := 0
	for i := range s.Free {
		if c := &s.Free[i]; c.Domain == domain && readyIn(m, c) <= m.Warm {
			n++
		}
	}
	there := func(g *roster.Group) int {
		count := 0
		for _, id := range g.Members {
			if u := f.byID[id]; u != nil && u.Domain == domain {
				count++
			}
		}
		return count
	}
	far = slices.Clone(far)
	sort.SliceStable(far, func(i, j int) bool { return there(&far[i]) > there(&far[j]) })
	for i := range far {
		if n >= m.Size {
			return far[:i]
		}
		n += there(&far[i])
	}
	if n >= m.Size {
		return far
	}
	return nil
}

// spend takes loads out of the allowance, which counts only after the start.
func (f *Formation) spend(loads int) {
	if !f.Early {
		f.loads -= float64(loads)
	}
}

// loadsNow returns how many loads may begin; before the first request they are cheap, but still share the weight store.
func (f *Formation) loadsNow() int {
	now := f.world.Now
	if f.Early {
		joining := 0
		for _, g := range f.groups() {
			if g.Phase == roster.PhaseForming {
				joining += len(g.Members)
			}
		}
		return max(0, f.engine.ConcurrentLoads+loadBurst-joining)
	}
	if !f.loadedAt.IsZero() {
		f.loads = min(loadBurst, f.loads+now.Sub(f.loadedAt).Seconds()*f.engine.LoadsPerSecond*loadShare)
	}
	f.loadedAt = now
	// Past the number that the store serves at once, each load only takes longer.
	return max(0, min(int(f.loads), f.engine.ConcurrentLoads-len(f.staging)))
}
