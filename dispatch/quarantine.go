package dispatch

// Work under which upstreams ended is held (package quarantine): its caller may
// send it again to any daemon, and each would end one more upstream. Daemons
// tell each other what they saw with their beats.

import (
	"context"
	"time"

	"github.com/dunlinquay/dunlinquay/admission"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/result"
)

// crashProbeTimeout bounds the question whether an upstream has ended: a VM whose process is gone refuses within a round trip.
const crashProbeTimeout = 60 * time.Millisecond

// quarantineError returns the refusal of work that is not to be sent to upstreams now, nil for any other.
func (d *Dispatcher) quarantineError(fingerprint quarantine.Fingerprint) error {
	remaining := d.Quarantine.Remaining(d.Now(), fingerprint)
	if remaining <= 0 {
		return nil
	}
	return admission.Refuse(result.WorkHeld, remaining, "upstreams ended while they ran the same, content %v; held for another %v", fingerprint.Content, remaining.Round(time.Second))
}

// beginAttempt notes that work is about to be sent, unless it has come to be held meanwhile.
func (d *Dispatcher) beginAttempt(fingerprint quarantine.Fingerprint) error {
	if err := d.quarantineError(fingerprint); err != nil {
		return err
	}
	d.Quarantine.BeginTrial(d.Now(), fingerprint)
	return nil
}

// noteEvidence takes what the end of a try at address says of the work; life is who ended there, if somebody did.
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
			d.Holds(&report, remaining)
		}
	}
}

// upstreamCrashed reports whether the upstream at address has ended. The request waits for the answer, a round trip, because its next try
// would end one more upstream.
func (d *Dispatcher) upstreamCrashed(address string) bool {
	// The caller may have left; what was seen counts all the same.
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	return d.Refuses(ctx, address)
}
