package dispatch_test

// An upstream that names how many requests a second it takes gets that from all daemons together: each of them sees its own requests only.

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/dispatch"
	"github.com/dunlinquay/dunlinquay/engine"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/sharing"
)

// limited is an upstream that names a limit in its answers.
type limited struct {
	mu      sync.Mutex
	limit   string
	arrived []time.Time
	named   time.Time
}

// take notes a request, works on it, and returns the header of the answer.
func (u *limited) take() http.Header {
	u.mu.Lock()
	u.arrived = append(u.arrived, time.Now())
	u.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.limit == "" {
		return http.Header{}
	}
	if u.named.IsZero() {
		u.named = time.Now()
	}
	return http.Header{ratelimit.Header: {u.limit}}
}

// beyond returns by how many requests the arrivals since all knew of the limit are beyond it in some span, and how many there were.
func (u *limited) beyond(rate float64) (most float64, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	lowest := 0.0
	var first time.Time
	for _, at := range u.arrived {
		if !at.After(u.named.Add(5 * time.Millisecond)) {
			continue
		}
		if n == 0 {
			first = at
		}
		over := float64(n) - rate*at.Sub(first).Seconds()
		lowest = min(lowest, over)
		most = max(most, over-lowest+1)
		n++
	}
	return most, n
}

// newLimitTeam returns daemons that know each other, before two workers and the heads of two groups, of which the first ones are u.
func newLimitTeam(n int, u *limited) []*bench {
	var team []*bench
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("daemon-", i))
	}
	for i, name := range names {
		b := newBench()
		b.Services = dispatch.NewServices(map[ident.Service]*dispatch.ServicePool{"s": dispatch.NewPool("s", []string{"head-0", "w1"}, 8)})
		b.Services.Send = func(_ context.Context, address string, _ *dispatch.Call) (*dispatch.Reply, error) {
			if address == "head-0" {
				return &dispatch.Reply{Status: http.StatusOK, Header: u.take()}, nil
			}
			return &dispatch.Reply{Status: http.StatusOK}, nil
		}
		generate := b.Generate
		b.Generate = func(ctx context.Context, address string, g *engine.Generate) (*engine.Stream, error) {
			if address == "head-0" {
				sent := time.Now()
				b.HeardLimit(address, sent, http.StatusOK, u.take())
			}
			return generate(ctx, address, g)
		}
		for range 2000 {
			b.deeds = append(b.deeds, deed{cut: -1})
		}
		b.Gate.Capacity = func(ident.Model) int { return 64 }
		seats := &ratelimit.Coordinators{Now: time.Now, MayCoordinate: func() bool { return true }}
		seats.SetEntries(sharing.New(name, map[ident.Hall][]string{"": names}))
		b.Limits.Coordinator = seats.Of
		b.Services.TurnIn, b.Table.PermitIn = b.TurnIn, b.TurnIn
		b.Limits.Send = func(to string, q *ratelimit.PermitRequest[string]) {
			for j, other := range names {
				if other == to {
					time.AfterFunc(time.Millisecond, func() {
						if a, ok := team[j].Limits.HandleRequest(q, names[i]); ok {
							time.AfterFunc(time.Millisecond, func() { b.Limits.HandleReply(a) })
						}
					})
				}
			}
		}
		b.LimitChanged = func(address string, w ratelimit.Limit, _ ratelimit.Limit) {
			for _, other := range team {
				other.Limits.Table.Merge(address, w.Rate, w.LastSeen)
			}
		}
		team = append(team, b)
	}
	return team
}

// play lets requests come to all daemons by turns and returns how many were answered.
func play(t *testing.T, team []*bench, lasts time.Duration, ask func(b *bench, n int) error) (answered int) {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for began, n := time.Now(), 0; time.Since(began) < lasts; n++ {
		b := team[n%len(team)]
		b.see()
		wg.Go(func() {
			err := ask(b, n)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				answered++
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	return answered
}

// Workers and heads of groups get no more than the limit that they name, and nearly all of it; the others do the rest.
func TestLimitsAreKeptByAllDaemons(t *testing.T) {
	ways := map[string]func(b *bench, n int) error{
		"a worker": func(b *bench, n int) error {
			_, err := b.call(n)
			return err
		},
		"the head of a group": func(b *bench, _ int) error {
			_, err := b.Serve(context.Background(), b.request(), nil)
			return err
		},
	}
	for name, ask := range ways {
		for _, daemons := range []int{1, 4} {
			t.Run(fmt.Sprintf("%s, %d daemons", name, daemons), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					const lasts = 12 * time.Second
					u := &limited{limit: "2"}
					team := newLimitTeam(daemons, u)
					time.Sleep(1100 * time.Millisecond)
					answered := play(t, team, lasts, ask)
					over, n := u.beyond(2)
					if over > 1.05 {
						t.Errorf("%.1f requests beyond the limit", over)
					}
					if n < 21 {
						t.Errorf("%d requests in %v at a limit of 2 a second", n, lasts)
					}
					if answered < 475 {
						t.Errorf("%d of 480 requests were answered", answered)
					}
				})
			})
		}
	}
}

// Where only upstreams with limits are left, what waits gets its turn, and the rest is refused at once with a time to come back.
func TestCallsWaitForTheirTurnOrAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &limited{limit: "2"}
		b := newLimitTeam(1, u)[0]
		b.Services.Pools["s"] = dispatch.NewPool("s", []string{"head-0"}, 64)
		if _, err := b.call(0); err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		served, refused := 0, 0
		began := time.Now()
		for n := range 20 {
			wg.Go(func() {
				_, err := b.call(n + 1)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					served++
				case result.CodeOf(err) == result.Limited && time.Since(began) < 100*time.Millisecond:
					refused++
				default:
					t.Errorf("%v after %v", err, time.Since(began))
				}
			})
		}
		wg.Wait()
		// Half of the ten seconds that a call has, at two a second.
		if served < 9 || served > 11 || served+refused != 20 {
			t.Errorf("%d served and %d refused, want about 10 each", served, refused)
		}
		if over, _ := u.beyond(2); over > 1.05 {
			t.Errorf("%.1f requests beyond the limit", over)
		}
	})
}
