package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/unread"
)

// A limit that is set, changed or removed is reported once, an unreadable one each time, and each attempt records the limit in its answer.
func TestLimitChangesAreReported(t *testing.T) {
	headers := []string{"Limit: 3.6", "Limit: 3.6", "Limit: 1.8", "Limit: few", "Vary: y", "Vary: y"}
	n := 0
	u := newUpstream(t, always(func(c net.Conn, r *http.Request) bool {
		body := "answer to " + r.Header.Get("Request")
		_, err := io.WriteString(c, answerHead(r, 200, signature, headers[n], fmt.Sprintf("Content-Length: %d", len(body)))+body)
		n++
		return err == nil
	}))
	s := newTestEntry(t, []*upstream{u}, nil)
	var events []relay.BackpressureEvent
	s.relay.OnBackpressure = func(a *relay.BackpressureEvent) { events = append(events, *a) }
	for n := range headers {
		if got := s.do(s.request("POST", "/safe/x", fmt.Sprint(n), "")); got.Status != http.StatusOK {
			t.Fatalf("status %d", got.Status)
		}
		s.relay.Wait()
	}
	var limits []ratelimit.Rate
	for _, r := range s.records {
		limits = append(limits, r.Attempts[0].Limit)
	}
	id := ident.Incarnation("p0")
	want := []relay.BackpressureEvent{
		{Kind: relay.BackpressureLimit, Upstream: id, Limit: 3.6},
		{Kind: relay.BackpressureLimit, Upstream: id, Limit: 1.8, PreviousLimit: 3.6},
		{Kind: relay.BackpressureUnreadable, Upstream: id},
		{Kind: relay.BackpressureLimitRemoved, Upstream: id, PreviousLimit: 1.8},
	}
	if diff := cmp.Diff(want, events, cmpopts.IgnoreFields(relay.BackpressureEvent{}, "PreviousSince", "Err")); diff != "" {
		t.Errorf("reported events (-want +got):\n%s", diff)
	}
	if code := result.CodeOf(events[2].Err); code != result.LimitUnreadable {
		t.Errorf("code %d, want %d", code, result.LimitUnreadable)
	}
	if diff := cmp.Diff([]ratelimit.Rate{3.6, 3.6, 1.8, 0, 0, 0}, limits); diff != "" {
		t.Errorf("limits of the attempts (-want +got):\n%s", diff)
	}
}

// An unrecognized header of an upstream is reported once; headers between the application and its callers are not reported.
func TestUnrecognizedHeadersAreReported(t *testing.T) {
	u := newUpstream(t, always(func(c net.Conn, r *http.Request) bool {
		body := "answer to " + r.Header.Get("Request")
		_, err := io.WriteString(c, answerHead(r, 200, signature, "Queue-Hint: 7", "Weights: 3", "Limit: 50", fmt.Sprintf("Content-Length: %d", len(body)))+body)
		return err == nil
	}))
	s := newTestEntry(t, []*upstream{u}, nil)
	n := headerNames()
	n.Application = []string{"weights"}
	s.relay.Unrecognized = unread.New[ident.Incarnation](n.Recognized()...)
	var events []relay.BackpressureEvent
	s.relay.OnBackpressure = func(a *relay.BackpressureEvent) {
		if a.Kind == relay.BackpressureUnrecognized {
			events = append(events, *a)
		}
	}
	for n := range 3 {
		s.do(s.request("POST", "/safe/x", fmt.Sprint(n), ""))
		s.relay.Wait()
	}
	want := []relay.BackpressureEvent{{Kind: relay.BackpressureUnrecognized, Upstream: "p0", HeaderName: "Queue-Hint", HeaderValue: "7"}}
	if diff := cmp.Diff(want, events); diff != "" {
		t.Errorf("reported events (-want +got):\n%s", diff)
	}
}
