package replicaset

import (
	"sort"
	"strconv"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

// groupKey identifies a group in the reports of its members.
type groupKey struct {
	name  ident.Group
	epoch ident.Epoch
}

// adopt adds groups to the roster that engines report and the roster lacks, as after the loss of a leader. A complete group continues to
// serve; any other is dissolved once all upstreams have reported, since the former leader may have ordered it to open and orders may be
// carried out late. A member that is known only from a copy of the roster does not make a group complete: the former leader may have
// ended that group because its members were unreachable, and entries would send requests there again.
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

// staleReport reports whether the last report of u is older than the decision that the group it names is lost.
func (f *Formation) staleReport(u *roster.Upstream) bool {
	at, lost := f.lostGroups[u.Member.Group]
	return lost && f.snapshot.ReportAges[u.ID] >= f.snapshot.Now.Sub(at)
}

// outOfGroup reports whether u is certainly no longer in the group that it last reported: the group has ended, or u has left it. A head
// that reports to serve after the end of its group is still in it: an order sent before the end may have been carried out late.
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

// groupFromReports builds a group from the reports of its members, sorted by rank. A group that is incomplete or not open is put into the
// leaving phase; it is headless if its head has not reported.
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
	// The outcomes of the orders by which the group was formed are unknown to this leader.
	g.Doubtful = true
	if !complete || !ok || model.Size != len(members) {
		g.Phase = roster.PhaseLeaving
		f.headless[g.Name] = head.Member.Rank != 0
	}
	return g
}

// startPlanned carries out the decision of Plan.
func (f *Formation) startPlanned() {
	d := Plan(f.planInput())
	unanswered := f.unansweredOrders()
	// mayStart reports whether more orders may be sent; what is not started is planned again in the next step.
	mayStart := func(orders int) bool {
		if unanswered > 0 && unanswered+orders > MaxUnansweredOrders {
			return false
		}
		unanswered += orders
		return true
	}
	for i := range d.Groups {
		if !mayStart(len(d.Groups[i].Members)) {
			return
		}
		f.formGroup(&d.Groups[i], d.Reason)
	}
	f.closeGroups(d.Close, d.Reason)
	for _, l := range d.Stage {
		if !mayStart(1) {
			return
		}
		f.stageWeights(l)
	}
	for _, l := range d.WarmUp {
		if !mayStart(1) {
			return
		}
		f.warmUpSpare(l)
	}
}

func (f *Formation) formGroup(group *GroupPlan, reason string) {
	f.useLoads(group.Loads)
	f.startGroup(&roster.Group{Model: group.Model, Members: group.Members, Far: group.CrossDomain}, "ready in "+group.ReadyIn.String()+"; groups now: "+reason)
}

