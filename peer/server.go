package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"

	"github.com/dunlinquay/dunlinquay/result"
)

// Handlers are what a daemon does with each call; all must be set.
type Handlers struct {
	Deliver func(c *DeliverCall)
	Beat    func(b *Beat) BeatReply
	Follow  func(c *FollowCall) (FollowReply, error)
	Propose func(c *ProposeCall) ProposeReply
	Hello   func() (HelloReply, error)
	Admit   func(c *AdmitCall) AdmitReply
}

// Service is the receiver that net/rpc calls; its methods are the wire interface.
type Service struct {
	handlers *Handlers
}

// NewService returns the receiver that passes calls to handlers.
func NewService(handlers *Handlers) *Service {
	return &Service{handlers}
}

// Deliver takes log messages.
func (s *Service) Deliver(c *DeliverCall, _ *Nothing) error {
	s.handlers.Deliver(c)
	return nil
}

// Beat takes a beat.
func (s *Service) Beat(b *Beat, reply *BeatReply) error {
	*reply = s.handlers.Beat(b)
	return nil
}

// Follow gives commands or a snapshot.
func (s *Service) Follow(c *FollowCall, reply *FollowReply) (err error) {
	*reply, err = s.handlers.Follow(c)
	return err
}

// Propose takes a command for the log.
func (s *Service) Propose(c *ProposeCall, reply *ProposeReply) error {
	*reply = s.handlers.Propose(c)
	return nil
}

// Hello says who this control member is.
func (s *Service) Hello(_ *Nothing, reply *HelloReply) (err error) {
	*reply, err = s.handlers.Hello()
	return err
}

// Admit takes a member with a new data folder into an instance that the receiver leads.
func (s *Service) Admit(c *AdmitCall, reply *AdmitReply) error {
	*reply = s.handlers.Admit(c)
	return nil
}

// serviceName is the name under which the methods stand on the wire.
const serviceName = "Peer"

// Server listens for other daemons.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	closed bool
}

// NewServer returns a server on ln; cfg nil means no TLS.
func NewServer(ln net.Listener, cfg *tls.Config, handlers *Handlers) (*Server, error) {
	if cfg != nil {
		ln = tls.NewListener(ln, cfg)
	}
	s := &Server{listener: ln, rpc: rpc.NewServer(), conns: map[net.Conn]struct{}{}}
	if err := s.rpc.RegisterName(serviceName, NewService(handlers)); err != nil {
		ln.Close()
		return nil, result.Wrap(err, result.StartFailed, "peer service cannot be registered")
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
			return
		}
		if s.track(conn) {
			go s.serve(conn)
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

func (s *Server) serve(conn net.Conn) {
	s.rpc.ServeConn(conn)
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
