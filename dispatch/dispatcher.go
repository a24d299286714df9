package dispatch

// A request goes through these steps, and each failure has one answer:
//
//	claim   not repeatable only: durable before anything is sent
//	hold    work under which upstreams ended is refused
//	admit   a refusal here has run nothing: the claim is given back
//	take    a whole group with a free slot, checked at this moment
//	send    certainly not run -> another try; may have run -> see below
//	read    every token checked; the end must be proper
//	keep    not repeatable only: the answer, or that its outcome is unknown
//
// After a byte may have left, a repeatable request is tried again while its
// deadline, the retry budget and what the caller has already received allow
// it. A not-repeatable one is never sent again: its outcome is known, or
// reported as unknown.

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/dunlinquay/dunlinquay/admission"
	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/engine"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ledger"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/routing"
)

const (
	maxAttempts       = 4
	cancelTimeout  = 2 * time.Second
	reserveRetryInterval   = 20 * time.Millisecond
	claimGrace   = time.Second
	microsecondsPerSecond   = 1e6
	paceWeight = 0.05
)

// Dispatcher serves requests; exported fields are set before use.
type Dispatcher struct {
	Now      func() time.Time
	Gate     *admission.Controller
	Table    *routing.Table
	Book     *ledger.Book
	Budget   *Budget
	Generate func(ctx context.Context, address string, g *engine.Generate) (*engine.Stream, error)
	Cancel   func(ctx context.Context, address string, id ident.Request) error
	// InForce returns an error while this daemon may hold configuration that is no longer in force.
	InForce func() error
	// Observe is told what each request took.
	Observe func(timing *Timing)
	// Dropped is told of answers that were not passed on because they were foreign, broken or out of order.
	Dropped func(group ident.Group, code result.Code)
	// Quarantine is the work that is held because upstreams ended under it.
	Quarantine *quarantine.List
	// Refuses reports whether an upstream's address refuses connections.
	Refuses func(ctx context.Context, address string) bool
	// Holds is told of work that is held from now on, and for how long.
	Holds func(r *quarantine.Report, remaining time.Duration)
	// Asked is told of heads of groups that ask for time.
	Asked func(head ident.Incarnation, requested time.Duration)
	// Limits keep this daemon, together with all others, within the limits that upstreams name, by their addresses.
	Limits *ratelimit.Limiter[string]
	// LimitChanged is told of limits that begin, change and end, LimitUnclear of what can't be read.
	LimitChanged func(address string, now, previous ratelimit.Limit)
	LimitUnclear func(address string, err error)
	// Services serves plain services.
	Services *Services

	typicalPace atomic.Int64
	attempts   attemptSet
}

// Sink receives the tokens of a streamed answer in order; an error ends the request as cancelled.
type Sink func(text string, moreBuffered bool) error

// Serve returns the whole answer of r; with a sink the text has also gone there token by token.
func (d *Dispatcher) Serve(ctx context.Context, r *Request, sink Sink) (*Answer, error) {
	started := d.Now()
	ctx, cancel := context.WithTimeoutCause(ctx, r.Deadline.Sub(started), errDeadline)
	defer cancel()
	t := &Timing{Request: r.ID, Customer: r.Customer, Class: r.Class}
	answer, err := d.serveClaimed(ctx, r, sink, t)
	t.Total = d.Now().Sub(started)
	t.Err = err
	d.Observe(t)
	return answer, err
}

var (
	errDeadline   = errors.New("deadline passed")
	errMemberLost = errors.New("a member of the group was lost")
)

// serveClaimed surrounds a not-repeatable request by its claim and its outcome.
func (d *Dispatcher) serveClaimed(ctx context.Context, r *Request, sink Sink, t *Timing) (*Answer, error) {
	if err := d.InForce(); err != nil {
		return nil, err
	}
	if r.Repeatable {
		return d.serveAdmitted(ctx, r, sink, t)
	}
	var answer *Answer
	run := func() ([]byte, error) {
		a, err := d.serveAdmitted(ctx, r, sink, t)
		if err != nil {
			return nil, err
		}
		answer = a
		return json.Marshal(a)
	}
	stored, err := d.runOnce(ctx, ledger.Key{Customer: r.Customer, ID: r.Key}, r.Digest, r.Deadline, t, run)
	if err != nil || answer != nil {
		return answer, err
	}
	answer = &Answer{}
	if err := json.Unmarshal(stored, answer); err != nil {
		return nil, result.Wrap(err, result.OutcomeUnknown, "stored answer cannot be read")
	}
	if sink != nil {
		return answer, sink(answer.Text, false)
	}
	return answer, nil
}

