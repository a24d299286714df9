package quorum

// Core is the protocol without any input or output: it receives messages, ticks and proposals, and Ready returns what
// must be persisted, sent and applied. Tests can thus drive all of the protocol one step at a time, with their own clock:
//
//	c.Step(now, message)
//	rd := c.Ready()
//	send(rd.Appends)                  // a leader may send entries before its own sync
//	persist(rd.HardState, rd.Entries) // then c.Persisted(last)
//	send(rd.Messages)                 // votes and acknowledgements only after they are on disk
//	apply(rd.Committed)
//
// The rules are those of Raft (Ongaro 2014) with pre-vote, check-quorum, single-member changes and leader leases. A
// member withholds its vote while its last contact with a leader is within the election time. It also withholds its
// vote after its start, because it cannot know which lease it supported before. A leader's lease starts when it sent a
// heartbeat that a majority has answered.

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	maxEntriesPerMessage = 512
	maxBytesPerMessage   = 1 << 20
	clockDriftFactor     = 1.1
	// silentHeartbeats is how many heartbeats a member may miss before the leader reports its silence to the others.
	silentHeartbeats = 2
	// A member that starts campaigns up to startupAttempts times after the shorter time
	// Election/startupElectionDivisor, in which a vote with its syncs and replies is usually decided. After that, disks
	// may be slow, and the member waits as long as any other.
	startupAttempts        = 3
	startupElectionDivisor = 3
	// Election/staggerDivisor is the time between the campaigns of members that start, several times the duration of a
	// vote.
	staggerDivisor = 12
)

// Timing holds the intervals of one instance.
type Timing struct {
	Heartbeat time.Duration
	Election  time.Duration
	Lease     time.Duration
}

// voteHoldOff is how long a member that has just started withholds its vote, because it may have supported a leader's
// lease before its start.
func (t Timing) voteHoldOff() time.Duration {
	return min(t.Election, time.Duration(clockDriftFactor*float64(t.Lease)))
}

// Ready is what the driver has to do after a step, in the order of the fields.
type Ready struct {
	Appends   []Message
	Install   *Snapshot
	HardState *HardState
	Entries   []Entry
	Messages  []Message
	Committed []Entry
}

type progress struct {
	match   Index
	next    Index
	lastAck time.Time
	// lastHeard is lastAck or, until the member has answered this leader, the time that the one before had reported.
	lastHeard      time.Time
	ackedBroadcast time.Time
	// refusingSince is when the member first refused an index that it had acknowledged before.
	refusingSince time.Time
	lostData      bool
	// leaving and commit are of the member's last reply.
	leaving bool
	commit  Index
	// snapshotRequestedAt limits how often a snapshot is sent to a member that does not reply.
	snapshotRequestedAt time.Time
}

// Core is one member of one instance. Its methods must not be called concurrently.
type Core struct {
	id       MemberID
	instance Instance
	timing   Timing
	random   *rand.Rand

	hardState    HardState
	snapshot     Snapshot // without Data, which the driver keeps
	entries      []Entry  // entries[0].Index == snapshot.Index+1
	formed       bool
	members      []Member
	membersIndex Index
	commit       Index
	handedOut    Index // last committed entry that Ready has returned
	// firstCurrentTermCommit is the first commit, since the start, of an entry of the leader's own term. Once it is
	// applied, this member knows everything that was committed before.
	firstCurrentTermCommit Index
	persisted              Index

	role             Role
	leader           MemberID
	lastContact      time.Time // last contact with a leader, initially derived from the start
	electionDeadline time.Time
	// startupAttemptsLeft is the number of short election deadlines left to a member without contact to a leader since
	// its start.
	startupAttemptsLeft int
	votes               map[MemberID]bool
	transferring        bool
	// leaving is set once this member has announced that it stops.
	leaving bool
	// promotesLearners is set if this member, as leader, gives learners their votes by itself.
	promotesLearners bool
	electedAt        time.Time
	leaseEnd         time.Time
	nextHeartbeat    time.Time
	lastBroadcast    time.Time
	progress         map[MemberID]*progress
	// silentSince holds the members that the leader has not heard from, as of its last append.
	silentSince      map[MemberID]time.Time
	snapshotRequests []MemberID

	appends        []Message
	messages       []Message
	install        *Snapshot
	hardStateDirty bool
	firstUnsaved   Index
}

