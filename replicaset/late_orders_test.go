package replicaset_test

import (
	"slices"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/replicaset"
	"github.com/dunlinquay/dunlinquay/roster"
)

// An unanswered order may be executed many seconds later, before any report shows it. An upstream that such an order may make join an ended
// group again joins no other group until the order can no longer be executed.
func TestLateOrdersWithoutReports(t *testing.T) {
	for _, seed := range []uint64{276, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20} {
		f := newFleet(t, seed, 4, 8)
		f.run(12*time.Second, nil)
		f.lateFraction, f.lostFraction, f.strict = 0.15, 0.05, true
		f.demand = demandFor(float64(seed%3+2), float64(seed%5+3))
		copied := f.copyRoster()
		f.run(40*time.Second, func() { f.injectFault(&copied) })
		f.checkRecovery(seed)
	}
}

// maxLateness is how long after it was sent an order may be executed.
const maxLateness = 12 * time.Second

// A group is formed by orders whose first attempts had no answer. The group ends, and right before its members join another one, the first
// attempts are executed at the head and at another member. The leader must allow for them even if it has dropped their outcomes.
func TestFirstAttemptsOfEndedGroup(t *testing.T) {
	for _, c := range []struct {
		name    string
		ranks   []int
		dropped bool
	}{
		{"the head", []int{0}, false},
		{"the head and a member", []int{0, 1}, false},
		{"the head, outcomes dropped", []int{0}, true},
		{"the head and a member, outcomes dropped", []int{0, 1}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 5, 1, 6)
			f.strict = true
			first := map[string]*replicaset.Order{}
			var lastSent time.Time
			f.loseOrder = func(o *replicaset.Order) bool {
				key := string(o.To) + string(o.Action)
				if first[key] != nil || o.Action != replicaset.ActionJoin && o.Action != replicaset.ActionOpen {
					return false
				}
				first[key] = o
				lastSent = f.now
				return true
			}
			seen := map[string]bool{}
			f.dropOutcome = func(o *replicaset.Order) bool {
				key := string(o.To) + string(o.Action)
				dropped := c.dropped && first[key] != nil && !seen[key]
				seen[key] = true
				return dropped
			}
			for f.serving()["large"] == 0 {
				f.advance()
			}
			f.dropOutcome = nil
			head := f.headOf("large")
			members := append([]ident.Incarnation(nil), head.members...)
			executeLate := func(to ident.Incarnation, action replicaset.Action) {
				f.executingLate = true
				f.execute(f.byID[to], first[string(to)+string(action)])
				f.byID[to].readyAt = f.now
				f.executingLate = false
			}
			// The first attempts are executed right before a member joins another group, or at maxLateness.
			replayed := false
			replay := func() {
				replayed = true
				for _, i := range c.ranks {
					executeLate(members[i], replicaset.ActionJoin)
					if e := f.byID[members[i]]; e.member.State == roster.MemberJoining {
						e.member.State = roster.MemberReady
					}
				}
				executeLate(head.id, replicaset.ActionOpen)
			}
			f.loseOrder = func(o *replicaset.Order) bool {
				left := head.member.State == roster.MemberNone
				if o.Action == replicaset.ActionJoin && !replayed && left && slices.Contains(members, o.To) {
					replay()
				}
				return false
			}
			f.kill(f.byID[members[3]])
			f.run(30*time.Second, func() {
				if !replayed && f.now.Sub(lastSent) >= maxLateness {
					replay()
				}
			})
			if !replayed {
				t.Error("no late order was executed, so the test checked nothing")
			}
			if len(f.violations) > 0 {
				t.Error(f.violations)
			}
		})
	}
}

// In addition to the other faults, orders, answers and reports are delayed, and some outcomes never reach a leader that is behind.
func TestDelayedOrdersAndOutcomes(t *testing.T) {
	for seed := uint64(1); seed <= 12; seed++ {
		f := newFleet(t, seed, 4, 8)
		f.run(12*time.Second, nil)
		f.lateFraction, f.lostFraction, f.unreadableFraction, f.maxReportDelay, f.strict = 0.1, 0.05, 0.03, 200*time.Millisecond, true
		f.maxTransit, f.droppedFraction = time.Duration(seed)*80*time.Millisecond, 0.05
		f.demand = demandFor(float64(seed%3+2), float64(seed%5+3))
		copied := f.copyRoster()
		f.run(40*time.Second, func() {
			f.injectFault(&copied)
			switch list := f.living(); f.random.IntN(60) {
			case 0:
				f.cutOffRefusing(list[f.random.IntN(len(list))])
			case 1:
				list[f.random.IntN(len(list))].cutOff = false
			}
		})
		f.checkRecovery(seed)
	}
}
