package dispatch

// A request under which upstreams crashed is quarantined (package quarantine):
// its caller may send it again to any daemon, and each attempt could crash
// another upstream. Daemons exchange their evidence with their heartbeats.

import (
	"context"
	"time"

	"github.com/dunlinquay/dunlinquay/admission"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/result"
)

// crashProbeTimeout bounds the probe for a crashed upstream: a VM whose process is gone refuses a connection within a round trip.
const crashProbeTimeout = 60 * time.Millisecond

// crashKeys are what crashes under a request are counted by: its content, and the parts of its prompt, the last of which is its own.
type crashKeys struct {
	content quarantine.Fingerprint
	parts   []quarantine.Fingerprint
}

// quarantineError returns the refusal of a quarantined request, nil if it may be sent.
func (d *Dispatcher) quarantineError(keys crashKeys) error {
	if remaining := d.Quarantine.Remaining(d.Now(), keys.content); remaining > 0 {
		return admission.Refuse(result.WorkHeld, remaining, "upstreams crashed while they ran the same request, content %v; quarantined for another %v", keys.content.Content, remaining.Round(time.Second))
	}
	if remaining, part := d.Quarantine.RemainingOfParts(d.Now(), keys.parts); remaining > 0 {
		return admission.Refuse(result.PartQuarantined, remaining, "upstreams crashed when they began answers to chats with message %s; quarantined for another %v", part.Part, remaining.Round(time.Millisecond))
	}
	return nil
}

// beginAttempt records that a request is about to be sent, or returns its refusal if it has been quarantined meanwhile.
func (d *Dispatcher) beginAttempt(keys crashKeys) error {
	if err := d.quarantineError(keys); err != nil {
		return err
	}
	d.Quarantine.BeginTrial(d.Now(), keys.content)
	for _, part := range keys.parts {
		d.Quarantine.BeginTrial(d.Now(), part)
	}
	return nil
}

// noteEvidence records whether the attempt at address that ended with err cleared the request or crashed the upstream, which was
// incarnation. begun is set if an answer had begun.
func (d *Dispatcher) noteEvidence(keys crashKeys, address string, incarnation ident.Incarnation, begun bool, err error) {
	switch result.CodeOf(err) {
	case result.OK:
		d.Quarantine.Answered(d.Now(), keys.content)
		d.noteAnswerBegun(keys)
	case result.AnswerFragment, result.UpstreamMalformed, result.UpstreamFailed:
		if !d.upstreamCrashed(address) {
			return
		}
		d.noteCrash(keys.content, incarnation)
		if begun || len(keys.parts) == 0 {
			return
		}
		for _, part := range keys.parts[:len(keys.parts)-1] {
			d.noteCrash(part, incarnation)
		}
	}
}

// noteCrash records that an incarnation crashed under a request with the fingerprint.
func (d *Dispatcher) noteCrash(fingerprint quarantine.Fingerprint, incarnation ident.Incarnation) {
	report := d.Quarantine.Crashed(d.Now(), fingerprint, quarantine.CrashIDOf(incarnation))
	if remaining := d.Quarantine.Remaining(d.Now(), fingerprint); remaining > 0 {
		d.Quarantined(&report, remaining)
	}
}

// noteAnswerBegun records that an upstream has begun to answer a request.
func (d *Dispatcher) noteAnswerBegun(keys crashKeys) {
	for _, part := range keys.parts {
		d.Quarantine.Answered(d.Now(), part)
	}
}

// upstreamCrashed reports whether the upstream at address refuses connections. The request waits for that, usually one round trip,
// because its next attempt could crash another upstream.
func (d *Dispatcher) upstreamCrashed(address string) bool {
	// The evidence counts even if the caller has cancelled the request, hence not its context.
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	return d.ConnectionRefused(ctx, address)
}
