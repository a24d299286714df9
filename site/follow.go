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
	// retryJitterPerEntry is the retry jitter for each entry of the site after the leader is lost: calls of all entries
	// at the same moment would cut the next leader off from its voters.
	retryJitterPerEntry = 500 * time.Microsecond
	// jitterMinEntries is the number of entries from which on retries have jitter.
	jitterMinEntries = 32
	// reloadSeedsAfter is the time without a leader after which the settings are read again for other seeds.
	reloadSeedsAfter = 2 * time.Second
	// unknownEntryCount is used while the number of entries is unknown; with it a leader's hold time is the longest.
	unknownEntryCount = 1 << 10
)

// follower keeps a daemon up to date with the leader, by one call at a time that waits there for updates. Function
// fields are set before run.
type follower struct {
	links     *controlLinks
	directory *controlDirectory
	// fillCall fills in what this daemon reports with each call.
	fillCall func(call *SyncCall)
	// applyReply applies the leader's reply and reports whether its configuration, if any, is in force; sentAt is when
	// the call was sent.
	applyReply func(sentAt time.Time, reply *SyncReply) bool
	// applyCommitted applies only the committed state of a reply, and reports whether its configuration is in force.
	applyCommitted func(sentAt time.Time, reply *SyncReply) bool
	// rosterDigests returns the digests of this daemon's roster, nil when it has none.
	rosterDigests func() *roster.Digests
	// reloadSeeds reads the settings again for other seeds.
	reloadSeeds func()
	log         logr.Logger

	leadership LeadershipID
	revision   roster.Revision
	version    httproute.Version
	// leaderEntryCount is how many entries the leader has, or unknownEntryCount.
	leaderEntryCount int
	leaderSeenAt     time.Time
	leaderLost       bool
	// retryJitter is the time over which this daemon and all others spread their next call after the leader is lost.
	retryJitter time.Duration
	// leaderUncertain is set when the next reply may be from another leader than the last one.
	leaderUncertain bool
}

func (f *follower) run(ctx context.Context) {
	f.leaderSeenAt, f.leaderEntryCount, f.leaderUncertain = clock.Now(), unknownEntryCount, true
	for ctx.Err() == nil {
		if f.syncOnce() {
			f.leaderFound()
			continue
		}
		f.waitForRetry(ctx)
	}
}

// syncOnce calls one daemon and reports whether that daemon leads.
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
	reply, err := f.links.sync(address, f.leaderEntryCount, call)
	if err != nil {
		f.markLeaderUncertain()
		// Other idle connections may be dead as well, and each would hold the next call for its whole timeout.
		f.links.dropSilentSince(sentAt)
		f.directory.forgetLeader(address)
		f.leaderEntryCount = unknownEntryCount
		return false
	}
	f.directory.update(reply.Leader, reply.Controls)
	if !reply.Leads {
		f.markLeaderUncertain()
		f.acceptCommitted(sentAt, &reply)
		return false
	}
	f.leaderEntryCount = max(1, reply.Entries)
	if err := reply.unpack(); err != nil {
		f.log.Error(err, "roster from the leader cannot be decoded", "leader", reply.Leader)
		f.acceptCommitted(sentAt, &reply)
		return false
	}
	f.leaderUncertain = false
	f.recordReply(&reply)
	if f.applyReply(sentAt, &reply) {
		f.version = max(f.version, reply.Version)
	}
	return true
}

// acceptCommitted applies the committed state from a reply whose other parts are not usable, since a configuration or a
// drain can be confirmed while an entry has no usable contact with the leader.
func (f *follower) acceptCommitted(sentAt time.Time, reply *SyncReply) {
	if reply.Version <= f.version {
		reply.Config, reply.Patch = nil, nil
	}
	if f.applyCommitted(sentAt, reply) {
		f.version = max(f.version, reply.Version)
	}
}

// markLeaderUncertain records that the leader is lost, or may be.
func (f *follower) markLeaderUncertain() {
	if !f.leaderUncertain {
		f.retryJitter = jitterFor(f.leaderEntryCount)
	}
	f.leaderUncertain = true
}

// jitterFor returns the retry jitter for a number of entries, 0 where there are few or the number is unknown.
func jitterFor(entries int) time.Duration {
	if entries < jitterMinEntries || entries == unknownEntryCount {
		return 0
	}
	return time.Duration(entries) * retryJitterPerEntry
}

// unpack replaces Changes and Lists by the packed roster and lists, where the reply has these.
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

// recordReply records the state that the reply brings, and drops a configuration that is not newer: a daemon never
// returns to an older one while it runs.
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
