package relay_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/transport"
)

// closeCountingConn counts that it is closed after it was kept for another request.
type closeCountingConn struct {
	*keptConn
	closedAfterKept *atomic.Int64
}

func (c *closeCountingConn) Close() error {
	if c.isKept.Load() {
		c.closedAfterKept.Add(1)
	}
	return c.Conn.Close()
}

// A hedge whose whole answer has arrived has returned its connection, on which another request may be sent by then: it must not be closed when
// the caller disconnects at that moment.
func TestConnectionOfAnsweredHedgeIsNotClosed(t *testing.T) {
	var interruptions, closed atomic.Int64
	ctx, disconnect := context.WithCancel(t.Context())
	defer disconnect()
	kept := make(chan struct{})
	tcp := transport.TCP()
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := tcp(ctx, address)
		if err != nil {
			return nil, err
		}
		return &closeCountingConn{&keptConn{Conn: conn, interruptions: &interruptions, kept: func() {
			disconnect()
			// The server notices the disconnection in the background.
			time.Sleep(200 * time.Millisecond)
			close(kept)
		}}, &closed}, nil
	}
	silent := func(c net.Conn, _ *http.Request, _ int) bool { return stayOpenSilent(c) }
	s := newTestEntryWithDial(t, dial, []*upstream{newUpstream(t, silent), newUpstream(t, always(respondComplete))}, nil)
	s.relay.RandomInt = func(int) int { return 0 }
	resp, err := http.DefaultClient.Do(s.request("POST", "/safe/x", "a", "").WithContext(ctx))
	if err == nil {
		resp.Body.Close()
	}
	<-kept
	s.relay.Wait()
	if n := closed.Load(); n > 0 {
		t.Errorf("the kept connection was closed %d times", n)
	}
}
