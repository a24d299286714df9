package ratelimit

// An entry requests a permit from the coordinator of an upstream with one datagram, and the coordinator replies with
// another; either can be lost.

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"
)

const (
	// replyTimeout covers several round trips between halls and pauses of a busy VM.
	replyTimeout = 60 * time.Millisecond
	// coordinatorMovedRetry is the retry time for an entry whose list of entries differs from the receiver's.
	coordinatorMovedRetry = 200 * time.Millisecond
	// maxInFlight bounds the permit requests that an entry has in flight for one upstream.
	maxInFlight = 4
)

// PermitRequest asks the coordinator of an upstream for a permit, and passes on the newest limit that the sender knows.
// Age is the time since that limit was last seen.
type PermitRequest[K comparable] struct {
	ID   uint64        `cbor:"1,keyasint"`
	Key  K             `cbor:"2,keyasint"`
	Rate Rate          `cbor:"3,keyasint"`
	Age  time.Duration `cbor:"4,keyasint,omitempty"`
	// Patience is how long the request can wait for its permit.
	Patience time.Duration `cbor:"5,keyasint,omitempty"`
	// Capped is set if Rate is a cap and not a limit that the upstream advertised.
	Capped bool `cbor:"6,keyasint,omitempty"`
}

// PermitReply is the coordinator's decision, with the newest limit of the upstream that the coordinator knows.
type PermitReply[K comparable] struct {
	ID   uint64        `cbor:"1,keyasint"`
	Key  K             `cbor:"2,keyasint"`
	Rate Rate          `cbor:"3,keyasint,omitempty"`
	Age  time.Duration `cbor:"4,keyasint,omitempty"`
	// Cap is the cap that the decision is based on, 0 if it is based on the advertised limit.
	Cap Rate `cbor:"8,keyasint,omitempty"`
	Grant
}

// requestPermit sends a permit request to the coordinator and waits for the reply.
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

// applyReply applies the limit and the decision of a reply.
func (l *Limiter[K]) applyReply(k K, reply *PermitReply[K]) Permit {
	l.Table.Merge(k, reply.Rate, l.Now().Add(-reply.Age))
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.state(k)
	s.unansweredSince, s.nextRequestAt = time.Time{}, time.Time{}
	return l.recordGrant(k, cmp.Or(reply.Cap, reply.Rate), reply.Grant)
}

// HandleRequest decides on another entry's permit request. It returns false if this entry cannot know which entry
// coordinates the upstream.
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
		// The rate is not newer than what the requester sent, and must not appear so.
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

// lowerCap returns the lower of two caps, where 0 stands for no cap.
func lowerCap(a, b Rate) Rate {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// HandleReply passes a reply to its waiting request. A reply after the timeout is dropped, and its permit is lost.
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
