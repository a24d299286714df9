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
	// lateGap is how long there must have been no room for late requests until they are refused at once: two to three passes
	// of an engine with all slots taken, in which each group shows what room it has.
	lateGap = 300 * time.Millisecond
	// lastTryPart is the part of the room that last tries get while others wait that can be in time.
	lastTryPart = 0.25
	// shortLine is how many requests of a rank may wait whatever they can expect: of one nothing needs to be known of how fast they
	// go. More at each of many entries with few requests add up to a long line that waits in vain.
	shortLine = 1
	// rateTime is the time over which the rate at which requests go on is smoothed.
	rateTime = 2 * time.Second
	// failsMost bounds the requests of one rank beyond those in time that are offered in vain in one look.
	failsMost = 8
)

// Queued is a request in a queue, and what its owner keeps of it.
type Queued[T any] struct {
	Request
	Value T

	rank Rank
}

// Queue holds what waits for the groups of one model; it is not safe for concurrent use.
type Queue[T any] struct {
	lines [ranks][]*Queued[T]
	// full is how long there has been no room for late requests, refusing how long requests have been refused.
	full     Period
	refusing Period
	// credit is the room that last tries are owed, in requests.
	credit float64
	// rates are how many requests of each rank go on in a second.
	rates [ranks]rate
}

// rate is a smoothed number of events a second, as of a time.
type rate struct {
	perSecond float64
	at        time.Time
}

// count notes so many events.
func (r *rate) count(now time.Time, n int) {
	r.perSecond = r.now(now) + float64(n)/rateTime.Seconds()
	r.at = now
}

// now returns the events a second; without any the rate falls to nothing within rateTime.
func (r *rate) now(now time.Time) float64 {
	return r.perSecond * max(0, 1-now.Sub(r.at).Seconds()/rateTime.Seconds())
}

// Len returns how many requests wait.
func (q *Queue[T]) Len() int {
	n := 0
	for _, line := range q.lines {
		n += len(line)
	}
	return n
}

// Add lets a request wait.
func (q *Queue[T]) Add(now time.Time, r Request, value T) *Queued[T] {
	w := &Queued[T]{Request: r, Value: value}
	q.insert(now, w)
	return w
}

func (q *Queue[T]) insert(now time.Time, w *Queued[T]) {
	w.rank = w.Rank(now)
	line := q.lines[w.rank]
	key := w.key()
	i, _ := slices.BinarySearchFunc(line, key, func(o *Queued[T], key time.Time) int {
		if o.key().After(key) {
			return 1
		}
		return -1 // equal ones keep the order in which they came
	})
	q.lines[w.rank] = slices.Insert(line, i, w)
}

// key orders the requests of one rank.
func (w *Queued[T]) key() time.Time {
	if w.rank == InTime {
		return w.Due
	}
	return w.QueuedAt
}

// Remove takes a request out that does not wait any more.
func (q *Queue[T]) Remove(w *Queued[T]) {
	line := q.lines[w.rank]
	if i := slices.Index(line, w); i >= 0 {
		q.lines[w.rank] = slices.Delete(line, i, i+1)
	}
}

// NoteCapacity notes that a group had room for a late request.
func (q *Queue[T]) NoteCapacity() {
	q.full.Reset()
}

// RetryAfter returns when a request that is refused now shall come back.
func (q *Queue[T]) RetryAfter(now time.Time) time.Duration {
	return q.refusing.RetryAfter(now)
}

// Dispatch offers the waiting requests to the groups in their order, and refuses those that it is in vain to keep. Send reports whether
// it sent a request on, or ended it; room is the rank whose room it may use. Neither function may change the queue.
func (q *Queue[T]) Dispatch(now time.Time, send func(w *Queued[T], room Rank) bool, refuse func(w *Queued[T])) {
	q.age(now)
	for rank := range Rank(ranks) {
		q.drop(rank, refuse, func(_ int, w *Queued[T]) bool { return now.After(w.Expires) })
	}
	if q.credit >= 1 && q.offer(now, FinalAttempt, FinalAttempt, 1, send) > 0 {
		q.credit--
	}
	for rank := range Rank(ranks) {
		room := rank
		if rank == FinalAttempt {
			room = Late
		}
		sent := q.offer(now, rank, room, len(q.lines[rank]), send)
		if rank == InTime && len(q.lines[FinalAttempt]) > 0 {
			q.credit = min(1, q.credit+float64(sent)*lastTryPart)
		}
	}
	if q.Len() == 0 {
		return
	}
	lasts := q.full.Extend(now)
	q.drop(FinalAttempt, refuse, func(place int, w *Queued[T]) bool { return q.hopeless(FinalAttempt, place, w.Expires.Sub(now), now) })
	if lasts > lateGap {
		q.drop(Late, refuse, func(int, *Queued[T]) bool { return true })
	}
	if lasts > rateTime {
		q.drop(InTime, refuse, func(place int, w *Queued[T]) bool { return q.hopeless(InTime, place, w.Due.Sub(now), now) })
	}
}

// age moves requests that can't be in time any more to their next rank.
func (q *Queue[T]) age(now time.Time) {
	line := q.lines[InTime]
	over := 0
	for over < len(line) && line[over].Rank(now) != InTime {
		over++
	}
	for _, w := range line[:over] {
		q.insert(now, w)
	}
	q.lines[InTime] = slices.Delete(line, 0, over)
}

// offer offers the requests of a rank in order, as requests of the rank room, until most have been sent, and returns how many were.
func (q *Queue[T]) offer(now time.Time, rank, room Rank, most int, send func(w *Queued[T], room Rank) bool) int {
	line := q.lines[rank]
	kept := line[:0]
	sent, failed := 0, 0
	for i, w := range line {
		if sent == most || failed == failsMost && rank != InTime {
			kept = append(kept, line[i:]...)
			break
		}
		if send(w, room) {
			sent++
			continue
		}
		failed++
		kept = append(kept, w)
	}
	clear(line[len(kept):])
	q.lines[rank] = kept
	if sent > 0 {
		q.rates[rank].count(now, sent)
	}
	return sent
}

// hopeless reports whether a request in that place of the line of a rank waits in vain: so many before it do not go on in the time
// that it has.
func (q *Queue[T]) hopeless(rank Rank, place int, left time.Duration, now time.Time) bool {
	return place >= shortLine && float64(place) > q.rates[rank].now(now)*left.Seconds()
}

// drop refuses the requests of a rank for which in vain holds.
func (q *Queue[T]) drop(rank Rank, refuse func(w *Queued[T]), inVain func(place int, w *Queued[T]) bool) {
	line := q.lines[rank]
	kept := line[:0]
	for _, w := range line {
		if inVain(len(kept), w) {
			refuse(w)
			continue
		}
		kept = append(kept, w)
	}
	clear(line[len(kept):])
	q.lines[rank] = kept
}
