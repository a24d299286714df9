package ratelimit

// Who wants to send to an upstream with a limit asks its coordinator with one
// datagram and has the answer with another; either may be lost.

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"
)

const (
	// answerTime is how long an answer is waited for: several round trips between halls, with pauses of a busy VM.
	answerTime = 60 * time.Millisecond
	// movedAgain is when an entry asks again that has another list of entries than the one it asked.
	movedAgain = 200 * time.Millisecond
	// asksMost is how many questions on one upstream may be out at an entry.
	asksMost = 4
)

// PermitRequest asks the coordinator of an upstream for one request there, and tells it what the upstream said.
type PermitRequest[K comparable] struct {
	ID   uint64        `cbor:"1,keyasint"`
	Key  K             `cbor:"2,keyasint"`
	Rate Rate          `cbor:"3,keyasint"`
	Age  time.Duration `cbor:"4,keyasint,omitempty"`
	// Patience is how long the request can wait for its turn.
	Patience time.Duration `cbor:"5,keyasint,omitempty"`
	// Capped is set when Rate is a cap, and not the upstream's word.
	Capped bool `cbor:"6,keyasint,omitempty"`
}

// PermitReply is the coordinator's answer, and the newest word of the upstream that it knows.
type PermitReply[K comparable] struct {
	ID   uint64        `cbor:"1,keyasint"`
	Key  K             `cbor:"2,keyasint"`
	Rate Rate          `cbor:"3,keyasint,omitempty"`
	Age  time.Duration `cbor:"4,keyasint,omitempty"`
	// Cap is the cap by which the answer was worked out, 0 when it was the upstream's word.
	Cap Rate `cbor:"8,keyasint,omitempty"`
	Grant
}

// ask asks the coordinator and waits for its answer.
func (l *Limiter[K]) ask(ctx context.Context, to string, k K, w Limit, patience time.Duration) (*PermitReply[K], bool) {
	now := l.Now()
	l.mu.Lock()
	s := l.state(k)
	if now.Before(s.asksAt) || s.asking >= asksMost {
		l.mu.Unlock()
		return nil, false
	}
	s.asking++
	id, answer := rand.Uint64(), make(chan *PermitReply[K], 1)
	l.asked[id] = answer
	l.mu.Unlock()
	l.Send(to, &PermitRequest[K]{ID: id, Key: k, Rate: w.Rate, Age: now.Sub(w.LastSeen), Patience: patience, Capped: w.Capped})
	timer := time.NewTimer(answerTime)
	defer timer.Stop()
	var a *PermitReply[K]
	select {
	case a = <-answer:
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.asked, id)
	s.asking--
	if a == nil && ctx.Err() == nil {
		s.unanswered(l.Now())
		l.Observe(Unanswered)
	}
	return a, a != nil
}

// take does what the coordinator answered.
func (l *Limiter[K]) take(k K, a *PermitReply[K]) Permit {
	l.Table.Merge(k, a.Rate, l.Now().Add(-a.Age))
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(k)
	s.silent, s.asksAt = time.Time{}, time.Time{}
	return l.obey(k, cmp.Or(a.Cap, a.Rate), a.Grant)
}

// HandleRequest answers a question of another entry; there is no answer when this one can't know whether it coordinates the upstream.
func (l *Limiter[K]) HandleRequest(q *PermitRequest[K], from string) (*PermitReply[K], bool) {
	seat := l.Coordinator(q.Key)
	if !seat.Self && seat.Name == "" {
		return nil, false
	}
	now := l.Now()
	rate := q.Rate
	if !q.Capped {
		rate = 0
		l.Table.Merge(q.Key, max(l.Table.MinRate, q.Rate), now.Add(-max(0, q.Age)))
	}
	w := l.Table.Newest(q.Key)
	a := &PermitReply[K]{ID: q.ID, Key: q.Key, Rate: w.Rate, Age: now.Sub(w.LastSeen)}
	if limit := lowest(rate, l.Table.Cap(q.Key)); limit > 0 && (!w.Limited() || limit < w.Rate) {
		a.Cap = limit
	}
	if w.Rate == q.Rate {
		// It is no news to who asks, and must not look like that.
		a.Age = max(a.Age, q.Age)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !w.Limited() && a.Cap == 0:
		a.Grant = Grant{OK: true}
	case !seat.Self:
		a.Grant = Grant{After: movedAgain, Sharers: 1}
	default:
		a.Grant = l.grant(q.Key, cmp.Or(a.Cap, w.Rate), seat, from, q.Patience)
	}
	return a, true
}

// lowest returns the lower of two caps, 0 standing for none.
func lowest(a, b Rate) Rate {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// HandleReply takes the answer to a question; one that is not waited for any more is dropped, and the request that it granted is lost.
func (l *Limiter[K]) HandleReply(a *PermitReply[K]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer := l.asked[a.ID]; answer != nil {
		select {
		case answer <- a:
		default:
		}
	}
}
