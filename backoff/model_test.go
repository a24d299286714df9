package backoff_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/backoff"
)

// book is the same list in the plainest way: it forgets nothing and is never quiet.
type book struct {
	until, tried   map[int]time.Time
	asked, leaving map[int]bool
}

func (b *book) of(now time.Time, k int) backoff.State {
	if left := b.until[k].Sub(now); left > 0 {
		return backoff.State{Remaining: left, Leaving: b.leaving[k], Requested: b.asked[k]}
	}
	return backoff.State{Requested: b.asked[k], Probing: b.asked[k] && now.Before(b.tried[k])}
}

func (b *book) extend(k int, until time.Time) {
	if until.After(b.until[k]) {
		b.until[k] = until
	}
}

// Whatever is asked, tried and taken in whichever order, the list says the same as a plain book of it.
func TestListAgainstABook(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		r := backoff.Rule{Max: 20 * time.Second, Default: 100 * time.Millisecond, Leaving: 15 * time.Second}
		l := backoff.New[int](r)
		b := &book{map[int]time.Time{}, map[int]time.Time{}, map[int]bool{}, map[int]bool{}}
		now := start
		for step := range 400 {
			now = now.Add(time.Duration(random.ExpFloat64() * float64(300*time.Millisecond)))
			k := random.IntN(6)
			var what string
			switch n := random.IntN(10); {
			case n < 2:
				what = "refuse"
				l.NoteRefusal(now, k, 0)
				b.extend(k, now.Add(r.Default))
			case n < 5:
				asked := time.Duration(random.IntN(4000)+1) * time.Millisecond
				what = fmt.Sprint("ask ", asked)
				l.NoteRefusal(now, k, asked)
				b.asked[k] = true
				b.extend(k, now.Add(asked))
			case n == 5 && random.IntN(20) == 0:
				what = "leave"
				l.NoteLeaving(now, k)
				b.leaving[k] = true
				b.extend(k, now.Add(r.Leaving))
			case n < 9:
				what = "begin"
				got, want := l.BeginProbe(now, k), b.asked[k] && !now.Before(b.tried[k])
				if got != want {
					t.Fatalf("seed %d, step %d: %d tries %t, want %t", seed, step, k, got, want)
				}
				if want {
					b.tried[k] = now.Add(10 * time.Second)
				}
			default:
				taken := random.IntN(2) == 0
				what = fmt.Sprint("end ", taken)
				l.EndProbe(k, taken)
				b.tried[k] = time.Time{}
				b.asked[k] = b.asked[k] && !taken
			}
			for k := range 6 {
				if diff := cmp.Diff(b.of(now, k), l.StateOf(now, k)); diff != "" {
					t.Fatalf("seed %d, step %d, after %s: upstream %d (-want +got):\n%s", seed, step, what, k, diff)
				}
			}
		}
	}
}
