package site

// Entries exchange the limits that upstreams set, by datagrams. The leader sends these limits as well: an entry that
// has just started would send an upstream requests without bound until the upstream's first answer, and datagrams may
// be filtered.

import (
	"cmp"
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/sharing"
)

// maxLimitAge is the age up to which the leader sends on a limit: an entry with requests at the upstream gets newer
// answers itself, and the removal of a limit is not sent.
const maxLimitAge = 5 * time.Second

// LimitSummary is the limit of an upstream, its age, and how many entries use their local share of it.
type LimitSummary struct {
	Rate  ratelimit.Rate
	Age   time.Duration
	Apart int
}

// applyLimits applies the limits that upstreams set in answers to an entry.
func (c *Control) applyLimits(now time.Time, call *SyncCall) {
	for i := range call.Seen {
		// A limit that the entry has from others is not sent on: the time in transit would make it look younger each
		// time.
		if limit := call.Seen[i].Limit; limit != nil && limit.Own {
			c.limits.Merge(call.Seen[i].ID, limit.Rate, now.Add(-limit.Said))
		}
	}
}

// limitSummaries returns the limits that upstreams set within maxLimitAge, and those of which entries use local shares;
// nil where there are none.
func (r *leadership) limitSummaries(now time.Time) map[ident.Incarnation]LimitSummary {
	limits := r.control.limits
	if limits.Count() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	summaries := map[ident.Incarnation]LimitSummary{}
	limits.Each(func(id ident.Incarnation, limit ratelimit.Limit) {
		age, localShares := now.Sub(limit.LastSeen), r.localShareEntries[id]
		if limit.Limited() && (age < maxLimitAge || localShares > 0) {
			summaries[id] = LimitSummary{limit.Rate, age, localShares}
		}
	})
	return summaries
}

// countLocalShares adds delta to the number of entries on a local share if seen reports one; the mutex is held.
func (r *leadership) countLocalShares(seen *relay.Observation, delta int) {
	if seen.Limit == nil || !seen.Limit.Apart {
		return
	}
	r.localShareEntries[seen.ID] += delta
	if r.localShareEntries[seen.ID] <= 0 {
		delete(r.localShareEntries, seen.ID)
	}
}

// LimitState is the limit of an upstream, as operators see it.
type LimitState struct {
	// Limit is in requests a second, SinceMS is how long ago the upstream first set it, SaidMS how long ago it last
	// did.
	Limit   ratelimit.Rate `json:"limit"`
	SinceMS int64          `json:"since-ms"`
	SaidMS  int64          `json:"said-ms"`
	// Coordinator is the entry that grants permits for the upstream.
	Coordinator string       `json:"coordinator"`
	Entries     []LimitShare `json:"entries"`
}

// LimitShare is one entry's use of a limit.
type LimitShare struct {
	Entry string `json:"entry"`
	// ToldMS is how long ago the upstream sent the limit to this entry, -1 when the entry has it from others.
	ToldMS int64 `json:"told-ms"`
	// Lately is how many permits were granted in the last ten seconds; the other counts are since the entry knows the
	// limit.
	Lately     int `json:"lately"`
	Granted    int `json:"granted"`
	Refused    int `json:"refused"`
	Unanswered int `json:"unanswered"`
	// Apart is set when the entry can't reach the coordinator and uses its local share, Own is how many requests it has
	// sent within that share.
	Apart bool `json:"apart"`
	Own   int  `json:"own"`
}

// limitStates returns the limits of upstreams by the newest calls of all entries; the mutex is held.
func (r *leadership) limitStates(now time.Time) map[ident.Incarnation]*LimitState {
	states := map[ident.Incarnation]*LimitState{}
	for name, e := range r.entries {
		for i := range e.observed {
			if seen := &e.observed[i]; seen.Limit != nil {
				states[seen.ID] = states[seen.ID].withEntry(name, seen.Limit, now.Sub(e.calledAt))
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
	for id, state := range states {
		state.Coordinator = entries.Owner(string(id))
		slices.SortFunc(state.Entries, func(a, b LimitShare) int { return cmp.Compare(a.Entry, b.Entry) })
	}
	return states
}

// withEntry adds what an entry reported of a limit callAge ago.
func (l *LimitState) withEntry(entry string, seen *relay.LimitObservation, callAge time.Duration) *LimitState {
	saidMS, sinceMS := (seen.Said + callAge).Milliseconds(), (seen.Since + callAge).Milliseconds()
	if l == nil {
		l = &LimitState{Limit: seen.Rate, SinceMS: sinceMS, SaidMS: saidMS}
	}
	if saidMS < l.SaidMS {
		l.Limit, l.SaidMS = seen.Rate, saidMS
	}
	l.SinceMS = max(l.SinceMS, sinceMS)
	share := LimitShare{
		Entry: entry, ToldMS: -1, Lately: seen.Lately, Granted: seen.Granted, Refused: seen.Refused, Unanswered: seen.Unanswered,
		Apart: seen.Apart, Own: seen.Counts.Own,
	}
	if seen.Own {
		share.ToldMS = saidMS
	}
	l.Entries = append(l.Entries, share)
	return l
}

// applyLimits applies the limits that the leader sends.
func (e *Entry) applyLimits(reply *SyncReply) {
	var localShares map[ident.Incarnation]int
	for id, limit := range reply.Limits {
		e.relay.ApplyLimit(id, limit.Rate, limit.Age)
		if limit.Apart == 0 {
			continue
		}
		if localShares == nil {
			localShares = map[ident.Incarnation]int{}
		}
		localShares[id] = limit.Apart
	}
	e.relay.Limits.SetLocalShares(localShares)
}
