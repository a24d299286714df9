package relay

import (
	"net/netip"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/stall"
)

const (
	// smoothing is the weight of a new observation in a lane's averages.
	smoothing = 0.15
	// calmAfter halves what is known of a lane that is not used, so that it is tried again.
	calmAfter = 2 * time.Second
	// suspectFor is how long a lane that failed is avoided.
	suspectFor = 1500 * time.Millisecond
	// stalledFor is how long the wait of a request that was moved away goes on counting.
	stalledFor = 2 * time.Second
	// outcomesNeeded is the number of outcomes from which on a failure rate is believed.
	outcomesNeeded = 4
)

// lane is what this entry knows of one life of an upstream; it is guarded by the relay's mutex.
type lane struct {
	// group is the group that the upstream was the head of when the lane was last used.
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
	// doubts are the entries that wait in vain, this one since doubted; doubtTold is when it last said so, stoodAt when there
	// were enough of them.
	doubts    stall.Doubts[netip.AddrPort]
	doubted   time.Time
	doubtTold time.Time
	stoodAt   time.Time
	// stoodLast is when there last were, stoodAgain how often before that within a short time.
	stoodLast  time.Time
	stoodAgain int
	// vouched is when the group gave a sign to another entry that said so, or to this one when it last did.
	vouched time.Time
	// followers watch the tries that wait there.
	followers map[*follower]struct{}
	// events and pauses are the number of events and the time between them since the leader was told.
	events int
	pauses time.Duration
	// suspect is until when the lane is avoided.
	suspect time.Time
	// refused is set when nothing listens there any more, proof while that is being found out.
	refused bool
	proof   *proof
	blamed  string
	// full is until when the upstream said that it takes nothing.
	full time.Time
}

// belong forgets what was seen when the upstream was the head of another group.
func (l *lane) belong(now time.Time, group ident.Group) {
	if l.group == group {
		return
	}
	*l = lane{
		group: group, since: now, inflight: l.inflight, unread: l.unread, outcomes: l.outcomes, failures: l.failures, waitingSince: l.waitingSince,
		followers: l.followers, proof: l.proof,
	}
	if l.inflight == 0 {
		l.waitingSince = time.Time{}
	}
}

func (l *lane) begin(now time.Time, prompt ident.Tokens) {
	if l.inflight == 0 && l.stalled.IsZero() {
		l.waitingSince = now
	}
	if l.inflight == 0 {
		// Nothing has shown the ends of passes meanwhile.
		l.peak, l.came = 0, 0
	}
	l.inflight++
	l.unread += prompt
	l.sent(now)
}

// sent notes that a prompt was sent there, by any entry.
func (l *lane) sent(now time.Time) {
	l.peak = max(l.peak, l.mayBeUnread(now))
	l.came++
}

// pass notes that a pass ended. One that took far too long ends no doubt of how the group works.
func (l *lane) pass(now time.Time, tooLong bool) {
	l.peak, l.came = l.mayBeUnread(now), 0
	l.passed = now
	l.doubts.Clear()
	if !tooLong {
		l.doubted, l.stoodAt = time.Time{}, time.Time{}
	}
}

func (l *lane) end() {
	l.inflight--
}

// sign notes that the upstream sent something.
func (l *lane) sign(now time.Time) {
	l.answered = now
	l.waitingSince = now
	l.stalled = time.Time{}
	l.refused = false
	l.blamed = ""
}

// event notes a pause between two events of one stream.
func (l *lane) event(now time.Time, gap time.Duration) {
	l.sign(now)
	l.gap += time.Duration(smoothing * float64(gap-l.gap))
	l.events++
	l.pauses += gap
	l.observed = now
}

// outcome notes whether a request succeeded.
func (l *lane) outcome(now time.Time, ok bool) {
	value := 1.0
	if ok {
		value = 0
	}
	l.outcomes++
	l.failures += smoothing * (value - l.failures)
	l.observed = now
}

// calm lets old observations fade.
func (l *lane) calm(now time.Time) {
	for now.Sub(l.observed) > calmAfter && !l.observed.IsZero() {
		l.gap /= 2
		l.failures /= 2
		l.observed = l.observed.Add(calmAfter)
		if l.gap < time.Millisecond && l.failures < smoothing/2 {
			l.observed = time.Time{}
		}
	}
}

func (l *lane) fail(now time.Time) {
	l.suspect = now.Add(suspectFor)
}

// silence is how long requests have waited there without any sign.
func (l *lane) silence(now time.Time) time.Duration {
	if now.Sub(l.stalled) > stalledFor {
		l.stalled = time.Time{}
	}
	if l.inflight == 0 && l.stalled.IsZero() {
		return 0
	}
	return now.Sub(l.waitingSince)
}

// fullFor is how long a lane that refused a request for want of room is passed over.
const fullFor = 120 * time.Millisecond
