package quarantine

// A part of a prompt can crash every upstream that begins an answer to a prompt with
// it. Requests with that part need have nothing else in common, so crashes are
// counted for each part that an answer had not begun to:
//
//	a, x, 1   crashes u1        a: 1, x: 1
//	a, b, 2   begins an answer  a: 0
//	a, x, 3   crashes u2        a: 1, x: 2
//	a, x, 4   crashes u3        a: 2, x: 3, quarantined
//
// The last part belongs to a single request or session and is not counted.
// Crashes of many upstreams at one moment have a cause of their own, and count
// once.
//
// If requests with a are rare, a can reach the limit together with x. A crash that
// another quarantined part, or a quarantined content, explains says nothing about
// a: requests with a and without x are admitted as trials, one at a time, until one
// begins an answer.

import (
	"slices"
	"time"
)

const (
	// sameMoment is the time within which crashes of several upstreams count as one.
	sameMoment = 50 * time.Millisecond
	// partTrialTimeout is how long a trial of a part is waited for; it ends with the first event.
	partTrialTimeout = 2 * time.Second
	// maxUnexplained is how many crashes of a part may have no other explanation while requests with it are admitted as trials.
	maxUnexplained = 1
	// partSharedCrashes is the number of crashes from which entries repeat reports on a part to each other. Each crash leaves one with all
	// parts of the requests that were waiting there, and nearly all of these are cleared before they have a second one.
	partSharedCrashes = 2
	// partRetention is how long a part is remembered after its quarantine has ended without a trial.
	partRetention = 24 * time.Hour
)

// partDurations are the quarantines of a part by the number of trials that ended in a crash. The first ones are short, since the first trial
// usually clears a part that was suspected together with the cause. The others bound the crashes by a part that is requested all the time:
// each trial crashes one upstream.
var partDurations = [...]time.Duration{2 * time.Second, 20 * time.Second, time.Hour, 24 * time.Hour, 7 * 24 * time.Hour}

// RemainingOfParts returns how long a request with all these parts must not be sent to upstreams because of one of them, which is returned as
// well; 0 when it may be sent.
func (l *List) RemainingOfParts(now time.Time, parts []Fingerprint) (time.Duration, Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var longest time.Duration
	var cause Fingerprint
	for _, part := range parts {
		r := l.records[part]
		if r == nil || !l.confirmed(r) {
			continue
		}
		remaining := r.trialUntil.Sub(now)
		if !l.isExplained(r, parts) {
			remaining = max(remaining, l.quarantinedUntil(r).Sub(now))
		}
		if remaining > longest {
			longest, cause = remaining, part
		}
	}
	return longest, cause
}

// isExplained reports whether another quarantined part that the request lacks, or a quarantined content, explains the crashes of r, one of its
// parts. Several together do not: each request with a bad part has parts and a content that few others have. The request's own content is not
// quarantined, or it would have been refused for that.
func (l *List) isExplained(r *record, requestParts []Fingerprint) bool {
	for fingerprint, other := range l.records {
		if l.confirmed(other) && r.crashesWithout(other) <= maxUnexplained && !slices.Contains(requestParts, fingerprint) {
			return true
		}
	}
	return false
}

// crashesWithout returns the number of crashes of r that are not crashes of other.
func (r *record) crashesWithout(other *record) int {
	n := 0
	for _, crash := range r.crashes {
		if !slices.Contains(other.crashes, crash) {
			n++
		}
	}
	return n
}

// countPartCrash counts a crash that this process has detected, before it is added to r.
func (l *List) countPartCrash(now time.Time, r *record, crash CrashID) {
	if l.confirmed(r) && (r.trialUntil.After(now) || !l.quarantinedUntil(r).After(now)) {
		r.failedTrials = min(r.failedTrials+1, len(partDurations))
	}
	if !slices.Contains(r.crashes, crash) && now.Sub(r.momentAt) > sameMoment {
		r.momentAt = now
		r.moments = min(r.moments+1, MaxCrashes)
	}
}

// mergePart merges the counts of another process, whose newest crash was at crashedAt; added is set if r lacked one of its crashes. It
// reports whether a count has changed.
func (r *record) mergePart(report *Report, added bool, crashedAt time.Time) bool {
	moments := min(max(0, report.Moments), MaxCrashes)
	if added && crashedAt.After(r.lastCrash) {
		r.lastCrash = crashedAt
	}
	if added && crashedAt.Sub(r.momentAt) > sameMoment {
		r.momentAt = crashedAt
		moments = max(moments, min(r.moments+1, MaxCrashes))
	}
	failedTrials := min(max(0, report.FailedTrials), len(partDurations))
	changed := moments > r.moments || failedTrials > r.failedTrials
	r.moments, r.failedTrials = max(r.moments, moments), max(r.failedTrials, failedTrials)
	return changed
}

// isShared reports whether changes of the record are repeated to other processes.
func (l *List) isShared(r *record) bool {
	return !r.part || r.everShared || l.SharesFirstPartCrash && len(r.crashes) > 0
}

// beginTrial notes that a trial begins.
func (r *record) beginTrial(now time.Time) {
	timeout := trialTimeout
	if r.part {
		timeout = partTrialTimeout
	}
	r.trialUntil = now.Add(timeout)
}

// maxAge bounds the age of a crash in reports.
func (r *record) maxAge() time.Duration {
	if r.part {
		return partDurations[len(partDurations)-1]
	}
	return MaxDuration
}

// retentionAfterQuarantine is how long a record is kept after its quarantine has ended.
func (r *record) retentionAfterQuarantine() time.Duration {
	if r.part {
		return partRetention
	}
	return retention
}
