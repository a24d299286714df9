package relay

// A group of which a member is lost takes requests and answers none of them,
// for seconds, and nobody says so. Each entry has one or two streams there, all
// of which miss the same pass. So an entry whose streams at a group are overdue
// tells the others that it suspects the group; when enough of those that have
// requests there do, it stands still for everybody: streams and prompts move,
// and nothing new is sent there.
//
//	last pass    next one due   + margin          all move
//	    |-------------|-----------|--- suspicions ------|
//	    0             45          70                75 ms
//
// A sign of the group ends all suspicion of it; who has one tells the others,
// since those that suspect it may be cut off from a group that serves the rest.

import (
	"net/netip"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/stall"
)

const (
	// suspicionInterval is how often an entry that waits says again that it suspects a group: before its last word counts no more.
	suspicionInterval = 150 * time.Millisecond
	// targetRefuters is how many entries with a sign of a group tell those who suspect it so, on average, and refuteInterval how old the last
	// such word is at least: where a part of the entries is cut off from a group, they suspect it all the time.
	targetRefuters = 4
	refuteInterval = 100 * time.Millisecond
	// stallPeriod is how long a group that stands still is avoided when nothing more is heard of it: the leader ends it within a
	// second, and one that works again has to be found out.
	stallPeriod = 1500 * time.Millisecond
	// maxStallDoublings is how often that time doubles for a group that is found to stand still again and again, no more than stallRepeatWindow
	// apart: at most the time after which an engine itself ends a group that stands still.
	maxStallDoublings = 2
	stallRepeatWindow = 8 * time.Second
	// newGroupGrace is how long a group is not suspected after this entry heard of it: what entries that heard sooner send there is not
	// known, and the leader tells all of them within 100 ms.
	newGroupGrace = 300 * time.Millisecond
	// stalledCheckInterval is how often one whose group stands still looks for room elsewhere: some times in a pass.
	stalledCheckInterval = 20 * time.Millisecond
	// newEntryGrace is how long nothing is suspected after this entry heard of another one: until all know each other, they do not tell
	// each other of all prompts, and groups that work would be taken for standing still.
	newEntryGrace = 600 * time.Millisecond
	// maxStalledFraction is the part of the groups of a model that may be taken for standing still at once: a domain that goes dark is a
	// third of a small site, and beyond that it is rather the bound of passes that does not hold.
	maxStalledFraction = 0.4
	// iterationBoundSlack is how much longer than estimated a prompt of another entry may be unread when a pass is bounded.
	iterationBoundSlack = 15 * time.Millisecond
	// slowGroupDelay is how late beyond the margin an event must be to show a slow group and not only one long pass.
	slowGroupDelay = 50 * time.Millisecond
	// sameIterationSpan is how far apart events of one pass arrive at one entry at most.
	sameIterationSpan = 10 * time.Millisecond
)

// thisEntry stands for this entry among those that suspect a group.
var thisEntry netip.AddrPort

// marginFor returns what is learnt of when signs of a model come, of first words or of events; the mutex is held.
func (s *Relay) marginFor(model ident.Model, streaming bool) *stall.Margin {
	margins := s.firstEventMargins
	if streaming {
		margins = s.eventMargins
	}
	m := margins[model]
	if m == nil {
		m = &stall.Margin{}
		margins[model] = m
	}
	return m
}

// maxIterationTime bounds the length of the pass in progress at t: it may read all that was unread at any time since the last one ended. What
// was sent while that one was on its way is a closer bound, but misses what an engine leaves for the next pass: streams
// would be moved off groups that work.
func (s *Relay) maxIterationTime(t *target, now time.Time) time.Duration {
	ts := s.stateOf(t)
	return t.timing.IterationTime(max(ts.peakPendingTokens, ts.maxPendingTokens(now)), s.loadOf(t, now).Requests+ts.sentSinceIteration)
}

// maxTimeToProgress bounds the time from the last sign of this try to the next one, as far as the passes of its group tell; ok is false where
// that is not known. The mutex is held.
func (f *forwarder) maxTimeToProgress(now time.Time) (d time.Duration, ok bool) {
	if f.firstEventEstimate == 0 || !f.target.inSubset || now.Sub(f.state.groupSince) < newGroupGrace || now.Sub(f.x.s.newEntryAt) < newEntryGrace {
		return 0, false
	}
	if f.streaming {
		return f.x.s.maxIterationTime(f.target, now), true
	}
	// One more pass than the estimate counts: others may have sent there at the same moment.
	return f.firstEventEstimate + f.target.timing.IterationTime(f.x.prefillTokens(), f.target.slots) + f.x.dispatchDelay.mean, true
}

// progressDue returns when the group must have given a sign: after that it is suspected. The mutex is held.
func (f *forwarder) progressDue() (due time.Time, ok bool) {
	s := f.x.s
	maxWait, ok := f.maxTimeToProgress(s.Now())
	if !ok {
		return time.Time{}, false
	}
	due = f.waitingSince.Add(maxWait + s.marginFor(f.x.model, f.streaming).Current())
	if f.state.iterationEndedAt.After(f.waitingSince) {
		// Another stream of this entry shows that the group works.
		next := f.state.iterationEndedAt.Add(s.maxIterationTime(f.target, s.Now()) + s.marginFor(f.x.model, true).Current())
		if next.After(due) {
			due = next
		}
	}
	return due, true
}

