package control

import (
	"context"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/engine"
	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

// Orders follow from the state alone: a VM that is joining is told to join
// until it confirms, one that is leaving is told to leave. A leader that takes
// over gives the same orders again, which engines take as done already.
//
// Two leaders must not steer the same engine. An engine that checks orders
// compares the fence, the leader's term and a running number. For one that does
// not, the leader gives orders only while it holds its lease, only after every
// earlier leader's lease has run out, and with a deadline no later than its
// own lease's end. What remains is a leader that is paused between the check
// and the write for longer than the drift allowance: its order is bounded by
// the deadline on the connection, not by the engine.

// Authority is what a leader may do at one moment.
type Authority struct {
	// Leads is set while this member believes it leads, in Term.
	Leads bool
	Term  uint64
	// Unchecked is set while it may also order engines that check nothing; Until is the end of its lease.
	Unchecked bool
	Until     time.Time
}

// Orders gives the orders that a state calls for; exported fields are set before use.
type Orders struct {
	Now       func() time.Time
	Deadline  time.Duration
	Authority func() Authority
	Give      func(ctx context.Context, address string, o *engine.Order) (engine.OrderAnswer, error)
	// Confirmed receives what engines confirmed.
	Confirmed func(c fleet.Confirm)
	// Failed is told of every order that was not obeyed.
	Failed func(vm ident.VM, kind engine.OrderKind, err error)

	mu       sync.Mutex
	pending  map[ident.VM]*attempt
	sequence uint64
	wg       sync.WaitGroup
}

// attempt is the state of ordering one VM in one epoch.
type attempt struct {
	epoch   ident.Epoch
	kind    engine.OrderKind
	running bool
	next    time.Time
	backoff time.Duration
}

const (
	maxRunning = 256
	firstWait  = 100 * time.Millisecond
	longestGap = 2 * time.Second
)

// NewOrders returns an idle order giver.
func NewOrders() *Orders {
	return &Orders{Now: time.Now, pending: map[ident.VM]*attempt{}, Failed: func(ident.VM, engine.OrderKind, error) {}}
}

// Wait returns when no order is on its way.
func (o *Orders) Wait() {
	o.wg.Wait()
}

// Reconcile starts every order that s calls for and that is due.
func (o *Orders) Reconcile(ctx context.Context, s *fleet.State) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Now()
	running := o.forget(s)
	for name, v := range s.VMs {
		order := orderFor(s, v)
		if order == nil {
			continue
		}
		a := o.attempt(name, order)
		if a.running || now.Before(a.next) || running >= maxRunning {
			continue
		}
		if !o.mayOrder(v, order, now) {
			continue
		}
		running++
		a.running = true
		o.start(ctx, name, v.Address, order, a)
	}
}

// forget drops attempts that the state no longer calls for and counts those on their way.
func (o *Orders) forget(s *fleet.State) int {
	running := 0
	for name, a := range o.pending {
		if a.running {
			running++
			continue
		}
		v := s.VMs[name]
		if v == nil || v.Epoch != a.epoch || v.Phase != fleet.VMJoining && v.Phase != fleet.VMLeaving {
			delete(o.pending, name)
		}
	}
	return running
}

func (o *Orders) attempt(name ident.VM, order *engine.Order) *attempt {
	a := o.pending[name]
	if a == nil || !a.running && (a.epoch != order.Epoch || a.kind != order.Kind) {
		a = &attempt{epoch: order.Epoch, kind: order.Kind, backoff: firstWait}
		o.pending[name] = a
	}
	return a
}

// mayOrder sets the fence and reports whether the leader's authority covers this engine now.
func (o *Orders) mayOrder(v *fleet.VM, order *engine.Order, now time.Time) bool {
	authority := o.Authority()
	if !authority.Leads {
		return false
	}
	if !v.ChecksOrders && (!authority.Unchecked || !now.Before(authority.Until)) {
		return false
	}
	o.sequence++
	order.Fence = engine.Fence{Term: authority.Term, Sequence: o.sequence}
	return true
}

// orderFor returns the order that the state of v calls for, or nil.
func orderFor(s *fleet.State, v *fleet.VM) *engine.Order {
	switch v.Phase {
	case fleet.VMLeaving:
		return &engine.Order{Kind: engine.OrderLeave, Group: v.Group, Epoch: v.Epoch}
	case fleet.VMJoining:
		g := s.Groups[v.Group]
		if g == nil || g.Epoch != v.Epoch {
			return nil
		}
		return joinOrder(s, g, v)
	}
	return nil
}

func joinOrder(s *fleet.State, g *fleet.Group, v *fleet.VM) *engine.Order {
	order := &engine.Order{
		Kind: engine.OrderJoin, Group: g.Spec.Name, Epoch: g.Epoch,
		Model: g.Spec.Model, Version: g.Spec.Version, Adapters: g.Spec.Adapters,
	}
	for rank, name := range g.Members {
		order.Members = append(order.Members, s.VMs[name].Address)
		if name == v.Name {
			order.Rank = rank
		}
	}
	return order
}

func (o *Orders) start(ctx context.Context, name ident.VM, address string, order *engine.Order, a *attempt) {
	deadline := o.Now().Add(o.Deadline)
	if authority := o.Authority(); authority.Unchecked && authority.Until.Before(deadline) {
		deadline = authority.Until
	}
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, deadline.Sub(o.Now()))
		defer cancel()
		answer, err := o.Give(ctx, address, order)
		o.finish(name, order, a, answer, err)
	})
}

func (o *Orders) finish(name ident.VM, order *engine.Order, a *attempt, answer engine.OrderAnswer, err error) {
	o.mu.Lock()
	a.running = false
	if err == nil && !answer.Done {
		// Loading takes its time; the question is repeated at an even pace.
		a.backoff = firstWait
	}
	a.next = o.Now().Add(a.backoff)
	a.backoff = min(2*a.backoff, longestGap)
	o.mu.Unlock()
	switch {
	case err != nil:
		o.Failed(name, order.Kind, err)
	case answer.Done:
		o.Confirmed(fleet.Confirm{VM: name, Epoch: order.Epoch, Incarnation: answer.Incarnation, Left: order.Kind == engine.OrderLeave})
	}
}

// Fenced reports whether an engine refused because it has seen a newer leader.
func Fenced(err error) bool {
	return result.CodeOf(err) == result.OrderFenced
}
