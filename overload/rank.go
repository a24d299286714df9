package overload

import (
	"time"

	"github.com/dunlinquay/dunlinquay/siteload"
)

// Rank orders waiting requests; lower ranks are sent first.
type Rank int

// The ranks, in order.
const (
	// Started is for requests that an upstream may have worked on, or whose callers have a part of the answer.
	Started Rank = iota
	// InTime is for requests that can still meet their aim.
	InTime
	// FinalAttempt is for late requests whose callers will not retry: a refusal is final.
	FinalAttempt
	// Late is for late requests whose callers can retry.
	Late

	rankCount = int(Late) + 1
)

// Request holds the properties of a request by which it is queued.
type Request struct {
	// Urgency orders requests before all else, except that started requests go first; lower values are more urgent.
	Urgency siteload.Urgency
	// QueuedAt is when the request was queued.
	QueuedAt time.Time
	// FirstArrival is when its caller made its first attempt; it replaces QueuedAt in the order of late requests unless it is zero.
	FirstArrival time.Time
	// Due is the latest time at which it can be sent to an idle group and still be in time.
	Due time.Time
	// Expires is the latest time at which it can be sent and be answered before its caller gives up.
	Expires time.Time
	// Started and FinalAttempt are set for requests that the ranks of these names describe.
	Started      bool
	FinalAttempt bool
	// Needs are what a request of this kind needs from a group.
	Needs Needs
	// OverShare is set for requests of customers over their share; they come after all others of their rank.
	OverShare bool
}

// LatestSend returns the latest time at which sending is worthwhile; a request whose caller will not retry is also sent late.
func (r *Request) LatestSend() time.Time {
	if r.Started || r.FinalAttempt {
		return r.Expires
	}
	return r.Due
}

// Rank returns the request's rank at a point in time.
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
