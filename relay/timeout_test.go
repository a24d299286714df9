package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A caller that stops in the middle of its body is answered at the route's timeout, and the request does not run.
func TestTimeoutOfRequestWithStalledBody(t *testing.T) {
	u := newUpstream(t, always(respondComplete))
	s := newTestEntry(t, []*upstream{u}, nil)
	cfg := config()
	cfg.Routes[0].Timeout = 200 * time.Millisecond
	s.relay.SetConfig(cfg)
	for _, bodyStart := range []string{"Content-Length: 10\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"} {
		conn, err := net.Dial("tcp", s.server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		startedAt := time.Now()
		fmt.Fprint(conn, "POST /safe/x HTTP/1.1\r\nHost: h\r\nRequest: r1\r\nKey: secret\r\n"+bodyStart)
		if err := conn.SetReadDeadline(startedAt.Add(5 * time.Second)); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("no answer after %v: %v", time.Since(startedAt), err)
		}
		resp.Body.Close()
		if took := time.Since(startedAt); took < 200*time.Millisecond || took > 700*time.Millisecond {
			t.Errorf("answered after %v with a timeout of 200 ms", took)
		}
		if resp.StatusCode != http.StatusServiceUnavailable || len(u.received()) != 0 {
			t.Errorf("status %d, %d requests at the upstream", resp.StatusCode, len(u.received()))
		}
	}
	// The read deadline of one request does not affect later requests.
	for i := range 3 {
		if got := s.do(s.request("POST", "/safe/x", fmt.Sprint("w", i), "body")); got.Status != http.StatusOK {
			t.Errorf("status %d", got.Status)
		}
	}
}

// A request ends at its route's timeout, whatever its upstreams omit and whether or not its caller sends a deadline.
func TestRouteTimeoutIsKept(t *testing.T) {
	const timeout, slack = 300 * time.Millisecond, 500 * time.Millisecond
	for _, tt := range []struct {
		name    string
		respond func(c net.Conn, r *http.Request) bool
	}{
		{"everything", func(net.Conn, *http.Request) bool { return true }},
		{"the body", func(c net.Conn, r *http.Request) bool {
			_, err := io.WriteString(c, answerHead(r, 200, signature, "Content-Length: 50"))
			return err == nil
		}},
		{"the end", func(c net.Conn, r *http.Request) bool {
			_, err := io.WriteString(c, answerHead(r, 200, signature, "Content-Length: 50")+"part")
			return err == nil
		}},
		{"later events", func(c net.Conn, r *http.Request) bool {
			text := eventText(1, 2)
			_, err := io.WriteString(c, answerHead(r, 200, signature, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")+
				fmt.Sprintf("%x\r\n%s\r\n", len(text), text))
			return err == nil
		}},
	} {
		for _, route := range []string{"safe", "unsafe", "stream", "once"} {
			for _, callerDeadline := range []string{"", "60000"} {
				t.Run(tt.name+"/"+route+"/"+callerDeadline, func(t *testing.T) {
					t.Parallel()
					plain, heads := newUpstream(t, always(tt.respond)), newUpstream(t, always(tt.respond))
					s := newTestEntry(t, []*upstream{plain}, []*upstream{heads})
					cfg := config()
					for i := range cfg.Routes {
						cfg.Routes[i].Timeout = timeout
					}
					s.relay.SetConfig(cfg)
					ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
					defer cancel()
					r := s.request("POST", "/"+route+"/x", "r1", "body").WithContext(ctx)
					if callerDeadline != "" {
						r.Header.Set("Deadline", callerDeadline)
					}
					startedAt := time.Now()
					got := s.do(r)
					if took := time.Since(startedAt); took > timeout+slack {
						t.Errorf("ended after %v with %+v", took, got)
					}
					if got.Status == http.StatusOK && got.Complete {
						t.Errorf("a complete answer: %+v", got)
					}
				})
			}
		}
	}
}
