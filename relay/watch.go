package relay

// An attempt is watched from the moment when the request is sent: the caller may
// disconnect, the deadline may pass, and the upstream may become silent. If the
// upstream is silent, a repeatable request moves to another upstream with
// capacity (hedge.go). For a group of engines the time of the next progress is
// estimated (suspect.go). Where there is no estimate, or only this one connection
// is silent, fixed time-outs apply.

import (
	"time"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/overload"
)

// forwarder watches one attempt and forwards the upstream's answer to the caller.
type forwarder struct {
	x      *exchange
	target *target
	state  *targetState
	conn   *upstreamConn

	timer       *time.Timer
	callerWatch *callerWatch
	// first is the attempt beside which this one is a hedge, nil if it is none.
	first *forwarder
	// mayHaveRun is set once the upstream may have worked on the request.
	mayHaveRun bool
	// moveRequested is set while the request is to move to another target because the upstream is silent. silentFor is for how long,
	// suspicionCount how many entries suspected the group then. moveDenied is set once no move is possible any more, abandoned when the
	// request has moved.
	moveRequested, moveDenied bool
	abandoned                 bool
	silentFor                 time.Duration
	suspicionCount            int
	ended                     bool
	// waitingSince is when the attempt last made progress, or when the request was sent.
	waitingSince time.Time
	// firstEventEstimate is the estimated time to the first event, 0 where there is none; streaming is set with the first event.
	firstEventEstimate time.Duration
	streaming          bool
	// eventCount is the number of events in this attempt, cutErr the error that ended it.
	sentAt     time.Time
	eventCount int
	cutErr     error
	// status and notice are the status of the upstream's answer and the backpressure signals in it.
	status int
	notice backoff.Notice
}

// watch ends the attempt when the caller disconnects or the deadline passes, and requests a move when the upstream is silent and another one
// is available.
func (f *forwarder) watch() {
	f.waitingSince = f.x.s.Now()
	f.sentAt = f.waitingSince
	f.callerWatch = f.x.watchCaller(f.conn)
	f.x.boundConn(f.conn, f.x.timeLeft())
	if f.x.route.Repeatable() && f.x.runCount+1 < f.x.maxRuns() {
		// The timer may fire before it is stored.
		f.x.s.mu.Lock()
		defer f.x.s.mu.Unlock()
		f.timer = time.AfterFunc(f.firstCheckDelay(), f.checkProgress)
		if f.first == nil {
			f.conn.onInterrupt = f.continueInterrupted
		}
		f.state.forwarders[f] = struct{}{}
	}
}

// unwatch ends the watch; it can be called again.
func (f *forwarder) unwatch() {
	f.x.s.mu.Lock()
	defer f.x.s.mu.Unlock()
	if f.ended {
		// The connection may carry another request by now.
		return
	}
	f.callerWatch.end()
	f.conn.onInterrupt = nil
	f.ended = true
	delete(f.state.forwarders, f)
	if f.timer != nil {
		f.timer.Stop()
	}
}

// maxSilence is the fixed time-out for an upstream without progress.
func (f *forwarder) maxSilence() time.Duration {
	switch {
	case f.x.route.Kind != httproute.KindStream:
		return time.Duration(answerAimFraction * float64(f.x.route.Aim))
	case f.x.eventCount == 0:
		return firstEventTimeout
	}
	return eventGapTimeout
}

// firstCheckDelay is the time until the first checkProgress.
func (f *forwarder) firstCheckDelay() time.Duration {
	if due, ok := f.progressDue(); ok {
		return max(0, min(f.maxSilence(), due.Sub(f.waitingSince)))
	}
	return f.maxSilence()
}

// checkProgress requests a move if the upstream has been silent for too long, or its group is stalled, and another target is better.
func (f *forwarder) checkProgress() {
	s := f.x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.ended || f.moveRequested || f.moveDenied {
		return
	}
	now := s.Now()
	stalled, recheckIn := f.checkSuspicion(now)
	remaining := f.maxSilence() - now.Sub(f.waitingSince)
	if remaining <= 0 {
		s.checkPath(f.target, now)
	}
	if remaining > 0 && (!stalled || !s.gainsByMoving(f, now)) {
		f.timer.Reset(min(remaining, recheckIn))
		return
	}
	if remaining <= 0 && !s.hasAlternative(f, now) {
		f.timer.Reset(recheckInterval)
		return
	}
	f.moveRequested = true
	f.silentFor, f.suspicionCount = now.Sub(f.waitingSince), f.state.suspicions.Count(now)
	f.wake()
}

