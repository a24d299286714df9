package quarantine

// A request can crash every upstream that runs it while its caller sends it
// again and again, to any entry. A single entry cannot detect that: to each entry
// the request is new and the upstream was healthy. Crashes are therefore counted
// by request fingerprint and merged across all entries:
//
//	entry 1   sent it to u1, u1 crashed     {u1}
//	entry 2   sent it to u2, u2 crashed     {u1, u2}
//	entry 3   sent it to u3, u3 crashed     {u1, u2, u3}: quarantined
//	entry 4   receives it                   refused at once
//
// A crash is identified by the incarnation that crashed, so reports can be lost,
// repeated and reordered. All other requests in progress on that upstream are
// counted as well, since it is not known which request of a batch caused the
// crash; a complete answer clears the count of its fingerprint. When a quarantine
// has ended, one request is admitted as a trial, and a further crash doubles the
// quarantine.

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxCrashes bounds the crashes that are kept of one fingerprint; with the default rule, the quarantine is longest at that number.
	MaxCrashes = 9
	// MaxDuration bounds a quarantine.
	MaxDuration = time.Hour
	// retention is how long a record is kept after its last change and the end of its quarantine: a request repeated at longer intervals
	// crashes fewer than three additional upstreams per hour.
	retention = time.Hour
	// resendFor is how long a change is sent repeatedly. Quarantines are sent until they end, for entries that have just started.
	resendFor = 10 * time.Second
	// trialTimeout is how long other requests wait for the outcome of a trial: longer than requests take.
	trialTimeout = 10 * time.Second
	// sameCrashTolerance is how far the times of the same crash may differ between reports: an update between entries takes a few ms,
	// a sync with the leader half a second.
	sameCrashTolerance = time.Second
	// digestLifetime is how long a digest is reused while nothing changes, minDigestInterval while something does: every sync with the
	// leader needs it, and with many entries and records computing it each time would overload the leader.
	digestLifetime    = 500 * time.Millisecond
	minDigestInterval = 50 * time.Millisecond
	// evictionSample is how many records are compared to find one to evict.
	evictionSample = 8
)

// Rule says after how many crashes a fingerprint is quarantined, and for how long.
type Rule struct {
	// Crashes is the number of consecutive crashes that starts a quarantine.
	Crashes int
	// InitialDuration is the length of the first quarantine.
	InitialDuration time.Duration
	// MaxRecords bounds the fingerprints that are kept; each takes 280 bytes with one crash and 400 with nine.
	MaxRecords int
}

// DefaultRule requires three crashes, since one or two in a row also affect requests that are not at fault; starts with a minute, which
// limits one fingerprint to nine crashes per hour; and keeps records of 2 MB at most.
func DefaultRule() Rule {
	return Rule{Crashes: 3, InitialDuration: time.Minute, MaxRecords: 4096}
}

// List holds the crashes per request fingerprint; its zero value is empty.
type List struct {
	Rule Rule
	// SharesFirstPartCrash is set where reports are only exchanged periodically: the first crash of a part is then shared as well.
	SharesFirstPartCrash bool

	mu      sync.Mutex
	records map[Fingerprint]*record
	// digest is the digest computed at digestAt; digestStale is set when a record has changed since.
	digest      uint64
	digestAt    time.Time
	digestStale bool
	// nextToSend is the index of the report that ToSend returns next.
	nextToSend int
}

// Remaining returns how long the fingerprint must not be sent to upstreams, 0 when it may be sent.
func (l *List) Remaining(now time.Time, fingerprint Fingerprint) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[fingerprint]
	if r == nil {
		return 0
	}
	return max(0, r.trialUntil.Sub(now), l.quarantinedUntil(r).Sub(now))
}

// confirmed reports whether the crashes are enough for a quarantine, which may have ended since.
func (l *List) confirmed(r *record) bool {
	if r.part {
		return r.moments >= l.Rule.Crashes
	}
	return len(r.crashes) >= l.Rule.Crashes
}