// runOnce runs a not-repeatable request under its claim, or returns what was stored of an earlier run; t counts its tries.
func (d *Dispatcher) runOnce(
	ctx context.Context, key ledger.Key, digest ledger.Digest, deadline time.Time, t *Timing, run func() ([]byte, error),
) ([]byte, error) {
	// The claim reads as in progress until the run has surely ended.
	// The ledger goes by the time of day, on which the clock of requests says nothing.
	claimDeadline := time.Now().Add(deadline.Sub(d.Now()) + claimGrace)
	claim, stored, err := d.Book.Claim(ctx, key, digest, claimDeadline)
	if err != nil || claim == nil {
		return stored, err
	}
	answer, err := run()
	switch {
	case err == nil:
		// The answer is true whether or not it could be kept.
		_ = claim.Done(answer)
		return answer, nil
	case NotRun(err) || t.Tries == 0:
		_ = claim.Release()
		return nil, err
	}
	_ = claim.Unknown()
	return nil, result.Wrap(err, result.OutcomeUnknown, "the request may have run")
}

// NotRun reports whether err means that the request certainly did not run.
func NotRun(err error) bool {
	return err != nil && result.Lookup(result.CodeOf(err)).NotRun
}

// serveAdmitted passes the gate and gives back what it took.
func (d *Dispatcher) serveAdmitted(ctx context.Context, r *Request, sink Sink, t *Timing) (*Answer, error) {
	if err := d.quarantineError(r.fingerprint()); err != nil {
		return nil, err
	}
	started := d.Now()
	job := &job{dispatcher: d, request: r, sink: sink, timing: t, started: started}
	job.targetRequest = routing.Request{Model: r.Model, Adapter: r.Adapter, Prefixes: routing.Prefixes(r.Prompt), PromptTokens: r.PromptTokens}
	admissionRequest := &admission.Ask{
		Customer: r.Customer, Class: r.Class, Priority: r.Priority, Model: r.Model,
		Tokens: r.PromptTokens + r.MaxTokens, Deadline: r.Deadline, Reserve: job.reserve,
		Free: func() time.Duration { return job.targetRequest.RetryIn },
	}
	if err := d.Gate.Admit(ctx, admissionRequest); err != nil {
		return nil, d.notSentError(ctx, err)
	}
	t.Wait = d.Now().Sub(started)
	answer, err := job.run(ctx)
	var duration time.Duration
	unusedTokens := admissionRequest.Tokens
	if err == nil {
		duration = d.Now().Sub(started) - t.Wait
		unusedTokens = admissionRequest.Tokens - ident.Tokens(answer.Tokens) - r.PromptTokens
		d.Budget.Earn()
	}
	d.Gate.Done(admissionRequest, duration, unusedTokens)
	return answer, err
}

// notSentError names the error of a request that ended before it was sent: its deadline makes that a refusal.
func (d *Dispatcher) notSentError(ctx context.Context, err error) error {
	err = d.contextError(ctx, err)
	if result.CodeOf(err) == result.TimedOut {
		return result.Wrap(err, result.DeadlineUnreachable, "the deadline passed before the request was sent")
	}
	return err
}

// contextError replaces the error of an ended context by the reason for which it ended.
func (d *Dispatcher) contextError(ctx context.Context, err error) error {
	code := result.CodeOf(err)
	if code != result.Cancelled && code != result.TimedOut && code != result.UpstreamFailed && code != result.AnswerFragment {
		return err
	}
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return err
	case errors.Is(cause, errDeadline) || errors.Is(cause, context.DeadlineExceeded):
		return result.Wrap(err, result.TimedOut, "the deadline passed")
	}
	return result.Wrap(err, result.Cancelled, "the caller went away")
}

// NewDispatcher returns a dispatcher that is always in force and observed by nobody.
func NewDispatcher() *Dispatcher {
	return &Dispatcher{
		Now:     clock.Now,
		Budget:  NewBudget(1),
		InForce: func() error { return nil },
		Observe: func(*Timing) {},
		Dropped: func(ident.Group, result.Code) {},
		Cancel:  func(context.Context, string, ident.Request) error { return nil },
		Refuses: func(context.Context, string) bool { return false },
		Holds:   func(*quarantine.Report, time.Duration) {},
		Asked:   func(ident.Incarnation, time.Duration) {},

		LimitChanged: func(string, ratelimit.Limit, ratelimit.Limit) {},
		LimitUnclear: func(string, error) {},

		Quarantine: &quarantine.List{Rule: quarantine.DefaultRule()},
		Limits:     ratelimit.NewLimiter[string](),
	}
}
