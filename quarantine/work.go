package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinquay/dunlinquay/ident"
)

// Fingerprint identifies what requests under which upstreams crash can have in common: either their customer and content, if one request is
// sent again under another id, or a part of their prompts.
type Fingerprint struct {
	Customer ident.Customer
	Content  ident.ContentHash
	// Part is the id of a part of the prompt, "" otherwise; Content is then the digest of the service, the model and the id.
	Part ident.PromptPart
}

// PartFingerprint returns the fingerprint of a part of the prompts for a model.
func PartFingerprint(service ident.Service, model ident.Model, part ident.PromptPart) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	for _, name := range []string{string(service), string(model), string(part)} {
		_, _ = digest.WriteString(name) // a hash accepts everything
		_, _ = digest.Write([]byte{0})
	}
	return Fingerprint{Content: ident.ContentHash(digest.Sum64()), Part: part}
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
	// Part is the part of prompts that the report is about, if it is about one. Moments and FailedTrials are what the sender counted for it;
	// of two reports with equal Cleared the higher ones count.
	Part         ident.PromptPart `cbor:"7,keyasint,omitempty"`
	Moments      int              `cbor:"8,keyasint,omitempty"`
	FailedTrials int              `cbor:"9,keyasint,omitempty"`
}

// Fingerprint returns the fingerprint that the report is about.
func (r *Report) Fingerprint() Fingerprint {
	return Fingerprint{r.Customer, r.Content, r.Part}
}

// record is what is known of one fingerprint.
type record struct {
	// part is set for a part of prompts. moments is the number of moments at which upstreams crashed under requests with it, the last of which
	// began at momentAt; failedTrials is how many trials ended in a crash.
	part         bool
	moments      int
	momentAt     time.Time
	failedTrials int
	// everShared is set once the part has had partSharedCrashes crashes, and stays set when they are cleared.
	everShared bool

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
	r.everShared = r.everShared || len(r.crashes) >= partSharedCrashes
	return added
}

func (r *record) report(fingerprint Fingerprint, now time.Time) Report {
	age := now.Sub(r.lastCrash).Milliseconds()
	if len(r.crashes) == 0 {
		age = 0
	}
	return Report{
		Customer: fingerprint.Customer, Content: fingerprint.Content, Part: fingerprint.Part, Cleared: r.cleared, Ends: slices.Clone(r.crashes), AgeMS: age,
		Moments: r.moments, FailedTrials: r.failedTrials,
	}
}

// clear forgets the crashes; the answer that cleared them was the cleared-th.
func (r *record) clear(cleared uint32) {
	*r = record{part: r.part, everShared: r.everShared, cleared: cleared, trialUntil: r.trialUntil}
}
