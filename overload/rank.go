package overload

import "time"

// Rank says who goes first among requests that wait for room; a lower one goes before a higher one.
type Rank int

// The ranks, in order.
const (
	// Begun is for requests that an upstream was lost under: their callers have a part of the answer, or have waited for one.
	Begun Rank = iota
	// InTime is for requests that can still be answered within their aim.
	InTime
	// LastTry is for requests that are late and whose callers do not come back another time: a refusal ends them.
	LastTry
	// Late is for requests that are late and whose callers can come back.
	Late

	ranks = int(Late) + 1
)

// Request is what the rules know of a request.
type Request struct {
	// Came is when it began to wait.
	Came time.Time
	// Due is the last moment at which it can be sent and still be in time at an idle group.
	Due time.Time
	// Leaves is the last moment at which it can be sent and be answered before its caller leaves.
	Leaves time.Time
	// Begun and LastTry are set for the requests that these ranks name.
	Begun   bool
	LastTry bool
}

// Last returns the last moment at which it is worth sending: for one whose caller does not come back also when it is late.
func (r *Request) Last() time.Time {
	if r.Begun || r.LastTry {
		return r.Leaves
	}
	return r.Due
}

// Rank returns the request's rank at a time.
func (r *Request) Rank(now time.Time) Rank {
	switch {
	case r.Begun:
		return Begun
	case !now.After(r.Due):
		return InTime
	case r.LastTry:
		return LastTry
	}
	return Late
}
