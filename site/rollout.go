package site

import (
	"slices"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
)

const (
	// entryCalls is how old the newest call of an entry may be for its version to count: entries call again after each answer, and
	// the leader keeps a call for syncHoldMost and syncGatherMost at most.
	entryCalls = time.Second
	// rolloutLate is when a configuration that some entries don't have is logged with their names.
	rolloutLate = time.Second
	// rolloutsKept bounds the configurations that are followed, lateNames the entries in one line.
	rolloutsKept = 16
	lateNames    = 8
)

// rollout follows accepted configurations until every entry that calls the leader has them in force.
type rollout struct {
	mu      sync.Mutex
	entries map[string]entryVersion
	pending []*pendingVersion
}

// entryVersion is the version that an entry had in force at the time of its newest call.
type entryVersion struct {
	version httproute.Version
	at      time.Time
}

// pendingVersion is a configuration that some entries may not have.
type pendingVersion struct {
	version  httproute.Version
	accepted time.Time
	// late is set once it was reported as late.
	late bool
}

// rolloutReport says how far a configuration has got; Missing is empty when every entry has it.
type rolloutReport struct {
	Version httproute.Version
	After   time.Duration
	Entries int
	Missing []string
}

func newRollout() *rollout {
	return &rollout{entries: map[string]entryVersion{}}
}

// accept begins to follow a version.
func (r *rollout) accept(now time.Time, version httproute.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if slices.ContainsFunc(r.pending, func(p *pendingVersion) bool { return p.version == version }) {
		return
	}
	r.pending = append(r.pending, &pendingVersion{version: version, accepted: now})
	r.pending = r.pending[max(0, len(r.pending)-rolloutsKept):]
}

// hear notes the version that an entry has in force.
func (r *rollout) hear(now time.Time, entry string, version httproute.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[entry] = entryVersion{version, now}
}

// forget drops an entry that does not call any more.
func (r *rollout) forget(entry string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.entries, entry)
}

// lacking returns the entries that call and have an older version; the mutex is held.
func (r *rollout) lacking(now time.Time, version httproute.Version) []string {
	var names []string
	for name, e := range r.entries {
		if e.version < version && now.Sub(e.at) < entryCalls {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// reports returns the versions that every entry has since the last call, and those that have become late.
func (r *rollout) reports(now time.Time) []rolloutReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []rolloutReport
	r.pending = slices.DeleteFunc(r.pending, func(p *pendingVersion) bool {
		after := now.Sub(p.accepted)
		missing := r.lacking(now, p.version)
		if len(missing) == 0 {
			list = append(list, rolloutReport{Version: p.version, After: after, Entries: len(r.entries)})
			return true
		}
		if after >= rolloutLate && !p.late {
			p.late = true
			missing = missing[:min(lateNames, len(missing))]
			list = append(list, rolloutReport{Version: p.version, After: after, Entries: len(r.entries), Missing: missing})
		}
		return false
	})
	return list
}
