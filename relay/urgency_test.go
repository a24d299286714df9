package relay_test

import (
	"slices"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
)

// burstOfLessUrgent is a steady load of urgent callers, and one of less urgent ones that rises to 2.6 times for seven seconds.
func burstOfLessUrgent(groups int) *sharedLoad {
	return &sharedLoad{
		groups: groups, duration: 14 * time.Second,
		kinds: []callerKind{
			{"urgent", 1, 1460, 25, 300 * time.Millisecond, 8 * time.Second, constantLoad(24)},
			{"patient", 2, 2000, 3, 800 * time.Millisecond, 5 * time.Second, func(at time.Duration) float64 {
				return 16 * loadBetween(4*time.Second, 11*time.Second, 2.6)(at)
			}},
		},
	}
}

// inversions returns the starts of the two-second windows with at least 20 callers of each kind in which fewer of the first kind were
// answered in time.
func inversions(t *testing.T, calls []sharedCall, duration time.Duration, first, second ident.Class) (inverted []time.Duration) {
	t.Helper()
	const window, minCallers = 2 * time.Second, 20
	for at := time.Duration(0); at < duration; at += window {
		firstCount, firstShare := inAimShare(calls, first, at, at+window)
		secondCount, secondShare := inAimShare(calls, second, at, at+window)
		t.Logf("from %v: %.2f of %d %s and %.2f of %d %s in time", at, firstShare, firstCount, first, secondShare, secondCount, second)
		if min(firstCount, secondCount) >= minCallers && firstShare < secondShare {
			inverted = append(inverted, at)
		}
	}
	return inverted
}

// answered returns how many callers of a kind between two times were answered.
func answered(calls []sharedCall, kind ident.Class, from, to time.Duration) (n int) {
	for i := range calls {
		if c := &calls[i]; c.kind == kind && c.at >= from && c.at < to && c.firstEvent > 0 {
			n++
		}
	}
	return n
}

// Guards against priority inversion: an entry that sees few urgent requests sends less urgent ones, which have more time, to the groups that
// urgent requests at other entries need a moment later. The less urgent keep their floor, also where only own counts are known.
func TestBurstOfLessUrgentRequests(t *testing.T) {
	playBursts(t, []burstCase{
		{name: "three groups", groups: 3},
		{name: "two groups", groups: 2},
		{name: "all reports are lost", groups: 3, lost: func(int, time.Duration) bool { return true }, mayInvert: true},
	})
}

// Guards against priority inversion while the less urgent requests exceed the capacity; before and after that, single requests decide which
// kind is ahead.
func TestUrgentRequestsGoFirstInABurst(t *testing.T) {
	playBursts(t, []burstCase{{name: "three groups", groups: 3, onlyBurst: true}, {name: "two groups", groups: 2, onlyBurst: true}})
}

// Guards against the same where requests are refused on arrival.
func TestBurstOfLessUrgentRequestsWithArrivalCheck(t *testing.T) {
	playBursts(t, []burstCase{{name: "three groups", groups: 3, arrivalCheck: true}, {name: "two groups", groups: 2, arrivalCheck: true}})
}

// burstCase is one play of a burst of less urgent requests.
type burstCase struct {
	name   string
	groups int
	lost   func(entry int, at time.Duration) bool
	// mayInvert is set where an entry cannot know what others need.
	mayInvert    bool
	arrivalCheck bool
	// onlyBurst is set to compare the kinds only during the burst.
	onlyBurst bool
}

func playBursts(t *testing.T, cases []burstCase) {
	t.Helper()
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			load := burstOfLessUrgent(tt.groups)
			load.lost = tt.lost
			load.prepare = func(s *relay.Relay) { s.ArrivalCheck = tt.arrivalCheck }
			calls := runShared(t, load)
			const from, to = 4 * time.Second, 11 * time.Second
			inverted := inversions(t, calls, load.duration, "urgent", "patient")
			if tt.onlyBurst {
				inverted = slices.DeleteFunc(inverted, func(at time.Duration) bool { return at < from || at >= to })
			}
			if len(inverted) > 0 && !tt.mayInvert {
				t.Errorf("from %v, fewer of the urgent than of the less urgent callers were answered in time", inverted)
			}
			urgent, patient := answered(calls, "urgent", from, to), answered(calls, "patient", from, to)
			t.Logf("in the burst %d urgent and %d less urgent callers were answered", urgent, patient)
			if 3*patient < urgent {
				t.Errorf("%d urgent and %d less urgent callers were answered, want at least a quarter less urgent", urgent, patient)
			}
		})
	}
}
