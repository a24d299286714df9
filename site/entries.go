package site

// What entries tell the leader with each call: what they saw of groups, how many
// requests they have at each upstream, and the work that was asked for. The
// leader puts it together and tells each entry of all others.

import (
	"time"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/replicaset"
)

// entryState is what an entry told with its newest call.
type entryState struct {
	at   time.Time
	hall ident.Hall
	seen []relay.Observation
}

// sights puts together what all entries saw of each group; the mutex is held.
func (r *leadership) sights(now time.Time) map[ident.Group]replicaset.Observation {
	sights := map[ident.Group]replicaset.Observation{}
	for _, g := range r.roster.Groups() {
		sights[g.Name] = replicaset.Observation{SinceLastResponse: neverAnswered}
	}
	for name, e := range r.entries {
		late := now.Sub(e.at)
		if late > entryAway {
			r.forgetEntry(name)
			r.demand.Forget(name)
			continue
		}
		for _, seen := range e.seen {
			if sight, ok := sights[seen.Group]; ok {
				sights[seen.Group] = merge(sight, &seen, late)
			}
		}
	}
	for name, sight := range sights {
		// A sign that any entry saw shows that the group works.
		sight.StalledFor = min(sight.StalledFor, sight.SinceLastResponse)
		sights[name] = sight
	}
	return sights
}

func merge(sight replicaset.Observation, seen *relay.Observation, late time.Duration) replicaset.Observation {
	if seen.Answered >= 0 {
		sight.SinceLastResponse = min(sight.SinceLastResponse, seen.Answered+late)
	}
	// What an entry did not tell since may have ended, so its silence does not grow with its own.
	sight.StalledFor = max(sight.StalledFor, seen.Silence)
	sight.ConnectionRefused = sight.ConnectionRefused || seen.Refused
	sight.StallConfirmed = sight.StallConfirmed || seen.Stands
	if seen.Blamed != "" {
		sight.BlamedMember = seen.Blamed
	}
	return sight
}

// note takes what an entry tells and returns how many entries there are.
func (r *leadership) note(call *SyncCall) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.entries[call.From]
	if !call.Entry {
		if old != nil {
			r.forgetEntry(call.From)
		}
		return r.sharers(clock.Now())
	}
	r.forgetSeen(old)
	now := clock.Now()
	if old == nil || old.hall != call.Hall {
		r.lists.stale = true
	}
	r.entries[call.From] = &entryState{now, call.Hall, call.Seen}
	r.rollout.hear(now, call.From, call.Version)
	r.drains.hear(now, call.From, call.Drains)
	r.paces.note(now, call.Seen)
	r.drainSeen(call)
	r.c.applyLimits(now, call)
	for id, words := range call.Unread {
		r.c.Unrecognized.AddNames(id, words)
	}
	for i := range call.Seen {
		seen := &call.Seen[i]
		r.countApart(seen, 1)
		r.totals[seen.ID] += seen.Inflight
	}
	r.countDemand(now, call)
	return r.sharers(now)
}

// sharers is how many entries there are, with those of the former leader that have not called yet; the mutex is held.
func (r *leadership) sharers(now time.Time) int {
	if r.rollout.arriving(now) {
		return r.rollout.expected
	}
	return len(r.entries)
}

// forgetEntry drops an entry that does not call any more; the mutex is held.
func (r *leadership) forgetEntry(name string) {
	r.forgetSeen(r.entries[name])
	delete(r.entries, name)
	r.rollout.forget(name)
	r.drains.forget(name)
	r.lists.stale = true
}

// forgetSeen takes an entry's requests out of the totals; the mutex is held.
func (r *leadership) forgetSeen(e *entryState) {
	if e == nil {
		return
	}
	for i := range e.seen {
		seen := &e.seen[i]
		r.countApart(seen, -1)
		r.totals[seen.ID] -= seen.Inflight
		if r.totals[seen.ID] <= 0 {
			delete(r.totals, seen.ID)
		}
	}
}

func (r *leadership) countDemand(now time.Time, call *SyncCall) {
	asked := map[ident.Model]ModelDemand{}
	for model, d := range call.Demand {
		r.served = true
		if w := r.work(model, d); w > 0 {
			asked[model] = ModelDemand{w, d.Requests} // callers may name any model, rates are kept for those that there are
		}
	}
	r.demand.Add(now, call.From, asked)
}

// work is the time that d takes of upstreams of the model, worked out from the engine's published figures.
func (r *leadership) work(model ident.Model, d relay.Demand) float64 {
	table := r.c.newestTable()
	if table == nil {
		return 0
	}
	for i := range table.Config.Services {
		e := table.Config.Services[i].Engine
		if e == nil {
			continue
		}
		if m, ok := e.Model(model); ok {
			return e.Work(m, d.Prompt, d.Answer)
		}
	}
	return 0
}
