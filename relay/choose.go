package relay

// A target's score is the estimated time to the first event as a fraction of the
// route's aim, or the utilization of a plain worker. Slow events, recent failures
// and a different hall add to the score; the lowest score wins.
//
// The load that other entries put on a target is known from their updates, some
// of which are lost or, at a large site, not sent to this entry, and from the
// leader's counts, which are 200 ms old. If every entry chose the best target,
// all would choose the same one, so an entry chooses the better of two random
// targets.

import (
	"cmp"
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/estimate"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/overload"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/result"
)

const (
	// otherHallPenalty is the cost of traffic between halls, as a fraction of the aim, or of the slots of a plain worker.
	otherHallPenalty = 0.08
	// failureRateWeight weights the failure rate, eventGapWeight the average event gap as a fraction of the route's gap aim.
	failureRateWeight = 3.0
	eventGapWeight    = 0.6
	// noReportPenalty ranks upstreams that send no reports behind those that do.
	noReportPenalty = 0.5
	// crossDomainSlowdown is the assumed slowdown of a group across domains whose engine declares none.
	crossDomainSlowdown = 3.0
	// limitedTolerance is how much worse than the chosen target an upstream with a limit may score and still be preferred.
	limitedTolerance = 0.1
	// suspectPenalty ranks targets that failed recently or are suspected behind all others.
	suspectPenalty = 100
	// engineQueuePerSlot is how many requests may queue at an engine for each of its slots.
	engineQueuePerSlot = 0.2
	// plainQueuePerSlot is the same for a plain worker.
	plainQueuePerSlot = 1.0
)

// candidate is a target with its score for one request.
type candidate struct {
	*target
	score float64
	// utilization is the number of requests for each slot.
	utilization float64
	// firstEvent is the estimated time to the first event at knownLoad, 0 where there is no estimate.
	firstEvent time.Duration
	knownLoad  estimate.Load
	// hasCapacity is set when the target has capacity for a request of its rank, deprioritized when the upstream requested a backoff
	// from another entry, limited when the upstream advertised a limit.
	hasCapacity   bool
	deprioritized bool
	limited       bool
}

// choice is the target chosen for a request.
type choice struct {
	candidate
	// maxPermitWait is how long the request may wait for a permit of an upstream with a limit, mustWait is set when no other target is
	// available.
	maxPermitWait time.Duration
	mustWait      bool
	// availableIn and expectedRate are set when no target is available now: the time until the first one is, 0 if unknown, and the
	// requests per second that this entry can expect within all limits.
	availableIn  time.Duration
	expectedRate ratelimit.Rate
	// countedRequests are the requests at a group by the leader's counts, for the record.
	countedRequests int
}

// targets returns the targets that serve a model of a service.
func (f *targetIndex) targets(s *httproute.Service, model ident.Model) []target {
	if s.Engine == nil {
		return f.plainTargets[s.Name]
	}
	return f.groupTargets[s.Name][model]
}

// choose returns a target that was not attempted yet and has capacity for a request of that rank, or an error that says why there is
// none; the mutex is held.
func (s *Relay) choose(x *exchange, rank overload.Rank, now time.Time) (choice, error) {
	targets := s.index.targets(x.service, x.model)
	full, unavail := s.collectCandidates(x, targets, rank, now)
	c := &s.candidates
	tier := c.bestTier()
	x.suspectTargets, x.knownTargets, x.unreachableTargets = len(c.suspect), len(targets), unavail.unreachable
	x.lacksPath = unavail.unreachable > 0 && len(tier) == 0 && full+unavail.backedOff+unavail.limited == 0
	if len(tier) == 0 {
		return s.waitOrFail(x, targets, full, &unavail, now)
	}
	x.skippedUpstreams = unavail.total()
	if tier[0].inSubset && s.entries != nil && !s.entries.AllUseAll() {
		return choice{candidate: lowestScore(tier), maxPermitWait: ratelimit.MaxWaitWithAlternatives}, nil
	}
	return choice{candidate: preferLimited(tier, s.betterOfTwo(tier)), maxPermitWait: ratelimit.MaxWaitWithAlternatives}, nil
}

