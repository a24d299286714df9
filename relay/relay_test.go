package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/keys"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/transport"
)

func headerNames() relay.HeaderNames {
	return relay.HeaderNames{
		RequestID: "Request", Deadline: "Deadline", Key: "Key", Customer: "Customer", Incarnation: "Life", Signature: "Signature",
		NotRun: "Not-Run", Blamed: "Blamed", EventID: "Event", Model: "Model", Tokens: "Tokens", PromptParts: "Parts", AnswerEstimate: "Estimate", Priority: "Priority",
		Backpressure: backoff.HeaderNames{Leaving: "Leaving", Limit: "Limit"},
	}
}

func newRoute(name ident.Class, kind httproute.Kind, service ident.Service, attempts int) httproute.Route {
	return httproute.Route{
		Name: name, Host: "h", Prefix: "/" + string(name) + "/", Kind: kind, Resumable: kind == httproute.KindStream,
		Split:   []httproute.Share{{Service: service, Weight: 1}},
		Timeout: 5 * time.Second, Aim: 2 * time.Second, GapAim: 200 * time.Millisecond, MaxAttempts: attempts,
	}
}

func config() *httproute.Config {
	cfg := &httproute.Config{
		Version: 1,
		Routes: []httproute.Route{
			newRoute("safe", httproute.KindSafe, "plain", 2), newRoute("unsafe", httproute.KindUnsafe, "plain", 1),
			newRoute("stream", httproute.KindStream, "model", 2), newRoute("once", httproute.KindStream, "model", 2),
			newRoute("public", httproute.KindSafe, "plain", 2),
		},
		Services: []httproute.Service{
			{Name: "plain"},
			{Name: "model", Engine: &httproute.Engine{Slots: 4, Models: []httproute.Model{{Name: "m", Size: 1, TimeFactor: 1}}}},
		},
		Customers: []httproute.Customer{{Name: "office", KeyHashes: []string{keys.Hash("secret")}}},
	}
	cfg.Routes[3].Resumable = false
	cfg.Routes[4].Public = true
	return cfg
}

// testEntry is a relay with test upstreams and the records of its finished requests.
type testEntry struct {
	t      testing.TB
	relay  *relay.Relay
	server *httptest.Server

	mu      sync.Mutex
	records []*relay.Record
}

func newTestEntry(t testing.TB, plain, heads []*upstream) *testEntry {
	t.Helper()
	return newTestEntryWithDial(t, transport.TCP(), plain, heads)
}

func newTestEntryWithDial(t testing.TB, dial transport.Dial, plain, heads []*upstream) *testEntry {
	t.Helper()
	s := &testEntry{t: t, relay: relay.New(headerNames(), dial)}
	s.relay.KeyValidity = 4 * time.Second
	s.relay.Budget = relay.NewRetryBudget(relay.RetryBudgetRule{Ratio: 0.2, Window: 10 * time.Second, Allowance: 100})
	s.relay.Observe = func(r *relay.Record) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.records = append(s.records, r)
	}
	s.relay.SetConfig(config())
	delta := roster.Delta{Full: true, Revision: 1}
	for i, u := range plain {
		delta.Upstreams = append(delta.Upstreams, roster.Upstream{
			ID: ident.Incarnation(fmt.Sprintf("p%d", i)), Service: "plain", Address: u.address(), Slots: 4,
		})
	}
	for i, u := range heads {
		id := ident.Incarnation(fmt.Sprintf("h%d", i))
		delta.Upstreams = append(delta.Upstreams, roster.Upstream{ID: id, Service: "model", Address: u.address(), Slots: 4})
		delta.Groups = append(delta.Groups, roster.Group{
			Name: ident.Group(fmt.Sprintf("g%d", i)), Service: "model", Model: "m", Phase: roster.PhaseOpen, Members: []ident.Incarnation{id},
		})
	}
	s.relay.ApplyRoster(&delta)
	s.relay.SetConfirmed(time.Now())
	s.server = httptest.NewServer(s.relay)
	t.Cleanup(s.server.Close)
	return s
}

type reply struct {
	Status   int
	Body     string
	Complete bool
}

func (s *testEntry) request(method, path, id, body string) *http.Request {
	r, err := http.NewRequest(method, s.server.URL+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = "h"
	r.Header.Set("Request", id)
	r.Header.Set("Key", "secret")
	r.Header.Set("Model", "m")
	return r
}

func (s *testEntry) do(r *http.Request) reply {
	s.t.Helper()
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, string(body), err == nil}
}

