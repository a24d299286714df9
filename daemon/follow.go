package daemon

import (
	"context"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/peer"
	"github.com/dunlinquay/dunlinquay/result"
)

const (
	followWaitTime    = 2 * time.Second
	followTimeout     = 4 * time.Second
	followBatchSize   = 1024
	followRetryDelay  = 100 * time.Millisecond
	maxFollowWaitTime = 10 * time.Second
)

// handleFollow returns log entries after the caller's revision and waits for one if there are none.
func (d *Daemon) handleFollow(call *peer.FollowCall) (peer.FollowReply, error) {
	if d.control == nil || !d.control.knowsCommitted() {
		return peer.FollowReply{}, result.New(result.PeerRefused, "not a control member, or one that does not know every committed change yet")
	}
	changed := d.fleet.Changed()
	entries, ok := d.fleet.CommandsSince(call.After, followBatchSize)
	if ok && len(entries) == 0 {
		timer := time.NewTimer(min(time.Duration(call.WaitMillis)*time.Millisecond, maxFollowWaitTime))
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		}
		entries, ok = d.fleet.CommandsSince(call.After, followBatchSize)
	}
	reply := peer.FollowReply{Entries: entries, Revision: d.fleet.Revision()}
	if ok {
		return reply, nil
	}
	snapshot, err := d.fleet.Snapshot()
	reply.Snapshot = snapshot
	return reply, err
}

// followLoop keeps a daemon that is no control member at the newest revision. It reads from one control member at a
// time and begins with those in its own hall.
func (d *Daemon) followLoop(ctx context.Context) {
	sources := d.followSources()
	for failures := 0; ctx.Err() == nil; {
		if err := d.followOnce(ctx, sources[failures%len(sources)]); err != nil {
			failures++
			sleep(ctx, followRetryDelay)
		}
	}
}

func (d *Daemon) followSources() []ident.Daemon {
	var sameHall, otherHalls []ident.Daemon
	for _, name := range d.cfg.ControlMembers {
		if d.hallOf(name) == d.cfg.Hall {
			sameHall = append(sameHall, name)
		} else {
			otherHalls = append(otherHalls, name)
		}
	}
	return append(sameHall, otherHalls...)
}

func (d *Daemon) hallOf(name ident.Daemon) ident.Hall {
	for _, p := range d.cfg.Peers {
		if p.Name == name {
			return p.Hall
		}
	}
	return d.cfg.Hall
}

func (d *Daemon) followOnce(ctx context.Context, source ident.Daemon) error {
	call := &peer.FollowCall{After: d.fleet.Revision(), WaitMillis: followWaitTime.Milliseconds()}
	reply, err := d.peers[source].Follow(ctx, followTimeout, call)
	if err != nil {
		return err
	}
	if reply.Snapshot != nil {
		if err := d.fleet.Restore(reply.Revision, reply.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range reply.Entries {
		d.fleet.Apply(e.Revision, e.Data)
	}
	d.fleet.Notify()
	if len(reply.Entries) == 0 && d.fleet.Revision() < d.freshness.newest() {
		// The next source may have newer entries.
		return result.New(result.MemberBehind, "%s is behind the newest known revision", source)
	}
	return nil
}
