package relay

// net/http's Transport sends a request again on its own when a kept connection
// breaks. That must not happen to a request that may run only once, so the relay
// has its own connection pool; heads of answers are checked by package httphead
// before net/http parses them.

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/dunlinquay/dunlinquay/httphead"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/transport"
)

const (
	writeBufferBytes = 4 << 10
	// maxIdlePerUpstream bounds the idle connections to one upstream, unless that accepts fewer.
	maxIdlePerUpstream = 16
	// defaultIdleTimeout is how long a connection is kept if the upstream names no time; idleTimeoutMargin is subtracted from a named one.
	defaultIdleTimeout = 10 * time.Second
	idleTimeoutMargin  = 700 * time.Millisecond
	// maxIdleForOnce is how long a connection can have been idle to be used for a request that must not be repeated.
	maxIdleForOnce = 500 * time.Millisecond
)

// upstreamConn is one connection to an upstream; it carries one request at a time.
type upstreamConn struct {
	net.Conn
	address   string
	br        *httphead.Reader
	bw        *bufio.Writer
	reused    bool
	idleSince time.Time
	expires   time.Time
	// onInterrupt is called when a read or write was interrupted, and reports whether to continue it; nil never continues.
	onInterrupt func() bool
}

// Read implements net.Conn.
func (c *upstreamConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if n > 0 || !c.continues(err) {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *upstreamConn) Write(b []byte) (int, error) {
	for written := 0; ; {
		n, err := c.Conn.Write(b[written:])
		written += n
		if !c.continues(err) {
			return written, err
		}
	}
}

// continues reports whether to continue a read or write that ended with err.
func (c *upstreamConn) continues(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) && c.onInterrupt != nil && c.onInterrupt()
}

// alive reports whether an idle connection is open and has nothing to read; it can't be reused after unsolicited bytes.
func (c *upstreamConn) alive() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	syscallConn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peekErr, syscall.EAGAIN)
}

// interrupt ends the read or write in progress and all later ones, unless onInterrupt continues them; whoever reads closes the connection.
func (c *upstreamConn) interrupt() { _ = c.SetDeadline(time.Unix(1, 0)) }

// callerWatch interrupts a connection when the caller disconnects, a planned stop ends the request, or on demand, until the watch ends: the
// connection may carry another request then.
type callerWatch struct {
	stop, stopEnd func() bool

	mu   sync.Mutex
	conn *upstreamConn
}

// watchCaller returns the watch of a connection that carries the request.
func (x *exchange) watchCaller(conn *upstreamConn) *callerWatch {
	w := &callerWatch{conn: conn}
	w.stop = context.AfterFunc(x.r.Context(), w.interrupt)
	w.stopEnd = context.AfterFunc(x.s.requestsCtx, w.interrupt)
	return w
}

func (w *callerWatch) interrupt() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil {
		w.conn.interrupt()
	}
}

// end ends the watch; it can be called again.
func (w *callerWatch) end() {
	w.stop()
	w.stopEnd()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = nil
}

// boundConn bounds the next reads and writes of a connection, and reports whether they are possible: the connection stays interrupted if the
// caller has disconnected or a planned stop has ended the request.
func (x *exchange) boundConn(c *upstreamConn, d time.Duration) bool {
	if err := c.SetDeadline(time.Now().Add(d)); err != nil || x.r.Context().Err() != nil || x.s.requestsEnded() {
		c.interrupt()
		return false
	}
	return true
}

// connPool keeps idle connections by address, the most recently used one last.
type connPool struct {
	dial transport.Dial
	now  func() time.Time

	mu   sync.Mutex
	idle map[string][]*upstreamConn
}

func newConnPool(dial transport.Dial, now func() time.Time) *connPool {
	return &connPool{dial: dial, now: now, idle: map[string][]*upstreamConn{}}
}

// get returns an idle connection, or a new one; unrepeatable is set for a request that must not be sent on a stale connection.
func (p *connPool) get(ctx context.Context, address string, unrepeatable bool) (*upstreamConn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			break
		}
		stale := unrepeatable && p.now().Sub(c.idleSince) > maxIdleForOnce
		if !stale && p.now().Before(c.expires) && c.alive() {
			c.reused = true
			return c, nil
		}
		c.Close()
	}
	return p.open(ctx, address)
}

// open opens a new connection.
func (p *connPool) open(ctx context.Context, address string) (*upstreamConn, error) {
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &upstreamConn{Conn: conn, address: address}
	c.br, c.bw = httphead.NewReader(c), bufio.NewWriterSize(c, writeBufferBytes)
	return c, nil
}

// keep keeps a new connection for the next request, or closes it if there is an idle one.
func (p *connPool) keep(c *upstreamConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) > 0 {
		c.Close()
		return
	}
	c.idleSince = p.now()
	c.expires = c.idleSince.Add(defaultIdleTimeout)
	p.idle[c.address] = append(p.idle[c.address], c)
}

// drop closes the idle connections to an address.
func (p *connPool) drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		c.Close()
	}
	delete(p.idle, address)
}

func (p *connPool) pop(address string) *upstreamConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	return c
}

// put keeps c for the next request if the answer allows it and fewer than maxIdle connections are kept.
func (p *connPool) put(c *upstreamConn, answer *http.Response, maxIdle int) {
	if answer.Close || answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 || c.br.Buffered() > 0 {
		c.Close()
		return
	}
	c.br.Shrink()
	c.idleSince = p.now()
	c.expires = c.idleSince.Add(keepAliveTimeout(answer.Header.Get("Keep-Alive")))
	if c.SetDeadline(time.Time{}) != nil {
		c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdle {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// keepAliveTimeout parses the timeout of a Keep-Alive header.
func keepAliveTimeout(header string) time.Duration {
	for _, part := range strings.Split(header, ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(seconds)*time.Second-idleTimeoutMargin)
		}
	}
	return defaultIdleTimeout
}

// prune closes expired connections and those to addresses that are no longer in use.
func (p *connPool) prune(inUse func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for address, conns := range p.idle {
		var kept []*upstreamConn
		for _, c := range conns {
			if inUse(address) && now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// returnConn returns the connection to the pool after the answer has been read.
func (f *forwarder) returnConn(answer *http.Response) {
	f.unwatch()
	f.x.s.pool.put(f.conn, answer, f.x.maxIdleConns(f.target))
}

// maxIdleConns returns how many idle connections to an upstream are kept: this entry's share of those that the upstream accepts from all
// entries, without those that can be in use. The upstream resets any further ones.
func (x *exchange) maxIdleConns(t *target) int {
	maxConnections := x.service.MaxConnections
	if maxConnections <= 0 {
		return maxIdlePerUpstream
	}
	spare := maxConnections - int(float64(t.slots)*(1+queuePerSlot(x.service)))
	return min(maxIdlePerUpstream, x.s.localShare(spare, t.id))
}

// localShare returns this entry's share of a total that an upstream has for all entries. The mutex is not held.
func (s *Relay) localShare(total int, id ident.Incarnation) int {
	s.mu.Lock()
	entries := s.entries
	s.mu.Unlock()
	if entries == nil {
		return max(1, total/s.Budget.Entries())
	}
	return entries.Share(total, string(id))
}
