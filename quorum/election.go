package quorum

// Elections: when a member campaigns, when it grants its vote, and who becomes leader.

import (
	"slices"
	"time"
)

// ignoresVoteRequest withholds the vote while a leader can hold a lease that this member supports.
func (c *Core) ignoresVoteRequest(now time.Time, m *Message) bool {
	if m.Kind != MessagePreVote && m.Kind != MessageVote {
		return false
	}
	if !c.formed {
		return true
	}
	if m.Transfer {
		return false
	}
	if c.role == RoleLeader {
		return c.hasMajorityContact(now)
	}
	return now.Sub(c.lastContact) < c.timing.Election
}

// answerStaleTerm replies with the newer term, so that a returning leader steps down at once.
func (c *Core) answerStaleTerm(m *Message) {
	switch m.Kind {
	case MessageAppend, MessageSnapshot:
		c.send(Message{Kind: MessageAppendReply, To: m.From})
	case MessagePreVote:
		c.send(Message{Kind: MessagePreVoteReply, To: m.From})
	}
}

func (c *Core) stepVote(now time.Time, m *Message) {
	preVote := m.Kind == MessagePreVote
	mayVote := preVote && m.Term > c.hardState.Term || c.hardState.Vote == (MemberID{}) || c.hardState.Vote == m.From
	granted := mayVote && c.upToDate(m)
	reply := Message{Kind: MessageVoteReply, To: m.From, Granted: granted}
	if preVote {
		reply.Kind = MessagePreVoteReply
		c.yieldTo(now, m.From, granted)
	} else if granted {
		c.hardState.Vote = m.From
		c.hardStateDirty = true
		c.resetElectionDeadline(now)
	}
	c.send(reply)
	if preVote && granted {
		c.messages[len(c.messages)-1].Term = m.Term
	}
}

// yieldTo ends the candidacy of a member that has just started, in favor of one that precedes it in the list of
// members; otherwise the two would split the votes.
func (c *Core) yieldTo(now time.Time, to MemberID, granted bool) {
	if granted && c.startupAttemptsLeft > 0 && c.role == RolePreCandidate && c.position(to) < c.position(c.id) {
		c.role = RoleFollower
		c.electionDeadline = now.Add(c.staggerPeriod())
	}
}

func (c *Core) upToDate(m *Message) bool {
	last := c.termAt(c.lastIndex())
	return m.LastTerm > last || m.LastTerm == last && m.LastIndex >= c.lastIndex()
}

func (c *Core) campaign(now time.Time, role Role) {
	c.role = role
	c.leader = MemberID{}
	c.votes = map[MemberID]bool{c.id: true}
	kind, term := MessagePreVote, c.hardState.Term+1
	if role == RoleCandidate {
		kind = MessageVote
		c.hardState.Term++
		c.hardState.Vote = c.id
		c.hardStateDirty = true
		c.resetElectionDeadline(now)
	}
	for _, m := range c.members {
		if m.Voter && m.ID != c.id {
			c.send(Message{Kind: kind, To: m.ID, LastIndex: c.lastIndex(), LastTerm: c.termAt(c.lastIndex()), Transfer: c.transferring})
			c.messages[len(c.messages)-1].Term = term
		}
	}
	c.countVotes(now)
}

func (c *Core) stepVoteReply(now time.Time, m *Message) {
	expected := map[Role]MessageKind{RolePreCandidate: MessagePreVoteReply, RoleCandidate: MessageVoteReply}
	if kind, ok := expected[c.role]; !ok || kind != m.Kind {
		return
	}
	if m.Kind == MessagePreVoteReply && m.Term != c.hardState.Term+1 {
		return
	}
	c.votes[m.From] = m.Granted
	c.countVotes(now)
}

func (c *Core) countVotes(now time.Time) {
	granted := 0
	for _, m := range c.members {
		if m.Voter && c.votes[m.ID] {
			granted++
		}
	}
	if granted < c.majority() {
		return
	}
	if c.role == RolePreCandidate {
		c.campaign(now, RoleCandidate)
		return
	}
	c.becomeLeader(now)
}

func (c *Core) becomeLeader(now time.Time) {
	c.role = RoleLeader
	c.leader = c.id
	c.transferring = false
	c.electedAt = now
	c.leaseEnd = time.Time{}
	// A new leader knows what its predecessors committed once it has committed an entry of its own.
	c.firstCurrentTermCommit = 0
	c.progress = map[MemberID]*progress{}
	c.trackMembers(now)
	for id, since := range c.silentSince {
		if p := c.progress[id]; p != nil {
			p.lastHeard = since
		}
	}
	// Entries of earlier terms are committed together with an entry of the leader's own term.
	c.append(Entry{Index: c.lastIndex() + 1, Term: c.hardState.Term, Kind: EntryNoop})
	c.broadcast(now)
}

func (c *Core) becomeFollower(now time.Time, term Term, leader MemberID) {
	if term > c.hardState.Term {
		c.hardState.Term = term
		c.hardState.Vote = MemberID{}
		c.hardStateDirty = true
	}
	if c.role == RoleLeader {
		c.lastContact = now
	}
	c.role = RoleFollower
	c.transferring = false
	c.leaseEnd = time.Time{}
	c.leader = leader
	c.resetElectionDeadline(now)
}

// resetElectionDeadline sets the time of the next campaign. After the loss of a leader it is random, since all members
// notice the loss at the same moment. After a start it is staggered, since random times often coincide and split the
// votes.
func (c *Core) resetElectionDeadline(now time.Time) {
	if c.startupAttemptsLeft > 0 {
		c.electionDeadline = now.Add(c.timing.Election/startupElectionDivisor + c.staggerDelay())
		return
	}
	jitter := c.random.Int64N(int64(c.timing.Election))
	c.electionDeadline = now.Add(c.timing.Election + time.Duration(jitter))
}

// staggerDelay is the time in which members that precede this one in the list may campaign first.
func (c *Core) staggerDelay() time.Duration {
	return time.Duration(max(0, c.position(c.id))) * c.timing.Election / staggerDivisor
}

// staggerPeriod is the time in which each member can campaign once.
func (c *Core) staggerPeriod() time.Duration {
	return time.Duration(len(c.members)) * c.timing.Election / staggerDivisor
}

// position returns the index of a member in the list, which has the same order on all members.
func (c *Core) position(id MemberID) int {
	return slices.IndexFunc(c.members, func(m Member) bool { return m.ID == id })
}

// mayLead reports whether this member is formed, not expelled and a voter.
func (c *Core) mayLead() bool {
	return c.formed && !c.hardState.Expelled && c.isVoter(c.id)
}
