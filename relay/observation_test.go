package relay_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/dunlinquay/dunlinquay/relay"
)

// The leader is told of the events that came since it was told last, once.
func TestObservationsCountEventGaps(t *testing.T) {
	head := newUpstream(t, always(func(c net.Conn, r *http.Request) bool { return respondStream(c, r, 1, 5, true) }))
	s := newTestEntry(t, nil, []*upstream{head})
	if got := s.do(s.request("POST", "/stream/x", "1", "")); !got.Complete {
		t.Fatalf("no whole answer: %+v", got)
	}
	collect := func() relay.Observation {
		seen, _ := s.relay.CollectObservations()
		if len(seen) != 1 {
			t.Fatalf("%d upstreams were seen", len(seen))
		}
		return seen[0]
	}
	// The first event comes after a wait, the four others after pauses.
	if got := collect(); got.Events != 4 || got.Pauses <= 0 {
		t.Errorf("%d events with %v of pauses, want 4 events", got.Events, got.Pauses)
	}
	if got := collect(); got.Events != 0 || got.Pauses != 0 {
		t.Errorf("told again: %d events with %v of pauses", got.Events, got.Pauses)
	}
}
