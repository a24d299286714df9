package planner_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/control"
	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/planner"
	"github.com/dunlinquay/dunlinquay/result"
)

// The policy table simulates short sequences of events with the planner and with
// two baselines, and adds up group downtime and stranded accelerator time. A load
// takes loadTime at the full rate of the weight store; a VM that already has the
// weights joins within one tick.

const (
	tick          = 5 * time.Second
	loadTime      = time.Minute
	rejoinTime    = 5 * time.Second
	lossAfter     = 5 * time.Second
	fullRateLoads = 8 // loads that the weight store serves at full rate
)

// event changes the fleet at a time.
type event struct {
	at     time.Duration
	action string // "down NAMES", "up NAMES" or "group NAME SIZE [one]"
}

// sequence is one row of the table.
type sequence struct {
	name    string
	domains []string
	groups  []string
	events  []event
	length  time.Duration
}

var sequences = []sequence{
	{
		name: "losses with spares", domains: []string{"d1: a b c d e", "d2: f g h i j"},
		groups: []string{"g1 4", "g2 4"},
		events: []event{{5 * time.Minute, "down b"}, {20 * time.Minute, "down g"}, {40 * time.Minute, "up b"}, {50 * time.Minute, "up g"}},
		length: time.Hour,
	},
	{
		name: "a second loss right after a repair", domains: []string{"d1: a b c d e f"},
		groups: []string{"g1 4 one"},
		events: []event{{5 * time.Minute, "down b"}, {5*time.Minute + 70*time.Second, "down e"}, {30 * time.Minute, "up b e"}},
		length: time.Hour,
	},
	{
		name: "restarts without spares", domains: []string{"d1: a b c d", "d2: e f g h"},
		groups: []string{"g1 4", "g2 4"},
		events: []event{{5 * time.Minute, "down b"}, {6 * time.Minute, "up b"}, {15 * time.Minute, "down f"}, {16 * time.Minute, "up f"}},
		length: 30 * time.Minute,
	},
	{
		name: "two restarts at the same time", domains: []string{"d1: a b c d", "d2: e f g h"},
		groups: []string{"g1 4", "g2 4"},
		events: []event{{5 * time.Minute, "down b f"}, {6 * time.Minute, "up b f"}},
		length: 30 * time.Minute,
	},
	{
		name: "two long losses without spares", domains: []string{"d1: a b c d", "d2: e f g h"},
		groups: []string{"g1 4", "g2 4"},
		events: []event{{5 * time.Minute, "down b"}, {6 * time.Minute, "down f"}, {4 * time.Hour, "up b f"}},
		length: 5 * time.Hour,
	},
	{
		name: "a flapping spare", domains: []string{"d1: a b c d e f g"},
		groups: []string{"g1 4"},
		events: flaps("b", 8, event{13*time.Minute + 40*time.Second, "down c"}),
		length: 40 * time.Minute,
	},
	{
		name: "a failed domain for a short time", domains: []string{"d1: a b c d", "d2: e f g h", "d3: i j k l"},
		groups: []string{"g1 4", "g2 4", "g3 4"},
		events: []event{{5 * time.Minute, "down a b c d"}, {8 * time.Minute, "up a b c d"}},
		length: 30 * time.Minute,
	},
	{
		name: "a failed domain with free VMs elsewhere", domains: []string{"d1: a b c d", "d2: e f g h", "d3: i j k l m"},
		groups: []string{"g1 4", "g2 4"},
		events: []event{{5 * time.Minute, "down a b c d"}, {65 * time.Minute, "up a b c d"}},
		length: 2 * time.Hour,
	},
	{
		name: "uneven domains", domains: []string{"d1: a b c d e f", "d2: g h i j", "d3: k l"},
		groups: []string{"g1 4 one", "g2 2 one", "g3 6 one"},
		length: time.Hour,
	},
	{
		name: "uneven domains and a loss", domains: []string{"d1: a b c d e f g", "d2: h i j k"},
		groups: []string{"g1 4 one", "g2 6 one"},
		events: []event{{10 * time.Minute, "down a"}, {40 * time.Minute, "up a"}},
		length: time.Hour,
	},
	{
		name: "mixed speeds", domains: []string{"d1: a*1 b*0.5 c*1 d*0.5", "d2: e*1 f*0.5 g*1 h*0.5"},
		groups: []string{"g1 2", "g2 2", "g3 2", "g4 2"},
		events: []event{{10 * time.Minute, "down a"}, {30 * time.Minute, "up a"}},
		length: time.Hour,
	},
	{
		name: "growth", domains: []string{"d1: a b c d e f g h", "d2: i j k l m n o p"},
		groups: []string{"g1 4"},
		events: []event{
			{5 * time.Minute, "group g2 4"}, {10 * time.Minute, "group g3 2"}, {15 * time.Minute, "group g4 2"}, {20 * time.Minute, "group g5 4"},
		},
		length: time.Hour,
	},
	{
		name: "a day of losses", domains: []string{"d1: a1 a2 a3 a4 a5 a6 a7 a8 a9", "d2: b1 b2 b3 b4 b5 b6 b7 b8 b9", "d3: c1 c2 c3 c4 c5 c6 c7 c8 c9"},
		groups: []string{"g1 4 one", "g2 4 one", "g3 4 one", "g4 4 one", "g5 4 one", "g6 4 one"},
		events: []event{
			{30 * time.Minute, "down a2"}, {time.Hour, "up a2"}, {90 * time.Minute, "down b3"}, {2 * time.Hour, "up b3"},
			{150 * time.Minute, "down c1"}, {3 * time.Hour, "up c1"}, {210 * time.Minute, "down a7"}, {4 * time.Hour, "up a7"},
			{270 * time.Minute, "down b8"}, {5 * time.Hour, "up b8"},
		},
		length: 5*time.Hour + 30*time.Minute,
	},
	{
		name: "a cold start", domains: []string{"d1: a b c d e f g h", "d2: i j k l m n o p", "d3: q r s t u v w x"},
		groups: []string{"g1 8 one", "g2 4 one", "g3 4 one", "g4 8 one"},
		length: 20 * time.Minute,
	},
}

