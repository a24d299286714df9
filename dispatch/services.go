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

// Worker is one upstream process of a plain service.
type Worker struct {
	Address  string
	inFlight atomic.Int64
}

// reservedWorker is a worker on which one call is counted in flight.
type reservedWorker struct {
	*Worker
	// backoffProbe is set if the call probes whether the worker accepts calls again after a backoff.
	backoffProbe bool
	// waitsForPermit is set if no other worker is available without a permit.
	waitsForPermit bool
}

// ServicePool holds the workers of one plain service.
type ServicePool struct {
	Name    ident.Service
	Workers []*Worker
	// Slots is the maximum number of calls in progress at one worker.
	Slots int
}

// Services chooses workers of plain services and sends calls to them. Its exported fields are set before use.
type Services struct {
	Pools map[ident.Service]*ServicePool
	// Send makes one call and returns its complete reply; code NeverSent means that the call certainly did not run.
	Send func(ctx context.Context, address string, c *Call) (*Reply, error)
	// Backoff holds the backoffs that workers requested, by address; a worker that cannot be reached is backed off too.
	Backoff *backoff.List[string]
	// PermitIn returns how long until a permit for the worker at an address can be expected, 0 if one may be available now.
	PermitIn func(now time.Time, address string) time.Duration
	// BackoffRequested is called when a worker requests backoff, or with an error when its Retry-After header cannot be parsed.
	BackoffRequested func(address string, requested time.Duration, err error)
	// Random returns a number in [0, n).
	Random func(n int) int
}

const (
	// unreachableBackoff is how long no calls are sent to a worker that could not be reached.
	unreachableBackoff = time.Second
	// minRetryAfter is the minimum retry time of a call that found neither a free worker nor a permit.
	minRetryAfter = 100 * time.Millisecond
	defaultSlots  = 64
)

// NewServices returns services without backoffs or limits.
func NewServices(pools map[ident.Service]*ServicePool) *Services {
	rule := backoff.DefaultRule()
	rule.Default = unreachableBackoff
	return &Services{Pools: pools, Random: rand.IntN, Backoff: backoff.New[string](rule), BackoffRequested: func(string, time.Duration, error) {},
		PermitIn: func(time.Time, string) time.Duration { return 0 }}
}

// NewServicePool returns a pool with a worker at each address; without slots each worker has defaultSlots.
func NewServicePool(name ident.Service, addresses []string, slots int) *ServicePool {
	if slots <= 0 {
		slots = defaultSlots
	}
	p := &ServicePool{Name: name, Slots: slots}
	for _, a := range addresses {
		p.Workers = append(p.Workers, &Worker{Address: a})
	}
	return p
}

// ServiceModel returns the model name under which admission queues a service's calls and estimates their duration.
func ServiceModel(name ident.Service) ident.Model {
	return ident.Model("service/" + string(name))
}

// Capacity returns how many calls all workers together run at once.
func (p *ServicePool) Capacity() int {
	return p.Slots * len(p.Workers)
}

// reserve reserves the worker with the fewest calls that is neither backed off nor at its limit; ties are broken at random. If there
// is none, it reserves the worker at its limit with the next permit, or returns when the first backed-off worker may be tried.
func (s *Services) reserve(now time.Time, p *ServicePool, avoid *Worker) (reservedWorker, routing.Outcome, time.Duration) {
	start := s.Random(len(p.Workers))
	var best *Worker
	var retryIn time.Duration
	anyRequested := false
	outcome := routing.NotWhole
	for i := range p.Workers {
		w := p.Workers[(start+i)%len(p.Workers)]
		state := s.Backoff.StateOf(now, w.Address)
		switch {
		case state.Remaining > 0:
			anyRequested = anyRequested || state.Requested
			retryIn = minNonZero(retryIn, state.Remaining)
		case w == avoid && len(p.Workers) > 1, s.PermitIn(now, w.Address) > 0:
		case state.Probing || int(w.inFlight.Load()) >= p.Slots:
			outcome = routing.Full
		case best == nil || w.inFlight.Load() < best.inFlight.Load():
			best = w
		}
	}
	if best != nil {
		best.inFlight.Add(1)
		return reservedWorker{best, s.Backoff.BeginProbe(now, best.Address), false}, routing.Chosen, 0
	}
	limited := s.soonestPermit(now, p)
	switch {
	case outcome != routing.NotWhole:
	case limited != nil:
		limited.inFlight.Add(1)
		return reservedWorker{limited, false, true}, routing.Chosen, 0
	case anyRequested:
		return reservedWorker{}, routing.BackedOff, retryIn
	}
	return reservedWorker{}, outcome, 0
}

