package dispatch

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/dunlinquay/dunlinquay/admission"
	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ledger"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/routing"
)

// Worker is one process of a plain service.
type Worker struct {
	Address  string
	inFlight atomic.Int64
}

// chosen is a worker that has one more call in flight, whether that call finds out if it takes calls again, and whether it waits for its
// turn there.
type chosen struct {
	*Worker
	trial bool
	waits bool
}

// ServicePool is the workers of one plain service.
type ServicePool struct {
	Name    ident.Service
	Workers []*Worker
	// Slots bounds the calls in progress at one worker.
	Slots int
}

// Services sends calls to plain services; exported fields are set before use.
type Services struct {
	Pools map[ident.Service]*ServicePool
	// Send makes one call and returns its whole reply; NeverSent means that it certainly did not run.
	Send func(ctx context.Context, address string, c *Call) (*Reply, error)
	// Backoff is what workers asked this daemon for, by their addresses; one that can't be reached is passed over as one that refuses.
	Backoff *backoff.List[string]
	// TurnIn returns how long until the worker at an address has a turn for a call within its limit, 0 when it may have one now.
	TurnIn func(now time.Time, address string) time.Duration
	// Asked is told of workers that ask for time, or for what can't be read.
	Asked func(address string, asked time.Duration, err error)
	// Random returns a number in [0, n).
	Random func(n int) int
}

const (
	// unreachedFor is how long a worker that could not be reached is passed over.
	unreachedFor = time.Second
	// turnLeast is when a call shall come back at the earliest that found neither a free worker nor a turn.
	turnLeast    = 100 * time.Millisecond
	defaultSlots = 64
)

// NewServices returns services whose workers have asked for nothing.
func NewServices(pools map[ident.Service]*ServicePool) *Services {
	rule := backoff.DefaultRule()
	rule.Default = unreachedFor
	return &Services{Pools: pools, Random: rand.IntN, Backoff: backoff.New[string](rule), Asked: func(string, time.Duration, error) {},
		TurnIn: func(time.Time, string) time.Duration { return 0 }}
}

// NewPool returns a pool of workers at addresses; slots 0 takes a default.
func NewPool(name ident.Service, addresses []string, slots int) *ServicePool {
	if slots <= 0 {
		slots = defaultSlots
	}
	p := &ServicePool{Name: name, Slots: slots}
	for _, a := range addresses {
		p.Workers = append(p.Workers, &Worker{Address: a})
	}
	return p
}

// ServiceModel is the name under which the gate queues and learns a service's calls.
func ServiceModel(name ident.Service) ident.Model {
	return ident.Model("service/" + string(name))
}

// Capacity returns the calls that all workers take at once.
func (p *ServicePool) Capacity() int {
	return p.Slots * len(p.Workers)
}

// take chooses the worker with the fewest calls, from a random one on, past those that want nothing; where all do, it returns for how
// long the first of them does.
func (s *Services) take(now time.Time, p *ServicePool, avoid *Worker) (chosen, routing.Outcome, time.Duration) {
	start := s.Random(len(p.Workers))
	var best *Worker
	var free time.Duration
	anyAsked := false
	verdict := routing.NotWhole
	for i := range p.Workers {
		w := p.Workers[(start+i)%len(p.Workers)]
		asked := s.Backoff.StateOf(now, w.Address)
		switch {
		case asked.Remaining > 0:
			anyAsked = anyAsked || asked.Requested
			free = soonest(free, asked.Remaining)
		case w == avoid && len(p.Workers) > 1, s.TurnIn(now, w.Address) > 0:
		case asked.Probing || int(w.inFlight.Load()) >= p.Slots:
			verdict = routing.Full
		case best == nil || w.inFlight.Load() < best.inFlight.Load():
			best = w
		}
	}
	if best != nil {
		best.inFlight.Add(1)
		return chosen{best, s.Backoff.BeginProbe(now, best.Address), false}, routing.Chosen, 0
	}
	next := s.nextTurn(now, p)
	switch {
	case verdict != routing.NotWhole:
	case next != nil:
		next.inFlight.Add(1)
		return chosen{next, false, true}, routing.Chosen, 0
	case anyAsked:
		return chosen{}, routing.BackedOff, free
	}
	return chosen{}, verdict, 0
}

