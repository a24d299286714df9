package planner_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/planner"
)

// newState writes a fleet in few words: "d1: a b c" puts VMs a, b and c into domain d1; "a*0.5" gives a half the speed.
func newState(t *testing.T, domains ...string) *fleet.State {
	t.Helper()
	s := fleet.NewState()
	for _, d := range domains {
		name, list, _ := strings.Cut(d, ": ")
		for _, field := range strings.Fields(list) {
			vm, speed, _ := strings.Cut(field, "*")
			v := &fleet.VM{Name: ident.VM(vm), Hall: "h", Domain: ident.Domain(name), Accelerators: 8, Speed: 1, Labels: map[string]string{"d": name}}
			if speed != "" {
				if _, err := fmt.Sscan(speed, &v.Speed); err != nil {
					t.Fatal(err)
				}
			}
			s.VMs[v.Name] = v
		}
	}
	return s
}

func declare(s *fleet.State, name ident.Group, size int) *fleet.Group {
	g := &fleet.Group{Spec: fleet.GroupSpec{Name: name, Model: "m", Size: size}}
	s.Groups[name] = g
	return g
}

// serve declares a group that is serving with members.
func serve(s *fleet.State, name ident.Group, members string) *fleet.Group {
	names := strings.Fields(members)
	g := declare(s, name, len(names))
	g.Epoch, g.Phase = ident.Epoch(len(s.Groups)), fleet.GroupServing
	for _, n := range names {
		v := s.VMs[ident.VM(n)]
		v.Group, v.Epoch, v.Phase = name, g.Epoch, fleet.VMJoined
		g.Members = append(g.Members, v.Name)
	}
	return g
}

func describe(actions []planner.Action) []string {
	list := []string{}
	for _, a := range actions {
		verb := map[planner.ActionKind]string{planner.ActionAssign: "assign", planner.ActionDrain: "drain", planner.ActionBreak: "break"}[a.Kind]
		text := verb + " " + string(a.Group)
		for _, m := range a.Members {
			text += " " + string(m)
		}
		list = append(list, text)
	}
	return list
}

