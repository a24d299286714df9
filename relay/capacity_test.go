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

// busyGroupEntry is a site with one group that reads a prompt which takes longer than streams there may pause, and a second request.
// It returns once the second one is at the group, or was twice found no room for.
func busyGroupEntry(t *testing.T) (s *testEntry, second chan reply, secondArrived *atomic.Bool, advance func(time.Duration), release func()) {
	t.Helper()
	return busyGroupEntryWithDeadline(t, "5000")
}

// busyGroupEntryWithDeadline is crowded with a caller of the second request that waits for so many ms.
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
	cfg.Routes[2].Attempts = 1
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

// A request that would make the pauses of a group's streams too long waits at the entry until there is room.
func TestRequestWaitsForCapacity(t *testing.T) {
	_, second, secondArrived, _, release := busyGroupEntry(t)
	sentEarly := secondArrived.Load()
	release()
	got := <-second
	if diff := cmp.Diff([]any{false, 200, true}, []any{sentEarly, got.Status, got.Complete}); diff != "" {
		t.Errorf("sent before there was room, status, whole (-want +got):\n%s", diff)
	}
}

// One that finds none within its aim of two seconds is refused as not run, and told to come back.
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
		t.Errorf("code %d, to come back after %v, tries %v; want code %d, a time and no try", r.Code, r.RetryAfter, r.Attempts, result.Overloaded)
	}
}

// A request whose time is up while it waits is refused at once, however long it could still wait for room.
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
		t.Errorf("tries %v after %v; want none, and an answer when the time is up", r.Attempts, r.Total)
	}
}
