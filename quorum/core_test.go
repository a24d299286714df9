package quorum_test

import (
	"fmt"
	"math/rand/v2"
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
	g := &simCluster{
		t: t, base: time.Unix(1000, 0), leaders: map[quorum.Term]quorum.MemberID{}, committed: map[quorum.Index]string{},
		acked: map[quorum.Index]string{}, isolated: map[quorum.MemberID]bool{},
		oneWay: map[[2]quorum.MemberID]bool{},
	}
	var members []quorum.Member
	for i := range n {
		id := quorum.MemberID{Name: ident.Daemon(fmt.Sprintf("m%d", i)), Folder: quorum.FolderID(fmt.Sprintf("f%d", i))}
		// Clocks differ by less than the drift that leases allow for.
		g.members = append(g.members, &simMember{id: id, clockRate: 1 + 0.02*float64(i%3-1)})
		members = append(members, quorum.Member{ID: id, Voter: true})
	}
	for _, m := range g.members {
		g.start(m)
		m.core.Form(members)
		g.drain(m, false)
	}
	return g
}

func (g *simCluster) now(m *simMember) time.Time {
	return g.base.Add(time.Duration(float64(g.elapsed) * m.clockRate))
}

func (g *simCluster) start(m *simMember) {
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
	m.core = quorum.NewCore(m.id, 0, timing, m.starts*31+uint64(len(m.id.Name)), g.now(m), m.snapshot, m.hardState, tail)
}

// drain does the work that the core requires. With crashBeforeSync the member crashes after it has sent its appends and
// before it has synced anything.
func (g *simCluster) drain(m *simMember, crashBeforeSync bool) {
	for m.up {
		for _, to := range m.core.TakeSnapshotRequests() {
			s := m.core.Status()
			m.core.SendSnapshot(to, &quorum.Snapshot{Format: 1, Index: s.Commit, Term: g.termOf(m, s.Commit), Members: s.Members})
		}
		rd := m.core.Ready()
		g.network = append(g.network, rd.Appends...)
		if crashBeforeSync {
			m.up = false
			return
		}
		g.persist(m, &rd)
		g.network = append(g.network, rd.Messages...)
		for _, e := range rd.Committed {
			g.apply(m, e)
		}
		if len(rd.Appends)+len(rd.Messages)+len(rd.Entries)+len(rd.Committed) == 0 && rd.HardState == nil && rd.Install == nil {
			return
		}
	}
}

