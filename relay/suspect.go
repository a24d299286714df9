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
	// suspectAgain is how often an entry that waits says again that it suspects a group: before its last word counts no more.
	suspectAgain = 150 * time.Millisecond
	// confirmers is how many entries with a sign of a group tell those who suspect it so, on average, and confirmAgain how old the last
	// such word is at least: where a part of the entries is cut off from a group, they suspect it all the time.
	confirmers   = 4
	confirmAgain = 100 * time.Millisecond
	// stoodFor is how long a group that stands still is avoided when nothing more is heard of it: the leader ends it within a
	// second, and one that works again has to be found out.
	stoodFor = 1500 * time.Millisecond
	// stoodMost is how often that time doubles for a group that is found to stand still again and again, no more than stoodApart
	// apart: at most the time after which an engine itself ends a group that stands still.
	stoodMost  = 2
	stoodApart = 8 * time.Second
	// newGroup is how long a group is not suspected after this entry heard of it: what entries that heard sooner send there is not
	// known, and the leader tells all of them within 100 ms.
	newGroup = 300 * time.Millisecond
	// standAgain is how often one whose group stands still looks for room elsewhere: some times in a pass.
	standAgain = 20 * time.Millisecond
	// newEntries is how long nothing is suspected after this entry heard of another one: until all know each other, they do not tell
	// each other of all prompts, and groups that work would be taken for standing still.
	newEntries = 600 * time.Millisecond
	// standingMost is the part of the groups of a model that may be taken for standing still at once: a domain that goes dark is a
	// third of a small site, and beyond that it is rather the bound of passes that does not hold.
	standingMost = 0.4
	// boundSlack is how much longer than estimated a prompt of another entry may be unread when a pass is bounded.
	boundSlack = 15 * time.Millisecond
	// slowSign is how late beyond the margin an event must be to show a slow group and not only one long pass.
	slowSign = 50 * time.Millisecond
	// samePass is how far apart events of one pass arrive at one entry at most.
	samePass = 10 * time.Millisecond
)

// self stands for this entry among those that suspect a group.
var self netip.AddrPort

// marginOf returns what is learnt of when signs of a model come, of first words or of events; the mutex is held.
func (s *Relay) marginOf(model ident.Model, running bool) *stall.Margin {
	margins := s.firstMargins
	if running {
		margins = s.margins
	}
	m := margins[model]
	if m == nil {
		m = &stall.Margin{}
		margins[model] = m
	}
	return m
}

// passAt bounds the length of the pass in progress at t: it may read all that was unread at any time since the last one ended. What
// was sent while that one was on its way is a closer bound, but misses what an engine leaves for the next pass: streams
// would be moved off groups that work.
func (s *Relay) passAt(t *target, now time.Time) time.Duration {
	ts := s.stateOf(t)
	return t.times.Pass(max(ts.peak, ts.mayBeUnread(now)), s.loadOf(t, now).Requests+ts.came)
}

// expected bounds the time from the last sign of this try to the next one, as far as the passes of its group tell; ok is false where
// that is not known. The mutex is held.
func (f *follower) expected(now time.Time) (d time.Duration, ok bool) {
	if f.estimate == 0 || !f.t.known || now.Sub(f.state.since) < newGroup || now.Sub(f.x.s.entriesSince) < newEntries {
		return 0, false
	}
	if f.running {
		return f.x.s.passAt(f.t, now), true
	}
	// One more pass than the estimate counts: others may have sent there at the same moment.
	return f.estimate + f.t.times.Pass(f.x.toRead(), f.t.slots) + f.x.launch.usual, true
}

// due returns when the group must have given a sign: after that it is suspected. The mutex is held.
func (f *follower) due() (due time.Time, ok bool) {
	s := f.x.s
	expected, ok := f.expected(s.Now())
	if !ok {
		return time.Time{}, false
	}
	due = f.waited.Add(expected + s.marginOf(f.x.model, f.running).Now())
	if f.state.passed.After(f.waited) {
		// Another stream of this entry shows that the group works.
		next := f.state.passed.Add(s.passAt(f.t, s.Now()) + s.marginOf(f.x.model, true).Now())
		if next.After(due) {
			due = next
		}
	}
	return due, true
}

// suspects suspects the group when it is overdue, and reports whether it stands still and when to look again; the mutex is held.
func (f *follower) suspects(now time.Time) (stands bool, again time.Duration) {
	s, ts := f.x.s, f.state
	due, ok := f.due()
	if !ok {
		return false, f.limit()
	}
	if s.stalled(ts, now) {
		return true, standAgain
	}
	if rest := due.Sub(now); rest > 0 {
		return false, rest
	}
	s.suspect(f.t, now, now.Sub(f.since()))
	return s.stalled(ts, now), suspectAgain
}

