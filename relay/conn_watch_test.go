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

// keptConn calls kept when its deadline is removed, before it is kept for another request, and counts the interruptions after that.
type keptConn struct {
	net.Conn
	kept          func()
	isKept        atomic.Bool
	interruptions *atomic.Int64
}

func (c *keptConn) SetDeadline(t time.Time) error {
	switch {
	case t.IsZero():
		c.isKept.Store(true)
		c.kept()
	case c.isKept.Load() && t.Before(time.Now()):
		c.interruptions.Add(1)
	}
	return c.Conn.SetDeadline(t)
}

// A caller that disconnects at the end of its answer must not interrupt the connection to the upstream, on which another request may be sent
// by then.
func TestKeptConnectionIsNotInterrupted(t *testing.T) {
	var interruptions atomic.Int64
	ctx, disconnect := context.WithCancel(t.Context())
	defer disconnect()
	kept := make(chan struct{})
	tcp := transport.TCP()
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := tcp(ctx, address)
		if err != nil {
			return nil, err
		}
		return &keptConn{Conn: conn, interruptions: &interruptions, kept: func() {
			disconnect()
			// The server notices the disconnection in the background.
			time.Sleep(200 * time.Millisecond)
			close(kept)
		}}, nil
	}
	u := newUpstream(t, always(respondComplete))
	s := newTestEntryWithDial(t, dial, []*upstream{u}, nil)
	resp, err := http.DefaultClient.Do(s.request("POST", "/safe/x", "a", "").WithContext(ctx))
	if err == nil {
		resp.Body.Close()
	}
	<-kept
	s.relay.Wait()
	if n := interruptions.Load(); n > 0 {
		t.Errorf("the kept connection was interrupted %d times", n)
	}
}
