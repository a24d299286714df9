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
func (f *Formation) adopt(allReported bool) {
	inRoster := map[ident.Group]bool{}
	for _, g := range f.groups() {
		inRoster[g.Name] = true
	}
	reported := map[groupKey][]*roster.Upstream{}
	for _, u := range f.byID {
		if m := u.Member; !inRoster[m.Group] && !f.outOfGroup(u) && !f.staleReport(u) {
			key := groupKey{m.Group, m.Epoch}
			reported[key] = append(reported[key], u)
		}
	}
	for key, members := range reported {
		sort.Slice(members, func(i, j int) bool { return members[i].Member.Rank < members[j].Member.Rank })
		g := f.groupFromReports(key, members)
		if g.Phase != roster.PhaseOpen && !allReported {
			continue
		}
		f.Roster.PutGroup(g)
		f.RecordDecision(g, string(g.Phase), "reported by its members, unknown to this leader")
	}
}

// staleReport reports whether the last report of u is older than the loss of the group that it names.
func (f *Formation) staleReport(u *roster.Upstream) bool {
	at, lost := f.lostGroups[u.Member.Group]
	return lost && f.snapshot.ReportAges[u.ID] >= f.snapshot.Now.Sub(at)
}

// outOfGroup reports whether u is certainly out of the group that it last reported: that group is over, or u has left it. An
// order that was given before the end of a group may be carried out after it, so a head may open a group again.
func (f *Formation) outOfGroup(u *roster.Upstream) bool {
	m := u.Member
	if m.State == roster.MemberNone {
		return true
	}
	if at, ok := f.endedGroups[m.Group]; ok {
		serves := m.State == roster.MemberOpen || m.State == roster.MemberClosing
		return !serves || f.snapshot.ReportAges[u.ID] > f.snapshot.Now.Sub(at)
	}
	return f.hasLeft(u, m.Epoch)
}

// groupFromReports puts a group together from its members' reports, in the order of their ranks. Unless it is whole and open
// it is to be left; its first member is then the head, if the head reported at all.
func (f *Formation) groupFromReports(key groupKey, members []*roster.Upstream) *roster.Group {
	head := members[0]
	g := &roster.Group{Name: key.name, Epoch: key.epoch, Service: f.Service, Phase: roster.PhaseOpen, Since: f.snapshot.Now}
	for _, m := range head.Loaded {
		g.Model = m
	}
	_, lost := f.lostGroups[g.Name]
	complete := head.Member.State == roster.MemberOpen && !lost
	for i, u := range members {
		complete = complete && f.hasReported(u.ID)
		g.Members = append(g.Members, u.ID)
		g.Far = g.Far || u.Domain != head.Domain
		complete = complete && u.Member.Rank == i
	}
	model, ok := f.engine.Model(g.Model)
	// What became of the orders by which it was formed is not known here.
	g.Doubtful = true
	if !complete || !ok || model.Size != len(members) {
		g.Phase = roster.PhaseLeaving
		f.headless[g.Name] = head.Member.Rank != 0
	}
	return g
}

// startPlanned starts groups from the upstreams that are free, closes groups for better ones, and loads weights ahead.
func (f *Formation) startPlanned() {
	d := Plan(f.planInput())
	for i := range d.Groups {
		f.formGroup(&d.Groups[i], d.Reason)
	}
	f.closeGroups(d.Close, d.Reason)
	for _, l := range d.Stage {
		f.stageWeights(l)
	}
	for _, l := range d.WarmUp {
		f.warmUpSpare(l)
	}
}

func (f *Formation) formGroup(group *GroupPlan, reason string) {
	f.useLoads(group.Loads)
	f.startGroup(&roster.Group{Model: group.Model, Members: group.Members, Far: group.CrossDomain}, "ready in "+group.ReadyIn.String()+"; groups now: "+reason)
}

// warmUpSpare lets a spare join a group of its own, which it leaves as soon as it is ready: an engine joins at once when its last
// group had the same model.
func (f *Formation) warmUpSpare(l WeightLoad) {
	f.startGroup(&roster.Group{Model: l.Model, Members: []ident.Incarnation{l.ID}, WarmUp: true}, "a spare gets ready to join at once")
}

func (f *Formation) startGroup(g *roster.Group, reason string) {
	g.Epoch = f.NextEpoch()
	g.Name = ident.Group("g" + strconv.FormatUint(uint64(g.Epoch), 36))
	g.Service = f.Service
	g.Phase = roster.PhaseForming
	g.Since = f.snapshot.Now
	f.Roster.PutGroup(g)
	f.RecordDecision(g, "begun", reason)
	for _, id := range g.Members {
		f.sendOrder(g, id, ActionJoin)
	}
}

