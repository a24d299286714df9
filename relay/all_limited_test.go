package relay_test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/result"
)

// All upstreams have limits and the load exceeds their sum. They get nearly as many requests as their limits allow and no more, requests that
// wait are answered in time, and others are refused at once with a Retry-After.
func TestAllUpstreamsAreLimited(t *testing.T) {
	const limit, perSecond, duration = ratelimit.Rate(2), 20, 20 * time.Second
	for _, c := range []limitCase{{1, "/safe/x", limit}, {8, "/unsafe/x", limit}, {1, "/stream/x", limit}, {8, "/stream/x", limit}, {40, "/stream/x", limit}} {
		t.Run(c.name(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newCluster(c.entries, limitHeads)
				began := time.Now()
				for _, u := range g.entries[0].upstreams {
					u.setLimit(c.limit)
				}
				g.load(c.path, perSecond, duration)
				for i, u := range g.entries[0].upstreams {
					arrivals := u.arrivals(u.limitNamedAt.Add(limitKnown), began.Add(duration))
					if excess := maxExcess(arrivals, c.limit); excess > 1 {
						t.Errorf("upstream %d: %.1f requests beyond the limit", i, excess)
					}
					// It takes the first seconds until each upstream has advertised its limit.
					if allowed := float64(c.limit) * (duration - 3*time.Second).Seconds(); float64(len(arrivals)) < 0.9*allowed {
						t.Errorf("upstream %d got %d requests, want at least 90%% of %.0f", i, len(arrivals), allowed)
					}
				}
				aim := config().Routes[0].Aim
				served, late, refused, heldTotal := 0, 0, 0, time.Duration(0)
				for _, r := range g.records() {
					switch {
					case r.Code == 0 && r.FirstEvent <= aim:
						served++
					case r.Code == 0:
						late++
					default:
						refused++
						heldTotal += r.Total
						if code := r.Code; code != result.Limited && code != result.Overloaded {
							t.Errorf("request %s: code %d, %s", r.ID, code, r.ErrorText)
						}
						if r.RetryAfter <= 0 {
							t.Errorf("request %s is refused without Retry-After", r.ID)
						}
					}
				}
				mean := heldTotal / time.Duration(max(1, refused))
				t.Logf("%d in time, %d late, %d refused after %v on average", served, late, refused, mean)
				if late > served/10 {
					t.Errorf("%d requests late, %d in time; want at most one late for ten in time", late, served)
				}
				if mean > 200*time.Millisecond {
					t.Errorf("refused after %v on average, want at most 200 ms", mean)
				}
			})
		})
	}
}

// Successive refused callers are told successive times to retry, spaced so that the upstream's limit has a permit for each.
func TestRetryAfterOfLimitedUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = ratelimit.Rate(0.25)
		s := newSignalEntry(1)
		u := s.upstreams[0]
		u.setLimit(limit)
		s.send("/safe/x", "learns the limit")
		var mu sync.Mutex
		var wg sync.WaitGroup
		var retryAfters []time.Duration
		began := time.Now()
		for n := range 8 {
			wg.Go(func() {
				w := s.send("/safe/x", strconv.Itoa(n))
				seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
				if w.Code != http.StatusServiceUnavailable || err != nil {
					t.Errorf("status %d, %v, want 503 with Retry-After", w.Code, err)
				}
				if time.Since(began) > 0 {
					t.Errorf("refused after %v, want at once", time.Since(began))
				}
				mu.Lock()
				defer mu.Unlock()
				retryAfters = append(retryAfters, time.Duration(seconds*float64(time.Second)))
			})
		}
		wg.Wait()
		// The eighth permit is due in 32 s; jitter adds up to half of the time.
		shortest, longest := retryAfters[0], retryAfters[0]
		for _, d := range retryAfters {
			shortest, longest = min(shortest, d), max(longest, d)
		}
		if shortest > 6*time.Second+100*time.Millisecond || shortest < 3900*time.Millisecond || longest < 31*time.Second || longest > 48*time.Second {
			t.Errorf("Retry-After from %v to %v, want about 4 to 6 s for the first caller and 32 to 48 s for the last", shortest, longest)
		}
		u.close()
	})
}