// responder answers the n-th request of an upstream; returning false closes the connection.
type responder = func(c net.Conn, r *http.Request, n int) bool

func always(f func(c net.Conn, r *http.Request) bool) responder {
	return func(c net.Conn, r *http.Request, _ int) bool { return f(c, r) }
}

// The first upstream has a fault, the second is healthy. A request that must not be repeated runs at most once, and a request reported
// as not run did not run.
func TestUpstreamFaults(t *testing.T) {
	respondWith := func(text func(r *http.Request) string, keep bool) responder {
		return func(c net.Conn, r *http.Request, _ int) bool {
			_, err := io.WriteString(c, text(r))
			return keep && err == nil
		}
	}
	for _, tt := range []struct {
		name         string
		first        responder
		safe, unsafe int // statuses; 200 means a complete answer of either upstream
		ran          bool
	}{
		{"healthy", always(respondComplete), 200, 200, true},
		{"refuses", always(respondNotRun), 200, 200, false},
		{"is another incarnation", func(c net.Conn, _ *http.Request, _ int) bool {
			_, err := io.WriteString(c, "HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}, 200, 200, false},
		{"closes without an answer", func(net.Conn, *http.Request, int) bool { return false }, 200, 502, true},
		{"resets the connection", func(c net.Conn, _ *http.Request, _ int) bool { return resetConn(c) }, 200, 502, true},
		{"closes within the answer", respondWith(func(r *http.Request) string { return answerHead(r, 200, signature, "Content-Length: 50") + "part" }, false), 200, 502, true},
		{"answers another request only", respondWith(func(*http.Request) string {
			return "HTTP/1.1 200 X\r\nRequest: other\r\n" + signature + "\r\nContent-Length: 5\r\n\r\nother"
		}, false), 200, 502, true},
		{"answers another request first", respondWith(func(r *http.Request) string {
			body := "answer to " + r.Header.Get("Request")
			return "HTTP/1.1 200 X\r\nRequest: other\r\n" + signature + "\r\nContent-Length: 5\r\n\r\nother" +
				answerHead(r, 200, signature, fmt.Sprintf("Content-Length: %d", len(body))) + body
		}, true), 200, 200, true},
		{"succeeds without a signature", respondWith(func(r *http.Request) string { return answerHead(r, 200, "Content-Length: 2") + "ok" }, true), 200, 502, true},
		{"sends an encoded body", respondWith(func(r *http.Request) string {
			return answerHead(r, 200, signature, "Content-Encoding: gzip", "Content-Length: 2") + "ok"
		}, true), 200, 502, true},
		{"sends bytes that are no answer", respondWith(func(*http.Request) string { return "\x00\x01 nothing like an answer\r\n\r\n" }, false), 200, 502, true},
		{"fails", respondWith(func(r *http.Request) string { return answerHead(r, 500, signature, "Content-Length: 4") + "fail" }, true), 200, 500, true},
		{"ends its answer with the connection", respondWith(func(r *http.Request) string {
			return answerHead(r, 200, signature) + "answer to " + r.Header.Get("Request")
		}, false), 200, 200, true},
		{"sends a second answer", respondWith(func(r *http.Request) string {
			body := "answer to " + r.Header.Get("Request")
			one := answerHead(r, 200, signature, fmt.Sprintf("Content-Length: %d", len(body))) + body
			return one + one
		}, true), 200, 200, true},
	} {
		for _, kind := range []string{"safe", "unsafe"} {
			t.Run(tt.name+"/"+kind, func(t *testing.T) {
				first := newUpstream(t, tt.first)
				second := newUpstream(t, always(respondComplete))
				s := newTestEntry(t, []*upstream{first, second}, nil)
				// The load of the second upstream makes the relay choose the first.
				s.relay.SetPeerCounts(map[ident.Incarnation]int{"p1": 3})
				want := tt.safe
				if kind == "unsafe" {
					want = tt.unsafe
				}
				for i := range 2 {
					id := fmt.Sprintf("%s-%d", kind, i)
					got := s.do(s.request("POST", "/"+kind+"/x?q=1", id, "body"))
					if i == 0 && got.Status != want {
						t.Errorf("status %d, want %d", got.Status, want)
					}
					if got.Status == 200 && (got.Body != "answer to "+id || !got.Complete) {
						t.Errorf("got %+v for request %s", got, id)
					}
				}
				ran := map[string]int{}
				for _, request := range append(first.received(), second.received()...) {
					ran[request.ID]++
				}
				if kind == "unsafe" && tt.ran && ran["unsafe-0"] != 1 {
					t.Errorf("a request that must not be repeated arrived %d times", ran["unsafe-0"])
				}
			})
		}
	}
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	u := newUpstream(t, always(respondComplete))
	s := newTestEntry(t, []*upstream{u}, nil)
	r := s.request("POST", "/safe/a%2Fb?x=1&y=%20", "id-1", "the body")
	r.Header.Set("Customer", "another customer")
	r.Header.Set("Connection", "Secret")
	r.Header.Set("Secret", "1")
	if got := s.do(r); got.Status != 200 {
		t.Fatalf("got %+v", got)
	}
	want := []receivedRequest{{ID: "id-1", Method: "POST", Path: "/safe/a%2Fb?x=1&y=%20", Body: "the body", Customer: "office", Incarnation: "p0"}}
	if diff := cmp.Diff(want, u.received()); diff != "" {
		t.Errorf("received requests (-want +got):\n%s", diff)
	}
}

func TestRefusals(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(s *testEntry, r *http.Request)
		status int
		code   result.Code
		retry  bool
	}{
		{"no such route", func(_ *testEntry, r *http.Request) { r.URL.Path = "/none/" }, 404, result.NotFound, false},
		{"no such host", func(_ *testEntry, r *http.Request) { r.Host = "i" }, 404, result.NotFound, false},
		{"unknown key", func(_ *testEntry, r *http.Request) { r.Header.Set("Key", "wrong") }, 401, result.Unauthorized, false},
		{"no key", func(_ *testEntry, r *http.Request) { r.Header.Del("Key") }, 401, result.Unauthorized, false},
		{"deadline is not a number", func(_ *testEntry, r *http.Request) { r.Header.Set("Deadline", "soon") }, 400, result.BadRequest, false},
		{"no such route, confirmation is old", func(s *testEntry, r *http.Request) {
			r.URL.Path = "/none/"
			s.relay.SetConfirmed(time.Now().Add(-2 * time.Second))
		}, 503, result.ControlUnreachable, true},
		{"unknown key, confirmation is old", func(s *testEntry, r *http.Request) {
			r.Header.Set("Key", "new")
			s.relay.SetConfirmed(time.Now().Add(-2 * time.Second))
		}, 503, result.ControlUnreachable, true},
		{"keys have lapsed", func(s *testEntry, _ *http.Request) { s.relay.SetConfirmed(time.Now().Add(-5 * time.Second)) }, 503, result.ControlUnreachable, true},
		{"no upstream", func(s *testEntry, _ *http.Request) { s.relay.ApplyRoster(&roster.Delta{Full: true}) }, 503, result.NoWholeGroup, true},
		{"all upstreams full", func(s *testEntry, _ *http.Request) { s.relay.SetPeerCounts(map[ident.Incarnation]int{"p0": 100}) }, 503, result.Overloaded, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			u := newUpstream(t, always(respondComplete))
			s := newTestEntry(t, []*upstream{u}, nil)
			r := s.request("GET", "/safe/x", "id", "")
			tt.change(s, r)
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != tt.status || (resp.Header.Get("Retry-After") != "") != tt.retry {
				t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
			}
			if n := len(u.received()); n != 0 {
				t.Errorf("%d requests reached the upstream although refused", n)
			}
			s.relay.Wait()
			if got := s.records[0].Code; got != tt.code {
				t.Errorf("code %d, want %d", got, tt.code)
			}
		})
	}
}

func TestNoConfigurationYet(t *testing.T) {
	s := relay.New(headerNames(), transport.TCP())
	if s.Ready() {
		t.Error("ready without a configuration")
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest("GET", "/safe/x", nil))
	if w.Code != 503 || w.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
	}
}

