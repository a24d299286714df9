package relay

// A group that has lost a member accepts requests for seconds without answering
// any. Each entry has one or two streams there, and all of them miss the same
// iteration. An entry whose streams at a group are overdue therefore sends the
// other entries a suspicion. When enough of the entries with requests at the
// group suspect it, all entries treat it as stalled: its streams and prompts move
// to other groups, and it gets no new requests.
//
//	last iteration   next one due   + margin      all move
//	    |-----------------|-----------|--- suspicions ---|
//	    0                 45          70             75 ms
//
// An event of the group ends all suspicions. An entry that receives one refutes
// the others' suspicions, since these entries may be cut off from a group that
// serves the rest.

import (
	"net/netip"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/stall"
)

const (
	// suspicionInterval is how often an entry repeats its suspicion of a group: before the previous one expires.
	suspicionInterval = 150 * time.Millisecond
	// targetRefuters is how many entries refute a suspicion on average, refuteInterval the minimum interval between refutations: entries
	// that are cut off from a working group suspect it all the time.
	targetRefuters = 4
	refuteInterval = 100 * time.Millisecond
	// stallPeriod is how long a stalled group is avoided without further suspicions: the leader closes it within a second, and a group that has
	// recovered must be used again.
	stallPeriod = 1500 * time.Millisecond
	// maxStallDoublings is how often stallPeriod doubles for a group that stalls repeatedly within stallRepeatWindow. The longest period is
	// no longer than the time after which an engine itself closes a stalled group.
	maxStallDoublings = 2
	stallRepeatWindow = 8 * time.Second
	// newGroupGrace is how long a group is not suspected after this entry first saw it. Prompts sent by entries that saw the group earlier
	// are not known; the leader notifies all entries within 100 ms.
	newGroupGrace = 300 * time.Millisecond
	// stalledCheckInterval is how often a request at a stalled group looks for capacity at another one: several times per iteration.
	stalledCheckInterval = 20 * time.Millisecond
	// newEntryGrace is how long no group is suspected after this entry first saw another entry. Until all entries know each other, they do
	// not exchange all prompts, and working groups would appear stalled.
	newEntryGrace = 600 * time.Millisecond
	// maxStalledFraction bounds the groups of a model that count as stalled at the same time. A failed domain is a third of a small site;
	// beyond that the bound on the iteration time is more likely to be wrong.
	maxStalledFraction = 0.4
	// iterationBoundSlack is how much longer than estimated a prompt of another entry counts as pending in the bound on an iteration.
	iterationBoundSlack = 15 * time.Millisecond
	// slowGroupDelay is how late beyond the margin an event must be to indicate a slow group rather than one long iteration.
	slowGroupDelay = 50 * time.Millisecond
	// sameIterationSpan is the longest time between the arrivals of events of one iteration at one entry.
	sameIterationSpan = 10 * time.Millisecond
)

// thisEntry identifies this entry's own suspicions; those of others are identified by address.
var thisEntry netip.AddrPort

// marginFor returns the learned margin of a model, for streaming requests or for first events; the mutex is held.
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

// maxIterationTime bounds the current iteration at t, which may prefill all prompts that were pending at any time since the last iteration
// ended. Counting only the prompts sent during the last iteration would be a tighter bound, but an engine may defer prompts to the next
// iteration, and streams would be moved off working groups.
func (s *Relay) maxIterationTime(t *target, now time.Time) time.Duration {
	ts := s.stateOf(t)
	return t.timing.IterationTime(max(ts.peakPendingTokens, ts.maxPendingTokens(now)), s.loadOf(t, now).Requests+ts.sentSinceIteration)
}

// maxTimeToProgress bounds the time from the attempt's last progress to its next one; ok is false where the iterations of the group cannot
// be bounded. The mutex is held.
func (f *forwarder) maxTimeToProgress(now time.Time) (d time.Duration, ok bool) {
	if f.firstEventEstimate == 0 || !f.target.inSubset || now.Sub(f.state.groupSince) < newGroupGrace || now.Sub(f.x.s.newEntryAt) < newEntryGrace {
		return 0, false
	}
	if f.streaming {
		return f.x.s.maxIterationTime(f.target, now), true
	}
	// One iteration more than estimated, since other entries may have sent prompts at the same moment.
	return f.firstEventEstimate + f.target.timing.IterationTime(f.x.prefillTokens(), f.target.slots) + f.x.dispatchDelay.mean, true
}

// progressDue returns the time after which the group is suspected unless it makes progress. The mutex is held.
func (f *forwarder) progressDue() (due time.Time, ok bool) {
	s := f.x.s
	maxWait, ok := f.maxTimeToProgress(s.Now())
	if !ok {
		return time.Time{}, false
	}
	due = f.waitingSince.Add(maxWait + s.marginFor(f.x.model, f.streaming).Current())
	if f.state.iterationEndedAt.After(f.waitingSince) {
		// Another stream of this entry has shown progress of the group.
		next := f.state.iterationEndedAt.Add(s.maxIterationTime(f.target, s.Now()) + s.marginFor(f.x.model, true).Current())
		if next.After(due) {
			due = next
		}
	}
	return due, true
}

// checkSuspicion suspects the group if it is overdue, and returns whether it is stalled and when to check again; the mutex is held.
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
	s.checkPath(f.target, now)
	s.suspectTarget(f.target, now, now.Sub(f.lastProgress()))
	return s.declaredStalled(ts, now), suspicionInterval
}

// suspectTarget records that t has been silent for too long, and notifies the entries that use it; the mutex is held.
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

// lastProgress is when the group last made progress for this entry, or when the request was sent.
func (f *forwarder) lastProgress() time.Time {
	if f.state.iterationEndedAt.After(f.waitingSince) {
		return f.state.iterationEndedAt
	}
	return f.waitingSince
}

// applySuspicion applies another entry's suspicion of the group of t, or its refutation of one; the mutex is held.
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

// refuteSuspicion notifies the other entries of the last progress of t. Only a random few of the entries with streams there do so.
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

// noteConfirmedAlive records that the group made progress for another entry.
func (ts *targetState) noteConfirmedAlive(progressAt time.Time) {
	if progressAt.After(ts.confirmedAliveAt) {
		ts.confirmedAliveAt = progressAt
	}
	if ts.suspicions.Refute(progressAt) {
		ts.stalledAt = time.Time{}
	}
}

// evaluateStall decides by all suspicions whether the group of t is stalled. If so, all attempts there check at once whether to move. The
// mutex is held.
func (s *Relay) evaluateStall(t *target, now time.Time) {
	ts := s.stateOf(t)
	if s.declaredStalled(ts, now) || ts.suspicions.Count(now) < stall.RequiredSuspicions(s.loadOf(t, now).Requests, s.userCount(t)) ||
		s.tooManyStalled(t, now) {
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

// tooManyStalled reports whether one more stalled group of the model of t would exceed maxStalledFraction; the mutex is held.
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

// declaredStalled reports whether a group counts as stalled by the suspicions of several entries; the mutex is held.
func (s *Relay) declaredStalled(ts *targetState, now time.Time) bool {
	return !ts.stalledAt.IsZero() && now.Sub(ts.stalledAt) < stallPeriod<<ts.stallRepeats
}

// learnProgress updates the margin with how late an event was, and reports whether it was too late for a working group: a group with a
// member that is several times slower than usual makes progress, but never in time. The mutex is held.
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
