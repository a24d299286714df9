package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/sharing"
	"github.com/dunlinquay/dunlinquay/transport"
)

// forwardSite is two entries before the same upstreams, of which the first reaches none.
type forwardSite struct {
	cut, other *testEntry
	plain      []*upstream
	heads      []*upstream
	// entryServer is where other serves requests of other entries, forwarded counts them.
	entryServer *httptest.Server
	forwarded   atomic.Int64
	// otherCut is set while the second entry reaches no upstream either, healed once the first one reaches them. spared is an upstream that
	// the first one reaches all the time.
	otherCut, healed atomic.Bool
	spared           atomic.Pointer[upstream]
}

func newForwardSite(t *testing.T, respond responder) *forwardSite {
	t.Helper()
	f := &forwardSite{}
	for range 2 {
		f.plain = append(f.plain, newUpstream(t, respond))
		f.heads = append(f.heads, newUpstream(t, respond))
	}
	upstreams := map[string]bool{}
	for _, u := range append(f.plain, f.heads...) {
		upstreams[u.address()] = true
	}
	dial := func(lost func(address string) bool) transport.Dial {
		return func(ctx context.Context, address string) (net.Conn, error) {
			if upstreams[address] && lost(address) {
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
			}
			return transport.TCP()(ctx, address)
		}
	}
	f.cut = newTestEntryWithDial(t, dial(func(address string) bool {
		spared := f.spared.Load()
		return !f.healed.Load() && (spared == nil || address != spared.address())
	}), f.plain, f.heads)
	f.other = newTestEntryWithDial(t, dial(func(string) bool { return f.otherCut.Load() }), f.plain, f.heads)
	handler := &relay.EntryHandler{Relay: f.other.relay}
	f.entryServer = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.forwarded.Add(1)
		handler.ServeHTTP(w, r)
	}))
	t.Cleanup(f.entryServer.Close)
	address := f.entryServer.Listener.Addr().String()
	lists := map[ident.Hall][]string{"hall": {"127.0.0.1:1", address}}
	f.cut.relay.SetEntries(sharing.New("127.0.0.1:1", lists))
	f.other.relay.SetEntries(sharing.New(address, lists))
	return f
}

// arrivals returns how many requests have reached upstreams.
func (f *forwardSite) arrivals() int {
	n := 0
	for _, u := range append(f.plain, f.heads...) {
		n += len(u.received())
	}
	return n
}

func respondKind(c net.Conn, r *http.Request, _ int) bool {
	if strings.HasPrefix(r.URL.Path, "/stream/") {
		return respondStream(c, r, 1, 3, true)
	}
	return respondComplete(c, r)
}

// Guards against forwarded requests that are changed, served twice, or counted at the wrong entry.
func TestForwardedRequests(t *testing.T) {
	f := newForwardSite(t, respondKind)
	cutOff := make(chan struct{})
	f.cut.relay.OnReachability = func(event relay.ReachabilityEvent) {
		if event.Service == "" && event.Reach == relay.ReachNone {
			close(cutOff)
		}
	}
	// The entry learns from this request that it reaches no upstream, so the request counts there.
	if got := f.cut.do(f.cut.request("POST", "/safe/x?q=1", "id-first", "body id-first")); got.Status != http.StatusOK {
		t.Fatalf("status %d", got.Status)
	}
	<-cutOff
	for i, path := range []string{"/safe/x?q=1", "/unsafe/x?q=1", "/stream/x?q=1"} {
		id := fmt.Sprint("id-", i)
		want := "answer to " + id
		if strings.HasPrefix(path, "/stream/") {
			want = eventText(1, 3)
		}
		if got := f.cut.do(f.cut.request("POST", path, id, "body "+id)); got != (reply{http.StatusOK, want, true}) {
			t.Errorf("%s: %+v, want a complete answer %q", path, got, want)
		}
	}
	if got := f.arrivals(); got != 4 {
		t.Errorf("%d arrivals of 4 requests", got)
	}
	for _, u := range append(f.plain, f.heads...) {
		for _, r := range u.received() {
			if !strings.HasSuffix(r.Path, "?q=1") || r.Body != "body "+r.ID || r.Customer != "office" || r.Key != "" || r.Expect != "" {
				t.Errorf("upstream received %+v", r)
			}
		}
	}
	for _, tt := range []struct {
		name  string
		relay *relay.Relay
		want  float64
	}{{"the entry without a path", f.cut.relay, 1}, {"the entry that sends them", f.other.relay, 2}} {
		if got := tt.relay.Budget.Decide("plain").Requests; got != tt.want {
			t.Errorf("%.0f requests count in the retry budget of %s, want %.0f", got, tt.name, tt.want)
		}
	}
}

