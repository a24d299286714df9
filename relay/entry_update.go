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

// EntryUpdate is what an entry tells of the head of a group: that it sent a prompt there, that it waits in vain for a sign, or that the head
// asked it for time; or of an upstream with a limit.
type EntryUpdate struct {
	Head         ident.Incarnation `cbor:"1,keyasint"`
	PromptTokens ident.Tokens      `cbor:"2,keyasint,omitempty"`
	// SilentMS is how long the head has been silent for the sender, in ms, when it suspects that the group works.
	SilentMS int64 `cbor:"3,keyasint,omitempty"`
	// QuarantineReport tells of work under which upstreams ended.
	QuarantineReport *quarantine.Report `cbor:"5,keyasint,omitempty"`
	// ProgressAgeMS is how long ago the group gave the sender a sign, in ms and at least 1, when others suspect that it works.
	ProgressAgeMS int64 `cbor:"4,keyasint,omitempty"`
	// BackoffMS is for how long the head wants nothing from the sender, in ms.
	BackoffMS int64 `cbor:"6,keyasint,omitempty"`
	// Limit tells of the limit of an upstream, Question and Answer are about one request within it.
	Limit         *LimitUpdate                                `cbor:"7,keyasint,omitempty"`
	PermitRequest *ratelimit.PermitRequest[ident.Incarnation] `cbor:"8,keyasint,omitempty"`
	PermitReply   *ratelimit.PermitReply[ident.Incarnation]   `cbor:"9,keyasint,omitempty"`
}

// IsPrompt reports whether n tells of a prompt.
func (n *EntryUpdate) IsPrompt() bool {
	return n.SilentMS == 0 && n.ProgressAgeMS == 0 && n.BackoffMS == 0 && n.QuarantineReport == nil && !n.isLimit()
}

const (
	// maxPeerPromptTokens bounds what is believed of one prompt, maxPeerPrompts the prompts remembered of one head: several times what
	// fits into a pass.
	maxPeerPromptTokens = 1 << 20
	maxPeerPrompts      = 256
)

// peerPrompt is a prompt that another entry sent: when this entry heard of it, and until when it is probably read.
type peerPrompt struct {
	tokens     ident.Tokens
	receivedAt time.Time
	readBy     time.Time
}

// peerPromptRetention is how long a prompt is remembered that was read: until the leader's counts have it, at the largest site.
const peerPromptRetention = time.Second

// Receive takes the news of another entry, which are told apart by their addresses.
func (s *Relay) Receive(update EntryUpdate, from netip.AddrPort) {
	if update.isLimit() {
		s.receiveLimitUpdate(&update, from)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if update.QuarantineReport != nil {
		s.applyQuarantineReport(update.QuarantineReport, from)
		return
	}
	t := s.index.byHead[update.Head]
	if t == nil {
		return
	}
	if update.BackoffMS > 0 {
		s.applyPeerBackoff(t, update.BackoffMS)
		return
	}
	if !update.IsPrompt() {
		s.applySuspicion(t, &update, from)
		return
	}
	ts := s.stateOf(t)
	if update.PromptTokens <= 0 {
		return
	}
	if len(ts.peerPrompts) >= maxPeerPrompts {
		return
	}
	now := s.Now()
	tokens := min(update.PromptTokens, maxPeerPromptTokens)
	firstEvent := t.timing.FirstEvent(estimate.Load{PendingPrompt: ts.pendingTokensNow(now), Requests: ts.inflight}, tokens)
	ts.peerPrompts = append(ts.peerPrompts, peerPrompt{tokens, now, now.Add(firstEvent + s.dispatchDelayOf(t.model).mean)})
	ts.notePromptSent(now)
}

// pendingTokensNow returns the tokens of this entry's prompts and of those heard of that are not read yet.
func (ts *targetState) pendingTokensNow(now time.Time) ident.Tokens {
	pending := ts.pendingTokens
	kept := ts.peerPrompts[:0]
	for _, p := range ts.peerPrompts {
		if now.Before(p.readBy) {
			pending += p.tokens
		}
		if now.Before(p.readBy) || now.Sub(p.receivedAt) < peerPromptRetention {
			kept = append(kept, p)
		}
	}
	ts.peerPrompts = kept
	return pending
}

// maxPendingTokens bounds the tokens of prompts that are not read yet: those of other entries may take longer than the estimate.
func (ts *targetState) maxPendingTokens(now time.Time) ident.Tokens {
	pending := ts.pendingTokens
	for _, p := range ts.peerPrompts {
		if now.Sub(p.readBy) < iterationBoundSlack {
			pending += p.tokens
		}
	}
	return pending
}

// peerPromptsSince returns how many prompts other entries have sent since a time.
func (ts *targetState) peerPromptsSince(since time.Time) int {
	n := 0
	for i := range ts.peerPrompts {
		if ts.peerPrompts[i].receivedAt.After(since) {
			n++
		}
	}
	return n
}
