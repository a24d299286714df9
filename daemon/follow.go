package daemon

import (
	"context"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/peer"
	"github.com/dunlinquay/dunlinquay/result"
)

const (
	followWait    = 2 * time.Second
	followTimeout = 4 * time.Second
	followBatch   = 1024
	followRetry   = 100 * time.Millisecond
	maxFollowWait = 10 * time.Second
)

// handleFollow answers a daemon that keeps up with the log.
func (d *Daemon) handleFollow(c *peer.FollowCall) (peer.FollowReply, error) {
	if d.control == nil || !d.control.current() {
		return peer.FollowReply{}, result.New(result.PeerRefused, "not a control member that is current")
	}
	changed := d.machine.Changed()
	entries, ok := d.machine.Since(c.After, followBatch)
	if ok && len(entries) == 0 {
		timer := time.NewTimer(min(time.Duration(c.WaitMillis)*time.Millisecond, maxFollowWait))
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		}
		entries, ok = d.machine.Since(c.After, followBatch)
	}
	reply := peer.FollowReply{Entries: entries, Revision: d.machine.Revision()}
	if ok {
		return reply, nil
	}
	snapshot, err := d.machine.Snapshot()
	reply.Snapshot = snapshot
	return reply, err
}

// followLoop keeps a daemon without the control role at the newest revision, from one control member at a time,
// those of its own hall first.
func (d *Daemon) followLoop(ctx context.Context) {
	sources := d.followSources()
	for n := 0; ctx.Err() == nil; {
		if err := d.followOnce(ctx, sources[n%len(sources)]); err != nil {
			n++
			sleep(ctx, followRetry)
		}
	}
}

func (d *Daemon) followSources() []ident.Daemon {
	var near, far []ident.Daemon
	for _, name := range d.cfg.ControlMembers {
		if d.hallOf(name) == d.cfg.Hall {
			near = append(near, name)
		} else {
			far = append(far, name)
		}
	}
	return append(near, far...)
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
	call := &peer.FollowCall{After: d.machine.Revision(), WaitMillis: followWait.Milliseconds()}
	reply, err := d.peers[source].Follow(ctx, followTimeout, call)
	if err != nil {
		return err
	}
	if reply.Snapshot != nil {
		if err := d.machine.Restore(reply.Revision, reply.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range reply.Entries {
		d.machine.Apply(e.Revision, e.Data)
	}
	d.machine.Notify()
	if len(reply.Entries) == 0 && d.machine.Revision() < d.force.newest() {
		// This member is behind the others; the next source may not be.
		return result.New(result.MemberBehind, "%s is behind", source)
	}
	return nil
}
