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
	const limit, perSecond, lasts = ratelimit.Rate(2), 20, 20 * time.Second
	for _, c := range []limitCase{{1, "/safe/x", limit}, {8, "/unsafe/x", limit}, {1, "/stream/x", limit}, {8, "/stream/x", limit}, {40, "/stream/x", limit}} {
		t.Run(c.name(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newCluster(c.entries, limitHeads)
				began := time.Now()
				for _, u := range g.entries[0].upstreams {
					u.setLimit(c.limit)
				}
				g.load(c.path, perSecond, lasts)
				for i, u := range g.entries[0].upstreams {
					known := u.arrivals(u.limitNamedAt.Add(limitKnown), began.Add(lasts))
					if over := maxExcess(known, c.limit); over > 1 {
						t.Errorf("upstream %d: %.1f requests beyond the limit", i, over)
					}
					// The first seconds pass until each has been asked and has told its limit.
					if wants := float64(c.limit) * (lasts - 3*time.Second).Seconds(); float64(len(known)) < 0.9*wants {
						t.Errorf("upstream %d got %d requests, want nine tenths of %.0f", i, len(known), wants)
					}
				}
				aim := config().Routes[0].Aim
				served, late, refused, held := 0, 0, 0, time.Duration(0)
				for _, r := range g.records() {
					switch {
					case r.Code == 0 && r.FirstEvent <= aim:
						served++
					case r.Code == 0:
						late++
					default:
						refused++
						held += r.Total
						if code := r.Code; code != result.Limited && code != result.Overloaded {
							t.Errorf("request %s: code %d, %s", r.ID, code, r.ErrorText)
						}
						if r.RetryAfter <= 0 {
							t.Errorf("request %s is refused without a time to come back", r.ID)
						}
					}
				}
				mean := held / time.Duration(max(1, refused))
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
func TestCallersOfLimitedUpstreamsAreToldWhenToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = ratelimit.Rate(0.25)
		s := newSignalEntry(1)
		u := s.upstreams[0]
		u.setLimit(limit)
		s.send("/safe/x", "hears of it")
		var mu sync.Mutex
		var wg sync.WaitGroup
		var told []time.Duration
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
				told = append(told, time.Duration(seconds*float64(time.Second)))
			})
		}
		wg.Wait()
		// The eighth turn is 32 s away; callers are spread by up to half as long again.
		least, most := told[0], told[0]
		for _, d := range told {
			least, most = min(least, d), max(most, d)
		}
		if least > 6*time.Second+100*time.Millisecond || least < 3900*time.Millisecond || most < 31*time.Second || most > 48*time.Second {
			t.Errorf("told %v to %v, want about 4 to 6 s for the first and 32 to 48 s for the last", least, most)
		}
		u.close()
	})
}