// flaps returns repeated losses and returns of a VM, with one other event in between.
func flaps(name string, times int, other event) []event {
	events := []event{other}
	at := 6 * time.Minute
	for range times {
		events = append(events, event{at, "down " + name}, event{at + 30*time.Second, "up " + name})
		at += 3 * time.Minute
	}
	slices.SortStableFunc(events, func(a, b event) int { return int(a.at - b.at) })
	return events
}

// strategy decides on a snapshot: the planner or a baseline.
type strategy func(s *planner.Snapshot) []planner.Action

// simulation is the running state of one sequence under one strategy.
type simulation struct {
	t            *testing.T
	times        timings
	state        *fleet.State
	revision     ident.Revision
	now          time.Duration
	downSince    map[ident.VM]time.Duration
	changedAt    map[ident.VM]time.Duration
	losses       map[ident.VM]int
	lostAsMember map[ident.VM]bool // lost while a member of a group
	loaded       map[ident.VM]string
	remaining    map[ident.VM]time.Duration // load time at the full rate that is still needed
	brokenSince  map[ident.Group]time.Duration
	downtime     time.Duration
	stranded     time.Duration
}

// timings are the time of a load, the time until a loss is detected, and whether loads are ordered as by control.Orders. With zero times a run
// shows the cost that no strategy can avoid.
type timings struct {
	load, loss time.Duration
	ordered    bool
}