// wake makes the goroutine of the request call continueInterrupted; the mutex is held.
func (f *forwarder) wake() {
	if f.first != nil {
		f.first.callerWatch.interrupt()
		return
	}
	f.callerWatch.interrupt()
}

// wantsMove reports whether a move was requested.
func (f *forwarder) wantsMove() bool {
	f.x.s.mu.Lock()
	defer f.x.s.mu.Unlock()
	return f.moveRequested
}

// endMove ends the request of a move that did not succeed; another one may follow unless denied is set.
func (f *forwarder) endMove(denied bool) {
	f.x.s.mu.Lock()
	defer f.x.s.mu.Unlock()
	f.moveRequested, f.moveDenied = false, denied
	if !f.ended && !denied {
		f.timer.Reset(recheckInterval)
	}
}

// abandon ends the attempt in favour of another one.
func (f *forwarder) abandon() {
	f.x.s.mu.Lock()
	defer f.x.s.mu.Unlock()
	f.abandoned = true
}

func (f *forwarder) isAbandoned() bool {
	f.x.s.mu.Lock()
	defer f.x.s.mu.Unlock()
	return f.abandoned
}

// hasAlternative reports whether the request should move to another target; the mutex is held. A stream without events leaves a group that
// still answers other requests only for a group with spare capacity: a long wait there is a long iteration, and the prefill done so far
// would be lost.
func (s *Relay) hasAlternative(f *forwarder, now time.Time) bool {
	if s.isForwardedNext(f.x) {
		return true
	}
	needsCapacity := s.moveNeedsCapacity(f, now)
	return s.anyAlternative(f.x, now, func(c *candidate) bool { return c.hasCapacity || !needsCapacity })
}

// moveNeedsCapacity reports whether the request should move only to a target with spare capacity; the mutex is held.
func (s *Relay) moveNeedsCapacity(f *forwarder, now time.Time) bool {
	return f.x.service.Engine != nil && f.x.eventCount == 0 && !s.unresponsive(f.state, now)
}

// isForwardedNext reports whether a further attempt would be made through another entry, since this one reaches no upstream; the mutex is
// held.
func (s *Relay) isForwardedNext(x *exchange) bool {
	return s.reach.anyUnreachable && x.mayForward() && s.pathsFor(x).reach() == ReachNone
}

// gainsByMoving reports whether a request at a stalled group should move now: if it can be in time at another group, or another group has
// spare capacity. When all groups are full, a request that is late anyway waits until its group is replaced, so that it does not make
// others late. The mutex is held.
func (s *Relay) gainsByMoving(f *forwarder, now time.Time) bool {
	x := f.x
	if s.isForwardedNext(x) {
		return true
	}
	deadline := x.aimDeadline
	if x.eventCount > 0 {
		deadline = x.lastEventAt.Add(x.route.GapAim - x.dispatchDelay.mean)
	}
	return s.anyAlternative(x, now, func(c *candidate) bool {
		return !now.Add(c.firstEvent).After(deadline) || x.leavesCapacity(c.target, c.knownLoad)
	})
}

// anyAlternative reports whether a target that is neither attempted, full nor suspect is acceptable; the mutex is held.
func (s *Relay) anyAlternative(x *exchange, now time.Time, acceptable func(c *candidate) bool) bool {
	targets := s.index.targets(x.service, x.model)
	for i := range targets {
		if x.wasAttempted(targets[i].id) || !s.Backoff.StateOf(now, targets[i].id).Admits() || !s.Limits.Availability(now, targets[i].id).Available() {
			continue
		}
		c := s.scoreTarget(x, &targets[i], overload.Late, now)
		if c.score < suspectPenalty && c.utilization < 1 && acceptable(&c) {
			return true
		}
	}
	return false
}

// noteProgress records that the upstream sent an answer or an event.
func (f *forwarder) noteProgress() {
	s := f.x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	f.waitingSince = s.Now()
	f.state.noteProgress(f.waitingSince)
	s.noteContact(f.target.service, f.waitingSince)
}

// brokenOutcome returns the outcome of an attempt whose connection failed with err, which may have been ended by this entry.
func (f *forwarder) brokenOutcome(err error) attemptOutcome {
	x := f.x
	if x.r.Context().Err() != nil {
		return outcomeCallerGone
	}
	switch {
	case f.isAbandoned():
		return outcomeStalled
	case x.timeLeft() <= 0:
		return outcomeExpired
	}
	f.cutErr = err
	return outcomeBroken
}
