package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/quorum"
)

// orders are configurations that operators send, and what each member and entry makes of them.
type orders struct {
	*history
	newest httproute.Version
	// acked is the highest version that was acknowledged.
	acked httproute.Version
	// pending are versions by the place in the log that a leader gave them.
	pending map[quorum.Index]pendingOrder
	// noted is how many applied entries of each member were looked at.
	noted map[*machine]noted
	// folders counts those that were lost.
	folders int
	// versions are those of the log, by their place.
	versions map[quorum.Index]httproute.Version
	// entries are the versions that entries have in force, each told by any leader that holds a lease.
	entries []httproute.Version
}

// noted is how many entries were looked at that a member has applied since a start.
type noted struct {
	boots   uint64
	entries int
}

type pendingOrder struct {
	by      *machine
	term    quorum.Term
	version httproute.Version
}

// held is the version that a member's state machine has: what was committed up to its commit, of its snapshot or its log.
func (o *orders) held(m *machine) httproute.Version {
	for _, m := range o.members {
		seen := o.noted[m]
		if seen.boots != m.boots {
			seen = noted{boots: m.boots}
		}
		for _, e := range m.applied[seen.entries:] {
			o.note(e)
		}
		seen.entries = len(m.applied)
		o.noted[m] = seen
	}
	newest := httproute.Version(0)
	for index, version := range o.versions {
		if index <= m.core.Status().Commit {
			newest = max(newest, version)
		}
	}
	return newest
}

// note remembers what stands at a place of the log.
func (o *orders) note(e quorum.Entry) {
	if _, known := o.versions[e.Index]; known || e.Kind != quorum.EntryCommand {
		return
	}
	c := catalog.NewMachine()
	o.versions[e.Index] = c.Apply(e.Data).Held
}

// order sends a version to a member, sometimes an older one.
func (o *orders) order(m *machine) {
	version := o.newest + 1
	if o.newest > 3 && o.random.IntN(3) == 0 {
		version -= httproute.Version(o.random.IntN(4))
	}
	o.newest = max(o.newest, version)
	data, err := catalog.Encode(catalog.Document{Version: version, Packed: []byte{1}})
	if err != nil {
		o.t.Fatal(err)
	}
	if !m.up {
		return
	}
	if index, ok := m.core.Propose(o.now(m), quorum.EntryCommand, data); ok {
		o.pending[index] = pendingOrder{m, m.core.Status().Term, version}
		m.core.Flush(o.now(m))
		o.drain(m, false)
	}
}

// acknowledge answers the orders that their leader has applied.
func (o *orders) acknowledge() {
	for index, p := range o.pending {
		if !p.by.up {
			delete(o.pending, index)
			continue
		}
		for _, e := range p.by.applied {
			if e.Index == index && e.Term == p.term {
				o.acked = max(o.acked, p.version)
				delete(o.pending, index)
			}
		}
	}
}

// reads looks at every member that would answer a read, and lets an entry follow one of them.
func (o *orders) reads() {
	o.acknowledge()
	for _, m := range o.members {
		s := m.core.Status()
		if !m.up || s.Role != quorum.RoleLeader || !o.now(m).Before(s.LeaseEnd) || !s.KnowsCommitted {
			continue
		}
		got := o.held(m)
		if got < o.acked {
			o.t.Fatalf("%s answers a read with version %d, and %d was acknowledged", m.id.Name, got, o.acked)
		}
		i := o.random.IntN(len(o.entries))
		if got < o.entries[i] {
			o.t.Fatalf("an entry that has version %d is told of version %d as the newest by %s", o.entries[i], got, m.id.Name)
		}
		o.entries[i] = got
	}
}

// No member that may answer reads has an older version than was acknowledged, whatever is lost, folders among it, cut, killed or handed over.
func TestReadsAreNeverOlderThanWhatWasAcknowledged(t *testing.T) {
	var acknowledged, folders atomic.Uint64
	t.Cleanup(func() {
		if acknowledged.Load() < histories || folders.Load() < histories/20 {
			t.Errorf("%d versions acknowledged and %d folders lost in %d histories", acknowledged.Load(), folders.Load(), histories)
		}
	})
	for seed := range uint64(histories) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			h := &history{newGroup(t, []int{3, 5}[seed%2]), rand.New(rand.NewPCG(seed, 11))}
			o := &orders{history: h, pending: map[quorum.Index]pendingOrder{}, versions: map[quorum.Index]httproute.Version{}, noted: map[*machine]noted{}, entries: make([]httproute.Version, 3)}
			for range stretches / 2 {
				h.fault()
				if h.random.IntN(6) == 0 {
					o.lose(h.any())
				}
				for range h.random.IntN(30) {
					o.order(h.any())
					o.turn()
				}
			}
			for range 3 {
				if h.settle() == nil {
					t.Fatal("healed members have no leader")
				}
				o.admit()
			}
			o.reads()
			folders.Add(uint64(o.folders))
			acknowledged.Add(uint64(o.acked))
		})
	}
}

