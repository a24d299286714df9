package relay_test

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/result"
)

// busyGroupEntry starts an entry with one group, which prefills a prompt for longer than the gap aim of streams allows, and sends a second
// request. It returns once the second request has arrived at the group or has twice found no capacity.
func busyGroupEntry(t *testing.T) (s *testEntry, second chan reply, secondArrived *atomic.Bool, advance func(time.Duration), release func()) {
	t.Helper()
	return busyGroupEntryWithDeadline(t, "5000")
}

// busyGroupEntryWithDeadline is busyGroupEntry with a deadline in ms for the second request.
func busyGroupEntryWithDeadline(t *testing.T, deadline string) (s *testEntry, second chan reply, secondArrived *atomic.Bool, advance func(time.Duration), release func()) {
	t.Helper()
	hold := make(chan struct{})
	arrived := make(chan struct{}, 2)
	secondArrived = &atomic.Bool{}
	u := newUpstream(t, always(func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Request") == "second" {
			secondArrived.Store(true)
		}
		arrived <- struct{}{}
		<-hold
		return respondStream(c, r, 1, 2, true)
	}))
	s = newTestEntry(t, nil, []*upstream{u})
	cfg := timedConfig()
	cfg.Routes[2].MaxAttempts = 1
	s.relay.SetConfig(cfg)
	var skipped atomic.Int64
	s.relay.Now = func() time.Time { return time.Now().Add(time.Duration(skipped.Load())) }
	choices := make(chan struct{}, 1000)
	s.relay.RandomInt = func(int) int {
		choices <- struct{}{}
		return 0
	}
	var wg sync.WaitGroup
	send := func(id, tokens string) chan reply {
		r := s.request("POST", "/stream/x", id, "")
		r.Header.Set("Tokens", tokens)
		if id == "second" {
			r.Header.Set("Deadline", deadline)
		}
		got := make(chan reply, 1)
		wg.Go(func() { got <- s.do(r) })
		return got
	}
	release = sync.OnceFunc(func() { close(hold) })
	t.Cleanup(func() {
		release()
		wg.Wait()
	})
	send("first", "20000,10")
	<-arrived
	<-choices
	second = send("second", "500,10")
	for range 2 {
		select {
		case <-choices:
		case <-arrived:
		}
	}
	return s, second, secondArrived, func(d time.Duration) { skipped.Add(int64(d)) }, release
}

// A request that would make the event gaps of a group's streams too long waits at the entry until the group has capacity.
func TestRequestWaitsForCapacity(t *testing.T) {
	_, second, secondArrived, _, release := busyGroupEntry(t)
	sentEarly := secondArrived.Load()
	release()
	got := <-second
	if diff := cmp.Diff([]any{false, 200, true}, []any{sentEarly, got.Status, got.Complete}); diff != "" {
		t.Errorf("sent before there was capacity, status, complete answer (-want +got):\n%s", diff)
	}
}

// A request that finds no capacity within its aim of 2 s is refused as not run, with a Retry-After.
func TestRequestRefusedWithoutCapacity(t *testing.T) {
	s, second, secondArrived, advance, _ := busyGroupEntry(t)
	advance(2500 * time.Millisecond)
	got := <-second
	if diff := cmp.Diff([]any{503, false}, []any{got.Status, secondArrived.Load()}); diff != "" {
		t.Fatalf("status, sent (-want +got):\n%s", diff)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[0]
	if r.Code != result.Overloaded || r.RetryAfter <= 0 || len(r.Attempts) != 0 {
		t.Errorf("code %d, Retry-After %v, attempts %v; want code %d, a positive Retry-After and no attempt", r.Code, r.RetryAfter, r.Attempts, result.Overloaded)
	}
}

// A queued request is refused as soon as its deadline passes, even if its aim leaves more time to wait for capacity.
func TestQueuedRequestExpires(t *testing.T) {
	s, second, secondArrived, advance, _ := busyGroupEntryWithDeadline(t, "300")
	advance(400 * time.Millisecond)
	got := <-second
	if diff := cmp.Diff([]any{503, false}, []any{got.Status, secondArrived.Load()}); diff != "" {
		t.Fatalf("status, sent (-want +got):\n%s", diff)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[0]; len(r.Attempts) != 0 || r.Total > time.Second {
		t.Errorf("attempts %v after %v; want none, and a refusal at the deadline", r.Attempts, r.Total)
	}
}
