package dispatch

import (
	"context"
	"strings"
	"time"

	"github.com/dunlinquay/dunlinquay/admission"
	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/engine"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/routing"
)

// job is one admitted request with the state that its attempts share.
type job struct {
	dispatcher    *Dispatcher
	request       *Request
	sink          Sink
	timing        *Timing
	started       time.Time
	targetRequest routing.Request
	target        *routing.Target
	// text and tokens are the answer so far, which the next attempt of a deterministic request continues.
	text   strings.Builder
	tokens int
	// forwarded is set once a token has been sent to the caller, mayHaveRun once an attempt may have run.
	forwarded  bool
	mayHaveRun bool
	// begun is set once an engine has begun to answer the request.
	begun bool
}

// crashKeys returns what the request is quarantined by. An answer that has begun is continued whatever the prompt's parts are.
func (j *job) crashKeys() crashKeys {
	keys := j.request.crashKeys()
	if j.begun {
		keys.parts = nil
	}
	return keys
}

func (j *job) reserve(now time.Time) routing.Outcome {
	target, outcome := j.dispatcher.Table.Reserve(now, &j.targetRequest)
	j.target = target
	return outcome
}

// run makes attempts until one returns a complete answer or no further attempt is allowed.
func (j *job) run(ctx context.Context) (*Answer, error) {
	for {
		// The last attempt may have caused the quarantine of the request.
		if err := j.dispatcher.beginAttempt(j.crashKeys()); err != nil {
			j.endBackoffProbe(j.target, false)
			j.dispatcher.Table.Release(j.target)
			return nil, failedIfMayHaveRun(err, j.mayHaveRun)
		}
		if permit := j.dispatcher.awaitPermit(ctx, j.target.Head, j.request.Deadline, j.targetRequest.WaitsForPermit); !permit.OK {
			if err := j.reserveWithoutPermit(ctx, &permit); err != nil {
				return nil, j.finalError(err)
			}
			continue
		}
		j.timing.Attempts++
		target := j.target
		answer, err := j.send(ctx)
		j.dispatcher.noteEvidence(j.request.crashKeys(), target.Head, target.Members[0].Incarnation, j.begun, err)
		if err == nil {
			return answer, nil
		}
		err = j.dispatcher.contextError(ctx, err)
		j.mayHaveRun = j.mayHaveRun || !NotRun(err)
		if !j.mayRetry(ctx, err) {
			return nil, j.finalError(err)
		}
		if retryErr := j.reserveAgain(ctx); retryErr != nil {
			return nil, j.finalError(j.errorToReport(err, retryErr))
		}
	}
}

// reserveWithoutPermit reserves another target for a request that got no permit, or returns its refusal.
func (j *job) reserveWithoutPermit(ctx context.Context, permit *ratelimit.Permit) error {
	mustWait := j.targetRequest.WaitsForPermit
	j.endBackoffProbe(j.target, false)
	j.dispatcher.Table.Release(j.target)
	if mustWait {
		return refuseNoPermit(permit, j.request.Model)
	}
	return j.reserveAgain(ctx)
}

// errorToReport chooses between err, the failure of the last attempt, and retryErr, the reason why there is no other target. It returns
// retryErr, usually a refusal, only if the last attempt certainly did not run.
func (j *job) errorToReport(err, retryErr error) error {
	if NotRun(err) {
		return retryErr
	}
	return err
}

// finalError replaces the codes of upstream failures by those that are returned to callers.
func (j *job) finalError(err error) error {
	switch result.CodeOf(err) {
	case result.AnswerFragment, result.AnswerForeign, result.UpstreamMalformed, result.Unnamed:
		return result.Wrap(err, result.UpstreamFailed, "no complete answer after %d attempts", j.timing.Attempts)
	case result.NeverSent, result.EpochMismatch, result.UpstreamNotRun:
		err = result.Wrap(err, result.NoWholeGroup, "no group accepted the request after %d attempts", j.timing.Attempts)
	}
	return failedIfMayHaveRun(err, j.mayHaveRun)
}

// failedIfMayHaveRun turns a refusal into a failure if an earlier attempt may have run.
func failedIfMayHaveRun(err error, mayHaveRun bool) error {
	if mayHaveRun && NotRun(err) {
		return result.Wrap(err, result.UpstreamFailed, "an earlier attempt may have run, and no further one is possible")
	}
	return err
}

// mayRetry reports whether the request may be sent again after err.
func (j *job) mayRetry(ctx context.Context, err error) bool {
	if ctx.Err() != nil || j.timing.Attempts >= maxAttempts {
		return false
	}
	if NotRun(err) && j.tokens == 0 {
		return true
	}
	if !j.request.Repeatable {
		return false
	}
	code := result.CodeOf(err)
	if code == result.Cancelled || code == result.TimedOut {
		return false
	}
	// The tokens that the caller has can only be continued if another engine generates the same ones.
	if j.forwarded && !j.request.Deterministic {
		return false
	}
	return j.dispatcher.RetryBudget.AllowRetry()
}

