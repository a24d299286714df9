package relay_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/relay"
)

// Requests that can't continue at another upstream are reported, so that the leader does not dissolve their group.
func TestPinnedRequestsAreReported(t *testing.T) {
	for _, c := range []struct {
		name, path string
		new        bool
		want       int
	}{
		{"a stream that can be resumed", "/stream/x", false, 0},
		{"a stream that must not be repeated", "/once/x", false, 1},
		{"an entry without a retry budget", "/stream/x", true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			head := newUpstream(t, func(c net.Conn, r *http.Request, _ int) bool {
				respondStream(c, r, 1, 3, false)
				return stayOpenSilent(c)
			})
			s := newTestEntry(t, nil, []*upstream{head})
			if c.new {
				s.relay.Budget = relay.NewRetryBudget(relay.RetryBudgetRule{Ratio: 0.2, Window: 10 * time.Second, Allowance: 100})
				s.relay.Budget.StartedAt = time.Now()
			}
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go s.do(s.request("POST", c.path, "a", "").WithContext(ctx))
			awaitCondition(t, func() bool { return s.relay.Progress().Answering == 1 })
			observations, _ := s.relay.CollectObservations()
			if len(observations) != 1 || observations[0].Pinned != c.want {
				t.Errorf("%+v, want %d pinned requests", observations, c.want)
			}
			cancel()
			s.relay.Wait()
		})
	}
}
