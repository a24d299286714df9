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
	// askPause is the pause before the next control daemon is asked for the leader.
	askPause = 30 * time.Millisecond
	// askSpread is the time for each entry over which entries that have lost their leader ask for the next one: calls of all of them at the
	// same moment would keep that from its voters.
	askSpread = 500 * time.Microsecond
	// spreadFrom is from how many entries on they spread.
	spreadFrom = 32
	// seedsAfter is how long no leader was found until the settings are read again for other seeds.
	seedsAfter = 2 * time.Second
	// entriesUnknown stands for as many entries as make a leader keep calls for longest.
	entriesUnknown = 1 << 10
)

// follower keeps a daemon up to date with the leader: one call at a time waits there for news. Fields are set before run.
type follower struct {
	peers     *peers
	directory *directory
	// describe fills in what this daemon tells with each call.
	describe func(c *SyncCall)
	// apply takes the leader's confirmation and reports whether the configuration in it, if any, is in force; began is when the call was sent.
	apply func(began time.Time, r *SyncReply) bool
	// commit puts what a daemon that does not lead holds of the configuration in force, and reports whether it is.
	commit func(began time.Time, r *SyncReply) bool
	// sums returns the digests of what this daemon has of the roster, nil when it has nothing.
	sums func() *roster.Digests
	// reread reads the settings again for other seeds.
	reread func()
	log    logr.Logger

	leadership LeadershipID
	revision   roster.Revision
	version    httproute.Version
	// entries is how many entries the leader has; one that isn't known yet may have any number.
	entries int
	found   time.Time
	lost    bool
	// spread is the time over which this daemon and all others ask for the next leader.
	spread time.Duration
	// astray is set when the next answer may come from another leader than the last one.
	astray bool
}

func (f *follower) run(ctx context.Context) {
	f.found, f.entries, f.astray = clock.Now(), entriesUnknown, true
	for ctx.Err() == nil {
		if f.once() {
			f.regained()
			continue
		}
		f.missed(ctx)
	}
}

// once asks one daemon and reports whether it leads.
func (f *follower) once() bool {
	address := f.directory.ask()
	if address == "" {
		return false
	}
	call := &SyncCall{Leadership: f.leadership, Revision: f.revision, Version: f.version}
	f.describe(call)
	if f.astray {
		call.Sums = f.sums()
	}
	began := clock.Now()
	reply, err := f.peers.sync(address, f.entries, call)
	if err != nil {
		f.stray()
		// Idle connections may have gone silent with this one, and each would hold the next call for its whole time-out.
		f.peers.dropUnheard(began)
		f.directory.forgetLeader(address)
		f.entries = entriesUnknown
		return false
	}
	f.directory.learn(reply.Leader, reply.Controls)
	if !reply.Leads {
		f.stray()
		f.takeCommitted(began, &reply)
		return false
	}
	f.entries = max(1, reply.Entries)
	if err := reply.unpack(); err != nil {
		f.log.Error(err, "the leader's roster cannot be read", "leader", reply.Leader)
		return false
	}
	f.astray = false
	f.take(&reply)
	if f.apply(began, &reply) {
		f.version = max(f.version, reply.Version)
	}
	return true
}

// takeCommitted takes a newer configuration from a daemon that does not lead: while entries have no leader it was confirmed all the same.
func (f *follower) takeCommitted(began time.Time, r *SyncReply) {
	if r.Version <= f.version {
		r.Config, r.Patch = nil, nil
	}
	if f.commit(began, r) {
		f.version = max(f.version, r.Version)
	}
}

// stray notes that the leader that this daemon followed is lost, or may be.
func (f *follower) stray() {
	if !f.astray {
		f.spread = spreadOf(f.entries)
	}
	f.astray = true
}

// spreadOf is the time over which so many entries ask for a leader, 0 where they are few, or not known.
func spreadOf(entries int) time.Duration {
	if entries < spreadFrom || entries == entriesUnknown {
		return 0
	}
	return time.Duration(entries) * askSpread
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

// take remembers what this daemon then has; nothing goes back within its life.
func (f *follower) take(r *SyncReply) {
	if r.Usable {
		f.leadership = r.Leadership
		f.revision = r.Changes.Revision
	}
	if r.Version <= f.version {
		r.Config, r.Patch = nil, nil
	}
}

func (f *follower) regained() {
	f.found = clock.Now()
	if f.lost {
		f.lost = false
		f.log.Info("control leader found", "leader", f.directory.knownLeader(), "leadership", f.leadership)
	}
}

func (f *follower) missed(ctx context.Context) {
	away := clock.Since(f.found)
	if !f.lost && away > seedsAfter/2 {
		f.lost = true
		f.log.Info("control leader lost", "for-ms", away.Milliseconds(), "known", f.directory.list())
	}
	if away > seedsAfter {
		f.reread()
	}
	pause(ctx, askPause+time.Duration(rand.Float64()*float64(f.spread)))
	f.spread = 0
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
