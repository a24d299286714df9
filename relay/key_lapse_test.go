package relay_test

import (
	"net/http"
	"testing"
	"time"
)

// An entry that is cut off from the control daemons becomes unready and closes its callers' connections before its keys lapse. Until the keys
// lapse it serves requests.
func TestEntryCutOffFromControlClosesConnections(t *testing.T) {
	for _, c := range []struct {
		age    time.Duration
		ready  bool
		closes bool
		status int
	}{
		{0, true, false, http.StatusOK},
		{1400 * time.Millisecond, true, false, http.StatusOK},
		{2200 * time.Millisecond, false, true, http.StatusOK},
		{4500 * time.Millisecond, false, true, http.StatusServiceUnavailable},
	} {
		u := newUpstream(t, always(respondComplete))
		s := newTestEntry(t, []*upstream{u}, nil)
		s.relay.SetConfirmed(time.Now().Add(-c.age))
		if got := s.relay.Ready(); got != c.ready {
			t.Errorf("ready %v at a confirmation age of %v", got, c.age)
		}
		resp, err := http.DefaultClient.Do(s.request(http.MethodGet, "/safe/x", "one", ""))
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != c.status || resp.Close != c.closes {
			t.Errorf("status %d, connection closed %v at a confirmation age of %v", resp.StatusCode, resp.Close, c.age)
		}
	}
}