// minNonZero returns the shorter of two times; a is ignored if it is 0.
func minNonZero(a, b time.Duration) time.Duration {
	if a == 0 || b < a {
		return b
	}
	return a
}

// soonestPermit returns the worker at its limit that can expect the next permit soonest, nil if there is none.
func (s *Services) soonestPermit(now time.Time, p *ServicePool) *Worker {
	var next *Worker
	var shortest time.Duration
	for _, w := range p.Workers {
		wait := s.PermitIn(now, w.Address)
		if wait > 0 && s.Backoff.StateOf(now, w.Address).Remaining <= 0 && (next == nil || wait < shortest) {
			next, shortest = w, wait
		}
	}
	return next
}

// release ends a reservation, and records the backoff that the worker requested in its reply.
func (s *Services) release(now time.Time, c reservedWorker, reply *Reply, err error) {
	c.inFlight.Add(-1)
	refused := reply != nil && backoff.IsRefusal(reply.Status)
	switch {
	case result.CodeOf(err) == result.NeverSent:
		s.Backoff.NoteRefusal(now, c.Address, 0)
	case refused:
		s.noteBackoff(now, c.Address, reply)
	}
	if c.backoffProbe {
		s.Backoff.EndProbe(c.Address, reply != nil && !refused)
	}
}

// noteBackoff records the backoff that a worker requested.
func (s *Services) noteBackoff(now time.Time, address string, reply *Reply) {
	requested, err := backoff.ParseRetryAfter(reply.Header, time.Now())
	if err != nil || requested > 0 && s.Backoff.NoteRefusal(now, address, requested) {
		s.BackoffRequested(address, requested, err)
	}
}

// ServeCall returns the complete reply of a plain service.
func (d *Dispatcher) ServeCall(ctx context.Context, c *Call) (*Reply, error) {
	started := d.Now()
	ctx, cancel := context.WithTimeoutCause(ctx, c.Deadline.Sub(started), errDeadline)
	defer cancel()
	t := &Timing{Request: c.ID, Customer: c.Customer, Class: c.Class, Group: ident.Group(ServiceModel(c.Service))}
	reply, err := d.serveClaimedCall(ctx, c, t)
	t.Total = d.Now().Sub(started)
	t.FirstToken = t.Total
	t.Err = err
	d.Observe(t)
	return reply, err
}

func (d *Dispatcher) serveClaimedCall(ctx context.Context, c *Call, t *Timing) (*Reply, error) {
	if err := d.CheckConfig(); err != nil {
		return nil, err
	}
	pool := d.Services.Pools[c.Service]
	if pool == nil {
		return nil, result.New(result.ServiceUnknown, "there is no service %q", c.Service)
	}
	if !c.AtMostOnce {
		return d.serveAdmittedCall(ctx, c, pool, t)
	}
	var reply *Reply
	run := func() ([]byte, error) {
		got, err := d.serveAdmittedCall(ctx, c, pool, t)
		if err != nil {
			return nil, err
		}
		reply = got
		return json.Marshal(got)
	}
	stored, err := d.runOnce(ctx, ledger.Key{Customer: c.Customer, ID: c.Key}, c.Digest, c.Deadline, t, run)
	if err != nil || reply != nil {
		return reply, err
	}
	reply = &Reply{}
	if err := json.Unmarshal(stored, reply); err != nil {
		return nil, result.Wrap(err, result.OutcomeUnknown, "stored reply cannot be read")
	}
	return reply, nil
}

