package soak

// A link is a forwarder on loopback before one server. Whoever talks to the
// server goes through it, so the network between them can be slow, silent in
// one or both directions, or break.

import (
	"context"
	"net"
	"sync"
	"time"
)

// weather is what a link does at the moment.
type weather struct {
	delay time.Duration
	// mute drops nothing but holds bytes back, towards the server and from it.
	muteTo, muteFrom bool
	refuse           bool
}

const (
	linkBuffer = 16 << 10
	// linkLook is how often a held link looks for better weather.
	linkLook = 20 * time.Millisecond
)

type link struct {
	server string
	ln     net.Listener

	mu    sync.Mutex
	now   weather
	conns map[net.Conn]bool
}

// newLink forwards from address (host:port, port 0 for any) to server.
func newLink(ctx context.Context, address, server string) (*link, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{server: server, ln: ln, conns: map[net.Conn]bool{}}
	context.AfterFunc(ctx, l.close)
	go l.accept(ctx)
	return l, nil
}

func (l *link) address() string { return l.ln.Addr().String() }

func (l *link) close() {
	l.ln.Close()
	l.reset()
}

func (l *link) set(w weather) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now = w
}

func (l *link) weather() weather {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now
}

// reset breaks every connection.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// A closed connection with a zero linger is reset.
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
	l.conns = map[net.Conn]bool{}
}

func (l *link) accept(ctx context.Context) {
	for {
		caller, err := l.ln.Accept()
		if err != nil {
			return
		}
		if l.weather().refuse {
			caller.Close()
			continue
		}
		go l.forward(ctx, caller)
	}
}

func (l *link) forward(ctx context.Context, caller net.Conn) {
	defer caller.Close()
	server, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.server)
	if err != nil {
		// What the caller then sees is a connection that breaks, as of a process that is not there.
		return
	}
	defer server.Close()
	l.mu.Lock()
	l.conns[caller], l.conns[server] = true, true
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(ctx, server, caller, func(w weather) bool { return w.muteTo }) })
	wg.Go(func() { l.copy(ctx, caller, server, func(w weather) bool { return w.muteFrom }) })
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, caller)
	delete(l.conns, server)
}

// copy passes bytes on as the weather allows, and then the end of the stream.
func (l *link) copy(ctx context.Context, to, from net.Conn, muted func(w weather) bool) {
	buf := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buf)
		w := l.weather()
		pause(ctx, w.delay)
		for muted(l.weather()) && ctx.Err() == nil {
			pause(ctx, linkLook)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				from.Close()
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
