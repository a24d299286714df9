package overload

import "time"

// Rank says who goes first among requests that wait for room; a lower one goes before a higher one.
type Rank int

// The ranks, in order.
const (
	// Started is for requests that an upstream was lost under: their callers have a part of the answer, or have waited for one.
	Started Rank = iota
	// InTime is for requests that can still be answered within their aim.
	InTime
	// FinalAttempt is for requests that are late and whose callers do not come back another time: a refusal ends them.
	FinalAttempt
	// Late is for requests that are late and whose callers can come back.
	Late

	rankCount = int(Late) + 1
)

// Request is what the rules know of a request.
type Request struct {
	// QueuedAt is when it began to wait.
	QueuedAt time.Time
	// Due is the last moment at which it can be sent and still be in time at an idle group.
	Due time.Time
	// Expires is the last moment at which it can be sent and be answered before its caller leaves.
	Expires time.Time
	// Started and FinalAttempt are set for the requests that these ranks name.
	Started      bool
	FinalAttempt bool
}

// LatestSend returns the last moment at which it is worth sending: for one whose caller does not come back also when it is late.
func (r *Request) LatestSend() time.Time {
	if r.Started || r.FinalAttempt {
		return r.Expires
	}
	return r.Due
}

// Rank returns the request's rank at a time.
func (r *Request) Rank(now time.Time) Rank {
	switch {
	case r.Started:
		return Started
	case !now.After(r.Due):
		return InTime
	case r.FinalAttempt:
		return FinalAttempt
	}
	return Late
}
