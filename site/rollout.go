package site

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/clock"
)

const (
	// maxCallAge is how old the newest call of an entry may be for its version to count: entries call again after each
	// answer, which the leader delays by maxSyncHold and maxSyncGather at most.
	maxCallAge = time.Second
	// entriesArriveWithin is how long the entries of a former leader may take to call the next one.
	entriesArriveWithin = 1500 * time.Millisecond
	// maxConfirmWait is how long after the offer of a configuration its confirmation may wait for entries: operators
	// try another daemon after a second without an answer.
	maxConfirmWait = 600 * time.Millisecond
	// rolloutPollInterval is how often a waiting confirmation checks the entries. A check on each entry's call would go
	// over all entries each time.
	rolloutPollInterval = 10 * time.Millisecond
	// rolloutLateAfter is the age from which a configuration that some entries lack is logged with their names.
	rolloutLateAfter = time.Second
	// maxPendingRollouts bounds the versions that are tracked, maxMissingNames the entries named in one log line.
	maxPendingRollouts = 16
	maxMissingNames    = 8
)

// rollout tracks accepted versions, such as those of configurations, until every entry that calls the leader has them
// in force.
type rollout[V ~uint64] struct {
	// startedAt is when the leader started, expectedEntries how many entries its predecessor had; those that have not
	// called yet may have any version.
	startedAt       time.Time
	expectedEntries int

	mu      sync.Mutex
	entries map[string]entryVersion[V]
	pending []*pendingVersion[V]
}

// entryVersion is the version that an entry had in force at its newest call.
type entryVersion[V ~uint64] struct {
	version  V
	calledAt time.Time
}

// pendingVersion is a version that some entries may lack.
type pendingVersion[V ~uint64] struct {
	version V
	// offeredAt is when the leader received the version, acceptedAt when a majority had it on disk.
	offeredAt  time.Time
	acceptedAt time.Time
	// late is set once the version was reported as late.
	late bool
}

// rolloutReport describes the progress of a version; Missing is empty when every entry has it in force.
type rolloutReport[V ~uint64] struct {
	Version V
	After   time.Duration
	Entries int
	Missing []string
}

// newRollout returns the rollout of a leader that starts now; its predecessor had the expected number of entries.
func newRollout[V ~uint64](now time.Time, expected int) *rollout[V] {
	return &rollout[V]{startedAt: now, expectedEntries: expected, entries: map[string]entryVersion[V]{}}
}

// track starts to track a version.
func (r *rollout[V]) track(offeredAt, now time.Time, version V) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.ContainsFunc(r.pending, func(p *pendingVersion[V]) bool { return p.version == version }) {
		return
	}
	r.pending = append(r.pending, &pendingVersion[V]{version: version, offeredAt: offeredAt, acceptedAt: now})
	r.pending = r.pending[max(0, len(r.pending)-maxPendingRollouts):]
}

// noteVersion records the version that an entry has in force.
func (r *rollout[V]) noteVersion(now time.Time, entry string, version V) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[entry] = entryVersion[V]{version, now}
}

// removeEntry removes an entry that has stopped calling.
func (r *rollout[V]) removeEntry(entry string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.entries, entry)
}

// awaitingEntries reports whether entries of the former leader may not have called yet.
func (r *rollout[V]) awaitingEntries(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.awaitingEntriesLocked(now)
}

// awaitingEntriesLocked is awaitingEntries for callers that hold the mutex.
func (r *rollout[V]) awaitingEntriesLocked(now time.Time) bool {
	return len(r.entries) < r.expectedEntries && now.Sub(r.startedAt) < entriesArriveWithin
}

// waitInForce returns when every entry that calls has the version or a newer one, or maxConfirmWait after the offer.
func (r *rollout[V]) waitInForce(ctx context.Context, version V) {
	for ctx.Err() == nil {
		remaining := r.remainingWait(clock.Now(), version)
		if remaining <= 0 {
			return
		}
		sleep(ctx, min(remaining, rolloutPollInterval))
	}
}

// remainingWait returns how much longer a confirmation of the version has to wait.
func (r *rollout[V]) remainingWait(now time.Time, version V) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.pending, func(p *pendingVersion[V]) bool { return p.version >= version })
	if i < 0 || !r.awaitingEntriesLocked(now) && !r.anyBehind(now, version) {
		return 0
	}
	return maxConfirmWait - now.Sub(r.pending[i].offeredAt)
}

// anyBehind reports whether any entry that calls has an older version; the mutex is held.
func (r *rollout[V]) anyBehind(now time.Time, version V) bool {
	for _, e := range r.entries {
		if e.version < version && now.Sub(e.calledAt) < maxCallAge {
			return true
		}
	}
	return false
}

// entriesBehind returns the entries that call and have an older version; the mutex is held.
func (r *rollout[V]) entriesBehind(now time.Time, version V) []string {
	var names []string
	for name, e := range r.entries {
		if e.version < version && now.Sub(e.calledAt) < maxCallAge {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// newReports returns a report for each version that every entry has since the last call, and for each that has become
// late.
func (r *rollout[V]) newReports(now time.Time) []rolloutReport[V] {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []rolloutReport[V]
	r.pending = slices.DeleteFunc(r.pending, func(p *pendingVersion[V]) bool {
		after := now.Sub(p.acceptedAt)
		if !r.anyBehind(now, p.version) {
			list = append(list, rolloutReport[V]{Version: p.version, After: after, Entries: len(r.entries)})
			return true
		}
		if after >= rolloutLateAfter && !p.late {
			p.late = true
			missing := r.entriesBehind(now, p.version)
			missing = missing[:min(maxMissingNames, len(missing))]
			list = append(list, rolloutReport[V]{Version: p.version, After: after, Entries: len(r.entries), Missing: missing})
		}
		return false
	})
	return list
}
