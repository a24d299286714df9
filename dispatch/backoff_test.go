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

// requestedBackoff is how long upstreams of these tests ask for.
const requestedBackoff = 3 * time.Second

// newServiceFixture is a dispatcher before two workers, of which those that are busy turn calls away and ask for time.
func newServiceFixture(busy map[string]bool, arrivals map[string][]time.Duration) *fixture {
	f := newFixture()
	start := time.Now()
	f.Services = dispatch.NewServices(map[ident.Service]*dispatch.ServicePool{"s": dispatch.NewPool("s", []string{"w0", "w1"}, 4)})
	f.Services.Random = func(int) int { return 0 }
	f.Services.Send = func(_ context.Context, address string, _ *dispatch.Call) (*dispatch.Reply, error) {
		arrivals[address] = append(arrivals[address], time.Since(start))
		if busy[address] {
			return &dispatch.Reply{Status: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {"3"}}}, nil
		}
		return &dispatch.Reply{Status: http.StatusOK}, nil
	}
	f.Gate.Capacity = func(ident.Model) int { return 8 }
	return f
}

func (f *fixture) call(n int) (*dispatch.Reply, error) {
	return f.ServeCall(context.Background(), &dispatch.Call{
		ID: ident.Request(fmt.Sprint(n)), Customer: "c", Class: "interactive", Service: "s", Method: "GET", Path: "/", Repeatable: true,
		Deadline: time.Now().Add(10 * time.Second),
	})
}

// A worker that turned a call away with the time for which it wants nothing is reached by none in that time; calls go to the others.
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
			t.Errorf("the worker that asked for %v was reached after %v", requestedBackoff, arrivals["w0"])
		}
	})
}

// Where all workers asked for time, a call is refused at once, with when the first of them may be tried.
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
			t.Errorf("got %v, to come back after %v, want code %d and 1 to 1.5 s", err, retryAfter, result.BackedOff)
		}
		if len(arrivals["w0"])+len(arrivals["w1"]) != 2 {
			t.Errorf("reached after %v, want each once", arrivals)
		}
	})
}

// The head of a group that turned a request away with the time for which it wants nothing gets none in that time, then one by one.
func TestRequestsAvoidHeadsInBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture()
		f.restartUpstreams("life")
		start := time.Now()
		var arrivals []time.Duration
		generate := f.Generate
		f.Generate = func(ctx context.Context, address string, g *engine.Generate) (*engine.Stream, error) {
			if address == "head-0" {
				arrivals = append(arrivals, time.Since(start))
			}
			if address == "head-0" && time.Since(start) < 2*time.Second {
				return nil, backoff.NewRefusal(result.New(result.UpstreamNotRun, "no room"), requestedBackoff)
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
			t.Errorf("the head that asked for %v was reached after %v", requestedBackoff, arrivals)
		}
	})
}

// A worker that is tried after its time and turns the call away without naming another is tried singly again, not taken for one that
// works.
func TestRefusalDoesNotEndBackoffProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFixture(map[string]bool{}, map[string][]time.Duration{})
		sendRetryAfter := true
		f.Services.Pools["s"] = dispatch.NewPool("s", []string{"w0"}, 4)
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
			t.Errorf("%+v, want one that is still to be tried", state)
		}
	})
}

// Beside a worker that asked for a minute one that can't be reached is tried again after a second: that is when to come back.
func TestRetryAfterCountsUnreachableWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newServiceFixture(map[string]bool{"w0": true}, map[string][]time.Duration{})
		send := f.Services.Send
		f.Services.Send = func(ctx context.Context, address string, c *dispatch.Call) (*dispatch.Reply, error) {
			if address == "w1" {
				return nil, result.New(result.NeverSent, "told to")
			}
			return send(ctx, address, c)
		}
		_, _ = f.call(0)
		_, err := f.call(1)
		if retryAfter := admission.RetryAfter(err); result.CodeOf(err) != result.BackedOff || retryAfter > 3*time.Second/2 {
			t.Errorf("got %v, to come back after %v, want code %d and 1.5 s at most", err, retryAfter, result.BackedOff)
		}
	})
}
