package relay

// An engine accepts every request and prefills all pending prompts in its next
// iteration. When more requests arrive than the groups can prefill, iterations
// grow longer and all requests are late together. So a request is sent to a group
// only while the event gaps of the group's streams stay within their aim, and a
// late request only if it leaves capacity for others. Other requests wait at the
// entry, where they delay no stream; package overload decides in which order they
// are sent and which are refused.

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
	// lateIterationFraction bounds an iteration with a late request, as a fraction of the longest iteration within the aims.
	lateIterationFraction = 0.5
	// overloadMargin multiplies the margin for the usual error of the estimate while an overload lasts, up to maxOverloadMargin of the time
	// that an idle group leaves of the aim: another request that has more time always waits then, and late answers use capacity that those
	// in time need.
	overloadMargin    = 3
	maxOverloadMargin = 0.35
	// queueCheckInterval is how often queued requests are offered to the groups: several times per iteration.
	queueCheckInterval = 10 * time.Millisecond
	// longPromptSlack extends the deadline of a request whose prefill at an idle group uses up the aim, by a fraction of the aim.
	// Otherwise long prompts would always be late and always rank behind other requests.
	longPromptSlack = 0.25
	// plainWaitFraction is the fraction of its aim that a request for a plain service may wait; workers publish no timing figures.
	plainWaitFraction = 0.5
	// Callers are assumed to abandon a stream without events for minCallerPatience, callerPatienceAims times its aim or
	// callerPatienceGaps times its gap aim, whichever is longest.
	minCallerPatience  = 2 * time.Second
	callerPatienceAims = 4
	callerPatienceGaps = 8
	// noRefusalPeriod is how long after this entry's last refusal nearly all requests are first attempts again: longer than the longest
	// Retry-After, since other entries refuse requests too.
	noRefusalPeriod = 5 * time.Second
	// returningElapsed is the time on earlier attempts from which a caller counts as returning: the shortest Retry-After.
	returningElapsed = retryAfterFull
)

// queueKey identifies a queue of requests for the same upstreams: the groups of a model, or the workers of a plain service, which has no
// model.
type queueKey struct {
	service ident.Service
	model   ident.Model
}

// queueKey returns the key of the request's queue. The model that a caller names to a plain service is ignored.
func (x *exchange) queueKey() queueKey {
	if x.service.Engine == nil {
		return queueKey{service: x.service.Name}
	}
	return queueKey{x.service.Name, x.model}
}

// queuedRequest is a request that waits for a group; done is closed when chosen and err are set.
type queuedRequest struct {
	x      *exchange
	done   chan struct{}
	chosen choice
	err    error
}

// reserveTarget chooses the next target of the request and waits until one has capacity. The request then counts as sent to the target.
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
		return queued.Value.chosen, queued.Value.err
	case <-x.r.Context().Done():
	case <-s.requestsCtx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-queued.Value.done:
	default:
		q.Remove(queued)
		if x.r.Context().Err() == nil {
			return choice{}, x.stopError()
		}
		return choice{}, result.New(result.Cancelled, "the caller disconnected while the request was queued")
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

// plainDeadline is the latest time to send a request for a plain service within its aim.
func (x *exchange) plainDeadline() time.Time {
	return x.arrivedAt.Add(time.Duration(plainWaitFraction*float64(cmp.Or(x.route.Aim, defaultAim))) - x.priorElapsed)
}

// enqueue adds the request to the queue of its model and offers all requests in the queue to the groups; the mutex is held.
func (s *Relay) enqueue(x *exchange) (*overload.Queued[*queuedRequest], *overload.Queue[*queuedRequest]) {
	now := s.Now()
	req := &queuedRequest{x: x, done: make(chan struct{})}
	targets := s.index.targets(x.service, x.model)
	if len(targets) == 0 {
		// Callers may name any model; only models that are served get a queue.
		req.complete(choice{}, noTargetError(0, 0, &unavailable{}))
		return &overload.Queued[*queuedRequest]{Value: req}, nil
	}
	x.setAimDeadline(now, &targets[0].timing)
	key := x.queueKey()
	q := s.queues[key]
	if q == nil {
		q = &overload.Queue[*queuedRequest]{Floor: s.UrgencyFloor, Phase: s.randomFraction, ArrivalCheck: s.ArrivalCheck}
		s.queues[key] = q
	}
	s.countsOf(key).noteArrival(x)
	x.noteOverShare(now)
	x.noteArrivedWork(now)
	queued := q.Add(now, x.queueRequest(now, q), req)
	s.dispatchQueue(key, q, now)
	if s.ArrivalCheck {
		s.checkArrival(q, queued, now)
	}
	if !s.dispatchScheduled && q.Len() > 0 {
		s.dispatchScheduled = true
		time.AfterFunc(queueCheckInterval, s.offerPeriodically)
	}
	return queued, q
}

