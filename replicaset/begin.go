package replicaset

import (
	"sort"
	"strconv"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

type groupKey struct {
	name  ident.Group
	epoch ident.Epoch
}

// adopt takes over groups that engines report and the roster lacks, as after the loss of a leader. A whole one goes on
// serving; any other is dissolved once all is known: its former leader may have ordered it to open, and an order may be
// carried out late. What a copy says of members that this leader has not heard does not count: the former leader had ended
// their group, perhaps because they are dark, and entries would send requests there again.
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
		f.RecordDecision(g, string(g.Phase), "reported by its members, unknown to this leader")
	}
}

// stale reports whether the last report of u is older than the loss of the group that it names.
func (f *Formation) stale(u *roster.Upstream) bool {
	at, lost := f.lost[u.Member.Group]
	return lost && f.world.ReportAges[u.ID] >= f.world.Now.Sub(at)
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
		return !serves || f.world.ReportAges[u.ID] > f.world.Now.Sub(at)
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
		whole = whole && f.heard(u.ID)
		g.Members = append(g.Members, u.ID)
		g.Far = g.Far || u.Domain != head.Domain
		whole = whole && u.Member.Rank == i
	}
	model, ok := f.engine.Model(g.Model)
	// What became of the orders by which it was formed is not known here.
	g.Doubtful = true
	if !whole || !ok || model.Size != len(members) {
		g.Phase = roster.PhaseLeaving
		f.headless[g.Name] = head.Member.Rank != 0
	}
	return g
}

// begin starts groups from the upstreams that are free, closes groups for better ones, and loads weights ahead.
func (f *Formation) begin() {
	d := Plan(f.situation())
	for i := range d.Groups {
		f.beginGroup(&d.Groups[i], d.Reason)
	}
	f.close(d.Close, d.Reason)
	for _, l := range d.Stage {
		f.stage(l)
	}
	for _, l := range d.WarmUp {
		f.warmUp(l)
	}
}

func (f *Formation) beginGroup(choice *GroupPlan, why string) {
	f.spend(choice.Loads)
	f.putGroup(&roster.Group{Model: choice.Model, Members: choice.Members, Far: choice.CrossDomain}, "ready in "+choice.ReadyIn.String()+"; groups now: "+why)
}

// warmUp lets a spare join a group of its own, which it leaves as soon as it is ready: an engine joins at once when its last
// group had the same model.
func (f *Formation) warmUp(l WeightLoad) {
	f.putGroup(&roster.Group{Model: l.Model, Members: []ident.Incarnation{l.ID}, WarmUp: true}, "a spare gets ready to join at once")
}

func (f *Formation) putGroup(g *roster.Group, why string) {
	g.Epoch = f.NextEpoch()
	g.Name = ident.Group("g" + strconv.FormatUint(uint64(g.Epoch), 36))
	g.Service = f.Service
	g.Phase = roster.PhaseForming
	g.Since = f.world.Now
	f.Roster.PutGroup(g)
	f.RecordDecision(g, "begun", why)
	for _, id := range g.Members {
		f.order(g, id, ActionJoin)
	}
}

// close begins to close groups for better ones.
func (f *Formation) close(list []Closing, why string) {
	for _, g := range f.groups() {
		for _, c := range list {
			if c.Group == g.Name {
				f.homing[g.Name] = c
				f.phase(&g, roster.PhaseClosing, "domain "+string(c.Domain)+" has enough members for a better one; groups now: "+why)
			}
		}
	}
}

func (f *Formation) stage(l WeightLoad) {
	f.spend(1)
	f.staging[l.ID] = staged{l.Model, f.world.Now.Add(f.loadLimit(l.Model))}
	f.Send(Order{To: l.ID, Address: f.byID[l.ID].Address, Action: ActionStage, Model: l.Model, Fence: f.Fence})
}

func (f *Formation) situation() *PlanInput {
	s := &PlanInput{Engine: f.engine, Demand: f.world.Demand, BeforeFirstRequest: f.BeforeFirstRequest, Expected: map[ident.Domain]ExpectedGroups{}}
	for _, c := range f.homing {
		s.Expected[c.Domain] = c.Expected
	}
	taken := map[ident.Incarnation]bool{}
	for _, g := range f.groups() {
		for _, id := range g.Members {
			taken[id] = true
		}
		if p, ok := f.placed(&g); ok && !f.world.DrainedHalls[p.Members[0].Hall] {
			s.Groups = append(s.Groups, p)
		}
	}
	for i := range f.world.Upstreams {
		u := &f.world.Upstreams[i]
		if u.Service != f.Service || u.Draining || u.Silent || f.world.DrainedHalls[u.Hall] {
			continue
		}
		s.Usable++
		if !taken[u.ID] && f.free(u) {
			s.Free = append(s.Free, f.candidate(u))
		}
	}
	s.LoadBudget = f.loadsNow()
	return s
}

// free reports whether an upstream that no group has may join one: it has left its last one for certain, and is there.
func (f *Formation) free(u *roster.Upstream) bool {
	there := f.world.ReportAges[u.ID] < missedReport && !f.world.Unreachable[u.ID]
	return there && f.out(u) && !f.reserved(u.Domain) && f.bound[u.ID].IsZero()
}

// placed describes g to the planner if it serves or will serve.
func (f *Formation) placed(g *roster.Group) (ExistingGroup, bool) {
	p := ExistingGroup{Name: g.Name, Model: g.Model, CrossDomain: g.Far}
	switch g.Phase {
	case roster.PhaseForming, roster.PhaseOpening:
	case roster.PhaseOpen:
		p.Open = true
		p.Settled = f.world.Now.Sub(g.Since) >= settledAfter
	default:
		return p, false
	}
	for _, id := range g.Members {
		if u := f.byID[id]; u != nil {
			p.Members = append(p.Members, f.candidate(u))
		}
	}
	return p, !g.WarmUp && len(p.Members) > 0
}

// reserved reports whether a group closes so that a better one can be formed in domain.
func (f *Formation) reserved(domain ident.Domain) bool {
	for _, c := range f.homing {
		if c.Domain == domain {
			return true
		}
	}
	return false
}

func (f *Formation) candidate(u *roster.Upstream) Candidate {
	c := Candidate{ID: u.ID, Hall: u.Hall, Domain: u.Domain, LastModel: u.Last, Staged: u.Staged, Cold: u.Cold, StalledAsHead: f.stood[u.ID], LastHeadedModel: f.headed[u.ID], Slowdown: f.world.Slowdowns[u.ID]}
	if st, ok := f.staging[u.ID]; ok {
		if roster.HasModel(u.Staged, st.model) || f.world.Now.After(st.until) {
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

// spend takes loads out of the allowance, which counts only after the start.
func (f *Formation) spend(loads int) {
	if !f.BeforeFirstRequest {
		f.loads -= float64(loads)
	}
}

// loadsNow returns how many loads may begin; those before the first request do not count against the weight store's rate.
func (f *Formation) loadsNow() int {
	now := f.world.Now
	if f.BeforeFirstRequest {
		return len(f.byID)
	}
	if !f.loadedAt.IsZero() {
		f.loads = min(loadBurst, f.loads+now.Sub(f.loadedAt).Seconds()*f.engine.LoadsPerSecond*loadShare)
	}
	f.loadedAt = now
	// Past the number that the store serves at once, each load only takes longer.
	return max(0, min(int(f.loads), f.engine.ConcurrentLoads-len(f.staging)))
}
