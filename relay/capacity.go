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
	queued, q := s.enqueue(x)
	s.mu.Unlock()
	select {
	case <-queued.Value.done:
	case <-x.r.Context().Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		select {
		case <-queued.Value.done:
		default:
			q.Remove(queued)
			return choice{}, result.New(result.Cancelled, "the caller has left")
		}
	}
	return queued.Value.chosen, queued.Value.err
}

// reservePlain chooses a worker of a plain service; the mutex is held.
func (s *Relay) reservePlain(x *exchange) (choice, error) {
	now := s.Now()
	chosen, err := s.chooseUntil(x, overload.InTime, x.plainDeadline(), now)
	if err == nil {
		s.reserve(x, &chosen)
		return chosen, nil
	}
	x.minRetryAfter = s.retryDelay(x, now, &chosen, err)
	return chosen, err
}

// plainDeadline is until when a request for a plain service may wait to be in time.
func (x *exchange) plainDeadline() time.Time {
	return x.arrivedAt.Add(time.Duration(plainWaitFraction*float64(cmp.Or(x.route.Aim, defaultAim))) - x.priorElapsed)
}

// enqueue puts the request into the queue of its model and offers all that waits there to the groups; the mutex is held.
func (s *Relay) enqueue(x *exchange) (*overload.Queued[*queuedRequest], *overload.Queue[*queuedRequest]) {
	now := s.Now()
	req := &queuedRequest{x: x, done: make(chan struct{})}
	targets := s.index.targets(x.service, x.model)
	if len(targets) == 0 {
		// Callers may name any model; queues are kept for those that there are.
		req.complete(choice{}, noTargetError(0, 0, &unavailable{}))
		return &overload.Queued[*queuedRequest]{Value: req}, nil
	}
	x.setAimDeadline(now, &targets[0].timing)
	key := x.queueKey()
	q := s.queues[key]
	if q == nil {
		q = &overload.Queue[*queuedRequest]{}
		s.queues[key] = q
	}
	queued := q.Add(now, x.queueRequest(now), req)
	s.dispatchQueue(q, now)
	if !s.dispatchScheduled && q.Len() > 0 {
		s.dispatchScheduled = true
		time.AfterFunc(queueCheckInterval, s.offerPeriodically)
	}
	return queued, q
}

// complete tells the request what became of it.
func (w *queuedRequest) complete(chosen choice, err error) {
	w.chosen, w.err = chosen, err
	close(w.done)
}

// offerPeriodically offers what waits to the groups as long as anything does.
func (s *Relay) offerPeriodically() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	remaining := 0
	for _, q := range s.queues {
		s.dispatchQueue(q, now)
		remaining += q.Len()
	}
	s.dispatchScheduled = remaining > 0
	if s.dispatchScheduled {
		time.AfterFunc(queueCheckInterval, s.offerPeriodically)
	}
}

// dispatchQueue offers the requests in q to the groups and refuses those that wait in vain; the mutex is held.
func (s *Relay) dispatchQueue(q *overload.Queue[*queuedRequest], now time.Time) {
	// leastLoaded is the group where the first word of an empty prompt would come soonest, known once a request has found no room.
	var leastLoaded candidate
	leastLoadedKnown := false
	send := func(queued *overload.Queued[*queuedRequest], rank overload.Rank) bool {
		x := queued.Value.x
		if leastLoadedKnown && rank == overload.InTime && now.Add(leastLoaded.firstEvent).After(x.aimDeadline) && !x.leavesCapacity(leastLoaded.target, leastLoaded.knownLoad) {
			return false
		}
		chosen, err := s.chooseUntil(x, rank, queued.LatestSend(), now)
		switch code := result.CodeOf(err); {
		case chosen.mustWait:
		case err == nil && chosen.hasCapacity:
			s.reserve(x, &chosen)
			leastLoadedKnown = false
			if s.hadSpareCapacity(x, &chosen) {
				q.NoteCapacity()
			}
		case code == result.BackedOff && now.Add(chosen.availableIn).Before(queued.LatestSend()):
			return false
		case err == nil || code == result.Overloaded:
			if !leastLoadedKnown {
				leastLoaded, leastLoadedKnown = s.leastLoaded(x, now), true
			}
			return false
		}
		x.minRetryAfter = s.retryDelay(x, now, &chosen, err)
		queued.Value.complete(chosen, err)
		return true
	}
	q.Dispatch(now, send, func(queued *overload.Queued[*queuedRequest]) {
		x := queued.Value.x
		x.minRetryAfter = q.RetryAfter(now)
		waitedMS := now.Sub(queued.QueuedAt).Milliseconds()
		queued.Value.complete(choice{}, result.New(result.Overloaded, "no group has room for it, rank %d after %d ms", queued.Rank(now), waitedMS))
	})
}