// complete ends the wait of the request.
func (w *queuedRequest) complete(chosen choice, err error) {
	w.chosen, w.err = chosen, err
	if err == nil {
		w.x.noteSentWork(w.x.s.Now())
	}
	close(w.done)
}

// offerPeriodically offers all queued requests to the groups and repeats this until no request is queued.
func (s *Relay) offerPeriodically() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	remaining := 0
	for key, q := range s.queues {
		s.dispatchQueue(key, q, now)
		remaining += q.Len()
	}
	s.dispatchScheduled = remaining > 0
	if s.dispatchScheduled {
		time.AfterFunc(queueCheckInterval, s.offerPeriodically)
	}
}

// dispatchQueue offers the requests in q to the groups and refuses those that cannot be sent in time; the mutex is held.
func (s *Relay) dispatchQueue(key queueKey, q *overload.Queue[*queuedRequest], now time.Time) {
	q.SetSite(now, s.siteOf(key, now))
	// leastLoaded is computed once a request has found no capacity; later requests that would be late even there are not scored at all
	// targets.
	var leastLoaded candidate
	leastLoadedKnown := false
	send := func(queued *overload.Queued[*queuedRequest], rank overload.Rank) bool {
		x := queued.Value.x
		if leastLoadedKnown && rank == overload.InTime && now.Add(leastLoaded.firstEvent).After(x.aimDeadline) &&
			!x.leavesCapacity(leastLoaded.target, leastLoaded.knownLoad) {
			return false
		}
		chosen, err := s.chooseWithin(q, queued, rank, now)
		switch code := result.CodeOf(err); {
		case chosen.mustWait:
		case err == nil && chosen.hasCapacity:
			s.reserve(x, &chosen)
			s.countsOf(x.queueKey()).level(x.urgency()).Sent++
			leastLoadedKnown = false
			if s.hadSpareCapacity(x, &chosen) {
				q.NoteCapacity()
				s.countsOf(x.queueKey()).level(x.urgency()).Spare++
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
		s.countsOf(x.queueKey()).level(x.urgency()).Refused++
		x.minRetryAfter = q.RetryAfter(now)
		if s.ArrivalCheck {
			s.tellReturn(q, queued, now)
		}
		waitedMS := now.Sub(queued.QueuedAt).Milliseconds()
		queued.Value.complete(choice{}, result.New(result.Overloaded, "no group has capacity for the request, rank %d after %d ms", queued.Rank(now), waitedMS))
	})
}

// leastLoaded returns the group with the shortest estimated time to the first event of an empty prompt, backoffs and limits included; the
// mutex is held.
func (s *Relay) leastLoaded(x *exchange, now time.Time) candidate {
	var best candidate
	targets := s.index.targets(x.service, x.model)
	for i := range targets {
		if !x.regionAllowed(&targets[i]) || s.stateOf(&targets[i]).unreachable && x.avoidsUnreachable() {
			continue
		}
		load := s.loadOf(&targets[i], now)
		firstEvent := targets[i].timing.FirstEvent(load, 0) +
			max(s.Backoff.StateOf(now, targets[i].id).Remaining, s.Limits.Availability(now, targets[i].id).Remaining)
		if best.target == nil || firstEvent < best.firstEvent {
			best = candidate{target: &targets[i], firstEvent: firstEvent, knownLoad: load}
		}
	}
	return best
}

// setAimDeadline sets the deadline for the request's first event, and the estimates that the queue needs. The timing is that of a group of
// the model.
func (x *exchange) setAimDeadline(now time.Time, timing *estimate.Group) {
	x.callerWaitStart = now
	if !x.hasProgress() {
		x.callerWaitStart = x.arrivedAt
	}
	firstAttemptAt := x.arrivedAt.Add(-x.priorElapsed)
	x.idleFirstEvent = timing.FirstEvent(estimate.Load{}, x.prefillTokens())
	x.dispatchDelay = x.s.dispatchDelayOf(x.model, now)
	meanDelay := x.dispatchDelay.mean
	x.aimDeadline = firstAttemptAt.Add(max(x.route.Aim, x.idleFirstEvent+meanDelay+time.Duration(longPromptSlack*float64(x.route.Aim))) - meanDelay)
}

// queueRequest returns the request's deadlines and flags by which package overload orders the queue.
func (x *exchange) queueRequest(now time.Time, q *overload.Queue[*queuedRequest]) overload.Request {
	expires := x.callerWaitStart.Add(x.callerPatience())
	if end := x.latestEnd(); expires.After(end) {
		expires = end
	}
	expires = expires.Add(-x.idleFirstEvent - x.dispatchDelay.mean)
	due := x.aimDeadline.Add(-x.idleFirstEvent)
	if due.After(expires) {
		due = expires
	}
	// A request that lost time at a crashed or stalled group ranks as a final attempt: it is not refused at once like other late requests.
	// It does not rank before requests that can be in time, since that would make those late when all groups are full.
	returning := x.priorElapsed >= returningElapsed
	if returning && x.s.ArrivalCheck {
		returning = !q.ReturnsEarly(now, x.urgency(), x.priorElapsed, x.maxHeed(0))
	}
	finalAttempt := x.heldAtStart || returning || x.displaced
	r := overload.Request{QueuedAt: now, Due: due, Expires: expires, Started: x.hasProgress(), FinalAttempt: finalAttempt, OverShare: x.overShare}
	if x.table.HasUrgencies(x.service.Name) {
		r.Urgency, r.FirstArrival = x.urgency(), x.arrivedAt.Add(-x.priorElapsed)
	}
	r.Needs = overload.Needs{Prompt: x.prefillTokens(), Aim: x.route.Aim, GapAim: x.route.GapAim}
	return r
}

// randomFraction returns a random number from 0 to below 1.
func (s *Relay) randomFraction() float64 {
	const steps = 1 << 16
	return float64(s.RandomInt(steps)) / steps
}

// chooseWithin chooses a group with capacity that the request may use beside more urgent ones, or else by the floor; the mutex is held.
func (s *Relay) chooseWithin(q *overload.Queue[*queuedRequest], queued *overload.Queued[*queuedRequest], rank overload.Rank, now time.Time) (choice, error) {
	x := queued.Value.x
	x.claim = q.Claim(now, queued)
	x.overloaded = s.ArrivalCheck && q.OverloadLasts(now, queued.Urgency)
	chosen, err := s.chooseUntil(x, rank, queued.LatestSend(), now)
	useFloor := x.claim.Floor && err == nil && !chosen.mustWait && !chosen.hasCapacity
	x.claim = overload.Claim{}
	if !useFloor {
		return chosen, err
	}
	chosen, err = s.chooseUntil(x, rank, queued.LatestSend(), now)
	if err == nil && !chosen.mustWait && chosen.hasCapacity {
		q.UseFloor(queued)
	}
	return chosen, err
}

// hasProgress reports whether a refusal would waste work of an upstream, or events that the caller has received.
func (x *exchange) hasProgress() bool {
	return x.eventCount > 0 || x.mayHaveRun || x.r.Header.Get(x.s.Headers.EventID) != ""
}

// callerPatience is how long the caller is assumed to wait for an event.
func (x *exchange) callerPatience() time.Duration {
	if x.route.Kind != httproute.KindStream {
		return x.route.Timeout
	}
	return max(minCallerPatience, callerPatienceAims*x.route.Aim, callerPatienceGaps*x.route.GapAim)
}

// hasCapacityAt reports whether t, at a known load, has capacity for a request of that rank. A late request must leave capacity for others.
// A final attempt may use the capacity for requests in time when package overload offers the request with that rank.
func (x *exchange) hasCapacityAt(t *target, rank overload.Rank, load estimate.Load, firstEvent time.Duration, now time.Time) bool {
	if x.claim.Restricts() && !x.leavesClaim(t, load) {
		return false
	}
	if firstEvent == 0 || x.route.GapAim == 0 || load.PendingPrompt == 0 && load.Requests < t.slots || x.eventCount > 0 {
		return true
	}
	if x.leavesCapacity(t, load) {
		return true
	}
	if rank == overload.Late || x.leavesRoom {
		return false
	}
	latest := x.aimDeadline
	if rank != overload.InTime {
		latest = now.Add(x.route.Aim - x.dispatchDelay.mean)
	}
	iteration := t.timing.IterationTime(load.PendingPrompt+x.prefillTokens(), load.Requests+1)
	return iteration <= x.route.GapAim && !now.Add(firstEvent+x.errorMargin()).After(latest)
}

// errorMargin is the margin for errors of the estimated time to the first event.
func (x *exchange) errorMargin() time.Duration {
	usual := x.dispatchDelay.deviation
	if !x.overloaded {
		return usual
	}
	atIdleGroup := x.route.Aim - x.dispatchDelay.mean - x.idleFirstEvent
	return max(usual, min(overloadMargin*usual, time.Duration(maxOverloadMargin*float64(atIdleGroup))))
}

// leavesClaim reports whether t, with this request, has capacity for the more urgent requests that arrive until its first event. An idle
// group always has.
func (x *exchange) leavesClaim(t *target, load estimate.Load) bool {
	if load.Requests == 0 && load.PendingPrompt == 0 {
		return true
	}
	if x.claim.Contended {
		return false
	}
	needs := &x.claim.Reserve
	delay := x.dispatchDelay.mean + x.dispatchDelay.deviation
	// An aim that an idle group does not meet is extended as in setAimDeadline.
	aim := max(needs.Aim, t.timing.FirstEvent(estimate.Load{}, needs.Prompt)+x.dispatchDelay.mean+time.Duration(longPromptSlack*float64(needs.Aim)))
	load.PendingPrompt += x.prefillTokens()
	load.Requests++
	iteration := t.timing.IterationTime(0, load.Requests)
	firstEvent := t.timing.FirstEvent(load, 0)
	expected := needs.Rate * firstEvent.Seconds() / float64(len(x.s.index.targets(x.service, x.model)))
	load.PendingPrompt += ident.Tokens(expected * float64(needs.Prompt))
	load.Requests += int(expected)
	// The estimate has half of the running iteration, but a request that arrives at its start waits for all of it.
	latestFirstEvent := t.timing.FirstEvent(load, needs.Prompt) + iteration/2
	gap := t.timing.IterationTime(load.PendingPrompt+needs.Prompt, load.Requests+1) + x.dispatchDelay.deviation
	return load.Requests < t.slots && latestFirstEvent+delay <= aim && (needs.GapAim == 0 || gap <= needs.GapAim)
}

// leavesCapacity reports whether t would have capacity left for other requests beside this one.
func (x *exchange) leavesCapacity(t *target, load estimate.Load) bool {
	// The first event takes one and a half iterations on average: half of the running one and the whole next one.
	maxIteration := min(x.route.GapAim, (x.route.Aim-x.dispatchDelay.mean-x.dispatchDelay.deviation)*2/3)
	iteration := t.timing.IterationTime(load.PendingPrompt+x.prefillTokens(), load.Requests+1)
	return load.Requests < t.slots && float64(iteration) <= lateIterationFraction*float64(maxIteration)
}

// hadSpareCapacity reports whether the target of a request had capacity for a late request.
func (s *Relay) hadSpareCapacity(x *exchange, t *choice) bool {
	return t.firstEvent == 0 || x.route.GapAim == 0 || x.leavesCapacity(t.target, t.knownLoad)
}

// reserve counts the request at t and notifies the other entries. At an upstream with a limit this is done once the request has a permit.
// The mutex is held.
func (s *Relay) reserve(x *exchange, t *choice) {
	if !t.limited {
		s.countAtTarget(x, t)
	}
}

// countAtTarget counts the request at t and notifies the other entries; the mutex is held.
func (s *Relay) countAtTarget(x *exchange, t *choice) {
	x.countedAtTarget = true
	x.pendingTokens = x.prefillTokens()
	state, now := s.stateOf(t.target), s.Now()
	if t.firstEvent > 0 && t.inSubset {
		t.countedRequests = state.inflight + s.countedRequests(t.target, now)
	}
	state.batch.AddOwn(&t.timing, now, state.inflight, x.pendingTokens)
	state.addRequest(now, x.pendingTokens)
	x.backoffProbe = s.Backoff.BeginProbe(now, t.id)
	if x.pendingTokens > 0 {
		s.SendUpdate(EntryUpdate{Head: t.id, PromptTokens: x.pendingTokens, AnswerTokens: x.remainingAnswer()}, t.users)
	}
	if !t.inSubset {
		// Streams that continue, and entries whose subset has no group of the model, need no credit.
		s.peerCounts.spillCredit[x.model] = max(0, s.peerCounts.spillCredit[x.model]-1)
	}
}

// cancelReservation undoes reserve.
func (x *exchange) cancelReservation(t *choice) {
	x.settleWork(0)
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

// dropUndeclaredClasses drops the typical waits and answer times of classes that the configuration no longer declares; the mutex is held.
func (s *Relay) dropUndeclaredClasses(cfg *httproute.Config) {
	declared := map[ident.Class]bool{}
	for i := range cfg.Routes {
		declared[cfg.Routes[i].Name] = true
	}
	maps.DeleteFunc(s.typicalWaits, func(class ident.Class, _ *overload.TypicalWait) bool { return !declared[class] })
	maps.DeleteFunc(s.answerTimes, func(key answerTimeKey, _ *answerTime) bool { return !declared[key.class] })
}

// estimatePriorElapsed estimates how long the caller has spent on earlier attempts, from how long callers of its class typically say they
// wait and how long this one says it waits.
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