// NewCore returns a member from the snapshot (nil if never formed), hard state and entries of its disk. The seed
// randomizes election times.
func NewCore(id MemberID, instance Instance, timing Timing, seed uint64, now time.Time, snapshot *Snapshot, hardState HardState, entries []Entry) *Core {
	c := &Core{
		id:          id,
		instance:    instance,
		timing:      timing,
		random:      rand.New(rand.NewPCG(seed, uint64(instance))),
		hardState:   hardState,
		lastContact: now.Add(timing.voteHoldOff() - timing.Election),
		votes:       map[MemberID]bool{},
		progress:    map[MemberID]*progress{},
	}
	if snapshot != nil {
		c.formed = true
		c.snapshot = Snapshot{Index: snapshot.Index, Term: snapshot.Term, Members: snapshot.Members}
		c.commit = snapshot.Index
		c.handedOut = snapshot.Index
		c.entries = append(c.entries, entries...)
	}
	c.persisted = c.lastIndex()
	c.updateMembers()
	// When all members restart, each waits only until a lease that it may have supported has expired.
	c.startupAttemptsLeft = startupAttempts
	c.electionDeadline = now.Add(timing.voteHoldOff() + c.staggerDelay())
	return c
}

// Ready returns the pending work and clears it.
func (c *Core) Ready() Ready {
	rd := Ready{Appends: c.appends, Install: c.install, Messages: c.messages}
	c.appends, c.messages, c.install = nil, nil, nil
	if c.hardStateDirty {
		hardState := c.hardState
		rd.HardState = &hardState
		c.hardStateDirty = false
	}
	if c.firstUnsaved != 0 {
		rd.Entries = c.slice(c.firstUnsaved, c.lastIndex())
		c.firstUnsaved = 0
	}
	if until := min(c.commit, c.lastIndex()); until > c.handedOut {
		rd.Committed = c.slice(c.handedOut+1, until)
		c.handedOut = until
	}
	return rd
}

// Status returns the member's state; the driver sets Applied.
func (c *Core) Status() Status {
	return Status{
		ID: c.id, Formed: c.formed, Role: c.role, Term: c.hardState.Term, Leader: c.leader.Name, Commit: c.commit,
		Members: c.members, MembersCommitted: c.membersIndex <= c.commit, KnowsCommitted: c.firstCurrentTermCommit > 0, Expelled: c.hardState.Expelled, LeaseEnd: c.leaseEnd, ElectedAt: c.electedAt, LastContact: c.lastContact,
		Followers: c.followers(),
	}
}

// followers returns the state of the other members on a leader, nil on other members.
func (c *Core) followers() []Follower {
	if c.role != RoleLeader {
		return nil
	}
	list := make([]Follower, 0, len(c.members))
	for _, m := range c.members {
		if p := c.progress[m.ID]; m.ID != c.id && p != nil {
			list = append(list, Follower{
				ID: m.ID, LastHeard: p.lastHeard, LostData: p.lostData, CaughtUp: p.match >= c.commit,
				Leaving: p.leaving, KnowsMembers: p.commit >= c.membersIndex,
			})
		}
	}
	return list
}

// CaughtUpVoter returns a voter other than this leader that holds the whole log, if possible one that does not leave.
// Of those it returns the one that has answered last: one that has ended may hold the whole log, too.
func (c *Core) CaughtUpVoter() (MemberID, bool) {
	var best *progress
	var id MemberID
	for _, m := range c.members {
		p := c.progress[m.ID]
		if !m.Voter || m.ID == c.id || p == nil || p.lostData || p.match != c.lastIndex() {
			continue
		}
		if best == nil || best.leaving && !p.leaving || best.leaving == p.leaving && p.lastAck.After(best.lastAck) {
			best, id = p, m.ID
		}
	}
	return id, best != nil
}

// PromoteLearners makes this member, as leader, give each learner a vote once it holds all committed entries.
func (c *Core) PromoteLearners() {
	c.promotesLearners = true
}

