package quorum_test

import (
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
		asked, held := 0, 0
		s.watch = func(m *quorum.Message) {
			if m.Kind != quorum.MessageTransfer {
				return
			}
			asked++
			if leader.node.HoldsLease(clock.Now()) {
				held++
			}
		}
		if !leader.node.HandOver(t.Context()) {
			t.Fatal("nobody was asked")
		}
		time.Sleep(time.Second)
		if asked != 1 || held != 0 {
			t.Errorf("%d questions, %d of them under a lease", asked, held)
		}
		s.stopAll()
	})
}
