package replicaset_test

import (
	"slices"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/replicaset"
	"github.com/dunlinquay/dunlinquay/roster"
)

// Orders without an answer may be carried out many seconds later, without a report that tells of it in time. What may be put back into a
// group that has ended, and serves there again, joins no other one until that is over.
func TestLateOrdersNobodyKnowsOf(t *testing.T) {
	for _, seed := range []uint64{276, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20} {
		f := newFleet(t, seed, 4, 8)
		f.run(12*time.Second, nil)
		f.lateShare, f.lostShare, f.strict = 0.15, 0.05, true
		f.demand = groupsOf(float64(seed%3+2), float64(seed%5+3))
		copied := f.copied()
		f.run(40*time.Second, func() { f.trouble(&copied) })
		f.calm()
		f.run(40*time.Second, nil)
		if len(f.faults) > 0 {
			t.Errorf("seed %d: %v", seed, f.faults)
		}
		if got := f.serving(); got["large"] == 0 || got["small"] == 0 {
			t.Errorf("seed %d: %v groups serve long after all trouble has ended", seed, got)
		}
	}
}

// latest is how long after it was given an order may be carried out.
const latest = 12 * time.Second

// A group is formed by orders whose first tries had no answer; it ends, and right before its members join elsewhere these first tries are
// carried out at the head and at another member.
func TestTheFirstTriesOfAGroupThatEnded(t *testing.T) {
	for name, whom := range map[string][]int{"the head": {0}, "the head and a member": {0, 1}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 5, 1, 6)
			f.strict = true
			first := map[string]*replicaset.Order{}
			var given time.Time
			f.lose = func(o *replicaset.Order) bool {
				key := string(o.To) + string(o.Action)
				if first[key] != nil || o.Action != replicaset.ActionJoin && o.Action != replicaset.ActionOpen {
					return false
				}
				first[key] = o
				given = f.now
				return true
			}
			for f.serving()["large"] == 0 {
				f.pass()
			}
			head := f.headOf("large")
			members := append([]ident.Incarnation(nil), head.members...)
			late := func(to ident.Incarnation, action replicaset.Action) {
				f.lateNow = true
				f.carryOut(f.byID[to], first[string(to)+string(action)])
				f.byID[to].readyAt = f.now
				f.lateNow = false
			}
			// They are carried out in the moment before a member joins elsewhere, or as late as orders are at all.
			played := false
			play := func() {
				played = true
				for _, i := range whom {
					late(members[i], replicaset.ActionJoin)
					if e := f.byID[members[i]]; e.member.State == roster.MemberJoining {
						e.member.State = roster.MemberReady
					}
				}
				late(head.id, replicaset.ActionOpen)
			}
			f.lose = func(o *replicaset.Order) bool {
				left := head.member.State == roster.MemberNone
				if o.Action == replicaset.ActionJoin && !played && left && slices.Contains(members, o.To) {
					play()
				}
				return false
			}
			f.kill(f.byID[members[3]])
			f.run(30*time.Second, func() {
				if !played && f.now.Sub(given) >= latest {
					play()
				}
			})
			if !played {
				t.Error("no late order was carried out: the test shows nothing")
			}
			if len(f.faults) > 0 {
				t.Error(f.faults)
			}
		})
	}
}
