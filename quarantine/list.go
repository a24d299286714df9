package quarantine

// A request may end every upstream that runs it, and its caller sends it again
// and again, to any entry. No entry alone can see that: to each the request is
// new and the upstream was sound. So what is counted is the work, not the
// request, and all entries count together:
//
//	entry 1   ran on u1, u1 ended           {u1}
//	entry 2   ran on u2, u2 ended           {u1, u2}
//	entry 3   ran on u3, u3 ended           {u1, u2, u3}: held
//	entry 4   it comes again                refused at once
//
// An end is named by the life that ended, so reports may be lost, repeated and
// arrive in any order. Whatever else ran on an upstream that ended is counted
// too, since nobody can tell which of a batch was at fault; the next whole
// answer clears it. Held work is let in again after a time, once, and is held
// for twice as long if that ends one more upstream.

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxCrashes bounds the ends that are remembered of one work: with the usual rule, the number after which it is held longest.
	MaxCrashes = 9
	// MaxDuration bounds how long work is held.
	MaxDuration = time.Hour
	// retention is how long something is remembered after it was last learnt: work that comes again more seldom ends less than three
	// upstreams an hour more than work that does not.
	retention = time.Hour
	// resendFor is how long a change is told again and again; what is held is told as long as it is, to entries that have just started.
	resendFor = 10 * time.Second
	// trialTimeout is how long others wait for the one that tries held work once more: longer than requests take.
	trialTimeout = 10 * time.Second
	// sameCrashTolerance is how far two reports may be apart on when the same end was: news take some ms, a sync with the leader half a second.
	sameCrashTolerance = time.Second
	// digestLifetime is how long a digest is used again while nothing is learnt, minDigestInterval while something is: each sync with the leader asks
	// for it, and with many entries and records it would fill the leader's time.
	digestLifetime    = 500 * time.Millisecond
	minDigestInterval = 50 * time.Millisecond
	// evictionSample is how many records are compared to find one to forget.
	evictionSample = 8
)

// Rule says what is held, and for how long.
type Rule struct {
	// Crashes is how many upstreams must have ended under a work in a row.
	Crashes int
	// InitialDuration is how long it is held at first.
	InitialDuration time.Duration
	// MaxRecords bounds the works that are remembered; one takes 200 bytes with one end and 320 with nine.
	MaxRecords int
}

// DefaultRule is three ends, since one or two in a row also meet work that is not at fault; a minute, which bounds what one work ends
// to nine upstreams an hour; and records that take about 1 MB in all.
func DefaultRule() Rule {
	return Rule{Crashes: 3, InitialDuration: time.Minute, MaxRecords: 4096}
}

// List is what is known of work that upstreams ended under; the zero value knows nothing.
type List struct {
	Rule Rule

	mu      sync.Mutex
	records map[Fingerprint]*record
	// digest is Sum as it was at digestAt, old when anything was learnt since.
	digest      uint64
	digestAt    time.Time
	digestStale bool
	// nextToSend is the work that is told next, by its place among those to be told.
	nextToSend int
}

// Remaining returns how long the work is still not to be sent to upstreams, 0 when it may.
func (l *List) Remaining(now time.Time, fingerprint Fingerprint) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[fingerprint]
	if r == nil {
		return 0
	}
	return max(0, r.trialUntil.Sub(now), l.quarantinedUntil(r).Sub(now))
}

// quarantinedUntil returns when a record stops being held, the zero time when it is not.
func (l *List) quarantinedUntil(r *record) time.Time {
	if len(r.crashes) < l.Rule.Crashes {
		return time.Time{}
	}
	return r.lastCrash.Add(min(MaxDuration, l.Rule.InitialDuration<<(len(r.crashes)-l.Rule.Crashes)))
}

// BeginTrial notes that work which may be sent is sent now. Work that was held before gets one try at a time; ok is then set, and others
// must be told by the report.
func (l *List) BeginTrial(now time.Time, fingerprint Fingerprint) (report Report, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[fingerprint]
	if r == nil || len(r.crashes) < l.Rule.Crashes {
		return Report{}, false
	}
	r.trialUntil = now.Add(trialTimeout)
	report = r.report(fingerprint, now)
	report.Trying = true
	return report, true
}