// warmUpSpare forms a group of one spare, which leaves the group as soon as it is ready: an engine joins a group quickly if its last group
// had the same model.
func (f *Formation) warmUpSpare(l WeightLoad) {
	f.startGroup(&roster.Group{Model: l.Model, Members: []ident.Incarnation{l.ID}, WarmUp: true}, "warms up a spare, so that it joins a group of this model without a load")
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

// closeGroups starts closing groups to replace them by better ones.
func (f *Formation) closeGroups(closings []Closing, reason string) {
	for _, g := range f.groups() {
		for _, c := range closings {
			if c.Group == g.Name {
				f.replacing[g.Name] = c
				why := c.Reason
				if why == "" {
					why = "domain " + string(c.Domain) + " has enough members for a better group"
				}
				f.setPhase(&g, roster.PhaseClosing, why+"; groups now: "+reason)
			}
		}
	}
}

func (f *Formation) stageWeights(l WeightLoad) {
	f.useLoads(1)
	f.staging[l.ID] = stagingOrder{model: l.Model, deadline: f.snapshot.Now.Add(f.loadTimeout(l.Model)), sentAt: f.snapshot.Now, pending: true}
	f.Send(Order{To: l.ID, Address: f.byID[l.ID].Address, Action: ActionStage, Model: l.Model, Fence: f.Fence})
}

func (f *Formation) planInput() *PlanInput {
	input := &PlanInput{Engine: f.engine, Demand: f.snapshot.Demand, BeforeFirstRequest: f.BeforeFirstRequest, Spares: f.Spares}
	input.Expected, input.DomainSizes = map[ident.Domain]ExpectedGroups{}, map[ident.Domain]int{}
	for _, c := range f.replacing {
		input.Expected[c.Domain] = c.Expected
	}
	inGroup := f.addGroups(input)
	for i := range f.snapshot.Upstreams {
		u := &f.snapshot.Upstreams[i]
		if u.Service != f.Service || u.Draining || u.Silent || f.snapshot.DrainedHalls[u.Hall] {
			continue
		}
		input.Usable++
		input.DomainSizes[u.Domain]++
		if !inGroup[u.ID] && f.isFree(u) {
			input.Free = append(input.Free, f.candidate(u))
		}
	}
	input.LoadBudget = f.loadBudget()
	return input
}

// addGroups adds the groups to the input of Plan, and returns the members of all groups.
func (f *Formation) addGroups(input *PlanInput) map[ident.Incarnation]bool {
	inGroup := map[ident.Incarnation]bool{}
	for _, g := range f.groups() {
		for _, id := range g.Members {
			inGroup[id] = true
		}
		existing, ok := f.existingGroup(&g)
		if ok && !f.snapshot.DrainedHalls[existing.Members[0].Hall] {
			input.Groups = append(input.Groups, existing)
		}
		if !ok && f.Spares {
			input.Ending = append(input.Ending, f.remainingMembers(&g)...)
		}
	}
	return inGroup
}

// isFree reports whether an upstream outside all groups may join one: it is reachable, has certainly left its last group, and is neither
// reserved nor bound.
func (f *Formation) isFree(u *roster.Upstream) bool {
	reachable := f.snapshot.ReportAges[u.ID] < missedReportAge && !f.snapshot.Unreachable[u.ID]
	return reachable && f.outOfGroup(u) && !f.domainReserved(u.Domain) && f.boundUntil[u.ID].IsZero()
}

// existingGroup returns g as input of Plan; the result is false unless g serves or will serve.
func (f *Formation) existingGroup(g *roster.Group) (ExistingGroup, bool) {
	existing := ExistingGroup{Name: g.Name, Model: g.Model, CrossDomain: g.Far}
	switch g.Phase {
	case roster.PhaseForming, roster.PhaseOpening:
	case roster.PhaseOpen:
		existing.Open = true
		existing.Settled = f.snapshot.Now.Sub(g.Since) >= settledAfter
	default:
		return existing, false
	}
	for _, id := range g.Members {
		if u := f.byID[id]; u != nil {
			existing.Members = append(existing.Members, f.candidate(u))
		}
	}
	return existing, !g.WarmUp && len(existing.Members) > 0
}

// remainingMembers returns the members of a group that can join another one when the group has ended.
func (f *Formation) remainingMembers(g *roster.Group) []Candidate {
	var members []Candidate
	for _, id := range g.Members {
		if u := f.byID[id]; u != nil && !u.Draining && !f.isLost(u) && !f.snapshot.DrainedHalls[u.Hall] {
			members = append(members, f.candidate(u))
		}
	}
	return members
}

// domainReserved reports whether a group is closing so that a better one can be formed in domain.
func (f *Formation) domainReserved(domain ident.Domain) bool {
	for _, c := range f.replacing {
		if c.Domain == domain {
			return true
		}
	}
	return false
}

// candidate returns u as input of Plan, and drops an order to stage weights that is done or overdue.
func (f *Formation) candidate(u *roster.Upstream) Candidate {
	c := Candidate{ID: u.ID, Hall: u.Hall, Domain: u.Domain, LastModel: u.Last, Staged: u.Staged, Cold: u.Cold, StalledAsHead: f.stalledHeads[u.ID], LastHeadedModel: f.lastHeaded[u.ID], Slowdown: f.snapshot.Slowdowns[u.ID]}
	if order, ok := f.staging[u.ID]; ok {
		if roster.HasModel(u.Staged, order.model) || f.snapshot.Now.After(order.deadline) {
			delete(f.staging, u.ID)
		} else {
			c.Staging = order.model
		}
	}
	return c
}

// loadTimeout is how long a load may take before it is treated as failed.
func (f *Formation) loadTimeout(model ident.Model) time.Duration {
	if m, ok := f.engine.Model(model); ok {
		return loadTimeoutFactor*m.LoadTime + loadTimeoutSlack
	}
	return loadTimeoutSlack
}

// useLoads subtracts loads from the allowance, which applies only after the first request.
func (f *Formation) useLoads(loads int) {
	if !f.BeforeFirstRequest {
		f.loadAllowance -= float64(loads)
	}
}

// loadBudget returns how many loads may start now; before the first request the weight store's rate does not limit them.
func (f *Formation) loadBudget() int {
	now := f.snapshot.Now
	if f.BeforeFirstRequest {
		return len(f.byID)
	}
	if !f.allowanceAt.IsZero() {
		f.loadAllowance = min(loadBurst, f.loadAllowance+now.Sub(f.allowanceAt).Seconds()*f.engine.LoadsPerSecond*loadRateFraction)
	}
	f.allowanceAt = now
	// Beyond the number of loads that the store serves concurrently, each load only takes longer.
	return max(0, min(int(f.loadAllowance), f.engine.ConcurrentLoads-f.loadsInProgress()))
}

// loadsInProgress counts the loads that take bandwidth of the weight store. Lost upstreams stay in the roster for a while, but load no more.
func (f *Formation) loadsInProgress() int {
	n := 0
	for id, order := range f.staging {
		if u := f.byID[id]; u != nil && !f.isLost(u) && !f.snapshot.Now.After(order.deadline) {
			n++
		}
	}
	return n
}

// isLost reports whether an upstream neither reports nor accepts connections.
func (f *Formation) isLost(u *roster.Upstream) bool {
	return !u.Draining && (u.Silent || f.snapshot.Unreachable[u.ID])
}
