package backoff

// An overloaded upstream names a time in which it should get nothing from this
// VM, and an upstream that is leaving says so in its answers before the roster
// does. The list is checked when an upstream is chosen and again before sending,
// since an answer can have arrived in between:
//
//	0.000   request 1 -> u       503, Retry-After: 3
//	0.002   request 2 -> u       chosen before that answer arrived: not sent
//	3.000   request 3 -> u       the backoff is over, this is the probe
//	3.001   request 4            u is skipped until request 3 is accepted
//	3.150   200 for request 3    u gets requests like any other upstream
//
// A backoff applies to the incarnation that requested it, not to its group,
// address or place in a list. Only time ends it, not even a complete answer to a
// request that was sent before. It binds this VM only: an upstream requests a
// backoff from the senders that overload it.

import (
	"sync"
	"sync/atomic"
	"time"
)

// Rule bounds the backoffs.
type Rule struct {
	// Max is the longest backoff that one answer can request.
	Max time.Duration
	// Default is the backoff after a refusal for lack of capacity that names no time.
	Default time.Duration
	// Leaving is the backoff of an upstream that is leaving.
	Leaving time.Duration
}

// DefaultRule limits a backoff to a minute, so that an upstream that named an hour is probed once per minute; backs off for an iteration
// or two of an engine with all slots in use where no time is named; and for ten minutes, many times what a planned shutdown takes, from
// an upstream that is leaving.
func DefaultRule() Rule {
	return Rule{Max: time.Minute, Default: 120 * time.Millisecond, Leaving: 10 * time.Minute}
}

const (
	// minSweepSize is the number of records from which expired ones are dropped.
	minSweepSize = 256
	// probeTimeout is how long other requests wait for the outcome of a probe. It is longer than a request takes to be accepted, and
	// bounds the wait for a probe that is never ended.
	probeTimeout = 10 * time.Second
)

// List holds the backoffs by incarnation or address of the upstream; exported fields are set before use.
type List[K comparable] struct {
	Rule Rule

	// latestEnd is the end of the latest backoff, requestedCount the number of records with requested set. With these, StateOf needs no
	// lock while no record applies, which is most of the time; it is called for each upstream at each choice.
	latestEnd      atomic.Pointer[time.Time]
	requestedCount atomic.Int64

	mu      sync.Mutex
	records map[K]*record
	// sweepSize is the number of records at which expired ones are dropped.
	sweepSize int
}

// record is the backoff of one upstream.
type record struct {
	// end is the end of the backoff; leaving is set when the upstream announced that it is leaving.
	end     time.Time
	leaving bool
	// requested is set from a requested backoff until the upstream accepts a request; probeUntil is the time until which a probe is
	// running.
	requested  bool
	probeUntil time.Time
	// requestedEnd is the end of the requested backoff, at or before end.
	requestedEnd time.Time
}

// State is the backoff of an upstream at a point in time.
type State struct {
	// Remaining is how long it must get no request.
	Remaining time.Duration
	// Leaving is set when the reason is that it is leaving.
	Leaving bool
	// Requested is set when it requested a backoff and has accepted no request since, Probing while a request tests whether it does.
	Requested bool
	Probing   bool
}

// Admits reports whether a request can be sent now. After a requested backoff there is one probe at a time, since all waiting requests
// would otherwise reach the upstream at the same moment.
func (s State) Admits() bool {
	return s.Remaining <= 0 && !s.Probing
}

// New returns an empty list.
func New[K comparable](rule Rule) *List[K] {
	return &List[K]{Rule: rule, records: map[K]*record{}}
}

// NoteRefusal notes that an upstream refused a request and requested a backoff, 0 when it named none. It reports whether a
// requested backoff starts; extending one does not count.
func (l *List[K]) NoteRefusal(now time.Time, upstream K, delay time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.recordOf(now, upstream)
	isNew := delay > 0 && !now.Before(rec.requestedEnd)
	if delay > 0 && !rec.requested {
		rec.requested = true
		l.requestedCount.Add(1)
	}
	wait := min(delay, l.Rule.Max)
	if delay <= 0 {
		wait = l.Rule.Default
	}
	l.extend(rec, now.Add(wait))
	if delay > 0 && now.Add(wait).After(rec.requestedEnd) {
		rec.requestedEnd = now.Add(wait)
	}
	return isNew
}

// NoteLeaving notes that an upstream announced that it is leaving, and reports whether that is new.
func (l *List[K]) NoteLeaving(now time.Time, upstream K) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.recordOf(now, upstream)
	isNew := !rec.leaving || !now.Before(rec.end)
	rec.leaving = true
	l.extend(rec, now.Add(l.Rule.Leaving))
	return isNew
}

// extend extends a backoff to at least until; the mutex is held.
func (l *List[K]) extend(rec *record, until time.Time) {
	if until.After(rec.end) {
		rec.end = until
	}
	if latest := l.latestEnd.Load(); latest == nil || until.After(*latest) {
		l.latestEnd.Store(&until)
	}
}

// idle reports whether no record affects any upstream.
func (l *List[K]) idle(now time.Time) bool {
	latest := l.latestEnd.Load()
	return l.requestedCount.Load() == 0 && (latest == nil || !now.Before(*latest))
}

// recordOf returns the record of an upstream, a new one when there is none; the mutex is held.
func (l *List[K]) recordOf(now time.Time, upstream K) *record {
	rec := l.records[upstream]
	if rec != nil {
		return rec
	}
	if len(l.records) >= max(l.sweepSize, minSweepSize) {
		l.dropExpired(now)
		l.sweepSize = 2 * len(l.records)
	}
	rec = &record{}
	l.records[upstream] = rec
	return rec
}

// dropExpired drops the records whose backoff ended at least Rule.Max ago, also those of upstreams that were not probed since.
func (l *List[K]) dropExpired(now time.Time) {
	for upstream, rec := range l.records {
		if now.Sub(rec.end) < l.Rule.Max {
			continue
		}
		delete(l.records, upstream)
		if rec.requested {
			l.requestedCount.Add(-1)
		}
	}
}

// StateOf returns the state of an upstream.
func (l *List[K]) StateOf(now time.Time, upstream K) State {
	if l.idle(now) {
		return State{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[upstream].state(now)
}

func (w *record) state(now time.Time) State {
	switch {
	case w == nil:
		return State{}
	case now.Before(w.end):
		return State{Remaining: w.end.Sub(now), Leaving: w.leaving, Requested: w.requested}
	}
	return State{Requested: w.requested, Probing: w.requested && now.Before(w.probeUntil)}
}

// BeginProbe notes that a request is sent to an upstream, and reports whether it is the probe. If so, the caller must call EndProbe.
func (l *List[K]) BeginProbe(now time.Time, upstream K) bool {
	if l.idle(now) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.records[upstream]
	if rec == nil || !rec.requested || now.Before(rec.probeUntil) {
		return false
	}
	rec.probeUntil = now.Add(probeTimeout)
	return true
}

// EndProbe ends a probe; accepted is set when the upstream has started to work on the request.
func (l *List[K]) EndProbe(upstream K, accepted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.records[upstream]
	if rec == nil {
		return
	}
	rec.probeUntil = time.Time{}
	if accepted && rec.requested {
		rec.requested = false
		l.requestedCount.Add(-1)
	}
}

// Each calls visit for each upstream that must get no request now.
func (l *List[K]) Each(now time.Time, visit func(upstream K, s State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for upstream, rec := range l.records {
		if s := rec.state(now); s.Remaining > 0 {
			visit(upstream, s)
		}
	}
}
