package transport

// net/http's transport sends a request again when a kept connection breaks and
// the request looks replayable: it has no body or one that can be rewound, and
// is a GET or carries an Idempotency-Key header. Two rules keep that from
// happening to work that may have effects:
//
//   - bodies are plain readers (Body), so the transport cannot rewind them;
//   - what must not be repeated goes over a fresh connection (New(Fresh)),
//     which the transport never retries, whatever the headers are.

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/dunlinquay/dunlinquay/result"
)

// Reuse says whether connections are kept between requests.
type Reuse bool

// The two kinds of clients.
const (
	Kept  Reuse = true
	Fresh Reuse = false
)

const (
	maxIdlePerUpstream = 64
	dialTimeout     = 2 * time.Second
	idleTimeout     = 30 * time.Second
)

// Dial opens a TCP connection to address (host:port).
type Dial func(ctx context.Context, address string) (net.Conn, error)

// TCP returns the usual way to open connections.
func TCP() Dial {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
}

const (
	// unacknowledgedTimeout is how long sent bytes may stay unacknowledged before a connection breaks; a peer without power says
	// nothing, and without this a write to it would hang for minutes.
	unacknowledgedTimeout = 3 * time.Second
	// keepAliveIdle and keepAliveInterval do the same for a connection on which only reads wait.
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes    = 3
)

// Guarded returns the way to open connections that break by themselves when the other side has fallen silent.
func Guarded() Dial {
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

// New returns a client that follows no redirects and asks for no compression; connections come from dial.
func New(reuse Reuse, dial Dial) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return dial(ctx, address)
			},
			DisableKeepAlives:   reuse == Fresh,
			DisableCompression:  true,
			MaxIdleConnsPerHost: maxIdlePerUpstream,
			IdleConnTimeout:     idleTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Body returns a reader of b that the transport can neither measure nor rewind; set ContentLength beside it.
func Body(b []byte) io.Reader {
	if len(b) == 0 {
		return nil
	}
	return plainReader{bytes.NewReader(b)}
}

// plainReader hides every other method of the reader in it.
type plainReader struct{ io.Reader }

// Refuses reports whether address refuses connections, as a VM does on which no process listens there any more.
func Refuses(ctx context.Context, dial Dial, address string) bool {
	conn, err := dial(ctx, address)
	if err == nil {
		conn.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Classify gives a failed call its code; only NeverSent is certain that nothing was sent.
func Classify(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return result.Wrap(err, result.NeverSent, "no connection")
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return result.Wrap(err, result.TimedOut, "no answer in time")
	}
	if errors.Is(err, context.Canceled) {
		return result.Wrap(err, result.Cancelled, "cancelled")
	}
	return result.Wrap(err, result.UpstreamFailed, "connection broke")
}