// suspect notes that t has been silent for too long, and tells the entries that use it; the mutex is held.
func (s *Relay) suspect(t *target, now time.Time, silent time.Duration) {
	ts := s.stateOf(t)
	ts.suspicions.Add(now, now.Add(-silent), self)
	ts.suspected = now
	if now.Sub(ts.suspectTold) >= suspectAgain {
		ts.suspectTold = now
		s.Tell(News{Head: t.id, Silent: max(1, silent.Milliseconds())}, t.users)
	}
	s.judge(t, now)
}

// since is when the group last gave this entry a sign, or the request was sent.
func (f *follower) since() time.Time {
	if f.state.passed.After(f.waited) {
		return f.state.passed
	}
	return f.waited
}

// applySuspicion takes what another entry says of whether the group of t works; the mutex is held.
func (s *Relay) applySuspicion(t *target, n *News, from netip.AddrPort) {
	now := s.Now()
	ts := s.stateOf(t)
	if n.Worked > 0 {
		ts.confirm(now.Add(-time.Duration(n.Worked) * time.Millisecond))
		return
	}
	since := now.Add(-time.Duration(n.Silent) * time.Millisecond)
	if stall.Later(ts.passed, since) {
		s.confirm(t, now)
		return
	}
	if stall.Later(ts.confirmedAt, since) {
		return
	}
	ts.suspicions.Add(now, since, from)
	s.judge(t, now)
}

// confirm tells the others that the group of t works, as some of those do who have streams there.
func (s *Relay) confirm(t *target, now time.Time) {
	ts := s.stateOf(t)
	if now.Sub(ts.confirmedAt) < confirmAgain {
		return
	}
	ts.confirmedAt = ts.passed
	if requests := s.loadOf(t, now).Requests; requests > confirmers && s.Draw(requests) >= confirmers {
		return
	}
	s.Tell(News{Head: t.id, Worked: max(1, now.Sub(ts.passed).Milliseconds())}, t.users)
}

// confirm notes that the group gave another entry a sign at a time.
func (ts *targetState) confirm(at time.Time) {
	if at.After(ts.confirmedAt) {
		ts.confirmedAt = at
	}
	if ts.suspicions.Refute(at) {
		ts.stoodAt = time.Time{}
	}
}

// judge decides whether the group of t stands still by all suspicion of it, and lets those look who wait there; the mutex is held.
func (s *Relay) judge(t *target, now time.Time) {
	ts := s.stateOf(t)
	if s.stalled(ts, now) || ts.suspicions.Count(now) < stall.Witnesses(s.loadOf(t, now).Requests, s.usersOf(t)) || s.manyStand(t, now) {
		return
	}
	ts.stoodAgain = min(stoodMost, ts.stoodAgain+1)
	if now.Sub(ts.stoodLast) > stoodApart {
		ts.stoodAgain = 0
	}
	ts.stoodAt, ts.stoodLast = now, now
	for f := range ts.followers {
		f.timer.Reset(0)
	}
}

// manyStand reports whether so many groups of the model of t stand still that it can't be true of one more; the mutex is held.
func (s *Relay) manyStand(t *target, now time.Time) bool {
	standing, all := 0, 0
	for _, o := range s.fleet.byHead {
		if o.model != t.model {
			continue
		}
		all++
		if s.stalled(s.stateOf(o), now) {
			standing++
		}
	}
	return standing > 0 && float64(standing+1) > standingMost*float64(all)
}

// usersOf returns how many entries send requests to t.
func (s *Relay) usersOf(t *target) int {
	switch {
	case s.entries == nil:
		return 1
	case t.users == nil:
		return s.entries.Total()
	}
	return len(t.users) + 1
}

// stalled reports whether a group stands still by what several entries saw; the mutex is held.
func (s *Relay) stalled(ts *targetState, now time.Time) bool {
	return !ts.stoodAt.IsZero() && now.Sub(ts.stoodAt) < stoodFor<<ts.stoodAgain
}

// learnSign takes how long after it was due an event came, and reports whether that was too late for a group that works: one with a
// member that is several times slower than usual gives signs, but none in time. The mutex is held.
func (f *follower) learnSign(now time.Time) (tooLate bool) {
	if now.Sub(f.state.passed) < samePass {
		return !f.state.stoodAt.IsZero()
	}
	expected, ok := f.expected(now)
	if !ok {
		return false
	}
	late := now.Sub(f.waited) - expected
	m := f.x.s.marginOf(f.x.model, f.running)
	tooLate = f.running && late > m.Now()+slowSign
	m.Note(late)
	return tooLate
}
