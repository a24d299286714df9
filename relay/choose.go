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
	// otherHallScore stands for the bytes between halls, in parts of the aim, or of a full plain worker.
	otherHallScore = 0.08
	// failureScore weighs the share of failures, slowScore the pause between events against the route's aim.
	failureScore = 3.0
	slowScore    = 0.6
	// silentScore puts an upstream that does not report behind those that do.
	silentScore = 0.5
	// farFactor is how many times slower a group across domains is taken to be when the engine does not say.
	farFactor = 3.0
	// limitScore is how much worse an upstream with a limit may be than the one that is chosen in its place.
	limitScore = 0.1
	// suspectScore puts a target that failed a moment ago behind all others.
	suspectScore = 100
	// queuePart is the part of the slots that may wait at an engine beyond those that it works on.
	queuePart = 0.2
	// plainQueue is the same for a plain worker, in requests for each slot.
	plainQueue = 1.0
)

type scored struct {
	*target
	score float64
	load  float64
	// first is the time to the first word by the estimate, 0 where there is none; at is what it was worked out from.
	first time.Duration
	at    estimate.Load
	// fits is set when there is room, spared when the upstream asked other entries for time, limited when it has named a limit.
	fits    bool
	spared  bool
	limited bool
}

// choice is where a request goes next.
type choice struct {
	scored
	// patience is how long it waits for its turn at an upstream with a limit, waits is set where it has nowhere else to go.
	patience time.Duration
	waits    bool
	// free is, where there is no target, or one to wait for, how long until the first one takes requests again, 0 when that is not known;
	// rate is then how many requests a second can be expected within limits.
	free time.Duration
	rate ratelimit.Rate
}

// targets returns where a request for service and model can go.
func (f *fleet) targets(s *httproute.Service, model ident.Model) []target {
	if s.Engine == nil {
		return f.plain[s.Name]
	}
	return f.groups[s.Name][model]
}

// choose picks a target that was not tried yet and has room for a request of that rank, or says why there is none; the mutex is held.
func (s *Relay) choose(x *exchange, rank overload.Rank, now time.Time) (choice, error) {
	list := s.fleet.targets(x.service, x.model)
	c := &s.candidates
	c.reset()
	full := 0
	var away away
	var gate ratelimit.Gate
	limits := s.Limits.Any()
	for i := range list {
		t := &list[i]
		if !x.mayGoTo(t) {
			away.elsewhere++
			continue
		}
		// Whoever asked for time was overrun, and gets nothing in it.
		asked := s.Backoff.Of(now, t.id)
		if limits {
			gate = s.Limits.Of(now, t.id)
		}
		if away.add(asked) || away.limit(gate) || x.wasTried(t.id) {
			continue
		}
		rated := s.rate(x, t, rank, now)
		if !asked.Admits() || !x.hasRoom(&rated) {
			full++
			continue
		}
		rated.fits = rated.fits && s.mayFill(x, t)
		rated.limited = gate.Limited
		c.add(rated)
	}
	best := c.best()
	if len(best) == 0 {
		return s.turnless(x, list, full, &away, now)
	}
	x.passedOver = away.number()
	if best[0].known && s.entries != nil && !s.entries.Together() {
		return choice{scored: lowest(best), patience: ratelimit.Patience}, nil
	}
	return choice{scored: withLimits(best, s.betterOfTwo(best)), patience: ratelimit.Patience}, nil
}

// turnless is the choice where no target takes the request now: it can wait for its turn at one with a limit, if there is any.
func (s *Relay) turnless(x *exchange, list []target, full int, away *away, now time.Time) (choice, error) {
	none := choice{free: away.soonest, rate: away.rate}
	if t := s.nextTurn(x, list, now); t != nil && full == 0 {
		s.stateOf(t)
		none.target, none.limited, none.waits = t, true, true
		return none, nil
	}
	return none, noTarget(len(list), full, away)
}

// nextTurn returns the upstream with a limit that may take a request soonest, of those that have not said that they can't take this one in
// time.
func (s *Relay) nextTurn(x *exchange, list []target, now time.Time) *target {
	var next *target
	var soonest time.Duration
	for i := range list {
		id := list[i].id
		gate := s.Limits.Of(now, id)
		if !gate.Limited || !x.mayGoTo(&list[i]) || x.wasTried(id) || x.noTurn[id] || s.Backoff.Of(now, id).Left > 0 {
			continue
		}
		if next == nil || gate.Left < soonest {
			next, soonest = &list[i], gate.Left
		}
	}
	return next
}

// mayFill reports whether the request may take room of a target that this entry does not use: a stream that has begun goes on wherever it
// can. The mutex is held.
func (s *Relay) mayFill(x *exchange, t *target) bool {
	return t.known || x.events > 0 || x.service.Engine == nil || s.counts.spill[x.model] >= 1 || !s.fleet.uses[x.model]
}

// withLimits returns an upstream with a limit that is hardly worse than the chosen one, if there is any. What it takes is little and can't be
// saved up: if it were tried only as often as others are, a part of it would be lost while the others do its work.
func withLimits(list []scored, chosen scored) scored {
	for i := range list {
		if list[i].limited && list[i].score <= chosen.score+limitScore && !chosen.limited {
			chosen = list[i]
		}
	}
	return chosen
}

// lowest returns the target with the lowest score: where an entry uses a few groups and hears of all that others send there, the
// best one is not the best for everybody.
func lowest(list []scored) scored {
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
	roomy, elsewhere, spared, crowded, suspect []scored
}

func (c *candidates) reset() {
	c.roomy, c.elsewhere, c.spared, c.crowded, c.suspect = c.roomy[:0], c.elsewhere[:0], c.spared[:0], c.crowded[:0], c.suspect[:0]
}

