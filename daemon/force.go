package daemon

import (
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/settings"
)

// force decides whether this daemon may still serve by the configuration it
// has. Two cases are told apart:
//
//	cut off from a majority of control members: a change may have been accepted
//	  that this daemon cannot know of; after the bound it refuses (control-unreachable)
//	no leader, while a majority answers: nothing can have been accepted; it serves on
//
// So an accepted change is in force everywhere after at most the bound: each
// daemon has applied it or serves nobody. See docs/design/in-force.md.
type force struct {
	bound   time.Duration
	self    ident.Daemon
	members []ident.Daemon

	mu    sync.Mutex
	heard map[ident.Daemon]time.Time
	// known is the highest revision that a member reported, behind since when the own one is lower.
	known  ident.Revision
	behind time.Time
	// caughtUp is set once this daemon has been at the newest known revision: one that starts, or was cut off for
	// longer than the bound, has to get there first.
	caughtUp bool
}

func newForce(cfg *settings.Settings) *force {
	return &force{
		bound: cfg.Times.ControlBound.Std(), self: cfg.Name, members: cfg.ControlMembers,
		heard: map[ident.Daemon]time.Time{},
	}
}

// answered notes that a control member which knows its log answered a question sent at sent.
func (f *force) answered(name ident.Daemon, sent time.Time, revision ident.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard[name] = sent
	f.known = max(f.known, revision)
}

// check returns ControlUnreachable when this daemon, which serves by revision, may hold old configuration.
func (f *force) check(now time.Time, revision ident.Revision) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	fresh := 0
	for _, m := range f.members {
		if at, ok := f.heard[m]; ok && now.Sub(at) <= f.bound {
			fresh++
		}
	}
	if fresh <= len(f.members)/2 {
		f.caughtUp = false
		return result.New(result.ControlUnreachable, "%d of %d control members answered within %s", fresh, len(f.members), f.bound)
	}
	if revision >= f.known {
		f.behind = time.Time{}
		f.caughtUp = true
		return nil
	}
	if !f.caughtUp {
		return result.New(result.ControlUnreachable, "catching up: at revision %d, revision %d is in force", revision, f.known)
	}
	if f.behind.IsZero() {
		f.behind = now
	}
	if now.Sub(f.behind) > f.bound {
		return result.New(result.ControlUnreachable, "at revision %d, revision %d is in force", revision, f.known)
	}
	return nil
}

// newest returns the highest revision that any control member reported.
func (f *force) newest() ident.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known
}
