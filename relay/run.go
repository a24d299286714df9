package relay

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/dunlinquay/dunlinquay/result"
)

// attemptOutcome is how one attempt ended.
type attemptOutcome string

const (
	// outcomeDone means that the caller has the complete answer.
	outcomeDone attemptOutcome = "done"
	// outcomeNeverSent means that no byte of the request was sent.
	outcomeNeverSent attemptOutcome = "never-sent"
	// outcomeNotAccepted means that another entry did not accept the request in time.
	outcomeNotAccepted attemptOutcome = "not-accepted"
	// outcomeNotRun means that the upstream refused the request without running it.
	outcomeNotRun attemptOutcome = "not-run"
	// outcomeFailed means that the upstream answered with a server error.
	outcomeFailed attemptOutcome = "failed"
	// outcomeBroken means that the upstream may have run the request, and its answer is lost or unusable.
	outcomeBroken attemptOutcome = "broken"
	// outcomeStalled means the same for an upstream that was silent for too long.
	outcomeStalled attemptOutcome = "stalled"
	// outcomeSuperseded means that the attempt was a hedge, and the first attempt made progress.
	outcomeSuperseded attemptOutcome = "superseded"
	// outcomeExpired means that the request's deadline passed.
	outcomeExpired attemptOutcome = "expired"
	// outcomeQuarantined means that the request was not sent because its fingerprint is quarantined.
	outcomeQuarantined attemptOutcome = "held"
	// outcomeSkipped means that the request was not sent because the upstream became unavailable after it was chosen.
	outcomeSkipped attemptOutcome = "passed-over"
	// outcomeNoPermit means that the request was not sent because the upstream's limit is used up.
	outcomeNoPermit attemptOutcome = "nothing-to-have"
	// outcomeCallerGone means that the caller disconnected.
	outcomeCallerGone attemptOutcome = "caller-gone"
)

// serve serves an admitted request: through another entry if this one reaches no upstream when the request arrives, or else itself.
func (x *exchange) serve() error {
	if !x.counted {
		if accepted, err := x.forward(); accepted {
			return err
		}
		x.count()
	}
	return x.run()
}

// run sends the request to one upstream after another until it has an answer or must not be sent again.
func (x *exchange) run() error {
	x.paceHeldStream()
	for {
		if x.timeLeft() <= 0 {
			return x.expiredError()
		}
		// A request whose fingerprint is quarantined is sent to no upstream. A request that crashes upstreams and is repeated by its
		// caller would otherwise crash one after the other.
		if err := x.quarantineError(); err != nil {
			x.endReason = InterruptedQuarantine
			return x.quarantineRefusal(err)
		}
		chosen, ended, err := x.nextTarget()
		if ended {
			return err
		}
		if x.sendCount > 0 && !x.retryCharged && !x.allowRetry() {
			x.cancelReservation(&chosen)
			return x.budgetError()
		}
		x.retryCharged = x.sendCount > 0
		outcome := x.finishHedges(x.attempt(&chosen))
		if x.forwardEnded {
			return x.forwardErr
		}
		switch outcome {
		case outcomeDone:
			return nil
		case outcomeCallerGone:
			return result.New(result.Cancelled, "the caller disconnected")
		case outcomeExpired:
			return x.expiredError()
		case outcomeQuarantined:
			continue
		case outcomeSkipped:
			delete(x.triedUpstreams, chosen.id)
			continue
		}
		if !x.mayRetry(outcome) {
			x.endReason = InterruptedAttempt
			return x.finalError(result.New(result.UpstreamFailed, "the last attempt ended as %s", outcome))
		}
	}
}

// nextTarget reserves the next target. If there is none, the request has ended with err, or another entry has served it.
func (x *exchange) nextTarget() (chosen choice, ended bool, err error) {
	chosen, err = x.awaitTarget()
	if err != nil && x.shouldForward() {
		if accepted, err := x.forwardInstead(); accepted {
			return chosen, true, err
		}
		x.triesUnreachable = true
		chosen, err = x.awaitTarget()
	}
	switch {
	case err != nil && x.endedByStop():
		return chosen, true, x.stopError()
	case err != nil:
		x.endReason = InterruptedNoTarget
		return chosen, true, x.finalError(err)
	}
	return chosen, false, nil
}

