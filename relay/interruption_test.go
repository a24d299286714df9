package relay_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/relay"
)

// Each answer that an entry does not complete is recorded with the reason; without it the log did not tell whether an upstream, the entry or
// its stop had ended an answer.
func TestInterruptionsAreRecorded(t *testing.T) {
	breaks := func(c net.Conn, r *http.Request, _ int) bool { return respondStream(c, r, 1, 3, false) }
	for _, c := range []struct {
		name      string
		allowance float64
		timeout   time.Duration
		heads     []responder
		want      relay.InterruptReason
	}{
		{"the upstreams complete it", 100, 0, []responder{breaks, func(c net.Conn, r *http.Request, _ int) bool { return respondStream(c, r, 4, 5, true) }}, ""},
		{"the retry budget is used up", 0, 0, []responder{breaks, breaks}, relay.InterruptedBudget},
		{"there is no other upstream", 100, 0, []responder{breaks}, relay.InterruptedNoTarget},
		{"the second upstream breaks off as well", 100, 0, []responder{breaks, breaks}, relay.InterruptedAttempt},
		{"the deadline passes", 100, 300 * time.Millisecond, []responder{func(c net.Conn, r *http.Request, _ int) bool {
			respondStream(c, r, 1, 3, false)
			return stayOpenSilent(c)
		}}, relay.InterruptedDeadline},
	} {
		t.Run(c.name, func(t *testing.T) {
			var heads []*upstream
			for _, respond := range c.heads {
				heads = append(heads, newUpstream(t, respond))
			}
			s := newTestEntry(t, nil, heads)
			s.relay.RandomInt = func(int) int { return 0 }
			s.relay.Budget = relay.NewRetryBudget(relay.RetryBudgetRule{Window: 10 * time.Second, Allowance: c.allowance})
			if c.timeout > 0 {
				cfg := config()
				cfg.Routes[2].Timeout = c.timeout
				s.relay.SetConfig(cfg)
			}
			got := s.do(s.request("POST", "/stream/x", "a", ""))
			s.relay.Wait()
			if got.Status != http.StatusOK || got.Complete != (c.want == "") {
				t.Errorf("the caller got %+v", got)
			}
			if reason := s.records[0].Interruption; reason != c.want {
				t.Errorf("interrupted because of %q, want %q", reason, c.want)
			}
		})
	}
}

// An answer that a stopping process does not complete is told apart from one whose caller has disconnected.
func TestInterruptionByStop(t *testing.T) {
	for _, c := range []struct {
		name  string
		close bool
		want  relay.InterruptReason
	}{{"the caller disconnects", false, ""}, {"the process ends", true, relay.InterruptedStop}} {
		t.Run(c.name, func(t *testing.T) {
			head := newUpstream(t, func(c net.Conn, r *http.Request, _ int) bool {
				respondStream(c, r, 1, 3, false)
				return stayOpenSilent(c)
			})
			s := newTestEntry(t, nil, []*upstream{head})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			resp, err := http.DefaultClient.Do(s.request("POST", "/stream/x", "a", "").WithContext(ctx))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if c.close {
				s.relay.Close()
				s.server.CloseClientConnections()
			}
			cancel()
			s.relay.Wait()
			if reason := s.records[0].Interruption; reason != c.want {
				t.Errorf("interrupted because of %q, want %q", reason, c.want)
			}
		})
	}
}
