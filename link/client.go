package link

// A connection that was interrupted without notice blocks every call on it. A
// call without a reply in time therefore closes the connection, and the next
// call opens another. One call at a time dials; the others wait for the new
// connection until their time-outs.

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/transport"
)

// DialTimeout bounds the opening of a connection. The kernel repeats an unanswered SYN only after a second, so a longer
// attempt to reach a peer that is just booting would take that second.
const DialTimeout = 250 * time.Millisecond

// Client calls one service of one other daemon; exported fields are set before the first call.
type Client struct {
	Address string
	// Service is the prefix of method names on the wire.
	Service string
	// Dial opens a connection.
	Dial transport.Dial
	// WrapConn is applied to each new connection, for example to run TLS over it; nil leaves the connection as it is.
	WrapConn func(ctx context.Context, conn net.Conn) (net.Conn, error)

	dialLock chan struct{}
	mu       sync.Mutex
	conn     *rpc.Client
	// lastContact is when conn was opened or last received a reply.
	lastContact time.Time
}

// NewClient returns a client of service at address.
func NewClient(address, service string) *Client {
	return &Client{Address: address, Service: service, Dial: transport.TCP(), dialLock: make(chan struct{}, 1)}
}

// Call calls a method of the service. A call that fails in transport closes the connection.
func (c *Client) Call(ctx context.Context, timeout time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.connect(ctx)
	if err != nil {
		return result.Wrap(err, result.DaemonUnreached, "daemon at %s cannot be reached", c.Address)
	}
	call := conn.Go(c.Service+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case done := <-call.Done:
		return c.finishCall(conn, done.Error)
	case <-ctx.Done():
		// A late reply must not be written while the caller reads it. Closing the connection prevents that: no call on it is
		// pending afterwards.
		c.closeConn(conn)
		<-call.Done
		return result.Wrap(ctx.Err(), result.DaemonUnreached, "daemon at %s did not reply in time", c.Address)
	}
}

// Close closes the connection if there is one; a later call opens another.
func (c *Client) Close() {
	if conn := c.currentConn(); conn != nil {
		c.closeConn(conn)
	}
}

// CloseIfSilent closes the connection unless it was opened or received a reply at or after the given time. Calls in
// progress on the connection fail.
func (c *Client) CloseIfSilent(since time.Time) {
	c.mu.Lock()
	conn, lastContact := c.conn, c.lastContact
	c.mu.Unlock()
	if conn != nil && lastContact.Before(since) {
		c.closeConn(conn)
	}
}

func (c *Client) finishCall(conn *rpc.Client, err error) error {
	if err == nil {
		c.noteContact(conn)
		return nil
	}
	if _, ok := err.(rpc.ServerError); ok { //nolint:errorlint // net/rpc returns this type itself
		c.noteContact(conn)
		return result.Wrap(err, result.PeerRefused, "daemon at %s refused the call", c.Address)
	}
	c.closeConn(conn)
	return result.Wrap(err, result.DaemonUnreached, "connection to daemon at %s failed", c.Address)
}

func (c *Client) noteContact(conn *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == conn {
		c.lastContact = clock.Now()
	}
}

func (c *Client) connect(ctx context.Context) (*rpc.Client, error) {
	select {
	case c.dialLock <- struct{}{}:
		defer func() { <-c.dialLock }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if open := c.currentConn(); open != nil {
		return open, nil
	}
	conn, err := c.dial(ctx)
	if err != nil {
		return nil, err
	}
	if c.WrapConn != nil {
		if conn, err = c.WrapConn(ctx, conn); err != nil {
			return nil, err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn, c.lastContact = rpc.NewClient(conn), clock.Now()
	return c.conn, nil
}

func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	return c.Dial(ctx, c.Address)
}

func (c *Client) currentConn() *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

func (c *Client) closeConn(conn *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.Close()
	if c.conn == conn {
		c.conn = nil
	}
}
