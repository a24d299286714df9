package peer

import (
	"crypto/tls"
	"net"

	"github.com/dunlinquay/dunlinquay/link"
)

// Handlers are what a daemon does with each call; all must be set.
type Handlers struct {
	Deliver func(c *DeliverCall)
	Beat    func(b *Beat) BeatReply
	Follow  func(c *FollowCall) (FollowReply, error)
	Propose func(c *ProposeCall) ProposeReply
	Hello   func() (HelloReply, error)
	Admit   func(c *AdmitCall) AdmitReply
	Permit  func(c *PermitCall) PermitReply
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
func (s *Service) Deliver(call *DeliverCall, _ *Nothing) error {
	s.handlers.Deliver(call)
	return nil
}

// Beat takes a beat.
func (s *Service) Beat(beat *Beat, reply *BeatReply) error {
	*reply = s.handlers.Beat(beat)
	return nil
}

// Follow gives commands or a snapshot.
func (s *Service) Follow(call *FollowCall, reply *FollowReply) (err error) {
	*reply, err = s.handlers.Follow(call)
	return err
}

// Propose takes a command for the log.
func (s *Service) Propose(call *ProposeCall, reply *ProposeReply) error {
	*reply = s.handlers.Propose(call)
	return nil
}

// Hello says who this control member is.
func (s *Service) Hello(_ *Nothing, reply *HelloReply) (err error) {
	*reply, err = s.handlers.Hello()
	return err
}

// Admit takes a member with a new data folder into an instance that the receiver leads.
func (s *Service) Admit(call *AdmitCall, reply *AdmitReply) error {
	*reply = s.handlers.Admit(call)
	return nil
}

// Permit answers whether a request may go to an upstream with a limit.
func (s *Service) Permit(call *PermitCall, reply *PermitReply) error {
	*reply = s.handlers.Permit(call)
	return nil
}

// serviceName is the name under which the methods stand on the wire.
const serviceName = "Peer"

// Server listens for other daemons.
type Server = link.Server

// NewServer returns a server on ln; cfg nil means no TLS.
func NewServer(listener net.Listener, tlsConfig *tls.Config, handlers *Handlers) (*Server, error) {
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	return link.NewServer(listener, serviceName, NewService(handlers))
}
