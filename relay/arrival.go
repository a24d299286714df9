package relay

// Where the settings ask for it, a request that finds no capacity is checked when
// it arrives, and refused at once if it would wait in vain (see package overload).

import (
	"math/rand/v2"
	"time"

	"github.com/dunlinquay/dunlinquay/estimate"
	"github.com/dunlinquay/dunlinquay/overload"
	"github.com/dunlinquay/dunlinquay/result"
)

// maxReturnAfter is the longest Retry-After of a request that was refused for want of capacity: callers wait for at most a third of their
// remaining time.
const maxReturnAfter = 2500 * time.Millisecond

// checkArrival refuses a request that has just been queued if it still waits and would wait in vain; the mutex is held.
func (s *Relay) checkArrival(q *overload.Queue[*queuedRequest], queued *overload.Queued[*queuedRequest], now time.Time) {
	select {
	case <-queued.Value.done:
		return
	default:
	}
	arrival := q.Arrival(now, queued, s.latestSend(queued.Value.x, now))
	if !arrival.MustRefuse() {
		return
	}
	q.Remove(queued)
	q.NoteRefusal(now, queued)
	s.countsOf(queued.Value.x.queueKey()).level(queued.Urgency).Refused++
	s.tellReturn(q, queued, now)
	queued.Value.complete(choice{}, result.New(result.Overloaded, "%.0f requests ahead at %.1f per second leave no time, rank %d with %d ms left",
		arrival.Ahead, arrival.SendRate, queued.Rank(now), arrival.TimeLeft.Milliseconds()))
}

// latestSend returns the latest time at which the request can be sent to the group with the fewest requests, without pending prompts, and
// be in time; the mutex is held.
func (s *Relay) latestSend(x *exchange, now time.Time) time.Time {
	targets := s.index.targets(x.service, x.model)
	first := time.Duration(-1)
	for i := range targets {
		if !x.regionAllowed(&targets[i]) {
			continue
		}
		load := estimate.Load{Requests: s.loadOf(&targets[i], now).Requests}
		if firstEvent := targets[i].timing.FirstEvent(load, x.prefillTokens()); first < 0 || firstEvent < first {
			first = firstEvent
		}
	}
	return x.aimDeadline.Add(-max(0, first))
}

// tellReturn sets the Retry-After of a request that is refused, and counts its caller as told to return; the mutex is held.
func (s *Relay) tellReturn(q *overload.Queue[*queuedRequest], queued *overload.Queued[*queuedRequest], now time.Time) {
	x := queued.Value.x
	// What the caller heeds bounds the time before the jitter does: otherwise all callers that are refused in a long overload return after
	// the same time. While the overload does not last yet, they are spread over the whole time in which the backlog is sent.
	longest := min(maxReturnAfter, x.maxHeed(now.Sub(x.arrivedAt)+x.priorElapsed))
	latest := min(q.ReturnAfter(now, queued, retryAfterFull), longest)
	earliest := retryAfterFull
	if q.OverloadLasts(now, queued.Urgency) {
		earliest = time.Duration(float64(latest) / (1 + retryJitter))
	}
	x.returnAfter = max(retryAfterFull, earliest+time.Duration(rand.Float64()*float64(latest-earliest)))
	if queued.FinalAttempt {
		return // the caller will not return
	}
	q.NoteTold(now, queued.Urgency, min(x.returnAfter, x.maxHeed(now.Sub(x.arrivedAt)+x.priorElapsed)))
}

// maxHeed is the longest time that the caller waits before a retry, when that time of its first attempt has passed.
func (x *exchange) maxHeed(elapsed time.Duration) time.Duration {
	total := x.deadline.Sub(x.arrivedAt) + x.priorElapsed
	return time.Duration(callerRetryFraction * float64(total-elapsed))
}