// forwardInstead sends a request for which no upstream was found through another entry, if the retry budget allows it.
func (x *exchange) forwardInstead() (accepted bool, err error) {
	if x.sendCount > 0 && !x.retryCharged && !x.allowRetry() {
		return true, x.budgetError()
	}
	x.retryCharged = x.sendCount > 0
	return x.forward()
}

// budgetError returns the error of a request that the retry budget does not allow to be sent again.
func (x *exchange) budgetError() error {
	x.endReason = InterruptedBudget
	return x.finalError(result.New(result.Overloaded, "the retry budget of the service is used up"))
}

// allowRetry reports whether the retry budget of the service allows to send the request once more.
func (x *exchange) allowRetry() bool {
	decision := x.s.Budget.Decide(x.service.Name)
	if n := len(x.retryDecisions); n > 0 && !decision.Allowed && !x.retryDecisions[n-1].Allowed {
		x.retryDecisions[n-1] = decision
		return false
	}
	x.retryDecisions = append(x.retryDecisions, decision)
	return decision.Allowed
}

// mayRetry reports whether the route allows another attempt after one with that outcome.
func (x *exchange) mayRetry(outcome attemptOutcome) bool {
	switch outcome {
	case outcomeNeverSent:
		return !x.triesUnreachable
	case outcomeNotRun:
		return x.sendCount < maxSends
	}
	return x.route.Repeatable() && x.runCount < x.maxRuns() && x.sendCount < maxSends
}

// expiredError returns the error of a request whose deadline has passed.
func (x *exchange) expiredError() error {
	if x.endedByStop() {
		return x.stopError()
	}
	x.endReason = InterruptedDeadline
	if x.mayHaveRun {
		return result.New(result.TimedOut, "no complete answer before the deadline")
	}
	return result.New(result.DeadlineUnreachable, "no upstream accepted the request before the deadline")
}

// finalError returns the error of a request that is not attempted again; its code says "not run" only if that is certain.
func (x *exchange) finalError(err error) error {
	switch {
	case !x.mayHaveRun:
		if result.Lookup(result.CodeOf(err)).NotRun {
			return err
		}
		return result.Wrap(err, result.NoWholeGroup, "did not run")
	case x.route.Repeatable():
		return result.Wrap(err, result.UpstreamFailed, "may have run")
	}
	return result.Wrap(err, result.OutcomeUnknown, "may have run")
}

// attempt sends the request to t, forwards the answer and records the outcome.
func (x *exchange) attempt(t *choice) attemptOutcome {
	x.enter(phaseSent)
	defer x.enter(phaseWaiting)
	record := x.beginRecord(t)
	outcome, f := x.send(t)
	return x.endAttempt(t, f, record, outcome)
}

// beginRecord adds the record of an attempt and returns its index.
func (x *exchange) beginRecord(t *choice) int {
	x.triedUpstreams[t.id] = true
	elapsed := x.s.Now().Sub(x.arrivedAt)
	if len(x.attempts) == 0 && t.firstEvent > 0 {
		x.expectedFirstEvent = elapsed + t.firstEvent
	}
	x.attempts = append(x.attempts, Attempt{
		Upstream: t.id, Hall: t.hall, Group: t.group, StartMS: elapsed.Milliseconds(), EstimateMS: t.firstEvent.Milliseconds(),
		PendingPrompt: t.knownLoad.PendingPrompt, Requests: t.knownLoad.Requests, Counted: t.countedRequests, PassedOver: x.skippedUpstreams,
	})
	return len(x.attempts) - 1
}

// endAttempt records the outcome of an attempt; f is nil if the request was not sent.
func (x *exchange) endAttempt(t *choice, f *forwarder, index int, outcome attemptOutcome) attemptOutcome {
	if outcome == outcomeNoPermit {
		// Without a permit this does not count as an attempt.
		x.cancelReservation(t)
		x.attempts = x.attempts[:index]
		return outcomeSkipped
	}
	x.settleWork(x.actualWork(f, outcome))
	x.countedAtTarget = false
	x.endBackoffProbe(t.id, false)
	x.clearPending(t.state)
	x.s.noteAttemptEnd(x.s.Now(), t.state, outcome)
	record := &x.attempts[index]
	record.Result = string(outcome)
	record.setOutcome(f, x.s.Now())
	x.noteEvidence(t.target, f, record, outcome)
	return outcome
}

// clearPending removes the prompt from the pending tokens of its target, once it was prefilled or the attempt has ended.
func (x *exchange) clearPending(ts *targetState) {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	x.clearPendingLocked(ts)
}

