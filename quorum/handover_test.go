package quorum_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/quorum"
)

// A leader that asks another member to take over has given its lease up before the question leaves.
func TestAMemberThatHandsOverHoldsNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 3)
		leader := s.leader()
		s.proposeMany(leader, 0, 1)
		time.Sleep(time.Second)
		var asked, held atomic.Int64
		s.mu.Lock()
		s.watch = func(m *quorum.Message) {
			if m.Kind != quorum.MessageTransfer {
				return
			}
			asked.Add(1)
			if leader.node.HoldsLease(clock.Now()) {
				held.Add(1)
			}
		}
		s.mu.Unlock()
		if !leader.node.TransferLeadership(t.Context()) {
			t.Fatal("nobody was asked")
		}
		time.Sleep(time.Second)
		if asked.Load() != 1 || held.Load() != 0 {
			t.Errorf("%d questions, %d of them under a lease", asked.Load(), held.Load())
		}
		s.stopAll()
	})
}
