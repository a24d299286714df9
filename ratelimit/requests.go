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
	// replyTimeout is how long an answer is waited for: several round trips between halls, with pauses of a busy VM.
	replyTimeout = 60 * time.Millisecond
	// coordinatorMovedRetry is when an entry asks again that has another list of entries than the one it asked.
	coordinatorMovedRetry = 200 * time.Millisecond
	// maxInFlight is how many questions on one upstream may be out at an entry.
	maxInFlight = 4
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

// requestPermit asks the coordinator and waits for its answer.
func (l *Limiter[K]) requestPermit(ctx context.Context, to string, k K, limit Limit, maxWait time.Duration) (*PermitReply[K], bool) {
	now := l.Now()
	l.mu.Lock()
	s := l.state(k)
	if now.Before(s.nextRequestAt) || s.inFlight >= maxInFlight {
		l.mu.Unlock()
		return nil, false
	}
	s.inFlight++
	id, replies := rand.Uint64(), make(chan *PermitReply[K], 1)
	l.pendingReplies[id] = replies
	l.mu.Unlock()
	l.Send(to, &PermitRequest[K]{ID: id, Key: k, Rate: limit.Rate, Age: now.Sub(limit.LastSeen), Patience: maxWait, Capped: limit.Capped})
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	var reply *PermitReply[K]
	select {
	case reply = <-replies:
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pendingReplies, id)
	s.inFlight--
	if reply == nil && ctx.Err() == nil {
		s.recordUnanswered(l.Now())
		l.Observe(Unanswered)
	}
	return reply, reply != nil
}

// applyReply does what the coordinator answered.
func (l *Limiter[K]) applyReply(k K, reply *PermitReply[K]) Permit {
	l.Table.Merge(k, reply.Rate, l.Now().Add(-reply.Age))
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(k)
	s.unansweredSince, s.nextRequestAt = time.Time{}, time.Time{}
	return l.recordGrant(k, cmp.Or(reply.Cap, reply.Rate), reply.Grant)
}

// HandleRequest answers a question of another entry; there is no answer when this one can't know whether it coordinates the upstream.
func (l *Limiter[K]) HandleRequest(request *PermitRequest[K], from string) (*PermitReply[K], bool) {
	coordinator := l.Coordinator(request.Key)
	if !coordinator.Self && coordinator.Name == "" {
		return nil, false
	}
	now := l.Now()
	requesterCap := request.Rate
	if !request.Capped {
		requesterCap = 0
		l.Table.Merge(request.Key, max(l.Table.MinRate, request.Rate), now.Add(-max(0, request.Age)))
	}
	newest := l.Table.Newest(request.Key)
	reply := &PermitReply[K]{ID: request.ID, Key: request.Key, Rate: newest.Rate, Age: now.Sub(newest.LastSeen)}
	if lowestCap := lowerCap(requesterCap, l.Table.Cap(request.Key)); lowestCap > 0 && (!newest.Limited() || lowestCap < newest.Rate) {
		reply.Cap = lowestCap
	}
	if newest.Rate == request.Rate {
		// It is no news to who asks, and must not look like that.
		reply.Age = max(reply.Age, request.Age)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !newest.Limited() && reply.Cap == 0:
		reply.Grant = Grant{OK: true}
	case !coordinator.Self:
		reply.Grant = Grant{After: coordinatorMovedRetry, Sharers: 1}
	default:
		reply.Grant = l.grant(request.Key, cmp.Or(reply.Cap, newest.Rate), coordinator, from, request.Patience)
	}
	return reply, true
}

// lowerCap returns the lower of two caps, 0 standing for none.
func lowerCap(a, b Rate) Rate {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// HandleReply takes the answer to a question; one that is not waited for any more is dropped, and the request that it granted is lost.
func (l *Limiter[K]) HandleReply(reply *PermitReply[K]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if replies := l.pendingReplies[reply.ID]; replies != nil {
		select {
		case replies <- reply:
		default:
		}
	}
}
