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

// AskingKind is what changed of what an upstream asks for.
type AskingKind string

// What changes.
const (
	// AskingTime means that it wants nothing for a time.
	AskingTime AskingKind = "asked for time"
	// AskingNothing means that it takes requests again.
	AskingNothing AskingKind = "takes requests again"
	// AskingLeave means that it leaves.
	AskingLeave AskingKind = "leaves"
	// AskingUnclear means that what it asks for can't be read.
	AskingUnclear AskingKind = "asks for something unreadable"
	// AskingLimit means that it names a limit, or another one than before; AskingNoLimit that it names none any more.
	AskingLimit   AskingKind = "names a limit"
	AskingNoLimit AskingKind = "names no limit any more"
	// AskingUnread means that it says something that nothing here reads.
	AskingUnread AskingKind = "says what nothing reads"
)

// Asking tells operators that what an upstream asks of this entry has changed.
type Asking struct {
	Kind     AskingKind
	Upstream ident.Incarnation
	Group    ident.Group
	// RetryAfter is what it said, as it came, Asked how long that is, and For how long nothing is sent there.
	RetryAfter string
	Asked      time.Duration
	For        time.Duration
	Err        error
	// Limit is the limit that it names, Was the one before, which it had named first at Since.
	Limit ratelimit.Rate
	Was   ratelimit.Rate
	Since time.Time
	// Word is a header that nothing reads, Value what stands in it.
	Word  string
	Value string
}

// heed takes what the upstream asks for in the head of an answer, also of one to an earlier request on the connection.
func (f *follower) heed(resp *http.Response) {
	s, now := f.x.s, f.x.s.Now()
	f.status, f.notice = resp.StatusCode, backoff.NoticeOf(resp, s.Names.Words, time.Now())
	a := &Asking{Upstream: f.t.id, Group: f.t.group, RetryAfter: f.notice.Text, Asked: f.notice.Asked, Err: f.notice.Err}
	if f.notice.Leaving && s.Backoff.Leave(now, f.t.id) {
		s.tellAsked(a, AskingLeave)
	}
	if f.notice.Err != nil {
		s.tellAsked(a, AskingUnclear)
	}
	// A failure that asks for nothing is none of want of room.
	refuses := backoff.TurnsAway(resp.StatusCode) && (f.notice.Asked > 0 || resp.Header.Get(s.Names.NotRun) != "")
	if refuses && s.Backoff.Refuse(now, f.t.id, f.notice.Asked) {
		s.tellAsked(a, AskingTime)
		f.tellEntries(a.For)
	}
	f.heedLimit(now)
	for _, word := range s.Unread.Note(f.t.id, f.notice.Header) {
		value := f.notice.Header.Get(word)
		s.tellAsked(&Asking{Upstream: f.t.id, Group: f.t.group, Word: word, Value: value[:min(valueMost, len(value))]}, AskingUnread)
	}
}

// valueMost bounds what is told of a word that nothing reads.
const valueMost = 80

// heedLimit takes the limit that the upstream names.
func (f *follower) heedLimit(now time.Time) {
	s, a := f.x.s, &Asking{Upstream: f.t.id, Group: f.t.group, Limit: f.notice.Limit, Err: f.notice.LimitErr}
	if a.Err != nil {
		s.tellAsked(a, AskingUnclear)
	}
	if !f.notice.Limited {
		return
	}
	if was, changed := s.Limits.Words.Name(f.t.id, f.notice.Limit, now); changed {
		a.Was, a.Since = was.Rate, was.Since
		s.tellAsked(a, AskingLimit)
		if !was.Limited() || f.notice.Limit < was.Rate {
			f.tellLimit(f.notice.Limit)
		}
	}
}

// missLimit takes an answer to this request that names no limit. Only a success says that there is none any more: a failure may come from
// something before the upstream that knows of no limit.
func (f *follower) missLimit() {
	s := f.x.s
	if f.notice.Limited || f.notice.LimitErr != nil || f.status >= http.StatusMultipleChoices {
		return
	}
	if was, ended := s.Limits.Words.Miss(f.t.id, f.sent, s.Now()); ended {
		s.tellAsked(&Asking{Upstream: f.t.id, Group: f.t.group, Was: was.Rate, Since: was.Since}, AskingNoLimit)
		f.tellLimit(0)
	}
}

// tellEntries tells the other entries that the head of a group asked this one for time.
func (f *follower) tellEntries(left time.Duration) {
	if f.t.group != "" {
		f.x.s.Tell(News{Head: f.t.id, Asked: max(1, left.Milliseconds())}, f.t.users)
	}
}

// hearAsked notes that the head of a group asked another entry for time; the mutex is held. This one is not bound by it, but a head
// that is overrun is better left alone where others have room: each of many entries would otherwise be refused there once.
func (s *Relay) hearAsked(t *target, ms int64) {
	left := time.Duration(min(ms, s.Backoff.Rule.Most.Milliseconds())) * time.Millisecond
	ts := s.stateOf(t)
	if until := s.Now().Add(left); until.After(ts.askedOthers) {
		ts.askedOthers = until
	}
}

// tellAsked tells operators what an upstream asks for, and what is made of it.
func (s *Relay) tellAsked(a *Asking, kind AskingKind) {
	a.Kind, a.For = kind, s.Backoff.Of(s.Now(), a.Upstream).Left
	s.Asked(a)
}

// endTrial ends the try that finds out whether an upstream takes requests again, if the present one is that.
func (x *exchange) endTrial(id ident.Incarnation, taken bool) {
	if !x.trial {
		return
	}
	x.trial = false
	x.s.Backoff.End(id, taken)
	if taken {
		x.s.Asked(&Asking{Kind: AskingNothing, Upstream: id})
	}
}

// away counts the upstreams that want nothing at a choice.
type away struct {
	backedOff, leaving, limited int
	// elsewhere are those in regions where the request may not go.
	elsewhere int
	// soonest is when the first of those that only asked for time, or take nothing more within their limits, may be tried again.
	soonest time.Duration
	// rate is what this entry can expect of all limits.
	rate ratelimit.Rate
}

// add counts an upstream if it asked for nothing, and reports whether that is so. One that only refused is full for a moment.
func (a *away) add(s backoff.State) bool {
	switch {
	case s.Left > 0 && s.Leaving:
		a.leaving++
		return true
	case s.Left <= 0 || !s.Asked:
		return false
	}
	a.sooner(s.Left)
	a.backedOff++
	return true
}

// limit counts an upstream with a limit, and reports whether there is nothing to be had of it now.
func (a *away) limit(g ratelimit.Gate) bool {
	if !g.Limited {
		return false
	}
	a.rate += g.Rate
	if g.Open() {
		return false
	}
	a.sooner(g.Left)
	a.limited++
	return true
}

// sooner notes that an upstream may be tried again after a time.
func (a *away) sooner(left time.Duration) {
	if a.backedOff+a.limited == 0 || left < a.soonest {
		a.soonest = left
	}
}

func (a *away) number() int {
	return a.backedOff + a.leaving + a.limited
}
