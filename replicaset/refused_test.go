package replicaset_test

// A member took a join of another group while the head of its own was open. Some upstreams could not be reached by control, but by entries,
// and connections to them from control were refused. The leader took that for the end of their processes, forgot their groups, and gave the
// other members to new ones:
//
//	27.832  group leaving   gjz6ry  stands still, and a member takes no connections
//	27.832  order answered  leave   to the head i-435a1019ce: unreached
//	27.832  group dropped   gjz6ry  the head has left: unreached
//	32.015  order answered  join    gjz6sd to i-6e8165d8cc: taken, known: gjz6ry member 9 ready, 0.176 s old; its head open, 9.968 s old; ended: over
//	33.741  order answered  join    gjz6sg to the head i-435a1019ce itself, which reports again: gjz6ry member 0 broken
//
// So a refused connection is no word of the process: what is between may refuse as well. Only an answer or a report of the head itself ends
// its group for certain; without one its members leave it themselves before they join elsewhere.

import (
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// cutOffRefusing lets control reach an upstream no more, which goes on; connections to it are refused.
func (f *fleet) cutOffRefusing(e *engine) {
	e.cutOff, e.refuses, e.probeFailsAt = true, true, f.now.Add(time.Duration(f.random.Int64N(int64(6*time.Second))))
}

// A head that refuses connections of control may serve on; its members leave it before they join elsewhere.
func TestHeadRefusesControlConnections(t *testing.T) {
	for name, inject := range map[string]func(f *fleet, head *engine){
		"a member is lost too": func(f *fleet, head *engine) {
			f.cutOffRefusing(head)
			f.kill(f.byID[head.members[2]])
		},
		"another member is cut off too and comes back": func(f *fleet, head *engine) {
			other := f.byID[head.members[1]]
			f.cutOffRefusing(head)
			f.cutOffRefusing(other)
			f.kill(f.byID[head.members[2]])
			f.run(2*time.Second, nil)
			other.cutOff = false
		},
		"it signs off": func(f *fleet, head *engine) {
			f.cutOffRefusing(head)
			head.signedOff = true
			f.roster.SignOff(f.now, head.id)
		},
		"a member leaves": func(f *fleet, head *engine) {
			f.cutOffRefusing(head)
			other := f.byID[head.members[1]]
			other.draining, other.reportDue = true, true
		},
		"a new leader": func(f *fleet, head *engine) {
			f.cutOffRefusing(head)
			f.kill(f.byID[head.members[2]])
			f.elect(f.copyRoster())
		},
		"it was ordered to open a moment ago": func(f *fleet, head *engine) {
			f.onOpen = func(e *engine) {
				f.cutOffRefusing(e)
				f.onOpen = nil
			}
			f.kill(f.byID[head.members[2]])
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				runRefused(t, seed, inject)
			}
		})
	}
}

// runRefused strikes a formed fleet and ends all cuts after a while.
func runRefused(t *testing.T, seed uint64, inject func(f *fleet, head *engine)) {
	t.Helper()
	f := newFleet(t, seed, 2, 8)
	f.run(12*time.Second, nil)
	f.demand = demandFor(2, 2)
	f.run(10*time.Second, nil)
	inject(f, f.headOf("large"))
	f.run(12*time.Second, nil)
	for _, e := range f.engines {
		e.cutOff = false
	}
	f.run(20*time.Second, nil)
	if len(f.violations) > 0 {
		t.Fatalf("seed %d: %v", seed, f.violations)
	}
	if got := f.serving(); got["large"] == 0 || got["small"] == 0 {
		t.Errorf("seed %d: %v groups serve long after", seed, got)
	}
}

// Random series of losses and of cuts behind which connections are refused, late and unreadable answers, delayed reports and new leaders.
func TestCutOffsWithRefusedConnections(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		f := newFleet(t, seed, 4, 8)
		f.lostFraction, f.unreadableFraction, f.maxReportDelay = 0.02, 0.03, 300*time.Millisecond
		f.run(12*time.Second, nil)
		f.demand = demandFor(float64(seed%3+2), float64(seed%5+3))
		copied := f.copyRoster()
		var cut []ident.Incarnation
		f.run(40*time.Second, func() {
			f.injectFault(&copied)
			if f.random.IntN(25) != 0 {
				return
			}
			list := f.living()
			e := list[f.random.IntN(len(list))]
			if f.random.IntN(2) == 0 {
				f.cutOffRefusing(e)
				cut = append(cut, e.id)
			} else if len(cut) > 0 {
				f.byID[cut[0]].cutOff = false
				cut = cut[1:]
			}
		})
		f.checkRecovery(seed)
	}
}
