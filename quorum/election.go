package quorum

// Elections: who asks for votes and when, who gives one, and who leads.

import (
	"slices"
	"time"
)

// ignoresVote withholds votes while a leader may hold a lease that this member supports.
func (c *Core) ignoresVote(now time.Time, m *Message) bool {
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
		return c.heardMajority(now)
	}
	return now.Sub(c.heard) < c.timing.Election
}

// answerOld tells a stale sender the newer term, so that a returned leader steps down at once.
func (c *Core) answerOld(m *Message) {
	switch m.Kind {
	case MessageAppend, MessageSnapshot:
		c.send(Message{Kind: MessageAppendReply, To: m.From})
	case MessagePreVote:
		c.send(Message{Kind: MessagePreVoteReply, To: m.From})
	}
}

func (c *Core) stepVote(now time.Time, m *Message) {
	pre := m.Kind == MessagePreVote
	free := pre && m.Term > c.hard.Term || c.hard.Vote == (MemberID{}) || c.hard.Vote == m.From
	grant := free && c.upToDate(m)
	reply := Message{Kind: MessageVoteReply, To: m.From, Granted: grant}
	if pre {
		reply.Kind = MessagePreVoteReply
		c.giveWay(now, m.From, grant)
	} else if grant {
		c.hard.Vote = m.From
		c.hardDirty = true
		c.resetDeadline(now)
	}
	c.send(reply)
	if pre && grant {
		c.messages[len(c.messages)-1].Term = m.Term
	}
}

// giveWay ends the candidacy of a member that has just started for one before it in the list: if both went on, they would
// split the votes.
func (c *Core) giveWay(now time.Time, to MemberID, granted bool) {
	if granted && c.quick > 0 && c.role == RolePreCandidate && c.rank(to) < c.rank(c.id) {
		c.role = RoleFollower
		c.deadline = now.Add(c.allTurns())
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
	kind, term := MessagePreVote, c.hard.Term+1
	if role == RoleCandidate {
		kind = MessageVote
		c.hard.Term++
		c.hard.Vote = c.id
		c.hardDirty = true
		c.resetDeadline(now)
	}
	for _, m := range c.members {
		if m.Voter && m.ID != c.id {
			c.send(Message{Kind: kind, To: m.ID, LastIndex: c.lastIndex(), LastTerm: c.termAt(c.lastIndex()), Transfer: c.transfer})
			c.messages[len(c.messages)-1].Term = term
		}
	}
	c.countVotes(now)
}

func (c *Core) stepVoteReply(now time.Time, m *Message) {
	wanted := map[Role]MessageKind{RolePreCandidate: MessagePreVoteReply, RoleCandidate: MessageVoteReply}
	if kind, ok := wanted[c.role]; !ok || kind != m.Kind {
		return
	}
	if m.Kind == MessagePreVoteReply && m.Term != c.hard.Term+1 {
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
	c.transfer = false
	c.elected = now
	c.lease = time.Time{}
	// What its predecessors have committed is known with the first commit of its own.
	c.currentFrom = 0
	c.progress = map[MemberID]*progress{}
	c.trackMembers(now)
	// An entry of the own term lets the entries of earlier terms commit.
	c.append(Entry{Index: c.lastIndex() + 1, Term: c.hard.Term, Kind: EntryNoop})
	c.broadcast(now)
}

func (c *Core) becomeFollower(now time.Time, term Term, leader MemberID) {
	if term > c.hard.Term {
		c.hard.Term = term
		c.hard.Vote = MemberID{}
		c.hardDirty = true
	}
	if c.role == RoleLeader {
		c.heard = now
	}
	c.role = RoleFollower
	c.transfer = false
	c.lease = time.Time{}
	c.leader = leader
	c.resetDeadline(now)
}

// resetDeadline sets the time of the next election: at random after the loss of a leader that all heard until the same moment,
// and in turn after a start, where random times often met and each such vote was lost by all.
func (c *Core) resetDeadline(now time.Time) {
	if c.quick > 0 {
		c.deadline = now.Add(c.timing.Election/quickPart + c.turn())
		return
	}
	spread := c.random.Int64N(int64(c.timing.Election))
	c.deadline = now.Add(c.timing.Election + time.Duration(spread))
}

// turn is how long this member lets those before it in the list of members ask for votes first.
func (c *Core) turn() time.Duration {
	return time.Duration(max(0, c.rank(c.id))) * c.timing.Election / turnPart
}

// allTurns is the time in which every member has its turn.
func (c *Core) allTurns() time.Duration {
	return time.Duration(len(c.members)) * c.timing.Election / turnPart
}

// rank is the place of a member in the list, which all members have in the same order.
func (c *Core) rank(id MemberID) int {
	return slices.IndexFunc(c.members, func(m Member) bool { return m.ID == id })
}

// mayLead is false for a member that has no vote, or that cannot yet know whether it promised it away.
func (c *Core) mayLead() bool {
	return c.formed && !c.hard.Expelled && c.isVoter(c.id)
}
