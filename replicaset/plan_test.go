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

// candidates reads "d0:LS*s" as four upstreams of domain d0: those whose last group was large or small and that have nothing
// else, one with nothing (*), one with small staged (s); W and w are those of L and S that have the other model staged too.
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
		far := ""
		if g.CrossDomain {
			far = " far"
		}
		list = append(list, string(g.Model)+far+" "+strings.Join(ids, " "))
	}
	for _, c := range d.Close {
		end := "close " + string(c.Group) + " for " + string(c.Domain)
		if c.Expected.Count > 1 {
			end += fmt.Sprintf(" (%d)", c.Expected.Count)
		}
		list = append(list, end)
	}
	for _, s := range d.Stage {
		list = append(list, "stage "+string(s.Model)+" "+string(s.ID))
	}
	for _, w := range d.WarmUp {
		list = append(list, "warm "+string(w.Model)+" "+string(w.ID))
	}
	return list
}

// existingGroups reads "large a:WWWW" as a settled group of large in domain a, "forming large a:WWWW" as one that does not serve yet;
// its name is its place in the list.
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

// demandFor is the demand that so many groups of each model carry at the load that is planned for.
func demandFor(large, small float64) map[ident.Model]float64 {
	return map[ident.Model]float64{"large": large * 4 * 0.94, "small": small * 2 * 0.94}
}

