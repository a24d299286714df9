package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinquay/dunlinquay/ident"
)

// Fingerprint names what is the same when a request comes again under another id: whose it is and what it contains.
type Fingerprint struct {
	Customer ident.Customer
	Content  ident.Content
}

// ContentOf returns the digest of a path with its query, and a body.
func ContentOf(path string, body []byte) ident.Content {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(path) // a hash takes everything
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return ident.Content(digest.Sum64())
}

// CrashID names the life of an upstream that ended.
type CrashID uint64

// CrashIDOf returns the name of the end of one life.
func CrashIDOf(incarnation ident.Incarnation) CrashID {
	return CrashID(xxhash.Sum64String(string(incarnation)))
}

// Report tells others what is known of one work. Of two reports the one with more in Cleared counts; at the same number the ends of
// both do, so it does not matter in which order and how often reports arrive.
type Report struct {
	Customer ident.Customer `cbor:"1,keyasint,omitempty"`
	Content  ident.Content  `cbor:"2,keyasint"`
	// Cleared is how often the work had a whole answer after upstreams had ended; ends before that do not count.
	Cleared uint32 `cbor:"3,keyasint,omitempty"`
	// Ends are the lives that ended, in order.
	Ends []CrashID `cbor:"4,keyasint,omitempty"`
	// AgeMS is how long ago the newest of them ended, in ms.
	AgeMS int64 `cbor:"5,keyasint,omitempty"`
	// Trying is set while the sender tries the work once more after it was held.
	Trying bool `cbor:"6,keyasint,omitempty"`
}

// Fingerprint returns what the report is about.
func (r *Report) Fingerprint() Fingerprint {
	return Fingerprint{r.Customer, r.Content}
}

// record is what is known of one work.
type record struct {
	cleared uint32
	crashes []CrashID
	// lastCrash is when the newest end was, changed when anything was learnt.
	lastCrash time.Time
	changedAt time.Time
	// trialUntil is until when somebody tries it once more.
	trialUntil time.Time
}

// add takes ends and reports whether any was new. Where there are too many the smallest stay, so that all keep the same ones.
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
