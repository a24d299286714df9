package relay

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/dunlinquay/dunlinquay/result"
)

// attemptOutcome is what one try came to.
type attemptOutcome string

const (
	// outcomeDone means that the caller has its whole answer.
	outcomeDone attemptOutcome = "done"
	// outcomeNeverSent means that no byte left.
	outcomeNeverSent attemptOutcome = "never-sent"
	// outcomeNotRun means that the upstream said it did not run the request.
	outcomeNotRun attemptOutcome = "not-run"
	// outcomeFailed means that the upstream answered with a failure of its own.
	outcomeFailed attemptOutcome = "failed"
	// outcomeBroken means that the upstream may have run the request and its answer is lost or cannot be used.
	outcomeBroken attemptOutcome = "broken"
	// outcomeStalled is the same for an upstream that went silent.
	outcomeStalled attemptOutcome = "stalled"
	// outcomeExpired means that the time is up.
	outcomeExpired attemptOutcome = "expired"
	// outcomeQuarantined means that the request was not sent, because its work is held.
	outcomeQuarantined attemptOutcome = "held"
	// outcomeSkipped means that it was not sent, because the upstream has come to want nothing since it was chosen.
	outcomeSkipped attemptOutcome = "passed-over"
	// outcomeNoPermit means that it was not sent, because the upstream takes nothing more within its limit now.
	outcomeNoPermit attemptOutcome = "nothing-to-have"
	// outcomeCallerGone means that the caller has left.
	outcomeCallerGone attemptOutcome = "caller-gone"
)

// run sends the request to one upstream after another until it has an answer or may not be sent again.
func (x *exchange) run() error {
	x.paceHeldStream()
	for {
		if x.timeLeft() <= 0 {
			return x.expiredError()
		}
		// Work under which upstreams ended, at whichever entries, goes to no other one: without this a request that comes again and
		// again ends one after the other.
		if err := x.quarantineError(); err != nil {
			return err
		}
		chosen, err := x.reserveTarget()
		if err != nil {
			return x.finalError(err)
		}
		if x.sendCount > 0 && !x.retryCharged && !x.s.Budget.AllowRetry(x.service.Name) {
			x.cancelReservation(&chosen)
			return x.finalError(result.New(result.Overloaded, "the budget for repeats is used up"))
		}
		x.retryCharged = x.sendCount > 0
		outcome := x.attempt(&chosen)
		switch outcome {
		case outcomeDone:
			return nil
		case outcomeCallerGone:
			return result.New(result.Cancelled, "the caller has left")
		case outcomeExpired:
			return x.expiredError()
		case outcomeQuarantined:
			continue
		case outcomeSkipped:
			delete(x.triedUpstreams, chosen.id)
			continue
		}
		if !x.mayRetry(outcome) {
			return x.finalError(result.New(result.UpstreamFailed, "the last try: %s", outcome))
		}
	}
}

// mayRetry reports whether the route allows another try after v.
func (x *exchange) mayRetry(outcome attemptOutcome) bool {
	switch outcome {
	case outcomeNeverSent:
		return true
	case outcomeNotRun:
		return x.sendCount < maxSends
	}
	return x.route.Repeatable() && x.runCount < x.route.Attempts && x.sendCount < maxSends
}

// expiredError is the end of a request whose time is up.
func (x *exchange) expiredError() error {
	if x.mayHaveRun {
		return result.New(result.TimedOut, "no whole answer in time")
	}
	return result.New(result.DeadlineUnreachable, "no upstream took the request in time")
}

// finalError is the end of a request that no upstream is left for; only one that certainly did not run is called so.
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

// attempt sends the request to t and follows the answer.
func (x *exchange) attempt(t *choice) attemptOutcome {
	x.triedUpstreams[t.id] = true
	elapsed := x.s.Now().Sub(x.arrivedAt)
	if len(x.attempts) == 0 && t.firstEvent > 0 {
		x.expectedFirstEvent = elapsed + t.firstEvent
	}
	x.attempts = append(x.attempts, Attempt{
		Upstream: t.id, Group: t.group, StartMS: elapsed.Milliseconds(), EstimateMS: t.firstEvent.Milliseconds(), PendingPrompt: t.knownLoad.PendingPrompt, Requests: t.knownLoad.Requests,
		PassedOver: x.skippedUpstreams,
	})
	outcome, f := x.send(t)
	if outcome == outcomeNoPermit {
		// Nothing was meant for it after all.
		x.cancelReservation(t)
		x.attempts = x.attempts[:len(x.attempts)-1]
		return outcomeSkipped
	}
	x.countedAtTarget = false
	x.endBackoffProbe(t.id, false)
	x.clearPending(t.state)
	x.s.noteAttemptEnd(x.s.Now(), t.state, outcome)
	record := &x.attempts[len(x.attempts)-1]
	record.Result = string(outcome)
	record.setOutcome(f, x.s.Now())
	x.noteEvidence(t.target, f, outcome)
	return outcome
}

// clearPending notes that the prompt was read, or that the try has ended.
func (x *exchange) clearPending(ts *targetState) {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	x.clearPendingLocked(ts)
}

// clearPendingLocked is read for callers that hold the mutex.
func (x *exchange) clearPendingLocked(ts *targetState) {
	ts.pendingTokens -= x.pendingTokens
	x.pendingTokens = 0
}

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

func (x *exchange) send(t *choice) (attemptOutcome, *forwarder) {
	ts := t.state
	// An upstream that has named its limit takes that from all entries together, of which each sees only its own requests: what is to be
	// sent is let go by one of them for all.
	permit := x.acquirePermit(t)
	if !permit.OK {
		return outcomeNoPermit, nil
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), min(dialTimeout, x.timeLeft()))
	conn, err := x.s.pool.get(ctx, t.address, !x.route.Repeatable())
	cancel()
	if err != nil {
		if x.r.Context().Err() != nil {
			return outcomeCallerGone, nil
		}
		x.s.noteDialError(t.target, err)
		x.displaced = true
		return outcomeNeverSent, nil
	}
	// Keys may have lapsed while this process stood still; nothing goes out on old ones.
	if x.customer != nil && x.s.ConfirmedAge() > x.s.KeyValidity {
		conn.Close()
		return outcomeNeverSent, nil
	}
	// The upstream may have asked for time or named a limit, or its hall may have been drained, while the connection was opened.
	if x.s.Backoff.StateOf(x.s.Now(), t.id).Remaining > 0 || x.limitAppeared(t, permit) || x.s.isDrained(t.hall) {
		conn.Close()
		return outcomeSkipped, nil
	}
	if err := x.beginAttempt(); err != nil {
		conn.Close()
		return outcomeQuarantined, nil
	}
	f := &forwarder{x: x, target: t.target, state: ts, conn: conn, firstEventEstimate: t.firstEvent}
	f.watch()
	defer f.unwatch()
	x.sendCount++
	x.retryCharged = false
	if err := x.writeRequest(conn, t.target); err != nil {
		x.mayHaveRun = true
		x.runCount++
		conn.Close()
		return f.brokenOutcome(err), f
	}
	return f.forwardAnswer(), f
}

// noteDialError notes that no connection could be opened. Where it was refused nothing listens any more; where nobody answered, the
// upstream may be dark, and other entries need not try it as well.
func (s *Relay) noteDialError(t *target, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.stateOf(t).connectionRefused = true
		return
	}
	if t.group != "" {
		s.suspectTarget(t, s.Now(), dialTimeout)
	}
}
