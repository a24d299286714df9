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

// machine is one member with its disk, clock and applied commands.
type machine struct {
	core     *quorum.Core
	id       quorum.MemberID
	up       bool
	rate     float64
	snapshot *quorum.Snapshot
	hard     quorum.HardState
	entries  []quorum.Entry
	applied  []quorum.Entry
	boots    uint64
}

// group drives cores by hand: every message, tick, kill and loss is one step of the test.
type group struct {
	t       testing.TB
	base    time.Time
	elapsed time.Duration
	members []*machine
	wire    []quorum.Message
	leaders map[quorum.Term]quorum.MemberID
	chosen  map[quorum.Index]string
	acked   map[quorum.Index]string
	cut     map[quorum.MemberID]bool
	// oneWay holds links that lose everything in one direction only.
	oneWay map[[2]quorum.MemberID]bool
	count  int
}

func newGroup(t testing.TB, n int) *group {
	g := &group{
		t: t, base: time.Unix(1000, 0), leaders: map[quorum.Term]quorum.MemberID{}, chosen: map[quorum.Index]string{},
		acked: map[quorum.Index]string{}, cut: map[quorum.MemberID]bool{},
		oneWay: map[[2]quorum.MemberID]bool{},
	}
	var members []quorum.Member
	for i := range n {
		id := quorum.MemberID{Name: ident.Daemon(fmt.Sprintf("m%d", i)), Folder: quorum.FolderID(fmt.Sprintf("f%d", i))}
		// Clocks differ by less than the drift that the lease allows for.
		g.members = append(g.members, &machine{id: id, rate: 1 + 0.02*float64(i%3-1)})
		members = append(members, quorum.Member{ID: id, Voter: true})
	}
	for _, m := range g.members {
		g.start(m)
		m.core.Form(members)
		g.drain(m, false)
	}
	return g
}

func (g *group) now(m *machine) time.Time {
	return g.base.Add(time.Duration(float64(g.elapsed) * m.rate))
}

func (g *group) start(m *machine) {
	m.boots++
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
	m.core = quorum.NewCore(m.id, 0, timing, m.boots*31+uint64(len(m.id.Name)), g.now(m), m.snapshot, m.hard, tail)
}

// drain does what the core asks for; with torn the member dies after its appends left and before anything was synced.
func (g *group) drain(m *machine, torn bool) {
	for m.up {
		for _, to := range m.core.TakeSnapshotRequests() {
			s := m.core.Status()
			m.core.SendSnapshot(to, &quorum.Snapshot{Format: 1, Index: s.Commit, Term: g.termOf(m, s.Commit), Members: s.Members})
		}
		rd := m.core.Ready()
		g.wire = append(g.wire, rd.Appends...)
		if torn {
			m.up = false
			return
		}
		g.persist(m, &rd)
		g.wire = append(g.wire, rd.Messages...)
		for _, e := range rd.Committed {
			g.apply(m, e)
		}
		if len(rd.Appends)+len(rd.Messages)+len(rd.Entries)+len(rd.Committed) == 0 && rd.HardState == nil && rd.Install == nil {
			return
		}
	}
}

