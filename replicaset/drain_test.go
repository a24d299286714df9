package replicaset_test

import (
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/replicaset"
	"github.com/dunlinquay/dunlinquay/roster"
)

// openIn counts the open groups whose heads are in a hall.
func (f *fleet) openIn(hall ident.Hall) int {
	n := 0
	for _, g := range f.roster.Groups() {
		if u, ok := f.roster.Upstream(g.Head()); ok && u.Hall == hall && g.Phase == roster.PhaseOpen {
			n++
		}
	}
	return n
}

// In a drained hall no groups are formed. Its existing groups stay, so that they can serve at once when the drain ends, and other halls form
// additional groups as far as their capacity allows.
func TestDrainedHall(t *testing.T) {
	f := newFleet(t, 1, 6, 8)
	f.demand = map[ident.Model]float64{"large": 20, "small": 10}
	f.run(20*time.Second, nil)
	const hall = "hall-0"
	before := f.openIn(hall)
	if before == 0 {
		t.Fatal("no group is open in the hall, so the test would check nothing")
	}
	f.drainedHalls = map[ident.Hall]bool{hall: true}
	otherHalls := f.openIn("hall-1") + f.openIn("hall-2")
	f.run(10*time.Second, nil)
	if got := f.openIn("hall-1") + f.openIn("hall-2"); got < otherHalls {
		t.Errorf("%d groups in other halls, %d before the drain", got, otherHalls)
	}
	if got := f.openIn(hall); got != before {
		t.Errorf("%d groups in the drained hall, %d before the drain", got, before)
	}
	for _, e := range f.engines {
		if e.hall == hall && e.member.State == roster.MemberOpen {
			f.kill(e)
			break
		}
	}
	f.run(5*time.Second, nil)
	if got := f.openIn(hall); got != before-1 {
		t.Errorf("%d groups in the drained hall after the loss of one, want %d", got, before-1)
	}
	f.drainedHalls = nil
	f.run(10*time.Second, nil)
	if got := f.openIn(hall); got < before {
		t.Errorf("%d groups in the hall after the drain, want %d", got, before)
	}
	if len(f.violations) > 0 {
		t.Error(f.violations)
	}
}

// A cold upstream is not made the head if another member can be.
func TestColdHeadIsAvoided(t *testing.T) {
	free := candidates("a:WWWW")
	free[0].Cold, free[1].Cold = true, true
	d := replicaset.Plan(&replicaset.PlanInput{Engine: engineConfig(), Free: free, Usable: len(free), LoadBudget: 9})
	if len(d.Groups) != 1 || d.Groups[0].Members[0] != "a-2" {
		t.Errorf("groups to form: %+v, want one with head a-2", d.Groups)
	}
}
