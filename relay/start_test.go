package relay_test

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/transport"
)

// An entry that has just started refuses new requests at once, and keeps a stream that is taken up again for the first word
// from control, but not for long.
func TestTheFirstWord(t *testing.T) {
	for _, c := range []struct {
		name     string
		event    string
		deadline string
		word     time.Duration
		status   int
		answered time.Duration
	}{
		{"a new request", "", "", 300 * time.Millisecond, 503, 0},
		{"a request with time to come back", "", "6000", 300 * time.Millisecond, 503, 0},
		{"a request without time to come back", "", "3000", 300 * time.Millisecond, 401, 300 * time.Millisecond},
		{"one that cannot wait for long either", "", "500", 300 * time.Millisecond, 503, 200 * time.Millisecond},
		{"a stream that goes on", "4", "6000", 300 * time.Millisecond, 401, 300 * time.Millisecond},
		{"a stream that goes on, and no word comes", "4", "6000", time.Hour, 503, 1500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := relay.New(names(), transport.TCP())
				s.KeysLapse = 4 * time.Second
				s.Budget = relay.NewBudget(relay.BudgetRule{Ratio: 0.2, Window: time.Second, Allowance: 1})
				word := time.AfterFunc(c.word, func() {
					s.SetConfig(config())
					s.SetWord(time.Now())
				})
				defer word.Stop()
				start := time.Now()
				r := httptest.NewRequest("POST", "/stream/x", nil)
				r.Host = "h"
				r.Header.Set("Event", c.event)
				r.Header.Set("Deadline", c.deadline)
				w := httptest.NewRecorder()
				s.ServeHTTP(w, r)
				if got := time.Since(start); w.Code != c.status || got != c.answered {
					t.Errorf("status %d after %v, want %d after %v", w.Code, got, c.status, c.answered)
				}
			})
		})
	}
}
