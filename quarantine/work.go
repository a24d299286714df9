package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinquay/dunlinquay/ident"
)

// Fingerprint identifies a request that is sent again under another id, by customer and content.
type Fingerprint struct {
	Customer ident.Customer
	Content  ident.ContentHash
}

// ContentOf returns the digest of a path with query and a body.
func ContentOf(path string, body []byte) ident.ContentHash {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(path) // a hash accepts everything
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return ident.ContentHash(digest.Sum64())
}

// CrashID identifies a crash by a digest of the incarnation that crashed.
type CrashID uint64

// CrashIDOf returns the id of an incarnation's crash.
func CrashIDOf(incarnation ident.Incarnation) CrashID {
	return CrashID(xxhash.Sum64String(string(incarnation)))
}

// Report is what is known of one fingerprint, as sent to other processes. Of two reports the one with the higher Cleared counts; with
// equal ones the crashes are united, so the order and repetition of reports do not matter.
type Report struct {
	Customer ident.Customer    `cbor:"1,keyasint,omitempty"`
	Content  ident.ContentHash `cbor:"2,keyasint"`
	// Cleared is how often a complete answer has cleared crashes; earlier crashes do not count.
	Cleared uint32 `cbor:"3,keyasint,omitempty"`
	// Ends are the crashes, in ascending order.
	Ends []CrashID `cbor:"4,keyasint,omitempty"`
	// AgeMS is the age of the newest crash in ms.
	AgeMS int64 `cbor:"5,keyasint,omitempty"`
	// Trying is set when the sender is running a trial after a quarantine.
	Trying bool `cbor:"6,keyasint,omitempty"`
}

// Fingerprint returns the fingerprint that the report is about.
func (r *Report) Fingerprint() Fingerprint {
	return Fingerprint{r.Customer, r.Content}
}

// record is what is known of one fingerprint.
type record struct {
	cleared uint32
	crashes []CrashID
	// lastCrash is the time of the newest crash, changedAt the time of the last change.
	lastCrash time.Time
	changedAt time.Time
	// trialUntil is the time until which a trial can be running.
	trialUntil time.Time
}

// add adds crashes and reports whether any was new. Beyond MaxCrashes the smallest ids are kept, so that all processes keep the same ones.
func (r *record) add(crashes []CrashID) bool {
	added := false
	for _, crash := range crashes {
		index, found := slices.BinarySearch(r.crashes, crash)
		if found || index >= MaxCrashes {
			continue
		}
		r.crashes = slices.Insert(r.crashes, index, crash)
		r.crashes = r.crashes[:min(len(r.crashes), MaxCrashes)]
		added = true
	}
	return added
}

func (r *record) report(fingerprint Fingerprint, now time.Time) Report {
	age := now.Sub(r.lastCrash).Milliseconds()
	if len(r.crashes) == 0 {
		age = 0
	}
	return Report{Customer: fingerprint.Customer, Content: fingerprint.Content, Cleared: r.cleared, Ends: slices.Clone(r.crashes), AgeMS: age}
}
