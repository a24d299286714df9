package dispatch_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/admission"
	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/dispatch"
	"github.com/dunlinquay/dunlinquay/engine"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

// requestedBackoff is the backoff that upstreams of these tests request.
const requestedBackoff = 3 * time.Second

// newServiceFixture returns a dispatcher with two workers, w0 and w1. Those in busy refuse calls and request backoff; arrivals receives
// the times of the calls at each worker.
func newServiceFixture(busy map[string]bool, arrivals map[string][]time.Duration) *fixture {
	f := newFixture()
	start := time.Now()
	f.Services = dispatch.NewServices(map[ident.Service]*dispatch.ServicePool{"s": dispatch.NewServicePool("s", []string{"w0", "w1"}, 4)})
	f.Services.Random = func(int) int { return 0 }
	f.Services.Send = func(_ context.Context, address string, _ *dispatch.Call) (*dispatch.Reply, error) {
		arrivals[address] = append(arrivals[address], time.Since(start))
		if busy[address] {
			return &dispatch.Reply{Status: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {"3"}}}, nil
		}
		return &dispatch.Reply{Status: http.StatusOK}, nil
	}
	f.Admission.Capacity = func(ident.Model) int { return 8 }
	return f
}

func (f *fixture) call(n int) (*dispatch.Reply, error) {
	return f.ServeCall(context.Background(), &dispatch.Call{
		ID: ident.Request(fmt.Sprint(n)), Customer: "c", Class: "interactive", Service: "s", Method: "GET", Path: "/", Repeatable: true,
		Deadline: time.Now().Add(10 * time.Second),
	})
}

// A worker that refuses a call with a Retry-After header gets no calls for that time; the other worker gets them.
func TestCallsAvoidWorkersInBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		busy, arrivals := map[string]bool{"w0": true}, map[string][]time.Duration{}
		f := newServiceFixture(busy, arrivals)
		for n := range 50 {
			if reply, err := f.call(n); n > 0 && (err != nil || reply.Status != http.StatusOK) {
				t.Errorf("call %d: %v", n, err)
			}
			time.Sleep(100 * time.Millisecond)
			busy["w0"] = n < 20
		}
		if len(arrivals["w0"]) < 2 || arrivals["w0"][1] < requestedBackoff {
			t.Errorf("worker w0, which requested a backoff of %v, got calls at %v", requestedBackoff, arrivals["w0"])
		}
	})
}

// If all workers requested backoff, a call is refused at once, with the time after which the first worker may be tried.
func TestCallsAreRefusedWhenAllWorkersAreInBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		arrivals := map[string][]time.Duration{}
		f := newServiceFixture(map[string]bool{"w0": true, "w1": true}, arrivals)
		for n := range 2 {
			if _, err := f.call(n); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		_, err := f.call(2)
		retryAfter := admission.RetryAfter(err)
		if result.CodeOf(err) != result.BackedOff || retryAfter < time.Second || retryAfter > 3*time.Second/2 {
			t.Errorf("got error %v with retry after %v, want code %d and 1 to 1.5 s", err, retryAfter, result.BackedOff)
		}
		if len(arrivals["w0"])+len(arrivals["w1"]) != 2 {
			t.Errorf("workers got calls at %v, want one call each", arrivals)
		}
	})
}

// The head of a group that refuses a request and requests backoff gets no requests for that time.
func TestRequestsAvoidHeadsInBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.restartUpstreams("life")
		start := time.Now()
		var arrivals []time.Duration
		generate := f.Generate
		f.Generate = func(ctx context.Context, address string, g *engine.GenerateRequest) (*engine.Stream, error) {
			if address == "head-0" {
				arrivals = append(arrivals, time.Since(start))
			}
			if address == "head-0" && time.Since(start) < 2*time.Second {
				return nil, backoff.NewRefusal(result.New(result.UpstreamNotRun, "no capacity"), requestedBackoff)
			}
			return generate(ctx, address, g)
		}
		for range 100 {
			f.behaviors = append(f.behaviors, behavior{cutAfter: -1})
		}
		for n := range 50 {
			f.observeMembers()
			if _, err := f.Serve(t.Context(), f.request(), nil); err != nil {
				t.Errorf("request %d: %v", n, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if len(arrivals) < 2 || arrivals[1] < requestedBackoff {
			t.Errorf("head-0, which requested a backoff of %v, got requests at %v", requestedBackoff, arrivals)
		}
	})
}

// A worker that refuses the probe after its backoff, without a new Retry-After header, is probed again with one call. It does not count
// as available.
func TestRefusalDoesNotEndBackoffProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFixture(map[string]bool{}, map[string][]time.Duration{})
		sendRetryAfter := true
		f.Services.Pools["s"] = dispatch.NewServicePool("s", []string{"w0"}, 4)
		f.Services.Send = func(context.Context, string, *dispatch.Call) (*dispatch.Reply, error) {
			reply := &dispatch.Reply{Status: http.StatusServiceUnavailable}
			if sendRetryAfter {
				reply.Header = http.Header{"Retry-After": {"1"}}
			}
			return reply, nil
		}
		_, _ = f.call(0)
		sendRetryAfter = false
		time.Sleep(2 * time.Second)
		_, _ = f.call(1)
		if state := f.Services.Backoff.StateOf(f.Now(), "w0"); !state.Requested {
			t.Errorf("backoff state of w0 is %+v, want a requested backoff whose probe is still due", state)
		}
	})
}

// An unreachable worker may be tried again after a second. Beside a worker with a longer backoff, that decides the retry time.
func TestRetryAfterCountsUnreachableWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFixture(map[string]bool{"w0": true}, map[string][]time.Duration{})
		send := f.Services.Send
		f.Services.Send = func(ctx context.Context, address string, c *dispatch.Call) (*dispatch.Reply, error) {
			if address == "w1" {
				return nil, result.New(result.NeverSent, "injected failure")
			}
			return send(ctx, address, c)
		}
		_, _ = f.call(0)
		_, err := f.call(1)
		if retryAfter := admission.RetryAfter(err); result.CodeOf(err) != result.BackedOff || retryAfter > 3*time.Second/2 {
			t.Errorf("got error %v with retry after %v, want code %d and at most 1.5 s", err, retryAfter, result.BackedOff)
		}
	})
}
