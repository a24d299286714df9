package relay

import (
	"net/netip"
	"time"

	"github.com/dunlinquay/dunlinquay/estimate"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/stall"
)

const (
	// observationWeight is the weight of a new observation in the averages of a target.
	observationWeight = 0.15
	// decayInterval is the time without observations after which the averages of a target are halved, so that it is used again.
	decayInterval = 2 * time.Second
	// suspectPeriod is how long a target that failed is avoided.
	suspectPeriod = 1500 * time.Millisecond
	// movedAwayPeriod is how long the wait of a request that was moved to another target keeps counting as a wait at the first one.
	movedAwayPeriod = 2 * time.Second
	// minOutcomes is the number of outcomes from which the failure rate is used.
	minOutcomes = 4
)

// targetState is what this entry knows of one incarnation of an upstream; it is guarded by the relay's mutex.
type targetState struct {
	// group is the group that the upstream was the head of when the roster last changed.
	group ident.Group
	// groupSince is when this entry first saw that group in the roster.
	groupSince time.Time
	// inflight counts this entry's requests at the target.
	inflight int
	// pendingTokens are the prompt tokens of those requests that have no event yet.
	pendingTokens ident.Tokens
	// peerPrompts are prompts that other entries sent to the target.
	peerPrompts []peerPrompt
	// batch follows the requests of other entries at the target.
	batch estimate.Batch
	// waitingSince is when the target last made progress, or since when requests have waited there if that is later.
	waitingSince time.Time
	// movedAwayAt is when a request was moved to another target because this one was silent. That wait counts until progress.
	movedAwayAt time.Time
	// lastContact is when the upstream last sent an answer or an event.
	lastContact time.Time
	// eventGap and failureRate are moving averages, observedAt is when they were last updated or halved.
	eventGap     time.Duration
	failureRate  float64
	outcomeCount int
	observedAt   time.Time
	// iterationEndedAt is when the last iteration ended, as shown by an event of any request. Since then at most peakPendingTokens were
	// pending, and sentSinceIteration requests were sent to the target.
	iterationEndedAt   time.Time
	peakPendingTokens  ident.Tokens
	sentSinceIteration int
	// suspicions are those of all entries. suspectedAt is when this entry last suspected the target, suspicionSentAt when it last notified
	// the others, and stalledAt when enough entries suspected the target for it to count as stalled.
	suspicions      stall.Suspicions[netip.AddrPort]
	suspectedAt     time.Time
	suspicionSentAt time.Time
	stalledAt       time.Time
	// lastStalledAt is stalledAt without being reset on progress, stallRepeats how often the target had stalled shortly before.
	lastStalledAt time.Time
	stallRepeats  int
	// confirmedAliveAt is the latest progress that another entry, or this one, has announced to the others.
	confirmedAliveAt time.Time
	// forwarders are the attempts at the target that can be moved.
	forwarders map[*forwarder]struct{}
	// eventCount and eventGapTotal are the events, and the sum of the gaps before them, since the last observation sent to the leader.
	eventCount    int
	eventGapTotal time.Duration
	// unreachable is set when no connection can be opened, until a probe opens one; probing is set while one is under way, and probedAt is
	// when the last one started.
	unreachable bool
	probing     bool
	probedAt    time.Time
	// suspectUntil is until when the target is avoided after a failure.
	suspectUntil time.Time
	// connectionRefused is set when a connection was refused, crashed when no process listens at the address although other upstreams are
	// reachable, and crashProbe while this is being checked.
	connectionRefused bool
	crashed           bool
	crashProbe        *crashProbe
	// blamedMember is the member that the head named as the cause of a failure.
	blamedMember string
	// peerBackoffUntil is the end of the backoff that the upstream requested from other entries.
	peerBackoffUntil time.Time
}

// resetForGroup drops all observations made while the upstream was the head of another group.
func (ts *targetState) resetForGroup(now time.Time, group ident.Group) {
	if ts.group == group {
		return
	}
	*ts = targetState{
		group: group, groupSince: now, inflight: ts.inflight, pendingTokens: ts.pendingTokens, outcomeCount: ts.outcomeCount,
		failureRate: ts.failureRate, waitingSince: ts.waitingSince, forwarders: ts.forwarders, crashProbe: ts.crashProbe,
		unreachable: ts.unreachable, probing: ts.probing, probedAt: ts.probedAt,
	}
	if ts.inflight == 0 {
		ts.waitingSince = time.Time{}
	}
}

// addRequest counts a request that is about to be sent to the target.
func (ts *targetState) addRequest(now time.Time, promptTokens ident.Tokens) {
	if ts.inflight == 0 && ts.movedAwayAt.IsZero() {
		ts.waitingSince = now
	}
	if ts.inflight == 0 {
		// Without requests no event has shown the end of an iteration.
		ts.peakPendingTokens, ts.sentSinceIteration = 0, 0
	}
	ts.inflight++
	ts.pendingTokens += promptTokens
	ts.notePromptSent(now)
}

// notePromptSent counts a prompt that any entry sent to the target.
func (ts *targetState) notePromptSent(now time.Time) {
	ts.peakPendingTokens = max(ts.peakPendingTokens, ts.maxPendingTokens(now))
	ts.sentSinceIteration++
}

// noteIteration records the end of an iteration and clears all suspicions. After an iteration that took too long, the target stays suspect
// and stalled.
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

// noteProgress records that the upstream sent an answer or an event.
func (ts *targetState) noteProgress(now time.Time) {
	ts.lastContact = now
	ts.waitingSince = now
	ts.movedAwayAt = time.Time{}
	ts.connectionRefused, ts.crashed = false, false
	ts.blamedMember = ""
}

// noteEvent records a gap between two events of one stream.
func (ts *targetState) noteEvent(now time.Time, gap time.Duration) {
	ts.noteProgress(now)
	ts.eventGap += time.Duration(observationWeight * float64(gap-ts.eventGap))
	ts.eventCount++
	ts.eventGapTotal += gap
	ts.observedAt = now
}

// noteOutcome records whether a request succeeded.
func (ts *targetState) noteOutcome(now time.Time, ok bool) {
	failure := 1.0
	if ok {
		failure = 0
	}
	ts.outcomeCount++
	ts.failureRate += observationWeight * (failure - ts.failureRate)
	ts.observedAt = now
}

// decay halves the averages for each decayInterval without observations.
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

// waitWithoutProgress is how long requests have waited at the target without progress.
func (ts *targetState) waitWithoutProgress(now time.Time) time.Duration {
	if now.Sub(ts.movedAwayAt) > movedAwayPeriod {
		ts.movedAwayAt = time.Time{}
	}
	if ts.inflight == 0 && ts.movedAwayAt.IsZero() {
		return 0
	}
	return now.Sub(ts.waitingSince)
}
