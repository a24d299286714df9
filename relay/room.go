package relay

// An engine takes what it is sent, and reads all of it in its next pass. When
// more comes than groups can read, every pass grows, and all requests are late
// together. So a request goes to a group only while that keeps the pauses of the
// streams there within their aim, and one that is late already only into what
// others leave. What finds no room waits at the entry, where it harms nobody;
// package overload says in which order it goes on, and what is refused.

import (
	"cmp"
	"maps"
	"time"

	"github.com/dunlinquay/dunlinquay/estimate"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/overload"
	"github.com/dunlinquay/dunlinquay/result"
)

const (
	// lateIterationFraction is the part of the longest pass that still is in time which a pass may take with a late request.
	lateIterationFraction = 0.5
	// queueCheckInterval is how often the requests that wait are offered to the groups: several times in a pass.
	queueCheckInterval = 10 * time.Millisecond
	// longPromptSlack is the part of its aim that a request has beyond the time that its prompt takes at an idle group, when that takes
	// all of the aim: long prompts can't be in time, but must not always go behind the others.
	longPromptSlack = 0.25
	// plainWaitFraction is the part of its aim that a request for a plain service may wait: how long workers take is not published.
	plainWaitFraction = 0.5
	// Callers leave a stream that is silent for minCallerPatience, callerPatienceAims times its aim or callerPatienceGaps times its aim for pauses,
	// whichever is longest.
	minCallerPatience  = 2 * time.Second
	callerPatienceAims = 4
	callerPatienceGaps = 8
	// noRefusalPeriod is how long after the last refusal here nearly all requests are first tries again: the longest time that
	// callers are told to stay away, and some more, since other entries refuse too.
	noRefusalPeriod = 5 * time.Second
	// returningElapsed is the time that a caller must have spent before to count as one that came back as it was told: the shortest
	// time that it is told.
	returningElapsed = retryAfterFull
)

// queueKey names those that wait for the same upstreams: the groups of a model, or the workers of a plain service, which has none.
type queueKey struct {
	service ident.Service
	model   ident.Model
}

// queueKey returns the line in which the request waits; callers may name any model to a plain service.
func (x *exchange) queueKey() queueKey {
	if x.service.Engine == nil {
		return queueKey{service: x.service.Name}
	}
	return queueKey{x.service.Name, x.model}
}

// queuedRequest is a request for a group, until it is known what becomes of it.
type queuedRequest struct {
	x      *exchange
	done   chan struct{}
	chosen choice
	err    error
}

// reserveTarget chooses where the request goes next, and waits for room where there is none yet. The request counts as sent there.
func (x *exchange) reserveTarget() (choice, error) {
	s := x.s
	s.mu.Lock()
	if x.service.Engine == nil {
		defer s.mu.Unlock()
		return s.reservePlain(x)
	}
	w, q := s.enqueue(x)
	s.mu.Unlock()
	select {
	case <-w.Value.done:
	case <-x.r.Context().Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		select {
		case <-w.Value.done:
		default:
			q.Remove(w)
			return choice{}, result.New(result.Cancelled, "the caller has left")
		}
	}
	return w.Value.chosen, w.Value.err
}

// reservePlain chooses a worker of a plain service; the mutex is held.
func (s *Relay) reservePlain(x *exchange) (choice, error) {
	now := s.Now()
	t, err := s.chooseUntil(x, overload.InTime, x.plainDeadline(), now)
	if err == nil {
		s.reserve(x, &t)
		return t, nil
	}
	x.minRetryAfter = s.retryDelay(x, now, &t, err)
	return t, err
}

// plainDeadline is until when a request for a plain service may wait to be in time.
func (x *exchange) plainDeadline() time.Time {
	return x.arrivedAt.Add(time.Duration(plainWaitFraction*float64(cmp.Or(x.route.Aim, defaultAim))) - x.priorElapsed)
}

// enqueue puts the request into the queue of its model and offers all that waits there to the groups; the mutex is held.
func (s *Relay) enqueue(x *exchange) (*overload.Queued[*queuedRequest], *overload.Queue[*queuedRequest]) {
	now := s.Now()
	w := &queuedRequest{x: x, done: make(chan struct{})}
	list := s.index.targets(x.service, x.model)
	if len(list) == 0 {
		// Callers may name any model; queues are kept for those that there are.
		w.complete(choice{}, noTargetError(0, 0, &unavailable{}))
		return &overload.Queued[*queuedRequest]{Value: w}, nil
	}
	x.setAimDeadline(now, &list[0].timing)
	key := x.queueKey()
	q := s.queues[key]
	if q == nil {
		q = &overload.Queue[*queuedRequest]{}
		s.queues[key] = q
	}
	in := q.Add(now, x.queueRequest(now), w)
	s.dispatchQueue(q, now)
	if !s.dispatchScheduled && q.Len() > 0 {
		s.dispatchScheduled = true
		time.AfterFunc(queueCheckInterval, s.offerPeriodically)
	}
	return in, q
}