// collectCandidates sets the candidates to the targets that can take the request, and counts the others; the mutex is held.
func (s *Relay) collectCandidates(x *exchange, targets []target, rank overload.Rank, now time.Time) (full int, unavail unavailable) {
	s.candidates.reset()
	var availability ratelimit.Availability
	hasLimits, avoidsUnreachable := s.Limits.HasLimits(), x.avoidsUnreachable()
	for i := range targets {
		t := &targets[i]
		if !x.regionAllowed(t) {
			unavail.outsideRegion++
			continue
		}
		if avoidsUnreachable && s.stateOf(t).unreachable {
			unavail.unreachable++
			continue
		}
		// An upstream that requested a backoff is overloaded and gets no request until the backoff ends.
		backoffState := s.Backoff.StateOf(now, t.id)
		if hasLimits {
			availability = s.Limits.Availability(now, t.id)
		}
		if unavail.addBackoff(backoffState) || unavail.addLimit(availability) || x.wasAttempted(t.id) {
			continue
		}
		scored := s.scoreTarget(x, t, rank, now)
		if !backoffState.Admits() || !x.hasQueueSpace(&scored) {
			full++
			continue
		}
		scored.hasCapacity = scored.hasCapacity && s.mayUseCapacity(x, t)
		scored.limited = availability.Limited
		s.candidates.add(scored)
	}
	return full, unavail
}

// waitOrFail returns the choice for a request that no target can take now: an upstream with a limit to wait for, or else an error.
func (s *Relay) waitOrFail(x *exchange, targets []target, full int, unavail *unavailable, now time.Time) (choice, error) {
	fallback := choice{availableIn: unavail.soonest, expectedRate: unavail.limitRate}
	if t := s.soonestLimitedTarget(x, targets, now); t != nil && full == 0 {
		s.stateOf(t)
		fallback.target, fallback.limited, fallback.mustWait = t, true, true
		return fallback, nil
	}
	return fallback, noTargetError(len(targets), full, unavail)
}

// soonestLimitedTarget returns the upstream with a limit that is available soonest, without those that denied this request a permit.
func (s *Relay) soonestLimitedTarget(x *exchange, targets []target, now time.Time) *target {
	var next *target
	var soonest time.Duration
	for i := range targets {
		id := targets[i].id
		availability := s.Limits.Availability(now, id)
		if s.stateOf(&targets[i]).unreachable && x.avoidsUnreachable() {
			continue
		}
		if !availability.Limited || !x.regionAllowed(&targets[i]) || x.wasAttempted(id) || x.noPermitAt[id] || s.Backoff.StateOf(now, id).Remaining > 0 {
			continue
		}
		if next == nil || availability.Remaining < soonest {
			next, soonest = &targets[i], availability.Remaining
		}
	}
	return next
}

// mayUseCapacity reports whether the request may be sent to a target with capacity: outside this entry's subset only if the request
// continues a stream, spill credit is left, or the subset has no group of the model. The mutex is held.
func (s *Relay) mayUseCapacity(x *exchange, t *target) bool {
	return t.inSubset || x.eventCount > 0 || x.service.Engine == nil || s.peerCounts.spillCredit[x.model] >= 1 || !s.index.usedModels[x.model]
}

// preferLimited returns an upstream with a limit whose score is close to that of the chosen target, or else the chosen target. Unused
// permits are lost, so an upstream chosen only as often as others would not receive all requests that its limit allows.
func preferLimited(list []candidate, chosen candidate) candidate {
	for i := range list {
		if list[i].limited && list[i].score <= chosen.score+limitedTolerance && !chosen.limited {
			chosen = list[i]
		}
	}
	return chosen
}

