package quorum_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/quorum"
)

// idleCluster returns three members with a leader, everything committed and no messages in flight, and the two
// followers.
func idleCluster(t *testing.T) (cluster *simCluster, leader, follower, otherFollower *simMember) {
	t.Helper()
	cluster, leader = clusterWithLeader(t, 3)
	cluster.settle()
	for _, m := range cluster.members {
		switch {
		case m == leader:
		case follower == nil:
			follower = m
		default:
			otherFollower = m
		}
	}
	return cluster, leader, follower, otherFollower
}

// runFor advances time and delivers all messages in order.
func (c *simCluster) runFor(d time.Duration, afterStep func()) {
	const step = 10 * time.Millisecond
	for range int(d / step) {
		c.advance(step)
		for range 20 {
			if len(c.network) == 0 {
				break
			}
			c.deliver(0, false, false)
			c.checkInvariants()
		}
		afterStep()
	}
}

// A member that the leader cannot reach keeps asking for votes, which the others withhold.
func TestVotesAreWithheldDuringLeaderContact(t *testing.T) {
	for _, c := range []struct {
		name     string
		restarts bool
	}{
		{"running followers", false},
		{"a restarting follower, which does not know which lease it supported", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			cluster, leader, unreached, other := idleCluster(t)
			term := leader.core.Status().Term
			cluster.oneWay[[2]quorum.MemberID{leader.id, unreached.id}] = true
			steps := 0
			cluster.runFor(10*timing.Election, func() {
				steps++
				if c.restarts && steps%20 == 0 {
					other.up = false
					cluster.start(other)
					cluster.drain(other, false)
				}
			})
			got := leader.core.Status()
			if got.Role != quorum.RoleLeader || got.Term != term {
				t.Errorf("the leader of term %d is now %v in term %d", term, got.Role, got.Term)
			}
		})
	}
}

func TestLeaseStartsAtSending(t *testing.T) {
	cluster, leader, _, _ := idleCluster(t)
	cluster.runFor(timing.Heartbeat, func() {})
	// Everything that is sent from here on is answered late.
	before := cluster.now(leader)
	cluster.advance(timing.Heartbeat)
	sent := cluster.now(leader)
	cluster.elapsed += timing.Lease / 2
	for range 20 {
		if len(cluster.network) > 0 {
			cluster.deliver(0, false, false)
		}
	}
	leaseEnd := leader.core.Status().LeaseEnd
	if leaseEnd.After(sent.Add(timing.Lease)) || !leaseEnd.After(before) {
		t.Errorf("lease ends %s after the heartbeat was sent, want at most %s", leaseEnd.Sub(sent), timing.Lease)
	}
}

func TestTransferEndsLease(t *testing.T) {
	cluster, leader, receiver, _ := idleCluster(t)
	cluster.runFor(timing.Heartbeat, func() {})
	if !leader.core.TransferTo(cluster.now(leader), receiver.id) {
		t.Fatal("no transfer was started")
	}
	if leaseEnd := leader.core.Status().LeaseEnd; !leaseEnd.IsZero() {
		t.Errorf("lease until %s after the transfer", leaseEnd)
	}
	// The receiver is silent, and the old leader must not hold a lease again in this term.
	cluster.isolated[receiver.id] = true
	term := leader.core.Status().Term
	cluster.runFor(2*timing.Election, func() {
		if s := leader.core.Status(); s.Term == term && !s.LeaseEnd.IsZero() {
			t.Fatalf("lease until %s after the transfer", s.LeaseEnd)
		}
	})
}

// newDirectCore returns one of three members with its own log; the test drives it without the others.
func newDirectCore(hardState quorum.HardState, entries []quorum.Entry, now time.Time) (*quorum.Core, []quorum.MemberID) {
	ids := []quorum.MemberID{{Name: "a", Folder: "1"}, {Name: "b", Folder: "2"}, {Name: "c", Folder: "3"}}
	snapshot := &quorum.Snapshot{Format: 1}
	for _, id := range ids {
		snapshot.Members = append(snapshot.Members, quorum.Member{ID: id, Voter: true})
	}
	return quorum.NewCore(ids[0], 0, timing, 1, now, snapshot, hardState, entries), ids
}

func TestVoteSurvivesRestart(t *testing.T) {
	now := time.Unix(1000, 0)
	late := now.Add(time.Hour)
	// The term is known already, so that only the vote itself must be synced.
	core, ids := newDirectCore(quorum.HardState{Term: 5}, nil, now)
	requestVote := func(core *quorum.Core, from quorum.MemberID, at time.Time) bool {
		core.Step(at, &quorum.Message{Kind: quorum.MessageVote, From: from, To: ids[0], Term: 5})
		for _, m := range core.Ready().Messages {
			if m.Kind == quorum.MessageVoteReply {
				return m.Granted
			}
		}
		return false
	}
	core.Step(late, &quorum.Message{Kind: quorum.MessageVote, From: ids[1], To: ids[0], Term: 5})
	rd := core.Ready()
	if rd.HardState == nil {
		t.Fatal("a granted vote must be synced, but there is no hard state")
	}
	if diff := cmp.Diff(quorum.HardState{Term: 5, Vote: ids[1]}, *rd.HardState); diff != "" {
		t.Fatalf("hard state (-want +got):\n%s", diff)
	}
	again, _ := newDirectCore(*rd.HardState, nil, late)
	if requestVote(again, ids[2], late.Add(time.Hour)) {
		t.Error("second vote in the same term after a restart")
	}
	if !requestVote(again, ids[1], late.Add(time.Hour)) {
		t.Error("the first vote is not granted again after a restart")
	}
}

