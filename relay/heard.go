package relay

// A prompt is read within a tenth of a second or two, so what the leader tells
// of other entries comes too late to say what waits at a group. Entries
// therefore tell each other of every prompt when they send it. What is lost on
// the way only makes an estimate worse.

import (
	"net/netip"
	"time"

	"github.com/dunlinquay/dunlinquay/estimate"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/ratelimit"
)

// News is what an entry tells of the head of a group: that it sent a prompt there, that it waits in vain for a sign, or that the head
// asked it for time; or of an upstream with a limit.
type News struct {
	Head   ident.Incarnation `cbor:"1,keyasint"`
	Prompt ident.Tokens      `cbor:"2,keyasint,omitempty"`
	// Silent is how long the head has been silent for the sender, in ms, when it suspects that the group works.
	Silent int64 `cbor:"3,keyasint,omitempty"`
	// Work tells of work under which upstreams ended.
	Work *quarantine.Report `cbor:"5,keyasint,omitempty"`
	// Worked is how long ago the group gave the sender a sign, in ms and at least 1, when others suspect that it works.
	Worked int64 `cbor:"4,keyasint,omitempty"`
	// Asked is for how long the head wants nothing from the sender, in ms.
	Asked int64 `cbor:"6,keyasint,omitempty"`
	// Limit tells of the limit of an upstream, Question and Answer are about one request within it.
	Limit    *LimitNews                             `cbor:"7,keyasint,omitempty"`
	Question *ratelimit.Question[ident.Incarnation] `cbor:"8,keyasint,omitempty"`
	Answer   *ratelimit.Answer[ident.Incarnation]   `cbor:"9,keyasint,omitempty"`
}

// OfPrompt reports whether n tells of a prompt.
func (n *News) OfPrompt() bool {
	return n.Silent == 0 && n.Worked == 0 && n.Asked == 0 && n.Work == nil && !n.ofLimit()
}

const (
	// heardTokens bounds what is believed of one prompt, heardMost the prompts remembered of one head: several times what
	// fits into a pass.
	heardTokens = 1 << 20
	heardMost   = 256
)

// heard is a prompt that another entry sent: when this entry heard of it, and until when it is probably read.
type heard struct {
	prompt ident.Tokens
	at     time.Time
	until  time.Time
}

// heardKept is how long a prompt is remembered that was read: until the leader's counts have it, at the largest site.
const heardKept = time.Second

// Hear takes the news of another entry, which are told apart by their addresses.
func (s *Relay) Hear(n News, from netip.AddrPort) {
	if n.ofLimit() {
		s.hearOfLimit(&n, from)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Work != nil {
		s.hearWork(n.Work, from)
		return
	}
	t := s.fleet.byHead[n.Head]
	if t == nil {
		return
	}
	if n.Asked > 0 {
		s.hearAsked(t, n.Asked)
		return
	}
	if !n.OfPrompt() {
		s.applySuspicion(t, &n, from)
		return
	}
	ts := s.stateOf(t)
	if n.Prompt <= 0 {
		return
	}
	if len(ts.heard) >= heardMost {
		return
	}
	now := s.Now()
	prompt := min(n.Prompt, heardTokens)
	first := t.times.FirstWord(estimate.Load{Unread: ts.unreadNow(now), Requests: ts.inflight}, prompt)
	ts.heard = append(ts.heard, heard{prompt, now, now.Add(first + s.launchOf(t.model).usual)})
	ts.sent(now)
}

// unreadNow returns the tokens of this entry's prompts and of those heard of that are not read yet.
func (ts *targetState) unreadNow(now time.Time) ident.Tokens {
	unread := ts.unread
	kept := ts.heard[:0]
	for _, h := range ts.heard {
		if now.Before(h.until) {
			unread += h.prompt
		}
		if now.Before(h.until) || now.Sub(h.at) < heardKept {
			kept = append(kept, h)
		}
	}
	ts.heard = kept
	return unread
}

// mayBeUnread bounds the tokens of prompts that are not read yet: those of other entries may take longer than the estimate.
func (ts *targetState) mayBeUnread(now time.Time) ident.Tokens {
	unread := ts.unread
	for _, h := range ts.heard {
		if now.Sub(h.until) < boundSlack {
			unread += h.prompt
		}
	}
	return unread
}

// heardSince returns how many prompts other entries have sent since a time.
func (ts *targetState) heardSince(at time.Time) int {
	n := 0
	for i := range ts.heard {
		if ts.heard[i].at.After(at) {
			n++
		}
	}
	return n
}
