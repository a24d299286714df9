package replicaset_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/replicaset"
)

// scarceGroups returns settled groups of 16 and of 4, spread over the domains b to f, and those of domain a as given.
func scarceGroups(inA []string, large, small int) []replicaset.ExistingGroup {
	list := slices.Clone(inA)
	for i := range large {
		list = append(list, "large "+string(rune('b'+i%5))+":"+strings.Repeat("W", 16))
	}
	for i := range small {
		list = append(list, "small "+string(rune('b'+i%5))+":wwww")
	}
	return existingGroups(list...)
}

// smallIn returns n groups of four in domain a.
func smallIn(n int) []string { return slices.Repeat([]string{"small a:wwww"}, n) }

func changes(d *replicaset.Decision) []string {
	list := []string{}
	for i := range d.Groups {
		crossDomain := ""
		if d.Groups[i].CrossDomain {
			crossDomain = " across domains"
		}
		list = append(list, string(d.Groups[i].Model)+crossDomain)
	}
	for i := range d.Close {
		list = append(list, fmt.Sprintf("close %s for %s", d.Close[i].Group, d.Close[i].Expected.Model))
	}
	return list
}

// Each case names what is planned with the setting off and on.
func TestPlanWithSpares(t *testing.T) {
	uneven := scarceConfig()
	uneven.Models[0].Size = 8
	unevenGroups := existingGroups(slices.Concat(
		slices.Repeat([]string{"large a:WWWWWWWW"}, 9), slices.Repeat([]string{"small a:wwww"}, 18))...)
	for _, c := range []struct {
		name    string
		engine  *httproute.Engine
		free    []replicaset.Candidate
		ending  []replicaset.Candidate
		groups  []replicaset.ExistingGroup
		demand  map[ident.Model]float64
		off, on []string
	}{
		{
			name: "members that remain of a large group are used for it together with the spares", engine: scarceConfig(), free: candidates("a:" + strings.Repeat("W", 16)),
			groups: scarceGroups(smallIn(5), 5, 25), demand: demandOf(scarceConfig(), 5, 22), off: []string{"small", "small", "small"}, on: []string{"large"},
		},
		{
			name: "a small group is closed for a large one that lacks a member", engine: scarceConfig(), free: candidates("a:" + strings.Repeat("W", 15)),
			groups: scarceGroups(smallIn(5), 5, 25), demand: demandOf(scarceConfig(), 5, 22), off: []string{"small", "small", "small"}, on: []string{"close g0 for large"},
		},
		{
			name: "no group of a model that would have too few is closed for a lost group", engine: scarceConfig(), free: candidates("a:" + strings.Repeat("W", 15)),
			groups: scarceGroups(smallIn(5), 5, 17), demand: demandOf(scarceConfig(), 5, 22), off: []string{"small", "small", "small"}, on: []string{"small", "small", "small"},
		},
		{
			name: "the remaining members are used for a model that lacks groups", engine: scarceConfig(), free: candidates("a:" + strings.Repeat("W", 16)),
			groups: scarceGroups(smallIn(5), 5, 16), demand: demandOf(scarceConfig(), 5, 22), off: []string{"small", "small", "small"}, on: []string{"small", "small", "small"},
		},
		{
			name: "the remaining members wait for those that have not left yet", engine: scarceConfig(), free: candidates("a:" + strings.Repeat("W", 8)), ending: candidates("a:xxxxxxxx" + strings.Repeat("W", 8)),
			groups: scarceGroups(smallIn(5), 5, 25), demand: demandOf(scarceConfig(), 5, 22), off: []string{"small"}, on: []string{},
		},
		{
			name: "no exchange while both models are short and it takes most of the gain", engine: uneven,
			groups: unevenGroups, demand: demandOf(uneven, 12, 18.5), off: []string{"close g9 for large", "close g10 for large"}, on: []string{},
		},
		{
			name: "an exchange for a model that is much shorter", engine: uneven,
			groups: unevenGroups, demand: demandOf(uneven, 17, 18.5), off: []string{"close g9 for large", "close g10 for large"}, on: []string{"close g9 for large", "close g10 for large"},
		},
		{
			name: "exchanges in several domains at once", engine: engineConfig(),
			groups: existingGroups("small a:ww", "small a:ww", "small b:ww", "small b:ww", "small c:ww", "small d:ww", "large e:WWWW"), demand: demandFor(3, 2),
			off: []string{"close g0 for large", "close g1 for large"},
			on:  []string{"close g0 for large", "close g1 for large", "close g2 for large", "close g3 for large"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, spares := range []bool{false, true} {
				want, input := c.off, &replicaset.PlanInput{Engine: c.engine, Free: c.free, Groups: c.groups, Demand: c.demand, Usable: 222, Spares: spares}
				if spares {
					want, input.Ending = c.on, c.ending
				}
				d := replicaset.Plan(input)
				if diff := cmp.Diff(want, changes(&d)); diff != "" {
					t.Errorf("spares %v (-want +got):\n%s", spares, diff)
				}
			}
		})
	}
}

