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
	// The same histories every run.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261202")
	}
	os.Exit(m.Run())
}

// slots is an upstream with room for a few requests.
type slots struct {
	mu   sync.Mutex
	free int
}

func (s *slots) reserve(time.Time) routing.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free == 0 {
		return routing.Full
	}
	s.free--
	return routing.Chosen
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free++
}

func (s *slots) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.free
}

func ask(s *slots, customer ident.Customer) *admission.Ask {
	return &admission.Ask{
		Customer: customer, Class: "interactive", Model: "m", Tokens: 10, Deadline: time.Now().Add(time.Minute), Reserve: s.reserve,
	}
}

// work runs one request for as long as took and gives its slot back.
func work(c *admission.Controller, s *slots, a *admission.Ask, took time.Duration) error {
	if err := c.Admit(context.Background(), a); err != nil {
		return err
	}
	time.Sleep(took)
	s.release()
	c.Done(a, took, 0)
	return nil
}

func newGate(free int) (*admission.Controller, *slots) {
	c := admission.NewController()
	s := &slots{free: free}
	c.Capacity = func(ident.Model) int { return free }
	return c, s
}

func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name    string
		share   admission.Share
		verdict routing.Outcome
		code    result.Code
	}{
		{"room", admission.Share{}, routing.Chosen, result.OK},
		{"no such model", admission.Share{}, routing.UnknownModel, result.ModelUnknown},
		{"no whole group", admission.Share{}, routing.NotWhole, result.NoWholeGroup},
		{"no share of a bounded customer", admission.Share{Bounded: true}, routing.Chosen, result.LimitExceeded},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gate, s := newGate(1)
				gate.SetShares(map[ident.Customer]admission.Share{"c": c.share})
				a := ask(s, "c")
				a.Reserve = func(time.Time) routing.Outcome { return c.verdict }
				err := gate.Admit(t.Context(), a)
				if code := result.CodeOf(err); code != c.code {
					t.Errorf("code %d, want %d", code, c.code)
				}
				// A refusal gives everything back.
				gate.SetShares(map[ident.Customer]admission.Share{"c": {}})
				if err := gate.Admit(t.Context(), ask(s, "c")); err != nil {
					t.Errorf("afterwards: %v", err)
				}
			})
		})
	}
}

func TestRatesAreHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, s := newGate(1000)
		gate.SetShares(map[ident.Customer]admission.Share{"r": {RequestsPerSecond: 5}, "t": {TokensPerSecond: 100}})
		for _, c := range []struct {
			customer ident.Customer
			low      int
			high     int
		}{{"r", 50, 56}, {"t", 95, 115}} {
			admitted := 0
			var after time.Duration
			for range 1000 {
				err := gate.Admit(t.Context(), ask(s, c.customer))
				if err == nil {
					admitted++
				} else {
					after = max(after, admission.RetryAfter(err))
				}
				time.Sleep(10 * time.Millisecond)
			}
			if admitted < c.low || admitted > c.high {
				t.Errorf("%s: %d requests in ten seconds, want %d to %d", c.customer, admitted, c.low, c.high)
			}
			if after <= 0 || after > 2*time.Second {
				t.Errorf("%s: told to come back after %s", c.customer, after)
			}
		}
	})
}

// One customer floods; the small ones get their share as if it were not there. First come first served, which is what
// the gate does within one customer, makes them wait for all of it.
func TestAFloodDoesNotHoldUpSmallCustomers(t *testing.T) {
	worst := map[ident.Customer]time.Duration{}
	for _, name := range []ident.Customer{"small", "large"} {
		synctest.Test(t, func(t *testing.T) {
			gate, s := newGate(4)
			gate.QueueLength = func(ident.Class) int { return 1000 }
			var wg sync.WaitGroup
			for range 200 {
				wg.Go(func() { _ = work(gate, s, ask(s, "large"), time.Second) })
			}
			time.Sleep(100 * time.Millisecond)
			for range 5 {
				began := time.Now()
				a := ask(s, name)
				a.Deadline = began.Add(time.Hour)
				if err := work(gate, s, a, time.Second); err != nil {
					t.Errorf("a request of %s: %v", name, err)
				}
				worst[name] = max(worst[name], time.Since(began)-time.Second)
			}
			wg.Wait()
		})
	}
	t.Logf("longest wait: a small customer %s, first come first served %s", worst["small"], worst["large"])
	if worst["small"] > 2*time.Second || worst["large"] < 10*time.Second {
		t.Errorf("waits %v", worst)
	}
}

func TestWeightsDivideTheCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, s := newGate(2)
		gate.QueueLength = func(ident.Class) int { return 1000 }
		gate.SetShares(map[ident.Customer]admission.Share{"double": {Weight: 2}, "single": {Weight: 1}})
		var mu sync.Mutex
		done := map[ident.Customer]int{}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for _, name := range []ident.Customer{"double", "single"} {
			for range 20 {
				wg.Go(func() {
					for ctx.Err() == nil {
						if work(gate, s, ask(s, name), 100*time.Millisecond) == nil {
							mu.Lock()
							done[name]++
							mu.Unlock()
						}
					}
				})
			}
		}
		time.Sleep(30 * time.Second)
		cancel()
		wg.Wait()
		if ratio := float64(done["double"]) / float64(done["single"]); ratio < 1.8 || ratio > 2.2 {
			t.Errorf("weights 2 and 1 gave %v", done)
		}
	})
}

func TestTheImportantGoFirstAndTheLeastImportantAreShed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, s := newGate(1)
		gate.QueueLength = func(ident.Class) int { return 2 }
		var mu sync.Mutex
		var order []string
		var wg sync.WaitGroup
		send := func(name string, priority int) {
			wg.Go(func() {
				a := ask(s, ident.Customer(name))
				a.Priority = priority
				err := work(gate, s, a, time.Second)
				mu.Lock()
				defer mu.Unlock()
				order = append(order, fmt.Sprint(name, " ", result.Lookup(result.CodeOf(err)).Name))
			})
			time.Sleep(10 * time.Millisecond)
		}
		send("running", 0)
		send("batch-1", 1)
		send("batch-2", 1)
		send("urgent", 0) // sheds batch-2, the newest of the least important
		send("batch-3", 1)
		wg.Wait()
		want := []string{"batch-2 overloaded", "batch-3 overloaded", "running ok", "urgent ok", "batch-1 ok"}
		if diff := cmp.Diff(want, order); diff != "" {
			t.Errorf("order of answers (-want +got):\n%s", diff)
		}
	})
}

func TestWhatCannotFinishInTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, s := newGate(1)
		// It learns that a request takes two seconds.
		if err := work(gate, s, ask(s, "c"), 2*time.Second); err != nil {
			t.Fatal(err)
		}
		go func() { _ = work(gate, s, ask(s, "c"), 2*time.Second) }()
		time.Sleep(10 * time.Millisecond)
		for _, c := range []struct {
			name   string
			within time.Duration
			code   result.Code
		}{
			{"less than it takes", time.Second, result.DeadlineUnreachable},
			{"long enough", 10 * time.Second, result.OK},
		} {
			began := time.Now()
			a := ask(s, "c")
			a.Deadline = began.Add(c.within)
			err := work(gate, s, a, 2*time.Second)
			if code := result.CodeOf(err); code != c.code {
				t.Errorf("%s: code %d, want %d", c.name, code, c.code)
			}
			if took := time.Since(began); err != nil && took > 0 {
				t.Errorf("%s: refused only after %s", c.name, took)
			}
		}
	})
}

func TestACallerThatGoesAwayLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, s := newGate(1)
		go func() { _ = work(gate, s, ask(s, "c"), 5*time.Second) }()
		time.Sleep(time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if code := result.CodeOf(gate.Admit(ctx, ask(s, "c"))); code != result.Cancelled {
			t.Errorf("code %d", code)
		}
		if n := gate.Waiting("m"); n != 0 {
			t.Errorf("%d still wait", n)
		}
		time.Sleep(10 * time.Second)
		if n := s.count(); n != 1 {
			t.Errorf("%d slots are free, want 1", n)
		}
	})
}

