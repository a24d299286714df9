package dispatch_test

// The limit that an upstream advertises counts for all daemons together, although each daemon sees only its own requests.

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

// limitedUpstream is an upstream that advertises a limit in its responses.
type limitedUpstream struct {
	mu sync.Mutex
	// header is the value of the limit header, empty for no header.
	header   string
	arrivals []time.Time
	// advertisedAt is when a response first had the header.
	advertisedAt time.Time
}

// serve records and runs one request, and returns the header of its response.
func (u *limitedUpstream) serve() http.Header {
	u.mu.Lock()
	u.arrivals = append(u.arrivals, time.Now())
	u.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.header == "" {
		return http.Header{}
	}
	if u.advertisedAt.IsZero() {
		u.advertisedAt = time.Now()
	}
	return http.Header{ratelimit.Header: {u.header}}
}

// excess returns n, the number of requests that arrived after all daemons knew the limit, and maxExcess, the maximum over all spans
// among them of the number of requests beyond the limit.
func (u *limitedUpstream) excess(rate float64) (maxExcess float64, n int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	lowest := 0.0
	var first time.Time
	for _, at := range u.arrivals {
		if !at.After(u.advertisedAt.Add(5 * time.Millisecond)) {
			continue
		}
		if n == 0 {
			first = at
		}
		excess := float64(n) - rate*at.Sub(first).Seconds()
		lowest = min(lowest, excess)
		maxExcess = max(maxExcess, excess-lowest+1)
		n++
	}
	return maxExcess, n
}

// newLimitedDaemons returns n daemons that exchange permits and limits. Each has a service with two workers and a model with two groups;
// u is the first worker and the head of the first group.
func newLimitedDaemons(n int, u *limitedUpstream) []*fixture {
	var daemons []*fixture
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("daemon-", i))
	}
	for i, name := range names {
		f := newFixture()
		f.Services = dispatch.NewServices(map[ident.Service]*dispatch.ServicePool{"s": dispatch.NewServicePool("s", []string{"head-0", "w1"}, 8)})
		f.Services.Send = func(_ context.Context, address string, _ *dispatch.Call) (*dispatch.Reply, error) {
			if address == "head-0" {
				return &dispatch.Reply{Status: http.StatusOK, Header: u.serve()}, nil
			}
			return &dispatch.Reply{Status: http.StatusOK}, nil
		}
		generate := f.Generate
		f.Generate = func(ctx context.Context, address string, g *engine.GenerateRequest) (*engine.Stream, error) {
			if address == "head-0" {
				sentAt := time.Now()
				f.ApplyLimit(address, sentAt, http.StatusOK, u.serve())
			}
			return generate(ctx, address, g)
		}
		for range 2000 {
			f.behaviors = append(f.behaviors, behavior{cutAfter: -1})
		}
		f.Admission.Capacity = func(ident.Model) int { return 64 }
		coordinators := &ratelimit.Coordinators{Now: time.Now, MayCoordinate: func() bool { return true }}
		coordinators.SetEntries(sharing.New(name, map[ident.Hall][]string{"": names}))
		f.Limits.Coordinator = coordinators.Of
		f.Services.PermitIn, f.Table.PermitIn = f.PermitIn, f.PermitIn
		f.Limits.Send = func(to string, request *ratelimit.PermitRequest[string]) {
			for j, other := range names {
				if other == to {
					time.AfterFunc(time.Millisecond, func() {
						if reply, ok := daemons[j].Limits.HandleRequest(request, names[i]); ok {
							time.AfterFunc(time.Millisecond, func() { f.Limits.HandleReply(reply) })
						}
					})
				}
			}
		}
		f.LimitChanged = func(address string, limit ratelimit.Limit, _ ratelimit.Limit) {
			for _, other := range daemons {
				other.Limits.Table.Merge(address, limit.Rate, limit.LastSeen)
			}
		}
		daemons = append(daemons, f)
	}
	return daemons
}

// sendRequests sends requests to the daemons in turn for the duration, and returns how many were answered.
func sendRequests(t *testing.T, daemons []*fixture, duration time.Duration, send func(f *fixture, n int) error) (answered int) {
	t.Helper()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for start, n := time.Now(), 0; time.Since(start) < duration; n++ {
		f := daemons[n%len(daemons)]
		f.observeMembers()
		wg.Go(func() {
			err := send(f, n)
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

// A worker or head of a group with a limit gets no more requests than the limit and nearly as many; the others run the rest.
func TestDaemonsTogetherKeepLimits(t *testing.T) {
	senders := map[string]func(f *fixture, arrived int) error{
		"a worker": func(f *fixture, arrived int) error {
			_, err := f.call(arrived)
			return err
		},
		"the head of a group": func(f *fixture, _ int) error {
			_, err := f.Serve(context.Background(), f.request(), nil)
			return err
		},
	}
	for name, send := range senders {
		for _, daemons := range []int{1, 4} {
			t.Run(fmt.Sprintf("%s, %d daemons", name, daemons), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					const duration = 12 * time.Second
					u := &limitedUpstream{header: "2"}
					fixtures := newLimitedDaemons(daemons, u)
					time.Sleep(1100 * time.Millisecond)
					answered := sendRequests(t, fixtures, duration, send)
					excess, arrived := u.excess(2)
					if excess > 1.05 {
						t.Errorf("%.1f requests beyond the limit", excess)
					}
					if arrived < 21 {
						t.Errorf("the upstream got %d requests in %v at a limit of 2 per second, want at least 21", arrived, duration)
					}
					if answered < 475 {
						t.Errorf("%d of 480 requests were answered", answered)
					}
				})
			})
		}
	}
}

// If all upstreams are at their limits, calls that can get a permit in time wait for it, and the rest are refused at once.
func TestCallsWaitForPermitOrAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		u := &limitedUpstream{header: "2"}
		f := newLimitedDaemons(1, u)[0]
		f.Services.Pools["s"] = dispatch.NewServicePool("s", []string{"head-0"}, 64)
		if _, err := f.call(0); err != nil {
			t.Fatal(err)
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		served, refused := 0, 0
		start := time.Now()
		for n := range 20 {
			wg.Go(func() {
				_, err := f.call(n + 1)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					served++
				case result.CodeOf(err) == result.Limited && time.Since(start) < 100*time.Millisecond:
					refused++
				default:
					t.Errorf("%v after %v", err, time.Since(start))
				}
			})
		}
		wg.Wait()
		// Calls wait for at most half of their ten seconds, at two permits per second.
		if served < 9 || served > 11 || served+refused != 20 {
			t.Errorf("%d calls served and %d refused, want about 10 each", served, refused)
		}
		if excess, _ := u.excess(2); excess > 1.05 {
			t.Errorf("%.1f requests beyond the limit", excess)
		}
	})
}
