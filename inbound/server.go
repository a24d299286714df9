package inbound

// The configuration bounds callers' headers and how long their connections may
// stay idle, and it changes while connections are open. net/http fixes these
// bounds for the life of a server, so each set of bounds has a server of its own.
// New connections go to the newest one; a former one asks for the end of its
// connections with their next answers, and goes with the last of them.

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
	// The bounds where the configuration names none.
	defaultHeaderBytes = 64 << 10
	defaultHeaderTime  = 5 * time.Second
	defaultIdleTime    = 60 * time.Second
	// acceptAgain is how long the next connection waits after one could not be accepted, for want of file descriptors mostly.
	acceptAgain = 20 * time.Millisecond
)

// Bounds are how many bytes a caller's headers may have, how long they may take, and how long a connection may stay idle; 0 is the default.
type Bounds struct {
	HeaderBytes int
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Server serves callers within bounds that may change; exported fields are set before use.
type Server struct {
	Handler http.Handler
	Log     logr.Logger

	mu          sync.Mutex
	ended       bool
	bounds      Bounds
	listeners   []net.Listener
	generations []*generation
}

// generation is the server of one set of bounds.
type generation struct {
	http  *http.Server
	conns *handover
	// open are its connections, former is set when others have its place; the mutex of Server guards both.
	open   int
	former bool
}

// New returns a server with default bounds.
func New(handler http.Handler) *Server {
	s := &Server{Handler: handler, Log: logr.Discard()}
	s.begin(Bounds{})
	return s
}

// SetBounds puts other bounds in force.
func (s *Server) SetBounds(bounds Bounds) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bounds == s.bounds || s.ended {
		return
	}
	s.newest().former = true
	s.begin(bounds)
	s.drop()
}

// begin starts the server of bounds; the mutex is held.
func (s *Server) begin(bounds Bounds) {
	g := &generation{conns: newHandover()}
	g.http = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.isFormer(g) {
				w.Header().Set("Connection", "close")
			}
			s.Handler.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout:            orDefault(bounds.HeaderTime, defaultHeaderTime),
		IdleTimeout:                  orDefault(bounds.IdleTime, defaultIdleTime),
		MaxHeaderBytes:               orDefault(bounds.HeaderBytes, defaultHeaderBytes),
		DisableGeneralOptionsHandler: true,
		ConnState: func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed || state == http.StateHijacked {
				s.closed(g)
			}
		},
	}
	s.bounds = bounds
	s.generations = append(s.generations, g)
	go func() {
		if err := g.http.Serve(g.conns); !errors.Is(err, http.ErrServerClosed) {
			s.Log.Error(err, "a server of callers failed")
		}
	}()
}

func orDefault[T int | time.Duration](value, otherwise T) T {
	if value <= 0 {
		return otherwise
	}
	return value
}

func (s *Server) newest() *generation { return s.generations[len(s.generations)-1] }

func (s *Server) isFormer(g *generation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return g.former
}

func (s *Server) closed(g *generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.open--
	s.drop()
}

// drop ends former servers that have no connections any more; the mutex is held.
func (s *Server) drop() {
	kept := s.generations[:0]
	for _, g := range s.generations {
		if !g.former || g.open > 0 {
			kept = append(kept, g)
			continue
		}
		_ = g.conns.Close()
	}
	clear(s.generations[len(kept):])
	s.generations = kept
}

// Serve takes connections of callers until ln is closed, and returns why it could not go on.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.listeners = append(s.listeners, ln)
	if s.ended {
		_ = ln.Close()
	}
	s.mu.Unlock()
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return http.ErrServerClosed
		}
		if err != nil {
			s.Log.Error(err, "a caller's connection cannot be accepted")
			time.Sleep(acceptAgain)
			continue
		}
		s.hand(conn)
	}
}

// hand gives a connection to the newest server.
func (s *Server) hand(conn net.Conn) {
	s.mu.Lock()
	g := s.newest()
	g.open++
	s.mu.Unlock()
	if !g.conns.give(conn) {
		_ = conn.Close()
		s.closed(g)
	}
}

// Shutdown lets requests in progress end until ctx does; no connection is taken any more.
func (s *Server) Shutdown(ctx context.Context) error {
	servers := s.end()
	errs := make([]error, len(servers))
	var wg sync.WaitGroup
	for i, server := range servers {
		wg.Go(func() { errs[i] = server.Shutdown(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// Close ends all connections at once.
func (s *Server) Close() error {
	var errs []error
	for _, server := range s.end() {
		errs = append(errs, server.Close())
	}
	return errors.Join(errs...)
}

// end closes the listeners and returns all servers; none is added after it.
func (s *Server) end() []*http.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for _, ln := range s.listeners {
		_ = ln.Close()
	}
	var list []*http.Server
	for _, g := range s.generations {
		list = append(list, g.http)
	}
	return list
}

// handover is the listener of a server that is given its connections.
type handover struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newHandover() *handover {
	return &handover{conns: make(chan net.Conn), done: make(chan struct{})}
}

// give hands a connection over, and reports false when nobody takes it any more.
func (h *handover) give(conn net.Conn) bool {
	select {
	case h.conns <- conn:
		return true
	case <-h.done:
		return false
	}
}

// Accept returns the next connection.
func (h *handover) Accept() (net.Conn, error) {
	select {
	case conn := <-h.conns:
		return conn, nil
	case <-h.done:
		return nil, http.ErrServerClosed
	}
}

// Close ends the handover.
func (h *handover) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr returns no address: connections have theirs.
func (h *handover) Addr() net.Addr { return &net.TCPAddr{} }

// Bounds returns the bounds in force for new connections.
func (s *Server) Bounds() Bounds {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bounds
}