// lowestScore returns the target with the lowest score. This is used within a subset, where this entry receives the updates of all
// entries that share a group and entries with other subsets have another best target.
func lowestScore(list []candidate) candidate {
	best := 0
	for i := range list {
		if list[i].score < list[best].score {
			best = i
		}
	}
	return list[best]
}

// candidates are the targets of one choice that are not full; the slices are reused for the next choice. The targets in withCapacity,
// outsideSubset and deprioritized have capacity: those of this entry's subset, those outside it, and those that requested a backoff
// from another entry.
type candidates struct {
	withCapacity, outsideSubset, deprioritized, atCapacity, suspect []candidate
}

func (c *candidates) reset() {
	c.withCapacity, c.outsideSubset, c.deprioritized, c.atCapacity, c.suspect =
		c.withCapacity[:0], c.outsideSubset[:0], c.deprioritized[:0], c.atCapacity[:0], c.suspect[:0]
}

func (c *candidates) add(t candidate) {
	switch {
	case t.score >= suspectPenalty:
		c.suspect = append(c.suspect, t)
	case t.hasCapacity && t.deprioritized:
		c.deprioritized = append(c.deprioritized, t)
	case t.hasCapacity && t.inSubset:
		c.withCapacity = append(c.withCapacity, t)
	case t.hasCapacity:
		c.outsideSubset = append(c.outsideSubset, t)
	default:
		c.atCapacity = append(c.atCapacity, t)
	}
}

// bestTier returns the first non-empty list: targets with capacity, targets at capacity, and last the suspect ones.
func (c *candidates) bestTier() []candidate {
	for _, list := range [][]candidate{c.withCapacity, c.outsideSubset, c.deprioritized, c.atCapacity} {
		if len(list) > 0 {
			return list
		}
	}
	return c.suspect
}

// betterOfTwo returns the target with the lower score of two different random ones.
func (s *Relay) betterOfTwo(list []candidate) candidate {
	first := s.RandomInt(len(list))
	if len(list) == 1 {
		return list[first]
	}
	second := s.RandomInt(len(list) - 1)
	if second >= first {
		second++
	}
	if list[second].score < list[first].score {
		return list[second]
	}
	return list[first]
}

// hasQueueSpace reports whether a target can take one more request: both its queue and its connections are bounded, and each request
// needs a connection of its own.
func (x *exchange) hasQueueSpace(c *candidate) bool {
	if maxConns := x.service.MaxConnections; maxConns > 0 && c.knownLoad.Requests >= maxConns {
		return false
	}
	return c.utilization < 1+queuePerSlot(x.service)
}

func queuePerSlot(s *httproute.Service) float64 {
	if s.Engine == nil {
		return plainQueuePerSlot
	}
	return engineQueuePerSlot
}

// regionAllowed reports whether the homes of the route and of the customer include the region of a target.
func (x *exchange) regionAllowed(t *target) bool {
	return homesInclude(x.route.HomeRegions, x.s.Regions[t.hall]) && (x.customer == nil || homesInclude(x.customer.HomeRegions, x.s.Regions[t.hall]))
}

// homesInclude reports whether a region is among the homes; without homes every region is.
func homesInclude(homes []ident.Region, region ident.Region) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// noTargetError returns the error for a request that none of total targets can take, of which full are full.
func noTargetError(total, full int, unavail *unavailable) error {
	switch {
	case total > 0 && unavail.outsideRegion == total:
		return result.New(result.OutOfHome, "all %d upstreams are outside the home regions of the request", total)
	case full > 0 && unavail.total() > 0:
		return result.New(result.Overloaded, "%d upstreams are full, %d accept no requests now", full, unavail.total())
	case full > 0:
		return result.New(result.Overloaded, "all %d upstreams are full", full)
	case unavail.limited > 0:
		return result.New(result.Limited, "%d of %d upstreams are at their limits, %d are backed off; the first is available in %v",
			unavail.limited, total, unavail.backedOff, unavail.soonest)
	case unavail.backedOff > 0:
		return result.New(result.BackedOff, "%d of %d upstreams are backed off; the first is available in %v", unavail.backedOff, total, unavail.soonest)
	case unavail.unreachable > 0:
		return result.New(result.NoWholeGroup, "%d of %d upstreams cannot be reached from this entry", unavail.unreachable, total)
	case unavail.leaving > 0:
		return result.New(result.NoWholeGroup, "the last %d upstreams are shutting down", unavail.leaving)
	case total > 0:
		return result.New(result.NoWholeGroup, "all upstreams were attempted")
	}
	return result.New(result.NoWholeGroup, "no upstream serves the requested model or service")
}

