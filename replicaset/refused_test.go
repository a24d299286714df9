package replicaset_test

// These tests guard against a member joining another group while the head of its own is open. Connections from control to a head were refused
// while entries still reached the head; the leader took the refusal for the end of the process, dropped the group, and ordered its members into
// new ones. A refused connection does not prove that a process has ended, since a device on the path may refuse it. Only an answer or a report
// of the head ends its group for certain; without one, the members must leave the group themselves before they join another one.

import (
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// cutOffRefusing cuts off a running upstream from control, with connections from control refused.
func (f *fleet) cutOffRefusing(e *engine) {
	e.cutOff, e.refuses, e.probeFailsAt = true, true, f.now.Add(time.Duration(f.random.Int64N(int64(6*time.Second))))
}

// A head to which connections from control are refused may still serve, so its members leave its group before they join another one.
func TestHeadRefusesControlConnections(t *testing.T) {
	for name, inject := range map[string]func(f *fleet, head *engine){
		"a member is lost as well": func(f *fleet, head *engine) {
			f.cutOffRefusing(head)
			f.kill(f.byID[head.members[2]])
		},
		"another member is cut off and becomes reachable again": func(f *fleet, head *engine) {
			other := f.byID[head.members[1]]
			f.cutOffRefusing(head)
			f.cutOffRefusing(other)
			f.kill(f.byID[head.members[2]])
			f.run(2*time.Second, nil)
			other.cutOff = false
		},
		"the head signs off": func(f *fleet, head *engine) {
			f.cutOffRefusing(head)
			head.signedOff = true
			f.roster.SignOff(f.now, head.id)
		},
		"a member shuts down": func(f *fleet, head *engine) {
			f.cutOffRefusing(head)
			other := f.byID[head.members[1]]
			other.draining, other.reportDue = true, true
		},
		"a new leader": func(f *fleet, head *engine) {
			f.cutOffRefusing(head)
			f.kill(f.byID[head.members[2]])
			f.elect(f.copyRoster())
		},
		"the head was ordered to open a moment ago": func(f *fleet, head *engine) {
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

// runRefused injects a fault into a fleet with formed groups, and makes all upstreams reachable again after a while.
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
		t.Errorf("seed %d: %v groups serve long after the fault ended", seed, got)
	}
}

// Random sequences of losses, cut-offs with refused connections, lost orders, unreadable answers, delayed reports and new leaders.
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