func run(t *testing.T, seq *sequence, decide strategy, times timings) (downtime, stranded time.Duration) {
	t.Helper()
	sim := &simulation{
		t: t, times: times, state: newState(t, seq.domains...), downSince: map[ident.VM]time.Duration{}, changedAt: map[ident.VM]time.Duration{}, losses: map[ident.VM]int{},
		lostAsMember: map[ident.VM]bool{}, loaded: map[ident.VM]string{}, remaining: map[ident.VM]time.Duration{}, brokenSince: map[ident.Group]time.Duration{},
	}
	for _, g := range seq.groups {
		sim.trigger("group " + g)
	}
	events := slices.Clone(seq.events)
	for sim.now = 0; sim.now < seq.length; sim.now += tick {
		for len(events) > 0 && events[0].at <= sim.now {
			sim.trigger(events[0].action)
			events = events[1:]
		}
		sim.act(decide(sim.snapshot()))
		sim.loadWeights()
		sim.account()
	}
	return sim.downtime, sim.stranded
}

func (x *simulation) apply(c *fleet.Command) {
	x.t.Helper()
	x.revision++
	if a := x.state.Apply(x.revision, c); a.Code != result.OK {
		x.t.Fatalf("%s: %s", x.now, a.Text)
	}
}

func (x *simulation) trigger(action string) {
	fields := strings.Fields(action)
	switch fields[0] {
	case "group":
		spec := &fleet.GroupSpec{Name: ident.Group(fields[1]), Model: "m", OneDomain: len(fields) > 3}
		if _, err := fmt.Sscan(fields[2], &spec.Size); err != nil {
			x.t.Fatal(err)
		}
		x.apply(&fleet.Command{Kind: fleet.KindCreateGroup, Spec: spec})
	case "down":
		for _, w := range fields[1:] {
			name := ident.VM(w)
			x.downSince[name], x.changedAt[name] = x.now, x.now
			x.losses[name]++
			x.lostAsMember[name] = x.state.VMs[name].Phase != fleet.VMFree
			x.loaded[name] = ""
		}
	case "up":
		for _, w := range fields[1:] {
			delete(x.downSince, ident.VM(w))
			x.changedAt[ident.VM(w)] = x.now
		}
	}
}

func (x *simulation) snapshot() *planner.Snapshot {
	snapshot := planner.NewSnapshot(x.state.Clone())
	for i := range snapshot.VMs {
		v := &snapshot.VMs[i]
		v.Flaps, v.StableFor = x.losses[v.Name], x.now-x.changedAt[v.Name]
		since, down := x.downSince[v.Name]
		switch {
		case down && x.now-since >= x.times.loss:
			v.Condition = planner.ConditionLost
		case down:
			v.Condition = planner.ConditionSuspect
		case x.lostAsMember[v.Name] && v.Phase == fleet.VMJoined:
			v.Condition = planner.ConditionRestarted
		}
	}
	for i := range snapshot.Groups {
		g := &snapshot.Groups[i]
		g.Drained = true
		if since, ok := x.brokenSince[g.Spec.Name]; ok {
			g.DownFor = x.now - since
		}
	}
	return snapshot
}

func (x *simulation) act(actions []planner.Action) {
	for _, a := range actions {
		kind := map[planner.ActionKind]fleet.Kind{
			planner.ActionAssign: fleet.KindAssign, planner.ActionDrain: fleet.KindDrainGroup, planner.ActionBreak: fleet.KindBreakGroup,
		}[a.Kind]
		x.apply(&fleet.Command{Kind: kind, Assign: &fleet.Assignment{Group: a.Group, BaseEpoch: a.BaseEpoch, Members: a.Members}})
	}
	for _, v := range x.state.SortedVMs() {
		_, down := x.downSince[v.Name]
		if v.Phase == fleet.VMLeaving && !down {
			x.apply(&fleet.Command{Kind: fleet.KindConfirm, Confirmations: []fleet.Confirmation{{VM: v.Name, Epoch: v.Epoch, Left: true}}})
			x.lostAsMember[v.Name] = false
		}
		if v.Phase != fleet.VMJoining {
			delete(x.remaining, v.Name)
		}
	}
}

