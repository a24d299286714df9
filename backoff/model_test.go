package backoff_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/backoff"
)

// referenceList is a simple implementation of List: it never drops records and has no fast path.
type referenceList struct {
	end, probeUntil    map[int]time.Time
	requested, leaving map[int]bool
}

func (b *referenceList) stateOf(now time.Time, upstream int) backoff.State {
	if left := b.end[upstream].Sub(now); left > 0 {
		return backoff.State{Remaining: left, Leaving: b.leaving[upstream], Requested: b.requested[upstream]}
	}
	return backoff.State{Requested: b.requested[upstream], Probing: b.requested[upstream] && now.Before(b.probeUntil[upstream])}
}

func (b *referenceList) extend(upstream int, until time.Time) {
	if until.After(b.end[upstream]) {
		b.end[upstream] = until
	}
}

// For random sequences of refusals, notices and probes, the list has the same states as the reference.
func TestListAgainstReference(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		rule := backoff.Rule{Max: 20 * time.Second, Default: 100 * time.Millisecond, Leaving: 15 * time.Second}
		list := backoff.New[int](rule)
		reference := &referenceList{map[int]time.Time{}, map[int]time.Time{}, map[int]bool{}, map[int]bool{}}
		now := startTime
		for step := range 400 {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(300*time.Millisecond)))
			upstream := random.IntN(6)
			var action string
			switch n := random.IntN(10); {
			case n < 2:
				action = "refusal"
				list.NoteRefusal(now, upstream, 0)
				reference.extend(upstream, now.Add(rule.Default))
			case n < 5:
				delay := time.Duration(random.IntN(4000)+1) * time.Millisecond
				action = fmt.Sprint("backoff ", delay)
				list.NoteRefusal(now, upstream, delay)
				reference.requested[upstream] = true
				reference.extend(upstream, now.Add(delay))
			case n == 5 && random.IntN(20) == 0:
				action = "leaving"
				list.NoteLeaving(now, upstream)
				reference.leaving[upstream] = true
				reference.extend(upstream, now.Add(rule.Leaving))
			case n < 9:
				action = "begin probe"
				got, want := list.BeginProbe(now, upstream), reference.requested[upstream] && !now.Before(reference.probeUntil[upstream])
				if got != want {
					t.Fatalf("seed %d, step %d: upstream %d is probed %t, want %t", seed, step, upstream, got, want)
				}
				if want {
					reference.probeUntil[upstream] = now.Add(10 * time.Second)
				}
			default:
				accepted := random.IntN(2) == 0
				action = fmt.Sprint("end probe ", accepted)
				list.EndProbe(upstream, accepted)
				reference.probeUntil[upstream] = time.Time{}
				reference.requested[upstream] = reference.requested[upstream] && !accepted
			}
			for upstream := range 6 {
				if diff := cmp.Diff(reference.stateOf(now, upstream), list.StateOf(now, upstream)); diff != "" {
					t.Fatalf("seed %d, step %d, after %s: upstream %d (-want +got):\n%s", seed, step, action, upstream, diff)
				}
			}
		}
	}
}
