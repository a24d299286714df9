package site

// Entries report to the leader with each call: the state of groups as they observed it, their requests in progress at
// each upstream, and the demand for each model. The leader merges the reports and sends each entry the sum over the
// others.

import (
	"time"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/replicaset"
)

// entryState is what an entry reported with its newest call.
type entryState struct {
	calledAt time.Time
	hall     ident.Hall
	observed []relay.Observation
	// answersSentAt is when the lengths of all entries' answers were last returned to the entry.
	answersSentAt time.Time
}

// groupObservations merges what all entries observed of each group; the mutex is held.
func (r *leadership) groupObservations(now time.Time) map[ident.Group]replicaset.Observation {
	observations := map[ident.Group]replicaset.Observation{}
	for _, g := range r.roster.Groups() {
		observations[g.Name] = replicaset.Observation{SinceLastResponse: noAnswerAge}
	}
	pinned := map[ident.Incarnation]int{}
	for name, e := range r.entries {
		callAge := now.Sub(e.calledAt)
		if callAge > entryTimeout {
			r.removeEntry(name)
			r.demand.Forget(name)
			continue
		}
		for _, seen := range e.observed {
			// Entries name only open groups.
			pinned[seen.ID] += seen.Pinned
			if observation, ok := observations[seen.Group]; ok {
				observations[seen.Group] = mergeObservation(observation, &seen, callAge)
			}
		}
	}
	for _, g := range r.roster.Groups() {
		observation := observations[g.Name]
		observation.Pinned = pinned[g.Head()]
		observations[g.Name] = observation
	}
	for name, observation := range observations {
		// Progress that any entry observed shows that the group works.
		observation.StalledFor = min(observation.StalledFor, observation.SinceLastResponse)
		observations[name] = observation
	}
	return observations
}

func mergeObservation(observation replicaset.Observation, seen *relay.Observation, callAge time.Duration) replicaset.Observation {
	if seen.Answered >= 0 {
		observation.SinceLastResponse = min(observation.SinceLastResponse, seen.Answered+callAge)
	}
	// The stall may have ended since the entry's last call, so it is not extended by the age of that call.
	observation.StalledFor = max(observation.StalledFor, seen.Silence)
	observation.ConnectionRefused = observation.ConnectionRefused || seen.Refused
	observation.StallConfirmed = observation.StallConfirmed || seen.Stands
	if seen.Blamed != "" {
		observation.BlamedMember = seen.Blamed
	}
	return observation
}

// applyCall applies what an entry reports and returns how many entries there are.
func (r *leadership) applyCall(call *SyncCall) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.entries[call.From]
	if !call.Entry {
		if previous != nil {
			r.removeEntry(call.From)
		}
		return r.entryCount(clock.Now())
	}
	r.subtractRequests(previous)
	now := clock.Now()
	if previous == nil || previous.hall != call.Hall {
		r.lists.stale = true
	}
	state := &entryState{calledAt: now, hall: call.Hall, observed: call.Seen}
	if previous != nil {
		state.answersSentAt = previous.answersSentAt
	}
	r.entries[call.From] = state
	r.starts.note(now, call.From, call.Uptime)
	r.configRollout.noteVersion(now, call.From, call.Version)
	r.drainRollout.noteVersion(now, call.From, call.Drains)
	r.slowdowns.addGaps(now, call.Seen)
	r.applyLeaving(call)
	r.control.applyLimits(now, call)
	for id, names := range call.Unread {
		r.control.Unrecognized.AddNames(id, names)
	}
	for i := range call.Seen {
		seen := &call.Seen[i]
		r.countLocalShares(seen, 1)
		r.totals[seen.ID] += seen.Inflight
	}
	r.addDemand(now, call)
	if call.Load != nil {
		r.load.Apply(now, call.From, call.Load)
	}
	return r.entryCount(now)
}

// entryCount returns how many entries there are, including those of the former leader that have not called yet; the
// mutex is held.
func (r *leadership) entryCount(now time.Time) int {
	if r.configRollout.awaitingEntries(now) {
		return r.configRollout.expectedEntries
	}
	return len(r.entries)
}

// newEntryFraction returns the fraction of the known entries that started within the window of the retry budget.
func (r *leadership) newEntryFraction(now time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts.fraction(now, len(r.entries))
}

// removeEntry removes an entry that has stopped calling; the mutex is held.
func (r *leadership) removeEntry(name string) {
	r.subtractRequests(r.entries[name])
	delete(r.entries, name)
	r.load.Forget(name)
	r.configRollout.removeEntry(name)
	r.drainRollout.removeEntry(name)
	r.lists.stale = true
}

// subtractRequests subtracts an entry's requests from the totals; the mutex is held.
func (r *leadership) subtractRequests(e *entryState) {
	if e == nil {
		return
	}
	for i := range e.observed {
		seen := &e.observed[i]
		r.countLocalShares(seen, -1)
		r.totals[seen.ID] -= seen.Inflight
		if r.totals[seen.ID] <= 0 {
			delete(r.totals, seen.ID)
		}
	}
}

func (r *leadership) addDemand(now time.Time, call *SyncCall) {
	demand := map[ident.Model]ModelDemand{}
	for model, d := range call.Demand {
		r.requestsSeen = true
		if seconds := r.upstreamSeconds(model, d); seconds > 0 {
			demand[model] = ModelDemand{seconds, d.Requests} // callers may name any model; only declared models are counted
		}
	}
	r.demand.Add(now, call.From, demand)
}

// upstreamSeconds returns the upstream time that the demand for a model needs, by the engine's declared figures.
func (r *leadership) upstreamSeconds(model ident.Model, d relay.Demand) float64 {
	table := r.control.newestTable()
	if table == nil {
		return 0
	}
	for i := range table.Config.Services {
		e := table.Config.Services[i].Engine
		if e == nil {
			continue
		}
		if m, ok := e.Model(model); ok {
			return e.UpstreamSeconds(m, d.Prompt, d.Answer)
		}
	}
	return 0
}
