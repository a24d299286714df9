package overload

// With the sums of all entries, the fate of a request that finds no capacity can
// be told when it arrives: the requests ahead of it are sent at the present rate,
// and one whose turn comes too late would only wait to be refused.
//
//	requests ahead  sent per second  wait    time left   decision
//	20              100              200 ms  250 ms      waits
//	40              100              400 ms  250 ms      refused, returns after the backlog
//
// The sums are some tenths of a second old. In a flood all entries see the same,
// so an entry takes the others to have as many waiting by now as it has itself.
//
// Refused callers are told to return when the backlog will have been sent. The
// backlog includes the callers that were told to return before; every entry
// reports for each of the next slots of 250 ms how many it told. A part of the
// sends is kept for those that return. One that returns sooner than was told at
// the time of its first attempt ranks behind.

import (
	"time"

	"github.com/dunlinquay/dunlinquay/siteload"
)

const (
	// overloadReturnShare is what returning callers get, relative to the in-time requests that are sent. They are late in nearly all cases, and
	// late answers shall be at most a tenth of all.
	overloadReturnShare = 0.02
	// maxWaitFraction is the fraction of its aim after which a request is no longer kept waiting: its caller has time left for a retry,
	// and the group has time for the first event. dispatchInterval is the longest time between two dispatches of a waiting request.
	maxWaitFraction  = 0.5
	dispatchInterval = 10 * time.Millisecond
	// minRefusedShare is the fraction of the arriving requests that all entries refuse from which an overload lasts; fewer are refused
	// for other reasons, such as short deadlines.
	minRefusedShare = 0.05
	// hopelessRefusedShare is the same from which one that has returned is refused at once. With fewer, the refusals can be those of a burst
	// that is over.
	hopelessRefusedShare = 0.5
	// refusalMemory is how long after the last refusal at any entry an overload lasts: in a flood there are many between two reports.
	refusalMemory = 500 * time.Millisecond
	// earlyReturnFraction is the fraction of the told time before which a caller returns early. Who told this caller is not known; other
	// entries, and the jitter, tell up to a third less.
	earlyReturnFraction = 0.5
	// returnRateFraction is the fraction of the send rate by which the callers that were told to return are spread; new callers need the
	// rest.
	returnRateFraction = 0.5
	// toldSlots is the number of slots that are kept of the callers that were told to return, before and after the present one.
	toldSlots = 2 * siteload.ReturnSlots
)

// Arrival is what is known of the chances of a request that no group has capacity for now.
type Arrival struct {
	// Lasting is set when there has been no spare capacity for some time.
	Lasting bool
	// TimeLeft is the time until the latest useful send.
	TimeLeft time.Duration
	// Ahead is the number of requests that are sent before it, SendRate the number of them that are sent per second.
	Ahead    float64
	SendRate float64
}

// MustRefuse reports whether the request would wait in vain.
func (a *Arrival) MustRefuse() bool {
	if !a.Lasting {
		return false
	}
	return a.TimeLeft <= 0 || a.Ahead > 0 && a.Ahead > a.SendRate*a.TimeLeft.Seconds()
}

// ReturnAfter returns the time in which the requests ahead, and the callers that were told to return before, are sent; it is at least
// shortest and at most longest.
func ReturnAfter(ahead, sendRate float64, shortest, longest time.Duration) time.Duration {
	if ahead >= sendRate*longest.Seconds() {
		return longest
	}
	return max(shortest, time.Duration(ahead/sendRate*float64(time.Second)))
}

// told counts the callers that were told to return, by the slot in which they are due, and what callers were told, by the slot of the
// refusal.
type told struct {
	due   [toldSlots]slotCount
	after [toldSlots]slotTime
}

type slotCount struct {
	slot int64
	n    int
}

type slotTime struct {
	slot     int64
	shortest time.Duration
}

func slotOf(t time.Time) int64 {
	return t.UnixNano() / int64(siteload.ReturnSlot)
}

// note counts a caller that was told now to return after a time.
func (t *told) note(now time.Time, after time.Duration) {
	slot := slotOf(now.Add(after))
	if d := &t.due[slot%toldSlots]; d.slot == slot {
		d.n++
	} else {
		*d = slotCount{slot, 1}
	}
	slot = slotOf(now)
	if a := &t.after[slot%toldSlots]; a.slot != slot || after < a.shortest {
		*a = slotTime{slot, after}
	}
}

