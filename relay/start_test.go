package relay_test

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/transport"
)

// Before the leader's first confirmation an entry refuses new requests at once, but holds a resumed stream until the confirmation or a short
// time-out.
func TestFirstConfirmation(t *testing.T) {
	for _, c := range []struct {
		name           string
		event          string
		deadline       string
		confirmedAfter time.Duration
		status         int
		answeredAfter  time.Duration
	}{
		{"a new request", "", "", 300 * time.Millisecond, 503, 0},
		{"a request with time for a retry", "", "6000", 300 * time.Millisecond, 503, 0},
		{"a request without time for a retry", "", "3000", 300 * time.Millisecond, 401, 300 * time.Millisecond},
		{"a request without time to be held", "", "500", 300 * time.Millisecond, 503, 200 * time.Millisecond},
		{"a resumed stream", "4", "6000", 300 * time.Millisecond, 401, 300 * time.Millisecond},
		{"a resumed stream without confirmation", "4", "6000", time.Hour, 503, 1500 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := relay.New(headerNames(), transport.TCP())
				s.KeyValidity = 4 * time.Second
				s.Budget = relay.NewRetryBudget(relay.RetryBudgetRule{Ratio: 0.2, Window: time.Second, Allowance: 1})
				confirmation := time.AfterFunc(c.confirmedAfter, func() {
					s.SetConfig(config())
					s.SetConfirmed(time.Now())
				})
				defer confirmation.Stop()
				start := time.Now()
				r := httptest.NewRequest("POST", "/stream/x", nil)
				r.Host = "h"
				r.Header.Set("Event", c.event)
				r.Header.Set("Deadline", c.deadline)
				w := httptest.NewRecorder()
				s.ServeHTTP(w, r)
				if got := time.Since(start); w.Code != c.status || got != c.answeredAfter {
					t.Errorf("status %d after %v, want %d after %v", w.Code, got, c.status, c.answeredAfter)
				}
			})
		})
	}
}

// Streams held at the start are sent one after the other; later requests do not wait for them.
func TestHeldStreamsArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var sent []time.Duration
		start := time.Now()
		refuse := func(context.Context, string) (net.Conn, error) {
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, time.Since(start))
			return nil, errors.New("refused")
		}
		s := relay.New(headerNames(), refuse)
		s.KeyValidity = 4 * time.Second
		s.Budget = relay.NewRetryBudget(relay.RetryBudgetRule{Ratio: 0.2, Window: time.Second, Allowance: 1})
		s.Budget.SetEntries(8)
		send := func(event string) {
			r := httptest.NewRequest("POST", "/stream/x", nil)
			r.Host = "h"
			for name, value := range map[string]string{"Key": "secret", "Model": "m", "Event": event, "Deadline": "6000", "Tokens": "1000,100"} {
				r.Header.Set(name, value)
			}
			s.ServeHTTP(httptest.NewRecorder(), r)
		}
		var held sync.WaitGroup
		for range 4 {
			held.Go(func() { send("4") })
		}
		time.Sleep(200 * time.Millisecond)
		cfg := config()
		// A prompt of 1000 tokens is prefilled in 15 ms, which counts as 25 ms of engine time; with eight entries and two groups a slot
		// is held for 100 ms.
		cfg.Services[1].Engine.PrefillRate = 1000 / 0.015
		s.SetConfig(cfg)
		d := roster.Delta{Full: true, Revision: 1}
		for _, id := range []ident.Incarnation{"a", "b"} {
			d.Upstreams = append(d.Upstreams, roster.Upstream{ID: id, Service: "model", Address: string(id) + ":1", Slots: 4})
			d.Groups = append(d.Groups, roster.Group{Name: ident.Group("g-" + id), Service: "model", Model: "m", Members: []ident.Incarnation{id}, Phase: roster.PhaseOpen})
		}
		s.ApplyRoster(&d)
		s.SetConfirmed(time.Now())
		time.Sleep(50 * time.Millisecond)
		send("")
		held.Wait()
		// Each request is refused by both groups.
		ms := time.Millisecond
		want := []time.Duration{200 * ms, 200 * ms, 250 * ms, 250 * ms, 300 * ms, 300 * ms, 400 * ms, 400 * ms, 500 * ms, 500 * ms}
		if diff := cmp.Diff(want, sent); diff != "" {
			t.Errorf("times of attempts (-want +got):\n%s", diff)
		}
	})
}
