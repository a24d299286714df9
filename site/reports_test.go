package site_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/site"
)

// Reports that arrive during a call are sent together in the next one; each is acknowledged only when the leader has
// it.
func TestReportsAreForwardedInBatches(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		took time.Duration
		code result.Code
	}{
		{"the leader accepts them", nil, 100 * time.Millisecond, result.OK},
		{"the leader refuses", result.New(result.NoLeader, "none"), 100 * time.Millisecond, result.NoLeader},
		{"the leader does not answer", nil, time.Hour, result.DaemonUnreached},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := context.WithCancel(t.Context())
				calls, forwarded := 0, 0
				q := site.NewReportForwarder(func(ctx context.Context, list []*roster.Report) (string, error) {
					calls++
					forwarded += len(list)
					timer := time.NewTimer(c.took)
					defer timer.Stop()
					select {
					case <-timer.C:
					case <-ctx.Done():
					}
					return "leader", c.err
				})
				go q.Run(ctx)
				const reports = 200
				var wg sync.WaitGroup
				for i := range reports {
					wg.Go(func() {
						ctx, cancel := context.WithTimeout(ctx, time.Second)
						defer cancel()
						r := &roster.Report{Upstream: roster.Upstream{ID: ident.Incarnation(strconv.Itoa(i))}}
						address, err := q.Submit(ctx, r)
						if got := result.CodeOf(err); got != c.code {
							t.Errorf("code %d, want %d", got, c.code)
						}
						if c.code == result.OK && address != "leader" {
							t.Errorf("address %q", address)
						}
					})
				}
				wg.Wait()
				if c.took < time.Second && (forwarded != reports || calls > 3) {
					t.Errorf("%d reports in %d calls, want %d in 3 at most", forwarded, calls, reports)
				}
				end()
				synctest.Wait()
			})
		})
	}
}
