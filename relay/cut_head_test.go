package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/sharing"
)

// cutFirst answers the first request with text and closes the connection, and the others with respond.
func cutFirst(text string, respond responder) responder {
	var cut atomic.Bool
	return func(c net.Conn, r *http.Request, n int) bool {
		if cut.Swap(true) {
			return respond(c, r, n)
		}
		_, _ = io.WriteString(c, text)
		return false
	}
}

// newPipeEntry returns an entry with two upstreams, plain ones that are heads of groups as well, that it reaches without sockets: the many
// connections of a test would use up the local ports.
func newPipeEntry(t *testing.T, respond responder) (*testEntry, []*upstream) {
	t.Helper()
	network := &memoryNetwork{listeners: map[string]*memoryListener{}}
	var upstreams []*upstream
	for _, address := range []string{"10.0.0.1:1", "10.0.0.2:1"} {
		u := &upstream{t: t, ln: network.listen(address), respond: respond}
		go u.accept()
		t.Cleanup(func() { u.ln.Close() })
		upstreams = append(upstreams, u)
	}
	s := newTestEntryWithDial(t, network.dial, upstreams, upstreams)
	s.server.Close()
	return s, upstreams
}

// serve answers a request without a connection to the caller.
func (s *testEntry) serve(r *http.Request) (got reply) {
	w := httptest.NewRecorder()
	defer func() {
		aborted := recover()
		if aborted != nil && aborted != any(http.ErrAbortHandler) {
			panic(aborted)
		}
		got = reply{w.Code, w.Body.String(), aborted == nil}
	}()
	s.relay.ServeHTTP(w, incoming(s.t, r))
	return got
}

// incoming returns a caller's request as a server gets it.
func incoming(t testing.TB, r *http.Request) *http.Request {
	got := httptest.NewRequest(r.Method, r.URL.Path, r.Body).WithContext(t.Context())
	got.Host, got.Header = r.Host, r.Header
	return got
}

// afterBrokenAnswer returns what the caller of a request gets whose first upstream sent no usable answer, and the second one does.
func afterBrokenAnswer(path string) reply {
	switch path {
	case "/unsafe/x", "/once/x":
		return reply{Status: http.StatusBadGateway}
	case "/stream/x":
		return reply{http.StatusOK, eventText(1, 3), true}
	}
	return reply{http.StatusOK, "answer to id", true}
}

// An upstream that stops within the head of its answer and closes the connection has not answered: a request that can be repeated gets the
// answer of another upstream, one that cannot gets an error that does not say "not run".
func TestAnswerWhoseHeadIsCutOff(t *testing.T) {
	const interim = "HTTP/1.1 103 X\r\nLink: l\r\n\r\n"
	answerHeads := []struct {
		name string
		text func(r *http.Request) string
	}{
		{"with a length", func(r *http.Request) string { return answerHead(r, 200, signature, "Content-Length: 12") }},
		{"without a length", func(r *http.Request) string { return answerHead(r, 200, signature, "Connection: close") }},
		{"in chunks", streamHead},
		{"not run", func(r *http.Request) string { return answerHead(r, 503, "Not-Run: 1", "Content-Length: 0") }},
		{"after an interim answer", func(r *http.Request) string { return interim + answerHead(r, 200, signature, "Content-Length: 12") }},
	}
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/once/x"} {
		want := afterBrokenAnswer(path)
		for _, head := range answerHeads {
			for _, lineEnd := range []string{"\r\n", "\n"} {
				t.Run(fmt.Sprintf("%s %s %q", path, head.name, lineEnd), func(t *testing.T) {
					t.Parallel()
					sample, err := http.NewRequest(http.MethodPost, path, http.NoBody)
					if err != nil {
						t.Fatal(err)
					}
					sample.Header.Set("Request", "id")
					text := strings.ReplaceAll(head.text(sample), "\r\n", lineEnd)
					for size := range text {
						checkCutHead(t, path, text[:size], cutFirst(text[:size], respondKind), want)
					}
				})
			}
		}
	}
}

