package relay

// A planned stop ends at a known time. Requests that may not end before it are
// refused on arrival, since another entry can serve them whole:
//
//	0            CallersMoved         End
//	| as long as | deadline before    | requests in progress
//	| its kind   | End                | are ended
//
// Requests in progress at the end are ended by the relay, so that callers without
// an answer get one that says whether the request may have run: closing their
// connections would tell them nothing.

import (
	"context"
	"time"

	"github.com/dunlinquay/dunlinquay/result"
)

// StopPlan is the course of a planned stop.
type StopPlan struct {
	// CallersMoved is the time after which new connections reach other entries. Later requests, on open connections, are served only if their
	// deadline is before the end.
	CallersMoved time.Duration
	// End is the time after which requests still in progress are ended.
	End time.Duration
}

// Stop begins a planned stop, during which each answer closes its connection.
func (s *Relay) Stop(plan StopPlan) {
	now := s.Now()
	s.stop.Store(&plannedStop{begun: now, callersMoved: now.Add(plan.CallersMoved), ends: now.Add(plan.End)})
	time.AfterFunc(plan.End, s.endRequests)
}

// plannedStop holds the times of a planned stop.
type plannedStop struct{ begun, callersMoved, ends time.Time }

// Stopping reports whether Stop was called.
func (s *Relay) Stopping() bool {
	return s.stop.Load() != nil
}

// StoppingFor returns the time since Stop, 0 before it.
func (s *Relay) StoppingFor() time.Duration {
	if stop := s.stop.Load(); stop != nil {
		return s.Now().Sub(stop.begun)
	}
	return 0
}

// requestsEnded reports whether requests in progress have been told to end.
func (s *Relay) requestsEnded() bool {
	return s.requestsCtx.Err() != nil
}

// latestEnd is when the request ends at the latest: at its deadline, or with a planned stop.
func (x *exchange) latestEnd() time.Time {
	if stop := x.s.stop.Load(); stop != nil && stop.ends.Before(x.deadline) {
		return stop.ends
	}
	return x.deadline
}

// timeLeft is the time until latestEnd.
func (x *exchange) timeLeft() time.Duration {
	if x.s.requestsEnded() {
		return 0
	}
	return x.latestEnd().Sub(x.s.Now())
}

// endedByStop reports whether a planned stop has ended the request before its deadline.
func (x *exchange) endedByStop() bool {
	return x.s.requestsEnded() || x.timeLeft() <= 0 && x.latestEnd().Before(x.deadline)
}

// waitContext returns a context for a wait of the request, which ends with the caller's connection, the deadline or a planned stop.
func (x *exchange) waitContext() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(x.r.Context(), x.timeLeft())
	stop := context.AfterFunc(x.s.requestsCtx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}

// stopError returns the error of a request that a planned stop has ended.
func (x *exchange) stopError() error {
	x.endReason = InterruptedStop
	return x.finalError(result.New(result.Stopping, "this entry stops"))
}

// checkStop returns why the request is refused during a planned stop: its answer may not end before the stop does, and another entry can
// serve it whole.
func (x *exchange) checkStop() error {
	stop := x.s.stop.Load()
	if stop == nil || !stop.ends.Before(x.deadline) {
		return nil
	}
	now := x.s.Now()
	longest, left := x.deadline.Sub(now), stop.ends.Sub(now)
	if now.Before(stop.callersMoved) {
		longest = min(longest, x.longestAnswer(longest))
	}
	if longest <= left {
		return nil
	}
	return result.New(result.Stopping, "this entry stops in %d ms, and the answer may take %d ms", left.Milliseconds(), longest.Milliseconds())
}