// reserveAgain reserves another target, and waits while all are full.
func (j *job) reserveAgain(ctx context.Context) error {
	j.targetRequest.Avoid = j.target
	if !j.request.Deterministic {
		j.text.Reset()
		j.tokens = 0
	}
	for {
		switch j.reserve(j.dispatcher.Now()) {
		case routing.Chosen:
			return nil
		case routing.UnknownModel:
			return result.New(result.ModelUnknown, "no group serves model %q any more", j.request.Model)
		case routing.NotWhole:
			return result.New(result.NoWholeGroup, "no group of model %q has all its members", j.request.Model)
		case routing.BackedOff:
			return admission.RefuseBackedOff(j.targetRequest.RetryIn, j.request.Model)
		}
		select {
		case <-ctx.Done():
			return j.dispatcher.contextError(ctx, result.Wrap(ctx.Err(), result.Cancelled, "the request ended while it waited for a group"))
		case <-time.After(reserveRetryInterval):
		}
	}
}

// send makes one attempt: it sends the request to the reserved target and reads the answer.
func (j *job) send(ctx context.Context) (*Answer, error) {
	target := j.target
	defer j.dispatcher.Table.Release(target)
	j.timing.Group, j.timing.Epoch = target.Group, target.Epoch
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer j.dispatcher.attempts.add(&attempt{target: target, cancel: cancel})()
	sentAt := j.dispatcher.Now()
	stream, err := j.dispatcher.Generate(ctx, target.Head, &engine.GenerateRequest{
		Request: j.request.ID, Group: target.Group, Epoch: target.Epoch, Model: j.request.Model, Adapter: j.request.Adapter,
		Chat: j.request.Chat, Prompt: j.request.Prompt, Options: j.request.Options, MaxTokens: j.request.MaxTokens,
		Priority: j.request.Priority, From: j.tokens, Prefixes: j.targetRequest.Prefixes,
	})
	j.endBackoffProbe(target, err == nil)
	if err != nil {
		return nil, j.noteFailure(ctx, target, err)
	}
	defer stream.Close()
	answer, err := j.readAnswer(stream)
	if err != nil {
		j.cancelUpstream(target)
		return nil, j.noteFailure(ctx, target, err)
	}
	j.recordPace(target, sentAt)
	return answer, nil
}

// noteFailure records what a failure says of the target, and returns the error of the attempt.
func (j *job) noteFailure(ctx context.Context, target *routing.Target, err error) error {
	if context.Cause(ctx) == errMemberLost { //nolint:errorlint // compared by identity: it is the cause set for this attempt
		return result.Wrap(err, result.UpstreamFailed, "a member of group %s was lost", target.Group)
	}
	if requested := backoff.RequestedBy(err); requested > 0 && j.dispatcher.Table.Backoff.NoteRefusal(j.dispatcher.Now(), target.HeadIncarnation(), requested) {
		j.dispatcher.BackoffRequested(target.HeadIncarnation(), requested)
	}
	switch code := result.CodeOf(err); code {
	case result.NeverSent, result.EpochMismatch:
		target.FailHead(j.dispatcher.Now())
	case result.AnswerForeign, result.AnswerFragment, result.UpstreamMalformed:
		j.dispatcher.AnswerDropped(target.Group, code)
	}
	return err
}

// endBackoffProbe ends the target's backoff probe if this request is the probe.
func (j *job) endBackoffProbe(target *routing.Target, accepted bool) {
	if j.targetRequest.Trial {
		j.targetRequest.Trial = false
		j.dispatcher.Table.Backoff.EndProbe(target.HeadIncarnation(), accepted)
	}
}

// cancelUpstream cancels the request at the engine, in the background.
func (j *job) cancelUpstream(target *routing.Target) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
		defer cancel()
		_ = j.dispatcher.Cancel(ctx, target.Head, j.request.ID)
	}()
}

func (j *job) readAnswer(stream *engine.Stream) (*Answer, error) {
	for {
		token, err := stream.Next()
		if err != nil {
			return nil, err
		}
		if j.timing.FirstToken == 0 {
			j.timing.FirstToken = j.dispatcher.Now().Sub(j.started)
		}
		if token.Done {
			j.timing.Tokens = j.tokens
			return &Answer{Text: j.text.String(), Finish: token.Finish, Tokens: j.tokens, PromptTokens: token.PromptTokens}, nil
		}
		j.tokens++
		if !j.begun {
			j.begun = true
			j.dispatcher.noteAnswerBegun(j.request.crashKeys())
		}
		if j.sink == nil || !j.request.Repeatable {
			j.text.WriteString(token.Text)
		}
		if err := j.forward(token.Text, stream.Buffered()); err != nil {
			return nil, err
		}
	}
}

func (j *job) forward(text string, moreBuffered bool) error {
	if j.sink == nil {
		return nil
	}
	j.forwarded = true
	if err := j.sink(text, moreBuffered); err != nil {
		return result.Wrap(err, result.Cancelled, "the answer could not be sent to the caller")
	}
	return nil
}

// recordPace records the target's time per token relative to the typical one, and updates the latter.
func (j *job) recordPace(target *routing.Target, sentAt time.Time) {
	now := j.dispatcher.Now()
	perToken := now.Sub(sentAt).Seconds() / float64(max(j.tokens, 1)) * microsecondsPerSecond
	typical := float64(j.dispatcher.typicalPace.Load())
	if typical == 0 {
		j.dispatcher.typicalPace.Store(int64(perToken))
		return
	}
	j.dispatcher.typicalPace.Store(int64(typical + paceWeight*(perToken-typical)))
	target.RecordPace(now, perToken/max(typical, 1))
}
