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

// Request is one request for admission. Reserve is called, possibly often, until it chooses a target.
type Request struct {
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

// Controller admits the requests of one daemon. Its exported fields are set before use.
type Controller struct {
	Now func() time.Time
	// Capacity returns how many requests of a model all groups together run at once.
	Capacity func(model ident.Model) int
	// MaxQueueLength returns how many requests of a class may wait for one model.
	MaxQueueLength func(class ident.Class) int
	// MaxShareWait is how long a request of a customer at its limit waits for a larger share before it is refused.
	MaxShareWait time.Duration

	mu           sync.Mutex
	customers    map[ident.Customer]*customer
	queues       map[ident.Model]*queue
	serviceTimes serviceEstimates
	lastSequence uint64
	// sharesChanged is closed and replaced when a request that waits at its customer's limit should check it again.
	sharesChanged chan struct{}
	// shareWaiters is the number of requests that wait because their customers are at their limits.
	shareWaiters int
}

const (
	defaultQueueLength = 256
	defaultShareWait   = 600 * time.Millisecond
	minRetryAfter      = time.Second
)

// NewController returns a controller without customer limits.
func NewController() *Controller {
	return &Controller{
		Now:            clock.Now,
		Capacity:       func(ident.Model) int { return 1 },
		MaxQueueLength: func(ident.Class) int { return defaultQueueLength },
		MaxShareWait:   defaultShareWait,
		customers:      map[ident.Customer]*customer{},
		queues:         map[ident.Model]*queue{},
		serviceTimes:   serviceEstimates{},
		sharesChanged:  make(chan struct{}),
	}
}

// SetShares replaces the shares of the customers in shares; others keep theirs.
func (c *Controller) SetShares(shares map[ident.Customer]Share) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, s := range shares {
		c.customer(name).share = s
	}
	c.notifyShares()
	c.admitFromAll()
}

