package replicaset_test

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/replicaset"
	"github.com/dunlinquay/dunlinquay/roster"
)

// candidates parses "d0:LS*s" as four upstreams of domain d0. The last group of L was of the large model, that of S of the small one, with the
// same weights on the host; W and w are the same with the other model's weights on the host. Upstreams l and s only have the weights of large or
// small on the host, and * has none.
func candidates(domains ...string) []replicaset.Candidate {
	var list []replicaset.Candidate
	for _, d := range domains {
		name, marks, _ := strings.Cut(d, ":")
		for i, mark := range marks {
			c := replicaset.Candidate{
				ID: ident.Incarnation(fmt.Sprintf("%s-%d", name, i)), Domain: ident.Domain(name), Hall: "h",
			}
			switch mark {
			case 'L':
				c.LastModel, c.Staged = "large", []ident.Model{"large"}
			case 'S':
				c.LastModel, c.Staged = "small", []ident.Model{"small"}
			case 'W':
				c.LastModel, c.Staged = "large", []ident.Model{"small"}
			case 'w':
				c.LastModel, c.Staged = "small", []ident.Model{"large"}
			case 'l':
				c.Staged = []ident.Model{"large"}
			case 's':
				c.Staged = []ident.Model{"small"}
			}
			list = append(list, c)
		}
	}
	return list
}

func decisionText(d *replicaset.Decision) []string {
	list := []string{}
	for i := range d.Groups {
		g := &d.Groups[i]
		ids := []string{}
		for _, id := range g.Members {
			ids = append(ids, string(id))
		}
		sort.Strings(ids)
		crossDomain := ""
		if g.CrossDomain {
			crossDomain = " across domains"
		}
		list = append(list, string(g.Model)+crossDomain+" "+strings.Join(ids, " "))
	}
	for _, c := range d.Close {
		text := "close " + string(c.Group) + " for " + string(c.Domain)
		if c.Expected.Count > 1 {
			text += fmt.Sprintf(" (%d)", c.Expected.Count)
		}
		list = append(list, text)
	}
	for _, s := range d.Stage {
		list = append(list, "stage "+string(s.Model)+" "+string(s.ID))
	}
	for _, w := range d.WarmUp {
		list = append(list, "warm "+string(w.Model)+" "+string(w.ID))
	}
	return list
}

// existingGroups parses "large a:WWWW" as a settled group of the large model in domain a, and "forming large a:WWWW" as one that does not serve
// yet. The groups are named by their index.
func existingGroups(groups ...string) []replicaset.ExistingGroup {
	var list []replicaset.ExistingGroup
	for i, text := range groups {
		rest, forming := strings.CutPrefix(text, "forming ")
		model, members, _ := strings.Cut(rest, " ")
		g := replicaset.ExistingGroup{Name: ident.Group(fmt.Sprintf("g%d", i)), Model: ident.Model(model), Open: !forming, Settled: !forming}
		g.Members = candidates(strings.Fields(members)...)
		for j := range g.Members {
			g.Members[j].ID = ident.Incarnation(fmt.Sprintf("%s-%d", g.Name, j))
			g.CrossDomain = g.CrossDomain || g.Members[j].Domain != g.Members[0].Domain
		}
		list = append(list, g)
	}
	return list
}

// demandFor returns the demand that requires the given numbers of groups.
func demandFor(large, small float64) map[ident.Model]float64 {
	return map[ident.Model]float64{"large": large * 4 * 0.94, "small": small * 2 * 0.94}
}

