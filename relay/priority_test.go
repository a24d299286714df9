package relay_test

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A request that is late in any case has a lower priority at the engine than one that can be in time.
func TestPriorities(t *testing.T) {
	for _, c := range []struct {
		name  string
		event string
		delay time.Duration
		want  string
	}{
		{"new", "", 0, "3"},
		{"delayed", "", 450 * time.Millisecond, "0"},
		{"past its aim", "", 3 * time.Second, "5"},
		{"resumed", "2", 0, "5"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := make(chan string, 1)
			u := newUpstream(t, always(func(conn net.Conn, r *http.Request) bool {
				got <- r.Header.Get("Priority")
				return respondStream(conn, r, 3, 4, true)
			}))
			s := newTestEntry(t, nil, []*upstream{u})
			// From the second reading of the clock on, the request is delayed.
			start := time.Now()
			var clockReads atomic.Int64
			s.relay.Now = func() time.Time {
				if clockReads.Add(1) == 1 {
					return start
				}
				return start.Add(c.delay)
			}
			s.relay.SetConfirmed(start.Add(c.delay))
			r := s.request("POST", "/stream/x", "1", "")
			r.Header.Set("Event", c.event)
			s.do(r)
			if diff := cmp.Diff(c.want, <-got); diff != "" {
				t.Errorf("priority (-want +got):\n%s", diff)
			}
		})
	}
}
