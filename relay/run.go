package relay

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/dunlinquay/dunlinquay/result"
)

// verdict is what one try came to.
type verdict string

const (
	// verdictDone means that the caller has its whole answer.
	verdictDone verdict = "done"
	// verdictNeverSent means that no byte left.
	verdictNeverSent verdict = "never-sent"
	// verdictNotRun means that the upstream said it did not run the request.
	verdictNotRun verdict = "not-run"
	// verdictFailed means that the upstream answered with a failure of its own.
	verdictFailed verdict = "failed"
	// verdictBroken means that the upstream may have run the request and its answer is lost or cannot be used.
	verdictBroken verdict = "broken"
	// verdictStalled is the same for an upstream that went silent.
	verdictStalled verdict = "stalled"
	// verdictExpired means that the time is up.
	verdictExpired verdict = "expired"
	// verdictHeld means that the request was not sent, because its work is held.
	verdictHeld verdict = "held"
	// verdictPassedOver means that it was not sent, because the upstream has come to want nothing since it was chosen.
	verdictPassedOver verdict = "passed-over"
	// verdictNothingToHave means that it was not sent, because the upstream takes nothing more within its limit now.
	verdictNothingToHave verdict = "nothing-to-have"
	// verdictGone means that the caller has left.
	verdictGone verdict = "caller-gone"
)

// run sends the request to one upstream after another until it has an answer or may not be sent again.
func (x *exchange) run() error {
	x.takeTurn()
	for {
		if x.left() <= 0 {
			return x.expired()
		}
		// Work under which upstreams ended, at whichever entries, goes to no other one: without this a request that comes again and
		// again ends one after the other.
		if err := x.held(); err != nil {
			return err
		}
		t, err := x.place()
		if err != nil {
			return x.noneLeft(err)
		}
		if x.arrivals > 0 && !x.repeatPaid && !x.s.Budget.Repeat(x.service.Name) {
			x.putBack(&t)
			return x.noneLeft(result.New(result.Overloaded, "the budget for repeats is used up"))
		}
		x.repeatPaid = x.arrivals > 0
		v := x.attempt(&t)
		switch v {
		case verdictDone:
			return nil
		case verdictGone:
			return result.New(result.Cancelled, "the caller has left")
		case verdictExpired:
			return x.expired()
		case verdictHeld:
			continue
		case verdictPassedOver:
			delete(x.tried, t.id)
			continue
		}
		if !x.mayTryAgain(v) {
			return x.noneLeft(result.New(result.UpstreamFailed, "the last try: %s", v))
		}
	}
}

// mayTryAgain reports whether the route allows another try after v.
func (x *exchange) mayTryAgain(v verdict) bool {
	switch v {
	case verdictNeverSent:
		return true
	case verdictNotRun:
		return x.arrivals < maxArrivals
	}
	return x.route.Repeatable() && x.runs < x.route.Attempts && x.arrivals < maxArrivals
}

// expired is the end of a request whose time is up.
func (x *exchange) expired() error {
	if x.mayHaveRun {
		return result.New(result.TimedOut, "no whole answer in time")
	}
	return result.New(result.DeadlineUnreachable, "no upstream took the request in time")
}

// noneLeft is the end of a request that no upstream is left for; only one that certainly did not run is called so.
func (x *exchange) noneLeft(err error) error {
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
func (x *exchange) attempt(t *choice) verdict {
	x.tried[t.id] = true
	at := x.s.Now().Sub(x.began)
	if len(x.tries) == 0 && t.first > 0 {
		x.expected = at + t.first
	}
	x.tries = append(x.tries, Try{
		To: t.id, Group: t.group, AtMS: at.Milliseconds(), FirstMS: t.first.Milliseconds(), Unread: t.at.Unread, Requests: t.at.Requests,
		PassedOver: x.passedOver,
	})
	v, f := x.send(t)
	if v == verdictNothingToHave {
		// Nothing was meant for it after all.
		x.putBack(t)
		x.tries = x.tries[:len(x.tries)-1]
		return verdictPassedOver
	}
	x.counted = false
	x.endTrial(t.id, false)
	x.read(t.state)
	x.s.leave(x.s.Now(), t.state, v)
	try := &x.tries[len(x.tries)-1]
	try.Result = string(v)
	try.note(f, x.s.Now())
	x.concluded(t.target, f, v)
	return v
}

// read notes that the prompt was read, or that the try has ended.
func (x *exchange) read(ts *targetState) {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	x.readAt(ts)
}

// readAt is read for callers that hold the mutex.
func (x *exchange) readAt(ts *targetState) {
	ts.unread -= x.unread
	x.unread = 0
}

func (s *Relay) leave(now time.Time, ts *targetState, v verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ts.end()
	switch v {
	case verdictDone:
		ts.outcome(now, true)
	case verdictFailed:
		ts.outcome(now, false)
	case verdictBroken, verdictNeverSent:
		ts.outcome(now, false)
		ts.fail(now)
	case verdictStalled:
		ts.outcome(now, false)
		ts.fail(now)
		ts.stalled = now
	}
}

func (x *exchange) send(t *choice) (verdict, *follower) {
	ts := t.state
	// An upstream that has named its limit takes that from all entries together, of which each sees only its own requests: what is to be
	// sent is let go by one of them for all.
	permit := x.permit(t)
	if !permit.OK {
		return verdictNothingToHave, nil
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), min(dialTimeout, x.left()))
	conn, err := x.s.pool.get(ctx, t.address, !x.route.Repeatable())
	cancel()
	if err != nil {
		if x.r.Context().Err() != nil {
			return verdictGone, nil
		}
		x.s.noteDial(t.target, err)
		x.displaced = true
		return verdictNeverSent, nil
	}
	// Keys may have lapsed while this process stood still; nothing goes out on old ones.
	if x.customer != nil && x.s.ConfirmedAge() > x.s.KeysLapse {
		conn.Close()
		return verdictNeverSent, nil
	}
	// The upstream may have asked for time or named a limit, or its hall may have been drained, while the connection was opened.
	if x.s.Backoff.Of(x.s.Now(), t.id).Left > 0 || x.limitBegan(t, permit) || x.s.isDrained(t.hall) {
		conn.Close()
		return verdictPassedOver, nil
	}
	if err := x.begin(); err != nil {
		conn.Close()
		return verdictHeld, nil
	}
	f := &follower{x: x, t: t.target, state: ts, conn: conn, estimate: t.first}
	f.watch()
	defer f.unwatch()
	x.arrivals++
	x.repeatPaid = false
	if err := x.writeRequest(conn, t.target); err != nil {
		x.mayHaveRun = true
		x.runs++
		conn.Close()
		return f.broken(err), f
	}
	return f.follow(), f
}

// noteDial notes that no connection could be opened. Where it was refused nothing listens any more; where nobody answered, the
// upstream may be dark, and other entries need not try it as well.
func (s *Relay) noteDial(t *target, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if errors.Is(err, syscall.ECONNREFUSED) {
		s.stateOf(t).refused = true
		return
	}
	if t.group != "" {
		s.suspect(t, s.Now(), dialTimeout)
	}
}
