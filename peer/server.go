package peer

import (
	"crypto/tls"
	"net"

	"github.com/dunlinquay/dunlinquay/link"
)

// Handlers handle the calls of other daemons; all must be set.
type Handlers struct {
	Deliver func(c *DeliverCall)
	Beat    func(b *Beat) BeatReply
	Follow  func(c *FollowCall) (FollowReply, error)
	Propose func(c *ProposeCall) ProposeReply
	Hello   func() (HelloReply, error)
	Admit   func(c *AdmitCall) AdmitReply
	Permit  func(c *PermitCall) PermitReply
}

// Service is the receiver that net/rpc calls. Its method names are part of the wire protocol.
type Service struct {
	handlers *Handlers
}

// NewService returns the receiver that passes calls to handlers.
func NewService(handlers *Handlers) *Service {
	return &Service{handlers}
}

// Deliver receives messages of the replicated logs.
func (s *Service) Deliver(call *DeliverCall, _ *Empty) error {
	s.handlers.Deliver(call)
	return nil
}

// Beat receives another daemon's status and replies with this one's.
func (s *Service) Beat(beat *Beat, reply *BeatReply) error {
	*reply = s.handlers.Beat(beat)
	return nil
}

// Follow returns commands after a revision, or a snapshot.
func (s *Service) Follow(call *FollowCall, reply *FollowReply) (err error) {
	*reply, err = s.handlers.Follow(call)
	return err
}

// Propose proposes a command to an instance that the receiver leads.
func (s *Service) Propose(call *ProposeCall, reply *ProposeReply) error {
	*reply = s.handlers.Propose(call)
	return nil
}

// Hello describes this control member.
func (s *Service) Hello(_ *Empty, reply *HelloReply) (err error) {
	*reply, err = s.handlers.Hello()
	return err
}

// Admit admits a member with a new data folder to an instance that the receiver leads.
func (s *Service) Admit(call *AdmitCall, reply *AdmitReply) error {
	*reply = s.handlers.Admit(call)
	return nil
}

// Permit answers another daemon's permit request.
func (s *Service) Permit(call *PermitCall, reply *PermitReply) error {
	*reply = s.handlers.Permit(call)
	return nil
}

// serviceName is the prefix of method names on the wire.
const serviceName = "Peer"

// Server accepts connections of other daemons.
type Server = link.Server

// NewServer returns a server on ln; cfg nil means no TLS.
func NewServer(listener net.Listener, tlsConfig *tls.Config, handlers *Handlers) (*Server, error) {
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	return link.NewServer(listener, serviceName, NewService(handlers))
}
