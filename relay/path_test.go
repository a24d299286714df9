package relay_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/dunlinquay/dunlinquay/transport"
)

// Guards against breaks of this entry's own path that count as crashes of the upstreams and quarantine what its callers asked for.
func TestLostPathIsNoCrash(t *testing.T) {
	playLostPath(t, false)
}

// Guards against the same while another service is still reached.
func TestLostPathToOneServiceIsNoCrash(t *testing.T) {
	playLostPath(t, true)
}

// playLostPath breaks the streams of one body at several upstreams when the path to the engines, or to all upstreams, is lost.
func playLostPath(t *testing.T, reachesPlain bool) {
	const requests = 4
	var lost atomic.Bool
	lose := make(chan struct{})
	arrived := make(chan struct{}, requests)
	var heads []*upstream
	for range requests {
		heads = append(heads, newUpstream(t, func(c net.Conn, r *http.Request, _ int) bool {
			if lost.Load() || r.Header.Get("Request") == "later" {
				return respondStream(c, r, 1, 2, true)
			}
			arrived <- struct{}{}
			<-lose
			return resetConn(c)
		}))
	}
	plain := []*upstream{newUpstream(t, respondKind)}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		if lost.Load() && (!reachesPlain || address != plain[0].address()) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
		}
		return transport.TCP()(ctx, address)
	}
	s := newTestEntryWithDial(t, dial, plain, heads)
	cfg := config()
	cfg.Services[1].Engine.Slots = 1
	cfg.Routes[2].MaxAttempts = 1
	s.relay.SetConfig(cfg)
	var wg sync.WaitGroup
	for i := range requests {
		wg.Go(func() { s.do(s.request("POST", "/stream/x", fmt.Sprint(i), "the same body")) })
		<-arrived
	}
	lost.Store(true)
	close(lose)
	wg.Wait()
	lost.Store(false)
	if got := s.do(s.request("POST", "/stream/x", "later", "the same body")); got.Status != http.StatusOK {
		t.Errorf("status %d after the path was lost and is back: %s", got.Status, got.Body)
	}
}
