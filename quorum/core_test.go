package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quorum"
)

var timing = quorum.Timing{Heartbeat: 50 * time.Millisecond, Election: 500 * time.Millisecond, Lease: 400 * time.Millisecond}

// simMember is one member with its disk, clock and applied commands.
type simMember struct {
	core      *quorum.Core
	id        quorum.MemberID
	up        bool
	clockRate float64
	snapshot  *quorum.Snapshot
	hardState quorum.HardState
	entries   []quorum.Entry
	applied   []quorum.Entry
	starts    uint64
}

// simCluster drives cores step by step: each message, tick, crash and loss is a step of the test.
type simCluster struct {
	t         testing.TB
	base      time.Time
	elapsed   time.Duration
	members   []*simMember
	network   []quorum.Message
	leaders   map[quorum.Term]quorum.MemberID
	committed map[quorum.Index]string
	acked     map[quorum.Index]string
	isolated  map[quorum.MemberID]bool
	// oneWay holds links that lose all messages in one direction.
	oneWay    map[[2]quorum.MemberID]bool
	proposals int
}

func newSimCluster(t testing.TB, n int) *simCluster {
	c := &simCluster{
		t: t, base: time.Unix(1000, 0), leaders: map[quorum.Term]quorum.MemberID{}, committed: map[quorum.Index]string{},
		acked: map[quorum.Index]string{}, isolated: map[quorum.MemberID]bool{},
		oneWay: map[[2]quorum.MemberID]bool{},
	}
	var members []quorum.Member
	for i := range n {
		id := quorum.MemberID{Name: ident.Daemon(fmt.Sprintf("m%d", i)), Folder: quorum.FolderID(fmt.Sprintf("f%d", i))}
		// Clocks differ by less than the drift that leases allow for.
		c.members = append(c.members, &simMember{id: id, clockRate: 1 + 0.02*float64(i%3-1)})
		members = append(members, quorum.Member{ID: id, Voter: true})
	}
	for _, m := range c.members {
		c.start(m)
		m.core.Form(members)
		c.drain(m, false)
	}
	return c
}

func (c *simCluster) now(m *simMember) time.Time {
	return c.base.Add(time.Duration(float64(c.elapsed) * m.clockRate))
}

func (c *simCluster) start(m *simMember) {
	m.starts++
	m.up = true
	m.applied = nil
	var tail []quorum.Entry
	if m.snapshot != nil {
		for _, e := range m.entries {
			if e.Index > m.snapshot.Index {
				tail = append(tail, e)
			}
		}
	}
	m.core = quorum.NewCore(m.id, 0, timing, m.starts*31+uint64(len(m.id.Name)), c.now(m), m.snapshot, m.hardState, tail)
}

// drain does the work that the core requires. With crashBeforeSync the member crashes after it has sent its appends and
// before it has synced anything.
func (c *simCluster) drain(m *simMember, crashBeforeSync bool) {
	for m.up {
		for _, to := range m.core.TakeSnapshotRequests() {
			s := m.core.Status()
			m.core.SendSnapshot(to, &quorum.Snapshot{Format: 1, Index: s.Commit, Term: c.termOf(m, s.Commit), Members: s.Members})
		}
		rd := m.core.Ready()
		c.network = append(c.network, rd.Appends...)
		if crashBeforeSync {
			m.up = false
			return
		}
		c.persist(m, &rd)
		c.network = append(c.network, rd.Messages...)
		for _, e := range rd.Committed {
			c.apply(m, e)
		}
		if len(rd.Appends)+len(rd.Messages)+len(rd.Entries)+len(rd.Committed) == 0 && rd.HardState == nil && rd.Install == nil {
			return
		}
	}
}

func (c *simCluster) termOf(m *simMember, i quorum.Index) quorum.Term {
	for _, e := range m.entries {
		if e.Index == i {
			return e.Term
		}
	}
	if m.snapshot != nil && m.snapshot.Index == i {
		return m.snapshot.Term
	}
	return 0
}

func (c *simCluster) persist(m *simMember, rd *quorum.Ready) {
	if rd.Install != nil {
		m.snapshot = rd.Install
		m.entries = nil
	}
	if rd.HardState != nil {
		m.hardState = *rd.HardState
	}
	if len(rd.Entries) == 0 {
		return
	}
	kept := 0
	for kept < len(m.entries) && m.entries[kept].Index < rd.Entries[0].Index {
		kept++
	}
	m.entries = append(m.entries[:kept:kept], rd.Entries...)
	m.core.Persisted(rd.Entries[len(rd.Entries)-1].Index)
}