func (g *group) termOf(m *machine, i quorum.Index) quorum.Term {
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

func (g *group) persist(m *machine, rd *quorum.Ready) {
	if rd.Install != nil {
		m.snapshot = rd.Install
		m.entries = nil
	}
	if rd.HardState != nil {
		m.hard = *rd.HardState
	}
	if len(rd.Entries) == 0 {
		return
	}
	keep := 0
	for keep < len(m.entries) && m.entries[keep].Index < rd.Entries[0].Index {
		keep++
	}
	m.entries = append(m.entries[:keep:keep], rd.Entries...)
	m.core.Persisted(rd.Entries[len(rd.Entries)-1].Index)
}

func (g *group) apply(m *machine, e quorum.Entry) {
	text := fmt.Sprint(e.Term, " ", e.Kind, " ", string(e.Data))
	if old, ok := g.chosen[e.Index]; ok && old != text {
		g.t.Fatalf("entry %d was chosen as %q and as %q (by %s)", e.Index, old, text, m.id.Name)
	}
	g.chosen[e.Index] = text
	m.applied = append(m.applied, e)
}

func (g *group) check() {
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

func (g *group) pass(d time.Duration) {
	g.elapsed += d
	for _, m := range g.members {
		if m.up {
			m.core.Tick(g.now(m))
			g.drain(m, false)
		}
	}
}

func (g *group) deliver(i int, keep, torn bool) {
	msg := g.wire[i]
	if !keep {
		g.wire = append(g.wire[:i:i], g.wire[i+1:]...)
	}
	if g.cut[msg.From] || g.cut[msg.To] || g.oneWay[[2]quorum.MemberID{msg.From, msg.To}] {
		return
	}
	for _, m := range g.members {
		if m.up && m.id.Name == msg.To.Name {
			m.core.Step(g.now(m), &msg)
			g.drain(m, torn)
		}
	}
}

func (g *group) propose(m *machine) {
	if !m.up {
		return
	}
	g.count++
	if _, ok := m.core.Propose(g.now(m), quorum.EntryCommand, []byte(fmt.Sprint("c", g.count))); ok {
		m.core.Flush(g.now(m))
		g.drain(m, false)
	}
}

// settle heals everything and lets the members agree.
func (g *group) settle() *machine {
	g.cut = map[quorum.MemberID]bool{}
	g.oneWay = map[[2]quorum.MemberID]bool{}
	for _, m := range g.members {
		if !m.up {
			g.start(m)
			g.drain(m, false)
		}
	}
	for range 400 {
		g.pass(timing.Heartbeat)
		for range 200 {
			if len(g.wire) == 0 {
				break
			}
			g.deliver(0, false, false)
		}
		g.check()
	}
	for _, m := range g.members {
		if m.core.Status().Role == quorum.RoleLeader {
			return m
		}
	}
	return nil
}

// history is a random sequence of faults over stretches of ordinary work; the same seed gives the same history.
type history struct {
	*group
	random *rand.Rand
}

const (
	histories = 800
	stretches = 60
)

func TestRandomHistoriesKeepThePromises(t *testing.T) {
	for seed := range uint64(histories) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			h := &history{newGroup(t, []int{1, 3, 3, 5}[seed%4]), rand.New(rand.NewPCG(seed, 7))}
			for range stretches {
				h.fault()
				h.work()
			}
			leader := h.settle()
			if leader == nil {
				t.Fatal("healed members have no leader")
			}
			before := leader.core.Status().Commit
			h.propose(leader)
			h.settle()
			if after := leader.core.Status().Commit; after <= before {
				t.Fatalf("healed members accept nothing: commit stays at %d", after)
			}
		})
	}
}

func (h *history) any() *machine {
	return h.members[h.random.IntN(len(h.members))]
}

