package relay

// An upstream may take so many requests a second from all entries together
// (package ratelimit). Before a request goes to it, the entry that coordinates
// the upstream is asked; this file says which one that is, carries questions and
// answers as news, and tells all entries when a limit begins and ends.

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
	// coordinatorLapse is how old the leader's newest confirmation may be until an entry takes no part of an upstream's limit for granted: by
	// the time the leader has dropped it from the list, and another one coordinates the upstream, it has stopped.
	coordinatorLapse = 2500 * time.Millisecond
	// maxLimitRetryAfter bounds the time to come back that is worked out from limits.
	maxLimitRetryAfter = time.Minute
)

// LimitUpdate tells of an upstream's limit, 0 when it has none any more, and how long ago it said so, in ms.
type LimitUpdate struct {
	Rate  ratelimit.Rate `cbor:"1,keyasint"`
	AgeMS int64          `cbor:"2,keyasint,omitempty"`
}

// LimitObservation is what an entry knows of an upstream's limit.
type LimitObservation struct {
	Rate ratelimit.Rate
	// Own is set when the upstream said so to this entry; Said is how long ago it last did, Since how long ago it first did.
	Own   bool
	Said  time.Duration
	Since time.Duration
	// Apart is set when this entry can't reach the one that coordinates the upstream, and goes by its own part of the limit.
	Apart bool
	ratelimit.Counts
}

// newLimiter returns the limiter of this entry.
func (s *Relay) newLimiter() *ratelimit.Limiter[ident.Incarnation] {
	s.coordinators = &ratelimit.Coordinators{Now: func() time.Time { return s.Now() }, MayCoordinate: func() bool { return s.ConfirmedAge() < coordinatorLapse }}
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

// receiveLimitUpdate takes news of limits.
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

// ApplyLimit takes what others know of an upstream's limit, 0 for none any more, and how long ago it said so.
func (s *Relay) ApplyLimit(id ident.Incarnation, rate ratelimit.Rate, age time.Duration) {
	s.Limits.Table.Merge(id, rate, s.Now().Add(-max(0, age)))
}

// publishLimit tells all entries that a limit has begun, or ended. How it changes they hear with the answers to their questions.
func (f *forwarder) publishLimit(rate ratelimit.Rate) {
	f.x.s.SendUpdate(EntryUpdate{Head: f.target.id, Limit: &LimitUpdate{Rate: rate}}, nil)
}

// limitObservation returns what is known of an upstream's limit.
func (s *Relay) limitObservation(id ident.Incarnation, now time.Time) *LimitObservation {
	limit := s.Limits.Table.Effective(id)
	if !limit.Limited() {
		return nil
	}
	counts, localShare := s.Limits.Stats(id)
	return &LimitObservation{Rate: limit.Rate, Own: limit.Direct, Said: now.Sub(limit.LastSeen), Since: now.Sub(limit.Since), Apart: localShare, Counts: counts}
}

// acquirePermit asks for a request within the limit of the target, waits for its turn, and counts it there; what was chosen may have a limit by
// now that it had not when it was chosen.
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

// permitStillValid reports whether a turn that was waited for still counts: not where the limit has fallen meanwhile.
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

// chooseUntil is choose for a request that is worth sending until a time: where it has to wait for its turn at an upstream with a limit, it
// waits as long as that, or not at all. The mutex is held.
func (s *Relay) chooseUntil(x *exchange, rank overload.Rank, until, now time.Time) (choice, error) {
	t, err := s.choose(x, rank, now)
	if err != nil || !t.mustWait {
		return t, err
	}
	t.maxPermitWait = until.Sub(now)
	if t.maxPermitWait <= max(t.availableIn, ratelimit.MaxWaitWithAlternatives) {
		t.mustWait = false
		return t, result.New(result.Limited, "no upstream takes it within its limit in time, the first one takes another in %v", t.availableIn)
	}
	return t, nil
}

// retryDelay returns when the caller of a request that is refused shall come back, 0 when that is not known; the mutex is held.
func (s *Relay) retryDelay(x *exchange, now time.Time, t *choice, err error) time.Duration {
	if result.CodeOf(err) == result.Limited {
		return s.nextLimitRetry(x.queueKey(), now, t)
	}
	return t.availableIn
}

// sleepContext waits for d, or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// limitAppeared reports whether the target has come to have a limit that the request was not counted against.
func (x *exchange) limitAppeared(t *choice, p ratelimit.Permit) bool {
	return !p.Limited && x.s.Limits.Table.Effective(t.id).Limited()
}

// nextLimitRetry returns when a caller shall come back for what upstreams take within their limits: after those that were told to come back
// before it. The mutex is held.
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