// TakeDemands returns the customers' demands since the last call, sorted by customer, and resets them.
func (c *Controller) TakeDemands() []Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	var demands []Demand
	for name, cust := range c.customers {
		cust.updatePeakConcurrency()
		if cust.unreportedDemand != (Demand{}) {
			d := cust.unreportedDemand
			d.Customer = name
			demands = append(demands, d)
		}
		cust.unreportedDemand = Demand{}
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

// Admit returns nil once a has a target; the caller must report the end of the request. Otherwise it returns an error, and the request
// has not run.
func (c *Controller) Admit(ctx context.Context, a *Request) error {
	now := c.Now()
	if err := c.acquireLimits(ctx, now, a); err != nil {
		return err
	}
	w, err := c.enqueue(c.Now(), a)
	if err != nil || w == nil {
		return err
	}
	return c.await(ctx, w)
}

// acquireLimits counts the request against its customer's limits. At the concurrency limit it first waits for up to MaxShareWait.
func (c *Controller) acquireLimits(ctx context.Context, now time.Time, a *Request) error {
	waitUntil := now.Add(c.MaxShareWait)
	for {
		c.mu.Lock()
		cust := c.customer(a.Customer)
		if !cust.atLimit() {
			err := c.acquireRates(now, cust, a)
			c.mu.Unlock()
			return err
		}
		cust.waiting++
		c.shareWaiters++
		cust.updatePeakConcurrency()
		changed := c.sharesChanged
		c.mu.Unlock()
		err := c.awaitShare(ctx, changed, waitUntil, a)
		c.mu.Lock()
		cust.waiting--
		c.shareWaiters--
		c.mu.Unlock()
		if err != nil {
			return err
		}
		now = c.Now()
	}
}

// awaitShare waits until shares may have changed. After waitUntil it returns the refusal of a.
func (c *Controller) awaitShare(ctx context.Context, changed <-chan struct{}, waitUntil time.Time, a *Request) error {
	remaining := waitUntil.Sub(c.Now())
	if remaining <= 0 {
		return Refuse(result.LimitExceeded, minRetryAfter, "customer %s is at its limit of concurrent requests", a.Customer)
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return result.Wrap(ctx.Err(), result.Cancelled, "the caller cancelled the request before it ran")
	}
}

// acquireRates counts the request as running, or refuses it if the customer is over a rate limit.
func (c *Controller) acquireRates(now time.Time, cust *customer, a *Request) error {
	if wait := cust.consumeRates(now, a.Tokens); wait > 0 {
		cust.unreportedDemand.Requests++
		return Refuse(result.LimitExceeded, wait, "customer %s is over its rate limit", a.Customer)
	}
	cust.running++
	cust.unreportedDemand.Requests++
	cust.unreportedDemand.Tokens += int(a.Tokens)
	cust.updatePeakConcurrency()
	return nil
}

// enqueue admits a at once and returns nil, or returns its waiter in the queue, or refuses it.
func (c *Controller) enqueue(now time.Time, a *Request) (*waiter, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cust := c.customer(a.Customer)
	q := c.queue(a.Model)
	serviceSeconds := c.serviceTimes.expectedSeconds(a)
	if len(q.items) == 0 {
		admitted, err := c.tryReserve(now, a)
		if admitted || err != nil {
			c.releaseIfRefused(cust, err)
			return nil, err
		}
	}
	if err := c.checkWait(now, a, q, serviceSeconds); err != nil {
		c.releaseIfRefused(cust, err)
		return nil, err
	}
	c.lastSequence++
	w := &waiter{request: a, customer: cust, serviceSeconds: serviceSeconds, sequence: c.lastSequence, answer: make(chan error, 1)}
	q.push(w)
	c.admitFrom(q)
	return w, nil
}

// releaseIfRefused releases the request's place within the concurrency limit if err is not nil.
func (c *Controller) releaseIfRefused(cust *customer, err error) {
	if err == nil {
		return
	}
	cust.running--
	c.notifyShares()
}

// notifyShares wakes the requests that wait because their customers are at their limits.
func (c *Controller) notifyShares() {
	if c.shareWaiters == 0 {
		return
	}
	close(c.sharesChanged)
	c.sharesChanged = make(chan struct{})
}

// tryReserve reports whether a has reserved a target, and returns a refusal if waiting would not help.
func (c *Controller) tryReserve(now time.Time, a *Request) (bool, error) {
	switch a.Reserve(now) {
	case routing.Chosen:
		return true, nil
	case routing.UnknownModel:
		return false, Refuse(result.ModelUnknown, 0, "no group serves model %q", a.Model)
	case routing.NotWhole:
		return false, Refuse(result.NoWholeGroup, minRetryAfter, "no group of model %q has all its members", a.Model)
	case routing.BackedOff:
		return false, RefuseBackedOff(a.Free(), a.Model)
	}
	return false, nil
}

// checkWait refuses a if it cannot finish before its deadline, and sheds a request if the queue is full.
func (c *Controller) checkWait(now time.Time, a *Request, q *queue, serviceSeconds float64) error {
	waitSeconds := q.secondsAhead(a) / float64(max(c.Capacity(a.Model), 1))
	finish := now.Add(time.Duration((waitSeconds + serviceSeconds) * float64(time.Second)))
	if finish.After(a.Deadline) {
		return Refuse(result.DeadlineUnreachable, retryDelay(waitSeconds), "the request needs about %.1f s, its deadline is in %.1f s", waitSeconds+serviceSeconds, a.Deadline.Sub(now).Seconds())
	}
	if q.classLength(a) < c.MaxQueueLength(a.Class) {
		return nil
	}
	return c.shed(a, q, waitSeconds)
}

// shed refuses the least important waiter, or a itself if no waiter is less important.
func (c *Controller) shed(a *Request, q *queue, waitSeconds float64) error {
	leastImportant := q.leastImportant()
	candidate := &waiter{request: a, virtualStart: max(q.virtualTime, c.customer(a.Customer).virtualFinish), sequence: math.MaxUint64}
	if leastImportant == nil || leastImportant.before(candidate) {
		return Refuse(result.Overloaded, retryDelay(waitSeconds), "%d requests already wait for model %q", len(q.items), a.Model)
	}
	q.remove(leastImportant)
	c.answerWaiter(leastImportant, Refuse(result.Overloaded, retryDelay(waitSeconds), "a more important request displaced this one from the full queue"))
	return nil
}

// answerWaiter delivers the decision on a waiter that has been removed from the queue.
func (c *Controller) answerWaiter(w *waiter, err error) {
	c.releaseIfRefused(w.customer, err)
	w.answer <- err
}

func retryDelay(s float64) time.Duration {
	return max(minRetryAfter, time.Duration(s*float64(time.Second)))
}

// await waits for the decision on w, and abandons w when the caller cancels or the deadline can no longer be met.
func (c *Controller) await(ctx context.Context, w *waiter) error {
	latest := w.request.Deadline.Add(-time.Duration(w.serviceSeconds * float64(time.Second)))
	timer := time.NewTimer(max(0, latest.Sub(c.Now())))
	defer timer.Stop()
	select {
	case err := <-w.answer:
		return err
	case <-ctx.Done():
		return c.abandon(w, result.Wrap(ctx.Err(), result.Cancelled, "the caller cancelled the request before it ran"))
	case <-timer.C:
		return c.abandon(w, Refuse(result.DeadlineUnreachable, minRetryAfter, "the deadline can no longer be met after waiting in the queue"))
	}
}

// abandon removes w from the queue and returns err; if w has been answered in the meantime, it returns that answer.
func (c *Controller) abandon(w *waiter, err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case answer := <-w.answer:
		return answer
	default:
	}
	c.queue(w.request.Model).remove(w)
	c.releaseIfRefused(w.customer, err)
	return err
}

// Finish ends an admitted request. duration is its time since admission if it was answered, otherwise zero; unused tokens are returned
// to the customer's rate limit.
func (c *Controller) Finish(a *Request, duration time.Duration, unused ident.Tokens) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cust := c.customer(a.Customer)
	cust.running--
	cust.tokens.level += float64(unused)
	if duration > 0 {
		c.serviceTimes.record(a, duration)
	}
	c.notifyShares()
	c.admitFrom(c.queue(a.Model))
}

// AdmitWaiting admits waiting requests after capacity has changed for another reason than the end of a request.
func (c *Controller) AdmitWaiting() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.admitFromAll()
}

func (c *Controller) admitFromAll() {
	for _, q := range c.queues {
		c.admitFrom(q)
	}
}

// admitFrom admits waiting requests in order until the model has no free slot.
func (c *Controller) admitFrom(q *queue) {
	for {
		w := q.first()
		if w == nil {
			return
		}
		now := c.Now()
		if deadlineUnreachable(now, w) {
			q.remove(w)
			c.answerWaiter(w, Refuse(result.DeadlineUnreachable, minRetryAfter, "the deadline can no longer be met after waiting in the queue"))
			continue
		}
		admitted, err := c.tryReserve(now, w.request)
		if !admitted && err == nil {
			return
		}
		q.remove(w)
		q.advanceVirtualTime(w)
		c.answerWaiter(w, err)
	}
}

// QueueLen returns how many requests wait for model.
func (c *Controller) QueueLen(model ident.Model) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.queue(model).items)
}
