package relay

// A target's score is the time to the first word there in parts of the aim, or
// the load of a plain worker; the pace at which its events come, failures seen
// lately, and a little for another hall. What other entries have there is known
// from their news, or from the leader two tenths of a second late; news may be
// lost, and at a large site only some arrive. So an entry does not take the best
// target, which would be everyone's, but the better one of two drawn at random.

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
	// otherHallPenalty stands for the bytes between halls, in parts of the aim, or of a full plain worker.
	otherHallPenalty = 0.08
	// failureRateWeight weighs the share of failures, eventGapWeight the pause between events against the route's aim.
	failureRateWeight = 3.0
	eventGapWeight    = 0.6
	// noReportPenalty puts an upstream that does not report behind those that do.
	noReportPenalty = 0.5
	// crossDomainSlowdown is how many times slower a group across domains is taken to be when the engine does not say.
	crossDomainSlowdown = 3.0
	// limitedTolerance is how much worse an upstream with a limit may be than the one that is chosen in its place.
	limitedTolerance = 0.1
	// suspectPenalty puts a target that failed a moment ago behind all others.
	suspectPenalty = 100
	// engineQueuePerSlot is the part of the slots that may wait at an engine beyond those that it works on.
	engineQueuePerSlot = 0.2
	// plainQueuePerSlot is the same for a plain worker, in requests for each slot.
	plainQueuePerSlot = 1.0
)

type candidate struct {
	*target
	score       float64
	utilization float64
	// firstEvent is the time to the first word by the estimate, 0 where there is none; at is what it was worked out from.
	firstEvent time.Duration
	knownLoad  estimate.Load
	// hasCapacity is set when there is room, spared when the upstream asked other entries for time, limited when it has named a limit.
	hasCapacity   bool
	deprioritized bool
	limited       bool
}

// choice is where a request goes next.
type choice struct {
	candidate
	// maxPermitWait is how long it waits for its turn at an upstream with a limit, waits is set where it has nowhere else to go.
	maxPermitWait time.Duration
	mustWait      bool
	// availableIn is, where there is no target, or one to wait for, how long until the first one takes requests again, 0 when that is not known;
	// rate is then how many requests a second can be expected within limits.
	availableIn  time.Duration
	expectedRate ratelimit.Rate
}

// targets returns where a request for service and model can go.
func (f *targetIndex) targets(s *httproute.Service, model ident.Model) []target {
	if s.Engine == nil {
		return f.plainTargets[s.Name]
	}
	return f.groupTargets[s.Name][model]
}

// choose picks a target that was not tried yet and has room for a request of that rank, or says why there is none; the mutex is held.
func (s *Relay) choose(x *exchange, rank overload.Rank, now time.Time) (choice, error) {
	targets := s.index.targets(x.service, x.model)
	c := &s.candidates
	c.reset()
	full := 0
	var unavail unavailable
	var availability ratelimit.Availability
	hasLimits := s.Limits.HasLimits()
	for i := range targets {
		t := &targets[i]
		if !x.regionAllowed(t) {
			unavail.outsideRegion++
			continue
		}
		// Whoever asked for time was overrun, and gets nothing in it.
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
		c.add(scored)
	}
	tier := c.bestTier()
	if len(tier) == 0 {
		return s.waitOrFail(x, targets, full, &unavail, now)
	}
	x.skippedUpstreams = unavail.total()
	if tier[0].inSubset && s.entries != nil && !s.entries.AllUseAll() {
		return choice{candidate: lowestScore(tier), maxPermitWait: ratelimit.MaxWaitWithAlternatives}, nil
	}
	return choice{candidate: preferLimited(tier, s.betterOfTwo(tier)), maxPermitWait: ratelimit.MaxWaitWithAlternatives}, nil
}

// waitOrFail is the choice where no target takes the request now: it can wait for its turn at one with a limit, if there is any.
func (s *Relay) waitOrFail(x *exchange, targets []target, full int, unavail *unavailable, now time.Time) (choice, error) {
	fallback := choice{availableIn: unavail.soonest, expectedRate: unavail.limitRate}
	if t := s.soonestLimitedTarget(x, targets, now); t != nil && full == 0 {
		s.stateOf(t)
		fallback.target, fallback.limited, fallback.mustWait = t, true, true
		return fallback, nil
	}
	return fallback, noTargetError(len(targets), full, unavail)
}

// soonestLimitedTarget returns the upstream with a limit that may take a request soonest, of those that have not said that they can't take this one in
// time.
func (s *Relay) soonestLimitedTarget(x *exchange, targets []target, now time.Time) *target {
	var next *target
	var soonest time.Duration
	for i := range targets {
		id := targets[i].id
		availability := s.Limits.Availability(now, id)
		if !availability.Limited || !x.regionAllowed(&targets[i]) || x.wasAttempted(id) || x.noPermitAt[id] || s.Backoff.StateOf(now, id).Remaining > 0 {
			continue
		}
		if next == nil || availability.Remaining < soonest {
			next, soonest = &targets[i], availability.Remaining
		}
	}
	return next
}

// mayUseCapacity reports whether the request may take room of a target that this entry does not use: a stream that has begun goes on wherever it
// can. The mutex is held.
func (s *Relay) mayUseCapacity(x *exchange, t *target) bool {
	return t.inSubset || x.eventCount > 0 || x.service.Engine == nil || s.peerCounts.spillCredit[x.model] >= 1 || !s.index.usedModels[x.model]
}

