package control

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/engine"
	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

// Orders follow from the state alone: a joining VM gets join orders until it confirms, a leaving VM gets leave orders.
// A new leader sends the same orders again, which engines treat as done.
//
// The weight store has a limited rate. A group serves only once its last member has loaded, so loads that share the
// rate evenly all finish late. Groups therefore load one after another, by priority and then by the fewest joining
// members. A further group loads at the same time only if that lowers the sum of the waiting times; see
// ShouldStartLoad.
//
// Two leaders must not control the same engine. An engine that checks orders compares the fence, which is the leader's
// term and a sequence number. To an engine that does not, the leader sends orders only while it holds its lease, only
// after every earlier leader's lease has expired, and with a deadline no later than the end of its own lease. One gap
// remains: a leader that is paused between the check and the write for longer than the drift allowance can still send
// an order, which is bounded by the deadline on the connection only.

// Authority says which orders a leader may send at a moment.
type Authority struct {
	// Leads is set while this member believes that it leads, in Term.
	Leads bool
	Term  uint64
	// MayOrderUnchecked is set if the leader may also order engines that do not check fences, until LeaseEnd.
	MayOrderUnchecked bool
	LeaseEnd          time.Time
}

// Orders sends the orders that a state requires. Exported fields are set before use.
type Orders struct {
	Now      func() time.Time
	Deadline time.Duration
	// ConcurrentLoads is the number of VMs that the weight store serves at full rate.
	ConcurrentLoads int
	Authority       func() Authority
	Send            func(ctx context.Context, address string, o *engine.Order) (engine.OrderAnswer, error)
	// Confirmed receives the confirmations of engines.
	Confirmed func(c fleet.Confirmation)
	// Failed is called for each order that failed.
	Failed func(vm ident.VM, kind engine.OrderKind, err error)

	mu       sync.Mutex
	pending  map[ident.VM]*attempt
	sequence uint64
	wg       sync.WaitGroup
}

// attempt is the progress of the order for one VM in one epoch.
type attempt struct {
	epoch   ident.Epoch
	kind    engine.OrderKind
	running bool
	// loading is set while the engine reports that it loads weights, failed after an order that failed.
	loading bool
	failed  bool
	nextAt  time.Time
	backoff time.Duration
}

const (
	maxOrdersInFlight      = 256
	defaultConcurrentLoads = 16
	initialBackoff         = 100 * time.Millisecond
	maxBackoff             = 2 * time.Second
)

// NewOrders returns Orders without any in flight.
func NewOrders() *Orders {
	return &Orders{Now: clock.Now, ConcurrentLoads: defaultConcurrentLoads, pending: map[ident.VM]*attempt{}, Failed: func(ident.VM, engine.OrderKind, error) {}}
}

// Wait returns when no order is in flight.
func (o *Orders) Wait() {
	o.wg.Wait()
}

// Reconcile sends every order that s requires and that is due.
func (o *Orders) Reconcile(ctx context.Context, s *fleet.State) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Now()
	running, loads := o.dropStale(s)
	vms, joining := orderQueue(s)
	for _, v := range vms {
		order := orderFor(s, v)
		if order == nil {
			continue
		}
		a := o.attempt(v.Name, order)
		if a.running || now.Before(a.nextAt) || running >= maxOrdersInFlight {
			continue
		}
		// A VM whose last order failed is not loading, so its retry needs no slot and blocks no other VM.
		needsLoadSlot := order.Kind == engine.OrderJoin && !a.failed
		if needsLoadSlot && !loads.admit(v.Group, joining[v.Group], o.ConcurrentLoads) || !o.mayOrder(v, order, now) {
			continue
		}
		running++
		a.running = true
		o.start(ctx, v.Name, v.Address, order, a)
	}
}

// groupLoads counts the loading VMs of each loading group.
type groupLoads map[ident.Group]int

// admit reports whether a group may load now, and if so counts its VMs.
func (l groupLoads) admit(group ident.Group, joining, limit int) bool {
	if _, ok := l[group]; ok {
		return true
	}
	vms := 0
	for _, n := range l {
		vms += n
	}
	if !ShouldStartLoad(vms, len(l), joining, limit) {
		return false
	}
	l[group] = joining
	return true
}

