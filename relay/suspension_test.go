package relay_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/result"
)

// suspendableClock is the clock of a VM that can be suspended.
type suspendableClock struct {
	startedAt    time.Time
	suspendedFor time.Duration
}

func (s *suspendableClock) clock() *clock.Clock {
	read := func() clock.Reading {
		now := time.Now()
		return clock.Reading{Time: now, Steady: now.Sub(s.startedAt), Day: now.Add(s.suspendedFor)}
	}
	return clock.New(read, func() time.Duration { return s.suspendedFor })
}

// An entry that was suspended for longer than keys are valid rejects keys confirmed before the suspension, since a key may have been revoked
// meanwhile.
func TestSuspendedEntryRejectsLapsedKeys(t *testing.T) {
	vm := &suspendableClock{startedAt: time.Now()}
	u := newUpstream(t, always(respondComplete))
	s := newTestEntry(t, []*upstream{u}, nil)
	s.relay.Now = vm.clock().Now
	s.relay.SetConfirmed(s.relay.Now())
	if got := s.do(s.request("POST", "/safe/x", "before", "")); got.Status != http.StatusOK {
		t.Fatalf("status %d before the suspension", got.Status)
	}
	vm.suspendedFor = 5 * time.Second
	if got := s.do(s.request("POST", "/safe/x", "after", "")); got.Status != http.StatusServiceUnavailable {
		t.Errorf("status %d after a suspension longer than the validity of keys, want 503", got.Status)
	}
	s.relay.Wait()
	if got := s.records[len(s.records)-1].Code; got != result.ControlUnreachable {
		t.Errorf("code %d, want %d", got, result.ControlUnreachable)
	}
	if n := len(u.received()); n != 1 {
		t.Errorf("%d requests reached the upstream, want the one before the suspension", n)
	}
	s.relay.SetConfirmed(s.relay.Now())
	if got := s.do(s.request("POST", "/safe/x", "informed", "")); got.Status != http.StatusOK {
		t.Errorf("status %d after a new confirmation, want 200", got.Status)
	}
}
