package admission_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/dunlinquay/dunlinquay/admission"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/routing"
)

func TestMain(m *testing.M) {
	flag.Parse()
	// A fixed seed makes runs reproducible.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261202")
	}
	os.Exit(m.Run())
}

// slotPool is an upstream with a number of free slots.
type slotPool struct {
	mu   sync.Mutex
	free int
}

func (s *slotPool) reserve(time.Time) routing.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free == 0 {
		return routing.Full
	}
	s.free--
	return routing.Chosen
}

func (s *slotPool) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free++
}

func (s *slotPool) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.free
}

func newRequest(s *slotPool, customer ident.Customer) *admission.Request {
	return &admission.Request{
		Customer: customer, Class: "interactive", Model: "m", Tokens: 10, Deadline: time.Now().Add(time.Minute), Reserve: s.reserve,
	}
}

// runRequest admits one request, holds its slot for duration, and ends it.
func runRequest(c *admission.Controller, s *slotPool, a *admission.Request, duration time.Duration) error {
	if err := c.Admit(context.Background(), a); err != nil {
		return err
	}
	time.Sleep(duration)
	s.release()
	c.Finish(a, duration, 0)
	return nil
}

func newController(slots int) (*admission.Controller, *slotPool) {
	c := admission.NewController()
	pool := &slotPool{free: slots}
	c.Capacity = func(ident.Model) int { return slots }
	return c, pool
}

func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name    string
		share   admission.Share
		verdict routing.Outcome
		code    result.Code
	}{
		{"free slot", admission.Share{}, routing.Chosen, result.OK},
		{"unknown model", admission.Share{}, routing.UnknownModel, result.ModelUnknown},
		{"no complete group", admission.Share{}, routing.NotWhole, result.NoWholeGroup},
		{"bounded customer with an empty share", admission.Share{Bounded: true}, routing.Chosen, result.LimitExceeded},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				controller, pool := newController(1)
				controller.SetShares(map[ident.Customer]admission.Share{"c": c.share})
				a := newRequest(pool, "c")
				a.Reserve = func(time.Time) routing.Outcome { return c.verdict }
				err := controller.Admit(t.Context(), a)
				if code := result.CodeOf(err); code != c.code {
					t.Errorf("code %d, want %d", code, c.code)
				}
				// A refusal releases everything that the request held.
				controller.SetShares(map[ident.Customer]admission.Share{"c": {}})
				if err := controller.Admit(t.Context(), newRequest(pool, "c")); err != nil {
					t.Errorf("request after the refusal: %v", err)
				}
			})
		})
	}
}

func TestRateLimitsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller, pool := newController(1000)
		controller.SetShares(map[ident.Customer]admission.Share{"r": {RequestsPerSecond: 5}, "t": {TokensPerSecond: 100}})
		for _, c := range []struct {
			customer ident.Customer
			low      int
			high     int
		}{{"r", 50, 56}, {"t", 95, 115}} {
			admitted := 0
			var maxRetryAfter time.Duration
			for range 1000 {
				err := controller.Admit(t.Context(), newRequest(pool, c.customer))
				if err == nil {
					admitted++
				} else {
					maxRetryAfter = max(maxRetryAfter, admission.RetryAfter(err))
				}
				time.Sleep(10 * time.Millisecond)
			}
			if admitted < c.low || admitted > c.high {
				t.Errorf("customer %s: %d requests admitted in ten seconds, want %d to %d", c.customer, admitted, c.low, c.high)
			}
			if maxRetryAfter <= 0 || maxRetryAfter > 2*time.Second {
				t.Errorf("customer %s: longest retry time is %s, want up to 2s", c.customer, maxRetryAfter)
			}
		}
	})
}

// One customer floods the queue. Another customer's request waits only briefly, while one more of the same customer, whose requests run
// in order of arrival, waits for all of them.
func TestFloodDoesNotDelayOtherCustomers(t *testing.T) {
	maxWait := map[ident.Customer]time.Duration{}
	for _, name := range []ident.Customer{"small", "large"} {
		synctest.Test(t, func(t *testing.T) {
			controller, pool := newController(4)
			controller.MaxQueueLength = func(ident.Class) int { return 1000 }
			var wg sync.WaitGroup
			for range 200 {
				wg.Go(func() { _ = runRequest(controller, pool, newRequest(pool, "large"), time.Second) })
			}
			time.Sleep(100 * time.Millisecond)
			for range 5 {
				start := time.Now()
				a := newRequest(pool, name)
				a.Deadline = start.Add(time.Hour)
				if err := runRequest(controller, pool, a, time.Second); err != nil {
					t.Errorf("request of customer %s: %v", name, err)
				}
				maxWait[name] = max(maxWait[name], time.Since(start)-time.Second)
			}
			wg.Wait()
		})
	}
	t.Logf("longest wait: customer small %s, the flooding customer large %s", maxWait["small"], maxWait["large"])
	if maxWait["small"] > 2*time.Second || maxWait["large"] < 10*time.Second {
		t.Errorf("longest waits are %v, want at most 2s for small and at least 10s for large", maxWait)
	}
}

func TestWeightsDivideTheCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller, pool := newController(2)
		controller.MaxQueueLength = func(ident.Class) int { return 1000 }
		controller.SetShares(map[ident.Customer]admission.Share{"double": {Weight: 2}, "single": {Weight: 1}})
		var mu sync.Mutex
		answered := map[ident.Customer]int{}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for _, name := range []ident.Customer{"double", "single"} {
			for range 20 {
				wg.Go(func() {
					for ctx.Err() == nil {
						if runRequest(controller, pool, newRequest(pool, name), 100*time.Millisecond) == nil {
							mu.Lock()
							answered[name]++
							mu.Unlock()
						}
					}
				})
			}
		}
		time.Sleep(30 * time.Second)
		cancel()
		wg.Wait()
		if ratio := float64(answered["double"]) / float64(answered["single"]); ratio < 1.8 || ratio > 2.2 {
			t.Errorf("weights 2 and 1 gave %v answers, want a ratio of 1.8 to 2.2", answered)
		}
	})
}

func TestPriorityOrderAndShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller, pool := newController(1)
		controller.MaxQueueLength = func(ident.Class) int { return 2 }
		var mu sync.Mutex
		var answers []string
		var wg sync.WaitGroup
		send := func(name string, priority int) {
			wg.Go(func() {
				a := newRequest(pool, ident.Customer(name))
				a.Priority = priority
				err := runRequest(controller, pool, a, time.Second)
				mu.Lock()
				defer mu.Unlock()
				answers = append(answers, fmt.Sprint(name, " ", result.Lookup(result.CodeOf(err)).Name))
			})
			time.Sleep(10 * time.Millisecond)
		}
		send("running", 0)
		send("batch-1", 1)
		send("batch-2", 1)
		send("urgent", 0) // sheds batch-2, the newest of the lowest priority
		send("batch-3", 1)
		wg.Wait()
		want := []string{"batch-2 overloaded", "batch-3 overloaded", "running ok", "urgent ok", "batch-1 ok"}
		if diff := cmp.Diff(want, answers); diff != "" {
			t.Errorf("order of results (-want +got):\n%s", diff)
		}
	})
}

func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller, pool := newController(1)
		// The controller learns that a request takes two seconds.
		if err := runRequest(controller, pool, newRequest(pool, "c"), 2*time.Second); err != nil {
			t.Fatal(err)
		}
		go func() { _ = runRequest(controller, pool, newRequest(pool, "c"), 2*time.Second) }()
		time.Sleep(10 * time.Millisecond)
		for _, c := range []struct {
			name   string
			within time.Duration
			code   result.Code
		}{
			{"deadline too early", time.Second, result.DeadlineUnreachable},
			{"deadline late enough", 10 * time.Second, result.OK},
		} {
			start := time.Now()
			a := newRequest(pool, "c")
			a.Deadline = start.Add(c.within)
			err := runRequest(controller, pool, a, 2*time.Second)
			if code := result.CodeOf(err); code != c.code {
				t.Errorf("%s: code %d, want %d", c.name, code, c.code)
			}
			if duration := time.Since(start); err != nil && duration > 0 {
				t.Errorf("%s: refused after %s, want at once", c.name, duration)
			}
		}
	})
}

func TestCancelledRequestLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller, pool := newController(1)
		go func() { _ = runRequest(controller, pool, newRequest(pool, "c"), 5*time.Second) }()
		time.Sleep(time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if code := result.CodeOf(controller.Admit(ctx, newRequest(pool, "c"))); code != result.Cancelled {
			t.Errorf("code %d, want that of a cancelled request", code)
		}
		if n := controller.QueueLen("m"); n != 0 {
			t.Errorf("%d requests still wait, want 0", n)
		}
		time.Sleep(10 * time.Second)
		if n := pool.count(); n != 1 {
			t.Errorf("%d slots are free, want 1", n)
		}
	})
}