func TestPlan(t *testing.T) {
	for _, c := range []struct {
		name   string
		free   []replicaset.Candidate
		groups []replicaset.ExistingGroup
		coming map[ident.Domain]replicaset.ExpectedGroups
		demand map[ident.Model]float64
		loads  int
		early  bool
		want   []string
	}{
		{name: "nothing free", loads: 9, want: []string{}},
		{name: "a whole domain that has the weights", free: candidates("a:WWWW"), want: []string{"large a-0 a-1 a-2 a-3"}},
		{name: "a spare stays", free: candidates("a:WWWWWWWW"), want: []string{"large a-0 a-1 a-2 a-3", "small a-4 a-5"}},
		{
			name: "no spare stays where groups lack", free: candidates("a:WWWWWWWW"), demand: demandFor(1, 2),
			want: []string{"large a-0 a-1 a-2 a-3", "small a-4 a-5", "small a-6 a-7"},
		},
		{
			name: "the free ones of another domain than the last", free: candidates("a:WWWW", "b:WW"), groups: existingGroups("small a:ww"), demand: demandFor(1, 2),
			want: []string{"large a-0 a-1 a-2 a-3", "small b-0 b-1"},
		},
		{
			name: "what is left serves no model that has enough while the other lacks", free: candidates("a:WWW"),
			groups: existingGroups("small b:ww", "small c:ww"), demand: demandFor(1, 2), want: []string{},
		},
		{name: "the needy model first", free: candidates("a:wwWWWW"), groups: existingGroups("small b:ww"), demand: demandFor(1, 4), want: []string{"large a-2 a-3 a-4 a-5", "small a-0 a-1"}},
		{
			name: "the model with the higher load first where both lack one group", free: candidates("a:WWWW"),
			groups: existingGroups("large b:WWWW", "large c:WWWW", "small d:ww", "small e:ww"), demand: demandFor(2.1, 2.9), want: []string{"small a-0 a-1"},
		},
		{name: "those who join soonest", free: candidates("a:llWWWW"), want: []string{"large a-2 a-3 a-4 a-5", "warm large a-0", "warm large a-1"}},
		{name: "across domains where most groups lack", free: candidates("a:WWW", "b:W"), demand: demandFor(2, 0.1), want: []string{"small a-0 a-1"}},
		{
			name: "across domains where no whole one is possible", free: candidates("a:WWW", "b:W"), groups: existingGroups("small c:ww"), demand: demandFor(2, 0.1),
			want: []string{"large far a-0 a-1 a-2 b-0"},
		},
		{name: "too few", free: candidates("a:WWW"), groups: existingGroups("small c:ww"), demand: demandFor(2, 0.1), want: []string{}},
		{
			name: "not across domains when a few lack", free: candidates("a:WWW", "b:W"), groups: existingGroups("large c:WWWW", "large d:WWWW", "small d:ww"),
			demand: demandFor(3, 0.1), want: []string{},
		},
		{name: "not across domains while demand is unknown", free: candidates("a:WWW", "b:W"), groups: existingGroups("small b:ww"), want: []string{}},
		{
			name: "a group of a model with too many ends for one that lacks", free: candidates("a:WWW"),
			groups: existingGroups("small a:ww", "small b:ww"), demand: demandFor(2, 1), want: []string{"close g0 for a"},
		},
		{
			name: "no group ends where the other model needs it more", free: candidates("a:WWW"),
			groups: existingGroups("small a:ww", "small b:ww", "large b:WWWW"), demand: demandFor(1.5, 2), want: []string{},
		},
		{
			name: "a group ends for one of a model that lacks it more", free: candidates("a:WWW"),
			groups: existingGroups("small a:ww", "small b:ww", "small c:ww", "large b:WWWW"), demand: demandFor(2, 3), want: []string{"close g0 for a"},
		},
		{
			name: "no group ends while others of its model still form", free: candidates("a:WW"),
			groups: existingGroups("small a:ww", "small b:ww", "forming small c:ww", "large b:WWWW"), demand: demandFor(2, 3), want: []string{},
		},
		{
			name: "a large group ends for two small ones", groups: existingGroups("large a:WWWW", "large b:WWWW", "small c:ww"), demand: demandFor(0.9, 2.9),
			want: []string{"close g0 for a (2)"},
		},
		{
			name: "no further group ends when two come", groups: existingGroups("large b:WWWW", "large d:WWWW", "small c:ww"), demand: demandFor(1.5, 2.9),
			coming: map[ident.Domain]replicaset.ExpectedGroups{"a": {Model: "small", Count: 2}}, want: []string{},
		},
		{
			name: "no group ends in vain", free: candidates("a:W"),
			groups: existingGroups("small a:ww", "small b:ww"), demand: demandFor(1, 1), want: []string{},
		},
		{
			name: "a group across domains ends for a whole one", free: candidates("a:WW"),
			groups: existingGroups("large a:WW b:WW", "small c:ww"), demand: demandFor(1, 1), want: []string{"close g0 for a"},
		},
		{
			name: "groups end in a second domain while those of another one do", free: candidates("b:WW"), coming: map[ident.Domain]replicaset.ExpectedGroups{"a": {Model: "large", Count: 1}},
			groups: existingGroups("small b:ww", "small c:ww"), demand: demandFor(2, 1), want: []string{"close g0 for b"},
		},
		{
			name: "no group ends when what comes suffices", free: candidates("b:WW"), coming: map[ident.Domain]replicaset.ExpectedGroups{"a": {Model: "large", Count: 1}},
			groups: existingGroups("small b:ww", "small c:ww"), demand: demandFor(1, 1), want: []string{},
		},
		{
			name: "no further group ends in a domain that makes room", free: candidates("a:WWW"), coming: map[ident.Domain]replicaset.ExpectedGroups{"a": {Model: "large", Count: 1}},
			groups: existingGroups("small a:ww", "small b:ww"), demand: demandFor(2, 1), want: []string{},
		},
		{name: "weights for the one that completes a group", free: candidates("a:WWW*"), groups: existingGroups("small b:ww"), loads: 9, want: []string{"stage large a-3"}},
		{name: "no loads left", free: candidates("a:WWW*"), groups: existingGroups("small a:ww", "large b:WWWW"), demand: demandFor(1, 1), want: []string{"small a-0 a-1"}},
		{name: "no group that has to load", free: candidates("a:****"), loads: 3, want: []string{"stage small a-0", "stage small a-1", "stage small a-2"}},
		{
			name: "a further model where the domain can spare the one on the host, spares first", free: candidates("a:L"),
			groups: existingGroups("large a:LLLL", "small a:Sw"), loads: 9, demand: demandFor(1, 1),
			want: []string{"stage small a-0", "stage small g0-0", "stage large g1-0"},
		},
		{
			name: "no further model where the host's is needed after a restart", groups: existingGroups("large a:LLLL", "small a:SS"), loads: 9, demand: demandFor(1, 1),
			want: []string{},
		},
		{name: "all at once before the first request", free: candidates("a:********"), early: true, loads: 8, want: []string{"large a-0 a-1 a-2 a-3", "small a-4 a-5", "warm large a-6", "warm small a-7"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &replicaset.PlanInput{Engine: engineConfig(), Free: c.free, Groups: c.groups, Expected: c.coming, Demand: c.demand, Usable: 48, LoadBudget: c.loads, BeforeFirstRequest: c.early}
			d := replicaset.Plan(s)
			if diff := cmp.Diff(c.want, decisionText(&d)); diff != "" {
				t.Errorf("decision (-want +got):\n%s", diff)
			}
		})
	}
}