// ShouldStartLoad reports whether loading additional VMs now, beside the given number of loading VMs and groups, lowers
// the sum of the waiting times of all groups. Up to limit VMs load at full rate; more of them share it evenly.
func ShouldStartLoad(vms, groups, additional, limit int) bool {
	if groups == 0 {
		return true
	}
	duration := func(n int) float64 { return max(1, float64(n)/float64(limit)) }
	concurrent := float64(groups+1) * duration(vms+additional)
	sequential := float64(groups)*duration(vms) + duration(vms) + duration(additional)
	return concurrent <= sequential
}

// orderQueue returns the joining and leaving VMs in the order in which they get orders, and the joining VMs per group.
func orderQueue(s *fleet.State) (queue []*fleet.VM, joining map[ident.Group]int) {
	joining = map[ident.Group]int{}
	for _, v := range s.VMs {
		switch v.Phase {
		case fleet.VMJoining:
			joining[v.Group]++
			queue = append(queue, v)
		case fleet.VMLeaving:
			queue = append(queue, v)
		}
	}
	slices.SortFunc(queue, func(a, b *fleet.VM) int {
		// Leave orders cost nothing and free a VM for other groups.
		if a.Phase != b.Phase {
			return cmp.Compare(b.Phase, a.Phase)
		}
		return cmp.Or(
			cmp.Compare(priority(s, a), priority(s, b)), cmp.Compare(joining[a.Group], joining[b.Group]),
			cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Name, b.Name))
	})
	return queue, joining
}

func priority(s *fleet.State, v *fleet.VM) int {
	if g := s.Groups[v.Group]; g != nil {
		return g.Spec.Priority
	}
	return 0
}

// dropStale drops attempts that the state no longer requires. It returns the orders in flight and the loads by group.
func (o *Orders) dropStale(s *fleet.State) (running int, loads groupLoads) {
	loads = groupLoads{}
	for name, a := range o.pending {
		v := s.VMs[name]
		wanted := v != nil && v.Epoch == a.epoch && (v.Phase == fleet.VMJoining || v.Phase == fleet.VMLeaving)
		if !a.running && !wanted {
			delete(o.pending, name)
			continue
		}
		if a.running {
			running++
		}
		if wanted && (a.loading || a.running && !a.failed && a.kind == engine.OrderJoin) {
			loads[v.Group]++
		}
	}
	return running, loads
}

func (o *Orders) attempt(name ident.VM, order *engine.Order) *attempt {
	a := o.pending[name]
	if a == nil || !a.running && (a.epoch != order.Epoch || a.kind != order.Kind) {
		a = &attempt{epoch: order.Epoch, kind: order.Kind, backoff: initialBackoff}
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
	if !v.ChecksOrders && (!authority.MayOrderUnchecked || !now.Before(authority.LeaseEnd)) {
		return false
	}
	o.sequence++
	order.Fence = engine.Fence{Term: authority.Term, Sequence: o.sequence}
	return true
}

// orderFor returns the order that the state of v requires, or nil.
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
	if authority := o.Authority(); authority.MayOrderUnchecked && authority.LeaseEnd.Before(deadline) {
		deadline = authority.LeaseEnd
	}
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, deadline.Sub(o.Now()))
		defer cancel()
		answer, err := o.Send(ctx, address, order)
		o.finish(name, order, a, answer, err)
	})
}

func (o *Orders) finish(name ident.VM, order *engine.Order, a *attempt, answer engine.OrderAnswer, err error) {
	o.mu.Lock()
	a.running = false
	// A VM that cannot be reached must not keep others from loading.
	a.failed = err != nil
	a.loading = err == nil && !answer.Done && order.Kind == engine.OrderJoin
	if err == nil && !answer.Done {
		// Loading takes long, so the engine is asked for its state at a constant interval.
		a.backoff = initialBackoff
	}
	a.nextAt = o.Now().Add(a.backoff)
	a.backoff = min(2*a.backoff, maxBackoff)
	o.mu.Unlock()
	switch {
	case err != nil:
		o.Failed(name, order.Kind, err)
	case answer.Done:
		o.Confirmed(fleet.Confirmation{VM: name, Epoch: order.Epoch, Incarnation: answer.Incarnation, Left: order.Kind == engine.OrderLeave})
	}
}

// IsFenced reports whether an engine refused an order because it has seen a newer fence.
func IsFenced(err error) bool {
	return result.CodeOf(err) == result.OrderFenced
}