// clearPendingLocked is clearPending for callers that hold the mutex.
func (x *exchange) clearPendingLocked(ts *targetState) {
	ts.pendingTokens -= x.pendingTokens
	x.pendingTokens = 0
}

// noteAttemptEnd updates the target's state with the outcome of an attempt.
func (s *Relay) noteAttemptEnd(now time.Time, ts *targetState, outcome attemptOutcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ts.removeRequest()
	switch outcome {
	case outcomeDone:
		ts.noteOutcome(now, true)
	case outcomeFailed:
		ts.noteOutcome(now, false)
	case outcomeBroken, outcomeNeverSent:
		ts.noteOutcome(now, false)
		ts.markSuspect(now)
	case outcomeStalled:
		ts.noteOutcome(now, false)
		ts.markSuspect(now)
		ts.movedAwayAt = now
	}
}

// send sends the request to t and forwards the answer. The forwarder is nil if the request was not sent.
func (x *exchange) send(t *choice) (attemptOutcome, *forwarder) {
	f, outcome := x.begin(t, nil)
	if outcome != "" {
		return outcome, f
	}
	defer f.unwatch()
	return f.forwardAnswer(), f
}

// begin sends the request to t, as a hedge beside first if that is not nil. If it could not be sent, begin returns the outcome; the forwarder
// is nil if no byte was sent.
func (x *exchange) begin(t *choice, first *forwarder) (*forwarder, attemptOutcome) {
	ts := t.state
	// The limit of an upstream applies to the sum of all entries' requests, and each entry sees only its own. One entry, the coordinator,
	// therefore grants the permits for all entries.
	permit := x.acquirePermit(t)
	if !permit.OK {
		return nil, outcomeNoPermit
	}
	dialStart, timeout := x.s.Now(), min(dialTimeout, x.timeLeft())
	ctx, cancel := context.WithTimeout(x.r.Context(), timeout)
	conn, err := x.s.pool.get(ctx, t.address, !x.route.Repeatable())
	cancel()
	if err != nil {
		if x.r.Context().Err() != nil {
			return nil, outcomeCallerGone
		}
		if timeout == dialTimeout {
			x.s.noteDialError(t.target, dialStart, err)
		}
		x.displaced = true
		return nil, outcomeNeverSent
	}
	if !conn.reused {
		x.s.noteOpened(t.target)
	}
	// Keys may have lapsed while this process was suspended; no request is sent on lapsed keys.
	if x.customer != nil && x.s.ConfirmedAge() > x.s.KeyValidity {
		conn.Close()
		return nil, outcomeNeverSent
	}
	// The upstream may have requested a backoff or advertised a limit, or its hall may have been drained, while the connection was opened.
	if x.s.Backoff.StateOf(x.s.Now(), t.id).Remaining > 0 || x.limitAppeared(t, permit) || x.s.isDrained(t.hall) {
		conn.Close()
		return nil, outcomeSkipped
	}
	if err := x.beginAttempt(); err != nil {
		conn.Close()
		return nil, outcomeQuarantined
	}
	f := &forwarder{x: x, target: t.target, state: ts, conn: conn, first: first, firstEventEstimate: t.firstEvent}
	f.watch()
	x.sendCount++
	x.retryCharged = false
	if first != nil {
		x.boundConn(conn, min(hedgeStepTimeout, x.timeLeft()))
	}
	if err := x.writeRequest(conn, t.target); err != nil {
		f.noteRun()
		conn.Close()
		f.unwatch()
		return f, f.brokenOutcome(err)
	}
	if first != nil {
		x.boundConn(conn, x.timeLeft())
	}
	return f, ""
}

// noteDialError records that a connection could not be opened. If it was refused, no process listens there any more. Otherwise the upstream
// may be unreachable, and the suspicion keeps other entries from sending requests there.
func (s *Relay) noteDialError(t *target, dialStart time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hasOtherEntries() {
		s.markUnreachable(t, dialStart)
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		ts := s.stateOf(t)
		ts.connectionRefused = true
		ts.crashed = ts.crashed || s.reach.lastContactAt.After(dialStart)
		return
	}
	if t.group != "" {
		s.suspectTarget(t, s.Now(), dialTimeout)
	}
}

// noteOpened records that a connection was opened.
func (s *Relay) noteOpened(t *target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteConnected(t.service, s.stateOf(t))
}
