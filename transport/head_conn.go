package transport

// net/http reads the heads of answers itself, so each is checked before net/http
// gets it. When a request gets a connection, the next bytes there are the head of
// its answer:
//
//	request      answer
//	GotConn ->   head (checked)  body  |  next GotConn ->  head (checked) ...

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/dunlinquay/dunlinquay/httphead"
)

// maxInterims bounds the interim answers to one request.
const maxInterims = 5

var errInterims = errors.New("too many interim answers")

// checkedTransport rejects answers whose head is not valid.
type checkedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn *headConn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*headConn); ok {
			conn = c
			if info.Reused {
				c.headDue.Store(true)
			}
		}
	}}
	w, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil && conn != nil && r.Context().Err() == nil {
		// net/http reports the first byte of the head as malformed.
		if headErr := conn.headErr.Load(); headErr != nil {
			err = *headErr
		}
	}
	return w, err
}

// headConn is a connection that delivers no head before it was checked. The first bytes of a connection are a head.
type headConn struct {
	net.Conn
	rd *httphead.Reader
	// left are the bytes of a checked head that have not been delivered, interims the heads of interim answers to the current request.
	left, interims int
	headDue        atomic.Bool
	// headErr is why no further head is delivered.
	headErr atomic.Pointer[error]
}

func newHeadConn(conn net.Conn) *headConn {
	c := &headConn{Conn: conn, rd: httphead.NewReader(conn)}
	c.headDue.Store(true)
	return c
}

// Read implements net.Conn.
func (c *headConn) Read(b []byte) (int, error) {
	if err := c.headErr.Load(); err != nil {
		return 0, *err
	}
	c.rd.Shrink()
	// net/http reads a connection that no request has yet, so that a head can be due once bytes have arrived.
	if _, err := c.rd.Peek(1); err != nil {
		return 0, err
	}
	if c.left == 0 && c.headDue.Load() {
		if err := c.awaitHead(); err != nil {
			c.headErr.Store(&err)
			// net/http sends some requests again if nothing was read. One byte is never a head.
			n, _ := c.rd.Read(b[:1])
			return n, err
		}
	}
	if c.left > 0 {
		b = b[:min(len(b), c.left)]
	}
	n, err := c.rd.Read(b)
	c.left -= min(n, c.left)
	return n, err
}

// awaitHead waits for a head and checks it.
func (c *headConn) awaitHead() error {
	size, interim, err := c.rd.AwaitHead()
	switch {
	case err != nil:
		return err
	case !interim:
		c.interims = 0
		c.headDue.Store(false)
	case c.interims == maxInterims:
		return errInterims
	default:
		c.interims++
	}
	c.left = size
	return nil
}