func TestAPublicRouteNeedsNoKey(t *testing.T) {
	u := newUpstream(t, always(respondComplete))
	s := newTestEntry(t, []*upstream{u}, nil)
	s.relay.SetConfirmed(time.Now().Add(-time.Hour))
	r := s.request("GET", "/public/x", "id", "")
	r.Header.Del("Key")
	if got := s.do(r); got.Status != 200 {
		t.Errorf("got %+v", got)
	}
}

// The first upstream breaks a stream in different ways; the caller receives every event once, in order, and an end of the stream only if
// the stream ended.
func TestStreams(t *testing.T) {
	resumeStream := func(c net.Conn, r *http.Request, _ int) bool {
		from := 1
		_, _ = fmt.Sscan(r.Header.Get("Event"), &from)
		if r.Header.Get("Event") != "" {
			from++
		}
		return respondStream(c, r, from, 5, true)
	}
	breakAfter := func(text string) responder {
		return func(c net.Conn, r *http.Request, _ int) bool {
			out := answerHead(r, 200, signature, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
			if text != "" {
				out += fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
			}
			_, _ = io.WriteString(c, out)
			return resetConn(c)
		}
	}
	endAfter := func(text string) responder {
		return func(c net.Conn, r *http.Request, _ int) bool {
			_, err := io.WriteString(c, answerHead(r, 200, signature, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")+
				fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(text), text))
			return err == nil
		}
	}
	for _, tt := range []struct {
		name  string
		first responder
		// once is set when the caller gets a complete stream even where it must not be continued.
		once bool
	}{
		{"healthy", resumeStream, true},
		{"breaks after three events", breakAfter(eventText(1, 3)), false},
		{"breaks within an event", breakAfter(eventText(1, 3) + "id: 4\ndata: pie"), false},
		{"ends within an event", endAfter(eventText(1, 3) + "id: 4\ndata: pie"), false},
		{"skips an event", endAfter(eventText(1, 2) + eventText(4, 5)), false},
		{"sends an event twice", endAfter(eventText(1, 3) + eventText(3, 5)), true},
		{"breaks before the first event", breakAfter(""), false},
		{"ends without any event", func(c net.Conn, r *http.Request, _ int) bool {
			_, err := io.WriteString(c, answerHead(r, 200, signature, "Transfer-Encoding: chunked")+"0\r\n\r\n")
			return err == nil
		}, false},
		{"goes silent after three events", func(c net.Conn, r *http.Request, _ int) bool {
			respondStream(c, r, 1, 3, false)
			return stayOpenSilent(c)
		}, false},
		{"goes silent before the head", func(c net.Conn, _ *http.Request, _ int) bool { return stayOpenSilent(c) }, false},
	} {
		for _, kind := range []string{"stream", "once"} {
			if kind == "once" && strings.Contains(tt.name, "silent") {
				continue // the relay can only wait
			}
			t.Run(tt.name+"/"+kind, func(t *testing.T) {
				first, second := newUpstream(t, tt.first), newUpstream(t, resumeStream)
				s := newTestEntry(t, nil, []*upstream{first, second})
				s.relay.SetPeerCounts(map[ident.Incarnation]int{"h1": 3})
				got := s.do(s.request("POST", "/"+kind+"/x", "id", "prompt"))
				if kind == "stream" || tt.once {
					if diff := cmp.Diff(reply{200, eventText(1, 5), true}, got); diff != "" {
						t.Errorf("reply (-want +got):\n%s", diff)
					}
					return
				}
				if got.Complete && got.Status == 200 {
					t.Errorf("a broken stream appears complete: %+v", got)
				}
				if n := len(first.received()) + len(second.received()); n != 1 {
					t.Errorf("a stream that must not be continued arrived %d times", n)
				}
			})
		}
	}
}

func TestAResumedStreamStartsAfterTheCallersLastEvent(t *testing.T) {
	u := newUpstream(t, func(c net.Conn, r *http.Request, _ int) bool { return respondStream(c, r, 3, 5, true) })
	s := newTestEntry(t, nil, []*upstream{u})
	r := s.request("POST", "/stream/x", "id", "prompt")
	r.Header.Set("Event", "2")
	if diff := cmp.Diff(reply{200, eventText(3, 5), true}, s.do(r)); diff != "" {
		t.Errorf("reply (-want +got):\n%s", diff)
	}
	if got := u.received()[0].Event; got != "2" {
		t.Errorf("the upstream was asked to continue after event %q", got)
	}
}

// When the caller disconnects, the connection to the upstream is closed.
func TestCallerDisconnects(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			arrived := make(chan struct{}, 4)
			ended := make(chan struct{}, 4)
			respond := func(c net.Conn, r *http.Request, _ int) bool {
				if strings.HasPrefix(r.RequestURI, "/stream/") {
					respondStream(c, r, 1, 1, false)
				}
				arrived <- struct{}{}
				stayOpenSilent(c)
				ended <- struct{}{}
				return false
			}
			u := newUpstream(t, respond)
			s := newTestEntry(t, []*upstream{u}, []*upstream{u})
			ctx, disconnect := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() {
				defer close(done)
				s.do(s.request("POST", path, "id", "x").WithContext(ctx))
			}()
			<-arrived
			disconnect()
			<-ended
			<-done
			s.relay.Wait()
			if got := s.records[0].Code; got != result.Cancelled {
				t.Errorf("code %d", got)
			}
		})
	}
}