// Goodput, answers within their deadline of four seconds, stays level when three times as much is offered as there is
// room for. Without a gate, which a deadline of an hour stands for, it falls to almost nothing.
func TestGoodputUnderOverload(t *testing.T) {
	const span, useful = 60 * time.Second, 4 * time.Second
	measure := func(load float64, told time.Duration) int {
		good := 0
		synctest.Test(t, func(*testing.T) {
			gate, s := newGate(4)
			gate.QueueLength = func(ident.Class) int { return 10_000 }
			var mu sync.Mutex
			var wg sync.WaitGroup
			gap := time.Duration(float64(250*time.Millisecond) / load)
			for sent := time.Duration(0); sent < span; sent += gap {
				wg.Go(func() {
					a := ask(s, "c")
					began := time.Now()
					a.Deadline = began.Add(told)
					if work(gate, s, a, time.Second) == nil && time.Since(began) <= useful {
						mu.Lock()
						defer mu.Unlock()
						good++
					}
				})
				time.Sleep(gap)
			}
			wg.Wait()
		})
		return good
	}
	full := measure(1, useful)
	for _, load := range []float64{0.5, 1, 2, 3} {
		gated, open := measure(load, useful), measure(load, time.Hour)
		t.Logf("offered %.1f times the capacity: %d answers in time, %d without a gate", load, gated, open)
		if load > 1 && (gated*10 < full*9 || open > gated) {
			t.Errorf("offered %.1f times the capacity: %d answers in time, %d at capacity, %d without a gate", load, gated, full, open)
		}
	}
}

// The shares that daemons may use at any moment never add up to more than the limit, also when the leader changes: the next
// one knows nothing of what the last one has granted.
func TestLeasedSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const life = time.Second
		limit := admission.Limit{Concurrent: rapid.IntRange(1, 20).Draw(t, "limit"), RequestsPerSecond: 100}
		names := []ident.Daemon{"a", "b", "c", "d"}
		now := time.Unix(1000, 0)
		allot := admission.NewAllotment(life)
		allot.Begin(now)
		held := map[ident.Daemon]admission.Share{}
		until := map[ident.Daemon]time.Time{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(t, "new leader") == 0 {
				allot = admission.NewAllotment(life)
				allot.Begin(now)
			}
			d := rapid.SampledFrom(names).Draw(t, "daemon")
			live := names[:rapid.IntRange(1, len(names)).Draw(t, "live")]
			allot.Report(d, []admission.Demand{{Customer: "c", Concurrent: rapid.IntRange(0, 30).Draw(t, "want"), Requests: rapid.IntRange(0, 50).Draw(t, "requests")}})
			if allot.MayGrant(now) {
				held[d], until[d] = allot.Grant(now, d, live, "c", limit), now.Add(life)
			}
			concurrent, rate := 0, 0.0
			for name, share := range held {
				if !now.After(until[name]) {
					concurrent += share.Concurrent
					rate += share.RequestsPerSecond
				}
			}
			if concurrent > limit.Concurrent || rate > limit.RequestsPerSecond*1.001 {
				t.Fatalf("shares add up to %d and %.1f a second, the limit is %d and %.1f", concurrent, rate, limit.Concurrent, limit.RequestsPerSecond)
			}
		}
	})
}

func TestSharesFollowDemand(t *testing.T) {
	allot := admission.NewAllotment(time.Second)
	now := time.Unix(1000, 0)
	live := []ident.Daemon{"a", "b", "c"}
	limit := admission.Limit{Concurrent: 12, RequestsPerSecond: 100}
	allot.Report("a", []admission.Demand{{Customer: "c", Concurrent: 30, Requests: 90}})
	allot.Report("b", []admission.Demand{{Customer: "c", Concurrent: 1, Requests: 10}})
	got := map[ident.Daemon]int{}
	for _, d := range live {
		got[d] = allot.Grant(now, d, live, "c", limit).Concurrent
	}
	if diff := cmp.Diff(map[ident.Daemon]int{"a": 9, "b": 2, "c": 1}, got); diff != "" {
		t.Errorf("places (-want +got):\n%s", diff)
	}
	fallback := limit.Fallback(3)
	if fallback.Concurrent != 4 || !fallback.Bounded {
		t.Errorf("without control: %+v", fallback)
	}
}
