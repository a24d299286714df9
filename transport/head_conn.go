package transport

// net/http reads the heads of answers itself, so they are checked while it reads
// the connection. When a request gets a connection, the next bytes there are the
// head of its answer:
//
//	request      answer
//	GotConn ->   head (checked)  body  |  next GotConn ->  head (checked) ...

import (
	"cmp"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"

	"github.com/dunlinquay/dunlinquay/httphead"
)

// checkedTransport rejects answers whose head is not valid.
type checkedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn *headConn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*headConn); ok {
			conn = c
			c.expectHead()
		}
	}}
	w, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil && conn != nil {
		// net/http reports the part of the head that it has as malformed.
		err = cmp.Or(conn.headError(), err)
	}
	return w, err
}

// headConn is a connection whose reads fail at a head that is not valid. The first bytes of a connection are a head.
type headConn struct {
	net.Conn

	mu     sync.Mutex
	inBody bool
	head   httphead.Checker
	err    error
}

// expectHead makes the next bytes a head; on a new connection they are.
func (c *headConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inBody {
		c.inBody, c.head = false, httphead.Checker{}
	}
}

// headError returns why the connection's last head was rejected.
func (c *headConn) headError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// Read implements net.Conn.
func (c *headConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		c.err = c.check(b[:n])
	}
	if c.err != nil {
		// A head without its end is never accepted. net/http sends some requests again if nothing at all was read.
		return 1, c.err
	}
	return n, err
}

// check checks the heads in bytes that were read; the mutex is held.
func (c *headConn) check(b []byte) error {
	for len(b) > 0 && !c.inBody {
		n, err := c.head.Check(b)
		if err != nil {
			return err
		}
		b = b[n:]
		switch {
		case c.head.Done() && c.head.Interim():
			c.head = httphead.Checker{}
		case c.head.Done():
			c.inBody = true
		}
	}
	return nil
}
