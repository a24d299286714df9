package relay

// An upstream can limit the requests per second of all entries together (package
// ratelimit). Before sending a request to such an upstream, an entry requests a
// permit from the upstream's coordinator, one of the entries. This file connects
// the limiter to the relay: it sends permit requests and replies as entry updates,
// and notifies all entries when a limit is set, lowered or removed.

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/overload"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/result"
)

const (
	// coordinatorLapse is the age of the leader's newest confirmation from which an entry stops coordinating upstreams. It stops before the
	// leader drops it from the list of entries and another entry becomes coordinator.
	coordinatorLapse = 2500 * time.Millisecond
	// maxLimitRetryAfter bounds a Retry-After that is computed from limits.
	maxLimitRetryAfter = time.Minute
)

// LimitUpdate is an upstream's limit as sent to other entries. Rate is 0 if the upstream has no limit any more, AgeMS is how long ago the
// upstream advertised the limit.
type LimitUpdate struct {
	Rate  ratelimit.Rate `cbor:"1,keyasint"`
	AgeMS int64          `cbor:"2,keyasint,omitempty"`
}

// LimitObservation is what an entry knows of an upstream's limit.
type LimitObservation struct {
	Rate ratelimit.Rate
	// Own is set when the upstream advertised the limit to this entry; Said is how long ago it last did, Since how long ago it first did.
	Own   bool
	Said  time.Duration
	Since time.Duration
	// Apart is set when this entry cannot reach the upstream's coordinator and uses its local share of the limit.
	Apart bool
	ratelimit.Counts
}

// newLimiter returns the limiter of this entry.
func (s *Relay) newLimiter() *ratelimit.Limiter[ident.Incarnation] {
	s.coordinators = &ratelimit.Coordinators{
		Now:           func() time.Time { return s.Now() },
		MayCoordinate: func() bool { return s.ConfirmedAge() < coordinatorLapse },
	}
	l := ratelimit.NewLimiter[ident.Incarnation]()
	l.Now = func() time.Time { return s.Now() }
	l.Random = rand.Float64
	l.Coordinator = func(id ident.Incarnation) ratelimit.Coordinator { return s.coordinators.Of(string(id)) }
	l.Send = func(to string, q *ratelimit.PermitRequest[ident.Incarnation]) {
		s.SendUpdate(EntryUpdate{PermitRequest: q}, []string{to})
	}
	return l
}

func (n *EntryUpdate) isLimit() bool {
	return n.Limit != nil || n.PermitRequest != nil || n.PermitReply != nil
}

// receiveLimitUpdate handles an update about a limit, a permit request or a permit reply.
func (s *Relay) receiveLimitUpdate(update *EntryUpdate, from netip.AddrPort) {
	switch {
	case update.Limit != nil:
		s.ApplyLimit(update.Head, update.Limit.Rate, time.Duration(update.Limit.AgeMS)*time.Millisecond)
	case update.PermitReply != nil:
		s.Limits.HandleReply(update.PermitReply)
	default:
		address := from.String()
		if reply, ok := s.Limits.HandleRequest(update.PermitRequest, address); ok {
			s.SendUpdate(EntryUpdate{PermitReply: reply}, []string{address})
		}
	}
}

// ApplyLimit merges an upstream's limit that another process saw at that age; a rate of 0 means that the limit was removed.
func (s *Relay) ApplyLimit(id ident.Incarnation, rate ratelimit.Rate, age time.Duration) {
	s.Limits.Table.Merge(id, rate, s.Now().Add(-max(0, age)))
}

// publishLimit notifies all entries of a limit that is new, lower or removed. They receive a higher limit with the next permit reply.
func (f *forwarder) publishLimit(rate ratelimit.Rate) {
	f.x.s.SendUpdate(EntryUpdate{Head: f.target.id, Limit: &LimitUpdate{Rate: rate}}, nil)
}

