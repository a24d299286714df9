package link_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/link"
	"github.com/dunlinquay/dunlinquay/result"
)

// A peer that is switched off does not answer SYN packets. The call must fail after DialTimeout, long before its own
// time-out, so that the caller can use another peer.
func TestDialTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := link.NewClient("peer", "Service")
		c.Dial = func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		start := time.Now()
		err := c.Call(t.Context(), 10*time.Second, "Method", &struct{}{}, &struct{}{})
		if code := result.CodeOf(err); code != result.DaemonUnreached {
			t.Errorf("code %d, want %d", code, result.DaemonUnreached)
		}
		if elapsed := time.Since(start); elapsed != link.DialTimeout {
			t.Errorf("call took %v, want %v", elapsed, link.DialTimeout)
		}
	})
}
