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

// asksFor is how long upstreams of these tests ask for.
const asksFor = 3 * time.Second

// callBench is a dispatcher before two workers, of which those that are busy turn calls away and ask for time.
func callBench(busy map[string]bool, reached map[string][]time.Duration) *bench {
	b := newBench()
	began := time.Now()
	b.Services = dispatch.NewServices(map[ident.Service]*dispatch.ServicePool{"s": dispatch.NewPool("s", []string{"w0", "w1"}, 4)})
	b.Services.Random = func(int) int { return 0 }
	b.Services.Send = func(_ context.Context, address string, _ *dispatch.Call) (*dispatch.Reply, error) {
		reached[address] = append(reached[address], time.Since(began))
		if busy[address] {
			return &dispatch.Reply{Status: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {"3"}}}, nil
		}
		return &dispatch.Reply{Status: http.StatusOK}, nil
	}
	b.Gate.Capacity = func(ident.Model) int { return 8 }
	return b
}

func (b *bench) call(n int) (*dispatch.Reply, error) {
	return b.ServeCall(context.Background(), &dispatch.Call{
		ID: ident.Request(fmt.Sprint(n)), Customer: "c", Class: "interactive", Service: "s", Method: "GET", Path: "/", Repeatable: true,
		Deadline: time.Now().Add(10 * time.Second),
	})
}

// A worker that turned a call away with the time for which it wants nothing is reached by none in that time; calls go to the others.
func TestCallsKeepAwayFromWorkersThatAskForTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		busy, reached := map[string]bool{"w0": true}, map[string][]time.Duration{}
		b := callBench(busy, reached)
		for n := range 50 {
			if reply, err := b.call(n); n > 0 && (err != nil || reply.Status != http.StatusOK) {
				t.Errorf("call %d: %v", n, err)
			}
			time.Sleep(100 * time.Millisecond)
			busy["w0"] = n < 20
		}
		if len(reached["w0"]) < 2 || reached["w0"][1] < asksFor {
			t.Errorf("the worker that asked for %v was reached after %v", asksFor, reached["w0"])
		}
	})
}

// Where all workers asked for time, a call is refused at once, with when the first of them may be tried.
func TestCallsAreRefusedWhereAllAskForTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reached := map[string][]time.Duration{}
		b := callBench(map[string]bool{"w0": true, "w1": true}, reached)
		for n := range 2 {
			if _, err := b.call(n); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		_, err := b.call(2)
		after := admission.RetryAfter(err)
		if result.CodeOf(err) != result.BackedOff || after < time.Second || after > 3*time.Second/2 {
			t.Errorf("got %v, to come back after %v, want code %d and 1 to 1.5 s", err, after, result.BackedOff)
		}
		if len(reached["w0"])+len(reached["w1"]) != 2 {
			t.Errorf("reached after %v, want each once", reached)
		}
	})
}

// The head of a group that turned a request away with the time for which it wants nothing gets none in that time, then one by one.
func TestRequestsKeepAwayFromHeadsThatAskForTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.renew("life")
		began := time.Now()
		var reached []time.Duration
		generate := b.Generate
		b.Generate = func(ctx context.Context, address string, g *engine.Generate) (*engine.Stream, error) {
			if address == "head-0" {
				reached = append(reached, time.Since(began))
			}
			if address == "head-0" && time.Since(began) < 2*time.Second {
				return nil, backoff.NewRefusal(result.New(result.UpstreamNotRun, "no room"), asksFor)
			}
			return generate(ctx, address, g)
		}
		for range 100 {
			b.deeds = append(b.deeds, deed{cut: -1})
		}
		for n := range 50 {
			b.see()
			if _, err := b.Serve(t.Context(), b.request(), nil); err != nil {
				t.Errorf("request %d: %v", n, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
		if len(reached) < 2 || reached[1] < asksFor {
			t.Errorf("the head that asked for %v was reached after %v", asksFor, reached)
		}
	})
}

// A worker that is tried after its time and turns the call away without naming another is tried singly again, not taken for one that
// works.
func TestARefusalEndsNoTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := callBench(map[string]bool{}, map[string][]time.Duration{})
		asks := true
		b.Services.Pools["s"] = dispatch.NewPool("s", []string{"w0"}, 4)
		b.Services.Send = func(context.Context, string, *dispatch.Call) (*dispatch.Reply, error) {
			r := &dispatch.Reply{Status: http.StatusServiceUnavailable}
			if asks {
				r.Header = http.Header{"Retry-After": {"1"}}
			}
			return r, nil
		}
		_, _ = b.call(0)
		asks = false
		time.Sleep(2 * time.Second)
		_, _ = b.call(1)
		if s := b.Services.Backoff.StateOf(b.Now(), "w0"); !s.Requested {
			t.Errorf("%+v, want one that is still to be tried", s)
		}
	})
}

// Beside a worker that asked for a minute one that can't be reached is tried again after a second: that is when to come back.
func TestTheTimeToComeBackCountsTheUnreached(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := callBench(map[string]bool{"w0": true}, map[string][]time.Duration{})
		send := b.Services.Send
		b.Services.Send = func(ctx context.Context, address string, c *dispatch.Call) (*dispatch.Reply, error) {
			if address == "w1" {
				return nil, result.New(result.NeverSent, "told to")
			}
			return send(ctx, address, c)
		}
		_, _ = b.call(0)
		_, err := b.call(1)
		if after := admission.RetryAfter(err); result.CodeOf(err) != result.BackedOff || after > 3*time.Second/2 {
			t.Errorf("got %v, to come back after %v, want code %d and 1.5 s at most", err, after, result.BackedOff)
		}
	})
}
