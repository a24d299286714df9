package inbound

// The configuration bounds the headers of requests and the idle time of
// connections, and can change while connections are open. A net/http server
// cannot change these bounds, so each set of bounds has its own server. New
// connections are assigned to the newest one. A replaced server adds the header
// "Connection: close" to its answers, and is removed once its last connection is
// closed.

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

const (
	// Bounds that apply if the configuration sets none.
	defaultMaxHeaderBytes = 64 << 10
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 60 * time.Second
	drainCheckInterval    = 10 * time.Millisecond
	// acceptRetryDelay is the pause after an error of Accept, which mostly means that no file descriptors are left.
	acceptRetryDelay = 20 * time.Millisecond
)

// Bounds limits the size of a request's header, the time to receive the header, and the idle time of a connection; 0 means the default.
type Bounds struct {
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Server serves callers within bounds that can change. Exported fields may be set before use.
type Server struct {
	Handler http.Handler
	Log     logr.Logger
	// TracksArrivals makes ArrivalOf work for the requests.
	TracksArrivals bool

	mu          sync.Mutex
	stopped     bool
	bounds      Bounds
	listeners   []net.Listener
	generations []*generation
	// states holds the open connections.
	states   map[net.Conn]http.ConnState
	draining bool
}

// Connections is the number of open connections in each state.
type Connections struct {
	// New ones have not sent a complete head yet, Active ones have a request in progress.
	New    int `json:"new"`
	Active int `json:"active"`
	Idle   int `json:"idle"`
}

// Connections returns the number of open connections in each state.
func (s *Server) Connections() Connections {
	s.mu.Lock()
	defer s.mu.Unlock()
	var n Connections
	for _, state := range s.states {
		switch state {
		case http.StateNew:
			n.New++
		case http.StateActive:
			n.Active++
		case http.StateIdle:
			n.Idle++
		}
	}
	return n
}

// generation is the server of one set of bounds.
type generation struct {
	server   *http.Server
	listener *connListener
	// openConns counts the connections, and replaced is set once other bounds are in force; the mutex of Server guards both.
	openConns int
	replaced  bool
}

// New returns a server with default bounds.
func New(handler http.Handler) *Server {
	s := &Server{Handler: handler, Log: logr.Discard(), states: map[net.Conn]http.ConnState{}}
	s.startGeneration(Bounds{})
	return s
}

// SetBounds sets the bounds of new connections.
func (s *Server) SetBounds(bounds Bounds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bounds == s.bounds || s.stopped {
		return
	}
	s.newest().replaced = true
	s.startGeneration(bounds)
	s.removeUnused()
}

// startGeneration starts a server with the given bounds; the caller holds the mutex.
func (s *Server) startGeneration(bounds Bounds) {
	g := &generation{listener: newConnListener()}
	g.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.closesAfterAnswer(g) {
				w.Header().Set("Connection", "close")
			}
			s.Handler.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout:            orDefault(bounds.HeaderTimeout, defaultHeaderTimeout),
		IdleTimeout:                  orDefault(bounds.IdleTimeout, defaultIdleTimeout),
		MaxHeaderBytes:               orDefault(bounds.MaxHeaderBytes, defaultMaxHeaderBytes),
		DisableGeneralOptionsHandler: true,
		ConnState:                    func(conn net.Conn, state http.ConnState) { s.setState(g, conn, state) },
		ConnContext:                  withConn,
	}
	s.bounds = bounds
	s.generations = append(s.generations, g)
	go func() {
		if err := g.server.Serve(g.listener); !errors.Is(err, http.ErrServerClosed) {
			s.Log.Error(err, "HTTP server for callers failed")
		}
	}()
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

func (s *Server) newest() *generation { return s.generations[len(s.generations)-1] }

// closesAfterAnswer reports whether connections of g are closed after their next answer.
func (s *Server) closesAfterAnswer(g *generation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return g.replaced || s.draining
}

// setState notes the state of a connection of g.
func (s *Server) setState(g *generation, conn net.Conn, state http.ConnState) {
	if state == http.StateClosed || state == http.StateHijacked {
		s.connClosed(g, conn)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.states[conn] = state
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.begun.Store(false)
	case http.StateActive:
		c.answeredAt = c.lastWrite.Load()
	}
}

func (s *Server) connClosed(g *generation, conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.states, conn)
	g.openConns--
	s.removeUnused()
}

// removeUnused stops and removes replaced servers that have no connections; the caller holds the mutex.
func (s *Server) removeUnused() {
	kept := s.generations[:0]
	for _, g := range s.generations {
		if !g.replaced || g.openConns > 0 {
			kept = append(kept, g)
			continue
		}
		_ = g.listener.Close()
	}
	clear(s.generations[len(kept):])
	s.generations = kept
}

// Serve accepts connections from ln until ln is closed, and then returns http.ErrServerClosed.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, ln)
	if s.stopped {
		_ = ln.Close()
	}
	s.mu.Unlock()
	var tracked *backlog
	if s.TracksArrivals {
		tracked = newBacklog(ln)
		done := make(chan struct{})
		defer close(done)
		go tracked.run(done)
	}
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return http.ErrServerClosed
		}
		if err != nil {
			s.Log.Error(err, "cannot accept a caller's connection")
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := &callerConn{Conn: conn}
		if tracked != nil {
			c.tracked, c.openedAfter = true, *tracked.emptyAt.Load()
		}
		s.assign(c)
	}
}

// assign passes conn to the newest server.
func (s *Server) assign(conn net.Conn) {
	s.mu.Lock()
	g := s.newest()
	g.openConns++
	s.mu.Unlock()
	if !g.listener.deliver(conn) {
		_ = conn.Close()
		s.connClosed(g, conn)
	}
}

// Drain accepts no more connections, closes those on which no request has arrived, and serves the others. It returns when none is left, or
// when ctx ends.
func (s *Server) Drain(ctx context.Context) {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	s.stopAccepting()
	ticker := time.NewTicker(drainCheckInterval)
	defer ticker.Stop()
	for s.endUnused() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// endUnused closes connections without a request, and returns how many connections there were.
func (s *Server) endUnused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, state := range s.states {
		if c, ok := conn.(*callerConn); ok && state != http.StateActive {
			c.endIfUnused()
		}
	}
	open := 0
	for _, g := range s.generations {
		open += g.openConns
	}
	return open
}

// Close closes the listeners and all connections immediately.
func (s *Server) Close() error {
	var errs []error
	for _, server := range s.stopAccepting() {
		errs = append(errs, server.Close())
	}
	return errors.Join(errs...)
}

// stopAccepting closes the listeners and returns all servers; no server is added afterwards.
func (s *Server) stopAccepting() []*http.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, ln := range s.listeners {
		_ = ln.Close()
	}
	var servers []*http.Server
	for _, g := range s.generations {
		servers = append(servers, g.server)
	}
	return servers
}

// connListener is a net.Listener that returns the connections passed to deliver.
type connListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newConnListener() *connListener {
	return &connListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// deliver passes conn to Accept, and reports false if the listener is closed.
func (l *connListener) deliver(conn net.Conn) bool {
	select {
	case l.conns <- conn:
		return true
	case <-l.done:
		return false
	}
}

// Accept returns the next delivered connection.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, http.ErrServerClosed
	}
}

// Close makes Accept fail and deliver report false.
func (l *connListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr returns an empty address, since the listener has none.
func (l *connListener) Addr() net.Addr { return &net.TCPAddr{} }

// Bounds returns the bounds in force for new connections.
func (s *Server) Bounds() Bounds {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bounds
}