// Upstreams that have the weights form groups however quickly an engine says that it takes them from its host.
func TestPlanWithQuickWeights(t *testing.T) {
	for _, c := range []struct {
		name   string
		free   []replicaset.Candidate
		groups []replicaset.ExistingGroup
		want   []string
	}{
		{"in use", candidates("a:LLLLSS"), nil, []string{"large a-0 a-1 a-2 a-3", "small a-4 a-5"}},
		{"on the host", candidates("a:llll"), existingGroups("small b:ww"), []string{"large a-0 a-1 a-2 a-3"}},
		{"across domains", candidates("a:LLL", "b:L"), existingGroups("small c:ww"), []string{"large far a-0 a-1 a-2 b-0"}},
		{"for a group that ends", candidates("a:LLL"), existingGroups("small a:Ww", "small b:ww"), []string{"close g0 for a"}},
		{"no weights", candidates("a:****"), existingGroups("small b:ww"), []string{}},
	} {
		for _, warm := range []time.Duration{0, 100 * time.Millisecond, time.Minute} {
			engine := engineConfig()
			for i := range engine.Models {
				engine.Models[i].Warm = warm
			}
			d := replicaset.Plan(&replicaset.PlanInput{Engine: engine, Free: c.free, Groups: c.groups, Demand: demandFor(1, 1), Usable: 48})
			if diff := cmp.Diff(c.want, decisionText(&d)); diff != "" {
				t.Errorf("weights %s, %v from the host (-want +got):\n%s", c.name, warm, diff)
			}
		}
	}
}

// Who headed a group of another model gets late requests for that one, and who stood still gets none done: they are the
// last choice for a head.
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
		{"a new one", free[:4], "a-2"},
		{"one that headed another model rather than one that stood still", free[:2], "a-1"},
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
		{"shares", 48, map[ident.Model]int{"large": 8, "small": 8}},
		{"too few for one", 1, map[ident.Model]int{}},
		{"a few", 6, map[ident.Model]int{"large": 1, "small": 1}},
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
		{"unknown", nil, map[ident.Model]int{}},
		{"as much as so many groups carry", demandFor(5, 7), map[ident.Model]int{"large": 5, "small": 7}},
		{"a little more", demandFor(5.1, 7.1), map[ident.Model]int{"large": 6, "small": 8}},
		{"one group of a model that nobody asks for", demandFor(0, 3), map[ident.Model]int{"large": 1, "small": 3}},
	} {
		got := replicaset.RequiredGroups(&replicaset.PlanInput{Engine: engineConfig(), Usable: 48, Demand: c.demand})
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// localGroups counts the large groups that serve within one domain.
func (f *fleet) localGroups() int {
	return f.countGroups("large", func(head, member *engine) bool { return member.domain == head.domain })
}

// countGroups counts the groups of a model that serve and all of whose members fit.
func (f *fleet) countGroups(model ident.Model, accept func(head, member *engine) bool) int {
	n := 0
	for _, e := range f.engines {
		if !e.alive || e.model != model || e.member.State != roster.MemberOpen || !f.complete(e) {
			continue
		}
		all := true
		for _, id := range e.members {
			all = all && accept(e, f.byID[id])
		}
		if all {
			n++
		}
	}
	return n
}

// What is left of two domains serves together where most groups are lost, and goes home when a domain has enough again.
func TestCrossDomainGroupMovesBack(t *testing.T) {
	f := newFleet(t, 11, 4, 8)
	f.run(12*time.Second, nil)
	f.demand = demandFor(4, 2)
	f.run(2*time.Second, nil)
	for _, domain := range []ident.Domain{"domain-0", "domain-1"} {
		left := 8
		for _, e := range f.engines {
			if e.domain == domain && left > 3 {
				f.kill(e)
				left--
			}
		}
	}
	f.run(4*time.Second, nil)
	if got := f.serving()["large"]; got < 3 || f.localGroups() != 2 {
		t.Errorf("%d large groups serve, %d of them within a domain, want 3 or more and 2", got, f.localGroups())
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

// A model whose demand grows by several groups gets them at once, not one domain after the other.
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

// fastGroups counts the groups of a model that serve without a slow member.
func (f *fleet) fastGroups(model ident.Model) int {
	return f.countGroups(model, func(_, member *engine) bool { return member.slowdown <= 1 })
}

// Groups with a slow member are formed again of the others where these suffice; a model is served by slow ones rather than not
// at all.
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
		t.Errorf("%v groups serve when all are slow, want 5 large and 6 small ones", got)
	}
	if len(f.violations) > 0 {
		t.Error(f.violations)
	}
}
