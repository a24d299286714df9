package relay

import (
	"net/netip"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/stall"
)

const (
	// observationWeight is the weight of a new observation in the averages of a target.
	observationWeight = 0.15
	// decayInterval halves what is known of a target that is not used, so that it is tried again.
	decayInterval = 2 * time.Second
	// suspectPeriod is how long a target that failed is avoided.
	suspectPeriod = 1500 * time.Millisecond
	// movedAwayPeriod is how long the wait of a request that was moved away goes on counting.
	movedAwayPeriod = 2 * time.Second
	// minOutcomes is the number of outcomes from which on a failure rate is believed.
	minOutcomes = 4
)

// targetState is what this entry knows of one life of an upstream; it is guarded by the relay's mutex.
type targetState struct {
	// group is the group that the upstream was the head of when the state was last used.
	group ident.Group
	// groupSince is when this entry heard of that group.
	groupSince time.Time
	// inflight counts the requests that this entry has there.
	inflight int
	// pendingTokens are the tokens of the prompts among them of which no word came yet.
	pendingTokens ident.Tokens
	// peerPrompts are prompts that other entries sent there.
	peerPrompts []peerPrompt
	// waitingSince is when the first of the requests that wait without any sign began to wait.
	waitingSince time.Time
	// movedAwayAt is set when a request was moved away because nothing came; its wait goes on counting until something does.
	movedAwayAt time.Time
	// lastContact is when the upstream last sent anything.
	lastContact time.Time
	// eventGap is the average time between events, failures the average share of failed requests.
	eventGap     time.Duration
	failureRate  float64
	outcomeCount int
	observedAt   time.Time
	// iterationEndedAt is when the last pass ended, by the events of any request. Peak are the most tokens that were unread there since,
	// came the requests that were sent there since.
	iterationEndedAt   time.Time
	peakPendingTokens  ident.Tokens
	sentSinceIteration int
	// suspects are the entries that wait in vain, this one since suspected; suspicionSentAt is when it last said so, stalledAt when there
	// were enough of them.
	suspicions      stall.Suspicions[netip.AddrPort]
	suspectedAt     time.Time
	suspicionSentAt time.Time
	stalledAt       time.Time
	// lastStalledAt is when there last were, stallRepeats how often before that within a short time.
	lastStalledAt time.Time
	stallRepeats  int
	// confirmedAliveAt is when the group gave a sign to another entry that said so, or to this one when it last did.
	confirmedAliveAt time.Time
	// forwarders watch the tries that wait there.
	forwarders map[*forwarder]struct{}
	// eventCount and pauses are the number of events and the time between them since the leader was told.
	eventCount    int
	eventGapTotal time.Duration
	// suspectUntil is until when the target is avoided.
	suspectUntil time.Time
	// connectionRefused is set when nothing listens there any more, proof while that is being found out.
	connectionRefused bool
	crashProbe        *crashProbe
	blamedMember      string
	// peerBackoffUntil is until when the upstream wants nothing from other entries.
	peerBackoffUntil time.Time
}

// resetForGroup forgets what was seen when the upstream was the head of another group.
func (ts *targetState) resetForGroup(now time.Time, group ident.Group) {
	if ts.group == group {
		return
	}
	*ts = targetState{
		group: group, groupSince: now, inflight: ts.inflight, pendingTokens: ts.pendingTokens, outcomeCount: ts.outcomeCount, failureRate: ts.failureRate, waitingSince: ts.waitingSince,
		forwarders: ts.forwarders, crashProbe: ts.crashProbe,
	}
	if ts.inflight == 0 {
		ts.waitingSince = time.Time{}
	}
}

func (ts *targetState) addRequest(now time.Time, promptTokens ident.Tokens) {
	if ts.inflight == 0 && ts.movedAwayAt.IsZero() {
		ts.waitingSince = now
	}
	if ts.inflight == 0 {
		// Nothing has shown the ends of passes meanwhile.
		ts.peakPendingTokens, ts.sentSinceIteration = 0, 0
	}
	ts.inflight++
	ts.pendingTokens += promptTokens
	ts.notePromptSent(now)
}

// notePromptSent notes that a prompt was sent there, by any entry.
func (ts *targetState) notePromptSent(now time.Time) {
	ts.peakPendingTokens = max(ts.peakPendingTokens, ts.maxPendingTokens(now))
	ts.sentSinceIteration++
}

// noteIteration notes that a pass ended. One that took far too long ends no suspicion of how the group works.
func (ts *targetState) noteIteration(now time.Time, tooLong bool) {
	ts.peakPendingTokens, ts.sentSinceIteration = ts.maxPendingTokens(now), 0
	ts.iterationEndedAt = now
	ts.suspicions.Clear()
	if !tooLong {
		ts.suspectedAt, ts.stalledAt = time.Time{}, time.Time{}
	}
}

func (ts *targetState) removeRequest() {
	ts.inflight--
}

// noteProgress notes that the upstream sent something.
func (ts *targetState) noteProgress(now time.Time) {
	ts.lastContact = now
	ts.waitingSince = now
	ts.movedAwayAt = time.Time{}
	ts.connectionRefused = false
	ts.blamedMember = ""
}

// noteEvent notes a pause between two events of one stream.
func (ts *targetState) noteEvent(now time.Time, gap time.Duration) {
	ts.noteProgress(now)
	ts.eventGap += time.Duration(observationWeight * float64(gap-ts.eventGap))
	ts.eventCount++
	ts.eventGapTotal += gap
	ts.observedAt = now
}

// noteOutcome notes whether a request succeeded.
func (ts *targetState) noteOutcome(now time.Time, ok bool) {
	failure := 1.0
	if ok {
		failure = 0
	}
	ts.outcomeCount++
	ts.failureRate += observationWeight * (failure - ts.failureRate)
	ts.observedAt = now
}

// decay lets old observations fade.
func (ts *targetState) decay(now time.Time) {
	for now.Sub(ts.observedAt) > decayInterval && !ts.observedAt.IsZero() {
		ts.eventGap /= 2
		ts.failureRate /= 2
		ts.observedAt = ts.observedAt.Add(decayInterval)
		if ts.eventGap < time.Millisecond && ts.failureRate < observationWeight/2 {
			ts.observedAt = time.Time{}
		}
	}
}

func (ts *targetState) markSuspect(now time.Time) {
	ts.suspectUntil = now.Add(suspectPeriod)
}

// waitWithoutProgress is how long requests have waited there without any sign.
func (ts *targetState) waitWithoutProgress(now time.Time) time.Duration {
	if now.Sub(ts.movedAwayAt) > movedAwayPeriod {
		ts.movedAwayAt = time.Time{}
	}
	if ts.inflight == 0 && ts.movedAwayAt.IsZero() {
		return 0
	}
	return now.Sub(ts.waitingSince)
}
