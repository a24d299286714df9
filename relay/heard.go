package relay

// A prompt is read within a tenth of a second or two, so what the leader tells
// of other entries comes too late to say what waits at a group. Entries
// therefore tell each other of every prompt when they send it: 80 in 100 first
// words then came 47 to 125 ms after the estimate, with own prompts only 75 to
// 226 ms (8 entries, one day each). What is lost on the way only makes an
// estimate worse.

import (
	"time"

	"github.com/dunlinquay/dunlinquay/estimate"
	"github.com/dunlinquay/dunlinquay/ident"
)

// News is what an entry tells of the head of a group: that it sent a prompt there.
type News struct {
	Head   ident.Incarnation `cbor:"1,keyasint"`
	Prompt ident.Tokens      `cbor:"2,keyasint"`
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

// Hear takes the news of another entry.
func (s *Relay) Hear(n News) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lanes[n.Head]
	times, known := s.fleet.times[n.Head]
	model := s.fleet.models[n.Head]
	if l == nil || !known || n.Prompt <= 0 || len(l.heard) >= heardMost {
		return
	}
	now := s.Now()
	prompt := min(n.Prompt, heardTokens)
	first := times.FirstWord(estimate.Load{Unread: l.unreadNow(now), Requests: l.inflight}, prompt)
	l.heard = append(l.heard, heard{prompt, now, now.Add(first + s.launchOf(model).usual)})
}

// unreadNow returns the tokens of this entry's prompts and of those heard of that are not read yet.
func (l *lane) unreadNow(now time.Time) ident.Tokens {
	unread := l.unread
	kept := l.heard[:0]
	for _, h := range l.heard {
		if now.Before(h.until) {
			unread += h.prompt
		}
		if now.Before(h.until) || now.Sub(h.at) < heardKept {
			kept = append(kept, h)
		}
	}
	l.heard = kept
	return unread
}

// heardSince returns how many prompts other entries have sent since a time.
func (l *lane) heardSince(at time.Time) int {
	n := 0
	for i := range l.heard {
		if l.heard[i].at.After(at) {
			n++
		}
	}
	return n
}
