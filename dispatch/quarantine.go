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

// quarantineError returns the refusal of a quarantined request, nil if it may be sent.
func (d *Dispatcher) quarantineError(fingerprint quarantine.Fingerprint) error {
	remaining := d.Quarantine.Remaining(d.Now(), fingerprint)
	if remaining <= 0 {
		return nil
	}
	return admission.Refuse(result.WorkHeld, remaining, "upstreams crashed while they ran the same request, content %v; quarantined for another %v", fingerprint.Content, remaining.Round(time.Second))
}

// beginAttempt records that a request is about to be sent, or returns its refusal if it has been quarantined meanwhile.
func (d *Dispatcher) beginAttempt(fingerprint quarantine.Fingerprint) error {
	if err := d.quarantineError(fingerprint); err != nil {
		return err
	}
	d.Quarantine.BeginTrial(d.Now(), fingerprint)
	return nil
}

// noteEvidence records whether the attempt at address that ended with err cleared the request or crashed the upstream, which was
// incarnation.
func (d *Dispatcher) noteEvidence(fingerprint quarantine.Fingerprint, address string, incarnation ident.Incarnation, err error) {
	switch result.CodeOf(err) {
	case result.OK:
		d.Quarantine.Answered(d.Now(), fingerprint)
	case result.AnswerFragment, result.UpstreamMalformed, result.UpstreamFailed:
		if !d.upstreamCrashed(address) {
			return
		}
		report := d.Quarantine.Crashed(d.Now(), fingerprint, quarantine.CrashIDOf(incarnation))
		if remaining := d.Quarantine.Remaining(d.Now(), fingerprint); remaining > 0 {
			d.Quarantined(&report, remaining)
		}
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