func (c *candidates) add(t scored) {
	switch {
	case t.score >= suspectScore:
		c.suspect = append(c.suspect, t)
	case t.fits && t.spared:
		c.spared = append(c.spared, t)
	case t.fits && t.known:
		c.roomy = append(c.roomy, t)
	case t.fits:
		c.elsewhere = append(c.elsewhere, t)
	default:
		c.crowded = append(c.crowded, t)
	}
}

// best returns those with room, or else all that are sound, or else those that failed a moment ago.
func (c *candidates) best() []scored {
	for _, list := range [][]scored{c.roomy, c.elsewhere, c.spared, c.crowded} {
		if len(list) > 0 {
			return list
		}
	}
	return c.suspect
}

// betterOfTwo draws two different targets and returns the one with the lower score.
func (s *Relay) betterOfTwo(list []scored) scored {
	first := s.Draw(len(list))
	if len(list) == 1 {
		return list[first]
	}
	second := s.Draw(len(list) - 1)
	if second >= first {
		second++
	}
	if list[second].score < list[first].score {
		return list[second]
	}
	return list[first]
}

// hasRoom reports whether a target takes one more request: it has slots and a queue, and each request needs a connection of its own.
func (x *exchange) hasRoom(r *scored) bool {
	if takes := x.service.MaxConnections; takes > 0 && r.at.Requests >= takes {
		return false
	}
	return r.load < 1+queueOf(x.service)
}

func queueOf(s *httproute.Service) float64 {
	if s.Engine == nil {
		return plainQueue
	}
	return queuePart
}

// mayGoTo reports whether the homes of the route and of the customer allow the region of a target.
func (x *exchange) mayGoTo(t *target) bool {
	return allows(x.route.Homes, x.s.Regions[t.hall]) && (x.customer == nil || allows(x.customer.Homes, x.s.Regions[t.hall]))
}

// allows reports whether a region is among the homes, or there are none.
func allows(homes []ident.Region, region ident.Region) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

func noTarget(known, full int, away *away) error {
	switch {
	case known > 0 && away.elsewhere == known:
		return result.New(result.OutOfHome, "all %d upstreams are in regions where the request may not go", known)
	case full > 0 && away.number() > 0:
		return result.New(result.Overloaded, "%d upstreams are full, %d want nothing", full, away.number())
	case full > 0:
		return result.New(result.Overloaded, "all %d upstreams are full", full)
	case away.limited > 0:
		return result.New(result.Limited, "%d of %d upstreams take nothing more within their limits, %d want nothing yet, the first for another %v",
			away.limited, known, away.backedOff, away.soonest)
	case away.backedOff > 0:
		return result.New(result.BackedOff, "%d of %d upstreams want nothing yet, the first for another %v", away.backedOff, known, away.soonest)
	case away.leaving > 0:
		return result.New(result.NoWholeGroup, "the last %d upstreams leave", away.leaving)
	case known > 0:
		return result.New(result.NoWholeGroup, "every upstream was tried")
	}
	return result.New(result.NoWholeGroup, "no upstream serves this")
}

func (s *Relay) rate(x *exchange, t *target, rank overload.Rank, now time.Time) scored {
	ts := s.stateOf(t)
	ts.calm(now)
	at := s.loadOf(t, now)
	load := float64(at.Requests) / float64(max(1, t.slots))
	first := t.times.FirstWord(at, x.toRead())
	score := x.waitScore(t, first, load)
	if t.hall != s.Hall {
		score += otherHallScore
	}
	if t.silent {
		score += silentScore
	}
	if aim := x.route.GapAim; aim > 0 {
		score += slowScore * float64(ts.gap) / float64(aim)
	}
	if ts.outcomes >= outcomesNeeded {
		score += failureScore * ts.failures
	}
	if now.Before(ts.suspect) || s.stands(ts, now) || !ts.suspected.IsZero() && now.Sub(ts.suspected) < suspectAgain {
		score += suspectScore
	}
	fits := x.fits(t, rank, at, first, now)
	return scored{target: t, score: score, load: load, first: first, at: at, fits: fits, spared: now.Before(ts.askedOthers)}
}

// waitScore is the time to the first word in parts of the route's aim. Where the engine does not publish its figures, and at
// plain workers, the load stands for it.
func (x *exchange) waitScore(t *target, first time.Duration, load float64) float64 {
	if first > 0 {
		return x.partOfAim(first)
	}
	if t.far || t.slow {
		return slowdown(x.service) * (load + 1/float64(max(1, t.slots)))
	}
	return load
}

// partOfAim returns d in parts of the route's aim.
func (x *exchange) partOfAim(d time.Duration) float64 {
	return float64(d) / float64(cmp.Or(x.route.Aim, usualAim))
}

// usualAim stands for the aim of a route that declares none.
const usualAim = time.Second

// slowdown is how many times slower a group across domains is, or one with a member that is slow.
func slowdown(s *httproute.Service) float64 {
	if s.Engine != nil && s.Engine.FarFactor > 0 {
		return s.Engine.FarFactor
	}
	return farFactor
}

// stands reports whether requests wait there for longer than an engine that works would let them, here or at enough entries.
func (s *Relay) stands(ts *targetState, now time.Time) bool {
	return ts.silence(now) > stallSuspect || s.stalled(ts, now)
}

// stateOf returns what is known of a target, which is looked for once: a choice asks several times for each of hundreds.
func (s *Relay) stateOf(t *target) *targetState {
	if t.state == nil {
		t.state = s.state(t.id)
	}
	return t.state
}

func (s *Relay) state(id ident.Incarnation) *targetState {
	ts := s.states[id]
	if ts == nil {
		ts = &targetState{followers: map[*follower]struct{}{}}
		s.states[id] = ts
	}
	return ts
}
