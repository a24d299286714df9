package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/httphead"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/sharing"
)

// brokenHead is an answer whose head is not valid.
type brokenHead struct {
	name string
	// text returns the answer to the request with that id.
	text func(id string) string
}

// forgedAnswer is a valid answer to the request with that id. An upstream must not be able to hide it in the body of another answer.
func forgedAnswer(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 X\r\nRequest: %s\r\n%s\r\nContent-Length: 6\r\n\r\nforged", id, signature)
}

// brokenStatuses are answers whose status is not one of a final answer.
func brokenStatuses() []brokenHead {
	var heads []brokenHead
	for _, status := range []string{"000", "099", "+20", "-00", "101", "600", "999"} {
		for _, extra := range []string{signature, "Not-Run: 1"} {
			heads = append(heads, brokenHead{fmt.Sprintf("status %s %s", status, extra), func(id string) string {
				body := forgedAnswer(id)
				return fmt.Sprintf("HTTP/1.1 %s X\r\nRequest: %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s", status, id, extra, len(body), body)
			}})
		}
	}
	return heads
}

// brokenNames are answers with a field whose name is not a token (RFC 9110, section 5.1).
func brokenNames() []brokenHead {
	var heads []brokenHead
	for _, line := range []string{
		"Transfer-Encoding : chunked", "Transfer-Encoding\t: chunked", "Transfer Encoding: chunked", " Transfer-Encoding: chunked", "\tTransfer-Encoding: chunked",
		"Content-Length : 3", "Content-Length\x01: 3", "X-Field : v", "X Field: v", "X\tField: v", "X-\x00Field: v", "X\x7f: v", "X\xe4: v", "X(): v", ": v", "v",
	} {
		for _, extra := range []string{signature, "Not-Run: 1"} {
			heads = append(heads, brokenHead{fmt.Sprintf("%q %s", line, extra), func(id string) string {
				return fmt.Sprintf("HTTP/1.1 200 X\r\nRequest: %s\r\n%s\r\n%s\r\n\r\n3\r\nabc\r\n0\r\n\r\n", id, extra, line)
			}})
		}
		heads = append(heads, brokenHead{fmt.Sprintf("%q interim", line), func(id string) string {
			return "HTTP/1.1 103 X\r\n" + line + "\r\n\r\n" + forgedAnswer(id)
		}})
	}
	return heads
}

// brokenVersions are answers of other major versions, and one of HTTP/1.0 with a transfer encoding, which that does not have.
func brokenVersions() []brokenHead {
	var heads []brokenHead
	for _, version := range []string{"HTTP/1.0", "HTTP/0.9", "HTTP/2.0", "HTTP/1.10", "HTTP/1", "http/1.1", "ICY"} {
		heads = append(heads, brokenHead{version, func(id string) string {
			return fmt.Sprintf("%s 200 X\r\nRequest: %s\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", version, id, signature)
		}})
	}
	return heads
}

// brokenHeads are all answers whose head is not valid.
func brokenHeads() []brokenHead {
	return slices.Concat(brokenStatuses(), brokenNames(), brokenVersions())
}

// sendFirst answers the first request with text and any other one with respond. closed is closed once the entry has closed the first
// request's connection.
func sendFirst(text string, respond responder) (responder, <-chan struct{}) {
	var sent atomic.Bool
	closed := make(chan struct{})
	return func(c net.Conn, r *http.Request, n int) bool {
		if sent.Swap(true) {
			return respond(c, r, n)
		}
		_ = c.SetDeadline(time.Now().Add(10 * time.Second))
		_, _ = io.WriteString(c, text)
		if _, err := io.Copy(io.Discard, c); err == nil {
			close(closed)
		}
		return false
	}, closed
}

// An answer whose head is not valid is no answer, and nothing in it is applied: its connection is closed, a request that can be repeated gets
// the answer of another upstream, one that cannot gets an error that does not say "not run".
func TestAnswerWithBrokenHead(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/once/x"} {
		want := afterBrokenAnswer(path)
		for _, head := range brokenHeads() {
			t.Run(path+" "+head.name, func(t *testing.T) {
				t.Parallel()
				respond, closed := sendFirst(head.text("id"), respondKind)
				checkCutHead(t, path, head.text("id"), respond, want)
				select {
				case <-closed:
				case <-time.After(5 * time.Second):
					t.Error("the connection is still open")
				}
			})
		}
	}
}