// checkSuspicion suspects the group when it is overdue, and reports whether it stands still and when to look again; the mutex is held.
func (f *forwarder) checkSuspicion(now time.Time) (stalled bool, recheckIn time.Duration) {
	s, ts := f.x.s, f.state
	due, ok := f.progressDue()
	if !ok {
		return false, f.maxSilence()
	}
	if s.declaredStalled(ts, now) {
		return true, stalledCheckInterval
	}
	if remaining := due.Sub(now); remaining > 0 {
		return false, remaining
	}
	s.suspectTarget(f.target, now, now.Sub(f.lastProgress()))
	return s.declaredStalled(ts, now), suspicionInterval
}

// suspectTarget notes that t has been silent for too long, and tells the entries that use it; the mutex is held.
func (s *Relay) suspectTarget(t *target, now time.Time, silentFor time.Duration) {
	ts := s.stateOf(t)
	ts.suspicions.Add(now, now.Add(-silentFor), thisEntry)
	ts.suspectedAt = now
	if now.Sub(ts.suspicionSentAt) >= suspicionInterval {
		ts.suspicionSentAt = now
		s.SendUpdate(EntryUpdate{Head: t.id, SilentMS: max(1, silentFor.Milliseconds())}, t.users)
	}
	s.evaluateStall(t, now)
}

// lastProgress is when the group last gave this entry a sign, or the request was sent.
func (f *forwarder) lastProgress() time.Time {
	if f.state.iterationEndedAt.After(f.waitingSince) {
		return f.state.iterationEndedAt
	}
	return f.waitingSince
}

// applySuspicion takes what another entry says of whether the group of t works; the mutex is held.
func (s *Relay) applySuspicion(t *target, update *EntryUpdate, from netip.AddrPort) {
	now := s.Now()
	ts := s.stateOf(t)
	if update.ProgressAgeMS > 0 {
		ts.noteConfirmedAlive(now.Add(-time.Duration(update.ProgressAgeMS) * time.Millisecond))
		return
	}
	silentSince := now.Add(-time.Duration(update.SilentMS) * time.Millisecond)
	if stall.InLaterIteration(ts.iterationEndedAt, silentSince) {
		s.refuteSuspicion(t, now)
		return
	}
	if stall.InLaterIteration(ts.confirmedAliveAt, silentSince) {
		return
	}
	ts.suspicions.Add(now, silentSince, from)
	s.evaluateStall(t, now)
}

// refuteSuspicion tells the others that the group of t works, as some of those do who have streams there.
func (s *Relay) refuteSuspicion(t *target, now time.Time) {
	ts := s.stateOf(t)
	if now.Sub(ts.confirmedAliveAt) < refuteInterval {
		return
	}
	ts.confirmedAliveAt = ts.iterationEndedAt
	if requests := s.loadOf(t, now).Requests; requests > targetRefuters && s.RandomInt(requests) >= targetRefuters {
		return
	}
	s.SendUpdate(EntryUpdate{Head: t.id, ProgressAgeMS: max(1, now.Sub(ts.iterationEndedAt).Milliseconds())}, t.users)
}

// noteConfirmedAlive notes that the group gave another entry a sign at a time.
func (ts *targetState) noteConfirmedAlive(progressAt time.Time) {
	if progressAt.After(ts.confirmedAliveAt) {
		ts.confirmedAliveAt = progressAt
	}
	if ts.suspicions.Refute(progressAt) {
		ts.stalledAt = time.Time{}
	}
}

// evaluateStall decides whether the group of t stands still by all suspicion of it, and lets those look who wait there; the mutex is held.
func (s *Relay) evaluateStall(t *target, now time.Time) {
	ts := s.stateOf(t)
	if s.declaredStalled(ts, now) || ts.suspicions.Count(now) < stall.RequiredSuspicions(s.loadOf(t, now).Requests, s.userCount(t)) || s.tooManyStalled(t, now) {
		return
	}
	ts.stallRepeats = min(maxStallDoublings, ts.stallRepeats+1)
	if now.Sub(ts.lastStalledAt) > stallRepeatWindow {
		ts.stallRepeats = 0
	}
	ts.stalledAt, ts.lastStalledAt = now, now
	for f := range ts.forwarders {
		f.timer.Reset(0)
	}
}

// tooManyStalled reports whether so many groups of the model of t stand still that it can't be true of one more; the mutex is held.
func (s *Relay) tooManyStalled(t *target, now time.Time) bool {
	stalled, total := 0, 0
	for _, other := range s.index.byHead {
		if other.model != t.model {
			continue
		}
		total++
		if s.declaredStalled(s.stateOf(other), now) {
			stalled++
		}
	}
	return stalled > 0 && float64(stalled+1) > maxStalledFraction*float64(total)
}

// userCount returns how many entries send requests to t.
func (s *Relay) userCount(t *target) int {
	switch {
	case s.entries == nil:
		return 1
	case t.users == nil:
		return s.entries.Total()
	}
	return len(t.users) + 1
}

// declaredStalled reports whether a group stands still by what several entries saw; the mutex is held.
func (s *Relay) declaredStalled(ts *targetState, now time.Time) bool {
	return !ts.stalledAt.IsZero() && now.Sub(ts.stalledAt) < stallPeriod<<ts.stallRepeats
}

// learnProgress takes how long after it was due an event came, and reports whether that was too late for a group that works: one with a
// member that is several times slower than usual gives signs, but none in time. The mutex is held.
func (f *forwarder) learnProgress(now time.Time) (tooLate bool) {
	if now.Sub(f.state.iterationEndedAt) < sameIterationSpan {
		return !f.state.stalledAt.IsZero()
	}
	maxWait, ok := f.maxTimeToProgress(now)
	if !ok {
		return false
	}
	lateBy := now.Sub(f.waitingSince) - maxWait
	m := f.x.s.marginFor(f.x.model, f.streaming)
	tooLate = f.streaming && lateBy > m.Current()+slowGroupDelay
	m.Observe(lateBy)
	return tooLate
}
