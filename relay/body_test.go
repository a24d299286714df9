package relay_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"
)

// A caller that stops in the middle of its body gets its answer by the route's time-out, and the request does not run.
func TestARequestWhoseBodyStopsKeepsTheTimeOut(t *testing.T) {
	u := newUpstream(t, always(whole))
	s := newSite(t, []*upstream{u}, nil)
	cfg := config()
	cfg.Routes[0].Timeout = 200 * time.Millisecond
	s.relay.SetConfig(cfg)
	for _, kind := range []string{"Content-Length: 10\r\n\r\nhalf", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"} {
		conn, err := net.Dial("tcp", s.front.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		began := time.Now()
		fmt.Fprint(conn, "POST /safe/x HTTP/1.1\r\nHost: h\r\nRequest: r1\r\nKey: secret\r\n"+kind)
		if err := conn.SetReadDeadline(began.Add(5 * time.Second)); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("no answer after %v: %v", time.Since(began), err)
		}
		resp.Body.Close()
		if took := time.Since(began); took < 200*time.Millisecond || took > 700*time.Millisecond {
			t.Errorf("answered after %v by a time-out of 200 ms", took)
		}
		if resp.StatusCode != http.StatusServiceUnavailable || len(u.arrivals()) != 0 {
			t.Errorf("status %d, %d requests at the upstream", resp.StatusCode, len(u.arrivals()))
		}
	}
	// A whole body takes nothing of this to the next request of its connection.
	for i := range 3 {
		if got := s.do(s.request("POST", "/safe/x", fmt.Sprint("w", i), "body")); got.Status != http.StatusOK {
			t.Errorf("status %d", got.Status)
		}
	}
}
