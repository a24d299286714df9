package relay

import (
	"net/netip"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/stall"
)

const (
	// smoothing is the weight of a new observation in the averages of a target.
	smoothing = 0.15
	// calmAfter halves what is known of a target that is not used, so that it is tried again.
	calmAfter = 2 * time.Second
	// suspectFor is how long a target that failed is avoided.
	suspectFor = 1500 * time.Millisecond
	// stalledFor is how long the wait of a request that was moved away goes on counting.
	stalledFor = 2 * time.Second
	// outcomesNeeded is the number of outcomes from which on a failure rate is believed.
	outcomesNeeded = 4
)

// targetState is what this entry knows of one life of an upstream; it is guarded by the relay's mutex.
type targetState struct {
	// group is the group that the upstream was the head of when the state was last used.
	group ident.Group
	// since is when this entry heard of that group.
	since time.Time
	// inflight counts the requests that this entry has there.
	inflight int
	// unread are the tokens of the prompts among them of which no word came yet.
	unread ident.Tokens
	// heard are prompts that other entries sent there.
	heard []heard
	// waitingSince is when the first of the requests that wait without any sign began to wait.
	waitingSince time.Time
	// stalled is set when a request was moved away because nothing came; its wait goes on counting until something does.
	stalled time.Time
	// answered is when the upstream last sent anything.
	answered time.Time
	// gap is the average time between events, failures the average share of failed requests.
	gap      time.Duration
	failures float64
	outcomes int
	observed time.Time
	// passed is when the last pass ended, by the events of any request. Peak are the most tokens that were unread there since,
	// came the requests that were sent there since.
	passed time.Time
	peak   ident.Tokens
	came   int
	// suspects are the entries that wait in vain, this one since suspected; suspectTold is when it last said so, stoodAt when there
	// were enough of them.
	suspicions  stall.Suspicions[netip.AddrPort]
	suspected   time.Time
	suspectTold time.Time
	stoodAt     time.Time
	// stoodLast is when there last were, stoodAgain how often before that within a short time.
	stoodLast  time.Time
	stoodAgain int
	// confirmedAt is when the group gave a sign to another entry that said so, or to this one when it last did.
	confirmedAt time.Time
	// followers watch the tries that wait there.
	followers map[*follower]struct{}
	// events and pauses are the number of events and the time between them since the leader was told.
	events int
	pauses time.Duration
	// suspect is until when the target is avoided.
	suspect time.Time
	// refused is set when nothing listens there any more, proof while that is being found out.
	refused bool
	proof   *proof
	blamed  string
	// askedOthers is until when the upstream wants nothing from other entries.
	askedOthers time.Time
}

// belong forgets what was seen when the upstream was the head of another group.
func (ts *targetState) belong(now time.Time, group ident.Group) {
	if ts.group == group {
		return
	}
	*ts = targetState{
		group: group, since: now, inflight: ts.inflight, unread: ts.unread, outcomes: ts.outcomes, failures: ts.failures, waitingSince: ts.waitingSince,
		followers: ts.followers, proof: ts.proof,
	}
	if ts.inflight == 0 {
		ts.waitingSince = time.Time{}
	}
}

func (ts *targetState) begin(now time.Time, prompt ident.Tokens) {
	if ts.inflight == 0 && ts.stalled.IsZero() {
		ts.waitingSince = now
	}
	if ts.inflight == 0 {
		// Nothing has shown the ends of passes meanwhile.
		ts.peak, ts.came = 0, 0
	}
	ts.inflight++
	ts.unread += prompt
	ts.sent(now)
}

// sent notes that a prompt was sent there, by any entry.
func (ts *targetState) sent(now time.Time) {
	ts.peak = max(ts.peak, ts.mayBeUnread(now))
	ts.came++
}

// pass notes that a pass ended. One that took far too long ends no suspicion of how the group works.
func (ts *targetState) pass(now time.Time, tooLong bool) {
	ts.peak, ts.came = ts.mayBeUnread(now), 0
	ts.passed = now
	ts.suspicions.Clear()
	if !tooLong {
		ts.suspected, ts.stoodAt = time.Time{}, time.Time{}
	}
}

func (ts *targetState) end() {
	ts.inflight--
}

// sign notes that the upstream sent something.
func (ts *targetState) sign(now time.Time) {
	ts.answered = now
	ts.waitingSince = now
	ts.stalled = time.Time{}
	ts.refused = false
	ts.blamed = ""
}

// event notes a pause between two events of one stream.
func (ts *targetState) event(now time.Time, gap time.Duration) {
	ts.sign(now)
	ts.gap += time.Duration(smoothing * float64(gap-ts.gap))
	ts.events++
	ts.pauses += gap
	ts.observed = now
}

// outcome notes whether a request succeeded.
func (ts *targetState) outcome(now time.Time, ok bool) {
	value := 1.0
	if ok {
		value = 0
	}
	ts.outcomes++
	ts.failures += smoothing * (value - ts.failures)
	ts.observed = now
}

// calm lets old observations fade.
func (ts *targetState) calm(now time.Time) {
	for now.Sub(ts.observed) > calmAfter && !ts.observed.IsZero() {
		ts.gap /= 2
		ts.failures /= 2
		ts.observed = ts.observed.Add(calmAfter)
		if ts.gap < time.Millisecond && ts.failures < smoothing/2 {
			ts.observed = time.Time{}
		}
	}
}

func (ts *targetState) fail(now time.Time) {
	ts.suspect = now.Add(suspectFor)
}

// silence is how long requests have waited there without any sign.
func (ts *targetState) silence(now time.Time) time.Duration {
	if now.Sub(ts.stalled) > stalledFor {
		ts.stalled = time.Time{}
	}
	if ts.inflight == 0 && ts.stalled.IsZero() {
		return 0
	}
	return now.Sub(ts.waitingSince)
}