func TestPlan(t *testing.T) {
	lose := func(w *planner.Snapshot, names string) {
		for _, n := range strings.Fields(names) {
			w.VM(ident.VM(n)).Condition = planner.ConditionLost
		}
	}
	for _, c := range []struct {
		name    string
		domains []string
		declare func(s *fleet.State)
		see     func(w *planner.Snapshot)
		policy  func(p *planner.Policy)
		want    []string
	}{
		{name: "nothing declared", domains: []string{"d1: a b"}, want: []string{}},
		{
			name: "the domain that is filled to the brim", domains: []string{"d1: a b c", "d2: e f"},
			declare: func(s *fleet.State) { declare(s, "g", 2) }, want: []string{"assign g e f"},
		},
		{
			name: "one domain before the lowest names", domains: []string{"d1: a", "d2: b c"},
			declare: func(s *fleet.State) { declare(s, "g", 2) }, want: []string{"assign g b c"},
		},
		{
			name: "across domains when no single one is enough", domains: []string{"d1: a", "d2: b"},
			declare: func(s *fleet.State) { declare(s, "g", 2) }, want: []string{"assign g a b"},
		},
		{
			name: "never across domains when that is declared", domains: []string{"d1: a", "d2: b"},
			declare: func(s *fleet.State) { declare(s, "g", 2).Spec.OneDomain = true }, want: []string{},
		},
		{
			name: "the same age together", domains: []string{"d1: a b*0.5 c d*0.5"},
			declare: func(s *fleet.State) { declare(s, "g", 2); declare(s, "h", 2) }, want: []string{"assign g a c", "assign h b d"},
		},
		{
			name: "an important group first", domains: []string{"d1: a b"},
			declare: func(s *fleet.State) { declare(s, "a", 2).Spec.Priority = 1; declare(s, "b", 2) }, want: []string{"assign b a b"},
		},
		{
			name: "a spare of the same domain", domains: []string{"d1: a b c", "d2: x y"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") }, see: func(w *planner.Snapshot) { lose(w, "b") },
			want: []string{"assign g a c"},
		},
		{
			name: "a spare of another domain when there is none", domains: []string{"d1: a b", "d2: x y"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") }, see: func(w *planner.Snapshot) { lose(w, "b") },
			want: []string{"assign g a x"},
		},
		{
			name: "a spare that does not slow the group", domains: []string{"d1: a b c*0.5 d"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") }, see: func(w *planner.Snapshot) { lose(w, "b") },
			want: []string{"assign g a d"},
		},
		{
			name: "no spare: the loss is remembered", domains: []string{"d1: a b"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") }, see: func(w *planner.Snapshot) { lose(w, "b") },
			want: []string{"break g"},
		},
		{
			name: "no spare and remembered: wait", domains: []string{"d1: a b"},
			declare: func(s *fleet.State) { serve(s, "g", "a b").Phase = fleet.GroupBroken }, see: func(w *planner.Snapshot) { lose(w, "b") },
			want: []string{},
		},
		{
			name: "the lost member of a broken group is back: a new epoch", domains: []string{"d1: a b"},
			declare: func(s *fleet.State) { serve(s, "g", "a b").Phase = fleet.GroupBroken }, want: []string{"assign g a b"},
		},
		{
			name: "a member started anew: a new epoch with the same members", domains: []string{"d1: a b c"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") },
			see:     func(w *planner.Snapshot) { w.VM("b").Condition = planner.ConditionRestarted }, want: []string{"assign g a b"},
		},
		{
			name: "silence alone moves nothing", domains: []string{"d1: a b c"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") },
			see: func(w *planner.Snapshot) {
				w.VM("a").Condition, w.VM("b").Condition = planner.ConditionSuspect, planner.ConditionUnknown
			},
			want: []string{},
		},
		{
			name: "a dark domain: only its own groups move", domains: []string{"d1: a b", "d2: c d", "d3: e f"},
			declare: func(s *fleet.State) { serve(s, "g", "a b"); serve(s, "h", "c d") }, see: func(w *planner.Snapshot) { lose(w, "a b") },
			want: []string{"assign g e f"},
		},
		{
			name: "a dark domain without room elsewhere", domains: []string{"d1: a b", "d2: c d"},
			declare: func(s *fleet.State) { serve(s, "g", "a b"); serve(s, "h", "c d") }, see: func(w *planner.Snapshot) { lose(w, "a b") },
			want: []string{"break g"},
		},
		{
			name: "the second loss right after a repair", domains: []string{"d1: a b c d"},
			declare: func(s *fleet.State) {
				g := serve(s, "g", "a c")
				g.Phase = fleet.GroupForming
				s.VMs["c"].Phase = fleet.VMJoining
			},
			see: func(w *planner.Snapshot) { lose(w, "b c") }, want: []string{"assign g a d"},
		},
		{
			name: "a VM that flaps is left out while it is not steady", domains: []string{"d1: a b c d"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") },
			see: func(w *planner.Snapshot) {
				lose(w, "b")
				w.VM("c").Flaps = 3
			},
			want: []string{"assign g a d"},
		},
		{
			name: "a VM that flapped and has been steady since", domains: []string{"d1: a b c"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") },
			see: func(w *planner.Snapshot) {
				lose(w, "b")
				w.VM("c").Flaps, w.VM("c").StableFor = 3, time.Minute
			},
			want: []string{"assign g a c"},
		},
		{
			name: "a VM that was never lost before one that was", domains: []string{"d1: a b c d"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") },
			see: func(w *planner.Snapshot) {
				lose(w, "b")
				w.VM("c").Flaps, w.VM("c").StableFor = 1, time.Hour
			},
			want: []string{"assign g a d"},
		},
		{
			name: "a VM that leaves another group is not free", domains: []string{"d1: a b c"},
			declare: func(s *fleet.State) {
				serve(s, "g", "a b")
				s.VMs["c"].Phase, s.VMs["c"].Group = fleet.VMLeaving, "old"
			},
			see: func(w *planner.Snapshot) { lose(w, "b") }, want: []string{"break g"},
		},
		{
			name: "two broken groups for long: one is completed by the other", domains: []string{"d1: a b c d"},
			declare: func(s *fleet.State) {
				serve(s, "g", "a b").Phase = fleet.GroupBroken
				serve(s, "h", "c d").Phase = fleet.GroupBroken
			},
			see: func(w *planner.Snapshot) {
				lose(w, "b d")
				w.Group("g").DownFor, w.Group("h").DownFor = time.Hour, time.Hour
			},
			want: []string{"assign h"},
		},
		{
			name: "two broken groups for a moment: both wait, it may be a pause", domains: []string{"d1: a b c d"},
			declare: func(s *fleet.State) {
				serve(s, "g", "a b").Phase = fleet.GroupBroken
				serve(s, "h", "c d").Phase = fleet.GroupBroken
			},
			see: func(w *planner.Snapshot) { lose(w, "b d") }, want: []string{},
		},
		{
			name: "a split group moves home when one domain can hold it", domains: []string{"d1: a x", "d2: b c"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") }, want: []string{"drain g"},
		},
		{
			name: "not when the reload costs more than it gains", domains: []string{"d1: a x", "d2: b c"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") }, policy: func(p *planner.Policy) { p.PaybackPeriod = time.Minute }, want: []string{},
		},
		{
			name: "not when downtime weighs far more than waste", domains: []string{"d1: a x", "d2: b c"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") }, policy: func(p *planner.Policy) { p.DowntimeWeight = 20 }, want: []string{},
		},
		{
			name: "drained and able to move: into the domain that keeps more members", domains: []string{"d1: a", "d2: b c d"},
			declare: func(s *fleet.State) { serve(s, "g", "a b c").Phase = fleet.GroupDraining },
			see:     func(w *planner.Snapshot) { w.Group("g").Drained = true }, want: []string{"assign g b c d"},
		},
		{
			name: "draining: wait for requests in progress", domains: []string{"d1: a b"},
			declare: func(s *fleet.State) { serve(s, "g", "a b").Phase = fleet.GroupDraining }, want: []string{},
		},
		{
			name: "draining and a member dies: nothing is left to wait for", domains: []string{"d1: a b c"},
			declare: func(s *fleet.State) { serve(s, "g", "a b").Phase = fleet.GroupDraining }, see: func(w *planner.Snapshot) { lose(w, "b") },
			want: []string{"assign g a c"},
		},
		{
			name: "another version: drain, then load it where it is", domains: []string{"d1: a b"},
			declare: func(s *fleet.State) { serve(s, "g", "a b").Reform = true }, want: []string{"drain g"},
		},
		{
			name: "a member is no longer wanted: drain first", domains: []string{"d1: a b c"},
			declare: func(s *fleet.State) {
				serve(s, "g", "a b").Reform = true
				s.VMs["b"].Drained = true
			},
			want: []string{"drain g"},
		},
		{
			name: "a member that leaves has requests in progress", domains: []string{"d1: a b c"},
			declare: func(s *fleet.State) {
				g := serve(s, "g", "a b")
				g.Phase, g.Reform = fleet.GroupDraining, true
				s.VMs["b"].Listing = fleet.ListingLeaving
			},
			want: []string{},
		},
		{
			name: "a member that leaves has none any more", domains: []string{"d1: a b c"},
			declare: func(s *fleet.State) {
				g := serve(s, "g", "a b")
				g.Phase, g.Reform = fleet.GroupDraining, true
				s.VMs["b"].Listing = fleet.ListingLeaving
			},
			see: func(w *planner.Snapshot) { w.Group("g").Drained = true }, want: []string{"assign g a c"},
		},
		{
			name: "deleted while it serves requests", domains: []string{"d1: a b"},
			declare: func(s *fleet.State) {
				g := serve(s, "g", "a b")
				g.Phase, g.Deleted = fleet.GroupDraining, true
			},
			want: []string{},
		},
		{
			name: "deleted and drained", domains: []string{"d1: a b"},
			declare: func(s *fleet.State) {
				g := serve(s, "g", "a b")
				g.Phase, g.Deleted = fleet.GroupDraining, true
			},
			see: func(w *planner.Snapshot) { w.Group("g").Drained = true }, want: []string{"assign g"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newState(t, c.domains...)
			if c.declare != nil {
				c.declare(s)
			}
			w := planner.NewSnapshot(s)
			if c.see != nil {
				c.see(w)
			}
			p := planner.DefaultPolicy()
			if c.policy != nil {
				c.policy(&p)
			}
			got := planner.Plan(w, p)
			if diff := cmp.Diff(c.want, describe(got)); diff != "" {
				t.Errorf("actions (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(got, planner.Plan(w, p)); diff != "" {
				t.Errorf("the same input gave another plan:\n%s", diff)
			}
		})
	}
}

func TestExplainMatchesPlan(t *testing.T) {
	s := newState(t, "d1: a b c d e", "d2: f")
	g := serve(s, "g", "a b")
	g.Spec.Selector = []fleet.Requirement{{Label: "d", Values: []string{"d1"}}}
	serve(s, "h", "c")
	s.VMs["d"].Drained = true
	w := planner.NewSnapshot(s)
	w.VM("b").Condition = planner.ConditionLost
	w.VM("e").Condition = planner.ConditionSuspect
	e, ok := planner.Explain(w, planner.DefaultPolicy(), "g")
	if !ok {
		t.Fatal("no such group")
	}
	got := map[ident.VM]string{}
	for _, c := range e.Candidates {
		got[c.VM] = c.Reason
	}
	want := map[ident.VM]string{
		"a": "member, joined, present",
		"b": "member, joined, lost",
		"c": "held by a group: h in epoch 2",
		"d": "drained by an operator",
		"e": "absent: suspect for 0s",
		"f": `label d is "d2", wanted d=d1`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("reasons (-want +got):\n%s", diff)
	}
	if e.Wanted != 2 || e.Kept != 1 || e.Fitting != 0 {
		t.Errorf("wants %d, keeps %d, %d fit", e.Wanted, e.Kept, e.Fitting)
	}
}