func TestPlan(t *testing.T) {
	for _, c := range []struct {
		name               string
		free               []replicaset.Candidate
		groups             []replicaset.ExistingGroup
		expected           map[ident.Domain]replicaset.ExpectedGroups
		demand             map[ident.Model]float64
		loads              int
		beforeFirstRequest bool
		want               []string
	}{
		{name: "no free upstreams", loads: 9, want: []string{}},
		{name: "a group from one domain with the weights", free: candidates("a:WWWW"), want: []string{"large a-0 a-1 a-2 a-3"}},
		{name: "a spare stays free", free: candidates("a:WWWWWWWW"), want: []string{"large a-0 a-1 a-2 a-3", "small a-4 a-5"}},
		{
			name: "no spare stays free while groups are missing", free: candidates("a:WWWWWWWW"), demand: demandFor(1, 2),
			want: []string{"large a-0 a-1 a-2 a-3", "small a-4 a-5", "small a-6 a-7"},
		},
		{
			name: "a domain without groups of the model is preferred", free: candidates("a:WWWW", "b:WW"), groups: existingGroups("small a:ww"), demand: demandFor(1, 2),
			want: []string{"large a-0 a-1 a-2 a-3", "small b-0 b-1"},
		},
		{
			name: "leftover upstreams form no group of a model with enough while the other has a deficit", free: candidates("a:WWW"),
			groups: existingGroups("small b:ww", "small c:ww"), demand: demandFor(1, 2), want: []string{},
		},
		{name: "the model with the larger deficit first", free: candidates("a:wwWWWW"), groups: existingGroups("small b:ww"), demand: demandFor(1, 4), want: []string{"large a-2 a-3 a-4 a-5", "small a-0 a-1"}},
		{
			name: "the model with the higher load first if both lack one group", free: candidates("a:WWWW"),
			groups: existingGroups("large b:WWWW", "large c:WWWW", "small d:ww", "small e:ww"), demand: demandFor(2.1, 2.9), want: []string{"small a-0 a-1"},
		},
		{name: "members that join soonest", free: candidates("a:llWWWW"), want: []string{"large a-2 a-3 a-4 a-5", "warm large a-0", "warm large a-1"}},
		{name: "no group across domains if one within a domain is possible", free: candidates("a:WWW", "b:W"), demand: demandFor(2, 0.1), want: []string{"small a-0 a-1"}},
		{
			name: "a group across domains if none within a domain is possible", free: candidates("a:WWW", "b:W"), groups: existingGroups("small c:ww"), demand: demandFor(2, 0.1),
			want: []string{"large across domains a-0 a-1 a-2 b-0"},
		},
		{name: "too few free upstreams", free: candidates("a:WWW"), groups: existingGroups("small c:ww"), demand: demandFor(2, 0.1), want: []string{}},
		{
			name: "no group across domains if few groups are missing", free: candidates("a:WWW", "b:W"), groups: existingGroups("large c:WWWW", "large d:WWWW", "small d:ww"),
			demand: demandFor(3, 0.1), want: []string{},
		},
		{name: "no group across domains while the demand is unknown", free: candidates("a:WWW", "b:W"), groups: existingGroups("small b:ww"), want: []string{}},
		{
			name: "a group of a model with too many is closed for a model with a deficit", free: candidates("a:WWW"),
			groups: existingGroups("small a:ww", "small b:ww"), demand: demandFor(2, 1), want: []string{"close g0 for a"},
		},
		{
			name: "no group is closed if its model needs it more", free: candidates("a:WWW"),
			groups: existingGroups("small a:ww", "small b:ww", "large b:WWWW"), demand: demandFor(1.5, 2), want: []string{},
		},
		{
			name: "a group is closed for a model that needs it more", free: candidates("a:WWW"),
			groups: existingGroups("small a:ww", "small b:ww", "small c:ww", "large b:WWWW"), demand: demandFor(2, 3), want: []string{"close g0 for a"},
		},
		{
			name: "no group is closed while others of its model are still forming", free: candidates("a:WW"),
			groups: existingGroups("small a:ww", "small b:ww", "forming small c:ww", "large b:WWWW"), demand: demandFor(2, 3), want: []string{},
		},
		{
			name: "a large group is closed for two small ones", groups: existingGroups("large a:WWWW", "large b:WWWW", "small c:ww"), demand: demandFor(0.9, 2.9),
			want: []string{"close g0 for a (2)"},
		},
		{
			name: "no further group is closed when two are expected", groups: existingGroups("large b:WWWW", "large d:WWWW", "small c:ww"), demand: demandFor(1.5, 2.9),
			expected: map[ident.Domain]replicaset.ExpectedGroups{"a": {Model: "small", Count: 2}}, want: []string{},
		},
		{
			name: "no group is closed if the members would not suffice", free: candidates("a:W"),
			groups: existingGroups("small a:ww", "small b:ww"), demand: demandFor(1, 1), want: []string{},
		},
		{
			name: "a group across domains is closed for one within a domain", free: candidates("a:WW"),
			groups: existingGroups("large a:WW b:WW", "small c:ww"), demand: demandFor(1, 1), want: []string{"close g0 for a"},
		},
		{
			name: "groups are closed in a second domain while those of another one are closing", free: candidates("b:WW"), expected: map[ident.Domain]replicaset.ExpectedGroups{"a": {Model: "large", Count: 1}},
			groups: existingGroups("small b:ww", "small c:ww"), demand: demandFor(2, 1), want: []string{"close g0 for b"},
		},
		{
			name: "no group is closed if the expected groups suffice", free: candidates("b:WW"), expected: map[ident.Domain]replicaset.ExpectedGroups{"a": {Model: "large", Count: 1}},
			groups: existingGroups("small b:ww", "small c:ww"), demand: demandFor(1, 1), want: []string{},
		},
		{
			name: "no further group is closed in a domain with expected groups", free: candidates("a:WWW"), expected: map[ident.Domain]replicaset.ExpectedGroups{"a": {Model: "large", Count: 1}},
			groups: existingGroups("small a:ww", "small b:ww"), demand: demandFor(2, 1), want: []string{},
		},
		{name: "weights for the upstream that completes a group", free: candidates("a:WWW*"), groups: existingGroups("small b:ww"), loads: 9, want: []string{"stage large a-3"}},
		{name: "no load budget", free: candidates("a:WWW*"), groups: existingGroups("small a:ww", "large b:WWWW"), demand: demandFor(1, 1), want: []string{"small a-0 a-1"}},
		{name: "no group that would have to load weights", free: candidates("a:****"), loads: 3, want: []string{"stage small a-0", "stage small a-1", "stage small a-2"}},
		{
			name: "an additional model if the domain does not need the one on the host, spares first", free: candidates("a:L"),
			groups: existingGroups("large a:LLLL", "small a:Sw"), loads: 9, demand: demandFor(1, 1),
			want: []string{"stage small a-0", "stage small g0-0", "stage large g1-0"},
		},
		{
			name: "no additional model if the one on the host is needed after a restart", groups: existingGroups("large a:LLLL", "small a:SS"), loads: 9, demand: demandFor(1, 1),
			want: []string{},
		},
		{
			name: "an additional model for all upstreams of a domain without room for both, whatever a restart needs", free: candidates("a:L"),
			groups: existingGroups("large a:LLLL", "small b:SS"), loads: 9, demand: demandFor(1, 1),
			want: []string{"stage small a-0", "stage small g0-0", "stage small g0-1", "stage small g0-2", "stage small g0-3"},
		},
		{name: "groups and warm-ups that load weights before the first request", free: candidates("a:********"), beforeFirstRequest: true, loads: 8, want: []string{"large a-0 a-1 a-2 a-3", "small a-4 a-5", "warm large a-6", "warm small a-7"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &replicaset.PlanInput{Engine: engineConfig(), Free: c.free, Groups: c.groups, Expected: c.expected, Demand: c.demand, Usable: 48, LoadBudget: c.loads, BeforeFirstRequest: c.beforeFirstRequest}
			d := replicaset.Plan(s)
			if diff := cmp.Diff(c.want, decisionText(&d)); diff != "" {
				t.Errorf("decision (-want +got):\n%s", diff)
			}
		})
	}
}

