package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/sharing"
)

// The headers of an answer say whether its connection can be reused, and for how long: a connection that is about to be closed is not.
func TestConnectionReuseFollowsAnswerHeaders(t *testing.T) {
	for _, tt := range []struct {
		name, header string
		// idle is the time between the first answer and the second request.
		idle time.Duration
		kept bool
	}{
		{"no header", "X: y", 2 * time.Second, true},
		{"close", "Connection: close", 0, false},
		{"timeout of two seconds, used after one", "Keep-Alive: timeout=2", time.Second, true},
		{"timeout of two seconds, used shortly before", "Keep-Alive: timeout=2", 1500 * time.Millisecond, false},
		{"another parameter", "Keep-Alive: max=9, timeout=1", time.Second, false},
		{"unreadable", "Keep-Alive: timeout=soon", 2 * time.Second, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			vm := &suspendableClock{startedAt: time.Now()}
			var mu sync.Mutex
			conns := map[net.Conn]bool{}
			u := newUpstream(t, always(func(conn net.Conn, r *http.Request) bool {
				mu.Lock()
				conns[conn] = true
				mu.Unlock()
				body := "answer to " + r.Header.Get("Request")
				_, err := io.WriteString(conn, answerHead(r, 200, signature, tt.header, fmt.Sprintf("Content-Length: %d", len(body)))+body)
				return err == nil
			}))
			s := newTestEntry(t, []*upstream{u}, nil)
			s.relay.Now = vm.clock().Now
			for n := range 2 {
				s.relay.SetConfirmed(s.relay.Now())
				if got := s.do(s.request("POST", "/safe/x", fmt.Sprint(n), "")); got.Status != http.StatusOK {
					t.Fatalf("status %d", got.Status)
				}
				vm.suspendedFor = tt.idle
			}
			mu.Lock()
			defer mu.Unlock()
			if kept := len(conns) == 1; kept != tt.kept {
				t.Errorf("%d connections for two requests, kept want %t", len(conns), tt.kept)
			}
		})
	}
}

// A head that names a faulty member did not run the request: another group does, and the member is reported to the leader.
func TestBlamedMemberIsReported(t *testing.T) {
	blaming := newUpstream(t, always(func(c net.Conn, r *http.Request) bool {
		_, err := io.WriteString(c, answerHead(r, 503, "Not-Run: 1", "Blamed: m1", "Content-Length: 0"))
		return err == nil
	}))
	healthy := newUpstream(t, always(func(c net.Conn, r *http.Request) bool { return respondStream(c, r, 1, 2, true) }))
	s := newTestEntry(t, nil, []*upstream{blaming, healthy})
	s.relay.RandomInt = func(int) int { return 0 } // prefer the first of equal targets
	for n := range 8 {
		if got := s.do(s.request("POST", "/stream/x", fmt.Sprint(n), "")); got.Status != http.StatusOK || !got.Complete {
			t.Errorf("request %d: %+v", n, got)
		}
	}
	observations, _ := s.relay.CollectObservations()
	blamed := map[ident.Incarnation]string{}
	for _, observation := range observations {
		blamed[observation.ID] = observation.Blamed
	}
	if blamed["h0"] != "m1" || blamed["h1"] != "" {
		t.Errorf("blamed members %v, want m1 by h0", blamed)
	}
	if n := len(blaming.received()); n != 1 {
		t.Errorf("%d requests reached the group with a faulty member, want 1", n)
	}
}