// soonest returns the shorter of two times, of which 0 is none.
func soonest(a, b time.Duration) time.Duration {
	if a == 0 || b < a {
		return b
	}
	return a
}

// nextTurn returns the worker that has a turn within its limit soonest, of those that have one later.
func (s *Services) nextTurn(now time.Time, p *ServicePool) *Worker {
	var next *Worker
	var soonest time.Duration
	for _, w := range p.Workers {
		wait := s.TurnIn(now, w.Address)
		if wait > 0 && s.Backoff.StateOf(now, w.Address).Remaining <= 0 && (next == nil || wait < soonest) {
			next, soonest = w, wait
		}
	}
	return next
}

// done gives back what take counted, and keeps what the worker asked for in its reply.
func (s *Services) done(now time.Time, c chosen, reply *Reply, err error) {
	c.inFlight.Add(-1)
	refused := reply != nil && backoff.IsRefusal(reply.Status)
	switch {
	case result.CodeOf(err) == result.NeverSent:
		s.Backoff.NoteRefusal(now, c.Address, 0)
	case refused:
		s.turnedAway(now, c.Address, reply)
	}
	if c.trial {
		s.Backoff.EndProbe(c.Address, reply != nil && !refused)
	}
}

// turnedAway keeps the time that a worker asked for.
func (s *Services) turnedAway(now time.Time, address string, reply *Reply) {
	asked, err := backoff.ParseRetryAfter(reply.Header, time.Now())
	if err != nil || asked > 0 && s.Backoff.NoteRefusal(now, address, asked) {
		s.Asked(address, asked, err)
	}
}

// ServeCall returns the whole reply of a plain service.
func (d *Dispatcher) ServeCall(ctx context.Context, c *Call) (*Reply, error) {
	started := d.Now()
	ctx, cancel := context.WithTimeoutCause(ctx, c.Deadline.Sub(started), errDeadline)
	defer cancel()
	t := &Timing{Request: c.ID, Customer: c.Customer, Class: c.Class, Group: ident.Group(ServiceModel(c.Service))}
	reply, err := d.claimedCall(ctx, c, t)
	t.Total = d.Now().Sub(started)
	t.First = t.Total
	t.Err = err
	d.Observe(t)
	return reply, err
}

func (d *Dispatcher) claimedCall(ctx context.Context, c *Call, t *Timing) (*Reply, error) {
	if err := d.InForce(); err != nil {
		return nil, err
	}
	pool := d.Services.Pools[c.Service]
	if pool == nil {
		return nil, result.New(result.ServiceUnknown, "there is no service %q", c.Service)
	}
	if !c.Once {
		return d.admittedCall(ctx, c, pool, t)
	}
	var reply *Reply
	run := func() ([]byte, error) {
		got, err := d.admittedCall(ctx, c, pool, t)
		if err != nil {
			return nil, err
		}
		reply = got
		return json.Marshal(got)
	}
	stored, err := d.once(ctx, ledger.Key{Customer: c.Customer, ID: c.Key}, c.Digest, c.Deadline, t, run)
	if err != nil || reply != nil {
		return reply, err
	}
	reply = &Reply{}
	if err := json.Unmarshal(stored, reply); err != nil {
		return nil, result.Wrap(err, result.OutcomeUnknown, "stored answer cannot be read")
	}
	return reply, nil
}

