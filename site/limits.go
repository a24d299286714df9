package site

// Entries tell each other of limits that upstreams name by datagrams. The leader
// passes them on as well: an entry that has just started would send an upstream
// what it likes until that tells it, and datagrams may be filtered.

import (
	"cmp"
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/sharing"
)

// limitTold is how old the word of an upstream may be that the leader passes on: an entry that has requests there hears it more often,
// and the end of a limit is not told.
const limitTold = 5 * time.Second

// LimitSummary is the limit of an upstream, how long ago it said so, and how many entries go by their own parts of it.
type LimitSummary struct {
	Rate  ratelimit.Rate
	Age   time.Duration
	Apart int
}

// applyLimits takes what upstreams told an entry of their limits.
func (c *Control) applyLimits(now time.Time, call *SyncCall) {
	for i := range call.Seen {
		// What an entry heard of others is not passed on: the time that it was on its way would make it look younger each time.
		if l := call.Seen[i].Limit; l != nil && l.Own {
			c.limits.Merge(call.Seen[i].ID, l.Rate, now.Add(-l.Said))
		}
	}
}

// limitUpdates returns the limits of which the leader has heard lately, and those of which entries take their own parts; nil where there
// are none.
func (r *leadership) limitUpdates(now time.Time) map[ident.Incarnation]LimitSummary {
	words := r.c.limits
	if words.Count() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	list := map[ident.Incarnation]LimitSummary{}
	words.Each(func(id ident.Incarnation, w ratelimit.Limit) {
		age, apart := now.Sub(w.LastSeen), r.apart[id]
		if w.Limited() && (age < limitTold || apart > 0) {
			list[id] = LimitSummary{w.Rate, age, apart}
		}
	})
	return list
}

// countApart counts the entries that go by their own parts of limits, by what one saw; the mutex is held.
func (r *leadership) countApart(seen *relay.Observation, n int) {
	if seen.Limit == nil || !seen.Limit.Apart {
		return
	}
	r.apart[seen.ID] += n
	if r.apart[seen.ID] <= 0 {
		delete(r.apart, seen.ID)
	}
}

// LimitState is the limit of an upstream, as operators see it.
type LimitState struct {
	// Limit is in requests a second, SinceMS is how long ago it was first named, SaidMS how long ago it was last.
	Limit   ratelimit.Rate `json:"limit"`
	SinceMS int64          `json:"since-ms"`
	SaidMS  int64          `json:"said-ms"`
	// Coordinator is the entry that lets requests go there.
	Coordinator string       `json:"coordinator"`
	Entries     []LimitShare `json:"entries"`
}

// LimitShare is what one entry gets of a limit.
type LimitShare struct {
	Entry string `json:"entry"`
	// ToldMS is how long ago the upstream named the limit to this entry, -1 when others did.
	ToldMS int64 `json:"told-ms"`
	// Lately is how many requests were let go in the last ten seconds, the others are since the entry knows of the limit.
	Lately     int `json:"lately"`
	Granted    int `json:"granted"`
	Refused    int `json:"refused"`
	Unanswered int `json:"unanswered"`
	// Apart is set when it can't reach the coordinator and goes by its own part, Own is how many it has sent by that.
	Apart bool `json:"apart"`
	Own   int  `json:"own"`
}

// limitStates returns the limits of upstreams by the newest calls of all entries; the mutex is held.
func (r *leadership) limitStates(now time.Time) map[ident.Incarnation]*LimitState {
	states := map[ident.Incarnation]*LimitState{}
	for name, e := range r.entries {
		for i := range e.seen {
			if seen := &e.seen[i]; seen.Limit != nil {
				states[seen.ID] = states[seen.ID].with(name, seen.Limit, now.Sub(e.at))
			}
		}
	}
	if len(states) == 0 {
		return nil
	}
	halls := map[ident.Hall][]string{}
	for name, e := range r.entries {
		halls[e.hall] = append(halls[e.hall], name)
	}
	entries := sharing.New("", halls)
	for id, l := range states {
		l.Coordinator = entries.Owner(string(id))
		slices.SortFunc(l.Entries, func(a, b LimitShare) int { return cmp.Compare(a.Entry, b.Entry) })
	}
	return states
}

// with adds what an entry told of a limit so long ago.
func (l *LimitState) with(entry string, seen *relay.LimitObservation, ago time.Duration) *LimitState {
	said, since := (seen.Said + ago).Milliseconds(), (seen.Since + ago).Milliseconds()
	if l == nil {
		l = &LimitState{Limit: seen.Rate, SinceMS: since, SaidMS: said}
	}
	if said < l.SaidMS {
		l.Limit, l.SaidMS = seen.Rate, said
	}
	l.SinceMS = max(l.SinceMS, since)
	share := LimitShare{
		Entry: entry, ToldMS: -1, Lately: seen.Lately, Granted: seen.Granted, Refused: seen.Refused, Unanswered: seen.Unanswered,
		Apart: seen.Apart, Own: seen.Counts.Own,
	}
	if seen.Own {
		share.ToldMS = said
	}
	l.Entries = append(l.Entries, share)
	return l
}

// applyLimits takes what the leader has heard of limits.
func (e *Entry) applyLimits(r *SyncReply) {
	var apart map[ident.Incarnation]int
	for id, l := range r.Limits {
		e.relay.ApplyLimit(id, l.Rate, l.Age)
		if l.Apart == 0 {
			continue
		}
		if apart == nil {
			apart = map[ident.Incarnation]int{}
		}
		apart[id] = l.Apart
	}
	e.relay.Limits.SetLocalShares(apart)
}