// complete tells the request what became of it.
func (w *queuedRequest) complete(t choice, err error) {
	w.chosen, w.err = t, err
	close(w.done)
}

// offerPeriodically offers what waits to the groups as long as anything does.
func (s *Relay) offerPeriodically() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	left := 0
	for _, q := range s.queues {
		s.dispatchQueue(q, now)
		left += q.Len()
	}
	s.dispatchScheduled = left > 0
	if s.dispatchScheduled {
		time.AfterFunc(queueCheckInterval, s.offerPeriodically)
	}
}

// dispatchQueue offers the requests in q to the groups and refuses those that wait in vain; the mutex is held.
func (s *Relay) dispatchQueue(q *overload.Queue[*queuedRequest], now time.Time) {
	// idlest is the group where the first word of an empty prompt would come soonest, known once a request has found no room.
	var idlest candidate
	known := false
	send := func(w *overload.Queued[*queuedRequest], rank overload.Rank) bool {
		x := w.Value.x
		if known && rank == overload.InTime && now.Add(idlest.firstEvent).After(x.aimDeadline) && !x.leavesCapacity(idlest.target, idlest.knownLoad) {
			return false
		}
		t, err := s.chooseUntil(x, rank, w.LatestSend(), now)
		switch code := result.CodeOf(err); {
		case t.mustWait:
		case err == nil && t.hasCapacity:
			s.reserve(x, &t)
			known = false
			if s.hadSpareCapacity(x, &t) {
				q.NoteCapacity()
			}
		case code == result.BackedOff && now.Add(t.availableIn).Before(w.LatestSend()):
			return false
		case err == nil || code == result.Overloaded:
			if !known {
				idlest, known = s.leastLoaded(x, now), true
			}
			return false
		}
		x.minRetryAfter = s.retryDelay(x, now, &t, err)
		w.Value.complete(t, err)
		return true
	}
	q.Dispatch(now, send, func(w *overload.Queued[*queuedRequest]) {
		x := w.Value.x
		x.minRetryAfter = q.RetryAfter(now)
		waited := now.Sub(w.QueuedAt).Milliseconds()
		w.Value.complete(choice{}, result.New(result.Overloaded, "no group has room for it, rank %d after %d ms", w.Rank(now), waited))
	})
}

// leastLoaded returns the group of x at which the first word of an empty prompt would come soonest; the mutex is held.
func (s *Relay) leastLoaded(x *exchange, now time.Time) candidate {
	var best candidate
	list := s.index.targets(x.service, x.model)
	for i := range list {
		if !x.regionAllowed(&list[i]) {
			continue
		}
		at := s.loadOf(&list[i], now)
		first := list[i].timing.FirstEvent(at, 0) + max(s.Backoff.StateOf(now, list[i].id).Remaining, s.Limits.Availability(now, list[i].id).Remaining)
		if best.target == nil || first < best.firstEvent {
			best = candidate{target: &list[i], firstEvent: first, knownLoad: at}
		}
	}
	return best
}

// setAimDeadline works out until when the request can be in time.
func (x *exchange) setAimDeadline(now time.Time, idle *estimate.Group) {
	x.callerWaitStart = now
	if !x.hasProgress() {
		x.callerWaitStart = x.arrivedAt
	}
	came := x.arrivedAt.Add(-x.priorElapsed)
	x.idleFirstEvent = idle.FirstEvent(estimate.Load{}, x.prefillTokens())
	x.dispatchDelay = x.s.dispatchDelayOf(x.model)
	usual := x.dispatchDelay.mean
	x.aimDeadline = came.Add(max(x.route.Aim, x.idleFirstEvent+usual+time.Duration(longPromptSlack*float64(x.route.Aim))) - usual)
}

// queueRequest returns what the order of those that wait goes by.
func (x *exchange) queueRequest(now time.Time) overload.Request {
	leaves := x.callerWaitStart.Add(x.callerPatience())
	if leaves.After(x.deadline) {
		leaves = x.deadline
	}
	leaves = leaves.Add(-x.idleFirstEvent - x.dispatchDelay.mean)
	due := x.aimDeadline.Add(-x.idleFirstEvent)
	if due.After(leaves) {
		due = leaves
	}
	// One that lost its time at a group that had ended is not refused at once as one that was too many. It does not go before those
	// that can be in time either, which would make these late where all groups are full.
	last := x.heldAtStart || x.priorElapsed >= returningElapsed || x.displaced
	return overload.Request{QueuedAt: now, Due: due, Expires: leaves, Started: x.hasProgress(), FinalAttempt: last}
}