func (d *Dispatcher) serveAdmittedCall(ctx context.Context, c *Call, pool *ServicePool, t *Timing) (*Reply, error) {
	if err := d.quarantineError(c.crashKeys()); err != nil {
		return nil, err
	}
	started := d.Now()
	var worker reservedWorker
	var retryIn time.Duration
	admissionRequest := &admission.Request{
		Customer: c.Customer, Class: c.Class, Priority: c.Priority, Model: ServiceModel(c.Service), Deadline: c.Deadline,
		Reserve: func(now time.Time) (outcome routing.Outcome) {
			worker, outcome, retryIn = d.Services.reserve(now, pool, nil)
			return outcome
		},
		Free: func() time.Duration { return retryIn },
	}
	if err := d.Admission.Admit(ctx, admissionRequest); err != nil {
		return nil, d.notSentError(ctx, err)
	}
	t.AdmissionWait = d.Now().Sub(started)
	reply, err := d.sendCall(ctx, c, pool, worker, t)
	var duration time.Duration
	if err == nil {
		duration = d.Now().Sub(started) - t.AdmissionWait
		d.RetryBudget.AddAnswered()
	}
	d.Admission.Finish(admissionRequest, duration, 0)
	return reply, err
}

// workerIncarnation names the worker that an attempt reached. Workers of plain services have no incarnations, so each attempt gets a
// name of its own, and each crash counts.
func (c *Call) workerIncarnation(w *Worker, attempt int) ident.Incarnation {
	return ident.Incarnation(w.Address + " " + string(c.ID) + " " + strconv.Itoa(attempt))
}

// sendCall sends the call to worker, and to others after failures that allow a retry.
func (d *Dispatcher) sendCall(ctx context.Context, c *Call, pool *ServicePool, worker reservedWorker, t *Timing) (*Reply, error) {
	mayHaveRun := false
	for {
		if err := d.beginAttempt(c.crashKeys()); err != nil {
			d.Services.release(d.Now(), worker, nil, err)
			return nil, err
		}
		if permit := d.awaitPermit(ctx, worker.Address, c.Deadline, worker.waitsForPermit); !permit.OK {
			d.Services.release(d.Now(), worker, nil, nil)
			next, err := d.reserveWithoutPermit(pool, worker, &permit)
			if err != nil {
				return nil, finalCallError(err, mayHaveRun)
			}
			worker = next
			continue
		}
		t.Attempts++
		sentAt := d.Now()
		reply, err := d.Services.Send(ctx, worker.Address, c)
		d.Services.release(d.Now(), worker, reply, err)
		if reply != nil {
			d.ApplyLimit(worker.Address, sentAt, reply.Status, reply.Header)
		}
		d.noteEvidence(c.crashKeys(), worker.Address, c.workerIncarnation(worker.Worker, t.Attempts), false, err)
		if err == nil {
			return reply, nil
		}
		err = d.contextError(ctx, err)
		mayHaveRun = mayHaveRun || !NotRun(err)
		if !d.mayRetryCall(ctx, c, err, t.Attempts) {
			return nil, finalCallError(err, mayHaveRun)
		}
		next, outcome, retryIn := d.Services.reserve(d.Now(), pool, worker.Worker)
		if outcome == routing.BackedOff && NotRun(err) {
			err = admission.RefuseBackedOff(retryIn, ServiceModel(c.Service))
		}
		if outcome != routing.Chosen {
			return nil, finalCallError(err, mayHaveRun)
		}
		worker = next
	}
}

// reserveWithoutPermit reserves another worker for a call that got no permit, or returns its refusal.
func (d *Dispatcher) reserveWithoutPermit(pool *ServicePool, worker reservedWorker, permit *ratelimit.Permit) (reservedWorker, error) {
	if worker.waitsForPermit {
		return reservedWorker{}, refuseNoPermit(permit, ServiceModel(pool.Name))
	}
	next, outcome, retryIn := d.Services.reserve(d.Now(), pool, nil)
	switch outcome {
	case routing.Chosen:
		return next, nil
	case routing.BackedOff:
		return reservedWorker{}, admission.RefuseBackedOff(retryIn, ServiceModel(pool.Name))
	}
	return reservedWorker{}, admission.Refuse(result.Overloaded, max(permit.After, minRetryAfter), "all workers of %q are full or have no permit", pool.Name)
}

func (d *Dispatcher) mayRetryCall(ctx context.Context, c *Call, err error, attempts int) bool {
	if ctx.Err() != nil || attempts >= maxAttempts {
		return false
	}
	if NotRun(err) {
		return true
	}
	return c.Repeatable && d.RetryBudget.AllowRetry()
}

func finalCallError(err error, mayHaveRun bool) error {
	if result.CodeOf(err) == result.NeverSent {
		err = result.Wrap(err, result.NoWholeGroup, "no worker of the service could be reached")
	}
	return failedIfMayHaveRun(err, mayHaveRun)
}
