package service_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/dispatch"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/service"
	"github.com/dunlinquay/dunlinquay/standin"
	"github.com/dunlinquay/dunlinquay/transport"
)

// closeOnSecondRequest answers the first request and closes the connection on the second, without an answer: the case in
// which net/http may send a request again.
func closeOnSecondRequest(t *testing.T) (address string, requests *atomic.Int64) {
	t.Helper()
	ln, requests, err := standin.ListenRaw(func(n int, conn net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		if n == 2 {
			return false
		}
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return err == nil
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String(), requests
}

// Guards against a call that must not be repeated being sent twice by net/http, which resends on a broken kept-alive
// connection if the body is empty or can be rewound, and the call is a GET or has an Idempotency-Key.
func TestNonRepeatableCallIsSentOnce(t *testing.T) {
	for _, c := range []struct {
		method string
		body   string
		key    string
	}{
		{http.MethodGet, "", ""},
		{http.MethodGet, "", "k"},
		{http.MethodDelete, "", "k"},
		{http.MethodPost, "charge", ""},
		{http.MethodPost, "charge", "k"},
		{http.MethodPost, "", "k"},
	} {
		t.Run(fmt.Sprintf("%s %q key %q", c.method, c.body, c.key), func(t *testing.T) {
			address, requests := closeOnSecondRequest(t)
			client := service.NewClient(transport.TCP(), 1<<20)
			call := &dispatch.Call{Method: c.method, Path: "/x", Body: []byte(c.body), Header: http.Header{}, AtMostOnce: true}
			if c.key != "" {
				call.Header["Idempotency-Key"] = []string{c.key}
			}
			if _, err := client.Send(t.Context(), address, call); err != nil {
				t.Fatalf("first call: %v", err)
			}
			_, err := client.Send(t.Context(), address, call)
			if code := result.CodeOf(err); code != result.UpstreamFailed {
				t.Errorf("call on closed connection: code %d, want %d: %v", code, result.UpstreamFailed, err)
			}
			if n := requests.Load(); n != 2 {
				t.Errorf("service received %d requests, want 2", n)
			}
		})
	}
}

func TestCallAndReplyAreForwarded(t *testing.T) {
	var received *http.Request
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { //nolint:gosec // test server
		received = r.Clone(r.Context())
		w.Header().Set("X-Reply", "1")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "short and stout")
	})}
	go func() { _ = server.Serve(ln) }()
	defer func() { _ = server.Close() }()
	reply, err := service.NewClient(transport.TCP(), 1<<20).Send(t.Context(), ln.Addr().String(), &dispatch.Call{
		Method: http.MethodPut, Path: "/a%2Fb/c", Query: "x=1&y=%20", Body: []byte("body"), Repeatable: true,
		Header: http.Header{
			"X-Asked": {"1", "2"}, "Authorization": {"Bearer secret"}, "Connection": {"close, X-Gone"}, "X-Gone": {"1"}, "Te": {"trailers"},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if received.Method != http.MethodPut || received.RequestURI != "/a%2Fb/c?x=1&y=%20" {
		t.Errorf("received request %s %s", received.Method, received.RequestURI)
	}
	if diff := cmp.Diff([]string{"1", "2"}, received.Header["X-Asked"]); diff != "" {
		t.Errorf("header X-Asked (-want +got):\n%s", diff)
	}
	for _, name := range []string{"Authorization", "X-Gone", "Te"} {
		if v := received.Header.Get(name); v != "" {
			t.Errorf("header %s: %q was forwarded to the service", name, v)
		}
	}
	if reply.Status != http.StatusTeapot || string(reply.Body) != "short and stout" || http.Header(reply.Header).Get("X-Reply") != "1" {
		t.Errorf("reply %d %q %v", reply.Status, reply.Body, reply.Header)
	}
	if v := http.Header(reply.Header).Get("X-Hop"); v != "" {
		t.Errorf("hop-by-hop header X-Hop: %q was forwarded in the reply", v)
	}
}

func TestIncompleteReplyFails(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply string
		code  result.Code
	}{
		{"complete", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", result.OK},
		{"truncated", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok", result.UpstreamFailed},
		{"chunked without final chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", result.UpstreamFailed},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 200\r\n\r\n" + fmt.Sprintf("%0200d", 1), result.UpstreamFailed},
		{"not HTTP", "hello", result.UpstreamFailed},
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.WriteString(conn, c.reply)
			}
		}()
		_, err = service.NewClient(transport.TCP(), 100).Send(t.Context(), ln.Addr().String(), &dispatch.Call{Method: http.MethodPost, Path: "/"})
		if code := result.CodeOf(err); code != c.code {
			t.Errorf("%s: code %d, want %d: %v", c.name, code, c.code, err)
		}
		ln.Close()
	}
}
