package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dunlinquay/dunlinquay/link"
	"github.com/dunlinquay/dunlinquay/park"
	"github.com/dunlinquay/dunlinquay/quorum"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/transport"
)

const (
	deliverTimeout     = 2 * time.Second
	deliverQueueLength = 256
	maxDeliverBatch    = 64
)

// Client calls one other daemon. It opens its connection when needed; exported fields are set before Run.
type Client struct {
	Address string
	// Dial opens a connection, over which Client runs TLS if TLS is set.
	Dial transport.Dial
	// TLS is nil for plain TCP.
	TLS *tls.Config

	goroutines   *park.Group
	deliverQueue chan quorum.Message
	sent         atomic.Int64
	received     atomic.Int64

	setup sync.Once
	link  *link.Client
}

// NewClient returns a client of the daemon at address.
func NewClient(address string) *Client {
	c := &Client{Address: address, Dial: transport.TCP(), goroutines: park.New(), deliverQueue: make(chan quorum.Message, deliverQueueLength), link: link.NewClient(address, serviceName)}
	c.goroutines.Go(func(ctx context.Context) { c.deliverLoop(ctx) })
	return c
}

// Run sends queued log messages until ctx ends, then closes the connection.
func (c *Client) Run(ctx context.Context) {
	c.goroutines.Run(ctx)
	c.link.Close()
}

// Discard releases a client that will not run.
func (c *Client) Discard() {
	c.goroutines.Discard()
}

// Bytes returns how many bytes this client has sent and received, without TLS overhead.
func (c *Client) Bytes() (sent, received int64) {
	return c.sent.Load(), c.received.Load()
}

// Enqueue queues a log message for delivery. A full queue drops it: the log tolerates lost messages.
func (c *Client) Enqueue(m *quorum.Message) {
	select {
	case c.deliverQueue <- *m:
	default:
	}
}

// deliverLoop makes one call at a time, which keeps messages in order; messages queued meanwhile form the next batch.
func (c *Client) deliverLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-c.deliverQueue:
			call := &DeliverCall{Messages: c.collectBatch(m)}
			_ = c.call(ctx, deliverTimeout, "Deliver", call, &Empty{})
		}
	}
}

func (c *Client) collectBatch(first quorum.Message) []quorum.Message {
	messages := []quorum.Message{first}
	for len(messages) < maxDeliverBatch {
		select {
		case m := <-c.deliverQueue:
			messages = append(messages, m)
		default:
			return messages
		}
	}
	return messages
}

// Beat sends this daemon's status to the peer.
func (c *Client) Beat(ctx context.Context, timeout time.Duration, beat *Beat) (reply BeatReply, err error) {
	err = c.call(ctx, timeout, "Beat", beat, &reply)
	return reply, err
}

// Follow requests the commands after a revision from a control member.
func (c *Client) Follow(ctx context.Context, timeout time.Duration, call *FollowCall) (reply FollowReply, err error) {
	err = c.call(ctx, timeout, "Follow", call, &reply)
	return reply, err
}

// Propose forwards a command to the peer, which must lead the instance.
func (c *Client) Propose(ctx context.Context, timeout time.Duration, call *ProposeCall) (reply ProposeReply, err error) {
	err = c.call(ctx, timeout, "Propose", call, &reply)
	return reply, err
}

// Hello requests a control member's description.
func (c *Client) Hello(ctx context.Context, timeout time.Duration) (reply HelloReply, err error) {
	err = c.call(ctx, timeout, "Hello", &Empty{}, &reply)
	return reply, err
}

// Admit asks the leader of an instance to admit a member with a new data folder.
func (c *Client) Admit(ctx context.Context, timeout time.Duration, call *AdmitCall) (reply AdmitReply, err error) {
	err = c.call(ctx, timeout, "Admit", call, &reply)
	return reply, err
}

// Permit requests a permit from the coordinator of an upstream.
func (c *Client) Permit(ctx context.Context, timeout time.Duration, call *PermitCall) (reply PermitReply, err error) {
	err = c.call(ctx, timeout, "Permit", call, &reply)
	return reply, err
}

// call makes one call. The link is configured first, because exported fields may change until the first call.
func (c *Client) call(ctx context.Context, timeout time.Duration, method string, args, reply any) error {
	c.setup.Do(func() {
		c.link.Dial = c.Dial
		c.link.WrapConn = c.wrapConn
	})
	return c.link.Call(ctx, timeout, method, args, reply)
}

// wrapConn runs TLS over a new connection if configured, and counts bytes.
func (c *Client) wrapConn(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if c.TLS == nil {
		return &countedConn{conn, c}, nil
	}
	secured, err := c.handshake(ctx, conn)
	if err != nil {
		return nil, err
	}
	return &countedConn{secured, c}, nil
}

func (c *Client) handshake(ctx context.Context, conn net.Conn) (net.Conn, error) {
	cfg := c.TLS.Clone()
	cfg.ServerName, _, _ = net.SplitHostPort(c.Address)
	secured := tls.Client(conn, cfg)
	if err := secured.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return secured, nil
}

// countedConn counts the bytes of a connection at its client.
type countedConn struct {
	net.Conn
	client *Client
}

// Read counts received bytes.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.client.received.Add(int64(n))
	return n, err
}

// Write counts sent bytes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.client.sent.Add(int64(n))
	return n, err
}

// TLSConfig returns the configuration for mutual TLS from PEM files, or nil if cfg is nil.
func TLSConfig(cfg *settings.TLS) (*tls.Config, error) {
	if cfg == nil {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(cfg.Certificate, cfg.Key)
	if err != nil {
		return nil, result.Wrap(err, result.SettingsValue, "tls certificate and key cannot be loaded")
	}
	authorityPEM, err := os.ReadFile(cfg.Authority)
	if err != nil {
		return nil, result.Wrap(err, result.SettingsValue, "tls authority cannot be read")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorityPEM) {
		return nil, result.New(result.SettingsValue, "tls authority %s holds no certificate", cfg.Authority)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}
