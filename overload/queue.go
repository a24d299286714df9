package overload

// A queue holds the requests for one model that find no capacity. Each dispatch
// offers them to the groups, rank by rank:
//
//	started        first in, first out
//	in time        earliest due time first; a request that fits nowhere does not
//	               block those that are due later
//	final attempt  first in, first out, after the ranks above except for a
//	               reserved share of the capacity
//	late           first in, first out, with the capacity that remains
//
// Within a rank, requests of customers over their share come after all others.
//
// The rules handle these load patterns:
//
//   - A short burst delays requests by a few iterations. They wait, the most
//     urgent first, and are answered in time.
//   - A sustained overload fills all groups. A late request would use the
//     capacity of one that can still be in time, so late requests are refused at
//     once when there has been no capacity for them for a few iterations, and
//     their callers retry later. A request behind more others than can be sent
//     before it is due is refused too, since it would only wait to be refused.
//   - After a power failure all callers retry and many requests are late. They
//     get a share of the capacity, so that they are not refused a second time,
//     and no more, so that the other requests do not become late in turn.
//   - Callers that retry too often only compete for that share.

import (
	"slices"
	"time"
)

const (
	// lateRefusalDelay is how long there must have been no capacity for late requests until they are refused at once: two to three
	// iterations of an engine with all slots in use, in which the free capacity of each group is seen.
	lateRefusalDelay = 300 * time.Millisecond
	// finalAttemptShare is what final attempts get, relative to the in-time requests that are sent meanwhile.
	finalAttemptShare = 0.25
	// alwaysQueued is how many requests of a rank may wait even while the send rate is unknown. A higher number at each of many
	// entries with few requests adds up to a long queue that is refused in the end.
	alwaysQueued = 1
	// rateWindow is the time over which the send rate is smoothed.
	rateWindow = 2 * time.Second
	// maxFailedOffers bounds the unsuccessful offers of one rank in one dispatch; requests that can be in time are all offered.
	maxFailedOffers = 8
)

// Queued is a request in a queue, with its owner's value.
type Queued[T any] struct {
	Request
	Value T

	rank Rank
}

// Queue holds the requests that wait for the groups of one model; it is not safe for concurrent use.
type Queue[T any] struct {
	byRank [rankCount][]*Queued[T]
	// noLateCapacity is the period without capacity for late requests, refusals the period in which requests are refused.
	noLateCapacity Period
	refusals       Period
	// finalAttemptCredit is the capacity reserved for final attempts so far, in requests.
	finalAttemptCredit float64
	// rates are the send rates of the ranks.
	rates [rankCount]rate
}

// rate is a smoothed number of events per second at a point in time.
type rate struct {
	perSecond float64
	at        time.Time
}

// add counts n events.
func (r *rate) add(now time.Time, n int) {
	r.perSecond = r.valueAt(now) + float64(n)/rateWindow.Seconds()
	r.at = now
}

