package admission

import (
	"context"
	"math"
	"sort"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/routing"
)

// Ask is one request before the gate; Reserve is called, possibly often, until it chooses a target.
type Ask struct {
	Customer ident.Customer
	Class    ident.Class
	Priority int
	Model    ident.Model
	// Tokens is the number of tokens that the request may use, prompt included.
	Tokens   ident.Tokens
	Deadline time.Time
	Reserve  func(now time.Time) routing.Outcome
	// Free returns, after Reserve has returned BackedOff, how long until the first target may be tried.
	Free func() time.Duration
}

// Controller is the gate of one daemon; exported fields are set before use.
type Controller struct {
	Now func() time.Time
	// Capacity returns how many requests of a model run at once over all groups.
	Capacity func(model ident.Model) int
	// QueueLength returns how many requests of a class may wait for one model.
	QueueLength func(class ident.Class) int
	// ShareWait is how long a request waits for a larger share before its customer's limit refuses it.
	ShareWait time.Duration

	mu        sync.Mutex
	customers map[ident.Customer]*customer
	queues    map[ident.Model]*queue
	learnt    estimates
	order     uint64
	shares    chan struct{}
	// sharers counts requests that wait for a place within their customer's limit.
	sharers int
}

const (
	defaultQueue     = 256
	defaultShareWait = 600 * time.Millisecond
	minRetryAfter    = time.Second
)

// NewController returns a gate without limits.
func NewController() *Controller {
	return &Controller{
		Now:         clock.Now,
		Capacity:    func(ident.Model) int { return 1 },
		QueueLength: func(ident.Class) int { return defaultQueue },
		ShareWait:   defaultShareWait,
		customers:   map[ident.Customer]*customer{},
		queues:      map[ident.Model]*queue{},
		learnt:      estimates{},
		shares:      make(chan struct{}),
	}
}

// SetShares replaces the shares of all customers that it names.
func (c *Controller) SetShares(shares map[ident.Customer]Share) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, s := range shares {
		c.customer(name).share = s
	}
	c.notifyShares()
	c.pumpAll()
}

// Demands returns and forgets what customers used and wanted since the last call, by name.
func (c *Controller) Demands() []Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	var demands []Demand
	for name, cust := range c.customers {
		cust.noteDemand()
		if cust.demand != (Demand{}) {
			d := cust.demand
			d.Customer = name
			demands = append(demands, d)
		}
		cust.demand = Demand{}
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].Customer < demands[j].Customer })
	return demands
}

func (c *Controller) customer(name ident.Customer) *customer {
	cust := c.customers[name]
	if cust == nil {
		cust = &customer{}
		c.customers[name] = cust
	}
	return cust
}

func (c *Controller) queue(model ident.Model) *queue {
	q := c.queues[model]
	if q == nil {
		q = &queue{}
		c.queues[model] = q
	}
	return q
}

// Admit returns nil once a has a target; otherwise a refusal, after which nothing has run. Done must follow a nil.
func (c *Controller) Admit(ctx context.Context, a *Ask) error {
	now := c.Now()
	if err := c.passLimits(ctx, now, a); err != nil {
		return err
	}
	w, err := c.enqueue(c.Now(), a)
	if err != nil || w == nil {
		return err
	}
	return c.await(ctx, w)
}

// passLimits takes the request from its customer's limits, waiting a moment for a larger share.
func (c *Controller) passLimits(ctx context.Context, now time.Time, a *Ask) error {
	until := now.Add(c.ShareWait)
	for {
		c.mu.Lock()
		cust := c.customer(a.Customer)
		if !cust.atLimit() {
			err := c.takeRates(now, cust, a)
			c.mu.Unlock()
			return err
		}
		cust.waiting++
		c.sharers++
		cust.noteDemand()
		changed := c.shares
		c.mu.Unlock()
		err := c.awaitShare(ctx, changed, until, a)
		c.mu.Lock()
		cust.waiting--
		c.sharers--
		c.mu.Unlock()
		if err != nil {
			return err
		}
		now = c.Now()
	}
}

func (c *Controller) awaitShare(ctx context.Context, changed <-chan struct{}, until time.Time, a *Ask) error {
	left := until.Sub(c.Now())
	if left <= 0 {
		return Refuse(result.LimitExceeded, minRetryAfter, "customer %s runs as many requests as it may", a.Customer)
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return result.Wrap(ctx.Err(), result.Cancelled, "caller went away before the request ran")
	}
}

func (c *Controller) takeRates(now time.Time, cust *customer, a *Ask) error {
	if d := cust.rateWait(now, a.Tokens); d > 0 {
		cust.demand.Requests++
		return Refuse(result.LimitExceeded, d, "customer %s is over its rate", a.Customer)
	}
	cust.running++
	cust.demand.Requests++
	cust.demand.Tokens += int(a.Tokens)
	cust.noteDemand()
	return nil
}

