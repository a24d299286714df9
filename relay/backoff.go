package relay

// Upstreams send backpressure signals in their answers: a requested backoff, a
// limit, or that they are shutting down. This file applies the signals to packages
// backoff and ratelimit, reports changes for the log, and counts the upstreams that
// are unavailable when a target is chosen.

import (
	"net/http"
	"time"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ratelimit"
)

// BackpressureKind says which backpressure signal of an upstream changed. The value is a label of a metric.
type BackpressureKind string

// The kinds of changes.
const (
	// BackpressureDelay means that the upstream requested a backoff.
	BackpressureDelay BackpressureKind = "asked for time"
	// BackpressureCleared means that the upstream accepted a request after its backoff.
	BackpressureCleared BackpressureKind = "takes requests again"
	// BackpressureLeaving means that the upstream is shutting down.
	BackpressureLeaving BackpressureKind = "leaves"
	// BackpressureUnreadable means that a backoff or limit header cannot be parsed.
	BackpressureUnreadable BackpressureKind = "asks for something unreadable"
	// BackpressureLimit means that the upstream advertised a new limit, BackpressureLimitRemoved that it no longer advertises one.
	BackpressureLimit        BackpressureKind = "names a limit"
	BackpressureLimitRemoved BackpressureKind = "names no limit any more"
	// BackpressureUnrecognized means that the upstream sent a header that the relay does not recognize.
	BackpressureUnrecognized BackpressureKind = "says what nothing reads"
)

// BackpressureEvent is a change of an upstream's backpressure signals, for the log.
type BackpressureEvent struct {
	Kind     BackpressureKind
	Upstream ident.Incarnation
	Group    ident.Group
	// RetryAfter is the header as received, RequestedDelay its duration, and EffectiveDelay how long no request is sent to the upstream.
	RetryAfter     string
	RequestedDelay time.Duration
	EffectiveDelay time.Duration
	Err            error
	// Limit is the advertised limit, PreviousLimit the one before, first advertised at PreviousSince.
	Limit         ratelimit.Rate
	PreviousLimit ratelimit.Rate
	PreviousSince time.Time
	// HeaderName and HeaderValue are an unrecognized header.
	HeaderName  string
	HeaderValue string
}

// applyBackpressure applies the signals in the head of an answer, including a late answer to an earlier request on the connection.
func (f *forwarder) applyBackpressure(resp *http.Response) {
	s, now := f.x.s, f.x.s.Now()
	f.status, f.notice = resp.StatusCode, backoff.ParseNotice(resp, s.Headers.Backpressure, time.Now())
	event := &BackpressureEvent{
		Upstream: f.target.id, Group: f.target.group, RetryAfter: f.notice.RetryAfterText, RequestedDelay: f.notice.Backoff,
		Err: f.notice.BackoffErr,
	}
	if f.notice.Leaving && s.Backoff.NoteLeaving(now, f.target.id) {
		s.sendBackpressureEvent(event, BackpressureLeaving)
	}
	if f.notice.BackoffErr != nil {
		s.sendBackpressureEvent(event, BackpressureUnreadable)
	}
	// A 503 or 429 that neither requests a backoff nor says that the request was not run does not indicate overload.
	refused := backoff.IsRefusal(resp.StatusCode) && (f.notice.Backoff > 0 || resp.Header.Get(s.Headers.NotRun) != "")
	if refused && s.Backoff.NoteRefusal(now, f.target.id, f.notice.Backoff) {
		s.sendBackpressureEvent(event, BackpressureDelay)
		f.publishBackoff(event.EffectiveDelay)
	}
	f.applyLimit(now)
	for _, name := range s.Unrecognized.AddHeaders(f.target.id, f.notice.Header) {
		value := f.notice.Header.Get(name)
		s.sendBackpressureEvent(&BackpressureEvent{
			Upstream: f.target.id, Group: f.target.group, HeaderName: name, HeaderValue: value[:min(maxHeaderValueLen, len(value))],
		}, BackpressureUnrecognized)
	}
}

// maxHeaderValueLen bounds the logged value of an unrecognized header, in bytes.
const maxHeaderValueLen = 80

