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

// listenRaw starts a listener whose answers serve writes to the connection; n counts the requests on all connections from 1.
func listenRaw(t *testing.T, serve func(n int, conn net.Conn, r *http.Request) (keepOpen bool)) (address string, requests *atomic.Int64) {
	t.Helper()
	ln, requests, err := standin.ListenRaw(serve)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String(), requests
}

func writeResponse(conn net.Conn, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

const completeAnswer = `{"request":"r1","epoch":7,"n":0,"text":"a "}
{"request":"r1","epoch":7,"n":1,"text":"b "}
{"request":"r1","epoch":7,"n":2,"done":true,"finish":"stop"}
`

func generate(t *testing.T, address string, client *engine.Client) (string, error) {
	t.Helper()
	s, err := client.Generate(t.Context(), address, &engine.GenerateRequest{Request: "r1", Epoch: 7, Prompt: []byte(`"p"`), MaxTokens: 2})
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

// Guards against the transport sending a request a second time when a kept-alive connection breaks, at any point of the exchange.
func TestBrokenConnectionIsNotRetried(t *testing.T) {
	for _, c := range []struct {
		name string
		// second handles the second request, which arrives on the connection of the first.
		second func(conn net.Conn, r *http.Request)
		code   result.Code
	}{
		{"after the request headers, before the body is read", func(net.Conn, *http.Request) {}, result.UpstreamFailed},
		{"after the whole request", func(_ net.Conn, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }, result.UpstreamFailed},
		{"in the middle of the answer's headers", func(conn net.Conn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nCont")
		}, result.UpstreamFailed},
		{"in the middle of the answer", func(conn net.Conn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(completeAnswer), completeAnswer[:60])
		}, result.AnswerFragment},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, requests := listenRaw(t, func(n int, conn net.Conn, r *http.Request) bool {
				if n == 2 {
					c.second(conn, r)
					return false
				}
				_, _ = io.Copy(io.Discard, r.Body)
				writeResponse(conn, completeAnswer)
				return true
			})
			client := engine.NewClient(transport.TCP())
			if _, err := generate(t, address, client); err != nil {
				t.Fatalf("first request: %v", err)
			}
			_, err := generate(t, address, client)
			if code := result.CodeOf(err); code != c.code {
				t.Errorf("code %d, want %d: %v", code, c.code, err)
			}
			if n := requests.Load(); n != 2 {
				t.Errorf("engine received %d requests, want 2", n)
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
		t.Errorf("closed port: code %d, want %d: %v", code, result.NeverSent, err)
	}
}

// Guards against taking a fragment, or another request's answer, for the complete answer.
func TestStreamRejectsInvalidAnswers(t *testing.T) {
	line := func(n int) string { return fmt.Sprintf(`{"request":"r1","epoch":7,"n":%d,"text":"x "}`+"\n", n) }
	end := func(n int) string { return fmt.Sprintf(`{"request":"r1","epoch":7,"n":%d,"done":true}`+"\n", n) }
	for _, c := range []struct {
		name string
		body string
		code result.Code
		text string
	}{
		{"complete", completeAnswer, result.OK, "a b "},
		{"complete without tokens", end(0), result.OK, ""},
		{"empty body", "", result.AnswerFragment, ""},
		{"no final line", line(0) + line(1), result.AnswerFragment, "x x "},
		{"truncated final line", line(0) + end(1)[:20], result.AnswerFragment, "x "},
		{"missing token", line(0) + line(2), result.AnswerFragment, "x "},
		{"duplicate token", line(0) + line(0), result.AnswerFragment, "x "},
		{"tokens out of order", line(1) + line(0), result.AnswerFragment, ""},
		{"final line with a count too high", line(0) + end(2), result.AnswerFragment, "x "},
		{"final line with a count too low", line(0) + line(1) + end(1), result.AnswerFragment, "x x "},
		{"another request's answer", strings.ReplaceAll(completeAnswer, "r1", "r2"), result.AnswerForeign, ""},
		{"another request's token in between", line(0) + strings.ReplaceAll(line(1), "r1", "r2"), result.AnswerForeign, "x "},
		{"another epoch", strings.ReplaceAll(completeAnswer, `"epoch":7`, `"epoch":6`), result.AnswerForeign, ""},
		{"not JSON", "hello\n", result.UpstreamMalformed, ""},
		{"line longer than the limit", strings.Repeat("x", 1<<20), result.UpstreamMalformed, ""},
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
		{"order refused", 409, `{"reason":"no"}`, result.OrderRefused},
		{"body is not JSON", 503, `oops`, result.UpstreamMalformed},
		{"redirect is not followed", 302, `{}`, result.UpstreamFailed},
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

// A stand-in that checks orders refuses those with an older fence, as the client expects of an engine.
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
		{"newer leader", true, join(3, 1), result.OK},
		{"same leader, later order", true, join(2, 9), result.OK},
		{"same order again", true, join(2, 5), result.OK},
		{"same leader, earlier order", true, join(2, 4), result.OrderFenced},
		{"older leader", true, join(1, 99), result.OrderFenced},
		{"older leader, engine does not check", false, join(1, 99), result.OK},
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
	f.Add(completeAnswer)
	f.Add(completeAnswer[:70])
	f.Add(strings.ReplaceAll(completeAnswer, "r1", "r2"))
	f.Add(`{"request":"r1","epoch":7,"n":0,"done":true}` + "\n")
	f.Add("{}\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		s := engine.NewStream(io.NopCloser(strings.NewReader(body)), "r1", 7, 0)
		defer s.Close()
		for want := 0; ; want++ {
			token, err := s.Next()
			if err != nil {
				if result.CodeOf(err) == result.Unnamed {
					t.Fatalf("error without a code: %v", err)
				}
				return
			}
			if token.Request != "r1" || token.Epoch != 7 || token.N != want {
				t.Fatalf("Next accepted for token %d: %+v", want, token)
			}
			if token.Done {
				return
			}
		}
	})
}

// An engine that refuses for lack of capacity may request a backoff by Retry-After. Other refusals and values that cannot be
// parsed request none.
func TestRefusalBackoff(t *testing.T) {
	for _, c := range []struct {
		name, status, header string
		want                 time.Duration
	}{
		{"503 with whole seconds", "503", "Retry-After: 3\r\n", 3 * time.Second},
		{"429 with a fraction of a second", "429", "Retry-After: 0.5\r\n", 500 * time.Millisecond},
		{"no header", "503", "", 0},
		{"value cannot be parsed", "503", "Retry-After: soon\r\n", 0},
		{"not a refusal for lack of capacity", "409", "Retry-After: 3\r\n", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			address, _ := listenRaw(t, func(_ int, conn net.Conn, _ *http.Request) bool {
				body := `{"not-run":true,"reason":"no room"}`
				fmt.Fprintf(conn, "HTTP/1.1 %s X\r\n%sContent-Length: %d\r\n\r\n%s", c.status, c.header, len(body), body)
				return false
			})
			_, err := engine.NewClient(transport.TCP()).Generate(context.Background(), address, &engine.GenerateRequest{Request: "r1", Epoch: 7})
			if got := backoff.RequestedBy(err); got != c.want || result.CodeOf(err) != result.UpstreamNotRun {
				t.Errorf("error %v requests a backoff of %v, want code %d and %v", err, got, result.UpstreamNotRun, c.want)
			}
		})
	}
}
