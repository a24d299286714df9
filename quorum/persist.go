package quorum

// How a node processes the output of its core before it replies to others: it persists entries and snapshots, applies
// committed entries and drops entries that a snapshot covers.

import (
	"context"
	"time"

	"github.com/dunlinquay/dunlinquay/result"
)

// save persists, and waits while the disk is full; nothing is acknowledged meanwhile.
func (n *Node) save(ctx context.Context, hardState *HardState, entries []Entry) error {
	for {
		err := n.store.Save(ctx, n.Instance, hardState, entries)
		if err == nil {
			break
		}
		if result.CodeOf(err) != result.StorageFull {
			return err
		}
		n.Log.Error(err, "disk full, refusing changes", "instance", n.Instance)
		// The waiting changes are in the log already and are written once there is space.
		n.failWaiters(result.Wrap(err, result.NoLeader, "the change may be committed once the disk has space"))
		if err := n.waitForSpace(ctx); err != nil {
			return err
		}
	}
	if len(entries) > 0 {
		n.core.Persisted(entries[len(entries)-1].Index)
	}
	return nil
}

// waitForSpace refuses proposals until the next attempt to write.
func (n *Node) waitForSpace(ctx context.Context) error {
	timer := time.NewTimer(fullDiskRetry)
	defer timer.Stop()
	for {
		select {
		case p := <-n.proposals:
			p.done <- proposalResult{err: result.New(result.StorageFull, "the disk of the data folder is full")}
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (n *Node) install(ctx context.Context, snapshot *Snapshot) error {
	if err := n.saveSnapshot(ctx, snapshot, snapshot.Index, true); err != nil {
		return err
	}
	n.applied, n.snapshotIndex = snapshot.Index, snapshot.Index
	if err := n.Restore(snapshot.Index, snapshot.Data); err != nil {
		return err
	}
	n.Applied(snapshot.Index)
	return nil
}

func (n *Node) saveSnapshot(ctx context.Context, snapshot *Snapshot, dropThrough Index, replaces bool) error {
	for {
		err := n.store.SaveSnapshot(n.Instance, snapshot, dropThrough, replaces)
		if result.CodeOf(err) != result.StorageFull {
			return err
		}
		n.Log.Error(err, "disk full, snapshot postponed", "instance", n.Instance)
		if !replaces {
			// A snapshot of this node's own state only saves space, so the node continues without it.
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
	if n.applied-n.snapshotIndex < n.SnapshotEvery {
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
	w, ok := n.waiters[e.Index]
	if !ok {
		return
	}
	delete(n.waiters, e.Index)
	if w.term != e.Term {
		w.done <- proposalResult{err: result.New(result.NoLeader, "another leader replaced the log entry of the change")}
		return
	}
	w.done <- proposalResult{value: value, index: e.Index}
}

func (n *Node) compact(ctx context.Context) error {
	snapshot, err := n.currentSnapshot()
	if err != nil {
		return err
	}
	keep := min(Index(catchUpEntries), n.SnapshotEvery)
	if err := n.saveSnapshot(ctx, snapshot, snapshot.Index-min(keep, snapshot.Index), false); err != nil {
		return err
	}
	n.snapshotIndex = n.applied
	n.core.Compact(snapshot.Index, keep)
	return nil
}

func (n *Node) currentSnapshot() (*Snapshot, error) {
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
	snapshot, err := n.currentSnapshot()
	if err != nil {
		n.Log.Error(err, "cannot take a snapshot for another member", "instance", n.Instance)
		return
	}
	n.core.SendSnapshot(to, snapshot)
}