// loadWeights divides the weight store's rate among the VMs that load, either all of them or those that control.Orders would have started. A VM
// that has the weights needs no load.
func (x *simulation) loadWeights() {
	var loading []*fleet.VM
	for _, v := range x.state.SortedVMs() {
		if _, down := x.downSince[v.Name]; v.Phase != fleet.VMJoining || down {
			continue
		}
		if x.loaded[v.Name] == "m" {
			x.confirm(v)
			continue
		}
		if _, ok := x.remaining[v.Name]; !ok {
			x.remaining[v.Name] = x.times.load
		}
		loading = append(loading, v)
	}
	share := tick
	if x.times.ordered {
		loading = startedLoads(loading)
	}
	if len(loading) > fullRateLoads {
		share = tick * fullRateLoads / time.Duration(len(loading))
	}
	for _, v := range loading {
		if x.remaining[v.Name] -= share; x.remaining[v.Name] <= 0 {
			x.loaded[v.Name] = "m"
			x.confirm(v)
		}
	}
}

// startedLoads returns the VMs whose loads control would have started.
func startedLoads(loading []*fleet.VM) []*fleet.VM {
	missing := map[ident.Group]int{}
	for _, v := range loading {
		missing[v.Group]++
	}
	slices.SortStableFunc(loading, func(a, b *fleet.VM) int {
		return cmp.Or(missing[a.Group]-missing[b.Group], int(a.Epoch)-int(b.Epoch))
	})
	var started []*fleet.VM
	groups := map[ident.Group]bool{}
	for _, v := range loading {
		if !groups[v.Group] && !control.ShouldStartLoad(len(started), len(groups), missing[v.Group], fullRateLoads) {
			continue
		}
		groups[v.Group] = true
		started = append(started, v)
	}
	return started
}

func (x *simulation) confirm(v *fleet.VM) {
	x.lostAsMember[v.Name] = false
	delete(x.remaining, v.Name)
	x.apply(&fleet.Command{Kind: fleet.KindConfirm, Confirmations: []fleet.Confirmation{{VM: v.Name, Epoch: v.Epoch, Incarnation: "i"}}})
}

func (x *simulation) account() {
	used := map[ident.VM]bool{}
	for _, g := range x.state.SortedGroups() {
		serving := g.Phase == fleet.GroupServing
		for _, name := range g.Members {
			_, down := x.downSince[name]
			serving = serving && !down && !x.lostAsMember[name]
		}
		if !serving {
			x.downtime += tick
			if _, ok := x.brokenSince[g.Spec.Name]; !ok {
				x.brokenSince[g.Spec.Name] = x.now
			}
			continue
		}
		delete(x.brokenSince, g.Spec.Name)
		for _, name := range g.Members {
			used[name] = true
		}
	}
	for _, v := range x.state.SortedVMs() {
		if _, down := x.downSince[v.Name]; !down && !used[v.Name] {
			x.stranded += tick * time.Duration(v.Accelerators)
		}
	}
}

// firstFit is a baseline: each group that lacks members gets the first free VMs by name, in any domain unless one-domain is declared, without
// regard to the weight store.
func firstFit(s *planner.Snapshot) []planner.Action {
	var actions []planner.Action
	taken := map[ident.VM]bool{}
	for i := range s.Groups {
		g := &s.Groups[i]
		var kept []ident.VM
		broken := g.Phase == fleet.GroupBroken
		for _, name := range g.Members {
			if c := s.VM(name).Condition; c != planner.ConditionLost {
				kept = append(kept, name)
				broken = broken || c == planner.ConditionRestarted
			}
		}
		if len(kept) == g.Spec.Size && !broken {
			continue
		}
		members := fillGroup(s, g, kept, taken)
		if members == nil {
			continue
		}
		actions = append(actions, planner.Action{Kind: planner.ActionAssign, Group: g.Spec.Name, BaseEpoch: g.Epoch, Members: members})
	}
	return actions
}