// An upstream accepts a maximum of connections from all entries together and resets any more: after a burst, an entry keeps its share of
// those that are not in use.
func TestIdleConnectionsAreBoundedByUpstream(t *testing.T) {
	const burst = 12
	for _, tt := range []struct {
		name                    string
		maxConnections, entries int
		want                    int
	}{
		{"no maximum", 0, 2, burst},
		{"high maximum", 1000, 2, burst},
		{"low maximum", 30, 2, 3},
		{"less than one per entry", 25, 60, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			allArrived := make(chan struct{})
			u := newUpstream(t, func(conn net.Conn, r *http.Request, n int) bool {
				if n == burst {
					close(allArrived)
				}
				<-allArrived
				return respondComplete(conn, r)
			})
			s := newTestEntry(t, []*upstream{u}, nil)
			cfg := config()
			cfg.Services[0].MaxConnections = tt.maxConnections
			s.relay.SetConfig(cfg)
			s.relay.Budget.SetEntries(tt.entries)
			s.relay.ApplyRoster(&roster.Delta{Full: true, Revision: 2, Upstreams: []roster.Upstream{
				{ID: "p0", Service: "plain", Address: u.address(), Slots: burst},
			}})
			var wg sync.WaitGroup
			for n := range burst {
				wg.Go(func() { s.do(s.request("POST", "/unsafe/x", fmt.Sprint(n), "")) })
			}
			wg.Wait()
			if got := relay.IdleConnections(s.relay, u.address()); got != tt.want {
				t.Errorf("%d connections kept, want %d", got, tt.want)
			}
		})
	}
}

// When there are more entries than idle connections that an upstream accepts, only some entries keep one: one for each of 60 entries
// would be more than twice as many as accepted.
func TestIdleConnectionsOfManyEntries(t *testing.T) {
	const entries, upstreams = 60, 40
	var names []string
	for n := range entries {
		names = append(names, fmt.Sprintf("10.1.0.%d:7400", n))
	}
	u := newUpstream(t, func(conn net.Conn, r *http.Request, _ int) bool { return respondComplete(conn, r) })
	s := newTestEntry(t, []*upstream{u}, nil)
	cfg := config()
	cfg.Services[0].MaxConnections = 25
	s.relay.SetConfig(cfg)
	s.relay.Budget.SetEntries(entries)
	s.relay.SetEntries(sharing.New(names[7], map[ident.Hall][]string{"one": names}))
	kept := 0
	for n := range upstreams {
		s.relay.ApplyRoster(&roster.Delta{Full: true, Revision: roster.Revision(n + 2), Upstreams: []roster.Upstream{
			{ID: ident.Incarnation(fmt.Sprintf("p%d", n)), Service: "plain", Address: u.address(), Slots: 2},
		}})
		relay.CloseIdleConnections(s.relay)
		s.do(s.request("POST", "/unsafe/x", "x", ""))
		kept += relay.IdleConnections(s.relay, u.address())
	}
	// 22 of 25 connections are left for 60 entries.
	if expected := upstreams * 22 / entries; kept < expected/2 || kept > expected*2 {
		t.Errorf("this entry keeps a connection to %d of %d upstreams, want about %d", kept, upstreams, expected)
	}
}

// An upstream that accepts fewer connections than it has slots gets no more concurrent requests than connections, counting those of this
// entry and of the others.
func TestConcurrentRequestsAreBoundedByConnections(t *testing.T) {
	const maxConnections, slots, others = 6, 12, 2
	arrived, release := make(chan struct{}, 2*slots), make(chan struct{})
	u := newUpstream(t, func(conn net.Conn, r *http.Request, _ int) bool {
		arrived <- struct{}{}
		<-release
		return respondComplete(conn, r)
	})
	s := newTestEntry(t, []*upstream{u}, nil)
	cfg := config()
	cfg.Services[0].MaxConnections = maxConnections
	s.relay.SetConfig(cfg)
	s.relay.ApplyRoster(&roster.Delta{Full: true, Revision: 2, Upstreams: []roster.Upstream{
		{ID: "p0", Service: "plain", Address: u.address(), Slots: slots},
	}})
	s.relay.SetPeerCounts(map[ident.Incarnation]int{"p0": others})
	var first, rest sync.WaitGroup
	for n := range maxConnections - others {
		first.Go(func() { s.do(s.request("POST", "/unsafe/x", fmt.Sprint(n), "")) })
		<-arrived
	}
	for n := range slots {
		rest.Go(func() {
			r := s.request("POST", "/unsafe/x", fmt.Sprint(slots+n), "")
			r.Header.Set("Deadline", "200")
			s.do(r)
		})
	}
	rest.Wait()
	if n := len(arrived); n > 0 {
		t.Errorf("%d requests more than %d, in addition to %d of other entries, reached an upstream that accepts %d connections", n, maxConnections-others, others, maxConnections)
	}
	close(release)
	first.Wait()
}