// enqueue lets a run at once, or returns the place where it waits, or refuses it.
func (c *Controller) enqueue(now time.Time, a *Ask) (*waiter, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cust := c.customer(a.Customer)
	q := c.queue(a.Model)
	service := c.learnt.service(a)
	if len(q.items) == 0 {
		done, err := c.tryNow(now, a)
		if done || err != nil {
			c.giveBack(cust, err)
			return nil, err
		}
	}
	if err := c.checkWait(now, a, q, service); err != nil {
		c.giveBack(cust, err)
		return nil, err
	}
	c.order++
	w := &waiter{ask: a, customer: cust, service: service, order: c.order, granted: make(chan error, 1)}
	q.push(w)
	c.pump(q)
	return w, nil
}

func (c *Controller) giveBack(cust *customer, err error) {
	if err == nil {
		return
	}
	cust.running--
	c.notifyShares()
}

// notifyShares wakes those who wait for a place within their customer's limit.
func (c *Controller) notifyShares() {
	if c.sharers == 0 {
		return
	}
	close(c.shares)
	c.shares = make(chan struct{})
}

func (c *Controller) tryNow(now time.Time, a *Ask) (bool, error) {
	switch a.Reserve(now) {
	case routing.Chosen:
		return true, nil
	case routing.UnknownModel:
		return false, Refuse(result.ModelUnknown, 0, "no group serves model %q", a.Model)
	case routing.NotWhole:
		return false, Refuse(result.NoWholeGroup, minRetryAfter, "no group of model %q has all its members", a.Model)
	case routing.BackedOff:
		return false, RefuseAway(a.Free(), a.Model)
	}
	return false, nil
}

// checkWait refuses what cannot finish in time, and makes room in a full queue.
func (c *Controller) checkWait(now time.Time, a *Ask, q *queue, service float64) error {
	wait := q.ahead(a) / float64(max(c.Capacity(a.Model), 1))
	finish := now.Add(time.Duration((wait + service) * float64(time.Second)))
	if finish.After(a.Deadline) {
		return Refuse(result.DeadlineUnreachable, seconds(wait), "needs about %.1f s, has %.1f s", wait+service, a.Deadline.Sub(now).Seconds())
	}
	if q.lengthOf(a) < c.QueueLength(a.Class) {
		return nil
	}
	return c.shed(a, q, wait)
}

// shed makes room by refusing the least important waiter, or a itself when nothing waits that is less important.
func (c *Controller) shed(a *Ask, q *queue, wait float64) error {
	last := q.last()
	candidate := &waiter{ask: a, start: max(q.virtual, c.customer(a.Customer).finish), order: math.MaxUint64}
	if last == nil || last.before(candidate) {
		return Refuse(result.Overloaded, seconds(wait), "%d requests wait for model %q", len(q.items), a.Model)
	}
	q.remove(last)
	c.finishWaiter(last, Refuse(result.Overloaded, seconds(wait), "made room for a more important request"))
	return nil
}

// finishWaiter answers a waiter that has left the queue.
func (c *Controller) finishWaiter(w *waiter, err error) {
	c.giveBack(w.customer, err)
	w.granted <- err
}

func seconds(s float64) time.Duration {
	return max(minRetryAfter, time.Duration(s*float64(time.Second)))
}

// await waits for a slot, and leaves the queue when the caller goes away or the deadline can no longer be met.
func (c *Controller) await(ctx context.Context, w *waiter) error {
	latest := w.ask.Deadline.Add(-time.Duration(w.service * float64(time.Second)))
	timer := time.NewTimer(max(0, latest.Sub(c.Now())))
	defer timer.Stop()
	select {
	case err := <-w.granted:
		return err
	case <-ctx.Done():
		return c.leave(w, result.Wrap(ctx.Err(), result.Cancelled, "caller went away before the request ran"))
	case <-timer.C:
		return c.leave(w, Refuse(result.DeadlineUnreachable, minRetryAfter, "waited until its deadline came too near"))
	}
}

// leave takes w out of the queue; when it was answered in the same moment, that answer counts.
func (c *Controller) leave(w *waiter, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case answered := <-w.granted:
		return answered
	default:
	}
	c.queue(w.ask.Model).remove(w)
	c.giveBack(w.customer, err)
	return err
}

// Done ends an admitted request: took is its whole time when it was answered, or zero; unused tokens go back to its customer.
func (c *Controller) Done(a *Ask, took time.Duration, unused ident.Tokens) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cust := c.customer(a.Customer)
	cust.running--
	cust.tokens.level += float64(unused)
	if took > 0 {
		c.learnt.learn(a, took)
	}
	c.notifyShares()
	c.pump(c.queue(a.Model))
}

// Pump lets waiting requests run when capacity may have changed for another reason than Done.
func (c *Controller) Pump() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pumpAll()
}

func (c *Controller) pumpAll() {
	for _, q := range c.queues {
		c.pump(q)
	}
}

// pump serves the queue in order until the model has no free slot.
func (c *Controller) pump(q *queue) {
	for {
		w := q.first()
		if w == nil {
			return
		}
		now := c.Now()
		if expired(now, w) {
			q.remove(w)
			c.finishWaiter(w, Refuse(result.DeadlineUnreachable, minRetryAfter, "its deadline came too near while it waited"))
			continue
		}
		done, err := c.tryNow(now, w.ask)
		if !done && err == nil {
			return
		}
		q.remove(w)
		q.served(w)
		c.finishWaiter(w, err)
	}
}

// Waiting returns how many requests wait for a model.
func (c *Controller) Waiting(model ident.Model) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue(model).items)
}