func (d *Dispatcher) admittedCall(ctx context.Context, c *Call, pool *ServicePool, t *Timing) (*Reply, error) {
	if err := d.held(c.work()); err != nil {
		return nil, err
	}
	started := d.Now()
	var worker chosen
	var free time.Duration
	ask := &admission.Ask{
		Customer: c.Customer, Class: c.Class, Priority: c.Priority, Model: ServiceModel(c.Service), Deadline: c.Deadline,
		Reserve: func(now time.Time) (verdict routing.Outcome) {
			worker, verdict, free = d.Services.take(now, pool, nil)
			return verdict
		},
		Free: func() time.Duration { return free },
	}
	if err := d.Gate.Admit(ctx, ask); err != nil {
		return nil, d.unsent(ctx, err)
	}
	t.Wait = d.Now().Sub(started)
	reply, err := d.callWorkers(ctx, c, pool, worker, t)
	var took time.Duration
	if err == nil {
		took = d.Now().Sub(started) - t.Wait
		d.Budget.Earn()
	}
	d.Gate.Done(ask, took, 0)
	return reply, err
}

// life names the life of a worker that ended under a try; workers of plain services have no ids, so each end counts by itself.
func (c *Call) life(w *Worker, try int) ident.Incarnation {
	return ident.Incarnation(w.Address + " " + string(c.ID) + " " + strconv.Itoa(try))
}

// callWorkers sends the call to worker, and to others as long as it surely did not run or may be repeated.
func (d *Dispatcher) callWorkers(ctx context.Context, c *Call, pool *ServicePool, worker chosen, t *Timing) (*Reply, error) {
	ran := false
	for {
		if err := d.begin(c.work()); err != nil {
			d.Services.done(d.Now(), worker, nil, err)
			return nil, err
		}
		if p := d.turn(ctx, worker.Address, c.Deadline, worker.waits); !p.OK {
			d.Services.done(d.Now(), worker, nil, nil)
			next, err := d.withoutTurn(pool, worker, &p)
			if err != nil {
				return nil, finalCall(err, ran)
			}
			worker = next
			continue
		}
		t.Tries++
		sent := d.Now()
		reply, err := d.Services.Send(ctx, worker.Address, c)
		d.Services.done(d.Now(), worker, reply, err)
		if reply != nil {
			d.HeardLimit(worker.Address, sent, reply.Status, reply.Header)
		}
		d.concluded(c.work(), worker.Address, c.life(worker.Worker, t.Tries), err)
		if err == nil {
			return reply, nil
		}
		err = d.named(ctx, err)
		ran = ran || !NotRun(err)
		if !d.mayCallAgain(ctx, c, err, t.Tries) {
			return nil, finalCall(err, ran)
		}
		next, verdict, free := d.Services.take(d.Now(), pool, worker.Worker)
		if verdict == routing.BackedOff && NotRun(err) {
			err = admission.RefuseAway(free, ServiceModel(c.Service))
		}
		if verdict != routing.Chosen {
			return nil, finalCall(err, ran)
		}
		worker = next
	}
}

// withoutTurn returns another worker for a call that got no turn, or its refusal.
func (d *Dispatcher) withoutTurn(pool *ServicePool, worker chosen, p *ratelimit.Permit) (chosen, error) {
	if worker.waits {
		return chosen{}, refuseTurn(p, ServiceModel(pool.Name))
	}
	next, verdict, free := d.Services.take(d.Now(), pool, nil)
	switch verdict {
	case routing.Chosen:
		return next, nil
	case routing.BackedOff:
		return chosen{}, admission.RefuseAway(free, ServiceModel(pool.Name))
	}
	return chosen{}, admission.Refuse(result.Overloaded, max(p.After, turnLeast), "all workers of %q are full or have no turn", pool.Name)
}

func (d *Dispatcher) mayCallAgain(ctx context.Context, c *Call, err error, tries int) bool {
	if ctx.Err() != nil || tries >= maxTries {
		return false
	}
	if NotRun(err) {
		return true
	}
	return c.Repeatable && d.Budget.Spend()
}

func finalCall(err error, ran bool) error {
	if result.CodeOf(err) == result.NeverSent {
		err = result.Wrap(err, result.NoWholeGroup, "no worker of the service could be reached")
	}
	return notAfterRun(err, ran)
}