// The decision log must say why a group is closed.
func TestReasonsWithSpares(t *testing.T) {
	plan := func(free string, groups []replicaset.ExistingGroup, large float64) replicaset.Decision {
		return replicaset.Plan(&replicaset.PlanInput{
			Engine: scarceConfig(), Free: candidates(free), Groups: groups, Demand: demandOf(scarceConfig(), large, 22), Usable: 222, Spares: true,
		})
	}
	lent := plan("a:"+strings.Repeat("W", 15), scarceGroups(smallIn(5), 5, 25), 5)
	want := "members are taken from small for large in domain a, which had 15: load of large from 0.94 to 0.78 within 3.1 s, of small then 0.71"
	if diff := cmp.Diff(want, lent.Close[0].Reason); diff != "" {
		t.Errorf("exchange (-want +got):\n%s", diff)
	}
}

// drawInput draws the input of a plan: some domains with groups and free upstreams, and any demand.
func drawInput(t *rapid.T) *replicaset.PlanInput {
	input := &replicaset.PlanInput{
		Engine: engineConfig(), Usable: 100, Spares: true, LoadBudget: rapid.IntRange(0, 6).Draw(t, "loads"),
		Demand: demandFor(rapid.Float64Range(0, 12).Draw(t, "large"), rapid.Float64Range(0, 20).Draw(t, "small")),
	}
	marks := rapid.SampledFrom([]rune("LSWwls*"))
	draw := func(domain string, size int) string {
		return domain + ":" + string(rapid.SliceOfN(marks, size, size).Draw(t, "marks"))
	}
	var groups []string
	for d := range rapid.IntRange(1, 4).Draw(t, "domains") {
		domain := string(rune('a' + d))
		input.Free = append(input.Free, candidates(draw(domain, rapid.IntRange(0, 8).Draw(t, "free")))...)
		ending := candidates(draw("ending-"+domain, rapid.IntRange(0, 4).Draw(t, "ending")))
		for i := range ending {
			ending[i].Domain = ident.Domain(domain)
		}
		input.Ending = append(input.Ending, ending...)
		for range rapid.IntRange(0, 4).Draw(t, "groups") {
			forming := rapid.SampledFrom([]string{"", "", "", "forming "}).Draw(t, "phase")
			if rapid.Bool().Draw(t, "large group") {
				groups = append(groups, forming+"large "+draw(domain, 4))
			} else {
				groups = append(groups, forming+"small "+draw(domain, 2))
			}
		}
	}
	input.Groups = existingGroups(groups...)
	return input
}

// No plan uses an upstream twice, closes a group twice or changes its input.
func TestPlanProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := drawInput(t)
		before := *input
		before.Free, before.Groups = slices.Clone(input.Free), slices.Clone(input.Groups)
		d := replicaset.Plan(input)
		if diff := cmp.Diff(&before, input); diff != "" {
			t.Fatalf("input was changed (-want +got):\n%s", diff)
		}
		used := map[ident.Incarnation]bool{}
		for i := range d.Groups {
			for _, id := range d.Groups[i].Members {
				free := slices.ContainsFunc(input.Free, func(c replicaset.Candidate) bool { return c.ID == id })
				if used[id] || !free {
					t.Fatalf("%s is used twice, or not free", id)
				}
				used[id] = true
			}
		}
		for _, l := range slices.Concat(d.WarmUp, d.Stage) {
			if used[l.ID] {
				t.Fatalf("%s loads %s and does something else", l.ID, l.Model)
			}
			used[l.ID] = true
		}
		checkEndings(t, &d)
	})
}

func checkEndings(t *rapid.T, d *replicaset.Decision) {
	ended := map[ident.Group]bool{}
	for _, c := range d.Close {
		if ended[c.Group] {
			t.Fatalf("%s is closed twice", c.Group)
		}
		ended[c.Group] = true
	}
}
