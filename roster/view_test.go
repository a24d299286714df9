package roster_test

import (
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

func isPlain(service ident.Service) bool { return service == "plain" }

// expectedView returns the upstreams and groups that a view of r should contain.
func expectedView(r *roster.Roster) (upstreams []ident.Incarnation, groups []ident.Group) {
	for _, g := range r.Groups() {
		if g.Phase == roster.PhaseOpen {
			groups = append(groups, g.Name)
			if _, ok := r.Upstream(g.Head()); ok {
				upstreams = append(upstreams, g.Head())
			}
		}
	}
	all, _ := r.Upstreams(start)
	for i := range all {
		if isPlain(all[i].Service) {
			upstreams = append(upstreams, all[i].ID)
		}
	}
	slices.Sort(upstreams)
	return slices.Compact(upstreams), groups
}

// After any sequence of changes, also after long periods without updates, a view holds the plain upstreams and the
// heads of open groups.
func TestViewHoldsPlainUpstreamsAndHeads(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	r := newRoster()
	v := roster.NewView(r)
	copied := roster.NewCopy()
	for i := range 30000 {
		randomChange(r, random, i)
		if random.IntN(40) != 0 && i%2500 != 0 || i > 2600 && i < 28000 {
			continue // the view is not updated for a while
		}
		v.Update(isPlain)
		d := v.Since(copied.Revision)
		copied.Apply(&d)
		wantUpstreams, wantGroups := expectedView(r)
		var upstreams []ident.Incarnation
		for id := range copied.Upstreams {
			upstreams = append(upstreams, id)
		}
		slices.Sort(upstreams)
		var groups []ident.Group
		for name, g := range copied.Groups {
			groups = append(groups, name)
			if len(g.Members) != 1 {
				t.Fatalf("group %s has %d members in the view, want 1", name, len(g.Members))
			}
		}
		sort.Slice(groups, func(i, j int) bool { return groups[i] < groups[j] })
		if diff := cmp.Diff(wantUpstreams, upstreams); diff != "" {
			t.Fatalf("upstreams after %d changes (-want +got):\n%s", i, diff)
		}
		if diff := cmp.Diff(wantGroups, groups); diff != "" {
			t.Fatalf("groups after %d changes (-want +got):\n%s", i, diff)
		}
	}
}

// randomChange makes one random change to a roster.
func randomChange(r *roster.Roster, random *rand.Rand, i int) {
	id := ident.Incarnation("u" + strconv.Itoa(random.IntN(30)))
	name := ident.Group("g" + strconv.Itoa(random.IntN(10)))
	switch random.IntN(4) {
	case 0, 1:
		report := newReport(id, string(id), uint64(i+1))
		report.Service = "plain"
		if id[1] != '1' {
			report.Service = "model"
		}
		report.Slots = random.IntN(3)
		r.ApplyReport(start.Add(time.Duration(i)*time.Millisecond), report)
	case 2:
		phase := []roster.Phase{roster.PhaseForming, roster.PhaseOpen, roster.PhaseOpen, roster.PhaseClosing}[random.IntN(4)]
		r.PutGroup(&roster.Group{Name: name, Service: "model", Phase: phase, Members: []ident.Incarnation{"u2" + ident.Incarnation(name[1:]), id}})
	case 3:
		r.DropGroup(name)
	}
}

// State changes of group members other than the head do not change the view.
func TestViewIgnoresMemberChanges(t *testing.T) {
	r := newRoster()
	v := roster.NewView(r)
	for _, id := range []ident.Incarnation{"a", "b"} {
		r.ApplyReport(start, newReport(id, string(id), 1))
	}
	r.PutGroup(&roster.Group{Name: "g", Service: "s", Phase: roster.PhaseOpen, Members: []ident.Incarnation{"a", "b"}})
	v.Update(isPlain)
	before, _ := v.Changed()
	member := newReport("b", "b", 2)
	member.Staged = []ident.Model{"m"}
	r.ApplyReport(start, member)
	r.PutGroup(&roster.Group{Name: "h", Service: "s", Phase: roster.PhaseForming, Members: []ident.Incarnation{"b"}})
	v.Update(isPlain)
	if after, _ := v.Changed(); after != before {
		t.Errorf("view has revision %d after member changes, want %d", after, before)
	}
}
