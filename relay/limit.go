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
	// seatLapse is how old the leader's newest confirmation may be until an entry takes no part of an upstream's limit for granted: by
	// the time the leader has dropped it from the list, and another one coordinates the upstream, it has stopped.
	seatLapse = 2500 * time.Millisecond
	// promiseMost bounds the time to come back that is worked out from limits.
	promiseMost = time.Minute
)

// LimitNews tells of an upstream's limit, 0 when it has none any more, and how long ago it said so, in ms.
type LimitNews struct {
	Rate  ratelimit.Rate `cbor:"1,keyasint"`
	AgeMS int64          `cbor:"2,keyasint,omitempty"`
}

// LimitSeen is what an entry knows of an upstream's limit.
type LimitSeen struct {
	Rate ratelimit.Rate
	// Own is set when the upstream said so to this entry; Said is how long ago it last did, Since how long ago it first did.
	Own   bool
	Said  time.Duration
	Since time.Duration
	// Apart is set when this entry can't reach the one that coordinates the upstream, and goes by its own part of the limit.
	Apart bool
	ratelimit.Counts
}

// newLimits returns the limiter of this entry.
func (s *Relay) newLimits() *ratelimit.Limiter[ident.Incarnation] {
	s.seats = &ratelimit.Seats{Now: func() time.Time { return s.Now() }, Fresh: func() bool { return s.ConfirmedAge() < seatLapse }}
	l := ratelimit.NewLimiter[ident.Incarnation]()
	l.Now = func() time.Time { return s.Now() }
	l.Draw = rand.Float64
	l.Seat = func(id ident.Incarnation) ratelimit.Seat { return s.seats.Of(string(id)) }
	l.Ask = func(to string, q *ratelimit.Question[ident.Incarnation]) { s.Tell(News{Question: q}, []string{to}) }
	return l
}

func (n *News) ofLimit() bool {
	return n.Limit != nil || n.Question != nil || n.Answer != nil
}

// hearOfLimit takes news of limits.
func (s *Relay) hearOfLimit(n *News, from netip.AddrPort) {
	switch {
	case n.Limit != nil:
		s.HearLimit(n.Head, n.Limit.Rate, time.Duration(n.Limit.AgeMS)*time.Millisecond)
	case n.Answer != nil:
		s.Limits.Answered(n.Answer)
	default:
		name := from.String()
		if a, ok := s.Limits.Asked(n.Question, name); ok {
			s.Tell(News{Answer: a}, []string{name})
		}
	}
}

// HearLimit takes what others know of an upstream's limit, 0 for none any more, and how long ago it said so.
func (s *Relay) HearLimit(id ident.Incarnation, rate ratelimit.Rate, age time.Duration) {
	s.Limits.Words.Hear(id, rate, s.Now().Add(-max(0, age)))
}

// tellLimit tells all entries that a limit has begun, or ended. How it changes they hear with the answers to their questions.
func (f *follower) tellLimit(rate ratelimit.Rate) {
	f.x.s.Tell(News{Head: f.t.id, Limit: &LimitNews{Rate: rate}}, nil)
}

// limitSeen returns what is known of an upstream's limit.
func (s *Relay) limitSeen(id ident.Incarnation, now time.Time) *LimitSeen {
	w := s.Limits.Words.Of(id)
	if !w.Limited() {
		return nil
	}
	counts, apart := s.Limits.Look(id)
	return &LimitSeen{Rate: w.Rate, Own: w.Own, Said: now.Sub(w.At), Since: now.Sub(w.Since), Apart: apart, Counts: counts}
}

// permit asks for a request within the limit of the target, waits for its turn, and counts it there; what was chosen may have a limit by
// now that it had not when it was chosen.
func (x *exchange) permit(t *choice) ratelimit.Permit {
	s := x.s
	p := s.Limits.Take(x.r.Context(), t.id, max(t.patience, ratelimit.Patience))
	if p.OK && p.After > 0 {
		wait(x.r.Context(), p.After)
		p.OK = s.keeps(t.id, p)
	} else if !p.OK && t.waits {
		x.noTurnAt(t.id)
	}
	if !p.OK {
		x.limitWaits++
		return p
	}
	if !x.counted {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.count(x, t)
	}
	return p
}

// keeps reports whether a turn that was waited for still counts: not where the limit has fallen meanwhile.
func (s *Relay) keeps(id ident.Incarnation, p ratelimit.Permit) bool {
	w := s.Limits.Words.Of(id)
	return !w.Limited() || w.Rate >= p.Rate
}

func (x *exchange) noTurnAt(id ident.Incarnation) {
	if x.noTurn == nil {
		x.noTurn = map[ident.Incarnation]bool{}
	}
	x.noTurn[id] = true
}

// chooseFor is choose for a request that is worth sending until a time: where it has to wait for its turn at an upstream with a limit, it
// waits as long as that, or not at all. The mutex is held.
func (s *Relay) chooseFor(x *exchange, rank overload.Rank, until, now time.Time) (choice, error) {
	t, err := s.choose(x, rank, now)
	if err != nil || !t.waits {
		return t, err
	}
	t.patience = until.Sub(now)
	if t.patience <= max(t.free, ratelimit.Patience) {
		t.waits = false
		return t, result.New(result.Limited, "no upstream takes it within its limit in time, the first one takes another in %v", t.free)
	}
	return t, nil
}

// comeBackAt returns when the caller of a request that is refused shall come back, 0 when that is not known; the mutex is held.
func (s *Relay) comeBackAt(x *exchange, now time.Time, t *choice, err error) time.Duration {
	if result.CodeOf(err) == result.Limited {
		return s.promise(x.line(), now, t)
	}
	return t.free
}

// wait waits for d, or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// limitBegan reports whether the target has come to have a limit that the request was not counted against.
func (x *exchange) limitBegan(t *choice, p ratelimit.Permit) bool {
	return !p.Limited && x.s.Limits.Words.Of(t.id).Limited()
}

// promise returns when a caller shall come back for what upstreams take within their limits: after those that were told to come back
// before it. The mutex is held.
func (s *Relay) promise(key line, now time.Time, t *choice) time.Duration {
	at := later(now.Add(t.free), s.promised[key])
	back := min(promiseMost, at.Sub(now))
	s.promised[key] = now.Add(back)
	if t.rate > 0 {
		s.promised[key] = now.Add(min(promiseMost, back+t.rate.Interval()))
	}
	return back
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