func (c *simCluster) apply(m *simMember, e quorum.Entry) {
	text := fmt.Sprint(e.Term, " ", e.Kind, " ", string(e.Data))
	if old, ok := c.committed[e.Index]; ok && old != text {
		c.t.Fatalf("entry %d was committed as %q and as %q (by %s)", e.Index, old, text, m.id.Name)
	}
	c.committed[e.Index] = text
	m.applied = append(m.applied, e)
}

func (c *simCluster) checkInvariants() {
	holders := 0
	for _, m := range c.members {
		if !m.up {
			continue
		}
		s := m.core.Status()
		if s.Role == quorum.RoleLeader {
			if other, ok := c.leaders[s.Term]; ok && other != m.id {
				c.t.Fatalf("%v and %v both lead term %d", other, m.id, s.Term)
			}
			c.leaders[s.Term] = m.id
			if c.now(m).Before(s.LeaseEnd) {
				holders++
			}
		}
	}
	if holders > 1 {
		c.t.Fatalf("%d members hold a lease at the same time", holders)
	}
}

func (c *simCluster) advance(d time.Duration) {
	c.elapsed += d
	for _, m := range c.members {
		if m.up {
			m.core.Tick(c.now(m))
			c.drain(m, false)
		}
	}
}

func (c *simCluster) deliver(i int, duplicate, crashBeforeSync bool) {
	msg := c.network[i]
	if !duplicate {
		c.network = append(c.network[:i:i], c.network[i+1:]...)
	}
	if c.isolated[msg.From] || c.isolated[msg.To] || c.oneWay[[2]quorum.MemberID{msg.From, msg.To}] {
		return
	}
	for _, m := range c.members {
		if m.up && m.id.Name == msg.To.Name {
			m.core.Step(c.now(m), &msg)
			c.drain(m, crashBeforeSync)
		}
	}
}

func (c *simCluster) propose(m *simMember) {
	if !m.up {
		return
	}
	c.proposals++
	if _, ok := m.core.Propose(c.now(m), quorum.EntryCommand, []byte(fmt.Sprint("c", c.proposals))); ok {
		m.core.Flush(c.now(m))
		c.drain(m, false)
	}
}

// settle removes all faults, restarts all members and gives them time to elect a leader, which it returns.
func (c *simCluster) settle() *simMember {
	c.isolated = map[quorum.MemberID]bool{}
	c.oneWay = map[[2]quorum.MemberID]bool{}
	for _, m := range c.members {
		if !m.up {
			c.start(m)
			c.drain(m, false)
		}
	}
	for range 400 {
		c.advance(timing.Heartbeat)
		for range 200 {
			if len(c.network) == 0 {
				break
			}
			c.deliver(0, false, false)
		}
		c.checkInvariants()
	}
	for _, m := range c.members {
		if m.core.Status().Role == quorum.RoleLeader {
			return m
		}
	}
	return nil
}

// history is a random sequence of faults with phases of traffic in between; the same seed gives the same history.
type history struct {
	*simCluster
	random *rand.Rand
}

const (
	historyCount     = 800
	phasesPerHistory = 60
)

func TestRandomHistoriesKeepInvariants(t *testing.T) {
	for seed := range uint64(historyCount) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			h := &history{newSimCluster(t, []int{1, 3, 3, 5}[seed%4]), rand.New(rand.NewPCG(seed, 7))}
			for range phasesPerHistory {
				h.injectFault()
				h.runTraffic()
			}
			leader := h.settle()
			if leader == nil {
				t.Fatal("no leader after the end of all faults")
			}
			before := leader.core.Status().Commit
			h.propose(leader)
			h.settle()
			if after := leader.core.Status().Commit; after <= before {
				t.Fatalf("no change is committed after the end of all faults: commit index stays at %d", after)
			}
		})
	}
}

func (h *history) randomMember() *simMember {
	return h.members[h.random.IntN(len(h.members))]
}

func (h *history) injectFault() {
	m := h.randomMember()
	switch h.random.IntN(12) {
	case 0:
		m.up = false
	case 1, 2:
		if !m.up {
			h.start(m)
			h.drain(m, false)
		}
	case 3:
		h.isolated[m.id] = true
	case 4, 5:
		h.isolated = map[quorum.MemberID]bool{}
	case 6:
		// The leader is isolated without notice.
		for _, m := range h.members {
			if m.up && m.core.Status().Role == quorum.RoleLeader {
				h.isolated[m.id] = true
			}
		}
	case 7:
		if to, ok := m.core.CaughtUpVoter(); ok && m.up {
			m.core.TransferTo(h.now(m), to)
			h.drain(m, false)
		}
	case 8:
		h.compact(m)
	case 9, 10:
		h.oneWay[[2]quorum.MemberID{m.id, h.randomMember().id}] = true
	case 11:
		h.oneWay = map[[2]quorum.MemberID]bool{}
	}
}