func (g *simCluster) termOf(m *simMember, i quorum.Index) quorum.Term {
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

func (g *simCluster) persist(m *simMember, rd *quorum.Ready) {
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

func (g *simCluster) apply(m *simMember, e quorum.Entry) {
	text := fmt.Sprint(e.Term, " ", e.Kind, " ", string(e.Data))
	if old, ok := g.committed[e.Index]; ok && old != text {
		g.t.Fatalf("entry %d was committed as %q and as %q (by %s)", e.Index, old, text, m.id.Name)
	}
	g.committed[e.Index] = text
	m.applied = append(m.applied, e)
}

func (g *simCluster) checkInvariants() {
	holders := 0
	for _, m := range g.members {
		if !m.up {
			continue
		}
		s := m.core.Status()
		if s.Role == quorum.RoleLeader {
			if other, ok := g.leaders[s.Term]; ok && other != m.id {
				g.t.Fatalf("%v and %v both lead term %d", other, m.id, s.Term)
			}
			g.leaders[s.Term] = m.id
			if g.now(m).Before(s.LeaseEnd) {
				holders++
			}
		}
	}
	if holders > 1 {
		g.t.Fatalf("%d members hold a lease at the same time", holders)
	}
}

func (g *simCluster) advance(d time.Duration) {
	g.elapsed += d
	for _, m := range g.members {
		if m.up {
			m.core.Tick(g.now(m))
			g.drain(m, false)
		}
	}
}

func (g *simCluster) deliver(i int, duplicate, crashBeforeSync bool) {
	msg := g.network[i]
	if !duplicate {
		g.network = append(g.network[:i:i], g.network[i+1:]...)
	}
	if g.isolated[msg.From] || g.isolated[msg.To] || g.oneWay[[2]quorum.MemberID{msg.From, msg.To}] {
		return
	}
	for _, m := range g.members {
		if m.up && m.id.Name == msg.To.Name {
			m.core.Step(g.now(m), &msg)
			g.drain(m, crashBeforeSync)
		}
	}
}

func (g *simCluster) propose(m *simMember) {
	if !m.up {
		return
	}
	g.proposals++
	if _, ok := m.core.Propose(g.now(m), quorum.EntryCommand, []byte(fmt.Sprint("c", g.proposals))); ok {
		m.core.Flush(g.now(m))
		g.drain(m, false)
	}
}

// settle removes all faults, restarts all members and gives them time to elect a leader, which it returns.
func (g *simCluster) settle() *simMember {
	g.isolated = map[quorum.MemberID]bool{}
	g.oneWay = map[[2]quorum.MemberID]bool{}
	for _, m := range g.members {
		if !m.up {
			g.start(m)
			g.drain(m, false)
		}
	}
	for range 400 {
		g.advance(timing.Heartbeat)
		for range 200 {
			if len(g.network) == 0 {
				break
			}
			g.deliver(0, false, false)
		}
		g.checkInvariants()
	}
	for _, m := range g.members {
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
	g := newSimCluster(t, n)
	leader := g.settle()
	if leader == nil {
		t.Fatal("no leader")
	}
	g.propose(leader)
	g.settle()
	return g, leader
}

func TestMemberWithNewFolderHasNoVote(t *testing.T) {
	g, leader := clusterWithLeader(t, 3)
	var replaced *simMember
	for _, m := range g.members {
		if m != leader {
			replaced = m
		}
	}
	// The folder is lost: same name, new folder id, nothing on disk.
	replaced.id.Folder = "new"
	replaced.snapshot, replaced.hardState, replaced.entries = nil, quorum.HardState{}, nil
	g.start(replaced)
	// The leader crashes too. The remaining old member must not win an election with the vote of the new folder.
	leader.up = false
	for range 100 {
		g.advance(timing.Heartbeat)
		for range 50 {
			if len(g.network) > 0 {
				g.deliver(0, false, false)
			}
		}
	}
	for _, m := range g.members {
		if m.up && m.core.Status().Role == quorum.RoleLeader {
			t.Fatalf("%s leads without a majority of intact folders", m.id.Name)
		}
	}
	// The leader returns, an operator admits the new folder, and its member gets its vote once it has caught up.
	leader = g.settle()
	var members []quorum.Member
	for _, old := range leader.core.Status().Members {
		if old.ID.Name != replaced.id.Name {
			members = append(members, old)
		}
	}
	members = append(members, quorum.Member{ID: replaced.id})
	if _, ok := leader.core.ProposeMembers(g.now(leader), members); !ok {
		t.Fatal("the leader refuses to admit the new folder")
	}
	g.drain(leader, false)
	g.settle()
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
	g, leader := clusterWithLeader(t, 3)
	var restored *simMember
	for _, m := range g.members {
		if m != leader {
			restored = m
		}
	}
	hardState, entries := restored.hardState, append([]quorum.Entry(nil), restored.entries...)
	for range 5 {
		g.propose(leader)
	}
	g.settle()
	// A copy of the folder from before those changes is restored.
	restored.up = false
	restored.hardState, restored.entries = hardState, entries
	g.start(restored)
	g.settle()
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
			g, leader := clusterWithLeader(t, 3)
			var m *simMember
			for _, other := range g.members {
				if other != leader {
					m = other
				}
			}
			if c.replies > 1 {
				g.isolated[m.id] = true
			}
			for range c.replies {
				late := quorum.Message{Kind: quorum.MessageAppendReply, From: m.id, To: leader.id, Term: leader.core.Status().Term, Unformed: true}
				leader.core.Step(g.now(leader), &late)
				g.drain(leader, false)
				g.advance(timing.Heartbeat)
				for len(g.network) > 0 {
					g.deliver(0, false, false)
				}
			}
			g.settle()
			if diff := cmp.Diff(c.want, m.core.Status().Expelled); diff != "" {
				t.Errorf("expelled (-want +got):\n%s", diff)
			}
		})
	}
}