func (h *history) fault() {
	m := h.any()
	switch h.random.IntN(12) {
	case 0:
		m.up = false
	case 1, 2:
		if !m.up {
			h.start(m)
			h.drain(m, false)
		}
	case 3:
		h.cut[m.id] = true
	case 4, 5:
		h.cut = map[quorum.MemberID]bool{}
	case 6:
		// The leader, cut off silently.
		for _, m := range h.members {
			if m.up && m.core.Status().Role == quorum.RoleLeader {
				h.cut[m.id] = true
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
		h.oneWay[[2]quorum.MemberID{m.id, h.any().id}] = true
	case 11:
		h.oneWay = map[[2]quorum.MemberID]bool{}
	}
}

// compact takes a snapshot of what a member has committed and drops the entries before it.
func (h *history) compact(m *machine) {
	s := m.core.Status()
	if !m.up || s.Commit < 4 || m.snapshot != nil && s.Commit <= m.snapshot.Index {
		return
	}
	m.snapshot = &quorum.Snapshot{Format: 1, Index: s.Commit, Term: h.termOf(m, s.Commit), Members: s.Members}
	m.core.Compact(s.Commit, 1)
}

// work lets time pass in small steps; messages are lost, doubled, late and out of order, and members die between
// sending and syncing.
func (h *history) work() {
	loss := []int{0, 0, 10, 40}[h.random.IntN(4)]
	for range h.random.IntN(40) {
		h.pass(time.Duration(1+h.random.IntN(60)) * time.Millisecond)
		if h.random.IntN(3) == 0 {
			h.propose(h.any())
		}
		for range h.random.IntN(12) {
			if len(h.wire) == 0 {
				break
			}
			i := 0
			if h.random.IntN(5) == 0 {
				i = h.random.IntN(len(h.wire))
			}
			if h.random.IntN(100) < loss {
				h.wire = append(h.wire[:i:i], h.wire[i+1:]...)
				continue
			}
			h.deliver(i, h.random.IntN(20) == 0, h.random.IntN(60) == 0)
			h.check()
		}
		h.check()
	}
}

// lead returns a group of n whose members agree on a leader and have committed something.
func lead(t testing.TB, n int) (*group, *machine) {
	g := newGroup(t, n)
	leader := g.settle()
	if leader == nil {
		t.Fatal("no leader")
	}
	g.propose(leader)
	g.settle()
	return g, leader
}

func TestAMemberWithANewFolderHasNoVote(t *testing.T) {
	g, leader := lead(t, 3)
	var lost *machine
	for _, m := range g.members {
		if m != leader {
			lost = m
		}
	}
	// The folder is lost: same name, new folder id, nothing on disk.
	lost.id.Folder = "new"
	lost.snapshot, lost.hard, lost.entries = nil, quorum.HardState{}, nil
	g.start(lost)
	// The leader dies too: one old member is left, which must not win with the help of the new folder.
	leader.up = false
	for range 100 {
		g.pass(timing.Heartbeat)
		for range 50 {
			if len(g.wire) > 0 {
				g.deliver(0, false, false)
			}
		}
	}
	for _, m := range g.members {
		if m.up && m.core.Status().Role == quorum.RoleLeader {
			t.Fatalf("%s leads without a majority of intact folders", m.id.Name)
		}
	}
	// The leader returns, an operator admits the new folder, and it gets its vote after it has caught up.
	leader = g.settle()
	var members []quorum.Member
	for _, old := range leader.core.Status().Members {
		if old.ID.Name != lost.id.Name {
			members = append(members, old)
		}
	}
	members = append(members, quorum.Member{ID: lost.id})
	if _, ok := leader.core.ProposeMembers(g.now(leader), members); !ok {
		t.Fatal("the leader does not take the new folder")
	}
	g.drain(leader, false)
	g.settle()
	voter := false
	for _, m := range lost.core.Status().Members {
		voter = voter || m.ID == lost.id && m.Voter
	}
	if !voter {
		t.Fatalf("the admitted member has no vote: %v", lost.core.Status().Members)
	}
	if diff := cmp.Diff(leader.core.Status().Commit, lost.core.Status().Commit); diff != "" {
		t.Fatalf("commit of leader and admitted member (-leader +member):\n%s", diff)
	}
}

func TestAMemberWithAnOlderFolderIsExpelled(t *testing.T) {
	g, leader := lead(t, 3)
	var old *machine
	for _, m := range g.members {
		if m != leader {
			old = m
		}
	}
	hard, entries := old.hard, append([]quorum.Entry(nil), old.entries...)
	for range 5 {
		g.propose(leader)
	}
	g.settle()
	// A copy of the folder from before those changes is put back.
	old.up = false
	old.hard, old.entries = hard, entries
	g.start(old)
	g.settle()
	if !old.core.Status().Expelled {
		t.Fatal("a member that lost what it had acknowledged still takes part")
	}
}

// One late reply from before a member had its first snapshot does not expel it; a member that goes on saying so has lost its folder.
func TestALateReplyDoesNotExpelAMember(t *testing.T) {
	for _, c := range []struct {
		name    string
		replies int
		want    bool
	}{
		{"one", 1, false},
		{"one after the other for longer than the election time", 15, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			g, leader := lead(t, 3)
			var m *machine
			for _, other := range g.members {
				if other != leader {
					m = other
				}
			}
			if c.replies > 1 {
				g.cut[m.id] = true
			}
			for range c.replies {
				late := quorum.Message{Kind: quorum.MessageAppendReply, From: m.id, To: leader.id, Term: leader.core.Status().Term, Unformed: true}
				leader.core.Step(g.now(leader), &late)
				g.drain(leader, false)
				g.pass(timing.Heartbeat)
				for len(g.wire) > 0 {
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
