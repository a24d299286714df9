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

// readCheck proposes configuration versions in a history, and checks the versions that members and entries read.
type readCheck struct {
	*history
	newest httproute.Version
	// acknowledged is the highest version whose proposal was acknowledged.
	acknowledged httproute.Version
	// pending holds the proposed versions by their index in the log.
	pending map[quorum.Index]pendingVersion
	// scanned holds how far each member's applied entries have been scanned.
	scanned map[*simMember]scanPosition
	// lostFolders is the number of folders that were lost.
	lostFolders int
	// versions holds the versions in the log by their index.
	versions map[quorum.Index]httproute.Version
	// entryVersions holds the version in force at each entry process, read from any leader with a lease.
	entryVersions []httproute.Version
}

// scanPosition is the number of scanned entries that a member has applied since one of its starts.
type scanPosition struct {
	starts  uint64
	entries int
}

type pendingVersion struct {
	by      *simMember
	term    quorum.Term
	version httproute.Version
}

// versionOf returns the version in a member's state machine, which is the highest one up to its commit index in its
// snapshot or log.
func (r *readCheck) versionOf(m *simMember) httproute.Version {
	for _, m := range r.members {
		position := r.scanned[m]
		if position.starts != m.starts {
			position = scanPosition{starts: m.starts}
		}
		for _, e := range m.applied[position.entries:] {
			r.recordVersion(e)
		}
		position.entries = len(m.applied)
		r.scanned[m] = position
	}
	newest := httproute.Version(0)
	for index, version := range r.versions {
		if index <= m.core.Status().Commit {
			newest = max(newest, version)
		}
	}
	return newest
}

// recordVersion records the version at an index of the log.
func (r *readCheck) recordVersion(e quorum.Entry) {
	if _, known := r.versions[e.Index]; known || e.Kind != quorum.EntryCommand {
		return
	}
	machine := catalog.NewMachine()
	r.versions[e.Index] = machine.Apply(e.Data).Version
}

// proposeVersion proposes a version, sometimes an older one, to a member.
func (r *readCheck) proposeVersion(m *simMember) {
	version := r.newest + 1
	if r.newest > 3 && r.random.IntN(3) == 0 {
		version -= httproute.Version(r.random.IntN(4))
	}
	r.newest = max(r.newest, version)
	data, err := catalog.Encode(catalog.Document{Version: version, Compressed: []byte{1}})
	if err != nil {
		r.t.Fatal(err)
	}
	if !m.up {
		return
	}
	if index, ok := m.core.Propose(r.now(m), quorum.EntryCommand, data); ok {
		r.pending[index] = pendingVersion{m, m.core.Status().Term, version}
		m.core.Flush(r.now(m))
		r.drain(m, false)
	}
}

// acknowledge acknowledges the versions that their leader has applied.
func (r *readCheck) acknowledge() {
	for index, p := range r.pending {
		if !p.by.up {
			delete(r.pending, index)
			continue
		}
		for _, e := range p.by.applied {
			if e.Index == index && e.Term == p.term {
				r.acknowledged = max(r.acknowledged, p.version)
				delete(r.pending, index)
			}
		}
	}
}

// checkReads checks the reads of all members that would serve them, and lets an entry process read from each.
func (r *readCheck) checkReads() {
	r.acknowledge()
	for _, m := range r.members {
		s := m.core.Status()
		if !m.up || s.Role != quorum.RoleLeader || !r.now(m).Before(s.LeaseEnd) || !s.KnowsCommitted {
			continue
		}
		got := r.versionOf(m)
		if got < r.acknowledged {
			r.t.Fatalf("%s serves a read with version %d although version %d was acknowledged", m.id.Name, got, r.acknowledged)
		}
		i := r.random.IntN(len(r.entryVersions))
		if got < r.entryVersions[i] {
			r.t.Fatalf("an entry with version %d reads version %d from %s", r.entryVersions[i], got, m.id.Name)
		}
		r.entryVersions[i] = got
	}
}

// No member that may serve reads has an older version than an acknowledged one, whatever faults, folder losses and
// transfers there were.
func TestReadsIncludeAcknowledgedChanges(t *testing.T) {
	var acknowledged, folders atomic.Uint64
	t.Cleanup(func() {
		if acknowledged.Load() < historyCount || folders.Load() < historyCount/20 {
			t.Errorf("only %d versions acknowledged and %d folders lost in %d histories", acknowledged.Load(), folders.Load(), historyCount)
		}
	})
	for seed := range uint64(historyCount) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			h := &history{newSimCluster(t, []int{3, 5}[seed%2]), rand.New(rand.NewPCG(seed, 11))}
			check := &readCheck{history: h, pending: map[quorum.Index]pendingVersion{}, versions: map[quorum.Index]httproute.Version{}, scanned: map[*simMember]scanPosition{}, entryVersions: make([]httproute.Version, 3)}
			for range phasesPerHistory / 2 {
				h.injectFault()
				if h.random.IntN(6) == 0 {
					check.loseFolder(h.randomMember())
				}
				for range h.random.IntN(30) {
					check.proposeVersion(h.randomMember())
					check.step()
				}
			}
			for range 3 {
				if h.settle() == nil {
					t.Fatal("no leader after the end of all faults")
				}
				check.admitMembers()
			}
			check.checkReads()
			folders.Add(uint64(check.lostFolders))
			acknowledged.Add(uint64(check.acknowledged))
		})
	}
}