// quarantinedUntil returns the end of a record's quarantine, the zero time when there is none.
func (l *List) quarantinedUntil(r *record) time.Time {
	switch {
	case !l.confirmed(r):
		return time.Time{}
	case r.part:
		return r.lastCrash.Add(partDurations[min(r.failedTrials, len(partDurations)-1)])
	}
	return r.lastCrash.Add(min(MaxDuration, l.Rule.InitialDuration<<(len(r.crashes)-l.Rule.Crashes)))
}

// BeginTrial notes that a request with the fingerprint is sent now. After a quarantine only one at a time is sent; ok is then set, and
// the report must be sent to the other entries.
func (l *List) BeginTrial(now time.Time, fingerprint Fingerprint) (report Report, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[fingerprint]
	if r == nil || !l.confirmed(r) {
		return Report{}, false
	}
	r.beginTrial(now)
	report = r.report(fingerprint, now)
	report.Trying = true
	return report, true
}

// Crashed notes that an incarnation crashed while it ran the request, and returns the report for the other entries.
func (l *List) Crashed(now time.Time, fingerprint Fingerprint, crash CrashID) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.recordOf(fingerprint)
	if r.part {
		l.countPartCrash(now, r, crash)
	}
	r.add([]CrashID{crash})
	r.lastCrash, r.changedAt, r.trialUntil = now, now, time.Time{}
	l.digestStale = true
	return r.report(fingerprint, now)
}

// Answered notes a complete answer. If there were crashes, they are cleared; ok is then set, and the report must be sent to the other
// entries.
func (l *List) Answered(now time.Time, fingerprint Fingerprint) (report Report, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[fingerprint]
	if r == nil || len(r.crashes) == 0 {
		return Report{}, false
	}
	r.clear(r.cleared + 1)
	r.changedAt, r.trialUntil = now, time.Time{}
	l.digestStale = true
	return r.report(fingerprint, now), true
}

// Merge merges the report of another process, and reports whether the report changed the list.
func (l *List) Merge(now time.Time, report *Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	fingerprint := report.Fingerprint()
	if l.records[fingerprint] == nil && len(report.Ends) == 0 {
		return false // nothing to clear
	}
	r := l.recordOf(fingerprint)
	if report.Cleared < r.cleared {
		if r.part && len(report.Ends) >= partSharedCrashes {
			// The sender has not heard of the answer.
			r.everShared, r.changedAt, l.digestStale = true, now, true
		}
		return false
	}
	if report.Trying {
		r.beginTrial(now)
	}
	changed := report.Cleared > r.cleared
	if changed {
		r.clear(report.Cleared)
	}
	crashedAt := now.Add(-time.Duration(min(max(0, report.AgeMS), r.maxAge().Milliseconds())) * time.Millisecond)
	added := r.add(report.Ends)
	if added {
		changed = true
		if !report.Trying {
			r.trialUntil = time.Time{}
		}
	}
	if r.part && r.mergePart(report, added, crashedAt) {
		changed = true
	}
	if len(report.Ends) > 0 && crashedAt.Sub(r.lastCrash) > sameCrashTolerance {
		r.lastCrash = crashedAt
		changed = true
	}
	if changed {
		r.changedAt = now
		l.digestStale = true
	}
	return changed
}

// recordOf returns the record of a fingerprint, a new one when there is none.
func (l *List) recordOf(fingerprint Fingerprint) *record {
	if r := l.records[fingerprint]; r != nil {
		return r
	}
	if l.records == nil {
		l.records = map[Fingerprint]*record{}
	}
	if len(l.records) >= l.Rule.MaxRecords {
		l.evictOne()
	}
	r := &record{part: fingerprint.Part != ""}
	l.records[fingerprint] = r
	return r
}

