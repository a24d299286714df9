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

// candidates reads "d0:LLL*s" as four upstreams of domain d0: three whose last group was large, one with nothing (*), one
// with small staged (s); capital letters are last groups, small ones staged weights.
func candidates(domains ...string) []replicaset.Candidate {
	var list []replicaset.Candidate
	for _, d := range domains {
		name, marks, _ := strings.Cut(d, ":")
		for i, mark := range marks {
			c := replicaset.Candidate{
				ID: ident.Incarnation(fmt.Sprintf("%s-%d", name, i)), Domain: ident.Domain(name), Hall: "h", FreeFor: time.Minute,
			}
			switch mark {
			case 'L':
				c.Last, c.Staged = "large", []ident.Model{"large"}
			case 'S':
				c.Last, c.Staged = "small", []ident.Model{"small"}
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

func text(d *replicaset.Decision) []string {
	list := []string{}
	for i := range d.Groups {
		g := &d.Groups[i]
		ids := []string{}
		for _, id := range g.Members {
			ids = append(ids, string(id))
		}
		sort.Strings(ids)
		far := ""
		if g.Far {
			far = " far"
		}
		list = append(list, string(g.Model)+far+" "+strings.Join(ids, " "))
	}
	for _, s := range d.Stage {
		list = append(list, "stage "+string(s.Model)+" "+string(s.ID))
	}
	return list
}

func TestPlan(t *testing.T) {
	for _, c := range []struct {
		name   string
		free   []replicaset.Candidate
		groups map[ident.Model]int
		loads  int
		want   []string
	}{
		{"nothing free", nil, nil, 9, []string{}},
		{"a whole domain that has the weights", candidates("a:LLLL"), nil, 9, []string{"large a-0 a-1 a-2 a-3"}},
		{"the needy model first", candidates("a:SSLLLL"), map[ident.Model]int{"large": 6, "small": 2}, 9, []string{"small a-0 a-1", "large a-2 a-3 a-4 a-5"}},
		{"those who join soonest", candidates("a:llLLLL"), nil, 0, []string{"large a-2 a-3 a-4 a-5"}},
		{"leftovers of two domains", candidates("a:LLL", "b:L"), nil, 0, []string{"large far a-0 a-1 a-2 b-0"}},
		{"leftovers too few", candidates("a:LLL"), nil, 0, []string{}},
		{"no group across domains when there are enough", candidates("a:LLL", "b:L"), map[ident.Model]int{"large": 9}, 0, []string{}},
		{"weights for the one that completes a group", candidates("a:LLL*"), nil, 9, []string{"stage large a-3"}},
		{"no loads left", candidates("a:LLL*"), nil, 0, []string{}},
		{"no group that has to load", candidates("a:****"), nil, 3, []string{"stage small a-0", "stage small a-1", "stage small a-2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &replicaset.Situation{Engine: models(), Free: c.free, Groups: c.groups, Total: 48, Loads: c.loads}
			d := replicaset.Plan(s)
			if diff := cmp.Diff(c.want, text(&d)); diff != "" {
				t.Errorf("decision (-want +got):\n%s", diff)
			}
		})
	}
}

func TestTargets(t *testing.T) {
	for _, c := range []struct {
		name   string
		total  int
		demand map[ident.Model]float64
		want   map[ident.Model]int
	}{
		{"shares", 48, nil, map[ident.Model]int{"large": 8, "small": 8}},
		{"too few for one", 1, nil, map[ident.Model]int{}},
		{"a few", 6, nil, map[ident.Model]int{"large": 1, "small": 1}},
		{"demand moves the shares", 48, map[ident.Model]float64{"large": 1, "small": 9}, map[ident.Model]int{"large": 4, "small": 16}},
	} {
		got := replicaset.Targets(&replicaset.Situation{Engine: models(), Total: c.total, Demand: c.demand})
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// near counts the large groups that serve within one domain.
func (f *fleet) near() int {
	n := 0
	for _, e := range f.engines {
		if !e.alive || e.model != "large" || e.member.State != roster.MemberOpen || !f.whole(e) {
			continue
		}
		same := true
		for _, id := range e.members {
			same = same && f.byID[id].domain == e.domain
		}
		if same {
			n++
		}
	}
	return n
}

// Survivors that were put together across domains go back when a domain has enough of them, whatever groups they are in.
func TestSurvivorsComeHome(t *testing.T) {
	f := newFleet(t, 11, 6, 8)
	f.run(20*time.Second, nil)
	heads := map[ident.Domain][]*engine{}
	for _, e := range f.engines {
		if e.model == "large" && e.member.State == roster.MemberOpen {
			heads[e.domain] = append(heads[e.domain], e)
		}
	}
	var domains []ident.Domain
	for d, list := range heads {
		if len(list) == 2 {
			domains = append(domains, d)
		}
	}
	sort.Slice(domains, func(i, j int) bool { return domains[i] < domains[j] })
	// One group of each of three domains loses a member; then each other group of them does.
	for round := range 2 {
		for _, d := range domains[:3] {
			f.kill(f.byID[heads[d][round].members[1]])
			f.run(2*time.Second, nil)
		}
	}
	f.run(6*time.Second, nil)
	if got := f.near(); got < 5 {
		t.Errorf("%d large groups serve within a domain, want the 2 that were not struck and one in each of 3 domains", got)
	}
	if len(f.faults) > 0 {
		t.Error(f.faults)
	}
}