// compact takes a snapshot of what a member has committed and drops the entries before it.
func (h *history) compact(m *simMember) {
	s := m.core.Status()
	if !m.up || s.Commit < 4 || m.snapshot != nil && s.Commit <= m.snapshot.Index {
		return
	}
	m.snapshot = &quorum.Snapshot{Format: 1, Index: s.Commit, Term: h.termOf(m, s.Commit), Members: s.Members}
	m.core.Compact(s.Commit, 1)
}

// runTraffic advances time in small steps. Messages are lost, duplicated, delayed and reordered, and members crash
// between sending and syncing.
func (h *history) runTraffic() {
	loss := []int{0, 0, 10, 40}[h.random.IntN(4)]
	for range h.random.IntN(40) {
		h.advance(time.Duration(1+h.random.IntN(60)) * time.Millisecond)
		if h.random.IntN(3) == 0 {
			h.propose(h.randomMember())
		}
		for range h.random.IntN(12) {
			if len(h.network) == 0 {
				break
			}
			i := 0
			if h.random.IntN(5) == 0 {
				i = h.random.IntN(len(h.network))
			}
			if h.random.IntN(100) < loss {
				h.network = append(h.network[:i:i], h.network[i+1:]...)
				continue
			}
			h.deliver(i, h.random.IntN(20) == 0, h.random.IntN(60) == 0)
			h.checkInvariants()
		}
		h.checkInvariants()
	}
}

// clusterWithLeader returns a cluster of n members that have a leader and have committed a command.
func clusterWithLeader(t testing.TB, n int) (*simCluster, *simMember) {
	c := newSimCluster(t, n)
	leader := c.settle()
	if leader == nil {
		t.Fatal("no leader")
	}
	c.propose(leader)
	c.settle()
	return c, leader
}

func TestMemberWithNewFolderHasNoVote(t *testing.T) {
	cluster, leader := clusterWithLeader(t, 3)
	var replaced *simMember
	for _, m := range cluster.members {
		if m != leader {
			replaced = m
		}
	}
	// The folder is lost: same name, new folder id, nothing on disk.
	replaced.id.Folder = "new"
	replaced.snapshot, replaced.hardState, replaced.entries = nil, quorum.HardState{}, nil
	cluster.start(replaced)
	// The leader crashes too. The remaining old member must not win an election with the vote of the new folder.
	leader.up = false
	for range 100 {
		cluster.advance(timing.Heartbeat)
		for range 50 {
			if len(cluster.network) > 0 {
				cluster.deliver(0, false, false)
			}
		}
	}
	for _, m := range cluster.members {
		if m.up && m.core.Status().Role == quorum.RoleLeader {
			t.Fatalf("%s leads without a majority of intact folders", m.id.Name)
		}
	}
	// The leader returns, an operator admits the new folder, and its member gets its vote once it has caught up.
	leader = cluster.settle()
	var members []quorum.Member
	for _, old := range leader.core.Status().Members {
		if old.ID.Name != replaced.id.Name {
			members = append(members, old)
		}
	}
	members = append(members, quorum.Member{ID: replaced.id})
	if _, ok := leader.core.ProposeMembers(cluster.now(leader), members); !ok {
		t.Fatal("the leader refuses to admit the new folder")
	}
	cluster.drain(leader, false)
	leader = cluster.settle()
	status := leader.core.Status()
	members = withPromotedLearner(&status)
	if _, ok := leader.core.ProposeMembers(cluster.now(leader), members); !ok {
		t.Fatal("the leader refuses to promote the new member")
	}
	cluster.drain(leader, false)
	leader = cluster.settle()
	voter := false
	for _, m := range replaced.core.Status().Members {
		voter = voter || m.ID == replaced.id && m.Voter
	}
	if !voter {
		t.Fatalf("the admitted member has no vote: %v", replaced.core.Status().Members)
	}
	if diff := cmp.Diff(leader.core.Status().Commit, replaced.core.Status().Commit); diff != "" {
		t.Fatalf("commit index of leader and admitted member (-leader +member):\n%s", diff)
	}
}