// loseFolder replaces a member's folder by an empty one and restarts the member, provided that all other members are
// up, connected and voters.
func (r *readCheck) loseFolder(m *simMember) {
	for _, other := range r.members {
		if !other.up || r.isolated[other.id] || !r.hasVote(other) {
			return
		}
	}
	r.lostFolders++
	m.id.Folder = quorum.FolderID(fmt.Sprint("new-", r.lostFolders))
	m.snapshot, m.hardState, m.entries = nil, quorum.HardState{}, nil
	r.start(m)
	r.drain(m, false)
}

// hasVote reports whether a member has a vote, in the view of any leader.
func (r *readCheck) hasVote(m *simMember) bool {
	for _, l := range r.members {
		s := l.core.Status()
		if !l.up || s.Role != quorum.RoleLeader || !s.KnowsCommitted {
			continue
		}
		return slices.Contains(s.Members, quorum.Member{ID: m.id, Voter: true}) && len(s.Members) == len(r.members)
	}
	return false
}

// admitMembers lets leaders admit members with new folders, and remove the old ones once the new ones have their vote.
func (r *readCheck) admitMembers() {
	for _, l := range r.members {
		s := l.core.Status()
		if !l.up || s.Role != quorum.RoleLeader {
			continue
		}
		if members := r.nextMembers(&s); members != nil {
			l.core.ProposeMembers(r.now(l), members)
			l.core.Flush(r.now(l))
			r.drain(l, false)
		}
	}
}

func (r *readCheck) nextMembers(s *quorum.Status) []quorum.Member {
	current := s.Members
	present := func(id quorum.MemberID) bool {
		return slices.ContainsFunc(r.members, func(m *simMember) bool { return m.id == id })
	}
	if slices.ContainsFunc(current, func(m quorum.Member) bool { return !m.Voter }) {
		return withPromotedLearner(s)
	}
	if len(current) > len(r.members) {
		return slices.DeleteFunc(slices.Clone(current), func(m quorum.Member) bool { return !present(m.ID) })
	}
	for _, m := range r.members {
		if m.up && !slices.ContainsFunc(current, func(r quorum.Member) bool { return r.ID == m.id }) {
			return append(slices.Clone(current), quorum.Member{ID: m.id})
		}
	}
	return nil
}

// withPromotedLearner returns the members with a vote for a learner that has caught up, or nil if there is none.
func withPromotedLearner(s *quorum.Status) []quorum.Member {
	for i, m := range s.Members {
		caughtUp := slices.ContainsFunc(s.Followers, func(f quorum.Follower) bool { return f.ID == m.ID && f.CaughtUp })
		if !m.Voter && caughtUp {
			members := slices.Clone(s.Members)
			members[i].Voter = true
			return members
		}
	}
	return nil
}

// step advances time and delivers some messages, in any order.
func (r *readCheck) step() {
	r.admitMembers()
	r.advance(time.Duration(1+r.random.IntN(60)) * time.Millisecond)
	for range r.random.IntN(14) {
		if len(r.network) == 0 {
			break
		}
		i := r.random.IntN(min(len(r.network), 6))
		if r.random.IntN(12) == 0 {
			r.network = append(r.network[:i:i], r.network[i+1:]...)
			continue
		}
		r.deliver(i, r.random.IntN(20) == 0, r.random.IntN(80) == 0)
		r.checkInvariants()
		r.checkReads()
	}
}

// A new leader whose lease depends on members without the last change serves no reads before it has committed an entry
// of its own term.
func TestNewLeaderReadsIncludeAcknowledgedChanges(t *testing.T) {
	cluster, leader := clusterWithLeader(t, 5)
	var others []*simMember
	for _, m := range cluster.members {
		if m != leader {
			others = append(others, m)
		}
	}
	holders, behind := others[:2], others[2:]
	for _, m := range behind {
		cluster.isolated[m.id] = true
	}
	cluster.propose(leader)
	last := leader.core.Status().Commit + 1
	for range 20 {
		// Only the leader learns that the change is committed.
		if leader.core.Status().Commit == last {
			break
		}
		cluster.deliver(0, false, false)
	}
	if leader.core.Status().Commit != last || holders[0].core.Status().Commit >= last {
		t.Fatalf("commit index %d at the leader, %d at a follower, want %d and less", leader.core.Status().Commit, holders[0].core.Status().Commit, last)
	}
	leader.up, cluster.network, cluster.isolated = false, nil, map[quorum.MemberID]bool{holders[1].id: true}
	reads := 0
	for range 400 {
		cluster.advance(timing.Heartbeat / 5)
		for range 40 {
			if len(cluster.network) == 0 {
				break
			}
			// Messages that would let the members behind catch up are lost.
			if m := cluster.network[0]; m.Kind == quorum.MessageSnapshot || len(m.Entries) > 1 {
				cluster.network = cluster.network[1:]
				continue
			}
			cluster.deliver(0, false, false)
		}
		s := holders[0].core.Status()
		if s.Role == quorum.RoleLeader && cluster.now(holders[0]).Before(s.LeaseEnd) && s.KnowsCommitted && s.Commit < last {
			reads++
		}
	}
	if reads > 0 {
		t.Errorf("the new leader would serve reads up to entry %d at %d moments, although entry %d was acknowledged", last-1, reads, last)
	}
	if holders[0].core.Status().Role != quorum.RoleLeader {
		t.Error("no member leads")
	}
}