// An entry of an earlier term can still be replaced although a majority holds it (Raft, figure 8).
func TestOnlyCurrentTermEntriesCommitByCounting(t *testing.T) {
	now := time.Unix(1000, 0)
	core, ids := newDirectCore(quorum.HardState{Term: 3}, []quorum.Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}}, now)
	now = now.Add(3 * timing.Election)
	core.Tick(now)
	core.Step(now, &quorum.Message{Kind: quorum.MessagePreVoteReply, From: ids[1], To: ids[0], Term: 4, Granted: true})
	core.Step(now, &quorum.Message{Kind: quorum.MessageVoteReply, From: ids[1], To: ids[0], Term: 4, Granted: true})
	core.Ready()
	core.Persisted(3)
	for _, c := range []struct {
		match, commit quorum.Index
	}{{2, 0}, {3, 3}} {
		core.Step(now, &quorum.Message{Kind: quorum.MessageAppendReply, From: ids[1], To: ids[0], Term: 4, Granted: true, Match: c.match})
		if got := core.Status().Commit; got != c.commit {
			t.Errorf("a majority holds entry %d: commit index %d, want %d", c.match, got, c.commit)
		}
	}
}

func TestUnsyncedLeaderEntriesDoNotCount(t *testing.T) {
	now := time.Unix(1000, 0)
	core, ids := newDirectCore(quorum.HardState{Term: 3}, nil, now)
	now = now.Add(3 * timing.Election)
	core.Tick(now)
	core.Step(now, &quorum.Message{Kind: quorum.MessagePreVoteReply, From: ids[1], To: ids[0], Term: 4, Granted: true})
	core.Step(now, &quorum.Message{Kind: quorum.MessageVoteReply, From: ids[1], To: ids[0], Term: 4, Granted: true})
	core.Ready()
	core.Step(now, &quorum.Message{Kind: quorum.MessageAppendReply, From: ids[1], To: ids[0], Term: 4, Granted: true, Match: 1})
	if got := core.Status().Commit; got != 0 {
		t.Errorf("commit index %d with one synced copy of three, want 0", got)
	}
	core.Persisted(1)
	if got := core.Status().Commit; got != 1 {
		t.Errorf("commit index %d with two synced copies of three, want 1", got)
	}
}

// A member that starts does not know how much of its log is committed until an entry of the leader's own term is.
func TestWhenMemberKnowsCommitted(t *testing.T) {
	now := time.Unix(1000, 0)
	log := []quorum.Entry{{Index: 1, Term: 3}, {Index: 2, Term: 3}, {Index: 3, Term: 3}}
	for _, c := range []struct {
		name string
		m    quorum.Message
		want bool
	}{
		{"heartbeat without a commit index", quorum.Message{Term: 3, LastIndex: 3, LastTerm: 3}, false},
		{"new leader's commit index in an earlier term", quorum.Message{Term: 4, LastIndex: 3, LastTerm: 3, Commit: 2}, false},
		{"commit index beyond the end of the log", quorum.Message{Term: 3, LastIndex: 3, LastTerm: 3, Commit: 9}, false},
		{"same leader's commit index", quorum.Message{Term: 3, LastIndex: 3, LastTerm: 3, Commit: 3}, true},
		{"new leader's commit index in its own term", quorum.Message{Term: 4, LastIndex: 3, LastTerm: 3, Entries: []quorum.Entry{{Index: 4, Term: 4}}, Commit: 4}, true},
	} {
		core, ids := newDirectCore(quorum.HardState{Term: 3}, log, now)
		c.m.Kind, c.m.From, c.m.To = quorum.MessageAppend, ids[1], ids[0]
		core.Step(now, &c.m)
		if got := core.Status().KnowsCommitted; got != c.want {
			t.Errorf("%s: knows committed %t, want %t", c.name, got, c.want)
		}
	}
}

// The VM of a leader is suspended for longer than its lease, and another leader is elected meanwhile. By a steady
// clock, which does not count the suspension, the leader would still hold its lease and serve stale reads. By a clock
// that counts the suspension, it does not.
func TestSuspendedLeaderHoldsNoLease(t *testing.T) {
	cluster, leader, _, _ := idleCluster(t)
	cluster.runFor(timing.Heartbeat, func() {})
	suspended := time.Duration(0)
	steady := func() time.Duration { return time.Duration(float64(cluster.elapsed-suspended) * leader.clockRate) }
	read := func() clock.Reading {
		return clock.Reading{Time: cluster.base.Add(steady()), Steady: steady(), Day: cluster.base.Add(cluster.elapsed)}
	}
	clk := clock.New(read, func() time.Duration { return suspended })
	before := clk.Now().Sub(cluster.base)
	leaseEnd := leader.core.Status().LeaseEnd.Sub(cluster.base)
	leader.up = false
	suspendedAt := cluster.elapsed
	cluster.runFor(5*timing.Election, func() {})
	suspended = cluster.elapsed - suspendedAt
	leader.up = true
	successor := false
	for _, m := range cluster.members {
		successor = successor || m != leader && m.core.Status().Role == quorum.RoleLeader
	}
	if !successor || steady() >= leaseEnd {
		t.Fatalf("the test does not cover the case: successor %v, steady clock at %v, lease until %v", successor, steady(), leaseEnd)
	}
	if now := clk.Now().Sub(cluster.base); now < leaseEnd || now < before {
		t.Errorf("the clock reads %v after the suspension, the lease ended at %v", now, leaseEnd)
	}
}
