package replicaset_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/replicaset"
)

func TestExplain(t *testing.T) {
	for _, c := range []struct {
		name   string
		free   []replicaset.Candidate
		groups []replicaset.ExistingGroup
		demand map[ident.Model]float64
		// want is the report of the large model: groups, load, domain capacities and the reason.
		want string
	}{
		{"enough groups", candidates("a:W"), existingGroups("large b:WWWW", "small b:ww"), demandFor(1, 1), "1.0 of 1, load 0.94, [{a 1 0 0 0 0 0} {b 0 0 0 0 2 6}]: has the groups it needs"},
		{"about to form a group", candidates("a:WWWW"), existingGroups("small b:ww"), demandFor(1, 1), "0.0 of 1, load 0.00, [{a 4 0 0 0 0 0} {b 0 0 0 0 2 2}]: domain a has enough members for a group, which is formed unless another model has a greater need"},
		{
			"free members in several domains", candidates("a:WWW", "b:W"), existingGroups("large c:WWWW", "large d:WWWW", "small d:ww"), demandFor(3, 0.1),
			"2.0 of 3, load 1.41, [{a 3 0 0 0 0 0} {b 1 0 0 0 0 0} {c 0 0 0 0 0 4} {d 0 0 0 0 2 6}]: no domain has 4 free upstreams with the weights; a group across domains is formed when 40% of the groups are missing",
		},
		{"free upstreams without weights", candidates("a:WW**"), existingGroups("small b:ww"), demandFor(1, 1), "0.0 of 1, load 0.00, [{a 2 0 2 0 0 0} {b 0 0 0 0 2 2}]: of 4 free upstreams, 2 have the weights and 0 are loading them"},
		{"too few free upstreams", candidates("a:WW"), existingGroups("small b:ww"), demandFor(1, 1), "0.0 of 1, load 0.00, [{a 2 0 0 0 0 0} {b 0 0 0 0 2 2}]: only 2 upstreams are free"},
		{"slow upstreams", slowed(candidates("a:WWWW"), 2), existingGroups("small b:ww"), demandFor(1, 1), "0.0 of 1, load 0.00, [{a 2 0 0 2 0 0} {b 0 0 0 0 2 2}]: only 2 upstreams are free, not counting 2 slow ones"},
		{"groups are closed for it", candidates("a:WWW"), existingGroups("small a:ww", "small b:ww"), demandFor(2, 1), "0.0 of 2, load 0.00, [{a 3 0 0 0 2 2} {b 0 0 0 0 2 2}]: groups are closed to free the members of a better one"},
	} {
		o := replicaset.Explain(&replicaset.PlanInput{Engine: engineConfig(), Free: c.free, Groups: c.groups, Demand: c.demand, Usable: 48})[0]
		got := fmt.Sprintf("%.1f of %.0f, load %.2f, %v: %s", o.Serving, o.Wanted, o.Load, o.Rooms, o.Why)
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// slowed sets the slowdown of the first n upstreams of a list to six.
func slowed(list []replicaset.Candidate, n int) []replicaset.Candidate {
	for i := range n {
		list[i].Slowdown = 6
	}
	return list
}

// Each state of an upstream has a description of its own.
func TestDescribeUpstream(t *testing.T) {
	f := newFleet(t, 9, 2, 8)
	f.run(20*time.Second, nil)
	f.demand = demandFor(2, 2)
	free := f.spare()
	if got := f.formation.DescribeUpstream(free.id); got != "free, with the weights of large and small" && got != "free, with the weights of small and large" {
		t.Errorf("spare: %s", got)
	}
	head := f.headOf("large")
	if got, want := f.formation.DescribeUpstream(head.members[1]), fmt.Sprintf("member 2 of 4 of %s, which is open", head.member.Group); got != want {
		t.Errorf("member: %s, want %s", got, want)
	}
	free.draining, free.reportDue = true, true
	added := f.add("domain-0", "hall-0", "")
	f.run(tick, nil)
	if got := f.formation.DescribeUpstream(free.id); got != "shutting down" {
		t.Errorf("upstream that is shutting down: %s", got)
	}
	f.run(100*time.Millisecond, nil)
	if got := f.formation.DescribeUpstream(added.id); got != "free, loading the weights of large" && got != "free, loading the weights of small" {
		t.Errorf("new upstream: %s", got)
	}
	f.kill(added)
	f.run(4*time.Second, nil)
	if got := f.formation.DescribeUpstream(added.id); got != "silent" && got != "accepts no connections" {
		t.Errorf("dead upstream: %s", got)
	}
	if got := f.formation.DescribeUpstream("nobody"); got != "unknown" {
		t.Errorf("unknown upstream: %s", got)
	}
}

// A leader drops ended groups after a while, so its memory does not grow with their number.
func TestEndedGroupsAreForgotten(t *testing.T) {
	f := newFleet(t, 9, 2, 8)
	f.run(20*time.Second, nil)
	f.demand = demandFor(2, 2)
	for range 6 {
		f.kill(f.headOf("large"))
		f.run(10*time.Second, nil)
	}
	if f.formation.EndedGroupCount() == 0 {
		t.Fatal("no group has ended")
	}
	f.run(3*time.Minute, nil)
	if got := f.formation.EndedGroupCount(); got != 0 {
		t.Errorf("%d ended groups are kept three minutes after the last one ended", got)
	}
}
