package site

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	// followRetryPause is the pause before the next control daemon is asked for the leader.
	followRetryPause = 30 * time.Millisecond
	// retryJitterPerEntry is the time for each entry over which entries that have lost their leader ask for the next one: calls of all of them at the
	// same moment would keep that from its voters.
	retryJitterPerEntry = 500 * time.Microsecond
	// jitterMinEntries is from how many entries on they spread.
	jitterMinEntries = 32
	// reloadSeedsAfter is how long no leader was found until the settings are read again for other seeds.
	reloadSeedsAfter = 2 * time.Second
	// unknownEntryCount stands for as many entries as make a leader keep calls for longest.
	unknownEntryCount = 1 << 10
)

// follower keeps a daemon up to date with the leader: one call at a time waits there for news. Fields are set before run.
type follower struct {
	links     *controlLinks
	directory *directory
	// fillCall fills in what this daemon tells with each call.
	fillCall func(call *SyncCall)
	// applyReply takes the leader's confirmation and reports whether the configuration in it, if any, is in force; began is when the call was sent.
	applyReply func(sentAt time.Time, reply *SyncReply) bool
	// applyCommitted puts what a daemon that does not lead holds of the configuration in force, and reports whether it is.
	applyCommitted func(sentAt time.Time, reply *SyncReply) bool
	// rosterDigests returns the digests of what this daemon has of the roster, nil when it has nothing.
	rosterDigests func() *roster.Digests
	// reloadSeeds reads the settings again for other seeds.
	reloadSeeds func()
	log         logr.Logger

	leadership LeadershipID
	revision   roster.Revision
	version    httproute.Version
	// leaderEntries is how many entries the leader has; one that isn't known yet may have any number.
	leaderEntries int
	leaderSeenAt  time.Time
	leaderLost    bool
	// retryJitter is the time over which this daemon and all others ask for the next leader.
	retryJitter time.Duration
	// leaderUncertain is set when the next answer may come from another leader than the last one.
	leaderUncertain bool
}

func (f *follower) run(ctx context.Context) {
	f.leaderSeenAt, f.leaderEntries, f.leaderUncertain = clock.Now(), unknownEntryCount, true
	for ctx.Err() == nil {
		if f.syncOnce() {
			f.leaderFound()
			continue
		}
		f.waitForRetry(ctx)
	}
}

// syncOnce asks one daemon and reports whether it leads.
func (f *follower) syncOnce() bool {
	address := f.directory.nextAddress()
	if address == "" {
		return false
	}
	call := &SyncCall{Leadership: f.leadership, Revision: f.revision, Version: f.version}
	f.fillCall(call)
	if f.leaderUncertain {
		call.Sums = f.rosterDigests()
	}
	sentAt := clock.Now()
	reply, err := f.links.sync(address, f.leaderEntries, call)
	if err != nil {
		f.markLeaderUncertain()
		// Idle connections may have gone silent with this one, and each would hold the next call for its whole time-out.
		f.links.dropSilentSince(sentAt)
		f.directory.forgetLeader(address)
		f.leaderEntries = unknownEntryCount
		return false
	}
	f.directory.update(reply.Leader, reply.Controls)
	if !reply.Leads {
		f.markLeaderUncertain()
		f.acceptCommitted(sentAt, &reply)
		return false
	}
	f.leaderEntries = max(1, reply.Entries)
	if err := reply.unpack(); err != nil {
		f.log.Error(err, "the leader's roster cannot be read", "leader", reply.Leader)
		return false
	}
	f.leaderUncertain = false
	f.recordReply(&reply)
	if f.applyReply(sentAt, &reply) {
		f.version = max(f.version, reply.Version)
	}
	return true
}

// acceptCommitted takes a newer configuration from a daemon that does not lead: while entries have no leader it was confirmed all the same.
func (f *follower) acceptCommitted(sentAt time.Time, reply *SyncReply) {
	if reply.Version <= f.version {
		reply.Config, reply.Patch = nil, nil
	}
	if f.applyCommitted(sentAt, reply) {
		f.version = max(f.version, reply.Version)
	}
}

// markLeaderUncertain notes that the leader that this daemon followed is lost, or may be.
func (f *follower) markLeaderUncertain() {
	if !f.leaderUncertain {
		f.retryJitter = jitterFor(f.leaderEntries)
	}
	f.leaderUncertain = true
}

// jitterFor is the time over which so many entries ask for a leader, 0 where they are few, or not known.
func jitterFor(entries int) time.Duration {
	if entries < jitterMinEntries || entries == unknownEntryCount {
		return 0
	}
	return time.Duration(entries) * retryJitterPerEntry
}

// unpack puts a packed roster, and packed lists, in the places of what is not packed.
func (r *SyncReply) unpack() error {
	if r.Packed != nil {
		r.Changes = roster.Delta{}
		if err := unpack(r.Packed, &r.Changes); err != nil {
			return err
		}
	}
	if r.PackedLists != nil {
		return unpack(r.PackedLists, &r.Lists)
	}
	return nil
}

// recordReply remembers what this daemon then has; nothing goes back within its life.
func (f *follower) recordReply(reply *SyncReply) {
	if reply.Usable {
		f.leadership = reply.Leadership
		f.revision = reply.Changes.Revision
	}
	if reply.Version <= f.version {
		reply.Config, reply.Patch = nil, nil
	}
}

func (f *follower) leaderFound() {
	f.leaderSeenAt = clock.Now()
	if f.leaderLost {
		f.leaderLost = false
		f.log.Info("control leader found", "leader", f.directory.knownLeader(), "leadership", f.leadership)
	}
}

func (f *follower) waitForRetry(ctx context.Context) {
	lostFor := clock.Since(f.leaderSeenAt)
	if !f.leaderLost && lostFor > reloadSeedsAfter/2 {
		f.leaderLost = true
		f.log.Info("control leader lost", "for-ms", lostFor.Milliseconds(), "known", f.directory.addresses())
	}
	if lostFor > reloadSeedsAfter {
		f.reloadSeeds()
	}
	sleep(ctx, followRetryPause+time.Duration(rand.Float64()*float64(f.retryJitter)))
	f.retryJitter = 0
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
