package relay

// A try is watched from the moment it is sent: the caller may leave, its time
// may be up, and the upstream may go silent. A request that may be repeated is
// then taken to another upstream, if one has room. Of a group of engines it is
// known when its next sign is due (suspect.go); where it is not, and where only
// this one connection is silent, fixed limits hold.

import (
	"context"
	"time"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/overload"
)

// forwarder follows the answer of one try.
type forwarder struct {
	x      *exchange
	target *target
	state  *targetState
	conn   *upstreamConn

	timer           *time.Timer
	stopCallerWatch func() bool
	// abandoned is set when the watch gave the upstream up, after it was silent for so long and so many suspected its group.
	abandoned      bool
	silentFor      time.Duration
	suspicionCount int
	ended          bool
	// waitingSince is when the last sign came, or the request was sent.
	waitingSince time.Time
	// firstEventEstimate is the time to the first word of this try, 0 where there is none; running is set with its first event.
	firstEventEstimate time.Duration
	streaming          bool
	// sentAt is when the request was sent, events how many came of this try, cut the error that ended it.
	sentAt     time.Time
	eventCount int
	cutErr     error
	// status and notice are the status of the upstream's answer and what it asked for with it.
	status int
	notice backoff.Notice
}

// watch closes the connection when the caller leaves, the time is up, or the upstream is silent and another one is free.
func (f *forwarder) watch() {
	f.waitingSince = f.x.s.Now()
	f.sentAt = f.waitingSince
	f.stopCallerWatch = context.AfterFunc(f.x.r.Context(), f.interrupt)
	if err := f.conn.SetDeadline(time.Now().Add(f.x.timeLeft())); err != nil {
		f.interrupt()
	}
	if f.x.route.Repeatable() && f.x.runCount+1 < f.x.route.Attempts {
		// The timer may fire before it is stored.
		f.x.s.mu.Lock()
		defer f.x.s.mu.Unlock()
		f.timer = time.AfterFunc(f.firstCheckDelay(), f.checkProgress)
		f.state.forwarders[f] = struct{}{}
	}
}

func (f *forwarder) unwatch() {
	f.stopCallerWatch()
	f.x.s.mu.Lock()
	defer f.x.s.mu.Unlock()
	f.ended = true
	delete(f.state.forwarders, f)
	if f.timer != nil {
		f.timer.Stop()
	}
}

func (f *forwarder) interrupt() {
	// A deadline in the past ends the read in progress; the connection is closed by the reader.
	_ = f.conn.SetDeadline(time.Unix(1, 0))
}

// maxSilence is how long the upstream may be silent.
func (f *forwarder) maxSilence() time.Duration {
	switch {
	case f.x.route.Kind != httproute.KindStream:
		return time.Duration(answerAimFraction * float64(f.x.route.Aim))
	case f.x.eventCount == 0:
		return firstEventTimeout
	}
	return eventGapTimeout
}

// firstCheckDelay is when the watch looks for the first time.
func (f *forwarder) firstCheckDelay() time.Duration {
	if due, ok := f.progressDue(); ok {
		return max(0, min(f.maxSilence(), due.Sub(f.waitingSince)))
	}
	return f.maxSilence()
}

// checkProgress gives the upstream up when it has been silent for too long, or its group stands still, and another one could take over.
func (f *forwarder) checkProgress() {
	s := f.x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.ended {
		return
	}
	now := s.Now()
	stalled, recheckIn := f.checkSuspicion(now)
	remaining := f.maxSilence() - now.Sub(f.waitingSince)
	if remaining > 0 && (!stalled || !s.gainsByMoving(f, now)) {
		f.timer.Reset(min(remaining, recheckIn))
		return
	}
	if remaining <= 0 && !s.hasAlternative(f, now) {
		f.timer.Reset(recheckInterval)
		return
	}
	f.abandoned = true
	f.silentFor, f.suspicionCount = now.Sub(f.waitingSince), f.state.suspicions.Count(now)
	f.interrupt()
}

// hasAlternative reports whether the request is better off at another target, which is neither tried nor suspect; the mutex is held. A
// stream that has not begun leaves a group that still answers others only for one with room to spare: a long wait there is a long
// pass, and what was read of its prompt would be lost.
func (s *Relay) hasAlternative(f *forwarder, now time.Time) bool {
	needsCapacity := f.x.service.Engine != nil && f.x.eventCount == 0 && !s.unresponsive(f.state, now)
	return s.anyAlternative(f.x, now, func(c *candidate) bool { return c.hasCapacity || !needsCapacity })
}

// gainsByMoving reports whether a request whose group stands still is better off at another one now: if it can still be in time there, or
// there is room to spare. Where all groups are full, one that is late in any case waits until its group is replaced, so that it does
// not make others late. The mutex is held.
func (s *Relay) gainsByMoving(f *forwarder, now time.Time) bool {
	x := f.x
	deadline := x.aimDeadline
	if x.eventCount > 0 {
		deadline = x.lastEventAt.Add(x.route.GapAim - x.dispatchDelay.mean)
	}
	return s.anyAlternative(x, now, func(c *candidate) bool {
		return !now.Add(c.firstEvent).After(deadline) || x.leavesCapacity(c.target, c.knownLoad)
	})
}

// anyAlternative reports whether a target that is neither tried, full nor suspect is good enough; the mutex is held.
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

// noteProgress notes that the upstream sent something.
func (f *forwarder) noteProgress() {
	s := f.x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	f.waitingSince = s.Now()
	f.state.noteProgress(f.waitingSince)
}

// brokenOutcome is the verdict on a connection that failed with err: it may have been ended from here.
func (f *forwarder) brokenOutcome(err error) attemptOutcome {
	x := f.x
	if x.r.Context().Err() != nil {
		return outcomeCallerGone
	}
	x.s.mu.Lock()
	abandoned := f.abandoned
	x.s.mu.Unlock()
	switch {
	case abandoned:
		return outcomeStalled
	case x.timeLeft() <= 0:
		return outcomeExpired
	}
	f.cutErr = err
	return outcomeBroken
}
