package engine_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/engine"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/standin"
	"github.com/dunlinquay/dunlinquay/transport"
)

// listenRaw listens on a socket and lets serve answer the n-th request that arrives, on whichever connection, by hand.
func listenRaw(t *testing.T, serve func(n int, conn net.Conn, r *http.Request) (keepOpen bool)) (address string, requests *atomic.Int64) {
	t.Helper()
	ln, requests, err := standin.ByHand(serve)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String(), requests
}

func writeResponse(conn net.Conn, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

const wholeAnswer = `{"request":"r1","epoch":7,"n":0,"text":"a "}
{"request":"r1","epoch":7,"n":1,"text":"b "}
{"request":"r1","epoch":7,"n":2,"done":true,"finish":"stop"}
`

func generate(t *testing.T, address string, client *engine.Client) (string, error) {
	t.Helper()
	s, err := client.Generate(t.Context(), address, &engine.Generate{Request: "r1", Epoch: 7, Prompt: []byte(`"p"`), MaxTokens: 2})
	if err != nil {
		return "", err
	}
	defer s.Close()
	var text strings.Builder
	for {
		token, err := s.Next()
		if err != nil {
			return text.String(), err
		}
		if token.Done {
			return text.String(), nil
		}
		text.WriteString(token.Text)
	}
}

// A connection that breaks, wherever, never makes the transport send a request a second time.
func TestBrokenConnectionIsNotRetried(t *testing.T) {
	for _, c := range []struct {
		name string
		// second handles the second request, which comes over the kept connection of the first.
		second func(conn net.Conn, r *http.Request)
		code   result.Code
	}{
		{"after the headers, before the body was read", func(net.Conn, *http.Request) {}, result.UpstreamFailed},
		{"after the whole request", func(_ net.Conn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }, result.UpstreamFailed},
		{"in the middle of the answer's head", func(conn net.Conn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nCont")
		}, result.UpstreamFailed},
		{"in the middle of the answer", func(conn net.Conn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(wholeAnswer), wholeAnswer[:60])
		}, result.AnswerFragment},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, requests := listenRaw(t, func(n int, conn net.Conn, r *http.Request) bool {
				if n == 2 {
					c.second(conn, r)
					return false
				}
				_, _ = io.Copy(io.Discard, r.Body)
				writeResponse(conn, wholeAnswer)
				return true
			})
			client := engine.NewClient(transport.TCP())
			if _, err := generate(t, address, client); err != nil {
				t.Fatalf("the first request: %v", err)
			}
			_, err := generate(t, address, client)
			if code := result.CodeOf(err); code != c.code {
				t.Errorf("code %d, want %d: %v", code, c.code, err)
			}
			if n := requests.Load(); n != 2 {
				t.Errorf("%d requests arrived, 2 were sent", n)
			}
		})
	}
}

func TestFailedDialIsNeverSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	ln.Close()
	_, err = generate(t, address, engine.NewClient(transport.TCP()))
	if code := result.CodeOf(err); code != result.NeverSent {
		t.Errorf("closed port: code %d: %v", code, err)
	}
}

// Whatever is not the whole answer to this very request is told apart.
func TestStreamRejectsInvalidAnswers(t *testing.T) {
	line := func(n int) string { return fmt.Sprintf(`{"request":"r1","epoch":7,"n":%d,"text":"x "}`+"\n", n) }
	end := func(n int) string { return fmt.Sprintf(`{"request":"r1","epoch":7,"n":%d,"done":true}`+"\n", n) }
	for _, c := range []struct {
		name string
		body string
		code result.Code
		text string
	}{
		{"whole", wholeAnswer, result.OK, "a b "},
		{"whole and empty", end(0), result.OK, ""},
		{"nothing at all", "", result.AnswerFragment, ""},
		{"no end", line(0) + line(1), result.AnswerFragment, "x x "},
		{"the end cut in its line", line(0) + end(1)[:20], result.AnswerFragment, "x "},
		{"a gap", line(0) + line(2), result.AnswerFragment, "x "},
		{"a token twice", line(0) + line(0), result.AnswerFragment, "x "},
		{"tokens out of order", line(1) + line(0), result.AnswerFragment, ""},
		{"an end that counts too many", line(0) + end(2), result.AnswerFragment, "x "},
		{"an end that counts too few", line(0) + line(1) + end(1), result.AnswerFragment, "x x "},
		{"another request's answer", strings.ReplaceAll(wholeAnswer, "r1", "r2"), result.AnswerForeign, ""},
		{"a stranger's token in between", line(0) + strings.ReplaceAll(line(1), "r1", "r2"), result.AnswerForeign, "x "},
		{"another epoch", strings.ReplaceAll(wholeAnswer, `"epoch":7`, `"epoch":6`), result.AnswerForeign, ""},
		{"not JSON", "hello\n", result.UpstreamMalformed, ""},
		{"a line without end", strings.Repeat("x", 1<<20), result.UpstreamMalformed, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, _ := listenRaw(t, func(_ int, conn net.Conn, r *http.Request) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				writeResponse(conn, c.body)
				return true
			})
			text, err := generate(t, address, engine.NewClient(transport.TCP()))
			if code := result.CodeOf(err); code != c.code {
				t.Errorf("code %d, want %d: %v", code, c.code, err)
			}
			if diff := cmp.Diff(c.text, text); diff != "" {
				t.Errorf("text (-want +got):\n%s", diff)
			}
		})
	}
}

