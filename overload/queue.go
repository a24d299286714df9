package overload

// One queue holds the requests for one model that find no room. Each look goes
// through them in order and offers each one to the groups:
//
//	begun     first come first
//	in time   the one that must go soonest first; one that fits nowhere does not
//	          hold up those that have more time
//	last try  first come first, after the others but for a part of the room
//	late      first come first, what is left
//
// What a load pattern asks of it:
//
//   - A short burst delays requests by some passes: they wait, the most urgent
//     first, and are in time.
//   - A flood that lasts fills all groups. Whoever is late by then would take
//     the room of one that is not, so late requests are refused at once, as
//     soon as there has been no room for them for some passes; their callers
//     come back when it may be over. So is one behind more others than go on
//     before it is late itself: it would only wait for its refusal.
//   - After a loss of power everybody comes back, many of them late. They get
//     a part of the room, so that they are not refused a second time, and no
//     more, so that not everybody is late in turn.
//   - Callers that come back too often only compete for that part.

import (
	"slices"
	"time"
)

const (
	// lateRefusalDelay is how long there must have been no room for late requests until they are refused at once: two to three passes
	// of an engine with all slots taken, in which each group shows what room it has.
	lateRefusalDelay = 300 * time.Millisecond
	// finalAttemptShare is the part of the room that last tries get while others wait that can be in time.
	finalAttemptShare = 0.25
	// alwaysQueued is how many requests of a rank may wait whatever they can expect: of one nothing needs to be known of how fast they
	// go. More at each of many entries with few requests add up to a long line that waits in vain.
	alwaysQueued = 1
	// rateWindow is the time over which the rate at which requests go on is smoothed.
	rateWindow = 2 * time.Second
	// maxFailedOffers bounds the requests of one rank beyond those in time that are offered in vain in one look.
	maxFailedOffers = 8
)

// Queued is a request in a queue, and what its owner keeps of it.
type Queued[T any] struct {
	Request
	Value T

	rank Rank
}

// Queue holds what waits for the groups of one model; it is not safe for concurrent use.
type Queue[T any] struct {
	byRank [rankCount][]*Queued[T]
	// noLateCapacity is how long there has been no room for late requests, refusing how long requests have been refused.
	noLateCapacity Period
	refusals       Period
	// finalAttemptCredit is the room that last tries are owed, in requests.
	finalAttemptCredit float64
	// rates are how many requests of each rank go on in a second.
	rates [rankCount]rate
}

// rate is a smoothed number of events a second, as of a time.
type rate struct {
	perSecond float64
	at        time.Time
}

// add notes so many events.
func (r *rate) add(now time.Time, n int) {
	r.perSecond = r.valueAt(now) + float64(n)/rateWindow.Seconds()
	r.at = now
}

// valueAt returns the events a second; without any the rate falls to nothing within rateWindow.
func (r *rate) valueAt(now time.Time) float64 {
	return r.perSecond * max(0, 1-now.Sub(r.at).Seconds()/rateWindow.Seconds())
}

// Len returns how many requests wait.
func (q *Queue[T]) Len() int {
	n := 0
	for _, waiting := range q.byRank {
		n += len(waiting)
	}
	return n
}

// Add lets a request wait.
func (q *Queue[T]) Add(now time.Time, r Request, value T) *Queued[T] {
	queued := &Queued[T]{Request: r, Value: value}
	q.insert(now, queued)
	return queued
}

func (q *Queue[T]) insert(now time.Time, queued *Queued[T]) {
	queued.rank = queued.Rank(now)
	waiting := q.byRank[queued.rank]
	key := queued.sortKey()
	i, _ := slices.BinarySearchFunc(waiting, key, func(other *Queued[T], key time.Time) int {
		if other.sortKey().After(key) {
			return 1
		}
		return -1 // equal ones keep the order in which they came
	})
	q.byRank[queued.rank] = slices.Insert(waiting, i, queued)
}

// sortKey orders the requests of one rank.
func (w *Queued[T]) sortKey() time.Time {
	if w.rank == InTime {
		return w.Due
	}
	return w.QueuedAt
}

// Remove takes a request out that does not wait any more.
func (q *Queue[T]) Remove(queued *Queued[T]) {
	waiting := q.byRank[queued.rank]
	if i := slices.Index(waiting, queued); i >= 0 {
		q.byRank[queued.rank] = slices.Delete(waiting, i, i+1)
	}
}

// NoteCapacity notes that a group had room for a late request.
func (q *Queue[T]) NoteCapacity() {
	q.noLateCapacity.Reset()
}

// RetryAfter returns when a request that is refused now shall come back.
func (q *Queue[T]) RetryAfter(now time.Time) time.Duration {
	return q.refusals.RetryAfter(now)
}

// Dispatch offers the waiting requests to the groups in their order, and refuses those that it is in vain to keep. Send reports whether
// it sent a request on, or ended it; room is the rank whose room it may use. Neither function may change the queue.
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

// demoteLate moves requests that can't be in time any more to their next rank.
func (q *Queue[T]) demoteLate(now time.Time) {
	waiting := q.byRank[InTime]
	lateCount := 0
	for lateCount < len(waiting) && waiting[lateCount].Rank(now) != InTime {
		lateCount++
	}
	for _, queued := range waiting[:lateCount] {
		q.insert(now, queued)
	}
	q.byRank[InTime] = slices.Delete(waiting, 0, lateCount)
}

// offer offers the requests of a rank in order, as requests of the rank room, until most have been sent, and returns how many were.
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

// hopeless reports whether a request in that place of the line of a rank waits in vain: so many before it do not go on in the time
// that it has.
func (q *Queue[T]) hopeless(rank Rank, position int, timeLeft time.Duration, now time.Time) bool {
	return position >= alwaysQueued && float64(position) > q.rates[rank].valueAt(now)*timeLeft.Seconds()
}

// refuseIf refuses the requests of a rank for which in vain holds.
func (q *Queue[T]) refuseIf(rank Rank, refuse func(queued *Queued[T]), hopeless func(position int, queued *Queued[T]) bool) {
	waiting := q.byRank[rank]
	remaining := waiting[:0]
	for _, queued := range waiting {
		if hopeless(len(remaining), queued) {
			refuse(queued)
			continue
		}
		remaining = append(remaining, queued)
	}
	clear(waiting[len(remaining):])
	q.byRank[rank] = remaining
}