// checkCutHead sends a request to two upstreams, of which the one that gets it first sends only a part of its head.
func checkCutHead(t *testing.T, path, sent string, respond responder, want reply) {
	t.Helper()
	s, upstreams := newPipeEntry(t, respond)
	got := s.serve(s.request("POST", path, "id", "body"))
	if got.Status != http.StatusOK {
		got.Body, got.Complete = "", false
	}
	runs := len(upstreams[0].received()) + len(upstreams[1].received())
	if limit := 1 + min(1, len(want.Body)); got != want || runs > limit {
		s.relay.Wait()
		t.Errorf("sent %q: %+v after %d runs, want %+v after %d at most; attempts %+v", sent, got, runs, want, limit, s.records[0].Attempts)
	}
}

// A stream whose continuation at another upstream is cut off within the head does not end as complete.
func TestContinuationWhoseHeadIsCutOff(t *testing.T) {
	t.Parallel()
	sample, err := http.NewRequest(http.MethodPost, "/stream/x", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	sample.Header.Set("Request", "id")
	text := streamHead(sample)
	for size := range text {
		respond := always(func(c net.Conn, r *http.Request) bool {
			if r.Header.Get("Event") == "" {
				return respondStream(c, r, 1, 2, false)
			}
			_, _ = io.WriteString(c, text[:size])
			return false
		})
		s, _ := newPipeEntry(t, respond)
		if got := s.serve(s.request("POST", "/stream/x", "id", "body")); got.Complete || !strings.HasPrefix(eventText(1, 2), got.Body) {
			t.Errorf("sent %q: %+v, want an incomplete answer", text[:size], got)
		}
	}
}

// A request that another entry serves has no answer if that entry's head is cut off, and may have run.
func TestForwardedAnswerWhoseHeadIsCutOff(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			sample, err := http.NewRequest(http.MethodPost, path, http.NoBody)
			if err != nil {
				t.Fatal(err)
			}
			sample.Header.Set("Request", "id")
			text := answerHead(sample, 200, signature, "Content-Length: 12")
			for size := 0; size < len(text); size += 3 {
				f := newForwardSite(t, respondKind)
				var accepted atomic.Int64
				entry := newCutEntry(t, text[:size], &accepted)
				f.cut.relay.SetEntries(sharing.New("127.0.0.1:1", map[ident.Hall][]string{"hall": {"127.0.0.1:1", entry}}))
				got := f.cut.do(f.cut.request("POST", path, "id", "body"))
				if got.Status != http.StatusBadGateway && got.Status != 0 && got.Status != http.StatusGatewayTimeout {
					t.Errorf("sent %q: %+v, want a failure that does not say that the request did not run", text[:size], got)
				}
				if accepted.Load() == 0 {
					t.Errorf("sent %q: no entry accepted the request: the test checks nothing", text[:size])
				}
				f.cut.server.Close()
			}
		})
	}
}

// newCutEntry returns the address of an entry that accepts a forwarded request, sends text in place of the answer, and closes the
// connection; acceptedCount counts those requests.
func newCutEntry(t *testing.T, text string, acceptedCount *atomic.Int64) string {
	t.Helper()
	return newReplyingEntry(t, accepted, text, acceptedCount)
}

// accepted is the head with which an entry accepts a forwarded request.
const accepted = "HTTP/1.1 100 Continue\r\n\r\n"

// newReplyingEntry is newCutEntry with another reply to the head of the request.
func newReplyingEntry(t *testing.T, reply, text string, acceptedCount *atomic.Int64) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				buf := make([]byte, 4096)
				_ = c.SetDeadline(time.Now().Add(10 * time.Second))
				if _, err := c.Read(buf); err != nil {
					return
				}
				_, _ = io.WriteString(c, reply)
				if _, err := c.Read(buf); err != nil {
					return
				}
				acceptedCount.Add(1)
				_, _ = io.WriteString(c, text)
			}()
		}
	}()
	return ln.Addr().String()
}
