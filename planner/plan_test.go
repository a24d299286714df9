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

// newState parses a fleet: "d1: a b c" puts VMs a, b and c into domain d1; "a*0.5" halves the speed of a.
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

// declare adds a pending group.
func declare(s *fleet.State, name ident.Group, size int) *fleet.Group {
	g := &fleet.Group{Spec: fleet.GroupSpec{Name: name, Model: "m", Size: size}}
	s.Groups[name] = g
	return g
}

// serve adds a serving group with the given members.
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
			name: "the domain with the fewest VMs left over", domains: []string{"d1: a b c", "d2: e f"},
			declare: func(s *fleet.State) { declare(s, "g", 2) }, want: []string{"assign g e f"},
		},
		{
			name: "one domain rather than the first names", domains: []string{"d1: a", "d2: b c"},
			declare: func(s *fleet.State) { declare(s, "g", 2) }, want: []string{"assign g b c"},
		},
		{
			name: "across domains if no single domain is enough", domains: []string{"d1: a", "d2: b"},
			declare: func(s *fleet.State) { declare(s, "g", 2) }, want: []string{"assign g a b"},
		},
		{
			name: "never across domains if one-domain is declared", domains: []string{"d1: a", "d2: b"},
			declare: func(s *fleet.State) { declare(s, "g", 2).Spec.OneDomain = true }, want: []string{},
		},
		{
			name: "VMs of the same speed in one group", domains: []string{"d1: a b*0.5 c d*0.5"},
			declare: func(s *fleet.State) { declare(s, "g", 2); declare(s, "h", 2) }, want: []string{"assign g a c", "assign h b d"},
		},
		{
			name: "a group of higher priority first", domains: []string{"d1: a b"},
			declare: func(s *fleet.State) { declare(s, "a", 2).Spec.Priority = 1; declare(s, "b", 2) }, want: []string{"assign b a b"},
		},
		{
			name: "a spare of the same domain", domains: []string{"d1: a b c", "d2: x y"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") }, see: func(w *planner.Snapshot) { lose(w, "b") },
			want: []string{"assign g a c"},
		},
		{
			name: "a spare of another domain if the own domain has none", domains: []string{"d1: a b", "d2: x y"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") }, see: func(w *planner.Snapshot) { lose(w, "b") },
			want: []string{"assign g a x"},
		},
		{
			name: "a spare that does not slow down the group", domains: []string{"d1: a b c*0.5 d"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") }, see: func(w *planner.Snapshot) { lose(w, "b") },
			want: []string{"assign g a d"},
		},
		{
			name: "no spare: the loss is recorded", domains: []string{"d1: a b"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") }, see: func(w *planner.Snapshot) { lose(w, "b") },
			want: []string{"break g"},
		},
		{
			name: "no spare and the loss is recorded: wait", domains: []string{"d1: a b"},
			declare: func(s *fleet.State) { serve(s, "g", "a b").Phase = fleet.GroupBroken }, see: func(w *planner.Snapshot) { lose(w, "b") },
			want: []string{},
		},
		{
			name: "the lost member of a broken group has returned: a new epoch", domains: []string{"d1: a b"},
			declare: func(s *fleet.State) { serve(s, "g", "a b").Phase = fleet.GroupBroken }, want: []string{"assign g a b"},
		},
		{
			name: "a member restarted: a new epoch with the same members", domains: []string{"d1: a b c"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") },
			see:     func(w *planner.Snapshot) { w.VM("b").Condition = planner.ConditionRestarted }, want: []string{"assign g a b"},
		},
		{
			name: "suspect and unknown members are kept", domains: []string{"d1: a b c"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") },
			see: func(w *planner.Snapshot) {
				w.VM("a").Condition, w.VM("b").Condition = planner.ConditionSuspect, planner.ConditionUnknown
			},
			want: []string{},
		},
		{
			name: "a failed domain: only its own groups move", domains: []string{"d1: a b", "d2: c d", "d3: e f"},
			declare: func(s *fleet.State) { serve(s, "g", "a b"); serve(s, "h", "c d") }, see: func(w *planner.Snapshot) { lose(w, "a b") },
			want: []string{"assign g e f"},
		},
		{
			name: "a failed domain without free VMs elsewhere", domains: []string{"d1: a b", "d2: c d"},
			declare: func(s *fleet.State) { serve(s, "g", "a b"); serve(s, "h", "c d") }, see: func(w *planner.Snapshot) { lose(w, "a b") },
			want: []string{"break g"},
		},
		{
			name: "a second loss right after a repair", domains: []string{"d1: a b c d"},
			declare: func(s *fleet.State) {
				g := serve(s, "g", "a c")
				g.Phase = fleet.GroupForming
				s.VMs["c"].Phase = fleet.VMJoining
			},
			see: func(w *planner.Snapshot) { lose(w, "b c") }, want: []string{"assign g a d"},
		},
		{
			name: "a flapping VM is not used until it has been present for long enough", domains: []string{"d1: a b c d"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") },
			see: func(w *planner.Snapshot) {
				lose(w, "b")
				w.VM("c").Flaps = 3
			},
			want: []string{"assign g a d"},
		},
		{
			name: "a VM that flapped and has been present for long enough since", domains: []string{"d1: a b c"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") },
			see: func(w *planner.Snapshot) {
				lose(w, "b")
				w.VM("c").Flaps, w.VM("c").StableFor = 3, time.Minute
			},
			want: []string{"assign g a c"},
		},
		{
			name: "a VM that was never lost is preferred to one that was", domains: []string{"d1: a b c d"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") },
			see: func(w *planner.Snapshot) {
				lose(w, "b")
				w.VM("c").Flaps, w.VM("c").StableFor = 1, time.Hour
			},
			want: []string{"assign g a d"},
		},
		{
			name: "a VM that is leaving another group is not free", domains: []string{"d1: a b c"},
			declare: func(s *fleet.State) {
				serve(s, "g", "a b")
				s.VMs["c"].Phase, s.VMs["c"].Group = fleet.VMLeaving, "old"
			},
			see: func(w *planner.Snapshot) { lose(w, "b") }, want: []string{"break g"},
		},
		{
			name: "two groups broken for long: members of one complete the other", domains: []string{"d1: a b c d"},
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
			name: "two groups broken for a moment: both wait, since the VMs may only have paused", domains: []string{"d1: a b c d"},
			declare: func(s *fleet.State) {
				serve(s, "g", "a b").Phase = fleet.GroupBroken
				serve(s, "h", "c d").Phase = fleet.GroupBroken
			},
			see: func(w *planner.Snapshot) { lose(w, "b d") }, want: []string{},
		},
		{
			name: "a group across domains is moved if one domain can hold it", domains: []string{"d1: a x", "d2: b c"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") }, want: []string{"drain g"},
		},
		{
			name: "it is not moved if the reload costs more than it gains", domains: []string{"d1: a x", "d2: b c"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") }, policy: func(p *planner.Policy) { p.PaybackPeriod = time.Minute }, want: []string{},
		},
		{
			name: "it is not moved if downtime weighs far more than stranded accelerators", domains: []string{"d1: a x", "d2: b c"},
			declare: func(s *fleet.State) { serve(s, "g", "a b") }, policy: func(p *planner.Policy) { p.DowntimeWeight = 20 }, want: []string{},
		},
		{
			name: "a drained group is moved into the domain with more of its members", domains: []string{"d1: a", "d2: b c d"},
			declare: func(s *fleet.State) { serve(s, "g", "a b c").Phase = fleet.GroupDraining },
			see:     func(w *planner.Snapshot) { w.Group("g").Drained = true }, want: []string{"assign g b c d"},
		},
		{
			name: "draining: wait for requests in progress", domains: []string{"d1: a b"},
			declare: func(s *fleet.State) { serve(s, "g", "a b").Phase = fleet.GroupDraining }, want: []string{},
		},
		{
			name: "draining and a member is lost: no requests to wait for", domains: []string{"d1: a b c"},
			declare: func(s *fleet.State) { serve(s, "g", "a b").Phase = fleet.GroupDraining }, see: func(w *planner.Snapshot) { lose(w, "b") },
			want: []string{"assign g a c"},
		},
		{
			name: "another version of the model: drain before the reload", domains: []string{"d1: a b"},
			declare: func(s *fleet.State) { serve(s, "g", "a b").NeedsReform = true }, want: []string{"drain g"},
		},
		{
			name: "a member was drained by an operator: drain the group first", domains: []string{"d1: a b c"},
			declare: func(s *fleet.State) {
				serve(s, "g", "a b").NeedsReform = true
				s.VMs["b"].Drained = true
			},
			want: []string{"drain g"},
		},
		{
			name: "a member that is leaving has requests in progress", domains: []string{"d1: a b c"},
			declare: func(s *fleet.State) {
				g := serve(s, "g", "a b")
				g.Phase, g.NeedsReform = fleet.GroupDraining, true
				s.VMs["b"].Listing = fleet.ListingLeaving
			},
			want: []string{},
		},
		{
			name: "a member that is leaving has no requests left", domains: []string{"d1: a b c"},
			declare: func(s *fleet.State) {
				g := serve(s, "g", "a b")
				g.Phase, g.NeedsReform = fleet.GroupDraining, true
				s.VMs["b"].Listing = fleet.ListingLeaving
			},
			see: func(w *planner.Snapshot) { w.Group("g").Drained = true }, want: []string{"assign g a c"},
		},
		{
			name: "deleted with requests in progress", domains: []string{"d1: a b"},
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
				t.Errorf("the same input gave another plan (-first +second):\n%s", diff)
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
		t.Fatal("group g not found")
	}
	got := map[ident.VM]string{}
	for _, c := range e.Candidates {
		got[c.VM] = c.Reason
	}
	want := map[ident.VM]string{
		"a": "member, joined, present",
		"b": "member, joined, lost",
		"c": "in another group: h in epoch 2",
		"d": "drained by an operator",
		"e": "absent: suspect for 0s",
		"f": `label d is "d2", wanted d=d1`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("reasons (-want +got):\n%s", diff)
	}
	if e.Wanted != 2 || e.Kept != 1 || e.Fitting != 0 {
		t.Errorf("wanted %d, kept %d, fitting %d; want 2, 1, 0", e.Wanted, e.Kept, e.Fitting)
	}
}
