package site

// Upstreams ask entries to send them nothing for a time, or say that they leave.
// Each entry keeps that for itself; the leader is told who does, so that
// operators see it, and takes a leaving one for what it says it is.

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/settings"
)

// backoffRule is the rule that the settings give.
func backoffRule(b *settings.Backoff) backoff.Rule {
	rule := backoff.DefaultRule()
	rule.Max, rule.Leaving = b.Most.Std(), b.Leaving.Std()
	return rule
}

// ApplyNotice takes what an upstream asks for with its answer to an order or a question.
func (c *Control) ApplyNotice(id ident.Incarnation, w backoff.Notice) {
	now := clock.Now()
	switch {
	case w.BackoffErr != nil:
		c.Log.Info("upstream asks for something unreadable", "upstream", id, "code", result.CodeOf(w.BackoffErr), "error", result.Message(w.BackoffErr))
	case w.Backoff > 0 && c.asked.NoteRefusal(now, id, w.Backoff):
		c.Log.Info("upstream asked for time", "upstream", id, "retry-after", w.RetryAfterText, "asked-ms", w.Backoff.Milliseconds())
	}
	c.heardLimit(id, &w, now)
	c.heardUnread(id, w.Header)
	if r := c.leadership.Load(); w.Leaving && r != nil {
		r.drain(id, "this daemon")
	}
}

// heardLimit notes the limit that an upstream names. Orders and questions do not count against it: a group is formed by a handful of
// them, and one that takes few requests must be closed as soon as any other.
func (c *Control) heardLimit(id ident.Incarnation, w *backoff.Notice, now time.Time) {
	if w.LimitErr != nil {
		c.Log.Info("upstream names an unreadable limit", "upstream", id, "code", result.CodeOf(w.LimitErr), "error", result.Message(w.LimitErr))
	}
	if !w.Limited {
		return
	}
	if was, changed := c.limits.Record(id, w.Limit, now); changed {
		c.Log.Info("upstream names a limit", "upstream", id, "limit", w.Limit, "was", was.Rate)
	}
}

// waits reports whether an upstream asked this daemon for time that is not over.
func (c *Control) waits(id ident.Incarnation) bool {
	return c.asked.StateOf(clock.Now(), id).Remaining > 0
}

// paceAsker returns how engines are asked for their pace, nil where they can't be.
func (c *Control) paceAsker() func(ctx context.Context, address string, id ident.Incarnation) (float64, error) {
	if c.QuerySlowdown == nil {
		return nil
	}
	return c.askPace
}

// askPace asks an engine for its pace unless it asked for time.
func (c *Control) askPace(ctx context.Context, address string, id ident.Incarnation) (float64, error) {
	if c.waits(id) {
		return 0, result.New(result.BackedOff, "it asked for time")
	}
	return c.QuerySlowdown(ctx, address, id)
}

// BackoffState is what an upstream asked one entry for, as operators see it.
type BackoffState struct {
	// Entry is the peers' address of the entry that it asked.
	Entry string `json:"entry"`
	// ForMS is for how long it is still sent nothing from there; Leaving is set when that is because it leaves.
	ForMS   int64 `json:"for-ms"`
	Leaving bool  `json:"leaving"`
}

// asked returns what upstreams want, by the newest calls of all entries; the mutex is held.
func (r *leadership) asked(now time.Time) map[ident.Incarnation][]BackoffState {
	list := map[ident.Incarnation][]BackoffState{}
	for name, e := range r.entries {
		for i := range e.seen {
			seen := &e.seen[i]
			if left := seen.Backoff - now.Sub(e.at); left > 0 {
				list[seen.ID] = append(list[seen.ID], BackoffState{name, left.Milliseconds(), seen.Leaving})
			}
		}
	}
	for _, of := range list {
		slices.SortFunc(of, func(a, b BackoffState) int { return cmp.Compare(a.Entry, b.Entry) })
	}
	return list
}

// drainSeen takes upstreams for what they told an entry that they are: leaving.
func (r *leadership) drainSeen(call *SyncCall) {
	for i := range call.Seen {
		if call.Seen[i].Leaving {
			r.drain(call.Seen[i].ID, call.From)
		}
	}
}

// drain notes that an upstream told somebody that it leaves.
func (r *leadership) drain(id ident.Incarnation, told string) {
	if r.roster.MarkDraining(id) {
		r.c.Log.Info("upstream leaves", "upstream", id, "told", told)
	}
}

// noteAsking logs and counts what has changed of what an upstream asks for.
func (e *Entry) noteAsking(a *relay.BackpressureEvent) {
	e.meter.Scope.Tagged(map[string]string{"kind": string(a.Kind)}).Counter("upstream_askings").Inc(1)
	fields := []any{"upstream", a.Upstream, "group", a.Group}
	if a.RetryAfter != "" {
		fields = append(fields, "retry-after", a.RetryAfter, "asked-ms", a.RequestedDelay.Milliseconds())
	}
	if a.EffectiveDelay > 0 {
		fields = append(fields, "for-ms", a.EffectiveDelay.Milliseconds())
	}
	if a.Kind == relay.BackpressureLimit || a.Kind == relay.BackpressureLimitRemoved {
		fields = append(fields, "limit", a.Limit, "was", a.PreviousLimit, "was-since", a.PreviousSince)
	}
	if a.Kind == relay.BackpressureUnrecognized {
		fields = append(fields, "word", a.HeaderName, "value", a.HeaderValue)
		e.unread.add(a.Upstream, a.HeaderName)
	}
	if a.Err != nil {
		fields = append(fields, "code", result.CodeOf(a.Err), "error", result.Message(a.Err))
	}
	log := e.Log
	if a.Kind == relay.BackpressureUnreadable || a.Kind == relay.BackpressureUnrecognized {
		// Each answer may have one; what changes a state is kept when the log falls behind.
		log = e.RequestLog
	}
	log.Info("upstream "+string(a.Kind), fields...)
}

// countAsked updates how many upstreams want nothing from this entry, and how many have named a limit.
func (e *Entry) countAsked(now time.Time) {
	n := 0
	e.relay.Backoff.Each(now, func(ident.Incarnation, backoff.State) { n++ })
	e.numbers.backedOff.Update(float64(n))
	e.numbers.limited.Update(float64(e.relay.Limits.Table.Count()))
}
