package site

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/link"
	"github.com/dunlinquay/dunlinquay/quorum"
	"github.com/dunlinquay/dunlinquay/transport"
)

const (
	serviceName = "Site"
	// deliverTimeout bounds the delivery of log messages; a peer whose connection was cut silently must not delay newer
	// ones for long.
	deliverTimeout = 800 * time.Millisecond
	// callTimeout bounds a call that the receiver answers at once.
	callTimeout        = 600 * time.Millisecond
	deliverQueueLength = 256
	maxDeliverMessages = 64
)

// Handlers answer the calls of other daemons and of operators.
type Handlers struct {
	Deliver func(messages []quorum.Message)
	Hello   func() HelloReply
	Join    func(c *JoinCall) JoinReply
	Sync    func(c *SyncCall) SyncReply
	Pass    func(c *ForwardedCall) ForwardedReply
	Inspect func() InspectReply
	Drain   func(o *catalog.DrainOrder) ForwardedReply
	Hall    func(hall ident.Hall) ForwardedReply
	Release func(name string) ForwardedReply
}

// Service is the receiver that net/rpc calls; its methods are the wire interface.
type Service struct {
	handlers *Handlers
}

// Deliver receives log messages.
func (s *Service) Deliver(c *DeliverCall, _ *Empty) error {
	s.handlers.Deliver(c.Messages)
	return nil
}

// Hello identifies this daemon.
func (s *Service) Hello(_ *Empty, reply *HelloReply) error {
	*reply = s.handlers.Hello()
	return nil
}

// Join handles a control daemon's request to become a member.
func (s *Service) Join(c *JoinCall, reply *JoinReply) error {
	*reply = s.handlers.Join(c)
	return nil
}

// Sync returns updates to a follower.
func (s *Service) Sync(c *SyncCall, reply *SyncReply) error {
	*reply = s.handlers.Sync(c)
	return nil
}

// Pass answers a call that another daemon forwarded.
func (s *Service) Pass(c *ForwardedCall, reply *ForwardedReply) error {
	*reply = s.handlers.Pass(c)
	return nil
}

// Inspect returns the state of the site to operators.
func (s *Service) Inspect(_ *Empty, reply *InspectReply) error {
	*reply = s.handlers.Inspect()
	return nil
}

// Release ends a quarantine for an operator.
func (s *Service) Release(c *ReleaseCall, reply *ForwardedReply) error {
	*reply = s.handlers.Release(c.Name)
	return nil
}

// Drain carries out an operator's order on a hall.
func (s *Service) Drain(o *catalog.DrainOrder, reply *ForwardedReply) error {
	*reply = s.handlers.Drain(o)
	return nil
}

// Hall returns the newest order on a hall to operators.
func (s *Service) Hall(c *HallCall, reply *ForwardedReply) error {
	*reply = s.handlers.Hall(c.Hall)
	return nil
}

// newServer serves handlers on ln.
func newServer(ln net.Listener, handlers *Handlers) (*link.Server, error) {
	return link.NewServer(ln, serviceName, &Service{handlers})
}

// controlLink is the connection to one control daemon and the log messages queued for it.
type controlLink struct {
	*link.Client
	queue chan quorum.Message
}

// controlLinks keeps a link to each control daemon that is called.
type controlLinks struct {
	ctx  context.Context
	dial transport.Dial

	mu    sync.Mutex
	links map[string]*controlLink
	wg    sync.WaitGroup
}

func newControlLinks(ctx context.Context, dial transport.Dial) *controlLinks {
	return &controlLinks{ctx: ctx, dial: dial, links: map[string]*controlLink{}}
}

func (p *controlLinks) linkTo(address string) *controlLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[address]
	if l == nil {
		l = &controlLink{Client: link.NewClient(address, serviceName), queue: make(chan quorum.Message, deliverQueueLength)}
		l.Dial = p.dial
		p.links[address] = l
		p.wg.Go(func() { l.deliver(p.ctx) })
	}
	return l
}

// send queues log messages; they are dropped when a queue is full, as in a network.
func (p *controlLinks) send(messages []quorum.Message) {
	for i := range messages {
		select {
		case p.linkTo(string(messages[i].To.Name)).queue <- messages[i]:
		default:
		}
	}
}

// deliver makes one call at a time, which keeps messages in order and batches those that arrive meanwhile.
func (l *controlLink) deliver(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			l.Close()
			return
		case m := <-l.queue:
			call := &DeliverCall{Messages: l.batch(m)}
			// The log's protocol repeats lost messages.
			_ = l.Call(ctx, deliverTimeout, "Deliver", call, &Empty{})
		}
	}
}

func (l *controlLink) batch(first quorum.Message) []quorum.Message {
	messages := []quorum.Message{first}
	for len(messages) < maxDeliverMessages {
		select {
		case m := <-l.queue:
			messages = append(messages, m)
		default:
			return messages
		}
	}
	return messages
}

func (p *controlLinks) hello(address string) (HelloReply, error) {
	var reply HelloReply
	err := p.linkTo(address).Call(p.ctx, callTimeout, "Hello", &Empty{}, &reply)
	return reply, err
}

func (p *controlLinks) join(address string, call *JoinCall) (JoinReply, error) {
	var reply JoinReply
	err := p.linkTo(address).Call(p.ctx, callTimeout, "Join", call, &reply)
	return reply, err
}

// sync asks a daemon for updates; entries is the leader's number of entries, which decides how long it holds the call.
func (p *controlLinks) sync(address string, entries int, call *SyncCall) (SyncReply, error) {
	var reply SyncReply
	err := p.linkTo(address).Call(p.ctx, holdTime(entries)+gatherTime(entries)+callTimeout, "Sync", call, &reply)
	return reply, err
}

func (p *controlLinks) forward(ctx context.Context, address string, timeout time.Duration, call *ForwardedCall) (ForwardedReply, error) {
	var reply ForwardedReply
	err := p.linkTo(address).Call(ctx, timeout, "Pass", call, &reply)
	return reply, err
}

func (p *controlLinks) wait() {
	p.wg.Wait()
}

// dropSilentSince closes the connections on which nothing has been received since a time.
func (p *controlLinks) dropSilentSince(since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.CloseIfSilent(since)
	}
}
