package replicaset_test

import (
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/replicaset"
	"github.com/dunlinquay/dunlinquay/roster"
)

// openIn counts the open groups of a model whose heads are in a hall.
func (f *fleet) openIn(hall ident.Hall) int {
	n := 0
	for _, g := range f.roster.Groups() {
		if u, ok := f.roster.Upstream(g.Head()); ok && u.Hall == hall && g.Phase == roster.PhaseOpen {
			n++
		}
	}
	return n
}

// While a hall is drained nothing is formed there; its groups go on, so they serve at once when it is taken back, and other halls make up for
// them as far as they have room.
func TestDrainedHall(t *testing.T) {
	f := newFleet(t, 1, 6, 8)
	f.demand = map[ident.Model]float64{"large": 20, "small": 10}
	f.run(20*time.Second, nil)
	const hall = "hall-0"
	before := f.openIn(hall)
	if before == 0 {
		t.Fatal("nothing serves in the hall: the test shows nothing")
	}
	f.drained = map[ident.Hall]bool{hall: true}
	otherHalls := f.openIn("hall-1") + f.openIn("hall-2")
	f.run(10*time.Second, nil)
	if got := f.openIn("hall-1") + f.openIn("hall-2"); got < otherHalls {
		t.Errorf("%d groups elsewhere, %d before", got, otherHalls)
	}
	if got := f.openIn(hall); got != before {
		t.Errorf("%d groups in the drained hall, %d before", got, before)
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
	f.drained = nil
	f.run(10*time.Second, nil)
	if got := f.openIn(hall); got < before {
		t.Errorf("%d groups in the hall once it is taken back, want %d", got, before)
	}
	if len(f.violations) > 0 {
		t.Error(f.violations)
	}
}

// A head that takes few requests yet is avoided where another member can be the head.
func TestColdHeadIsAvoided(t *testing.T) {
	free := candidates("a:WWWW")
	free[0].Cold, free[1].Cold = true, true
	d := replicaset.Plan(&replicaset.PlanInput{Engine: engineConfig(), Free: free, Usable: len(free), LoadBudget: 9})
	if len(d.Groups) != 1 || d.Groups[0].Members[0] != "a-2" {
		t.Errorf("decided %+v", d.Groups)
	}
}