// evictOne deletes the record with the fewest crashes, and of those the oldest, of a random sample: a caller that crashes upstreams
// with ever new requests must not evict the quarantined ones.
func (l *List) evictOne() {
	var victimKey Fingerprint
	var victim *record
	examined := 0
	for fingerprint, r := range l.records {
		if victim == nil || cmp.Or(cmp.Compare(len(r.crashes), len(victim.crashes)), r.changedAt.Compare(victim.changedAt)) < 0 {
			victimKey, victim = fingerprint, r
		}
		if examined++; examined == evictionSample {
			break
		}
	}
	delete(l.records, victimKey)
}

// Crashes returns the number of consecutive crashes of a fingerprint.
func (l *List) Crashes(fingerprint Fingerprint) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[fingerprint]
	if r == nil {
		return 0
	}
	return len(r.crashes)
}

// Len returns the number of records.
func (l *List) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// QuarantinedLen returns the number of quarantined fingerprints.
func (l *List) QuarantinedLen(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.records {
		if l.quarantinedUntil(r).After(now) {
			n++
		}
	}
	return n
}

// Kept returns the reports that a new process needs: those on quarantines, and on parts of prompts whose quarantine has ended without a trial.
func (l *List) Kept(now time.Time) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reports(now, func(r *record) bool { return l.isKept(now, r) })
}

func (l *List) isKept(now time.Time, r *record) bool {
	return l.quarantinedUntil(r).After(now) || r.part && l.confirmed(r)
}

// toShare returns the reports that other entries need: on recent changes and on quarantines.
func (l *List) toShare(now time.Time) []Report {
	return l.reports(now, func(r *record) bool { return l.isShared(r) && now.Sub(r.changedAt) < resendFor || l.isKept(now, r) })
}

// reports returns the reports on the included records in a fixed order, and deletes outdated records.
func (l *List) reports(now time.Time, include func(r *record) bool) []Report {
	var list []Report
	for fingerprint, r := range l.records {
		switch {
		case now.Sub(r.changedAt) > retention && now.Sub(l.quarantinedUntil(r)) > r.retentionAfterQuarantine():
			delete(l.records, fingerprint)
		case include(r):
			list = append(list, r.report(fingerprint, now))
		}
	}
	slices.SortFunc(list, func(a, b Report) int {
		return cmp.Or(cmp.Compare(len(b.Ends), len(a.Ends)), cmp.Compare(a.Content, b.Content), cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Part, b.Part))
	})
	return list
}

// ToSend returns up to limit reports to be sent now; successive calls cycle through recent changes and quarantines.
func (l *List) ToSend(now time.Time, limit int) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.toShare(now)
	if len(list) <= limit {
		return list
	}
	start := l.nextToSend % len(list)
	l.nextToSend = start + limit
	list = append(list[start:], list[:start]...)
	return list[:limit]
}

// Digest returns a recent digest of the reports that other entries need; two lists with equal digests need no exchange.
func (l *List) Digest(now time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if age := now.Sub(l.digestAt); age < minDigestInterval || !l.digestStale && age < digestLifetime {
		return l.digest
	}
	l.digest, l.digestAt, l.digestStale = digestOf(l.toShare(now)), now, false
	return l.digest
}

func digestOf(list []Report) uint64 {
	if len(list) == 0 {
		return 0
	}
	var digest xxhash.Digest
	digest.Reset()
	var buf [8]byte
	write := func(n uint64) {
		binary.LittleEndian.PutUint64(buf[:], n)
		_, _ = digest.Write(buf[:]) // a hash accepts everything
	}
	for i := range list {
		write(uint64(list[i].Content))
		write(uint64(list[i].Cleared))
		for _, crash := range list[i].Ends {
			write(uint64(crash))
		}
		if list[i].Part != "" {
			write(uint64(list[i].Moments))
			write(uint64(list[i].FailedTrials))
		}
	}
	return digest.Sum64()
}
