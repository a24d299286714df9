package caller_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/dunlinquay/dunlinquay/caller"
)

// oneConn is a listener that accepts one connection.
type oneConn chan net.Conn

func (l oneConn) Accept() (net.Conn, error) {
	if c, ok := <-l; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l oneConn) Close() error { return nil }

func (l oneConn) Addr() net.Addr { return &net.TCPAddr{} }

// A request is in progress until its answer has been sent. A planned stop took it for ended when its handler had returned, and could close the
// connection before the answer was sent.
func TestRequestIsInProgressUntilAnswerIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := caller.NewServer()
		server, ln := s.HTTP(), make(oneConn, 1)
		ours, theirs := net.Pipe()
		ln <- theirs
		close(ln)
		go func() { _ = server.Serve(ln) }()
		if _, err := io.WriteString(ours, "GET /v1/models HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		if n := s.InProgress(); n != 1 {
			t.Errorf("%d requests in progress while the answer is being sent, want 1", n)
		}
		resp, err := http.ReadResponse(bufio.NewReader(ours), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Error(err)
		}
		synctest.Wait()
		if n := s.InProgress(); n != 0 {
			t.Errorf("%d requests in progress after the answer, want 0", n)
		}
		ours.Close()
		_ = server.Close()
	})
}
