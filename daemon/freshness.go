package daemon

import (
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/settings"
)

// configFreshness decides whether this daemon may serve by its configuration.
// Two cases are distinguished:
//
//   - No contact to a majority of control members: an accepted change may be
//     unknown here, so after the bound requests are refused (control-unreachable).
//   - A majority answers, but there is no leader: no change can have been
//     accepted, so requests are served.
//
// Hence an accepted change is in force everywhere after at most the bound: each
// daemon has applied it or refuses requests. See docs/design/in-force.md.
type configFreshness struct {
	bound          time.Duration
	self           ident.Daemon
	controlMembers []ident.Daemon

	mu sync.Mutex
	// lastReply is when the last call that a control member answered was sent.
	lastReply map[ident.Daemon]time.Time
	// newestRevision is the highest revision that a control member reported, behindSince since when the revision here
	// has been lower.
	newestRevision ident.Revision
	behindSince    time.Time
	// caughtUp is set once this daemon has applied newestRevision. It is false after the start and after a time without a
	// majority: such a daemon refuses requests until it has caught up.
	caughtUp bool
}

func newConfigFreshness(cfg *settings.Settings) *configFreshness {
	return &configFreshness{
		bound: cfg.Times.ControlBound.Std(), self: cfg.Name, controlMembers: cfg.ControlMembers,
		lastReply: map[ident.Daemon]time.Time{},
	}
}

// noteReply records that a control member that knows every committed change answered a call sent at sentAt.
func (f *configFreshness) noteReply(name ident.Daemon, sentAt time.Time, revision ident.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastReply[name] = sentAt
	f.newestRevision = max(f.newestRevision, revision)
}

// check returns ControlUnreachable when the configuration of revision, which this daemon serves by, may be out of date.
func (f *configFreshness) check(now time.Time, revision ident.Revision) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	recentReplies := 0
	for _, m := range f.controlMembers {
		if sentAt, ok := f.lastReply[m]; ok && now.Sub(sentAt) <= f.bound {
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
