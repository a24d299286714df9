package site

// Upstreams may ask entries to send them no requests for a time, or announce that they shut down. Each entry applies
// this by itself; it reports the backoffs to the leader for operators to see, and the leader marks upstreams that shut
// down as leaving.

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

// backoffRule returns the rule of the settings.
func backoffRule(cfg *settings.Backoff) backoff.Rule {
	rule := backoff.DefaultRule()
	rule.Max, rule.Leaving = cfg.Most.Std(), cfg.Leaving.Std()
	return rule
}

// ApplyNotice applies what an upstream's answer to an order or a query asks for.
func (c *Control) ApplyNotice(id ident.Incarnation, notice backoff.Notice) {
	now := clock.Now()
	switch {
	case notice.BackoffErr != nil:
		c.Log.Info("upstream sent an unreadable backoff", "upstream", id, "code", result.CodeOf(notice.BackoffErr), "error", result.Message(notice.BackoffErr))
	case notice.Backoff > 0 && c.backoffs.NoteRefusal(now, id, notice.Backoff):
		c.Log.Info("upstream requested a backoff", "upstream", id, "retry-after", notice.RetryAfterText, "asked-ms", notice.Backoff.Milliseconds())
	}
	c.applyLimit(id, &notice, now)
	c.noteUnrecognizedHeaders(id, notice.Header)
	if r := c.leadership.Load(); notice.Leaving && r != nil {
		r.markLeaving(id, "this daemon")
	}
}

// applyLimit records the limit that an upstream sets. Orders and queries do not count against the limit: a group is
// formed by a handful of orders, and an upstream with a low limit must be closed as soon as any other.
func (c *Control) applyLimit(id ident.Incarnation, notice *backoff.Notice, now time.Time) {
	if notice.LimitErr != nil {
		c.Log.Info("upstream sent an unreadable limit", "upstream", id, "code", result.CodeOf(notice.LimitErr), "error", result.Message(notice.LimitErr))
	}
	if !notice.Limited {
		return
	}
	if previous, changed := c.limits.Record(id, notice.Limit, now); changed {
		c.Log.Info("upstream set a limit", "upstream", id, "limit", notice.Limit, "was", previous.Rate)
	}
}

// backedOff reports whether a backoff that an upstream requested from this daemon is still in effect.
func (c *Control) backedOff(id ident.Incarnation) bool {
	return c.backoffs.StateOf(clock.Now(), id).Remaining > 0
}

// slowdownQuery returns the function that queries engines for their slowdown, nil when engines can't be asked.
func (c *Control) slowdownQuery() func(ctx context.Context, address string, id ident.Incarnation) (float64, error) {
	if c.QuerySlowdown == nil {
		return nil
	}
	return c.queryUnlessBackedOff
}

// queryUnlessBackedOff queries an engine's slowdown unless the engine requested a backoff.
func (c *Control) queryUnlessBackedOff(ctx context.Context, address string, id ident.Incarnation) (float64, error) {
	if c.backedOff(id) {
		return 0, result.New(result.BackedOff, "the upstream requested a backoff")
	}
	return c.QuerySlowdown(ctx, address, id)
}

// BackoffState is an upstream's backoff at one entry, as operators see it.
type BackoffState struct {
	// Entry is the peer address of the entry.
	Entry string `json:"entry"`
	// ForMS is how much longer the entry sends the upstream nothing; Leaving is set when the upstream is shutting down.
	ForMS   int64 `json:"for-ms"`
	Leaving bool  `json:"leaving"`
}

// backoffStates returns the backoffs by the newest calls of all entries; the mutex is held.
func (r *leadership) backoffStates(now time.Time) map[ident.Incarnation][]BackoffState {
	list := map[ident.Incarnation][]BackoffState{}
	for name, e := range r.entries {
		for i := range e.observed {
			seen := &e.observed[i]
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

// applyLeaving marks the upstreams that told the calling entry that they shut down.
func (r *leadership) applyLeaving(call *SyncCall) {
	for i := range call.Seen {
		if call.Seen[i].Leaving {
			r.markLeaving(call.Seen[i].ID, call.From)
		}
	}
}

// markLeaving marks an upstream as leaving; source is the daemon that learned of it.
func (r *leadership) markLeaving(id ident.Incarnation, source string) {
	if r.roster.MarkDraining(id) {
		r.control.Log.Info("upstream leaves", "upstream", id, "told", source)
	}
}

// signalMessages are the log messages of the kinds; control daemons log the same messages for the same events.
var signalMessages = map[relay.BackpressureKind]string{
	relay.BackpressureDelay:        "upstream requested a backoff",
	relay.BackpressureCleared:      "upstream accepts requests again",
	relay.BackpressureLeaving:      "upstream leaves",
	relay.BackpressureUnreadable:   "upstream sent an unreadable backoff or limit",
	relay.BackpressureLimit:        "upstream set a limit",
	relay.BackpressureLimitRemoved: "upstream removed its limit",
	relay.BackpressureUnrecognized: "upstream sent an unrecognized header",
}

// logUpstreamSignal logs and counts a change in what an upstream asks for.
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
		// Any answer may carry one of these, so they use the request log; lines on changes of state must not be lost
		// among them.
		log = e.RequestLog
	}
	log.Info(signalMessages[signal.Kind], fields...)
}

// countBackoffs updates how many upstreams are backed off or limited at this entry.
func (e *Entry) countBackoffs(now time.Time) {
	n := 0
	e.relay.Backoff.Each(now, func(ident.Incarnation, backoff.State) { n++ })
	e.metrics.backedOff.Update(float64(n))
	e.metrics.limited.Update(float64(e.relay.Limits.Table.Count()))
}