// scoreTarget rates t for the request; the mutex is held.
func (s *Relay) scoreTarget(x *exchange, t *target, rank overload.Rank, now time.Time) candidate {
	ts := s.stateOf(t)
	ts.decay(now)
	knownLoad := s.loadOf(t, now)
	utilization := float64(knownLoad.Requests) / float64(max(1, t.slots))
	firstEvent := t.timing.FirstEvent(knownLoad, x.prefillTokens())
	score := x.waitScore(t, firstEvent, utilization)
	if t.hall != s.Hall {
		score += otherHallPenalty
	}
	if t.silent {
		score += noReportPenalty
	}
	if aim := x.route.GapAim; aim > 0 {
		score += eventGapWeight * float64(ts.eventGap) / float64(aim)
	}
	if ts.outcomeCount >= minOutcomes {
		score += failureRateWeight * ts.failureRate
	}
	if ts.unreachable || now.Before(ts.suspectUntil) || s.unresponsive(ts, now) || !ts.suspectedAt.IsZero() && now.Sub(ts.suspectedAt) < suspicionInterval {
		score += suspectPenalty
	}
	hasCapacity := x.hasCapacityAt(t, rank, knownLoad, firstEvent, now)
	return candidate{
		target: t, score: score, utilization: utilization, firstEvent: firstEvent, knownLoad: knownLoad, hasCapacity: hasCapacity,
		deprioritized: now.Before(ts.peerBackoffUntil),
	}
}

// waitScore returns the estimated time to the first event as a fraction of the route's aim, or the utilization where there is no
// estimate: at plain workers and engines that publish no timing figures.
func (x *exchange) waitScore(t *target, firstEvent time.Duration, utilization float64) float64 {
	if firstEvent > 0 {
		return x.fractionOfAim(firstEvent)
	}
	if t.crossDomain || t.hasSlowMember {
		return groupSlowdown(x.service) * (utilization + 1/float64(max(1, t.slots)))
	}
	return utilization
}

// fractionOfAim returns d as a fraction of the route's aim.
func (x *exchange) fractionOfAim(d time.Duration) float64 {
	return float64(d) / float64(cmp.Or(x.route.Aim, defaultAim))
}

// defaultAim replaces the aim of a route that declares none.
const defaultAim = time.Second

// groupSlowdown is how many times slower a group is that spans domains or has a slow member.
func groupSlowdown(s *httproute.Service) float64 {
	if s.Engine != nil && s.Engine.CrossDomainSlowdown > 0 {
		return s.Engine.CrossDomainSlowdown
	}
	return crossDomainSlowdown
}

// unresponsive reports whether requests of this entry have waited at the target for too long, or enough entries suspect the target.
func (s *Relay) unresponsive(ts *targetState, now time.Time) bool {
	return ts.waitWithoutProgress(now) > silenceLimit || s.declaredStalled(ts, now)
}

// stateOf returns the state of a target and caches it there, since a choice reads the state of hundreds of targets several times.
func (s *Relay) stateOf(t *target) *targetState {
	if t.state == nil {
		t.state = s.stateFor(t.id)
	}
	return t.state
}

func (s *Relay) stateFor(id ident.Incarnation) *targetState {
	ts := s.states[id]
	if ts == nil {
		ts = &targetState{forwarders: map[*forwarder]struct{}{}}
		s.states[id] = ts
	}
	return ts
}