// Upstreams with the weights in use or on their host form groups for any configured time to load weights from the host.
func TestPlanWithQuickWeights(t *testing.T) {
	for _, c := range []struct {
		name   string
		free   []replicaset.Candidate
		groups []replicaset.ExistingGroup
		want   []string
	}{
		{"in use", candidates("a:LLLLSS"), nil, []string{"large a-0 a-1 a-2 a-3", "small a-4 a-5"}},
		{"on the host", candidates("a:llll"), existingGroups("small b:ww"), []string{"large a-0 a-1 a-2 a-3"}},
		{"across domains", candidates("a:LLL", "b:L"), existingGroups("small c:ww"), []string{"large across domains a-0 a-1 a-2 b-0"}},
		{"for a group to replace another", candidates("a:LLL"), existingGroups("small a:Ww", "small b:ww"), []string{"close g0 for a"}},
		{"no weights", candidates("a:****"), existingGroups("small b:ww"), []string{}},
	} {
		for _, warm := range []time.Duration{0, 100 * time.Millisecond, time.Minute} {
			engine := engineConfig()
			for i := range engine.Models {
				engine.Models[i].WarmLoadTime = warm
			}
			d := replicaset.Plan(&replicaset.PlanInput{Engine: engine, Free: c.free, Groups: c.groups, Demand: demandFor(1, 1), Usable: 48})
			if diff := cmp.Diff(c.want, decisionText(&d)); diff != "" {
				t.Errorf("weights: %s, load time from the host %v (-want +got):\n%s", c.name, warm, diff)
			}
		}
	}
}