// limitObservation returns what this entry knows of an upstream's limit, nil if there is none.
func (s *Relay) limitObservation(id ident.Incarnation, now time.Time) *LimitObservation {
	limit := s.Limits.Table.Effective(id)
	if !limit.Limited() {
		return nil
	}
	counts, localShare := s.Limits.Stats(id)
	return &LimitObservation{Rate: limit.Rate, Own: limit.Direct, Said: now.Sub(limit.LastSeen), Since: now.Sub(limit.Since), Apart: localShare, Counts: counts}
}

// acquirePermit requests a permit for the target, waits until the permit is valid, and counts the request at the target. Targets without a
// limit grant it at once; a target may have got a limit since it was chosen.
func (x *exchange) acquirePermit(t *choice) ratelimit.Permit {
	s := x.s
	p := s.Limits.Acquire(x.r.Context(), t.id, max(t.maxPermitWait, ratelimit.MaxWaitWithAlternatives))
	if p.OK && p.After > 0 {
		sleepContext(x.r.Context(), p.After)
		p.OK = s.permitStillValid(t.id, p)
	} else if !p.OK && t.mustWait {
		x.noteNoPermit(t.id)
	}
	if !p.OK {
		x.permitDenials++
		return p
	}
	if !x.countedAtTarget {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.countAtTarget(x, t)
	}
	return p
}

// permitStillValid reports whether a permit that was waited for can be used: not if the limit was lowered meanwhile.
func (s *Relay) permitStillValid(id ident.Incarnation, p ratelimit.Permit) bool {
	limit := s.Limits.Table.Effective(id)
	return !limit.Limited() || limit.Rate >= p.Rate
}

func (x *exchange) noteNoPermit(id ident.Incarnation) {
	if x.noPermitAt == nil {
		x.noPermitAt = map[ident.Incarnation]bool{}
	}
	x.noPermitAt[id] = true
}

// chooseUntil is choose for a request that must be sent by a time. If the request must wait for a permit, it waits at most until then; if
// no permit is due by then, the result is an error. The mutex is held.
func (s *Relay) chooseUntil(x *exchange, rank overload.Rank, until, now time.Time) (choice, error) {
	t, err := s.choose(x, rank, now)
	if err != nil || !t.mustWait {
		return t, err
	}
	t.maxPermitWait = until.Sub(now)
	if t.maxPermitWait <= max(t.availableIn, ratelimit.MaxWaitWithAlternatives) {
		t.mustWait = false
		return t, result.New(result.Limited, "no upstream has a permit in time; the first is available in %v", t.availableIn)
	}
	return t, nil
}

// retryDelay returns the minimum Retry-After for a refused request, 0 if unknown; the mutex is held.
func (s *Relay) retryDelay(x *exchange, now time.Time, t *choice, err error) time.Duration {
	if result.CodeOf(err) == result.Limited {
		return s.nextLimitRetry(x.queueKey(), now, t)
	}
	return t.availableIn
}

// sleepContext sleeps for d or until ctx is cancelled.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// limitAppeared reports whether the target got a limit after the permit was acquired.
func (x *exchange) limitAppeared(t *choice, p ratelimit.Permit) bool {
	return !p.Limited && x.s.Limits.Table.Effective(t.id).Limited()
}

// nextLimitRetry returns the Retry-After for a request refused because of limits. Successive callers get successive times, spaced by the
// expected rate. The mutex is held.
func (s *Relay) nextLimitRetry(key queueKey, now time.Time, t *choice) time.Duration {
	retryAt := laterOf(now.Add(t.availableIn), s.limitRetryTimes[key])
	delay := min(maxLimitRetryAfter, retryAt.Sub(now))
	s.limitRetryTimes[key] = now.Add(delay)
	if t.expectedRate > 0 {
		s.limitRetryTimes[key] = now.Add(min(maxLimitRetryAfter, delay+t.expectedRate.Interval()))
	}
	return delay
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