// returning returns how many callers are due in each slot from the present one on, nil if none are.
func (t *told) returning(now time.Time) (slots []int) {
	first := slotOf(now)
	for i := range int64(siteload.ReturnSlots) {
		d := &t.due[(first+i)%toldSlots]
		if d.slot != first+i || d.n == 0 {
			continue
		}
		for int64(len(slots)) <= i {
			slots = append(slots, 0)
		}
		slots[i] = d.n
	}
	return slots
}

// ReturnsEarly reports whether a caller of that urgency returns sooner than callers were told that made their first attempts when it did.
// It waits for maxHeed at most, whatever it is told.
func (q *Queue[T]) ReturnsEarly(now time.Time, u siteload.Urgency, elapsed, maxHeed time.Duration) bool {
	slot := slotOf(now.Add(-elapsed))
	a := &q.level(u).told.after[slot%toldSlots]
	return a.slot == slot && elapsed < time.Duration(earlyReturnFraction*float64(min(a.shortest, maxHeed)))
}

// NoteRefusal notes that a request was refused outside of Dispatch.
func (q *Queue[T]) NoteRefusal(now time.Time, queued *Queued[T]) {
	q.level(queued.Urgency).activity.refusedAt = now
	q.refusals.Extend(now)
}

// NoteTold notes that the caller of a refused request was told to return after a time.
func (q *Queue[T]) NoteTold(now time.Time, u siteload.Urgency, after time.Duration) {
	q.level(u).told.note(now, after)
}

// EachReturning calls visit for each urgency whose callers were told to return, with their number in each slot from now on.
func (q *Queue[T]) EachReturning(now time.Time, visit func(u siteload.Urgency, slots []int)) {
	for _, l := range q.levels {
		if slots := l.told.returning(now); slots != nil {
			visit(l.urgency, slots)
		}
	}
}

// Arrival returns what is known of the chances of a waiting request whose first event is in time if it is sent by latestSend.
func (q *Queue[T]) Arrival(now time.Time, queued *Queued[T], latestSend time.Time) Arrival {
	l := q.level(queued.Urgency)
	a := Arrival{Lasting: q.overloadLasts(now, l), TimeLeft: queued.waitLimit().Sub(now)}
	switch queued.rank {
	case Started:
		return Arrival{}
	case FinalAttempt:
		a.Lasting = a.Lasting && q.mostAreRefused(l)
		a.Ahead = float64(l.position(queued)) + 1 - l.finalAttemptCredit
		a.SendRate = l.returnShare() * l.rates[InTime].valueAt(now)
	case InTime:
		a.TimeLeft = min(a.TimeLeft, latestSend.Sub(now))
		position := l.position(queued)
		own, others, sendRate := q.ahead(now, l, position)
		a.Ahead, a.SendRate = float64(own+max(others, own*(q.site.Entries-1))), sendRate
		if l.claim.Restricts() && l.floor.credit >= float64(position+1) {
			a.Ahead = 0 // the floor is kept for it
		}
	case Late:
		a.TimeLeft = 0
	}
	return a
}

// ReturnAfter returns the time after which the caller of a request that is refused now should return.
func (q *Queue[T]) ReturnAfter(now time.Time, queued *Queued[T], shortest time.Duration) time.Duration {
	l := q.level(queued.Urgency)
	own, others, sendRate := q.ahead(now, l, len(l.byRank[InTime]))
	ahead := float64(own+others) + float64(q.returning(now, l))/returnRateFraction
	return ReturnAfter(ahead, sendRate, shortest, maxRetryAfter)
}

// mostAreRefused reports whether so many requests are refused at all entries that one which has returned has no chance; it is assumed
// where the sums are not known.
func (q *Queue[T]) mostAreRefused(l *level[T]) bool {
	s := q.siteLevel(l.urgency)
	return s == nil || s.RefusalRate > hopelessRefusedShare*s.ArrivalRate
}

// noteOverload notes at which urgencies the overload lasts. The credit of final attempts then starts anew, since that of a quiet time at
// many entries would add up.
func (q *Queue[T]) noteOverload(now time.Time) {
	for _, l := range q.levels {
		lasts := q.overloadLasts(now, l)
		if lasts && !l.overloaded {
			l.finalAttemptCredit = q.phase()
		}
		l.overloaded = lasts
	}
}