// leastLoaded returns the group of x at which the first word of an empty prompt would come soonest; the mutex is held.
func (s *Relay) leastLoaded(x *exchange, now time.Time) candidate {
	var best candidate
	targets := s.index.targets(x.service, x.model)
	for i := range targets {
		if !x.regionAllowed(&targets[i]) {
			continue
		}
		load := s.loadOf(&targets[i], now)
		firstEvent := targets[i].timing.FirstEvent(load, 0) + max(s.Backoff.StateOf(now, targets[i].id).Remaining, s.Limits.Availability(now, targets[i].id).Remaining)
		if best.target == nil || firstEvent < best.firstEvent {
			best = candidate{target: &targets[i], firstEvent: firstEvent, knownLoad: load}
		}
	}
	return best
}

// setAimDeadline works out until when the request can be in time.
func (x *exchange) setAimDeadline(now time.Time, timing *estimate.Group) {
	x.callerWaitStart = now
	if !x.hasProgress() {
		x.callerWaitStart = x.arrivedAt
	}
	firstAttemptAt := x.arrivedAt.Add(-x.priorElapsed)
	x.idleFirstEvent = timing.FirstEvent(estimate.Load{}, x.prefillTokens())
	x.dispatchDelay = x.s.dispatchDelayOf(x.model)
	meanDelay := x.dispatchDelay.mean
	x.aimDeadline = firstAttemptAt.Add(max(x.route.Aim, x.idleFirstEvent+meanDelay+time.Duration(longPromptSlack*float64(x.route.Aim))) - meanDelay)
}

// queueRequest returns what the order of those that wait goes by.
func (x *exchange) queueRequest(now time.Time) overload.Request {
	expires := x.callerWaitStart.Add(x.callerPatience())
	if expires.After(x.deadline) {
		expires = x.deadline
	}
	expires = expires.Add(-x.idleFirstEvent - x.dispatchDelay.mean)
	due := x.aimDeadline.Add(-x.idleFirstEvent)
	if due.After(expires) {
		due = expires
	}
	// One that lost its time at a group that had ended is not refused at once as one that was too many. It does not go before those
	// that can be in time either, which would make these late where all groups are full.
	finalAttempt := x.heldAtStart || x.priorElapsed >= returningElapsed || x.displaced
	return overload.Request{QueuedAt: now, Due: due, Expires: expires, Started: x.hasProgress(), FinalAttempt: finalAttempt}
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
func (x *exchange) hasCapacityAt(t *target, rank overload.Rank, load estimate.Load, firstEvent time.Duration, now time.Time) bool {
	if firstEvent == 0 || x.route.GapAim == 0 || load.PendingPrompt == 0 && load.Requests < t.slots || x.eventCount > 0 {
		return true
	}
	if x.leavesCapacity(t, load) {
		return true
	}
	if rank == overload.Late {
		return false
	}
	latest := x.aimDeadline
	if rank != overload.InTime {
		latest = now.Add(x.route.Aim - x.dispatchDelay.mean)
	}
	iteration := t.timing.IterationTime(load.PendingPrompt+x.prefillTokens(), load.Requests+1)
	return iteration <= x.route.GapAim && !now.Add(firstEvent+x.dispatchDelay.deviation).After(latest)
}

// leavesCapacity reports whether t would leave room for others beside the request.
func (x *exchange) leavesCapacity(t *target, load estimate.Load) bool {
	// A first word takes half a pass and a whole one.
	maxIteration := min(x.route.GapAim, (x.route.Aim-x.dispatchDelay.mean-x.dispatchDelay.deviation)*2/3)
	iteration := t.timing.IterationTime(load.PendingPrompt+x.prefillTokens(), load.Requests+1)
	return load.Requests < t.slots && float64(iteration) <= lateIterationFraction*float64(maxIteration)
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
func (s *Relay) estimatePriorElapsed(class ident.Class, callerTimeout time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	typical := s.typicalWaits[class]
	if typical == nil {
		typical = &overload.TypicalWait{}
		s.typicalWaits[class] = typical
	}
	return typical.PriorElapsed(callerTimeout, s.Now().Sub(s.lastRefusal) > noRefusalPeriod)
}
