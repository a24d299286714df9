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

// proofTimeout bounds the question whether an upstream has ended: a VM whose process is gone refuses within a round trip.
const proofTimeout = 60 * time.Millisecond

// held returns the refusal of work that is not to be sent to upstreams now, nil for any other.
func (d *Dispatcher) held(w quarantine.Fingerprint) error {
	left := d.Quarantine.Remaining(d.Now(), w)
	if left <= 0 {
		return nil
	}
	return admission.Refuse(result.WorkHeld, left, "upstreams ended while they ran the same, content %v; held for another %v", w.Content, left.Round(time.Second))
}

// begin notes that work is about to be sent, unless it has come to be held meanwhile.
func (d *Dispatcher) begin(w quarantine.Fingerprint) error {
	if err := d.held(w); err != nil {
		return err
	}
	d.Quarantine.BeginTrial(d.Now(), w)
	return nil
}

// concluded takes what the end of a try at address says of the work; life is who ended there, if somebody did.
func (d *Dispatcher) concluded(w quarantine.Fingerprint, address string, life ident.Incarnation, err error) {
	switch result.CodeOf(err) {
	case result.OK:
		d.Quarantine.Answered(d.Now(), w)
	case result.AnswerFragment, result.UpstreamMalformed, result.UpstreamFailed:
		if !d.hasEnded(address) {
			return
		}
		tell := d.Quarantine.Crashed(d.Now(), w, quarantine.CrashIDOf(life))
		if left := d.Quarantine.Remaining(d.Now(), w); left > 0 {
			d.Holds(&tell, left)
		}
	}
}

// hasEnded reports whether the upstream at address has ended. The request waits for the answer, a round trip, because its next try
// would end one more upstream.
func (d *Dispatcher) hasEnded(address string) bool {
	// The caller may have left; what was seen counts all the same.
	ctx, cancel := context.WithTimeout(context.Background(), proofTimeout)
	defer cancel()
	return d.Refuses(ctx, address)
}
