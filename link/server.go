package link

import (
	"context"
	"net"
	"net/rpc"
	"sync"

	"github.com/dunlinquay/dunlinquay/result"
)

// Server serves net/rpc connections of one listener.
type Server struct {
	listener  net.Listener
	rpcServer *rpc.Server

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a server on ln for the receiver's methods, with name as their prefix on the wire. On an error ln is
// closed.
func NewServer(ln net.Listener, name string, receiver any) (*Server, error) {
	s := &Server{listener: ln, rpcServer: rpc.NewServer(), conns: map[net.Conn]struct{}{}}
	if err := s.rpcServer.RegisterName(name, receiver); err != nil {
		ln.Close()
		return nil, result.Wrap(err, result.StartFailed, "service %s cannot be registered", name)
	}
	return s, nil
}

// Address returns host:port of the listener.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Run serves until ctx ends, then closes every connection.
func (s *Server) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			// Accept may fail before a concurrent close has closed the connections; all are closed when Run returns.
			s.close()
			return
		}
		if s.track(conn) {
			go s.serveConn(conn)
		}
	}
}

func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		conn.Close()
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) serveConn(conn net.Conn) {
	s.rpcServer.ServeConn(conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		conn.Close()
	}
}
