package site

// Upstreams ask entries to send them nothing for a time, or say that they leave.
// Each entry keeps that for itself; the leader is told who does, so that
// operators see it, and takes a leaving one for what it says it is.

import (
	"cmp"
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/result"
)

// AskedState is what an upstream asked one entry for, as operators see it.
type AskedState struct {
	// Entry is the peers' address of the entry that it asked.
	Entry string `json:"entry"`
	// ForMS is for how long it is still sent nothing from there; Leaving is set when that is because it leaves.
	ForMS   int64 `json:"for-ms"`
	Leaving bool  `json:"leaving"`
}

// asked returns what upstreams want, by the newest calls of all entries; the mutex is held.
func (r *reign) asked(now time.Time) map[ident.Incarnation][]AskedState {
	list := map[ident.Incarnation][]AskedState{}
	for name, e := range r.entries {
		for i := range e.seen {
			seen := &e.seen[i]
			if left := seen.Backoff - now.Sub(e.at); left > 0 {
				list[seen.ID] = append(list[seen.ID], AskedState{name, left.Milliseconds(), seen.Leaving})
			}
		}
	}
	for _, of := range list {
		slices.SortFunc(of, func(a, b AskedState) int { return cmp.Compare(a.Entry, b.Entry) })
	}
	return list
}

// drain takes upstreams for what they told an entry that they are: leaving. The mutex is held.
func (r *reign) drain(call *SyncCall) {
	for i := range call.Seen {
		if id := call.Seen[i].ID; call.Seen[i].Leaving && r.roster.Drain(id) {
			r.c.Log.Info("upstream leaves", "upstream", id, "entry", call.From)
		}
	}
}

// noteAsking logs and counts what has changed of what an upstream asks for.
func (e *Entry) noteAsking(a *relay.Asking) {
	e.meter.Scope.Tagged(map[string]string{"kind": string(a.Kind)}).Counter("upstream_askings").Inc(1)
	fields := []any{"upstream", a.Upstream, "group", a.Group}
	if a.RetryAfter != "" {
		fields = append(fields, "retry-after", a.RetryAfter, "asked-ms", a.Asked.Milliseconds())
	}
	if a.For > 0 {
		fields = append(fields, "for-ms", a.For.Milliseconds())
	}
	if a.Err != nil {
		fields = append(fields, "code", result.CodeOf(a.Err), "error", result.Message(a.Err))
	}
	e.Requests.Info("upstream "+string(a.Kind), fields...)
}

// countAsked updates how many upstreams want nothing from this entry.
func (e *Entry) countAsked(now time.Time) {
	n := 0
	e.relay.Backoff.Each(now, func(ident.Incarnation, backoff.State) { n++ })
	e.numbers.backedOff.Update(float64(n))
}