// Former heads of groups of another model still get requests for that model, and heads that stalled may not answer, so both are avoided as
// heads.
func TestChoiceOfHead(t *testing.T) {
	free := candidates("a:wwwwwwww")
	free[0].StalledAsHead = true
	free[1].LastHeadedModel = "large"
	free[2].LastHeadedModel = "small"
	for _, c := range []struct {
		name string
		free []replicaset.Candidate
		want ident.Incarnation
	}{
		{"an upstream that was no head", free[:4], "a-2"},
		{"the former head of another model rather than one that stalled", free[:2], "a-1"},
	} {
		d := replicaset.Plan(&replicaset.PlanInput{Engine: engineConfig(), Free: c.free, Groups: existingGroups("large b:WWWW"), Usable: 48, Demand: demandFor(0.5, 1)})
		if len(d.Groups) == 0 || d.Groups[0].Members[0] != c.want {
			t.Errorf("%s: %v, want %s as head", c.name, decisionText(&d), c.want)
		}
	}
}

func TestTargetGroups(t *testing.T) {
	for _, c := range []struct {
		name  string
		total int
		want  map[ident.Model]int
	}{
		{"declared shares", 48, map[ident.Model]int{"large": 8, "small": 8}},
		{"too few upstreams for a group", 1, map[ident.Model]int{}},
		{"few upstreams", 6, map[ident.Model]int{"large": 1, "small": 1}},
	} {
		got := replicaset.TargetGroups(&replicaset.PlanInput{Engine: engineConfig(), Usable: c.total})
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

func TestRequiredGroups(t *testing.T) {
	for _, c := range []struct {
		name   string
		demand map[ident.Model]float64
		want   map[ident.Model]int
	}{
		{"unknown demand", nil, map[ident.Model]int{}},
		{"demand of a whole number of groups", demandFor(5, 7), map[ident.Model]int{"large": 5, "small": 7}},
		{"a little more demand", demandFor(5.1, 7.1), map[ident.Model]int{"large": 6, "small": 8}},
		{"one group of a model without demand", demandFor(0, 3), map[ident.Model]int{"large": 1, "small": 3}},
	} {
		got := replicaset.RequiredGroups(&replicaset.PlanInput{Engine: engineConfig(), Usable: 48, Demand: c.demand})
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// localGroups counts the serving large groups within one domain.
func (f *fleet) localGroups() int {
	return f.countGroups("large", func(head, member *engine) bool { return member.domain == head.domain })
}

// countGroups counts the serving groups of a model for which accept is true for all members.
func (f *fleet) countGroups(model ident.Model, accept func(head, member *engine) bool) int {
	n := 0
	for _, e := range f.engines {
		if !e.alive || e.model != model || e.member.State != roster.MemberOpen || !f.complete(e) {
			continue
		}
		allAccepted := true
		for _, id := range e.members {
			allAccepted = allAccepted && accept(e, f.byID[id])
		}
		if allAccepted {
			n++
		}
	}
	return n
}

// After most groups are lost, the remaining upstreams of two domains serve together; their group is replaced once one domain has enough again.
func TestCrossDomainGroupMovesBack(t *testing.T) {
	f := newFleet(t, 11, 4, 8)
	f.run(12*time.Second, nil)
	f.demand = demandFor(4, 2)
	f.run(2*time.Second, nil)
	for _, domain := range []ident.Domain{"domain-0", "domain-1"} {
		remaining := 8
		for _, e := range f.engines {
			if e.domain == domain && remaining > 3 {
				f.kill(e)
				remaining--
			}
		}
	}
	f.run(4*time.Second, nil)
	if got := f.serving()["large"]; got < 3 || f.localGroups() != 2 {
		t.Errorf("%d large groups serve, %d of them within a domain, want at least 3, and 2", got, f.localGroups())
	}
	for range 3 {
		e := f.add("domain-0", "hall-0", "")
		e.stagedModel = "large"
	}
	f.run(5*time.Second, nil)
	if got := f.localGroups(); got != 3 {
		t.Errorf("%d large groups serve within a domain, want 3", got)
	}
	if len(f.violations) > 0 {
		t.Error(f.violations)
	}
}

// A model whose demand grows by several groups gets them from several domains at the same time.
func TestDomainsRebalanceConcurrently(t *testing.T) {
	f := newFleet(t, 13, 12, 8)
	f.run(12*time.Second, nil)
	f.demand = demandFor(12, 12)
	f.run(60*time.Second, nil)
	f.demand = demandFor(18, 6)
	f.run(3600*time.Millisecond, nil)
	if got := f.serving(); got["large"] != 18 || got["small"] != 6 {
		t.Errorf("%d large and %d small groups serve, want 18 and 6", got["large"], got["small"])
	}
	if len(f.violations) > 0 {
		t.Error(f.violations)
	}
}

// fastGroups counts the serving groups of a model without a slow member.
func (f *fleet) fastGroups(model ident.Model) int {
	return f.countGroups(model, func(_, member *engine) bool { return member.slowdown <= 1 })
}

// Groups with a slow member are replaced if the other upstreams suffice. If all upstreams are slow, groups are formed from slow ones.
func TestSlowUpstreams(t *testing.T) {
	f := newFleet(t, 15, 6, 8)
	f.run(12*time.Second, nil)
	f.demand = demandFor(6, 6)
	f.run(40*time.Second, nil)
	for i, e := range f.engines {
		if i%8 == 1 {
			e.slowdown = 6
		}
	}
	f.run(4*time.Second, nil)
	if large, small := f.fastGroups("large"), f.fastGroups("small"); large < 6 || small < 6 {
		t.Errorf("%d large and %d small groups without slow members serve, want 6 and 6", large, small)
	}
	for _, g := range f.roster.Groups() {
		if g.Slow {
			t.Errorf("group %s is still slow", g.Name)
		}
	}
	f.decisions = 0
	f.run(10*time.Second, nil)
	if f.decisions > 0 {
		t.Errorf("%d decisions while nothing changes", f.decisions)
	}
	for _, e := range f.engines {
		e.slowdown = 6
	}
	f.kill(f.headOf("large"))
	f.run(5*time.Second, nil)
	if got := f.serving(); got["large"] < 5 || got["small"] < 6 {
		t.Errorf("%v groups serve when all upstreams are slow, want at least 5 large and 6 small ones", got)
	}
	if len(f.violations) > 0 {
		t.Error(f.violations)
	}
}