func TestRefusalCodes(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   string
		code   result.Code
	}{
		{"not run", 503, `{"not-run":true,"reason":"busy"}`, result.UpstreamNotRun},
		{"another epoch", 503, `{"not-run":true,"wrong-epoch":true}`, result.EpochMismatch},
		{"failed while it ran", 500, `{"reason":"out of memory"}`, result.UpstreamFailed},
		{"fenced", 412, `{"reason":"older"}`, result.OrderFenced},
		{"an order refused", 409, `{"reason":"no"}`, result.OrderRefused},
		{"no words", 503, `oops`, result.UpstreamMalformed},
		{"a redirect is not followed", 302, `{}`, result.UpstreamFailed},
	} {
		address, requests := listenRaw(t, func(_ int, conn net.Conn, r *http.Request) bool {
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nLocation: /elsewhere\r\nContent-Length: %d\r\n\r\n%s", c.status, len(c.body), c.body)
			return true
		})
		_, err := generate(t, address, engine.NewClient(transport.TCP()))
		if code := result.CodeOf(err); code != c.code || requests.Load() != 1 {
			t.Errorf("%s: code %d, want %d, after %d requests: %v", c.name, code, c.code, requests.Load(), err)
		}
	}
}

// The stand-in keeps to the interface that the client expects of an engine.
func TestStandInObeysFencedOrders(t *testing.T) {
	join := func(term, sequence uint64) *engine.Order {
		return &engine.Order{Kind: engine.OrderJoin, Fence: engine.Fence{Term: term, Sequence: sequence}, Group: "g", Epoch: 7, Model: "m"}
	}
	for _, c := range []struct {
		name   string
		checks bool
		order  *engine.Order
		code   result.Code
	}{
		{"a newer leader", true, join(3, 1), result.OK},
		{"the same leader later", true, join(2, 9), result.OK},
		{"the same order again", true, join(2, 5), result.OK},
		{"the same leader earlier", true, join(2, 4), result.OrderFenced},
		{"an older leader", true, join(1, 99), result.OrderFenced},
		{"an older leader, and it does not check", false, join(1, 99), result.OK},
	} {
		e := engine.NewStandIn()
		e.ChecksOrders = c.checks
		if err := e.Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		client := engine.NewClient(transport.TCP())
		if _, err := client.Order(context.Background(), e.Address(), join(2, 5)); err != nil {
			t.Fatal(err)
		}
		if _, err := client.Order(context.Background(), e.Address(), c.order); result.CodeOf(err) != c.code {
			t.Errorf("%s: %v, want code %d", c.name, err, c.code)
		}
		e.Kill()
	}
}

func FuzzStream(f *testing.F) {
	f.Add(wholeAnswer)
	f.Add(wholeAnswer[:70])
	f.Add(strings.ReplaceAll(wholeAnswer, "r1", "r2"))
	f.Add(`{"request":"r1","epoch":7,"n":0,"done":true}` + "\n")
	f.Add("{}\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		s := engine.NewStream(io.NopCloser(strings.NewReader(body)), "r1", 7, 0)
		defer s.Close()
		for want := 0; ; want++ {
			token, err := s.Next()
			if err != nil {
				if result.CodeOf(err) == result.Unnamed {
					t.Fatalf("an error without a code: %v", err)
				}
				return
			}
			if token.Request != "r1" || token.Epoch != 7 || token.N != want {
				t.Fatalf("token %d passed as %+v", want, token)
			}
			if token.Done {
				return
			}
		}
	})
}

// An engine that refuses for want of room may say for how long it wants nothing; only then, and only what can be read counts.
func TestRefusalBackoff(t *testing.T) {
	for _, c := range []struct {
		name, status, header string
		want                 time.Duration
	}{
		{"three seconds", "503", "Retry-After: 3\r\n", 3 * time.Second},
		{"too many", "429", "Retry-After: 0.5\r\n", 500 * time.Millisecond},
		{"nothing", "503", "", 0},
		{"unreadable", "503", "Retry-After: soon\r\n", 0},
		{"not for want of room", "409", "Retry-After: 3\r\n", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, _ := listenRaw(t, func(_ int, conn net.Conn, _ *http.Request) bool {
				body := `{"not-run":true,"reason":"no room"}`
				fmt.Fprintf(conn, "HTTP/1.1 %s X\r\n%sContent-Length: %d\r\n\r\n%s", c.status, c.header, len(body), body)
				return false
			})
			_, err := engine.NewClient(transport.TCP()).Generate(context.Background(), address, &engine.Generate{Request: "r1", Epoch: 7})
			if got := backoff.RequestedBy(err); got != c.want || result.CodeOf(err) != result.UpstreamNotRun {
				t.Errorf("%v asks for %v, want code %d and %v", err, got, result.UpstreamNotRun, c.want)
			}
		})
	}
}
