package relay

// What upstreams ask of this entry in their answers is kept by package backoff.
// This file reads it off the answers, and says of those that want nothing when
// the first of them may be tried again.

import (
	"net/http"
	"time"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ratelimit"
)

// BackpressureKind is what changed of what an upstream asks for.
type BackpressureKind string

// What changes.
const (
	// BackpressureDelay means that it wants nothing for a time.
	BackpressureDelay BackpressureKind = "asked for time"
	// BackpressureCleared means that it takes requests again.
	BackpressureCleared BackpressureKind = "takes requests again"
	// BackpressureLeaving means that it leaves.
	BackpressureLeaving BackpressureKind = "leaves"
	// BackpressureUnreadable means that what it asks for can't be read.
	BackpressureUnreadable BackpressureKind = "asks for something unreadable"
	// BackpressureLimit means that it names a limit, or another one than before; BackpressureLimitRemoved that it names none any more.
	BackpressureLimit        BackpressureKind = "names a limit"
	BackpressureLimitRemoved BackpressureKind = "names no limit any more"
	// BackpressureUnrecognized means that it says something that nothing here reads.
	BackpressureUnrecognized BackpressureKind = "says what nothing reads"
)

// BackpressureEvent tells operators that what an upstream asks of this entry has changed.
type BackpressureEvent struct {
	Kind     BackpressureKind
	Upstream ident.Incarnation
	Group    ident.Group
	// RetryAfter is what it said, as it came, Asked how long that is, and For how long nothing is sent there.
	RetryAfter     string
	RequestedDelay time.Duration
	EffectiveDelay time.Duration
	Err            error
	// Limit is the limit that it names, Was the one before, which it had named first at Since.
	Limit         ratelimit.Rate
	PreviousLimit ratelimit.Rate
	PreviousSince time.Time
	// HeaderName is a header that nothing reads, Value what stands in it.
	HeaderName  string
	HeaderValue string
}

// applyBackpressure takes what the upstream asks for in the head of an answer, also of one to an earlier request on the connection.
func (f *forwarder) applyBackpressure(resp *http.Response) {
	s, now := f.x.s, f.x.s.Now()
	f.status, f.notice = resp.StatusCode, backoff.ParseNotice(resp, s.Headers.Backpressure, time.Now())
	event := &BackpressureEvent{Upstream: f.target.id, Group: f.target.group, RetryAfter: f.notice.RetryAfterText, RequestedDelay: f.notice.Backoff, Err: f.notice.BackoffErr}
	if f.notice.Leaving && s.Backoff.NoteLeaving(now, f.target.id) {
		s.sendBackpressureEvent(event, BackpressureLeaving)
	}
	if f.notice.BackoffErr != nil {
		s.sendBackpressureEvent(event, BackpressureUnreadable)
	}
	// A failure that asks for nothing is none of want of room.
	refused := backoff.IsRefusal(resp.StatusCode) && (f.notice.Backoff > 0 || resp.Header.Get(s.Headers.NotRun) != "")
	if refused && s.Backoff.NoteRefusal(now, f.target.id, f.notice.Backoff) {
		s.sendBackpressureEvent(event, BackpressureDelay)
		f.publishBackoff(event.EffectiveDelay)
	}
	f.applyLimit(now)
	for _, name := range s.Unrecognized.AddHeaders(f.target.id, f.notice.Header) {
		value := f.notice.Header.Get(name)
		s.sendBackpressureEvent(&BackpressureEvent{Upstream: f.target.id, Group: f.target.group, HeaderName: name, HeaderValue: value[:min(maxHeaderValueLen, len(value))]}, BackpressureUnrecognized)
	}
}

// maxHeaderValueLen bounds what is told of a word that nothing reads.
const maxHeaderValueLen = 80

// applyLimit takes the limit that the upstream names.
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

// noteNoLimit takes an answer to this request that names no limit. Only a success says that there is none any more: a failure may come from
// something before the upstream that knows of no limit.
func (f *forwarder) noteNoLimit() {
	s := f.x.s
	if f.notice.Limited || f.notice.LimitErr != nil || f.status >= http.StatusMultipleChoices {
		return
	}
	if previous, removed := s.Limits.Table.RecordUnlimited(f.target.id, f.sentAt, s.Now()); removed {
		s.sendBackpressureEvent(&BackpressureEvent{Upstream: f.target.id, Group: f.target.group, PreviousLimit: previous.Rate, PreviousSince: previous.Since}, BackpressureLimitRemoved)
		f.publishLimit(0)
	}
}

// publishBackoff tells the other entries that the head of a group asked this one for time.
func (f *forwarder) publishBackoff(remaining time.Duration) {
	if f.target.group != "" {
		f.x.s.SendUpdate(EntryUpdate{Head: f.target.id, BackoffMS: max(1, remaining.Milliseconds())}, f.target.users)
	}
}

// applyPeerBackoff notes that the head of a group asked another entry for time; the mutex is held. This one is not bound by it, but a head
// that is overrun is better left alone where others have room: each of many entries would otherwise be refused there once.
func (s *Relay) applyPeerBackoff(t *target, ms int64) {
	delay := time.Duration(min(ms, s.Backoff.Rule.Max.Milliseconds())) * time.Millisecond
	ts := s.stateOf(t)
	if until := s.Now().Add(delay); until.After(ts.peerBackoffUntil) {
		ts.peerBackoffUntil = until
	}
}

// sendBackpressureEvent tells operators what an upstream asks for, and what is made of it.
func (s *Relay) sendBackpressureEvent(event *BackpressureEvent, kind BackpressureKind) {
	event.Kind, event.EffectiveDelay = kind, s.Backoff.StateOf(s.Now(), event.Upstream).Remaining
	s.OnBackpressure(event)
}

// endBackoffProbe ends the try that finds out whether an upstream takes requests again, if the present one is that.
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

// unavailable counts the upstreams that want nothing at a choice.
type unavailable struct {
	backedOff, leaving, limited int
	// outsideRegion are those in regions where the request may not go.
	outsideRegion int
	// soonest is when the first of those that only asked for time, or take nothing more within their limits, may be tried again.
	soonest time.Duration
	// limitRate is what this entry can expect of all limits.
	limitRate ratelimit.Rate
}

// addBackoff counts an upstream if it asked for nothing, and reports whether that is so. One that only refused is full for a moment.
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

// addLimit counts an upstream with a limit, and reports whether there is nothing to be had of it now.
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

// updateSoonest notes that an upstream may be tried again after a time.
func (a *unavailable) updateSoonest(remaining time.Duration) {
	if a.backedOff+a.limited == 0 || remaining < a.soonest {
		a.soonest = remaining
	}
}

func (a *unavailable) total() int {
	return a.backedOff + a.leaving + a.limited
}
