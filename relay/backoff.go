package relay

// What upstreams ask of this entry in their answers is kept by package backoff.
// This file reads it off the answers, and says of those that want nothing when
// the first of them may be tried again.

import (
	"net/http"
	"time"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/ident"
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
}

// said is what an upstream says of its own wishes; the text is as it came, but for its length.
type said struct {
	status     int
	retryAfter string
	leaving    bool
}

// saidMost bounds what is kept of a header's text.
const saidMost = 40

// heed takes what the upstream says of its wishes in the head of an answer, also of one to an earlier request on the connection. Who
// answered a misdirected request is not known, so that says nothing of the upstream it was meant for.
func (f *follower) heed(resp *http.Response) {
	s := f.x.s
	text := resp.Header.Get("Retry-After")
	f.said = said{resp.StatusCode, text[:min(saidMost, len(text))], resp.Header.Get(s.Names.Leaving) != ""}
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	if f.said.leaving && s.Backoff.Leave(s.Now(), f.t.id) {
		s.Asked(&Asking{Kind: AskingLeave, Upstream: f.t.id, Group: f.t.group, For: s.Backoff.Rule.Leaving})
	}
	if backoff.TurnsAway(resp.StatusCode) {
		f.turnedAway(resp)
	}
}

// turnedAway notes that the upstream refused for want of room, and for how long it wants nothing.
func (f *follower) turnedAway(resp *http.Response) {
	s := f.x.s
	a := &Asking{Kind: AskingTime, Upstream: f.t.id, Group: f.t.group, RetryAfter: f.said.retryAfter}
	asked, err := backoff.Asked(resp.Header, time.Now())
	if err != nil {
		a.Kind, a.Err = AskingUnclear, err
		s.Asked(a)
	}
	if asked == 0 && resp.Header.Get(s.Names.NotRun) == "" {
		return // a failure that asks for nothing
	}
	now := s.Now()
	if s.Backoff.Refuse(now, f.t.id, asked) {
		a.Asked, a.For = asked, s.Backoff.Of(now, f.t.id).Left
		s.Asked(a)
	}
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
	resting, leaving int
	// soonest is when the first of those that only rest may be tried again.
	soonest time.Duration
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
	if a.resting == 0 || s.Left < a.soonest {
		a.soonest = s.Left
	}
	a.resting++
	return true
}

func (a *away) number() int {
	return a.resting + a.leaving
}
