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

// Where all upstreams have limits and more comes than they take, they get what they take and no more, what waits is answered in time,
// and what can't be is refused at once, with a time to come back that counts those who were told before.
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
					// The first seconds pass until each has been asked and has told its limit.
					if allowed := float64(c.limit) * (duration - 3*time.Second).Seconds(); float64(len(arrivals)) < 0.9*allowed {
						t.Errorf("upstream %d got %d requests, want nine tenths of %.0f", i, len(arrivals), allowed)
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
							t.Errorf("request %s is refused without a time to come back", r.ID)
						}
					}
				}
				mean := heldTotal / time.Duration(max(1, refused))
				t.Logf("%d in time, %d late, %d refused after %v on average", served, late, refused, mean)
				if late > served/10 {
					t.Errorf("%d late beside %d in time", late, served)
				}
				if mean > 200*time.Millisecond {
					t.Errorf("refused after %v on average, want 200 ms at most", mean)
				}
			})
		})
	}
}

// Callers that come back as they are told find what the upstream takes by then: the later they are told, the later.
func TestRetryAfterOfLimitedUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = ratelimit.Rate(0.25)
		s := newSignalEntry(1)
		u := s.upstreams[0]
		u.setLimit(limit)
		s.send("/safe/x", "hears of it")
		var mu sync.Mutex
		var wg sync.WaitGroup
		var retryAfters []time.Duration
		began := time.Now()
		for n := range 8 {
			wg.Go(func() {
				w := s.send("/safe/x", strconv.Itoa(n))
				seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
				if w.Code != http.StatusServiceUnavailable || err != nil {
					t.Errorf("status %d, %v, want 503 and a time", w.Code, err)
				}
				if time.Since(began) > 0 {
					t.Errorf("held for %v", time.Since(began))
				}
				mu.Lock()
				defer mu.Unlock()
				retryAfters = append(retryAfters, time.Duration(seconds*float64(time.Second)))
			})
		}
		wg.Wait()
		// The eighth turn is 32 s away; callers are spread by up to half as long again.
		shortest, longest := retryAfters[0], retryAfters[0]
		for _, d := range retryAfters {
			shortest, longest = min(shortest, d), max(longest, d)
		}
		if shortest > 6*time.Second+100*time.Millisecond || shortest < 3900*time.Millisecond || longest < 31*time.Second || longest > 48*time.Second {
			t.Errorf("told %v to %v, want about 4 to 6 s for the first and 32 to 48 s for the last", shortest, longest)
		}
		u.close()
	})
}
