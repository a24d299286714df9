package transport

// http.Transport resends a request when a kept-alive connection breaks and the
// request looks replayable: it has no body or one that can be rewound, and it
// is a GET or has an Idempotency-Key header. Two rules prevent this for
// requests that may have side effects:
//
//   - bodies are plain readers, which the transport cannot rewind;
//   - requests that must not be repeated use a fresh connection (New(Fresh)),
//     on which the transport never retries, whatever the headers are.

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/dunlinquay/dunlinquay/httphead"
	"github.com/dunlinquay/dunlinquay/result"
)

// Reuse selects whether connections are kept alive between requests.
type Reuse bool

// The two kinds of clients: one that reuses connections, and one that opens a connection for each request.
const (
	KeepAlive Reuse = true
	Fresh     Reuse = false
)

const (
	maxIdlePerUpstream = 64
	dialTimeout        = 2 * time.Second
	idleTimeout        = 30 * time.Second
)

// Dial opens a TCP connection to address (host:port).
type Dial func(ctx context.Context, address string) (net.Conn, error)

// TCP returns a Dial with a timeout for opening the connection and default socket options.
func TCP() Dial {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

const (
	// unacknowledgedTimeout is how long sent bytes may stay unacknowledged before the connection fails. A peer that has lost
	// power sends no reset, and without this limit a write to it would block for minutes.
	unacknowledgedTimeout = 3 * time.Second
	// The keep-alive settings detect a lost peer on a connection that only waits to read.
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
)

// TCPWithPeerTimeout returns a Dial whose connections fail when the peer stops acknowledging data or keep-alive probes.
func TCPWithPeerTimeout() Dial {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setUserTimeout,
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall lacks.
const tcpUserTimeout = 18

// New returns a client that follows no redirects, requests no compression, rejects answers whose head is not valid, and opens its connections
// with dial.
func New(reuse Reuse, dial Dial) *http.Client {
	return &http.Client{
		Transport: checkedTransport{&http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				conn, err := dial(ctx, address)
				if err != nil {
					return nil, err
				}
				return newHeadConn(conn), nil
			},
			DisableKeepAlives:      reuse == Fresh,
			DisableCompression:     true,
			MaxIdleConnsPerHost:    maxIdlePerUpstream,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: httphead.MaxBytes,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// OneShotBody returns a reader of b whose size the transport cannot see and which the transport cannot rewind; the caller sets
// ContentLength. The reader of an empty b is nil.
func OneShotBody(b []byte) io.Reader {
	if len(b) == 0 {
		return nil
	}
	return plainReader{bytes.NewReader(b)}
}

// plainReader hides all methods but Read, by which net/http would recognize a rewindable body.
type plainReader struct{ io.Reader }

// RefusesConnections reports whether address refuses connections, as a running VM does when no process listens on the port.
func RefusesConnections(ctx context.Context, dial Dial, address string) bool {
	conn, err := dial(ctx, address)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Classify wraps the error of a failed call with a result code. Only NeverSent guarantees that nothing was sent.
func Classify(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return result.Wrap(err, result.NeverSent, "cannot open connection")
	}
	var headErr *httphead.Error
	if errors.As(err, &headErr) {
		return result.Wrap(err, result.UpstreamMalformed, "the answer's head is not valid")
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return result.Wrap(err, result.TimedOut, "no answer before the deadline")
	}
	if errors.Is(err, context.Canceled) {
		return result.Wrap(err, result.Cancelled, "call cancelled")
	}
	return result.Wrap(err, result.UpstreamFailed, "connection broke")
}