// closeGroups begins to close groups for better ones.
func (f *Formation) closeGroups(closings []Closing, reason string) {
	for _, g := range f.groups() {
		for _, c := range closings {
			if c.Group == g.Name {
				f.replacing[g.Name] = c
				f.setPhase(&g, roster.PhaseClosing, "domain "+string(c.Domain)+" has enough members for a better one; groups now: "+reason)
			}
		}
	}
}

func (f *Formation) stageWeights(l WeightLoad) {
	f.useLoads(1)
	f.staging[l.ID] = stagingOrder{l.Model, f.snapshot.Now.Add(f.loadTimeout(l.Model))}
	f.Send(Order{To: l.ID, Address: f.byID[l.ID].Address, Action: ActionStage, Model: l.Model, Fence: f.Fence})
}

func (f *Formation) planInput() *PlanInput {
	input := &PlanInput{Engine: f.engine, Demand: f.snapshot.Demand, BeforeFirstRequest: f.BeforeFirstRequest, Expected: map[ident.Domain]ExpectedGroups{}}
	for _, c := range f.replacing {
		input.Expected[c.Domain] = c.Expected
	}
	inGroup := map[ident.Incarnation]bool{}
	for _, g := range f.groups() {
		for _, id := range g.Members {
			inGroup[id] = true
		}
		if p, ok := f.existingGroup(&g); ok && !f.snapshot.DrainedHalls[p.Members[0].Hall] {
			input.Groups = append(input.Groups, p)
		}
	}
	for i := range f.snapshot.Upstreams {
		u := &f.snapshot.Upstreams[i]
		if u.Service != f.Service || u.Draining || u.Silent || f.snapshot.DrainedHalls[u.Hall] {
			continue
		}
		input.Usable++
		if !inGroup[u.ID] && f.isFree(u) {
			input.Free = append(input.Free, f.candidate(u))
		}
	}
	input.LoadBudget = f.loadBudget()
	return input
}

// isFree reports whether an upstream that no group has may join one: it has left its last one for certain, and is there.
func (f *Formation) isFree(u *roster.Upstream) bool {
	reachable := f.snapshot.ReportAges[u.ID] < missedReportAge && !f.snapshot.Unreachable[u.ID]
	return reachable && f.outOfGroup(u) && !f.domainReserved(u.Domain) && f.boundUntil[u.ID].IsZero()
}

// existingGroup describes g to the planner if it serves or will serve.
func (f *Formation) existingGroup(g *roster.Group) (ExistingGroup, bool) {
	p := ExistingGroup{Name: g.Name, Model: g.Model, CrossDomain: g.Far}
	switch g.Phase {
	case roster.PhaseForming, roster.PhaseOpening:
	case roster.PhaseOpen:
		p.Open = true
		p.Settled = f.snapshot.Now.Sub(g.Since) >= settledAfter
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

// domainReserved reports whether a group closes so that a better one can be formed in domain.
func (f *Formation) domainReserved(domain ident.Domain) bool {
	for _, c := range f.replacing {
		if c.Domain == domain {
			return true
		}
	}
	return false
}

func (f *Formation) candidate(u *roster.Upstream) Candidate {
	c := Candidate{ID: u.ID, Hall: u.Hall, Domain: u.Domain, LastModel: u.Last, Staged: u.Staged, Cold: u.Cold, StalledAsHead: f.stalledHeads[u.ID], LastHeadedModel: f.lastHeaded[u.ID], Slowdown: f.snapshot.Slowdowns[u.ID]}
	if st, ok := f.staging[u.ID]; ok {
		if roster.HasModel(u.Staged, st.model) || f.snapshot.Now.After(st.until) {
			delete(f.staging, u.ID)
		} else {
			c.Staging = st.model
		}
	}
	return c
}

// loadTimeout is how long a load may take until it is taken for lost.
func (f *Formation) loadTimeout(model ident.Model) time.Duration {
	if m, ok := f.engine.Model(model); ok {
		return loadTimeoutFactor*m.Load + loadTimeoutSlack
	}
	return loadTimeoutSlack
}

// useLoads takes loads out of the allowance, which counts only after the start.
func (f *Formation) useLoads(loads int) {
	if !f.BeforeFirstRequest {
		f.loadAllowance -= float64(loads)
	}
}

// loadBudget returns how many loads may begin; those before the first request do not count against the weight store's rate.
func (f *Formation) loadBudget() int {
	now := f.snapshot.Now
	if f.BeforeFirstRequest {
		return len(f.byID)
	}
	if !f.allowanceAt.IsZero() {
		f.loadAllowance = min(loadBurst, f.loadAllowance+now.Sub(f.allowanceAt).Seconds()*f.engine.LoadsPerSecond*loadRateFraction)
	}
	f.allowanceAt = now
	// Past the number that the store serves at once, each load only takes longer.
	return max(0, min(int(f.loadAllowance), f.engine.ConcurrentLoads-len(f.staging)))
}
