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
	// keepFor is how long something is remembered after it was last learnt: work that comes again more seldom ends less than three
	// upstreams an hour more than work that does not.
	keepFor = time.Hour
	// tellFor is how long a change is told again and again; what is held is told as long as it is, to entries that have just started.
	tellFor = 10 * time.Second
	// tryFor is how long others wait for the one that tries held work once more: longer than requests take.
	tryFor = 10 * time.Second
	// sameEnd is how far two reports may be apart on when the same end was: news take some ms, a sync with the leader half a second.
	sameEnd = time.Second
	// sumFor is how long a digest is used again while nothing is learnt, sumAgain while something is: each sync with the leader asks
	// for it, and with many entries and records it would fill the leader's time.
	sumFor   = 500 * time.Millisecond
	sumAgain = 50 * time.Millisecond
	// drawn is how many records are compared to find one to forget.
	drawn = 8
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
	// sum is Sum as it was at sumAt, old when anything was learnt since.
	sum   uint64
	sumAt time.Time
	old   bool
	// next is the work that is told next, by its place among those to be told.
	next int
}

// Remaining returns how long the work is still not to be sent to upstreams, 0 when it may.
func (l *List) Remaining(now time.Time, w Fingerprint) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[w]
	if r == nil {
		return 0
	}
	return max(0, r.trying.Sub(now), l.until(r).Sub(now))
}

// until returns when a record stops being held, the zero time when it is not.
func (l *List) until(r *record) time.Time {
	if len(r.ends) < l.Rule.Crashes {
		return time.Time{}
	}
	return r.last.Add(min(MaxDuration, l.Rule.InitialDuration<<(len(r.ends)-l.Rule.Crashes)))
}

// BeginTrial notes that work which may be sent is sent now. Work that was held before gets one try at a time; ok is then set, and others
// must be told by the report.
func (l *List) BeginTrial(now time.Time, w Fingerprint) (tell Report, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[w]
	if r == nil || len(r.ends) < l.Rule.Crashes {
		return Report{}, false
	}
	r.trying = now.Add(tryFor)
	tell = r.report(w, now)
	tell.Trying = true
	return tell, true
}

// Crashed notes that a life ended while it ran the work, and returns what others must be told.
func (l *List) Crashed(now time.Time, w Fingerprint, end CrashID) Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.record(w)
	r.add([]CrashID{end})
	r.last, r.changed, r.trying = now, now, time.Time{}
	l.old = true
	return r.report(w, now)
}

// Answered notes that the work has a whole answer. If upstreams had ended under it they count no more; ok is then set, and others
// must be told by the report.
func (l *List) Answered(now time.Time, w Fingerprint) (tell Report, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[w]
	if r == nil || len(r.ends) == 0 {
		return Report{}, false
	}
	*r = record{cleared: r.cleared + 1, changed: now}
	l.old = true
	return r.report(w, now), true
}

// Merge takes what somebody else knows, and reports whether that was new.
func (l *List) Merge(now time.Time, n *Report) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := n.Fingerprint()
	if l.records[w] == nil && len(n.Ends) == 0 {
		return false // it clears what nothing is known of
	}
	r := l.record(w)
	if n.Cleared < r.cleared {
		return false
	}
	if n.Trying {
		r.trying = now.Add(tryFor)
	}
	news := n.Cleared > r.cleared
	if news {
		*r = record{cleared: n.Cleared, trying: r.trying}
	}
	if r.add(n.Ends) {
		news = true
		if !n.Trying {
			r.trying = time.Time{}
		}
	}
	at := now.Add(-time.Duration(min(max(0, n.AgeMS), MaxDuration.Milliseconds())) * time.Millisecond)
	if len(n.Ends) > 0 && at.Sub(r.last) > sameEnd {
		r.last = at
		news = true
	}
	if news {
		r.changed = now
		l.old = true
	}
	return news
}

// record returns the record of a work, a new one when there is none.
func (l *List) record(w Fingerprint) *record {
	if r := l.records[w]; r != nil {
		return r
	}
	if l.records == nil {
		l.records = map[Fingerprint]*record{}
	}
	if len(l.records) >= l.Rule.MaxRecords {
		l.forgetOne()
	}
	r := &record{}
	l.records[w] = r
	return r
}

// forgetOne forgets the record that matters least of some that are drawn at random: somebody who sends ever new work that ends
// upstreams must not push out what is held.
func (l *List) forgetOne() {
	var least Fingerprint
	var found *record
	n := 0
	for w, r := range l.records {
		if found == nil || cmp.Or(cmp.Compare(len(r.ends), len(found.ends)), r.changed.Compare(found.changed)) < 0 {
			least, found = w, r
		}
		if n++; n == drawn {
			break
		}
	}
	delete(l.records, least)
}

// Crashes returns how many upstreams have ended under a work in a row.
func (l *List) Crashes(w Fingerprint) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[w]
	if r == nil {
		return 0
	}
	return len(r.ends)
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
		if l.until(r).After(now) {
			n++
		}
	}
	return n
}

// Quarantined returns what is held, the longest list of ends first.
func (l *List) Quarantined(now time.Time) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reports(now, func(r *record) bool { return l.until(r).After(now) })
}

// active returns what others are to be told: what has changed lately, and what is held.
func (l *List) active(now time.Time) []Report {
	return l.reports(now, func(r *record) bool { return now.Sub(r.changed) < tellFor || l.until(r).After(now) })
}

// reports returns the reports on some records in an order that does not depend on the map, and forgets what is too old.
func (l *List) reports(now time.Time, some func(r *record) bool) []Report {
	var list []Report
	for w, r := range l.records {
		switch {
		case now.Sub(r.changed) > keepFor && !l.until(r).After(now):
			delete(l.records, w)
		case some(r):
			list = append(list, r.report(w, now))
		}
	}
	slices.SortFunc(list, func(a, b Report) int {
		return cmp.Or(cmp.Compare(len(b.Ends), len(a.Ends)), cmp.Compare(a.Content, b.Content), cmp.Compare(a.Customer, b.Customer))
	})
	return list
}

// ToSend returns up to most reports to be told now: by turns all that have changed lately, and what is held.
func (l *List) ToSend(now time.Time, most int) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := l.active(now)
	if len(list) <= most {
		return list
	}
	at := l.next % len(list)
	l.next = at + most
	list = append(list[at:], list[:at]...)
	return list[:most]
}

// Digest is a digest of all that others are to be told, as of a moment ago: two lists with the same one have nothing to tell each other.
func (l *List) Digest(now time.Time) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if age := now.Sub(l.sumAt); age < sumAgain || !l.old && age < sumFor {
		return l.sum
	}
	l.sum, l.sumAt, l.old = sumOf(l.active(now)), now, false
	return l.sum
}

func sumOf(list []Report) uint64 {
	if len(list) == 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	var b [8]byte
	number := func(n uint64) {
		binary.LittleEndian.PutUint64(b[:], n)
		_, _ = d.Write(b[:]) // a hash takes everything
	}
	for i := range list {
		number(uint64(list[i].Content))
		number(uint64(list[i].Cleared))
		for _, e := range list[i].Ends {
			number(uint64(e))
		}
	}
	return d.Sum64()
}
