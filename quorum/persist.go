package quorum

// What a node does with the output of its core before anything of it is told to
// others: it persists entries and snapshots, applies what is committed, and
// drops what a snapshot covers.

import (
	"context"
	"time"

	"github.com/dunlinquay/dunlinquay/result"
)

// save persists, and waits out a full disk: nothing is promised meanwhile.
func (n *Node) save(ctx context.Context, hard *HardState, entries []Entry) error {
	for {
		err := n.store.Save(ctx, n.Instance, hard, entries)
		if err == nil {
			break
		}
		if result.CodeOf(err) != result.StorageFull {
			return err
		}
		n.Log.Error(err, "disk full, changes are refused", "instance", n.Instance)
		// These are in the log already and will be written once there is space.
		n.failWaiting(result.Wrap(err, result.NoLeader, "the change may be accepted when the disk has space"))
		if err := n.waitForSpace(ctx); err != nil {
			return err
		}
	}
	if len(entries) > 0 {
		n.core.Persisted(entries[len(entries)-1].Index)
	}
	return nil
}

// waitForSpace refuses proposals for a moment.
func (n *Node) waitForSpace(ctx context.Context) error {
	timer := time.NewTimer(fullDiskRetry)
	defer timer.Stop()
	for {
		select {
		case p := <-n.proposals:
			p.done <- outcome{err: result.New(result.StorageFull, "the disk of the data folder is full")}
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *Node) install(ctx context.Context, snap *Snapshot) error {
	if err := n.saveSnapshot(ctx, snap, snap.Index, true); err != nil {
		return err
	}
	n.applied, n.snapped = snap.Index, snap.Index
	if err := n.Restore(snap.Index, snap.Data); err != nil {
		return err
	}
	n.Applied(snap.Index)
	return nil
}

func (n *Node) saveSnapshot(ctx context.Context, snap *Snapshot, drop Index, replaces bool) error {
	for {
		err := n.store.SaveSnapshot(n.Instance, snap, drop, replaces)
		if result.CodeOf(err) != result.StorageFull {
			return err
		}
		n.Log.Error(err, "disk full, snapshot waits", "instance", n.Instance)
		if !replaces {
			// An own snapshot only saves space later; serving goes on without it.
			return nil
		}
		if err := n.waitForSpace(ctx); err != nil {
			return err
		}
	}
}

func (n *Node) applyAll(ctx context.Context, entries []Entry) error {
	for i := range entries {
		n.apply(&entries[i])
	}
	if len(entries) > 0 {
		n.Applied(n.applied)
	}
	if n.applied-n.snapped < n.SnapshotEvery {
		return nil
	}
	return n.compact(ctx)
}

func (n *Node) apply(e *Entry) {
	var value any
	if e.Kind == EntryCommand {
		value = n.Apply(e.Index, e.Data)
	}
	n.applied = e.Index
	w, ok := n.waiting[e.Index]
	if !ok {
		return
	}
	delete(n.waiting, e.Index)
	if w.term != e.Term {
		w.done <- outcome{err: result.New(result.NoLeader, "another leader replaced the change")}
		return
	}
	w.done <- outcome{value: value, index: e.Index}
}

func (n *Node) compact(ctx context.Context) error {
	snap, err := n.current()
	if err != nil {
		return err
	}
	keep := min(Index(catchUpEntries), n.SnapshotEvery)
	if err := n.saveSnapshot(ctx, snap, snap.Index-min(keep, snap.Index), false); err != nil {
		return err
	}
	n.snapped = n.applied
	n.core.Compact(snap.Index, keep)
	return nil
}

func (n *Node) current() (*Snapshot, error) {
	data, err := n.TakeSnapshot()
	if err != nil {
		return nil, err
	}
	return &Snapshot{
		Format:  snapshotFormat,
		Index:   n.applied,
		Term:    n.core.termAt(n.applied),
		Members: n.core.membersAt(n.applied),
		Data:    data,
	}, nil
}

func (n *Node) sendSnapshot(to MemberID) {
	snap, err := n.current()
	if err != nil {
		n.Log.Error(err, "snapshot failed", "instance", n.Instance)
		return
	}
	n.core.SendSnapshot(to, snap)
}
