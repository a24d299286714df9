package dispatch

// A request passes these steps:
//
//	claim       not repeatable only: made durable before anything is sent
//	quarantine  a request under which upstreams crashed is refused
//	admit       a refused request has not run: its claim is released
//	reserve     a complete group with a free slot at this moment
//	send        certainly not run -> another attempt; may have run -> see below
//	read        each token is checked; the answer must end properly
//	store       not repeatable only: the answer, or that its outcome is unknown
//
// Once an upstream may have received a byte, a repeatable request is retried
// only within its deadline and the retry budget, and only if the retry can
// continue the tokens already sent to the caller. A not-repeatable request is
// never sent again: its outcome is known, or reported as unknown.

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
	maxAttempts = 4
	// cancelTimeout bounds the cancellation of one request at its engine.
	cancelTimeout = 2 * time.Second
	// reserveRetryInterval is the time between tries to reserve a target for another attempt.
	reserveRetryInterval = 20 * time.Millisecond
	// claimGrace is the time after a request's deadline by which its run has certainly ended.
	claimGrace            = time.Second
	microsecondsPerSecond = 1e6
	// paceWeight is the weight of one answer in the moving average of the time per token.
	paceWeight = 0.05
)

// Dispatcher serves requests. Its exported fields are set before use and not changed afterwards.
type Dispatcher struct {
	Now         func() time.Time
	Admission   *admission.Controller
	Table       *routing.Table
	Ledger      *ledger.Client
	RetryBudget *RetryBudget
	Generate    func(ctx context.Context, address string, g *engine.GenerateRequest) (*engine.Stream, error)
	Cancel      func(ctx context.Context, address string, id ident.Request) error
	// CheckConfig returns an error while this daemon's configuration may be out of date.
	CheckConfig func() error
	// Observe receives the timing of each finished request.
	Observe func(timing *Timing)
	// AnswerDropped is called for each answer that was discarded as foreign, incomplete or malformed.
	AnswerDropped func(group ident.Group, code result.Code)
	// Quarantine lists the requests under which upstreams crashed.
	Quarantine *quarantine.List
	// ConnectionRefused reports whether an upstream's address refuses connections.
	ConnectionRefused func(ctx context.Context, address string) bool
	// Quarantined is called when a request fingerprint is quarantined for the remaining time.
	Quarantined func(r *quarantine.Report, remaining time.Duration)
	// BackoffRequested is called when the head of a group requests backoff.
	BackoffRequested func(head ident.Incarnation, requested time.Duration)
	// Limits keeps all daemons together within the rate limits that upstreams advertise, by address.
	Limits *ratelimit.Limiter[string]
	// LimitChanged is called when an upstream's limit appears, changes or disappears.
	LimitChanged func(address string, now, previous ratelimit.Limit)
	// LimitUnreadable is called when a limit header cannot be parsed.
	LimitUnreadable func(address string, err error)
	// Services holds the workers of plain services.
	Services *Services

	// typicalPace is the moving average of the time per token, in microseconds; 0 until the first answer.
	typicalPace atomic.Int64
	attempts    attemptSet
}

// Sink receives the tokens of a streamed answer in order; its error cancels the request. moreBuffered reports that the next token has
// already arrived.
type Sink func(text string, moreBuffered bool) error

// Serve returns the complete answer to r. If sink is not nil, it receives the text as well, token by token.
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