// hasProgress reports whether a refusal would lose what an upstream has done, or what the caller has.
func (x *exchange) hasProgress() bool {
	return x.eventCount > 0 || x.mayHaveRun || x.r.Header.Get(x.s.Headers.EventID) != ""
}

// callerPatience is how long the caller waits for an event.
func (x *exchange) callerPatience() time.Duration {
	if x.route.Kind != httproute.KindStream {
		return x.route.Timeout
	}
	return max(minCallerPatience, callerPatienceAims*x.route.Aim, callerPatienceGaps*x.route.GapAim)
}

// hasCapacityAt reports whether t has room for a request of that rank with what is known to be there. A last try gets the room of one that can
// be in time when it is its turn, and otherwise what late requests get.
func (x *exchange) hasCapacityAt(t *target, rank overload.Rank, at estimate.Load, first time.Duration, now time.Time) bool {
	if first == 0 || x.route.GapAim == 0 || at.PendingPrompt == 0 && at.Requests < t.slots || x.eventCount > 0 {
		return true
	}
	if x.leavesCapacity(t, at) {
		return true
	}
	if rank == overload.Late {
		return false
	}
	limit := x.aimDeadline
	if rank != overload.InTime {
		limit = now.Add(x.route.Aim - x.dispatchDelay.mean)
	}
	pass := t.timing.IterationTime(at.PendingPrompt+x.prefillTokens(), at.Requests+1)
	return pass <= x.route.GapAim && !now.Add(first+x.dispatchDelay.deviation).After(limit)
}

// leavesCapacity reports whether t would leave room for others beside the request.
func (x *exchange) leavesCapacity(t *target, at estimate.Load) bool {
	// A first word takes half a pass and a whole one.
	most := min(x.route.GapAim, (x.route.Aim-x.dispatchDelay.mean-x.dispatchDelay.deviation)*2/3)
	pass := t.timing.IterationTime(at.PendingPrompt+x.prefillTokens(), at.Requests+1)
	return at.Requests < t.slots && float64(pass) <= lateIterationFraction*float64(most)
}

// hadSpareCapacity reports whether the target of a request had room for a late one.
func (s *Relay) hadSpareCapacity(x *exchange, t *choice) bool {
	return t.firstEvent == 0 || x.route.GapAim == 0 || x.leavesCapacity(t.target, t.knownLoad)
}

// reserve counts the request at t and tells the other entries, unless it has yet to be let go there; the mutex is held.
func (s *Relay) reserve(x *exchange, t *choice) {
	if !t.limited {
		s.countAtTarget(x, t)
	}
}

// countAtTarget is take for a request that is let go; the mutex is held.
func (s *Relay) countAtTarget(x *exchange, t *choice) {
	x.countedAtTarget = true
	x.pendingTokens = x.prefillTokens()
	s.stateOf(t.target).addRequest(s.Now(), x.pendingTokens)
	x.backoffProbe = s.Backoff.BeginProbe(s.Now(), t.id)
	if x.pendingTokens > 0 {
		s.SendUpdate(EntryUpdate{Head: t.id, PromptTokens: x.pendingTokens}, t.users)
	}
	if !t.inSubset {
		// Streams that have begun, and entries that use no group of the model, go on without any left.
		s.peerCounts.spillCredit[x.model] = max(0, s.peerCounts.spillCredit[x.model]-1)
	}
}

// cancelReservation undoes take.
func (x *exchange) cancelReservation(t *choice) {
	if !x.countedAtTarget {
		return
	}
	x.countedAtTarget = false
	x.clearPending(t.state)
	x.endBackoffProbe(t.id, false)
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	t.state.removeRequest()
}

// dropUndeclaredClasses drops what is known of classes that are not declared any more; the mutex is held.
func (s *Relay) dropUndeclaredClasses(cfg *httproute.Config) {
	declared := map[ident.Class]bool{}
	for i := range cfg.Routes {
		declared[cfg.Routes[i].Name] = true
	}
	maps.DeleteFunc(s.typicalWaits, func(class ident.Class, _ *overload.TypicalWait) bool { return !declared[class] })
}

// estimatePriorElapsed returns what the caller of a class spent on earlier tries, as far as the time that it says it waits tells.
func (s *Relay) estimatePriorElapsed(class ident.Class, told time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.typicalWaits[class]
	if u == nil {
		u = &overload.TypicalWait{}
		s.typicalWaits[class] = u
	}
	return u.PriorElapsed(told, s.Now().Sub(s.lastRefusal) > noRefusalPeriod)
}
