package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// upstream is a worker that answers over raw connections, so that tests can produce every fault of a connection.
type upstream struct {
	t  testing.TB
	ln net.Listener

	mu       sync.Mutex
	requests []receivedRequest
	// respond answers one request on a connection; returning false closes it.
	respond func(c net.Conn, r *http.Request, n int) bool
	wg      sync.WaitGroup
}

// receivedRequest has the parts of a received request that tests check.
type receivedRequest struct {
	ID, Method, Path, Body, Customer, Key, Event, Incarnation, Expect string
}

func newUpstream(t testing.TB, respond func(c net.Conn, r *http.Request, n int) bool) *upstream {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{t: t, ln: ln, respond: respond}
	u.wg.Go(u.accept)
	t.Cleanup(func() { ln.Close() })
	return u
}

func (u *upstream) address() string { return u.ln.Addr().String() }

func (u *upstream) accept() {
	for {
		c, err := u.ln.Accept()
		if err != nil {
			return
		}
		u.wg.Go(func() { u.serve(c) })
	}
}

func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		u.mu.Lock()
		u.requests = append(u.requests, receivedRequest{
			r.Header.Get("Request"), r.Method, r.RequestURI, string(body), r.Header.Get("Customer"), r.Header.Get("Key"),
			r.Header.Get("Event"), r.Header.Get("Life"), r.Header.Get("Expect"),
		})
		n := len(u.requests)
		u.mu.Unlock()
		if !u.respond(c, r, n) {
			return
		}
	}
}

func (u *upstream) received() []receivedRequest {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]receivedRequest(nil), u.requests...)
}

// answerHead returns the head of an answer to r.
func answerHead(r *http.Request, status int, extra ...string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nRequest: %s\r\n%s\r\n", status, r.Header.Get("Request"), strings.Join(append(extra, ""), "\r\n"))
}

const signature = "Signature: s"

// respondComplete answers r with a body derived from its id.
func respondComplete(c net.Conn, r *http.Request) bool {
	body := "answer to " + r.Header.Get("Request")
	_, err := io.WriteString(c, answerHead(r, 200, signature, fmt.Sprintf("Content-Length: %d", len(body)))+body)
	return err == nil
}

func respondNotRun(c net.Conn, r *http.Request) bool {
	_, err := io.WriteString(c, answerHead(r, 503, "Not-Run: 1", "Content-Length: 0"))
	return err == nil
}

func eventText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

// respondStream answers with the events from..to; ended says whether the stream ends properly.
func respondStream(c net.Conn, r *http.Request, from, to int, ended bool) bool {
	text := eventText(from, to)
	out := streamHead(r) + chunk(text)
	if ended {
		out += "0\r\n\r\n"
	}
	_, err := io.WriteString(c, out)
	return err == nil && ended
}

// resetConn makes the connection end with a reset.
func resetConn(c net.Conn) bool {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return false
}

// stayOpenSilent sends nothing until the other side closes the connection.
func stayOpenSilent(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, _ = c.Read(make([]byte, 1))
	return false
}

// streamHead returns the head of a chunked stream.
func streamHead(r *http.Request) string {
	return answerHead(r, 200, signature, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
}

// chunk returns text as one chunk of an answer.
func chunk(text string) string {
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}
