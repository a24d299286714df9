package daemon

import (
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/settings"
)

// configFreshness decides whether this daemon may still serve by the configuration it
// has. Two cases are told apart:
//
//	cut off from a majority of control members: a change may have been accepted
//	  that this daemon cannot know of; after the bound it refuses (control-unreachable)
//	no leader, while a majority answers: nothing can have been accepted; it serves on
//
// So an accepted change is in force everywhere after at most the bound: each
// daemon has applied it or serves nobody. See docs/design/in-force.md.
type configFreshness struct {
	bound          time.Duration
	self           ident.Daemon
	controlMembers []ident.Daemon

	mu        sync.Mutex
	lastReply map[ident.Daemon]time.Time
	// newestRevision is the highest revision that a member reported, behind since when the own one is lower.
	newestRevision ident.Revision
	behindSince    time.Time
	// caughtUp is set once this daemon has been at the newest known revision: one that starts, or was cut off for
	// longer than the bound, has to get there first.
	caughtUp bool
}

func newConfigFreshness(cfg *settings.Settings) *configFreshness {
	return &configFreshness{
		bound: cfg.Times.ControlBound.Std(), self: cfg.Name, controlMembers: cfg.ControlMembers,
		lastReply: map[ident.Daemon]time.Time{},
	}
}

// noteReply notes that a control member which knows its log answered a question sent at sent.
func (f *configFreshness) noteReply(name ident.Daemon, sentAt time.Time, revision ident.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastReply[name] = sentAt
	f.newestRevision = max(f.newestRevision, revision)
}

// check returns ControlUnreachable when this daemon, which serves by revision, may hold old configuration.
func (f *configFreshness) check(now time.Time, revision ident.Revision) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	recentReplies := 0
	for _, m := range f.controlMembers {
		if repliedAt, ok := f.lastReply[m]; ok && now.Sub(repliedAt) <= f.bound {
			recentReplies++
		}
	}
	if recentReplies <= len(f.controlMembers)/2 {
		f.caughtUp = false
		return result.New(result.ControlUnreachable, "%d of %d control members answered within %s", recentReplies, len(f.controlMembers), f.bound)
	}
	if revision >= f.newestRevision {
		f.behindSince = time.Time{}
		f.caughtUp = true
		return nil
	}
	if !f.caughtUp {
		return result.New(result.ControlUnreachable, "catching up: at revision %d, revision %d is in force", revision, f.newestRevision)
	}
	if f.behindSince.IsZero() {
		f.behindSince = now
	}
	if now.Sub(f.behindSince) > f.bound {
		return result.New(result.ControlUnreachable, "at revision %d, revision %d is in force", revision, f.newestRevision)
	}
	return nil
}

// newest returns the highest revision that any control member reported.
func (f *configFreshness) newest() ident.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newestRevision
}