// preferLimited returns an upstream with a limit that is hardly worse than the chosen one, if there is any. What it takes is little and can't be
// saved up: if it were tried only as often as others are, a part of it would be lost while the others do its work.
func preferLimited(list []candidate, chosen candidate) candidate {
	for i := range list {
		if list[i].limited && list[i].score <= chosen.score+limitedTolerance && !chosen.limited {
			chosen = list[i]
		}
	}
	return chosen
}

// lowestScore returns the target with the lowest score: where an entry uses a few groups and hears of all that others send there, the
// best one is not the best for everybody.
func lowestScore(list []candidate) candidate {
	best := 0
	for i := range list {
		if list[i].score < list[best].score {
			best = i
		}
	}
	return list[best]
}

// candidates are the targets of one choice that are not full; the lists are used again for the next one. Elsewhere are those with
// room that this entry does not use, spared those with room that asked other entries for time.
type candidates struct {
	withCapacity, outsideSubset, deprioritized, atCapacity, suspect []candidate
}

func (c *candidates) reset() {
	c.withCapacity, c.outsideSubset, c.deprioritized, c.atCapacity, c.suspect = c.withCapacity[:0], c.outsideSubset[:0], c.deprioritized[:0], c.atCapacity[:0], c.suspect[:0]
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

// bestTier returns those with room, or else all that are sound, or else those that failed a moment ago.
func (c *candidates) bestTier() []candidate {
	for _, list := range [][]candidate{c.withCapacity, c.outsideSubset, c.deprioritized, c.atCapacity} {
		if len(list) > 0 {
			return list
		}
	}
	return c.suspect
}

// betterOfTwo draws two different targets and returns the one with the lower score.
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

// hasQueueSpace reports whether a target takes one more request: it has slots and a queue, and each request needs a connection of its own.
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

// regionAllowed reports whether the homes of the route and of the customer allow the region of a target.
func (x *exchange) regionAllowed(t *target) bool {
	return homesInclude(x.route.Homes, x.s.Regions[t.hall]) && (x.customer == nil || homesInclude(x.customer.Homes, x.s.Regions[t.hall]))
}

// homesInclude reports whether a region is among the homes, or there are none.
func homesInclude(homes []ident.Region, region ident.Region) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

func noTargetError(total, full int, unavail *unavailable) error {
	switch {
	case total > 0 && unavail.outsideRegion == total:
		return result.New(result.OutOfHome, "all %d upstreams are in regions where the request may not go", total)
	case full > 0 && unavail.total() > 0:
		return result.New(result.Overloaded, "%d upstreams are full, %d want nothing", full, unavail.total())
	case full > 0:
		return result.New(result.Overloaded, "all %d upstreams are full", full)
	case unavail.limited > 0:
		return result.New(result.Limited, "%d of %d upstreams take nothing more within their limits, %d want nothing yet, the first for another %v",
			unavail.limited, total, unavail.backedOff, unavail.soonest)
	case unavail.backedOff > 0:
		return result.New(result.BackedOff, "%d of %d upstreams want nothing yet, the first for another %v", unavail.backedOff, total, unavail.soonest)
	case unavail.leaving > 0:
		return result.New(result.NoWholeGroup, "the last %d upstreams leave", unavail.leaving)
	case total > 0:
		return result.New(result.NoWholeGroup, "every upstream was tried")
	}
	return result.New(result.NoWholeGroup, "no upstream serves this")
}

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
	if now.Before(ts.suspectUntil) || s.unresponsive(ts, now) || !ts.suspectedAt.IsZero() && now.Sub(ts.suspectedAt) < suspicionInterval {
		score += suspectPenalty
	}
	hasCapacity := x.hasCapacityAt(t, rank, knownLoad, firstEvent, now)
	return candidate{target: t, score: score, utilization: utilization, firstEvent: firstEvent, knownLoad: knownLoad, hasCapacity: hasCapacity, deprioritized: now.Before(ts.peerBackoffUntil)}
}

// waitScore is the time to the first word in parts of the route's aim. Where the engine does not publish its figures, and at
// plain workers, the load stands for it.
func (x *exchange) waitScore(t *target, firstEvent time.Duration, utilization float64) float64 {
	if firstEvent > 0 {
		return x.fractionOfAim(firstEvent)
	}
	if t.crossDomain || t.hasSlowMember {
		return groupSlowdown(x.service) * (utilization + 1/float64(max(1, t.slots)))
	}
	return utilization
}

// fractionOfAim returns d in parts of the route's aim.
func (x *exchange) fractionOfAim(d time.Duration) float64 {
	return float64(d) / float64(cmp.Or(x.route.Aim, defaultAim))
}

// defaultAim stands for the aim of a route that declares none.
const defaultAim = time.Second

// groupSlowdown is how many times slower a group across domains is, or one with a member that is slow.
func groupSlowdown(s *httproute.Service) float64 {
	if s.Engine != nil && s.Engine.FarFactor > 0 {
		return s.Engine.FarFactor
	}
	return crossDomainSlowdown
}

// unresponsive reports whether requests wait there for longer than an engine that works would let them, here or at enough entries.
func (s *Relay) unresponsive(ts *targetState, now time.Time) bool {
	return ts.waitWithoutProgress(now) > silenceLimit || s.declaredStalled(ts, now)
}

// stateOf returns what is known of a target, which is looked for once: a choice asks several times for each of hundreds.
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
