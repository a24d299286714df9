package relay

// A planned stop ends at a known time. Until then requests are served as before.
// Those that are still in progress at the end are ended by the relay, so that
// callers without an answer get one that says whether the request may have run:
// closing their connections would tell them nothing.

import (
	"context"
	"time"

	"github.com/dunlinquay/dunlinquay/result"
)

// Stop begins a planned stop: answers close their connections, and requests that are still in progress after within are ended.
func (s *Relay) Stop(within time.Duration) {
	now := s.Now()
	s.stop.Store(&plannedStop{begun: now, ends: now.Add(within)})
	time.AfterFunc(within, s.endRequests)
}

// plannedStop is when a planned stop has begun and when requests are ended.
type plannedStop struct{ begun, ends time.Time }

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