// The record of a request says which answer was rejected, and why.
func TestRecordOfBrokenHead(t *testing.T) {
	const line = "HTTP/1.1 000 X"
	broken := newUpstream(t, always(func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, line+"\r\n\r\n")
		return false
	}))
	s := newTestEntry(t, []*upstream{broken, newUpstream(t, always(respondComplete))}, nil)
	// The load of the second upstream makes the relay choose the first.
	s.relay.SetPeerCounts(map[ident.Incarnation]int{"p1": 3})
	s.do(s.request("POST", "/safe/x", "id", ""))
	s.relay.Wait()
	attempts := s.records[0].Attempts
	if len(attempts) != 2 {
		t.Fatalf("%d attempts, want 2", len(attempts))
	}
	first := attempts[0]
	want := relay.Attempt{Upstream: "p0", Result: "broken", ConnFailure: relay.ConnUnusable, HeadRule: httphead.RuleStatus, HeadLine: strconv.Quote(line)}
	got := relay.Attempt{Upstream: first.Upstream, Result: first.Result, ConnFailure: first.ConnFailure, HeadRule: first.HeadRule, HeadLine: first.HeadLine}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
	if second := attempts[1]; second.HeadRule != "" || second.HeadLine != "" {
		t.Errorf("the valid answer breaks the rule %q at %s", second.HeadRule, second.HeadLine)
	}
}

// A stream whose continuation has a head that is not valid does not end as complete.
func TestContinuationWithBrokenHead(t *testing.T) {
	for _, head := range brokenHeads() {
		t.Run(head.name, func(t *testing.T) {
			t.Parallel()
			s, _ := newPipeEntry(t, always(func(c net.Conn, r *http.Request) bool {
				if r.Header.Get("Event") == "" {
					return respondStream(c, r, 1, 2, false)
				}
				_, _ = io.WriteString(c, head.text("id"))
				return false
			}))
			if got := s.serve(s.request("POST", "/stream/x", "id", "body")); got.Complete || !strings.HasPrefix(eventText(1, 2), got.Body) {
				t.Errorf("%+v, want an incomplete answer", got)
			}
		})
	}
}

// A request that another entry accepted has no answer, and may have run, if that entry's answer has a head that is not valid.
func TestForwardedAnswerWithBrokenHead(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x"} {
		for _, head := range brokenHeads() {
			t.Run(path+" "+head.name, func(t *testing.T) {
				t.Parallel()
				f := newForwardSite(t, respondKind)
				var acceptedCount atomic.Int64
				entry := newCutEntry(t, head.text("id"), &acceptedCount)
				f.cut.relay.SetEntries(sharing.New("127.0.0.1:1", map[ident.Hall][]string{"hall": {"127.0.0.1:1", entry}}))
				if got := f.cut.do(f.cut.request("POST", path, "id", "body")); got.Status != http.StatusBadGateway {
					t.Errorf("%+v, want a failure that does not say that the request did not run", got)
				}
				if acceptedCount.Load() == 0 {
					t.Error("no entry accepted the request: the test checks nothing")
				}
			})
		}
	}
}

// Interim answers of another entry are skipped, before it accepts a request and afterwards.
func TestInterimAnswersOfEntries(t *testing.T) {
	const interim, answer = "HTTP/1.1 103 X\r\nLink: l\r\n\r\n", "HTTP/1.1 200 X\r\n" + signature + "\r\nContent-Length: 2\r\n\r\nok"
	for _, tt := range []struct{ name, reply, answer string }{
		{"before it accepts", interim + accepted, answer},
		{"after it accepted", accepted, interim + answer},
		{"accepted twice", accepted, accepted + answer},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newForwardSite(t, respondKind)
			var acceptedCount atomic.Int64
			entry := newReplyingEntry(t, tt.reply, tt.answer, &acceptedCount)
			f.cut.relay.SetEntries(sharing.New("127.0.0.1:1", map[ident.Hall][]string{"hall": {"127.0.0.1:1", entry}}))
			if got, want := f.cut.do(f.cut.request("POST", "/unsafe/x", "id", "body")), (reply{http.StatusOK, "ok", true}); got != want {
				t.Errorf("%+v, want %+v", got, want)
			}
		})
	}
}