// applyLimit applies the limit that the upstream advertised.
func (f *forwarder) applyLimit(now time.Time) {
	s, event := f.x.s, &BackpressureEvent{Upstream: f.target.id, Group: f.target.group, Limit: f.notice.Limit, Err: f.notice.LimitErr}
	if event.Err != nil {
		s.sendBackpressureEvent(event, BackpressureUnreadable)
	}
	if !f.notice.Limited {
		return
	}
	if previous, changed := s.Limits.Table.Record(f.target.id, f.notice.Limit, now); changed {
		event.PreviousLimit, event.PreviousSince = previous.Rate, previous.Since
		s.sendBackpressureEvent(event, BackpressureLimit)
		if !previous.Limited() || f.notice.Limit < previous.Rate {
			f.publishLimit(f.notice.Limit)
		}
	}
}

// noteNoLimit applies an answer to this request without a limit. Only a successful answer removes the limit: a failure may come from a
// proxy in front of the upstream that knows no limit.
func (f *forwarder) noteNoLimit() {
	s := f.x.s
	if f.notice.Limited || f.notice.LimitErr != nil || f.status >= http.StatusMultipleChoices {
		return
	}
	if previous, removed := s.Limits.Table.RecordUnlimited(f.target.id, f.sentAt, s.Now()); removed {
		s.sendBackpressureEvent(&BackpressureEvent{
			Upstream: f.target.id, Group: f.target.group, PreviousLimit: previous.Rate, PreviousSince: previous.Since,
		}, BackpressureLimitRemoved)
		f.publishLimit(0)
	}
}

// publishBackoff notifies the other entries of a backoff that the head of a group requested from this entry.
func (f *forwarder) publishBackoff(remaining time.Duration) {
	if f.target.group != "" {
		f.x.s.SendUpdate(EntryUpdate{Head: f.target.id, BackoffMS: max(1, remaining.Milliseconds())}, f.target.users)
	}
}

// applyPeerBackoff records a backoff that the head of a group requested from another entry; the mutex is held. It does not bind this entry,
// but deprioritizes the overloaded head while others have capacity. Otherwise each of many entries would be refused there once.
func (s *Relay) applyPeerBackoff(t *target, ms int64) {
	delay := time.Duration(min(ms, s.Backoff.Rule.Max.Milliseconds())) * time.Millisecond
	ts := s.stateOf(t)
	if until := s.Now().Add(delay); until.After(ts.peerBackoffUntil) {
		ts.peerBackoffUntil = until
	}
}

// sendBackpressureEvent completes a change and passes it to OnBackpressure.
func (s *Relay) sendBackpressureEvent(event *BackpressureEvent, kind BackpressureKind) {
	event.Kind, event.EffectiveDelay = kind, s.Backoff.StateOf(s.Now(), event.Upstream).Remaining
	s.OnBackpressure(event)
}

// endBackoffProbe ends the probe of an upstream after its backoff, if the current attempt is one.
func (x *exchange) endBackoffProbe(id ident.Incarnation, accepted bool) {
	if !x.backoffProbe {
		return
	}
	x.backoffProbe = false
	x.s.Backoff.EndProbe(id, accepted)
	if accepted {
		x.s.OnBackpressure(&BackpressureEvent{Kind: BackpressureCleared, Upstream: id})
	}
}

// unavailable counts the upstreams that accept no request when a target is chosen.
type unavailable struct {
	backedOff, leaving, limited int
	// unreachable counts those to which this entry has no path.
	unreachable int
	// outsideRegion counts those outside the home regions of the request.
	outsideRegion int
	// soonest is the time until the first backed-off or limited upstream is available.
	soonest time.Duration
	// limitRate is the requests per second that this entry can expect within all limits.
	limitRate ratelimit.Rate
}

// addBackoff counts an upstream that requested a backoff or is leaving, and reports whether that is so. An upstream that refused a request
// without naming a time counts as full instead.
func (a *unavailable) addBackoff(state backoff.State) bool {
	switch {
	case state.Remaining > 0 && state.Leaving:
		a.leaving++
		return true
	case state.Remaining <= 0 || !state.Requested:
		return false
	}
	a.updateSoonest(state.Remaining)
	a.backedOff++
	return true
}

// addLimit counts an upstream at its limit, and reports whether that is so.
func (a *unavailable) addLimit(availability ratelimit.Availability) bool {
	if !availability.Limited {
		return false
	}
	a.limitRate += availability.Rate
	if availability.Available() {
		return false
	}
	a.updateSoonest(availability.Remaining)
	a.limited++
	return true
}

// updateSoonest applies the time until an upstream is available.
func (a *unavailable) updateSoonest(remaining time.Duration) {
	if a.backedOff+a.limited == 0 || remaining < a.soonest {
		a.soonest = remaining
	}
}

func (a *unavailable) total() int {
	return a.backedOff + a.leaving + a.limited
}
