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
func busyGroupEntry(t *testing.T) (s *testEntry, second chan reply, reached *atomic.Bool, elapse func(time.Duration), release func()) {
	t.Helper()
	return busyGroupEntryWithDeadline(t, "5000")
}

// busyGroupEntryWithDeadline is crowded with a caller of the second request that waits for so many ms.
func busyGroupEntryWithDeadline(t *testing.T, deadline string) (s *testEntry, second chan reply, reached *atomic.Bool, elapse func(time.Duration), release func()) {
	t.Helper()
	held := make(chan struct{})
	arrived := make(chan struct{}, 2)
	reached = &atomic.Bool{}
	u := newUpstream(t, always(func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Request") == "second" {
			reached.Store(true)
		}
		arrived <- struct{}{}
		<-held
		return respondStream(c, r, 1, 2, true)
	}))
	s = newTestEntry(t, nil, []*upstream{u})
	cfg := timedConfig()
	cfg.Routes[2].Attempts = 1
	s.relay.SetConfig(cfg)
	var skipped atomic.Int64
	s.relay.Now = func() time.Time { return time.Now().Add(time.Duration(skipped.Load())) }
	looks := make(chan struct{}, 1000)
	s.relay.RandomInt = func(int) int {
		looks <- struct{}{}
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
	release = sync.OnceFunc(func() { close(held) })
	t.Cleanup(func() {
		release()
		wg.Wait()
	})
	send("first", "20000,10")
	<-arrived
	<-looks
	second = send("second", "500,10")
	for range 2 {
		select {
		case <-looks:
		case <-arrived:
		}
	}
	return s, second, reached, func(d time.Duration) { skipped.Add(int64(d)) }, release
}

// A request that would make the pauses of a group's streams too long waits at the entry until there is room.
func TestARequestWaitsForRoom(t *testing.T) {
	_, second, reached, _, release := busyGroupEntry(t)
	early := reached.Load()
	release()
	got := <-second
	if diff := cmp.Diff([]any{false, 200, true}, []any{early, got.Status, got.Complete}); diff != "" {
		t.Errorf("sent before there was room, status, whole (-want +got):\n%s", diff)
	}
}

// One that finds none within its aim of two seconds is refused as not run, and told to come back.
func TestARequestThatFindsNoRoom(t *testing.T) {
	s, second, reached, elapse, _ := busyGroupEntry(t)
	elapse(2500 * time.Millisecond)
	got := <-second
	if diff := cmp.Diff([]any{503, false}, []any{got.Status, reached.Load()}); diff != "" {
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
func TestARequestWhoseTimeIsUpWhileItWaits(t *testing.T) {
	s, second, reached, elapse, _ := busyGroupEntryWithDeadline(t, "300")
	elapse(400 * time.Millisecond)
	got := <-second
	if diff := cmp.Diff([]any{503, false}, []any{got.Status, reached.Load()}); diff != "" {
		t.Fatalf("status, sent (-want +got):\n%s", diff)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[0]; len(r.Attempts) != 0 || r.Total > time.Second {
		t.Errorf("tries %v after %v; want none, and an answer when the time is up", r.Attempts, r.Total)
	}
}