// valueAt returns the events per second at a time; without further events it falls to 0 within rateWindow.
func (r *rate) valueAt(now time.Time) float64 {
	return r.perSecond * max(0, 1-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int {
	n := 0
	for _, waiting := range q.byRank {
		n += len(waiting)
	}
	return n
}

// Each calls visit for each waiting request, in order.
func (q *Queue[T]) Each(visit func(queued *Queued[T])) {
	for _, waiting := range q.byRank {
		for _, queued := range waiting {
			visit(queued)
		}
	}
}

// Add queues a request.
func (q *Queue[T]) Add(now time.Time, r Request, value T) *Queued[T] {
	queued := &Queued[T]{Request: r, Value: value}
	q.insert(now, queued)
	return queued
}

func (q *Queue[T]) insert(now time.Time, queued *Queued[T]) {
	queued.rank = queued.Rank(now)
	waiting := q.byRank[queued.rank]
	i, _ := slices.BinarySearchFunc(waiting, queued, func(other, queued *Queued[T]) int {
		if other.OverShare != queued.OverShare && other.OverShare || other.OverShare == queued.OverShare && other.sortKey().After(queued.sortKey()) {
			return 1
		}
		return -1 // requests with equal keys keep their order of arrival
	})
	q.byRank[queued.rank] = slices.Insert(waiting, i, queued)
}

// sortKey is the time by which the requests of a rank are sorted.
func (w *Queued[T]) sortKey() time.Time {
	if w.rank == InTime {
		return w.Due
	}
	return w.QueuedAt
}

// Remove drops a request that no longer waits.
func (q *Queue[T]) Remove(queued *Queued[T]) {
	waiting := q.byRank[queued.rank]
	if i := slices.Index(waiting, queued); i >= 0 {
		q.byRank[queued.rank] = slices.Delete(waiting, i, i+1)
	}
}

// NoteCapacity notes that a group had capacity for a late request.
func (q *Queue[T]) NoteCapacity() {
	q.noLateCapacity.Reset()
}

// RetryAfter returns the time after which the caller of a request that is refused now should retry.
func (q *Queue[T]) RetryAfter(now time.Time) time.Duration {
	return q.refusals.RetryAfter(now)
}

// Dispatch offers the waiting requests to the groups in order and refuses those that have no chance. Send reports whether it sent or
// ended the request; capacityRank is the rank whose capacity the request may use. Neither function may change the queue.
func (q *Queue[T]) Dispatch(now time.Time, send func(queued *Queued[T], capacityRank Rank) bool, refuse func(queued *Queued[T])) {
	q.demoteLate(now)
	for rank := range Rank(rankCount) {
		q.refuseIf(rank, refuse, func(_ int, queued *Queued[T]) bool { return now.After(queued.Expires) })
	}
	if q.finalAttemptCredit >= 1 && q.offer(now, FinalAttempt, FinalAttempt, 1, send) > 0 {
		q.finalAttemptCredit--
	}
	for rank := range Rank(rankCount) {
		capacityRank := rank
		if rank == FinalAttempt {
			capacityRank = Late
		}
		sent := q.offer(now, rank, capacityRank, len(q.byRank[rank]), send)
		if rank == InTime && len(q.byRank[FinalAttempt]) > 0 {
			q.finalAttemptCredit = min(1, q.finalAttemptCredit+float64(sent)*finalAttemptShare)
		}
	}
	if q.Len() == 0 {
		return
	}
	fullFor := q.noLateCapacity.Extend(now)
	q.refuseIf(FinalAttempt, refuse, func(position int, queued *Queued[T]) bool {
		return q.hopeless(FinalAttempt, position, queued.Expires.Sub(now), now)
	})
	if fullFor > lateRefusalDelay {
		q.refuseIf(Late, refuse, func(int, *Queued[T]) bool { return true })
	}
	if fullFor > rateWindow {
		q.refuseIf(InTime, refuse, func(position int, queued *Queued[T]) bool {
			return q.hopeless(InTime, position, queued.Due.Sub(now), now)
		})
	}
}

// demoteLate moves requests that can no longer be in time to their next rank.
func (q *Queue[T]) demoteLate(now time.Time) {
	q.byRank[InTime] = slices.DeleteFunc(q.byRank[InTime], func(queued *Queued[T]) bool {
		isLate := queued.Rank(now) != InTime
		if isLate {
			q.insert(now, queued)
		}
		return isLate
	})
}

// offer offers the requests of a rank in order, with the capacity of capacityRank, until maxSent are sent, and returns how many were.
func (q *Queue[T]) offer(now time.Time, rank, capacityRank Rank, maxSent int, send func(queued *Queued[T], capacityRank Rank) bool) int {
	waiting := q.byRank[rank]
	remaining := waiting[:0]
	sent, failed := 0, 0
	for i, queued := range waiting {
		if sent == maxSent || failed == maxFailedOffers && rank != InTime {
			remaining = append(remaining, waiting[i:]...)
			break
		}
		if send(queued, capacityRank) {
			sent++
			continue
		}
		failed++
		remaining = append(remaining, queued)
	}
	clear(waiting[len(remaining):])
	q.byRank[rank] = remaining
	if sent > 0 {
		q.rates[rank].add(now, sent)
	}
	return sent
}

// hopeless reports whether a request at that position of a rank has no chance: at the present rate, those ahead of it are not sent
// in the time that it has left.
func (q *Queue[T]) hopeless(rank Rank, position int, timeLeft time.Duration, now time.Time) bool {
	return position >= alwaysQueued && float64(position) > q.rates[rank].valueAt(now)*timeLeft.Seconds()
}

// refuseIf refuses the requests of a rank for which mustRefuse returns true.
func (q *Queue[T]) refuseIf(rank Rank, refuse func(queued *Queued[T]), mustRefuse func(position int, queued *Queued[T]) bool) {
	waiting := q.byRank[rank]
	remaining := waiting[:0]
	for _, queued := range waiting {
		if mustRefuse(len(remaining), queued) {
			refuse(queued)
			continue
		}
		remaining = append(remaining, queued)
	}
	clear(waiting[len(remaining):])
	q.byRank[rank] = remaining
}