// Crashed notes that a life ended while it ran the work, and returns what others must be told.
func (l *List) Crashed(now time.Time, fingerprint Fingerprint, crash CrashID) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.recordOf(fingerprint)
	r.add([]CrashID{crash})
	r.lastCrash, r.changedAt, r.trialUntil = now, now, time.Time{}
	l.digestStale = true
	return r.report(fingerprint, now)
}

// Answered notes that the work has a whole answer. If upstreams had ended under it they count no more; ok is then set, and others
// must be told by the report.
func (l *List) Answered(now time.Time, fingerprint Fingerprint) (report Report, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[fingerprint]
	if r == nil || len(r.crashes) == 0 {
		return Report{}, false
	}
	*r = record{cleared: r.cleared + 1, changedAt: now}
	l.digestStale = true
	return r.report(fingerprint, now), true
}

// Merge takes what somebody else knows, and reports whether that was new.
func (l *List) Merge(now time.Time, report *Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	fingerprint := report.Fingerprint()
	if l.records[fingerprint] == nil && len(report.Ends) == 0 {
		return false // it clears what nothing is known of
	}
	r := l.recordOf(fingerprint)
	if report.Cleared < r.cleared {
		return false
	}
	if report.Trying {
		r.trialUntil = now.Add(trialTimeout)
	}
	changed := report.Cleared > r.cleared
	if changed {
		*r = record{cleared: report.Cleared, trialUntil: r.trialUntil}
	}
	if r.add(report.Ends) {
		changed = true
		if !report.Trying {
			r.trialUntil = time.Time{}
		}
	}
	crashedAt := now.Add(-time.Duration(min(max(0, report.AgeMS), MaxDuration.Milliseconds())) * time.Millisecond)
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

// recordOf returns the record of a work, a new one when there is none.
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
	r := &record{}
	l.records[fingerprint] = r
	return r
}

// evictOne forgets the record that matters least of some that are drawn at random: somebody who sends ever new work that ends
// upstreams must not push out what is held.
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

// Crashes returns how many upstreams have ended under a work in a row.
func (l *List) Crashes(fingerprint Fingerprint) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[fingerprint]
	if r == nil {
		return 0
	}
	return len(r.crashes)
}

// Len returns how many works are remembered.
func (l *List) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.records)
}

// QuarantinedLen returns how many works are held.
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

// Quarantined returns what is held, the longest list of ends first.
func (l *List) Quarantined(now time.Time) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reports(now, func(r *record) bool { return l.quarantinedUntil(r).After(now) })
}

// toShare returns what others are to be told: what has changed lately, and what is held.
func (l *List) toShare(now time.Time) []Report {
	return l.reports(now, func(r *record) bool { return now.Sub(r.changedAt) < resendFor || l.quarantinedUntil(r).After(now) })
}

// reports returns the reports on some records in an order that does not depend on the map, and forgets what is too old.
func (l *List) reports(now time.Time, include func(r *record) bool) []Report {
	var list []Report
	for fingerprint, r := range l.records {
		switch {
		case now.Sub(r.changedAt) > retention && !l.quarantinedUntil(r).After(now):
			delete(l.records, fingerprint)
		case include(r):
			list = append(list, r.report(fingerprint, now))
		}
	}
	slices.SortFunc(list, func(a, b Report) int {
		return cmp.Or(cmp.Compare(len(b.Ends), len(a.Ends)), cmp.Compare(a.Content, b.Content), cmp.Compare(a.Customer, b.Customer))
	})
	return list
}

// ToSend returns up to most reports to be told now: by turns all that have changed lately, and what is held.
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

// Digest is a digest of all that others are to be told, as of a moment ago: two lists with the same one have nothing to tell each other.
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
		_, _ = digest.Write(buf[:]) // a hash takes everything
	}
	for i := range list {
		write(uint64(list[i].Content))
		write(uint64(list[i].Cleared))
		for _, crash := range list[i].Ends {
			write(uint64(crash))
		}
	}
	return digest.Sum64()
}
