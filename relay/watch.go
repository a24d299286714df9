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

// follower follows the answer of one try.
type follower struct {
	x     *exchange
	t     *target
	state *targetState
	conn  *upstreamConn

	timer *time.Timer
	stop  func() bool
	// moved is set when the watch gave the upstream up, after it was silent for so long and so many suspected its group.
	moved      bool
	silent     time.Duration
	suspicions int
	ended      bool
	// waited is when the last sign came, or the request was sent.
	waited time.Time
	// estimate is the time to the first word of this try, 0 where there is none; running is set with its first event.
	estimate time.Duration
	running  bool
	// sent is when the request was sent, events how many came of this try, cut the error that ended it.
	sent   time.Time
	events int
	cut    error
	// status and notice are the status of the upstream's answer and what it asked for with it.
	status int
	notice backoff.Notice
}

// watch closes the connection when the caller leaves, the time is up, or the upstream is silent and another one is free.
func (f *follower) watch() {
	f.waited = f.x.s.Now()
	f.sent = f.waited
	f.stop = context.AfterFunc(f.x.r.Context(), f.interrupt)
	if err := f.conn.SetDeadline(time.Now().Add(f.x.left())); err != nil {
		f.interrupt()
	}
	if f.x.route.Repeatable() && f.x.runs+1 < f.x.route.Attempts {
		// The timer may fire before it is stored.
		f.x.s.mu.Lock()
		defer f.x.s.mu.Unlock()
		f.timer = time.AfterFunc(f.firstLook(), f.look)
		f.state.followers[f] = struct{}{}
	}
}

func (f *follower) unwatch() {
	f.stop()
	f.x.s.mu.Lock()
	defer f.x.s.mu.Unlock()
	f.ended = true
	delete(f.state.followers, f)
	if f.timer != nil {
		f.timer.Stop()
	}
}

func (f *follower) interrupt() {
	// A deadline in the past ends the read in progress; the connection is closed by the reader.
	_ = f.conn.SetDeadline(time.Unix(1, 0))
}

// limit is how long the upstream may be silent.
func (f *follower) limit() time.Duration {
	switch {
	case f.x.route.Kind != httproute.KindStream:
		return time.Duration(answerPart * float64(f.x.route.Aim))
	case f.x.events == 0:
		return firstEventLimit
	}
	return eventLimit
}

// firstLook is when the watch looks for the first time.
func (f *follower) firstLook() time.Duration {
	if due, ok := f.due(); ok {
		return max(0, min(f.limit(), due.Sub(f.waited)))
	}
	return f.limit()
}

// look gives the upstream up when it has been silent for too long, or its group stands still, and another one could take over.
func (f *follower) look() {
	s := f.x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.ended {
		return
	}
	now := s.Now()
	stands, again := f.suspects(now)
	rest := f.limit() - now.Sub(f.waited)
	if rest > 0 && (!stands || !s.gains(f, now)) {
		f.timer.Reset(min(rest, again))
		return
	}
	if rest <= 0 && !s.hasOther(f, now) {
		f.timer.Reset(lookAgain)
		return
	}
	f.moved = true
	f.silent, f.suspicions = now.Sub(f.waited), f.state.suspicions.Count(now)
	f.interrupt()
}

// hasOther reports whether the request is better off at another target, which is neither tried nor suspect; the mutex is held. A
// stream that has not begun leaves a group that still answers others only for one with room to spare: a long wait there is a long
// pass, and what was read of its prompt would be lost.
func (s *Relay) hasOther(f *follower, now time.Time) bool {
	patient := f.x.service.Engine != nil && f.x.events == 0 && !s.stands(f.state, now)
	return s.anyOther(f.x, now, func(c *scored) bool { return c.fits || !patient })
}

// gains reports whether a request whose group stands still is better off at another one now: if it can still be in time there, or
// there is room to spare. Where all groups are full, one that is late in any case waits until its group is replaced, so that it does
// not make others late. The mutex is held.
func (s *Relay) gains(f *follower, now time.Time) bool {
	x := f.x
	limit := x.limit
	if x.events > 0 {
		limit = x.lastAt.Add(x.route.GapAim - x.launch.usual)
	}
	return s.anyOther(x, now, func(c *scored) bool { return !now.Add(c.first).After(limit) || x.leaves(c.target, c.at) })
}

// anyOther reports whether a target that is neither tried, full nor suspect is good enough; the mutex is held.
func (s *Relay) anyOther(x *exchange, now time.Time, enough func(c *scored) bool) bool {
	list := s.fleet.targets(x.service, x.model)
	for i := range list {
		if x.wasTried(list[i].id) || !s.Backoff.Of(now, list[i].id).Admits() || !s.Limits.Of(now, list[i].id).Open() {
			continue
		}
		c := s.rate(x, &list[i], overload.Late, now)
		if c.score < suspectScore && c.load < 1 && enough(&c) {
			return true
		}
	}
	return false
}

// sign notes that the upstream sent something.
func (f *follower) sign() {
	s := f.x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	f.waited = s.Now()
	f.state.sign(f.waited)
}

// broken is the verdict on a connection that failed with err: it may have been ended from here.
func (f *follower) broken(err error) verdict {
	x := f.x
	if x.r.Context().Err() != nil {
		return verdictGone
	}
	x.s.mu.Lock()
	moved := f.moved
	x.s.mu.Unlock()
	switch {
	case moved:
		return verdictStalled
	case x.left() <= 0:
		return verdictExpired
	}
	f.cut = err
	return verdictBroken
}