func (c *Core) promoteLearner(now time.Time) {
	if !c.promotesLearners {
		return
	}
	for i, m := range c.members {
		if p := c.progress[m.ID]; !m.Voter && p != nil && p.match >= c.commit {
			members := append([]Member(nil), c.members...)
			members[i].Voter = true
			c.ProposeMembers(now, members)
			return
		}
	}
}

// Leave makes this member announce in all replies to the leader that it stops.
func (c *Core) Leave() {
	c.leaving = true
}

// Persisted records that all entries up to last are synced; only then does a leader count its own copy.
func (c *Core) Persisted(last Index) {
	c.persisted = max(c.persisted, min(last, c.lastIndex()))
	if c.role == RoleLeader {
		c.advanceCommit()
	}
}

// Tick handles elections, heartbeats and the loss of a majority.
func (c *Core) Tick(now time.Time) {
	if c.role == RoleLeader {
		c.tickLeader(now)
		return
	}
	if now.Before(c.electionDeadline) {
		return
	}
	c.resetElectionDeadline(now)
	if c.startupAttemptsLeft > 0 {
		c.startupAttemptsLeft--
		// Each member keeps its place in the sequence: some may have started a moment later and withheld their votes.
		c.electionDeadline = now.Add(c.staggerPeriod())
	}
	c.transferring = false
	if c.mayLead() {
		c.campaign(now, RolePreCandidate)
	}
}

func (c *Core) tickLeader(now time.Time) {
	// After a failed transfer the receiver may still campaign, regardless of this leader's lease. So the leader steps
	// down.
	if !c.hasMajorityContact(now) || c.transferring && !now.Before(c.electionDeadline) {
		c.becomeFollower(now, c.hardState.Term, MemberID{})
		return
	}
	if !now.Before(c.nextHeartbeat) {
		c.broadcast(now)
	}
}

func (c *Core) hasMajorityContact(now time.Time) bool {
	count := 0
	for _, m := range c.members {
		if !m.Voter {
			continue
		}
		if m.ID == c.id || now.Sub(c.progress[m.ID].lastAck) < c.timing.Election {
			count++
		}
	}
	return count >= c.majority()
}

// Propose appends an entry as leader and returns its index, or false if this member does not lead.
func (c *Core) Propose(now time.Time, kind EntryKind, data []byte) (Index, bool) {
	if c.role != RoleLeader || c.transferring {
		return 0, false
	}
	c.append(Entry{Index: c.lastIndex() + 1, Term: c.hardState.Term, Kind: kind, Data: data})
	if kind == EntryMembers {
		c.trackMembers(now)
	}
	return c.lastIndex(), true
}

// Flush sends the entries proposed since the last broadcast, once for many proposals.
func (c *Core) Flush(now time.Time) {
	if c.role == RoleLeader {
		c.broadcast(now)
	}
}

// ProposeMembers replaces the members if this member leads, the last change is committed and at most one voter differs.
func (c *Core) ProposeMembers(now time.Time, members []Member) (Index, bool) {
	if c.role != RoleLeader || c.membersIndex > c.commit || c.termAt(c.commit) != c.hardState.Term {
		return 0, false
	}
	if votersChanged(c.members, members) > 1 {
		return 0, false
	}
	data, err := cbor.Marshal(members)
	if err != nil {
		return 0, false
	}
	return c.Propose(now, EntryMembers, data)
}

func votersChanged(a, b []Member) int {
	difference := map[MemberID]int{}
	for _, m := range a {
		if m.Voter {
			difference[m.ID]++
		}
	}
	for _, m := range b {
		if m.Voter {
			difference[m.ID]--
		}
	}
	changed := 0
	for _, count := range difference {
		if count != 0 {
			changed++
		}
	}
	return changed
}

// Form sets the first members of a member that was never formed; later calls change nothing.
func (c *Core) Form(members []Member) bool {
	if c.formed {
		return false
	}
	c.formed = true
	c.snapshot = Snapshot{Members: members}
	c.install = &Snapshot{Format: snapshotFormat, Members: members}
	c.updateMembers()
	return true
}

// TransferTo asks another voter to take over leadership. The leader gives up its lease with the request.
func (c *Core) TransferTo(now time.Time, to MemberID) bool {
	p := c.progress[to]
	if c.role != RoleLeader || c.transferring || p == nil || p.match != c.lastIndex() || !c.isVoter(to) {
		return false
	}
	c.leaseEnd = time.Time{}
	c.transferring = true
	c.electionDeadline = now.Add(c.timing.Election)
	c.send(Message{Kind: MessageTransfer, To: to})
	return true
}

