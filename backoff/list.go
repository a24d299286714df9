package backoff

// An upstream that is overrun says for how long it wants nothing from this VM,
// and one that leaves says so in its answers, before any list tells. Whatever
// chooses an upstream asks this list, and whatever is about to send asks once
// more, since the answer may have come meanwhile:
//
//	0.000   request 1 -> u       503, Retry-After: 3
//	0.002   request 2 -> u       chosen before the answer came: not sent
//	3.000   request 3 -> u       the time is over, this one tries
//	3.001   request 4            u is passed over until 3 was taken
//	3.150   200 for request 3    u takes requests as any other
//
// The word binds for the life that gave it and not for its group, address or
// place in a list; nothing but time ends it early, not even a whole answer to a
// request that was sent before. Only this VM is bound: an upstream asks those
// who overrun it.

import (
	"sync"
	"sync/atomic"
	"time"
)

// Rule bounds what an upstream may ask for.
type Rule struct {
	// Max is the longest time that one answer may ask for.
	Max time.Duration
	// Default is how long an upstream is passed over that refuses for want of room and names no time.
	Default time.Duration
	// Leaving is how long one is passed over that said that it leaves.
	Leaving time.Duration
}

// DefaultRule is a minute, so that one header with an hour in it silences an upstream that works again for no longer than that and is
// tried with one request a minute; a pass or two of an engine with all slots taken; and ten minutes, many times what a planned end takes.
func DefaultRule() Rule {
	return Rule{Max: time.Minute, Default: 120 * time.Millisecond, Leaving: 10 * time.Minute}
}

const (
	// minSweepSize is how many words are kept before those that are over are looked for.
	minSweepSize = 256
	// probeTimeout is how long others wait for the one that tries an upstream: longer than a request takes until it is begun, so that one
	// whose end is never told keeps nobody away for good.
	probeTimeout = 10 * time.Second
)

// List is what upstreams asked for, by their lives or addresses; exported fields are set before use.
type List[K comparable] struct {
	Rule Rule

	// latestEnd is when the last time that anybody asked for is over, asking how many words have asked set: most of the time no word holds
	// anything, and each choice asks for each upstream.
	latestEnd      atomic.Pointer[time.Time]
	requestedCount atomic.Int64

	mu      sync.Mutex
	records map[K]*record
	// sweepSize is how many words there may be until those that are over are dropped.
	sweepSize int
}

// record is what one upstream asked for.
type record struct {
	// end is when it may be sent something again, leaving is set when it said that it leaves.
	end     time.Time
	leaving bool
	// requested is set from when it asked for time until it has taken a request, tried until when one is out to find that out.
	requested  bool
	probeUntil time.Time
	// requestedEnd is when the time that it asked for is, which until may be after.
	requestedEnd time.Time
}

// State is what an upstream asked for as it stands.
type State struct {
	// Remaining is how long it wants nothing yet.
	Remaining time.Duration
	// Leaving is set when that is because it leaves.
	Leaving bool
	// Requested is set when it asked for time and has taken nothing since, Busy while one request tries whether it does.
	Requested bool
	Probing   bool
}

// Admits reports whether a request may go there now. An upstream that asked for time gets the first ones singly, since it was overrun:
// all that wait for it would otherwise reach it at the same moment.
func (s State) Admits() bool {
	return s.Remaining <= 0 && !s.Probing
}

// New returns an empty list.
func New[K comparable](rule Rule) *List[K] {
	return &List[K]{Rule: rule, records: map[K]*record{}}
}

// NoteRefusal notes that an upstream turned a request away, and asked for a time, 0 when it named none. It reports whether what is known
// of it has changed but for the time.
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

// NoteLeaving notes that an upstream said that it leaves, and reports whether that is new.
func (l *List[K]) NoteLeaving(now time.Time, upstream K) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	rec := l.recordOf(now, upstream)
	isNew := !rec.leaving || !now.Before(rec.end)
	rec.leaving = true
	l.extend(rec, now.Add(l.Rule.Leaving))
	return isNew
}

// extend lets a word hold until a time at least; the mutex is held.
func (l *List[K]) extend(rec *record, until time.Time) {
	if until.After(rec.end) {
		rec.end = until
	}
	if latest := l.latestEnd.Load(); latest == nil || until.After(*latest) {
		l.latestEnd.Store(&until)
	}
}

// idle reports whether no word holds anything.
func (l *List[K]) idle(now time.Time) bool {
	latest := l.latestEnd.Load()
	return l.requestedCount.Load() == 0 && (latest == nil || !now.Before(*latest))
}

// recordOf returns the word of an upstream, a new one where there is none; the mutex is held.
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

// dropExpired forgets what is over. An upstream that has not been tried since counts as any other after as long again as it may ask for.
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

// StateOf returns what an upstream asked for as it stands.
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

// BeginProbe notes that a request goes to an upstream, and reports whether it is the one that tries it. Whoever gets true calls End.
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

// EndProbe ends a trial; taken is set when the upstream has begun to work on the request.
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

// Each calls visit for each upstream that wants nothing yet.
func (l *List[K]) Each(now time.Time, visit func(upstream K, s State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for upstream, rec := range l.records {
		if s := rec.state(now); s.Remaining > 0 {
			visit(upstream, s)
		}
	}
}