// fillGroup adds the first free VMs to the kept ones until the group has its size; nil if there are too few.
func fillGroup(s *planner.Snapshot, g *planner.Group, kept []ident.VM, taken map[ident.VM]bool) []ident.VM {
	var domains []ident.Domain
	for i := range s.VMs {
		if !slices.Contains(domains, s.VMs[i].Domain) {
			domains = append(domains, s.VMs[i].Domain)
		}
	}
	if !g.Spec.OneDomain {
		domains = []ident.Domain{""}
	} else if len(kept) > 0 {
		domains = []ident.Domain{s.VM(kept[0]).Domain}
	}
	for _, d := range domains {
		members := slices.Clone(kept)
		for i := range s.VMs {
			v := &s.VMs[i]
			free := v.Phase == fleet.VMFree && v.Condition == planner.ConditionPresent && !taken[v.Name]
			if free && (d == "" || v.Domain == d) && len(members) < g.Spec.Size {
				members = append(members, v.Name)
			}
		}
		if len(members) == g.Spec.Size {
			for _, m := range members {
				taken[m] = true
			}
			return members
		}
	}
	return nil
}

// reformAll is a baseline: whenever a group is pending or broken, or a member is lost or restarted, all groups are formed again, the largest
// first, each in the domain with the fewest free VMs that suffices.
func reformAll(s *planner.Snapshot) []planner.Action {
	disturbed := false
	for i := range s.Groups {
		g := &s.Groups[i]
		disturbed = disturbed || g.Phase == fleet.GroupPending || g.Phase == fleet.GroupBroken
		for _, name := range g.Members {
			c := s.VM(name).Condition
			disturbed = disturbed || c == planner.ConditionLost || c == planner.ConditionRestarted
		}
	}
	if !disturbed {
		return nil
	}
	free := map[ident.Domain][]ident.VM{}
	for i := range s.VMs {
		if v := &s.VMs[i]; v.Condition != planner.ConditionLost && v.Condition != planner.ConditionSuspect {
			free[v.Domain] = append(free[v.Domain], v.Name)
		}
	}
	order := make([]*planner.Group, len(s.Groups))
	for i := range s.Groups {
		order[i] = &s.Groups[i]
	}
	slices.SortStableFunc(order, func(a, b *planner.Group) int { return b.Spec.Size - a.Spec.Size })
	var releases, actions []planner.Action
	for _, g := range order {
		members := packGroup(free, g)
		same := members != nil && sameSet(members, g.Members) && (g.Phase == fleet.GroupServing || g.Phase == fleet.GroupForming)
		for _, name := range g.Members {
			same = same && s.VM(name).Condition == planner.ConditionPresent
		}
		if same {
			continue
		}
		available := members != nil
		for _, m := range members {
			v := s.VM(m)
			available = available && (v.Phase == fleet.VMFree || v.Group == g.Spec.Name && v.Phase != fleet.VMLeaving)
		}
		if available {
			actions = append(actions, planner.Action{Kind: planner.ActionAssign, Group: g.Spec.Name, BaseEpoch: g.Epoch, Members: members})
		} else if len(g.Members) > 0 {
			releases = append(releases, planner.Action{Kind: planner.ActionAssign, Group: g.Spec.Name, BaseEpoch: g.Epoch})
		}
	}
	return append(releases, actions...)
}

func sameSet(a, b []ident.VM) bool {
	x, y := slices.Clone(a), slices.Clone(b)
	slices.Sort(x)
	slices.Sort(y)
	return slices.Equal(x, y)
}