// returnShare is what returning callers get with the check on arrival, relative to the in-time requests that are sent.
func (l *level[T]) returnShare() float64 {
	if l.overloaded {
		return overloadReturnShare
	}
	return finalAttemptShare
}

// waitLimit is the time until which the request is kept waiting with the check on arrival.
func (w *Queued[T]) waitLimit() time.Time {
	if w.Needs.Aim <= 0 {
		return w.Expires
	}
	return w.QueuedAt.Add(time.Duration(maxWaitFraction * float64(w.Needs.Aim)))
}

// position returns the number of requests of the same rank that go before the request.
func (l *level[T]) position(queued *Queued[T]) int {
	for i, other := range l.byRank[queued.rank] {
		if other == queued {
			return i
		}
	}
	return len(l.byRank[queued.rank])
}

// overloadLasts reports whether there has been no capacity for late requests of the level for some time: at this entry, or at any while a
// part of all requests is refused.
func (q *Queue[T]) overloadLasts(now time.Time, l *level[T]) bool {
	if l.noLateCapacity.lasted(now) > lateRefusalDelay {
		return true
	}
	s := q.siteLevel(l.urgency)
	if s == nil || s.SinceRefusal+q.site.Age > refusalMemory || s.RefusalRate <= minRefusedShare*s.ArrivalRate {
		return false
	}
	return s.SpareRate == 0 || s.SinceSpare+q.site.Age > lateRefusalDelay
}

// OverloadLasts reports whether there has been no capacity for requests of the urgency for some time.
func (q *Queue[T]) OverloadLasts(now time.Time, u siteload.Urgency) bool {
	return q.overloadLasts(now, q.level(u))
}

// siteLevel returns the sums of an urgency, nil if they are not known.
func (q *Queue[T]) siteLevel(u siteload.Urgency) *siteload.LevelSummary {
	for i := range q.site.Levels {
		if q.site.Levels[i].Urgency == u {
			return &q.site.Levels[i]
		}
	}
	return nil
}

// ahead returns the number of requests that go before one at that position of those in time of the level, at this entry and at others,
// and their sends per second: those of all entries, or without sums this entry's.
func (q *Queue[T]) ahead(now time.Time, l *level[T], position int) (own, others int, sendRate float64) {
	own = position
	for _, more := range q.levels {
		if more.urgency >= l.urgency {
			break
		}
		own += more.len()
	}
	if q.siteLevel(l.urgency) == nil {
		return own, 0, l.rates[InTime].valueAt(now)
	}
	for i := range q.site.Levels {
		s := &q.site.Levels[i]
		if s.Urgency > l.urgency {
			break
		}
		others += max(0, s.Waiting-q.site.ownWaiting(s.Urgency))
		sendRate += s.SendRate
	}
	return own, others, sendRate
}

// returning returns the number of callers that were told to return and are not due yet, with the urgency of the level or a higher one. The
// one that is being refused is included. In a burst the sums do not contain the others that are refused at the same time, so the other
// entries are taken to have told as many as this one.
func (q *Queue[T]) returning(now time.Time, l *level[T]) int {
	own, others := 1, 0
	for _, more := range q.levels {
		if more.urgency <= l.urgency {
			own += sum(more.told.returning(now))
		}
	}
	for i := range q.site.Levels {
		if s := &q.site.Levels[i]; s.Urgency <= l.urgency {
			others += max(0, sum(s.Returning)-q.site.ownReturning(s.Urgency))
		}
	}
	return own + max(others, own*(q.site.Entries-1))
}

// ownWaiting returns the requests of an urgency that the sums contain as waiting at this entry.
func (s *Site) ownWaiting(u siteload.Urgency) int {
	for i := range s.Own {
		if s.Own[i].Urgency == u {
			return s.Own[i].Waiting
		}
	}
	return 0
}

// ownReturning returns the callers of an urgency that the sums contain as told to return by this entry.
func (s *Site) ownReturning(u siteload.Urgency) int {
	for i := range s.Own {
		if s.Own[i].Urgency == u {
			return sum(s.Own[i].Returning)
		}
	}
	return 0
}

func sum(counts []int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}
