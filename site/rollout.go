package site

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/clock"
)

const (
	// maxCallAge is how old the newest call of an entry may be for its version to count: entries call again after each answer, and
	// the leader keeps a call for maxSyncHold and maxSyncGather at most.
	maxCallAge = time.Second
	// entriesArriveWithin is how long the entries of a former leader may take to call the next one.
	entriesArriveWithin = 1500 * time.Millisecond
	// maxConfirmWait is the time from the offer of a configuration for which its confirmation may wait for entries: operators go to
	// another daemon after a second without an answer.
	maxConfirmWait = 600 * time.Millisecond
	// rolloutPollInterval is how often a confirmation looks whether the entries have it. Looking at each call of an entry instead would cost a look
	// at all entries for each of them.
	rolloutPollInterval = 10 * time.Millisecond
	// rolloutLateAfter is when a configuration that some entries don't have is logged with their names.
	rolloutLateAfter = time.Second
	// maxPendingRollouts bounds the configurations that are followed, maxMissingNames the entries in one line.
	maxPendingRollouts = 16
	maxMissingNames    = 8
)

// rollout follows accepted versions, such as those of configurations, until every entry that calls the leader has them in force.
type rollout[V ~uint64] struct {
	// startedAt is when the leader began, expected how many entries its predecessor had: those that have not called yet may lack anything.
	startedAt       time.Time
	expectedEntries int

	mu      sync.Mutex
	entries map[string]entryVersion[V]
	pending []*pendingVersion[V]
}

// entryVersion is the version that an entry had in force at the time of its newest call.
type entryVersion[V ~uint64] struct {
	version  V
	calledAt time.Time
}

// pendingVersion is a configuration that some entries may not have.
type pendingVersion[V ~uint64] struct {
	version V
	// offered is when it came to the leader, accepted when a majority had it on disk.
	offered  time.Time
	accepted time.Time
	// late is set once it was reported as late.
	late bool
}

// rolloutReport says how far a configuration has got; Missing is empty when every entry has it.
type rolloutReport[V ~uint64] struct {
	Version V
	After   time.Duration
	Entries int
	Missing []string
}

// newRollout returns the rollout of a leader that begins now after one that had so many entries.
func newRollout[V ~uint64](now time.Time, expected int) *rollout[V] {
	return &rollout[V]{startedAt: now, expectedEntries: expected, entries: map[string]entryVersion[V]{}}
}

// track begins to follow a version that was offered at a time.
func (r *rollout[V]) track(offered, now time.Time, version V) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.ContainsFunc(r.pending, func(p *pendingVersion[V]) bool { return p.version == version }) {
		return
	}
	r.pending = append(r.pending, &pendingVersion[V]{version: version, offered: offered, accepted: now})
	r.pending = r.pending[max(0, len(r.pending)-maxPendingRollouts):]
}

// noteVersion notes the version that an entry has in force.
func (r *rollout[V]) noteVersion(now time.Time, entry string, version V) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[entry] = entryVersion[V]{version, now}
}

// removeEntry drops an entry that does not call any more.
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

// awaitingEntriesLocked is arriving for callers that hold the mutex.
func (r *rollout[V]) awaitingEntriesLocked(now time.Time) bool {
	return len(r.entries) < r.expectedEntries && now.Sub(r.startedAt) < entriesArriveWithin
}

// waitInForce returns when every entry that calls has the version or a newer one, or maxConfirmWait after that was offered.
func (r *rollout[V]) waitInForce(ctx context.Context, version V) {
	for ctx.Err() == nil {
		remaining := r.remainingWait(clock.Now(), version)
		if remaining <= 0 {
			return
		}
		sleep(ctx, min(remaining, rolloutPollInterval))
	}
}

// remainingWait returns how long a confirmation of the version has to wait yet.
func (r *rollout[V]) remainingWait(now time.Time, version V) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := slices.IndexFunc(r.pending, func(p *pendingVersion[V]) bool { return p.version >= version })
	if i < 0 || !r.awaitingEntriesLocked(now) && !r.anyBehind(now, version) {
		return 0
	}
	return maxConfirmWait - now.Sub(r.pending[i].offered)
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

// newReports returns the versions that every entry has since the last call, and those that have become late.
func (r *rollout[V]) newReports(now time.Time) []rolloutReport[V] {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []rolloutReport[V]
	r.pending = slices.DeleteFunc(r.pending, func(p *pendingVersion[V]) bool {
		after := now.Sub(p.accepted)
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
