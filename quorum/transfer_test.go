package quorum_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/quorum"
)

// A leader gives up its lease before it asks another member to take over.
func TestLeaderHoldsNoLeaseDuringTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, 3)
		leader := cluster.leader()
		cluster.proposeMany(leader, 0, 1)
		time.Sleep(time.Second)
		var requests, underLease atomic.Int64
		cluster.mu.Lock()
		cluster.onSend = func(m *quorum.Message) {
			if m.Kind != quorum.MessageTransfer {
				return
			}
			requests.Add(1)
			if leader.node.HoldsLease(clock.Now()) {
				underLease.Add(1)
			}
		}
		cluster.mu.Unlock()
		if !leader.node.TransferLeadership(t.Context()) {
			t.Fatal("no voter was asked")
		}
		time.Sleep(time.Second)
		if requests.Load() != 1 || underLease.Load() != 0 {
			t.Errorf("%d transfer requests, %d of them under a lease; want 1 and 0", requests.Load(), underLease.Load())
		}
		cluster.stopAll()
	})
}
