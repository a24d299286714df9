package relay

// A prompt is prefilled within 100 to 200 ms, so the leader's counts arrive too
// late to show the prompts that are pending at a group. Entries therefore notify
// each other of every prompt that they send. A lost update only makes an estimate
// less accurate.

import (
	"net/netip"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/ratelimit"
)

// EntryUpdate is a datagram from one entry to others. It carries one of: a prompt sent to the head of a group, a suspicion of the group or its
// refutation, a backoff that the head requested, a quarantine report, an upstream's limit, a permit request or a permit reply.
type EntryUpdate struct {
	Head         ident.Incarnation `cbor:"1,keyasint"`
	PromptTokens ident.Tokens      `cbor:"2,keyasint,omitempty"`
	// AnswerTokens is the expected length of the answer to a prompt, 0 if it is unknown.
	AnswerTokens ident.Tokens `cbor:"10,keyasint,omitempty"`
	// SilentMS is how long the head has been silent for the sender, in ms, when the sender suspects the group.
	SilentMS int64 `cbor:"3,keyasint,omitempty"`
	// QuarantineReport is about a request under which upstreams crashed.
	QuarantineReport *quarantine.Report `cbor:"5,keyasint,omitempty"`
	// ProgressAgeMS is how long ago the group made progress for the sender, in ms and at least 1, when others suspect the group.
	ProgressAgeMS int64 `cbor:"4,keyasint,omitempty"`
	// BackoffMS is the backoff that the head requested from the sender, in ms.
	BackoffMS int64 `cbor:"6,keyasint,omitempty"`
	// Limit is the limit of the upstream Head; PermitRequest and PermitReply concern one request within a limit.
	Limit         *LimitUpdate                                `cbor:"7,keyasint,omitempty"`
	PermitRequest *ratelimit.PermitRequest[ident.Incarnation] `cbor:"8,keyasint,omitempty"`
	PermitReply   *ratelimit.PermitReply[ident.Incarnation]   `cbor:"9,keyasint,omitempty"`
}

// IsPrompt reports whether the update announces a prompt.
func (n *EntryUpdate) IsPrompt() bool {
	return n.SilentMS == 0 && n.ProgressAgeMS == 0 && n.BackoffMS == 0 && n.QuarantineReport == nil && !n.isLimit()
}

const (
	// maxPeerPromptTokens bounds the accepted size of one prompt, maxPeerPrompts the prompts stored for one head: several times what an
	// iteration can prefill.
	maxPeerPromptTokens = 1 << 20
	maxPeerPrompts      = 256
)

// peerPrompt is a prompt that another entry sent; prefilledBy is when its prefill is estimated to end.
type peerPrompt struct {
	tokens      ident.Tokens
	receivedAt  time.Time
	prefilledBy time.Time
}

// peerPromptRetention is how long a prefilled prompt is stored: until the leader's counts include the request, at the largest site.
const peerPromptRetention = time.Second

// Receive applies an update from another entry, identified by its address.
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
	firstEvent := t.timing.FirstEvent(s.loadOf(t, now), tokens)
	ts.peerPrompts = append(ts.peerPrompts, peerPrompt{tokens, now, now.Add(firstEvent + s.dispatchDelayOf(t.model, now).mean)})
	ts.batch.Add(&t.timing, now, ts.inflight, tokens, min(update.AnswerTokens, maxPeerPromptTokens))
	ts.notePromptSent(now)
}

// pendingTokensNow returns the pending tokens of this entry's prompts and of other entries' prompts, and drops expired prompts.
func (ts *targetState) pendingTokensNow(now time.Time) ident.Tokens {
	pending := ts.pendingTokens
	kept := ts.peerPrompts[:0]
	for _, p := range ts.peerPrompts {
		if now.Before(p.prefilledBy) {
			pending += p.tokens
		}
		if now.Before(p.prefilledBy) || now.Sub(p.receivedAt) < peerPromptRetention {
			kept = append(kept, p)
		}
	}
	ts.peerPrompts = kept
	return pending
}

// maxPendingTokens bounds the pending tokens: prompts of other entries can take longer than estimated.
func (ts *targetState) maxPendingTokens(now time.Time) ident.Tokens {
	pending := ts.pendingTokens
	for _, p := range ts.peerPrompts {
		if now.Sub(p.prefilledBy) < iterationBoundSlack {
			pending += p.tokens
		}
	}
	return pending
}

// peerPromptsSince returns how many prompts of other entries were received after a time.
func (ts *targetState) peerPromptsSince(since time.Time) int {
	n := 0
	for i := range ts.peerPrompts {
		if ts.peerPrompts[i].receivedAt.After(since) {
			n++
		}
	}
	return n
}