// packGroup takes the VMs of a group out of free: from the smallest sufficient domain or, unless one-domain is declared, from several.
func packGroup(free map[ident.Domain][]ident.VM, g *planner.Group) []ident.VM {
	best := ident.Domain("")
	var names []ident.Domain
	for d := range free {
		names = append(names, d)
	}
	slices.Sort(names)
	for _, d := range names {
		if len(free[d]) >= g.Spec.Size && (best == "" || len(free[d]) < len(free[best])) {
			best = d
		}
	}
	if best != "" {
		members := free[best][:g.Spec.Size]
		free[best] = free[best][g.Spec.Size:]
		return members
	}
	total := 0
	for _, d := range names {
		total += len(free[d])
	}
	if g.Spec.OneDomain || total < g.Spec.Size {
		return nil
	}
	var members []ident.VM
	for _, d := range names {
		n := min(g.Spec.Size-len(members), len(free[d]))
		members = append(members, free[d][:n]...)
		free[d] = free[d][n:]
	}
	return members
}

// deployment is a deployment with its policy weights.
type deployment struct {
	name               string
	downtime, stranded float64
}

var deployments = []deployment{{"wetterhaus", 4, 1}, {"dakar", 1, 4}}

// strandedVMWeight makes a second of a stranded VM with 8 accelerators weigh as much as a second of one group's downtime.
const strandedVMWeight = 1.0 / 8

func (d *deployment) cost(downtime, stranded time.Duration) float64 {
	return d.downtime*downtime.Seconds() + d.stranded*stranded.Seconds()*strandedVMWeight
}

func (d *deployment) plan(s *planner.Snapshot) []planner.Action {
	p := planner.DefaultPolicy()
	p.DowntimeWeight, p.StrandedWeight, p.LoadTime = d.downtime, d.stranded, loadTime
	return planner.Plan(s, p)
}

func TestPolicyTable(t *testing.T) {
	for i := range deployments {
		d := &deployments[i]
		sum, baselineSum := 0.0, 0.0
		instant, orderedBaseline := 0.0, 0.0
		var downtimeSum, baselineDowntime time.Duration
		for j := range sequences {
			seq := &sequences[j]
			costs := [3]float64{}
			var downtimes [3]time.Duration
			columns := ""
			for k, decide := range []strategy{d.plan, firstFit, reformAll} {
				downtime, stranded := run(t, seq, decide, timings{loadTime, lossAfter, k == 0})
				costs[k], downtimes[k] = d.cost(downtime, stranded), downtime
				columns += fmt.Sprintf(" | %6.0f %7.0f %7.0f", downtime.Seconds(), stranded.Seconds(), costs[k])
			}
			baseline := min(costs[1], costs[2])
			instant += d.cost(run(t, seq, d.plan, timings{}))
			// With the load order of control.Orders, the baselines show the effect of the choice of VMs alone.
			orderedLoads := timings{loadTime, lossAfter, true}
			orderedBaseline += min(d.cost(run(t, seq, firstFit, orderedLoads)), d.cost(run(t, seq, reformAll, orderedLoads)))
			t.Logf("%-10s %-38s%s", d.name, seq.name, columns)
			if costs[0] > baseline {
				t.Errorf("%s, %s: cost %.0f, want at most %.0f, that of the better baseline", d.name, seq.name, costs[0], baseline)
			}
			sum += costs[0]
			baselineSum += baseline
			downtimeSum += downtimes[0]
			baselineDowntime += min(downtimes[1], downtimes[2])
		}
		t.Logf("%-10s sum %.0f of %.0f: ratio %.2f; downtime alone %s of %s: ratio %.2f; beyond the cost with instant loads: %.0f of %.0f: ratio %.2f",
			d.name, sum, baselineSum, sum/baselineSum, downtimeSum, baselineDowntime, downtimeSum.Seconds()/baselineDowntime.Seconds(), sum-instant, baselineSum-instant, (sum-instant)/(baselineSum-instant))
		t.Logf("%-10s with the same order of loads for all: sum %.0f of %.0f: ratio %.2f; beyond the cost with instant loads: ratio %.2f",
			d.name, sum, orderedBaseline, sum/orderedBaseline, (sum-instant)/(orderedBaseline-instant))
	}
}