func TestMemberWithOlderFolderIsExpelled(t *testing.T) {
	cluster, leader := clusterWithLeader(t, 3)
	var restored *simMember
	for _, m := range cluster.members {
		if m != leader {
			restored = m
		}
	}
	hardState, entries := restored.hardState, append([]quorum.Entry(nil), restored.entries...)
	for range 5 {
		cluster.propose(leader)
	}
	cluster.settle()
	// A copy of the folder from before those changes is restored.
	restored.up = false
	restored.hardState, restored.entries = hardState, entries
	cluster.start(restored)
	cluster.settle()
	if !restored.core.Status().Expelled {
		t.Fatal("a member that lost what it had acknowledged is not expelled")
	}
}

// A single late reply from before a member had its first snapshot does not expel the member. A member that repeats the
// reply for the election time has lost its folder.
func TestLateReplyDoesNotExpelMember(t *testing.T) {
	for _, c := range []struct {
		name    string
		replies int
		want    bool
	}{
		{"one reply", 1, false},
		{"replies for longer than the election time", 15, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			cluster, leader := clusterWithLeader(t, 3)
			var m *simMember
			for _, other := range cluster.members {
				if other != leader {
					m = other
				}
			}
			if c.replies > 1 {
				cluster.isolated[m.id] = true
			}
			for range c.replies {
				late := quorum.Message{Kind: quorum.MessageAppendReply, From: m.id, To: leader.id, Term: leader.core.Status().Term, Unformed: true}
				leader.core.Step(cluster.now(leader), &late)
				cluster.drain(leader, false)
				cluster.advance(timing.Heartbeat)
				for len(cluster.network) > 0 {
					cluster.deliver(0, false, false)
				}
			}
			cluster.settle()
			if diff := cmp.Diff(c.want, m.core.Status().Expelled); diff != "" {
				t.Errorf("expelled (-want +got):\n%s", diff)
			}
		})
	}
}

// A member that was removed and is added again counts as heard from when it was added.
func TestFormerMemberIsNotSilentWhenAdded(t *testing.T) {
	cluster, leader := clusterWithLeader(t, 4)
	var former *simMember
	for _, m := range cluster.members {
		if m != leader {
			former = m
		}
	}
	change := func(members []quorum.Member) {
		if _, ok := leader.core.ProposeMembers(cluster.now(leader), members); !ok {
			t.Fatal("the leader refuses the change")
		}
		leader.core.Flush(cluster.now(leader))
		cluster.drain(leader, false)
	}
	former.core.Leave()
	cluster.runFor(timing.Election, func() {})
	members := leader.core.Status().Members
	change(slices.DeleteFunc(slices.Clone(members), func(m quorum.Member) bool { return m.ID == former.id }))
	former.up = false
	cluster.runFor(10*timing.Election, func() {})
	addedAt := cluster.now(leader)
	change(append(slices.Clone(leader.core.Status().Members), quorum.Member{ID: former.id}))
	for _, f := range leader.core.Status().Followers {
		if f.ID == former.id && (f.LastHeard.Before(addedAt) || f.Leaving) {
			t.Errorf("the former member counts as silent since %v before it was added, leaving %v", addedAt.Sub(f.LastHeard), f.Leaving)
		}
	}
}

// A new leader knows since when a member has been silent. It counted from its election, so that each change of leaders gave
// a lost voter another 2.5 s.
func TestNewLeaderKnowsSilenceOfMembers(t *testing.T) {
	cluster, leader := clusterWithLeader(t, 5)
	var lost *simMember
	for _, m := range cluster.members {
		if m != leader {
			lost = m
		}
	}
	lost.up = false
	lostAt := cluster.elapsed
	for range 2 {
		cluster.runFor(2*timing.Election, func() {})
		to, ok := leader.core.CaughtUpVoter()
		if !ok || !leader.core.TransferTo(cluster.now(leader), to) {
			t.Fatal("no transfer was started")
		}
		cluster.drain(leader, false)
		cluster.runFor(timing.Election, func() {})
		for _, m := range cluster.members {
			if m.id == to {
				leader = m
			}
		}
		if role := leader.core.Status().Role; role != quorum.RoleLeader {
			t.Fatalf("the receiver of the transfer is a %v", role)
		}
		for _, f := range leader.core.Status().Followers {
			known, actual := cluster.now(leader).Sub(f.LastHeard), cluster.elapsed-lostAt
			if f.ID == lost.id && known < actual-timing.Election/2 {
				t.Errorf("the new leader counts a silence of %v, it is %v", known, actual)
			}
		}
	}
}
