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

// Guards against an engine that prefills less urgent prompts first because they have waited for longer or belong to the same customer.
func TestPrioritiesByUrgency(t *testing.T) {
	zero := 0
	for _, c := range []struct {
		name     string
		priority int
		customer *int
		delay    time.Duration
		want     string
	}{
		{"urgent", 1, nil, 0, "4"},
		{"urgent and delayed", 1, nil, 450 * time.Millisecond, "1"},
		{"urgent and late", 1, nil, 3 * time.Second, "6"},
		{"less urgent", 2, nil, 0, "6"},
		{"less urgent and delayed", 2, nil, 450 * time.Millisecond, "5"},
		{"less urgent and late", 2, nil, 3 * time.Second, "8"},
		{"urgent, of a customer with priority 0", 1, &zero, 0, "3"},
		{"less urgent, of a customer with priority 0", 2, &zero, 0, "5"},
		{"least urgent and late", 3, nil, 3 * time.Second, "9"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := make(chan string, 1)
			u := newUpstream(t, always(func(conn net.Conn, r *http.Request) bool {
				got <- r.Header.Get("Priority")
				return respondStream(conn, r, 3, 4, true)
			}))
			s := newTestEntry(t, nil, []*upstream{u})
			cfg := config()
			cfg.Routes[2].Priority, cfg.Routes[3].Priority = c.priority, 1
			if c.customer != nil {
				cfg.Customers[0].Priority, cfg.Customers[0].HasPriority = *c.customer, true
			}
			s.relay.SetConfig(cfg)
			start := time.Now()
			var clockReads atomic.Int64
			s.relay.Now = func() time.Time {
				if clockReads.Add(1) == 1 {
					return start
				}
				return start.Add(c.delay)
			}
			s.relay.SetConfirmed(start.Add(c.delay))
			s.do(s.request("POST", "/stream/x", "1", ""))
			if diff := cmp.Diff(c.want, <-got); diff != "" {
				t.Errorf("priority (-want +got):\n%s", diff)
			}
		})
	}
}
