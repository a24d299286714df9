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
func backoffRule(cfg *settings.Backoff) backoff.Rule {
	rule := backoff.DefaultRule()
	rule.Max, rule.Leaving = cfg.Most.Std(), cfg.Leaving.Std()
	return rule
}

// ApplyNotice takes what an upstream asks for with its answer to an order or a question.
func (c *Control) ApplyNotice(id ident.Incarnation, notice backoff.Notice) {
	now := clock.Now()
	switch {
	case notice.BackoffErr != nil:
		c.Log.Info("upstream asks for something unreadable", "upstream", id, "code", result.CodeOf(notice.BackoffErr), "error", result.Message(notice.BackoffErr))
	case notice.Backoff > 0 && c.backoffs.NoteRefusal(now, id, notice.Backoff):
		c.Log.Info("upstream asked for time", "upstream", id, "retry-after", notice.RetryAfterText, "asked-ms", notice.Backoff.Milliseconds())
	}
	c.applyLimit(id, &notice, now)
	c.noteUnrecognizedHeaders(id, notice.Header)
	if r := c.leadership.Load(); notice.Leaving && r != nil {
		r.markLeaving(id, "this daemon")
	}
}

// applyLimit notes the limit that an upstream names. Orders and questions do not count against it: a group is formed by a handful of
// them, and one that takes few requests must be closed as soon as any other.
func (c *Control) applyLimit(id ident.Incarnation, notice *backoff.Notice, now time.Time) {
	if notice.LimitErr != nil {
		c.Log.Info("upstream names an unreadable limit", "upstream", id, "code", result.CodeOf(notice.LimitErr), "error", result.Message(notice.LimitErr))
	}
	if !notice.Limited {
		return
	}
	if previous, changed := c.limits.Record(id, notice.Limit, now); changed {
		c.Log.Info("upstream names a limit", "upstream", id, "limit", notice.Limit, "was", previous.Rate)
	}
}

// backedOff reports whether an upstream asked this daemon for time that is not over.
func (c *Control) backedOff(id ident.Incarnation) bool {
	return c.backoffs.StateOf(clock.Now(), id).Remaining > 0
}

// slowdownQuery returns how engines are asked for their pace, nil where they can't be.
func (c *Control) slowdownQuery() func(ctx context.Context, address string, id ident.Incarnation) (float64, error) {
	if c.QuerySlowdown == nil {
		return nil
	}
	return c.queryUnlessBackedOff
}

// queryUnlessBackedOff asks an engine for its pace unless it asked for time.
func (c *Control) queryUnlessBackedOff(ctx context.Context, address string, id ident.Incarnation) (float64, error) {
	if c.backedOff(id) {
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

// backoffStates returns what upstreams want, by the newest calls of all entries; the mutex is held.
func (r *leadership) backoffStates(now time.Time) map[ident.Incarnation][]BackoffState {
	list := map[ident.Incarnation][]BackoffState{}
	for name, e := range r.entries {
		for i := range e.seen {
			seen := &e.seen[i]
			if left := seen.Backoff - now.Sub(e.calledAt); left > 0 {
				list[seen.ID] = append(list[seen.ID], BackoffState{name, left.Milliseconds(), seen.Leaving})
			}
		}
	}
	for _, states := range list {
		slices.SortFunc(states, func(a, b BackoffState) int { return cmp.Compare(a.Entry, b.Entry) })
	}
	return list
}

// applyLeaving takes upstreams for what they told an entry that they are: leaving.
func (r *leadership) applyLeaving(call *SyncCall) {
	for i := range call.Seen {
		if call.Seen[i].Leaving {
			r.markLeaving(call.Seen[i].ID, call.From)
		}
	}
}

// markLeaving notes that an upstream told somebody that it leaves.
func (r *leadership) markLeaving(id ident.Incarnation, source string) {
	if r.roster.MarkDraining(id) {
		r.control.Log.Info("upstream leaves", "upstream", id, "told", source)
	}
}

// logUpstreamSignal logs and counts what has changed of what an upstream asks for.
func (e *Entry) logUpstreamSignal(signal *relay.BackpressureEvent) {
	e.meter.Scope.Tagged(map[string]string{"kind": string(signal.Kind)}).Counter("upstream_askings").Inc(1)
	fields := []any{"upstream", signal.Upstream, "group", signal.Group}
	if signal.RetryAfter != "" {
		fields = append(fields, "retry-after", signal.RetryAfter, "asked-ms", signal.RequestedDelay.Milliseconds())
	}
	if signal.EffectiveDelay > 0 {
		fields = append(fields, "for-ms", signal.EffectiveDelay.Milliseconds())
	}
	if signal.Kind == relay.BackpressureLimit || signal.Kind == relay.BackpressureLimitRemoved {
		fields = append(fields, "limit", signal.Limit, "was", signal.PreviousLimit, "was-since", signal.PreviousSince)
	}
	if signal.Kind == relay.BackpressureUnrecognized {
		fields = append(fields, "word", signal.HeaderName, "value", signal.HeaderValue)
		e.unrecognized.add(signal.Upstream, signal.HeaderName)
	}
	if signal.Err != nil {
		fields = append(fields, "code", result.CodeOf(signal.Err), "error", result.Message(signal.Err))
	}
	log := e.Log
	if signal.Kind == relay.BackpressureUnreadable || signal.Kind == relay.BackpressureUnrecognized {
		// Each answer may have one; what changes a state is kept when the log falls behind.
		log = e.RequestLog
	}
	log.Info("upstream "+string(signal.Kind), fields...)
}

// countBackoffs updates how many upstreams want nothing from this entry, and how many have named a limit.
func (e *Entry) countBackoffs(now time.Time) {
	n := 0
	e.relay.Backoff.Each(now, func(ident.Incarnation, backoff.State) { n++ })
	e.metrics.backedOff.Update(float64(n))
	e.metrics.limited.Update(float64(e.relay.Limits.Table.Count()))
}