// Guards against forwarded requests that run at an entry which should decline them, and against ones that go round.
func TestEntriesDeclineForwardedRequests(t *testing.T) {
	for _, tt := range []struct {
		name    string
		want    relay.DeclineReason
		prepare func(f *forwardSite)
	}{
		{"the other entry is cut off as well", relay.DeclinedNoPath, func(f *forwardSite) { f.otherCut.Store(true) }},
		{"the other entry stops", relay.DeclinedStopping, func(f *forwardSite) { f.other.relay.Stop(relay.StopPlan{CallersMoved: time.Minute, End: time.Minute}) }},
		{"the other entry has an older configuration", relay.DeclinedOlderConfig, func(f *forwardSite) {
			cfg := config()
			cfg.Version = 2
			f.cut.relay.SetConfig(cfg)
		}},
		{"the other entry's keys have lapsed", relay.DeclinedNoControl, func(f *forwardSite) { f.other.relay.SetConfirmed(time.Now().Add(-time.Minute)) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newForwardSite(t, respondKind)
			tt.prepare(f)
			got := f.cut.do(f.cut.request("POST", "/unsafe/x", "id", "body"))
			if got.Status != http.StatusServiceUnavailable || !strings.Contains(got.Body, `"not-run":true`) {
				t.Errorf("answer %+v, want 503 and not run", got)
			}
			if f.arrivals() != 0 || f.forwarded.Load() != 1 {
				t.Errorf("%d arrivals at upstreams, %d forwarded requests; want 0 and 1", f.arrivals(), f.forwarded.Load())
			}
			f.cut.mu.Lock()
			defer f.cut.mu.Unlock()
			var reasons []relay.DeclineReason
			for _, a := range f.cut.records[0].Attempts {
				if a.Entry != "" {
					reasons = append(reasons, a.Declined)
				}
			}
			if diff := cmp.Diff([]relay.DeclineReason{tt.want}, reasons); diff != "" {
				t.Errorf("reasons in the record (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against refusals of requests that no other entry accepts, although the path is back since the last probe.
func TestRequestThatNoEntryAccepts(t *testing.T) {
	f := newForwardSite(t, respondKind)
	f.other.relay.Stop(relay.StopPlan{CallersMoved: time.Minute, End: time.Minute})
	if got := f.cut.do(f.cut.request("POST", "/safe/x", "first", "body")); got.Status != http.StatusServiceUnavailable {
		t.Fatalf("status %d", got.Status)
	}
	f.healed.Store(true)
	if got := f.cut.do(f.cut.request("POST", "/safe/x", "second", "body")); got.Status != http.StatusOK {
		t.Errorf("status %d after the path is back", got.Status)
	}
}

// Guards against requests that wait until their deadline at an entry that is suspended, although another one would serve them.
func TestForwardedRequestsPassASilentEntry(t *testing.T) {
	for _, tt := range []struct{ method, path, body string }{
		{"POST", "/unsafe/x", "body"}, {"POST", "/safe/x", ""}, {"GET", "/safe/x", ""}, {"POST", "/stream/x", "body"},
	} {
		t.Run(fmt.Sprintf("%s %s, %d bytes", tt.method, tt.path, len(tt.body)), func(t *testing.T) {
			f := newForwardSite(t, respondKind)
			silent := newUpstream(t, always(func(c net.Conn, _ *http.Request) bool { return stayOpenSilent(c) }))
			other := f.entryServer.Listener.Addr().String()
			f.cut.relay.Hall = "near"
			f.cut.relay.SetEntries(sharing.New("127.0.0.1:1", map[ident.Hall][]string{"near": {"127.0.0.1:1", silent.address()}, "far": {other}}))
			started := time.Now()
			got := f.cut.do(f.cut.request(tt.method, tt.path, "id", tt.body))
			if took := time.Since(started); got.Status != http.StatusOK || !got.Complete || took > 2*time.Second {
				t.Errorf("answer %+v after %v", got, took)
			}
			if got := f.arrivals(); got != 1 {
				t.Errorf("%d arrivals of one request", got)
			}
			if got := len(silent.received()); got > 0 {
				t.Errorf("the silent entry received %d whole requests", got)
			}
		})
	}
}

// Guards against requests that are sent to an address that is not one of an entry, because an answer names it.
func TestNamedAcceptorIsAnEntry(t *testing.T) {
	var strangerCalls atomic.Int64
	stranger := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { strangerCalls.Add(1) }))
	defer stranger.Close()
	f := newForwardSite(t, respondKind)
	declining := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Entry-Declined", string(relay.DeclinedNoPath))
		w.Header().Set("Entry-Acceptor", stranger.Listener.Addr().String())
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer declining.Close()
	f.cut.relay.SetEntries(sharing.New("127.0.0.1:1", map[ident.Hall][]string{"hall": {"127.0.0.1:1", declining.Listener.Addr().String()}}))
	if got := f.cut.do(f.cut.request("POST", "/unsafe/x", "id", "body")); got.Status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", got.Status)
	}
	if got := strangerCalls.Load(); got != 0 {
		t.Errorf("%d requests at an address that is not one of an entry", got)
	}
}

// Guards against a second run of a request that must not be repeated, when the entry that it was forwarded to ends.
func TestForwardedRequestWhoseEntryEnds(t *testing.T) {
	var f *forwardSite
	f = newForwardSite(t, func(c net.Conn, r *http.Request, _ int) bool {
		f.entryServer.CloseClientConnections()
		return respondKind(c, r, 0)
	})
	for i, path := range []string{"/unsafe/x", "/once/x"} {
		got := f.cut.do(f.cut.request("POST", path, fmt.Sprint(i), "body"))
		if got.Status == http.StatusOK || got.Status == http.StatusServiceUnavailable {
			t.Errorf("%s: status %d for a request that may have run", path, got.Status)
		}
		if arrivals := f.arrivals(); arrivals != i+1 {
			t.Errorf("%s: %d arrivals of %d requests", path, arrivals, i+1)
		}
	}
}

// Guards against forwarded requests that run at more upstreams than the route allows.
func TestForwardedRequestKeepsMaxAttempts(t *testing.T) {
	f := newForwardSite(t, func(c net.Conn, r *http.Request, _ int) bool {
		_, err := io.WriteString(c, answerHead(r, 500, signature, "Content-Length: 4")+"fail")
		return err == nil
	})
	for range 10 {
		f.other.relay.Budget.CountRequest("plain")
	}
	if got := f.cut.do(f.cut.request("POST", "/safe/x", "id", "body")); got.Status != 500 || got.Body != "fail" {
		t.Errorf("answer %+v, want the upstream's failure", got)
	}
	if got := f.arrivals(); got != 2 {
		t.Errorf("%d arrivals, want 2 as the route allows", got)
	}
}

// Guards against upstreams whose answers have the headers between entries: they must not make an entry forward a request that has run.
func TestForwardedRequestWhoseUpstreamDeclines(t *testing.T) {
	f := newForwardSite(t, func(c net.Conn, r *http.Request, _ int) bool {
		const body = "whole"
		_, err := io.WriteString(c, answerHead(r, 200, signature, "Entry-Declined: full", "Entry-Result-Code: 2006", "Content-Length: 5")+body)
		return err == nil
	})
	if got, want := f.cut.do(f.cut.request("POST", "/unsafe/x", "id", "body")), (reply{200, "whole", true}); got != want {
		t.Errorf("answer %+v, want %+v", got, want)
	}
	if got := f.arrivals(); got != 1 {
		t.Errorf("%d arrivals of a request that must not be repeated", got)
	}
}

// Guards against answers to an entry's own callers that lose the headers which entries use among each other.
func TestAnswersKeepHeadersOfUpstreams(t *testing.T) {
	f := newForwardSite(t, func(c net.Conn, r *http.Request, _ int) bool {
		_, err := io.WriteString(c, answerHead(r, 200, signature, "Entry-Version: 7", "Content-Length: 0"))
		return err == nil
	})
	resp, err := http.DefaultClient.Do(f.other.request("POST", "/safe/x", "id", "body"))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if got := resp.Header.Get("Entry-Version"); got != "7" {
		t.Errorf("header %q, want 7", got)
	}
}

// Guards against a record without the result code of a request whose upstream failed behind another entry.
func TestRecordOfForwardedRequestWhoseUpstreamFails(t *testing.T) {
	f := newForwardSite(t, func(c net.Conn, r *http.Request, _ int) bool {
		_, err := io.WriteString(c, answerHead(r, 500, signature, "Content-Length: 4")+"fail")
		return err == nil
	})
	f.cut.do(f.cut.request("POST", "/unsafe/x", "id", "body"))
	for _, entry := range []*testEntry{f.cut, f.other} {
		entry.mu.Lock()
		defer entry.mu.Unlock()
		if len(entry.records) != 1 {
			t.Fatalf("%d records of one request", len(entry.records))
		}
		if got := entry.records[0]; got.Code != result.OutcomeUnknown && got.Code != result.UpstreamFailed || got.Status != 500 {
			t.Errorf("code %d, status %d in the record", got.Code, got.Status)
		}
	}
	if got, want := f.cut.records[0].Code, f.other.records[0].Code; got != want {
		t.Errorf("code %d at the entry that forwards, %d at the other", got, want)
	}
}

// Guards against upstreams that go on working for callers who have disconnected from the entry that forwards.
func TestForwardedRequestWhoseCallerDisconnects(t *testing.T) {
	ended := make(chan struct{})
	f := newForwardSite(t, func(c net.Conn, _ *http.Request, _ int) bool {
		stayOpenSilent(c)
		close(ended)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(100*time.Millisecond, cancel)
	resp, err := http.DefaultClient.Do(f.cut.request("POST", "/unsafe/x", "id", "body").WithContext(ctx))
	if err == nil {
		resp.Body.Close()
		t.Errorf("status %d", resp.StatusCode)
	}
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the upstream's connection is still open 5 s after the caller disconnected")
	}
}

// Guards against a forwarded request that is reported as not run, although an upstream of the first entry has run it.
func TestForwardedRequestThatRanBefore(t *testing.T) {
	var arrivals atomic.Int64
	f := newForwardSite(t, func(c net.Conn, r *http.Request, _ int) bool {
		if arrivals.Add(1) == 1 {
			return false
		}
		return respondNotRun(c, r)
	})
	f.spared.Store(f.plain[0])
	for range 10 {
		f.cut.relay.Budget.CountRequest("plain")
	}
	got := f.cut.do(f.cut.request("POST", "/safe/x", "id", "body"))
	if f.forwarded.Load() == 0 {
		t.Fatalf("no request was forwarded, answer %+v", got)
	}
	if got.Status != http.StatusBadGateway || strings.Contains(got.Body, `"not-run":true`) {
		t.Errorf("answer %+v to a request that ran, want 502", got)
	}
}
