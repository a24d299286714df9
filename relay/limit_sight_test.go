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

// Operators are told once when a limit begins, changes and ends, each time when it can't be read, and with each try what was named.
func TestLimitsAreTold(t *testing.T) {
	says := []string{"Limit: 3.6", "Limit: 3.6", "Limit: 1.8", "Limit: few", "Vary: y", "Vary: y"}
	n := 0
	u := newUpstream(t, always(func(c net.Conn, r *http.Request) bool {
		body := "answer to " + r.Header.Get("Request")
		_, err := io.WriteString(c, head(r, 200, signature, says[n], fmt.Sprintf("Content-Length: %d", len(body)))+body)
		n++
		return err == nil
	}))
	s := newSite(t, []*upstream{u}, nil)
	var told []relay.Asking
	s.relay.Asked = func(a *relay.Asking) { told = append(told, *a) }
	for n := range says {
		if got := s.do(s.request("POST", "/safe/x", fmt.Sprint(n), "")); got.Status != http.StatusOK {
			t.Fatalf("status %d", got.Status)
		}
		s.relay.Wait()
	}
	var tried []ratelimit.Rate
	for _, r := range s.records {
		tried = append(tried, r.Tries[0].Limit)
	}
	id := ident.Incarnation("p0")
	want := []relay.Asking{
		{Kind: relay.AskingLimit, Upstream: id, Limit: 3.6},
		{Kind: relay.AskingLimit, Upstream: id, Limit: 1.8, Was: 3.6},
		{Kind: relay.AskingUnclear, Upstream: id},
		{Kind: relay.AskingNoLimit, Upstream: id, Was: 1.8},
	}
	if diff := cmp.Diff(want, told, cmpopts.IgnoreFields(relay.Asking{}, "Since", "Err")); diff != "" {
		t.Errorf("told (-want +got):\n%s", diff)
	}
	if code := result.CodeOf(told[2].Err); code != result.LimitUnreadable {
		t.Errorf("code %d, want %d", code, result.LimitUnreadable)
	}
	if diff := cmp.Diff([]ratelimit.Rate{3.6, 3.6, 1.8, 0, 0, 0}, tried); diff != "" {
		t.Errorf("limits of the tries (-want +got):\n%s", diff)
	}
}

// What an upstream says that nothing reads is told once; what is between the application and its callers is not.
func TestWordsThatNothingReadsAreTold(t *testing.T) {
	u := newUpstream(t, always(func(c net.Conn, r *http.Request) bool {
		body := "answer to " + r.Header.Get("Request")
		_, err := io.WriteString(c, head(r, 200, signature, "Queue-Hint: 7", "Weights: 3", "Limit: 50", fmt.Sprintf("Content-Length: %d", len(body)))+body)
		return err == nil
	}))
	s := newSite(t, []*upstream{u}, nil)
	n := names()
	n.Application = []string{"weights"}
	s.relay.Unread = unread.New[ident.Incarnation](n.Known()...)
	var told []relay.Asking
	s.relay.Asked = func(a *relay.Asking) {
		if a.Kind == relay.AskingUnread {
			told = append(told, *a)
		}
	}
	for n := range 3 {
		s.do(s.request("POST", "/safe/x", fmt.Sprint(n), ""))
		s.relay.Wait()
	}
	want := []relay.Asking{{Kind: relay.AskingUnread, Upstream: "p0", Word: "Queue-Hint", Value: "7"}}
	if diff := cmp.Diff(want, told); diff != "" {
		t.Errorf("told (-want +got):\n%s", diff)
	}
}
