package relay_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/dunlinquay/dunlinquay/relay"
)

// Each observation counts the events since the previous one, and no event twice.
func TestObservationsCountEventGaps(t *testing.T) {
	head := newUpstream(t, always(func(c net.Conn, r *http.Request) bool { return respondStream(c, r, 1, 5, true) }))
	s := newTestEntry(t, nil, []*upstream{head})
	if got := s.do(s.request("POST", "/stream/x", "1", "")); !got.Complete {
		t.Fatalf("no complete answer: %+v", got)
	}
	collect := func() relay.Observation {
		seen, _ := s.relay.CollectObservations()
		if len(seen) != 1 {
			t.Fatalf("%d upstreams observed, want 1", len(seen))
		}
		return seen[0]
	}
	// Only the four events after the first one have an event gap.
	if got := collect(); got.Events != 4 || got.Pauses <= 0 {
		t.Errorf("%d events with gaps of %v in total, want 4 events with gaps", got.Events, got.Pauses)
	}
	if got := collect(); got.Events != 0 || got.Pauses != 0 {
		t.Errorf("second observation: %d events with gaps of %v in total, want none", got.Events, got.Pauses)
	}
}