// lose takes a member's folder while all others are there and in touch, and starts it again with an empty one.
func (o *orders) lose(m *machine) {
	for _, other := range o.members {
		if !other.up || o.cut[other.id] || !o.admitted(other) {
			return
		}
	}
	o.folders++
	m.id.Folder = quorum.FolderID(fmt.Sprint("new-", o.folders))
	m.snapshot, m.hard, m.entries = nil, quorum.HardState{}, nil
	o.start(m)
	o.drain(m, false)
}

// admitted reports whether a member has a vote, as any leader knows.
func (o *orders) admitted(m *machine) bool {
	for _, l := range o.members {
		s := l.core.Status()
		if !l.up || s.Role != quorum.RoleLeader || !s.KnowsCommitted {
			continue
		}
		return slices.Contains(s.Members, quorum.Member{ID: m.id, Voter: true}) && len(s.Members) == len(o.members)
	}
	return false
}

// admit lets a leader take in members with new folders, and drop their old ones once the new ones have their vote.
func (o *orders) admit() {
	for _, l := range o.members {
		s := l.core.Status()
		if !l.up || s.Role != quorum.RoleLeader {
			continue
		}
		if members := o.nextMembers(s.Members); members != nil {
			l.core.ProposeMembers(o.now(l), members)
			l.core.Flush(o.now(l))
			o.drain(l, false)
		}
	}
}

func (o *orders) nextMembers(now []quorum.Member) []quorum.Member {
	present := func(id quorum.MemberID) bool {
		return slices.ContainsFunc(o.members, func(m *machine) bool { return m.id == id })
	}
	if slices.ContainsFunc(now, func(m quorum.Member) bool { return !m.Voter }) {
		return nil
	}
	if len(now) > len(o.members) {
		return slices.DeleteFunc(slices.Clone(now), func(m quorum.Member) bool { return !present(m.ID) })
	}
	for _, m := range o.members {
		if m.up && !slices.ContainsFunc(now, func(o quorum.Member) bool { return o.ID == m.id }) {
			return append(slices.Clone(now), quorum.Member{ID: m.id})
		}
	}
	return nil
}

// turn lets some time pass and some messages arrive, in any order.
func (o *orders) turn() {
	o.admit()
	o.pass(time.Duration(1+o.random.IntN(60)) * time.Millisecond)
	for range o.random.IntN(14) {
		if len(o.wire) == 0 {
			break
		}
		i := o.random.IntN(min(len(o.wire), 6))
		if o.random.IntN(12) == 0 {
			o.wire = append(o.wire[:i:i], o.wire[i+1:]...)
			continue
		}
		o.deliver(i, o.random.IntN(20) == 0, o.random.IntN(80) == 0)
		o.check()
		o.reads()
	}
}

// A new leader whose lease rests on members that lack the last change does not answer reads before it has committed an entry of its own.
func TestANewLeaderReadsWhatItsPredecessorAcknowledged(t *testing.T) {
	g, leader := lead(t, 5)
	var others []*machine
	for _, m := range g.members {
		if m != leader {
			others = append(others, m)
		}
	}
	holder, behind := others[:2], others[2:]
	for _, m := range behind {
		g.cut[m.id] = true
	}
	g.propose(leader)
	last := leader.core.Status().Commit + 1
	for range 20 {
		// Nobody but the leader learns that the change is committed.
		if leader.core.Status().Commit == last {
			break
		}
		g.deliver(0, false, false)
	}
	if leader.core.Status().Commit != last || holder[0].core.Status().Commit >= last {
		t.Fatalf("commit %d at the leader, %d at a follower, want %d and less", leader.core.Status().Commit, holder[0].core.Status().Commit, last)
	}
	leader.up, g.wire, g.cut = false, nil, map[quorum.MemberID]bool{holder[1].id: true}
	reads := 0
	for range 400 {
		g.pass(timing.Heartbeat / 5)
		for range 40 {
			if len(g.wire) == 0 {
				break
			}
			// What the members that are behind are sent beyond their refusals is lost.
			if m := g.wire[0]; m.Kind == quorum.MessageSnapshot || len(m.Entries) > 1 {
				g.wire = g.wire[1:]
				continue
			}
			g.deliver(0, false, false)
		}
		s := holder[0].core.Status()
		if s.Role == quorum.RoleLeader && g.now(holder[0]).Before(s.LeaseEnd) && s.KnowsCommitted && s.Commit < last {
			reads++
		}
	}
	if reads > 0 {
		t.Errorf("the new leader would answer reads by entry %d and less in %d moments, entry %d was acknowledged", last-1, reads, last)
	}
	if holder[0].core.Status().Role != quorum.RoleLeader {
		t.Error("nobody leads")
	}
}