// Step handles one message.
func (c *Core) Step(now time.Time, m *Message) {
	if m.To != c.id || c.hardState.Expelled {
		return
	}
	if m.Kind == MessageForm {
		if m.Snapshot != nil {
			c.Form(m.Snapshot.Members)
		}
		return
	}
	if c.ignoresVoteRequest(now, m) {
		return
	}
	// Pre-votes and granted pre-vote replies carry a term that nobody has entered yet.
	proposed := m.Kind == MessagePreVote || m.Kind == MessagePreVoteReply && m.Granted
	if m.Term > c.hardState.Term && !proposed {
		c.becomeFollower(now, m.Term, MemberID{})
	}
	if m.Term < c.hardState.Term {
		c.answerStaleTerm(m)
		return
	}
	c.dispatch(now, m)
}

func (c *Core) dispatch(now time.Time, m *Message) {
	switch m.Kind {
	case MessagePreVote, MessageVote:
		c.stepVote(now, m)
	case MessagePreVoteReply, MessageVoteReply:
		c.stepVoteReply(now, m)
	case MessageAppend:
		c.stepAppend(now, m)
	case MessageAppendReply:
		c.stepAppendReply(now, m)
	case MessageSnapshot:
		c.stepSnapshot(now, m)
	case MessageTransfer:
		if c.mayLead() {
			c.transferring = true
			c.campaign(now, RoleCandidate)
		}
	case MessageLeave:
		if p := c.progress[m.From]; p != nil {
			p.leaving = true
		}
	case MessageExpel:
		// The leader has evidence that this folder lost synced entries.
		c.hardState.Expelled = true
		c.hardStateDirty = true
		c.role = RoleFollower
	}
}

// trackMembers starts to follow new members and forgets former ones: one that returns must not count as silent since then.
func (c *Core) trackMembers(now time.Time) {
	for id := range c.progress {
		if c.position(id) < 0 {
			delete(c.progress, id)
		}
	}
	for _, m := range c.members {
		if _, ok := c.progress[m.ID]; !ok {
			c.progress[m.ID] = &progress{next: c.lastIndex() + 1, lastAck: now, lastHeard: now}
		}
	}
}

func (c *Core) isVoter(id MemberID) bool {
	for _, m := range c.members {
		if m.ID == id {
			return m.Voter
		}
	}
	return false
}

func (c *Core) majority() int {
	n := 0
	for _, m := range c.members {
		if m.Voter {
			n++
		}
	}
	return n/2 + 1
}

func (c *Core) send(m Message) {
	m.Instance = c.instance
	m.From = c.id
	m.Term = c.hardState.Term
	switch m.Kind {
	case MessageAppend:
		c.appends = append(c.appends, m)
		return
	case MessageAppendReply:
		m.Leaving, m.Commit = c.leaving, c.commit
	}
	c.messages = append(c.messages, m)
}

// majorityMatch returns the highest index that a majority of voters holds on disk.
func (c *Core) majorityMatch() Index {
	var matches []Index
	for _, m := range c.members {
		switch {
		case !m.Voter:
		case m.ID == c.id:
			matches = append(matches, c.persisted)
		case c.progress[m.ID].lostData:
			matches = append(matches, 0)
		default:
			matches = append(matches, c.progress[m.ID].match)
		}
	}
	if len(matches) == 0 {
		return 0
	}
	sort.Slice(matches, func(i, j int) bool { return matches[i] > matches[j] })
	return matches[len(matches)/2]
}

func (c *Core) advanceCommit() {
	if i := c.majorityMatch(); i > c.commit && c.termAt(i) == c.hardState.Term {
		c.commit = i
		c.recordCurrentTermCommit()
	}
}

// recordCurrentTermCommit records the first commit in the current term. A leader commits an entry of its own term only
// after everything that was committed before.
func (c *Core) recordCurrentTermCommit() {
	if c.firstCurrentTermCommit == 0 && c.termAt(c.commit) == c.hardState.Term {
		c.firstCurrentTermCommit = c.commit
	}
}