// Goodput, the number of answers within four seconds, stays level up to three times the load that fits the capacity. Without admission
// control, simulated by deadlines of an hour, it falls to almost nothing.
func TestGoodputUnderOverload(t *testing.T) {
	const duration, maxLatency = 60 * time.Second, 4 * time.Second
	goodputAt := func(load float64, deadline time.Duration) int {
		inTime := 0
		synctest.Test(t, func(*testing.T) {
			controller, pool := newController(4)
			controller.MaxQueueLength = func(ident.Class) int { return 10_000 }
			var mu sync.Mutex
			var wg sync.WaitGroup
			interval := time.Duration(float64(250*time.Millisecond) / load)
			for sent := time.Duration(0); sent < duration; sent += interval {
				wg.Go(func() {
					a := newRequest(pool, "c")
					start := time.Now()
					a.Deadline = start.Add(deadline)
					if runRequest(controller, pool, a, time.Second) == nil && time.Since(start) <= maxLatency {
						mu.Lock()
						defer mu.Unlock()
						inTime++
					}
				})
				time.Sleep(interval)
			}
			wg.Wait()
		})
		return inTime
	}
	atCapacity := goodputAt(1, maxLatency)
	for _, load := range []float64{0.5, 1, 2, 3} {
		withControl, withoutControl := goodputAt(load, maxLatency), goodputAt(load, time.Hour)
		t.Logf("load of %.1f times the capacity: %d answers in time, %d without admission control", load, withControl, withoutControl)
		if load > 1 && (withControl*10 < atCapacity*9 || withoutControl > withControl) {
			t.Errorf("load of %.1f times the capacity: %d answers in time, %d at capacity, %d without admission control", load, withControl, atCapacity, withoutControl)
		}
	}
}

// The shares that daemons may use at any time never add up to more than the limit, not even after a change of leader: the new leader
// does not know the leases of the last one.
func TestLeasedSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const leaseDuration = time.Second
		limit := admission.Limit{Concurrent: rapid.IntRange(1, 20).Draw(t, "limit"), RequestsPerSecond: 100}
		names := []ident.Daemon{"a", "b", "c", "d"}
		now := time.Unix(1000, 0)
		allocator := admission.NewShareAllocator(leaseDuration)
		allocator.StartTerm(now)
		granted := map[ident.Daemon]admission.Share{}
		grantedUntil := map[ident.Daemon]time.Time{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "new leader") == 0 {
				allocator = admission.NewShareAllocator(leaseDuration)
				allocator.StartTerm(now)
			}
			d := rapid.SampledFrom(names).Draw(t, "daemon")
			live := names[:rapid.IntRange(1, len(names)).Draw(t, "live")]
			allocator.SetDemands(d, []admission.Demand{{Customer: "c", Concurrent: rapid.IntRange(0, 30).Draw(t, "want"), Requests: rapid.IntRange(0, 50).Draw(t, "requests")}})
			if allocator.MayGrant(now) {
				granted[d], grantedUntil[d] = allocator.Grant(now, d, live, "c", limit), now.Add(leaseDuration)
			}
			concurrent, rate := 0, 0.0
			for name, share := range granted {
				if !now.After(grantedUntil[name]) {
					concurrent += share.Concurrent
					rate += share.RequestsPerSecond
				}
			}
			if concurrent > limit.Concurrent || rate > limit.RequestsPerSecond*1.001 {
				t.Fatalf("shares add up to %d concurrent requests and %.1f per second, the limits are %d and %.1f", concurrent, rate, limit.Concurrent, limit.RequestsPerSecond)
			}
		}
	})
}

func TestSharesFollowDemand(t *testing.T) {
	allocator := admission.NewShareAllocator(time.Second)
	now := time.Unix(1000, 0)
	live := []ident.Daemon{"a", "b", "c"}
	limit := admission.Limit{Concurrent: 12, RequestsPerSecond: 100}
	allocator.SetDemands("a", []admission.Demand{{Customer: "c", Concurrent: 30, Requests: 90}})
	allocator.SetDemands("b", []admission.Demand{{Customer: "c", Concurrent: 1, Requests: 10}})
	got := map[ident.Daemon]int{}
	for _, d := range live {
		got[d] = allocator.Grant(now, d, live, "c", limit).Concurrent
	}
	if diff := cmp.Diff(map[ident.Daemon]int{"a": 9, "b": 2, "c": 1}, got); diff != "" {
		t.Errorf("concurrent requests by daemon (-want +got):\n%s", diff)
	}
	fallback := limit.Fallback(3)
	if fallback.Concurrent != 4 || !fallback.Bounded {
		t.Errorf("fallback share is %+v, want 4 concurrent requests, bounded", fallback)
	}
}