// serveClaimed serves r, if it is not repeatable under a claim of its key.
func (d *Dispatcher) serveClaimed(ctx context.Context, r *Request, sink Sink, t *Timing) (*Answer, error) {
	if err := d.CheckConfig(); err != nil {
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

// runOnce claims key and calls run, or returns the stored answer of an earlier run. t counts the attempts that run makes.
func (d *Dispatcher) runOnce(
	ctx context.Context, key ledger.Key, digest ledger.Digest, deadline time.Time, t *Timing, run func() ([]byte, error),
) ([]byte, error) {
	// Until claimDeadline other claims of the key are answered as in progress, so this run must have ended by then.
	// The ledger uses the wall clock, to which d.Now is not related.
	claimDeadline := time.Now().Add(deadline.Sub(d.Now()) + claimGrace)
	claim, stored, err := d.Ledger.Claim(ctx, key, digest, claimDeadline)
	if err != nil || claim == nil {
		return stored, err
	}
	answer, err := run()
	switch {
	case err == nil:
		// The answer is valid even if it could not be stored.
		_ = claim.StoreAnswer(answer)
		return answer, nil
	case NotRun(err) || t.Attempts == 0:
		_ = claim.Release()
		return nil, err
	}
	_ = claim.MarkUnknown()
	return nil, result.Wrap(err, result.OutcomeUnknown, "the request may have run")
}

// NotRun reports whether err means that the request certainly did not run.
func NotRun(err error) bool {
	return err != nil && result.Lookup(result.CodeOf(err)).NotRun
}

// serveAdmitted runs r once the admission controller has admitted it.
func (d *Dispatcher) serveAdmitted(ctx context.Context, r *Request, sink Sink, t *Timing) (*Answer, error) {
	if err := d.quarantineError(r.crashKeys()); err != nil {
		return nil, err
	}
	started := d.Now()
	job := &job{dispatcher: d, request: r, sink: sink, timing: t, started: started}
	job.targetRequest = routing.Request{Model: r.Model, Adapter: r.Adapter, Prefixes: routing.Prefixes(r.Prompt), PromptTokens: r.PromptTokens}
	admissionRequest := &admission.Request{
		Customer: r.Customer, Class: r.Class, Priority: r.Priority, Model: r.Model,
		Tokens: r.PromptTokens + r.MaxTokens, Deadline: r.Deadline, Reserve: job.reserve,
		Free: func() time.Duration { return job.targetRequest.RetryIn },
	}
	if err := d.Admission.Admit(ctx, admissionRequest); err != nil {
		return nil, d.notSentError(ctx, err)
	}
	t.AdmissionWait = d.Now().Sub(started)
	answer, err := job.run(ctx)
	var duration time.Duration
	unusedTokens := admissionRequest.Tokens
	if err == nil {
		duration = d.Now().Sub(started) - t.AdmissionWait
		unusedTokens = admissionRequest.Tokens - ident.Tokens(answer.Tokens) - r.PromptTokens
		d.RetryBudget.AddAnswered()
	}
	d.Admission.Finish(admissionRequest, duration, unusedTokens)
	return answer, err
}

// notSentError returns the error of a request that was never sent: a timeout counts as a refusal.
func (d *Dispatcher) notSentError(ctx context.Context, err error) error {
	err = d.contextError(ctx, err)
	if result.CodeOf(err) == result.TimedOut {
		return result.Wrap(err, result.DeadlineUnreachable, "the deadline passed before the request was sent")
	}
	return err
}

// contextError replaces an error that the end of ctx may have caused by one that names the cause.
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
	return result.Wrap(err, result.Cancelled, "the caller cancelled the request")
}

// NewDispatcher returns a dispatcher whose callbacks do nothing and whose configuration is always in force.
func NewDispatcher() *Dispatcher {
	return &Dispatcher{
		Now:               clock.Now,
		RetryBudget:       NewRetryBudget(1),
		CheckConfig:       func() error { return nil },
		Observe:           func(*Timing) {},
		AnswerDropped:     func(ident.Group, result.Code) {},
		Cancel:            func(context.Context, string, ident.Request) error { return nil },
		ConnectionRefused: func(context.Context, string) bool { return false },
		Quarantined:       func(*quarantine.Report, time.Duration) {},
		BackoffRequested:  func(ident.Incarnation, time.Duration) {},

		LimitChanged:    func(string, ratelimit.Limit, ratelimit.Limit) {},
		LimitUnreadable: func(string, error) {},

		Quarantine: &quarantine.List{Rule: quarantine.DefaultRule(), SharesFirstPartCrash: true},
		Limits:     ratelimit.NewLimiter[string](),
	}
}