func TestDeadlineExpires(t *testing.T) {
	for _, tt := range []struct {
		path   string
		status int
	}{{"/safe/x", 504}, {"/unsafe/x", 504}, {"/stream/x", 504}} {
		t.Run(tt.path, func(t *testing.T) {
			u := newUpstream(t, func(c net.Conn, _ *http.Request, _ int) bool { return stayOpenSilent(c) })
			s := newTestEntry(t, []*upstream{u}, []*upstream{u})
			r := s.request("POST", tt.path, "id", "x")
			r.Header.Set("Deadline", "150")
			if got := s.do(r); got.Status != tt.status {
				t.Errorf("status %d, want %d", got.Status, tt.status)
			}
		})
	}
}

func TestBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	budget := relay.NewRetryBudget(relay.RetryBudgetRule{Ratio: 0.2, Window: 10 * time.Second, Allowance: 20})
	budget.Now = func() time.Time { return now }
	useAll := func() int {
		n := 0
		for budget.AllowRetry("s") {
			n++
		}
		return n
	}
	if got := useAll(); got != 17 {
		t.Errorf("%d retries without requests, want 17: 0.85 of the allowance", got)
	}
	for range 100 {
		budget.CountRequest("s")
	}
	if got := useAll(); got != 17 {
		t.Errorf("%d retries for 100 requests, want 17: 0.85 of a fifth", got)
	}
	now = now.Add(5 * time.Second)
	if got := useAll(); got != 0 {
		t.Errorf("%d retries within the same window", got)
	}
	now = now.Add(6 * time.Second)
	if got := useAll(); got != 17 {
		t.Errorf("%d retries in the next window, want 17", got)
	}
	budget.SetEntries(4)
	now = now.Add(20 * time.Second)
	if got := useAll(); got != 4 {
		t.Errorf("%d retries with four entries, want 4", got)
	}
	if !budget.AllowRetry("other") {
		t.Error("services share a budget")
	}
}

