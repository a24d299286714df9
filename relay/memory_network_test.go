package relay_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// memoryNetwork connects clients and servers without sockets.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
}

// memoryListener accepts the connections that are dialled to its address.
type memoryListener struct {
	address string
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

func (l *memoryListener) Addr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.MustParseAddrPort(l.address))
}

// listen returns the listener at an address.
func (n *memoryNetwork) listen(address string) *memoryListener {
	l := &memoryListener{address: address, conns: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

// serve starts a server and returns what ends it.
func (n *memoryNetwork) serve(address string, handler http.Handler) (end func()) {
	l := n.listen(address)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	return func() { _ = server.Close() }
}

func (n *memoryNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// cutMode is what happens to the connections from an entry to all upstreams.
type cutMode string

const (
	cutNone    cutMode = ""
	cutSilent  cutMode = "silent"
	cutReset   cutMode = "reset"
	cutRefused cutMode = "refused"
	// cutNewOnly refuses new connections, while open ones work.
	cutNewOnly cutMode = "new connections only"
)

// upstreamPath is the network between one entry and all upstreams.
type upstreamPath struct {
	network   *memoryNetwork
	upstreams map[string]bool

	mu   sync.Mutex
	mode cutMode
	// spared are the upstreams that stay reachable.
	spared []string
	conns  map[*pathConn]struct{}
}

func (p *upstreamPath) cut(mode cutMode) {
	p.cutExcept(nil, mode)
}

// cutExcept cuts the path to all upstreams but the spared ones.
func (p *upstreamPath) cutExcept(spared []string, mode cutMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spared, p.mode = spared, mode
	if mode != cutReset {
		return
	}
	for c := range p.conns {
		if !slices.Contains(spared, c.address) {
			c.reset()
		}
	}
}

func (p *upstreamPath) modeTo(address string) cutMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Contains(p.spared, address) {
		return cutNone
	}
	return p.mode
}

// dial opens a connection as the entry does.
func (p *upstreamPath) dial(ctx context.Context, address string) (net.Conn, error) {
	if !p.upstreams[address] {
		return p.network.dial(ctx, address)
	}
	switch p.modeTo(address) {
	case cutSilent, cutReset:
		<-ctx.Done()
		return nil, ctx.Err()
	case cutRefused, cutNewOnly:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	conn, err := p.network.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &pathConn{Conn: conn, path: p, address: address}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[*pathConn]struct{}{}
	}
	p.conns[c] = struct{}{}
	return c, nil
}

// resendInterval is how often a connection tries again to send what it holds.
const resendInterval = 10 * time.Millisecond

// pathConn is a connection to an upstream. While the path is silent it holds the bytes of both directions, and delivers them afterwards,
// even those that were written before Close.
type pathConn struct {
	net.Conn
	path    *upstreamPath
	address string

	// unread are bytes that have arrived, and readErr is the error behind them. A read that is interrupted while the path holds them leaves
	// them for the next one.
	readMu  sync.Mutex
	unread  []byte
	readErr error

	mu sync.Mutex
	// unsent are the bytes that the path holds.
	unsent   []byte
	closed   bool
	deadline time.Time
}

func (c *pathConn) silent() bool {
	mode := c.path.modeTo(c.address)
	return mode == cutSilent || mode == cutRefused
}

func (c *pathConn) Read(b []byte) (int, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if len(c.unread) == 0 && c.readErr == nil {
		n, err := c.Conn.Read(b)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, err
		}
		c.unread, c.readErr = append(c.unread, b[:n]...), err
	}
	for c.silent() {
		c.mu.Lock()
		closed, deadline := c.closed, c.deadline
		c.mu.Unlock()
		if closed {
			return 0, net.ErrClosed
		}
		if !deadline.IsZero() && !time.Now().Before(deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		time.Sleep(resendInterval)
	}
	n := copy(b, c.unread)
	c.unread = c.unread[n:]
	if len(c.unread) > 0 {
		return n, nil
	}
	return n, c.readErr
}

func (c *pathConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	if err := c.Conn.SetDeadline(t); !errors.Is(err, io.ErrClosedPipe) {
		return err
	}
	// The other side has closed the connection, which this side learns by reading, and not while the path is silent.
	return nil
}

func (c *pathConn) Write(b []byte) (int, error) {
	silent := c.silent()
	c.mu.Lock()
	held := len(c.unsent) > 0
	switch {
	case c.closed:
		c.mu.Unlock()
		return 0, net.ErrClosed
	case !silent && !held:
		c.mu.Unlock()
		return c.Conn.Write(b)
	}
	defer c.mu.Unlock()
	c.unsent = append(c.unsent, b...)
	if !held {
		go c.resend()
	}
	return len(b), nil
}

// resend sends what the connection holds once the path is back.
func (c *pathConn) resend() {
	for c.silent() {
		time.Sleep(resendInterval)
	}
	for {
		c.mu.Lock()
		text, closed := c.unsent, c.closed
		c.mu.Unlock()
		if len(text) == 0 {
			if closed {
				_ = c.Conn.Close()
			}
			return
		}
		_, err := c.Conn.Write(text)
		c.mu.Lock()
		c.unsent = c.unsent[len(text):]
		if err != nil {
			c.unsent = nil
		}
		c.mu.Unlock()
	}
}

func (c *pathConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if len(c.unsent) > 0 {
		return c.SetReadDeadline(time.Unix(1, 0))
	}
	return c.Conn.Close()
}

// reset ends the connection on both sides; what it holds is lost.
func (c *pathConn) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent = nil
	c.Conn.Close()
}
