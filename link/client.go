package link

// A connection that was cut silently holds every call on it, so a call that
// gets no answer in time gives the connection up and the next one opens
// another. Dialing is done by one call at a time; the others wait no longer
// than they have time.

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

// DialTimeout bounds the opening of a connection. A peer that has no power yet does not answer, and the kernel sends what opens a
// connection again only after a second: whoever started a little before its peer would wait that long.
const DialTimeout = 250 * time.Millisecond

// Client calls one service of one other daemon; exported fields are set before the first call.
type Client struct {
	Address string
	// Service is the name under which the methods stand on the wire.
	Service string
	// Dial opens a connection.
	Dial transport.Dial
	// Prepare is applied to each new connection, for example to secure it; nil leaves it as it is.
	Prepare func(ctx context.Context, conn net.Conn) (net.Conn, error)

	dialing chan struct{}
	mu      sync.Mutex
	conn    *rpc.Client
	// lastContact is when the open connection was made or last brought an answer.
	lastContact time.Time
}

// NewClient returns a client of service at address.
func NewClient(address, service string) *Client {
	return &Client{Address: address, Service: service, Dial: transport.TCP(), dialing: make(chan struct{}, 1)}
}

// Call makes one call; after a failure of the connection the next call opens another one.
func (c *Client) Call(ctx context.Context, timeout time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := c.connect(ctx)
	if err != nil {
		return result.Wrap(err, result.DaemonUnreached, "daemon at %s cannot be reached", c.Address)
	}
	pending := conn.Go(c.Service+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case done := <-pending.Done:
		return c.finishCall(conn, done.Error)
	case <-ctx.Done():
		// The reply may still arrive and must not be written while the caller reads; the connection is given up.
		c.closeConn(conn)
		<-pending.Done
		return result.Wrap(ctx.Err(), result.DaemonUnreached, "daemon at %s did not answer in time", c.Address)
	}
}

// Close closes the connection; a later call opens another one.
func (c *Client) Close() {
	if conn := c.openConn(); conn != nil {
		c.closeConn(conn)
	}
}

// DropUnheard closes the connection when nothing has come over it since a time; calls that are under way on it fail.
func (c *Client) DropUnheard(since time.Time) {
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
		return result.Wrap(err, result.PeerRefused, "daemon at %s refused", c.Address)
	}
	c.closeConn(conn)
	return result.Wrap(err, result.DaemonUnreached, "connection to daemon at %s broke", c.Address)
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
	case c.dialing <- struct{}{}:
		defer func() { <-c.dialing }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if open := c.openConn(); open != nil {
		return open, nil
	}
	conn, err := c.dial(ctx)
	if err != nil {
		return nil, err
	}
	if c.Prepare != nil {
		if conn, err = c.Prepare(ctx, conn); err != nil {
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

func (c *Client) openConn() *rpc.Client {
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