func TestRetriesStopWhenBudgetIsExhausted(t *testing.T) {
	first := newUpstream(t, func(c net.Conn, _ *http.Request, _ int) bool { return resetConn(c) })
	second := newUpstream(t, func(c net.Conn, _ *http.Request, _ int) bool { return resetConn(c) })
	s := newTestEntry(t, []*upstream{first, second}, nil)
	s.relay.Budget = relay.NewRetryBudget(relay.RetryBudgetRule{Ratio: 0, Window: time.Hour, Allowance: 10})
	const requests = 30
	for i := range requests {
		s.do(s.request("GET", "/safe/x", fmt.Sprint(i), ""))
	}
	if got := len(first.received()) + len(second.received()); got != requests+8 {
		t.Errorf("%d arrivals for %d requests, want 8 retries", got, requests)
	}
}

func TestStopping(t *testing.T) {
	u := newUpstream(t, always(respondComplete))
	s := newTestEntry(t, []*upstream{u}, nil)
	if !s.relay.Ready() {
		t.Error("not ready")
	}
	s.relay.Stop(relay.StopPlan{CallersMoved: time.Minute, End: time.Minute})
	if s.relay.Ready() {
		t.Error("ready while stopping")
	}
	resp, err := http.DefaultClient.Do(s.request("GET", "/safe/x", "id", ""))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 || !resp.Close {
		t.Errorf("status %d, close %v; want the request served and its connection closed", resp.StatusCode, resp.Close)
	}
}
