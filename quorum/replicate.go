package quorum

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// broadcast sends each member the entries that it lacks, in one numbered round that also renews the lease.
func (c *Core) broadcast(now time.Time) {
	c.nextHeartbeat = now.Add(c.timing.Heartbeat)
	c.lastBroadcast = now
	for _, m := range c.members {
		if m.ID != c.id {
			c.sendAppend(now, m.ID)
		}
	}
	c.extendLease()
}

// round identifies the last broadcast by its time since the election, so that a reply shows when it was sent.
func (c *Core) round() uint64 {
	return uint64(c.lastBroadcast.Sub(c.electedAt))
}

func (c *Core) sendAppend(now time.Time, to MemberID) {
	p := c.progress[to]
	if p.lostData {
		c.send(Message{Kind: MessageExpel, To: to})
		return
	}
	previous := p.next - 1
	if previous < c.snapshot.Index {
		c.requestSnapshot(now, to, p)
		// The heartbeat is still sent, without any entry that the member could not check.
		previous = c.snapshot.Index
		c.send(Message{Kind: MessageAppend, To: to, LastIndex: previous, LastTerm: c.termAt(previous), Commit: 0, Round: c.round()})
		return
	}
	entries := c.entriesToSend(p.next)
	c.send(Message{
		Kind: MessageAppend, To: to, LastIndex: previous, LastTerm: c.termAt(previous),
		Entries: entries, Commit: c.commit, Round: c.round(), Silences: c.silences(now),
	})
	// Sent entries count as received; a refusal, also after a lost message, moves next back.
	p.next += Index(len(entries))
}

// silences returns the members that have missed several heartbeats.
func (c *Core) silences(now time.Time) []Silence {
	var list []Silence
	for _, m := range c.members {
		if p := c.progress[m.ID]; p != nil && m.ID != c.id && now.Sub(p.lastHeard) > silentHeartbeats*c.timing.Heartbeat {
			list = append(list, Silence{ID: m.ID, For: now.Sub(p.lastHeard)})
		}
	}
	return list
}

func (c *Core) requestSnapshot(now time.Time, to MemberID, p *progress) {
	if now.Sub(p.snapshotRequestedAt) < c.timing.Election {
		return
	}
	p.snapshotRequestedAt = now
	c.snapshotRequests = append(c.snapshotRequests, to)
}

// TakeSnapshotRequests returns the members that need a snapshot from the driver, and clears the list.
func (c *Core) TakeSnapshotRequests() []MemberID {
	ids := c.snapshotRequests
	c.snapshotRequests = nil
	return ids
}

// SendSnapshot queues s for a member that needs compacted entries.
func (c *Core) SendSnapshot(to MemberID, s *Snapshot) {
	if c.role == RoleLeader {
		c.send(Message{Kind: MessageSnapshot, To: to, Snapshot: s, Round: c.round()})
	}
}

func (c *Core) entriesToSend(from Index) []Entry {
	all := c.slice(from, c.lastIndex())
	size := 0
	for i := range all {
		size += len(all[i].Data)
		if i >= maxEntriesPerMessage || i > 0 && size > maxBytesPerMessage {
			return all[:i]
		}
	}
	return all
}

func (c *Core) stepAppend(now time.Time, m *Message) {
	c.followLeader(now, m)
	if !c.formed {
		c.send(Message{Kind: MessageAppendReply, To: m.From, Round: m.Round, Unformed: true})
		return
	}
	if m.LastIndex < c.snapshot.Index {
		// Everything up to this member's snapshot is committed and thus equal.
		c.replyToAppend(m, true, c.snapshot.Index)
		return
	}
	if m.LastIndex > c.lastIndex() || c.termAt(m.LastIndex) != m.LastTerm {
		c.replyToAppend(m, false, c.conflictHint(m))
		return
	}
	last := c.appendNew(m)
	c.commit = max(c.commit, min(m.Commit, last))
	if m.Commit > 0 && c.commit >= m.Commit {
		c.recordCurrentTermCommit()
	}
	c.replyToAppend(m, true, last)
}

// conflictHint skips a whole term of conflicting entries instead of one entry at a time.
func (c *Core) conflictHint(m *Message) Index {
	i := min(m.LastIndex, c.lastIndex())
	term := c.termAt(i)
	for i > c.commit && c.termAt(i) == term && term != m.LastTerm {
		i--
	}
	return i
}

func (c *Core) followLeader(now time.Time, m *Message) {
	c.lastContact = now
	c.role = RoleFollower
	c.leader = m.From
	c.recordSilences(now, m)
	c.transferring = false
	c.startupAttemptsLeft = 0
	c.resetElectionDeadline(now)
}

// recordSilences keeps what a new leader needs to know: without it each election would give a lost member more time.
func (c *Core) recordSilences(now time.Time, m *Message) {
	if len(m.Silences) == 0 && len(c.silentSince) == 0 {
		return
	}
	c.silentSince = make(map[MemberID]time.Time, len(m.Silences))
	for _, s := range m.Silences {
		c.silentSince[s.ID] = now.Add(-s.For)
	}
}

func (c *Core) replyToAppend(m *Message, granted bool, match Index) {
	c.send(Message{Kind: MessageAppendReply, To: m.From, Granted: granted, Match: match, Round: m.Round})
}

// appendNew appends the new entries, replacing a conflicting tail. It returns the last index known to equal the
// leader's log.
func (c *Core) appendNew(m *Message) Index {
	last := m.LastIndex
	for _, e := range m.Entries {
		last = e.Index
		if e.Index <= c.lastIndex() && c.termAt(e.Index) == e.Term {
			continue
		}
		c.append(e)
	}
	return last
}

// append adds e and removes any entries at its index and after.
func (c *Core) append(e Entry) {
	truncates := e.Index <= c.lastIndex()
	if truncates {
		// The driver may still read the old slice.
		c.entries = append([]Entry(nil), c.slice(c.snapshot.Index+1, e.Index-1)...)
		c.persisted = min(c.persisted, e.Index-1)
	}
	c.entries = append(c.entries, e)
	if c.firstUnsaved == 0 || e.Index < c.firstUnsaved {
		c.firstUnsaved = e.Index
	}
	if truncates || e.Kind == EntryMembers {
		c.updateMembers()
	}
}

func (c *Core) stepAppendReply(now time.Time, m *Message) {
	p := c.progress[m.From]
	if c.role != RoleLeader || p == nil {
		return
	}
	p.lastAck, p.lastHeard, p.leaving, p.commit = now, now, m.Leaving, m.Commit
	if sent := c.electedAt.Add(time.Duration(m.Round)); sent.After(p.ackedBroadcast) && !sent.After(c.lastBroadcast) {
		p.ackedBroadcast = sent
		c.extendLease()
	}
	switch {
	case m.Unformed:
		c.handleUnformed(now, m.From, p)
	case m.Granted:
		c.handleAck(now, m.From, p, m.Match)
	default:
		c.handleRefusal(now, m.From, p, m.Match)
	}
}

// handleRefusal moves back to the member's hint. A member that keeps refusing what it acknowledged as synced has an
// older or damaged folder; a single late reply proves nothing.
func (c *Core) handleRefusal(now time.Time, from MemberID, p *progress, hint Index) {
	if hint < p.match {
		c.recordRefusal(now, from, p)
		return
	}
	p.next = hint + 1
	if p.next > c.snapshot.Index {
		c.sendAppend(now, from)
		return
	}
	c.requestSnapshot(now, from, p)
}

func (c *Core) handleUnformed(now time.Time, to MemberID, p *progress) {
	if p.match == 0 {
		p.next = 1
		c.requestSnapshot(now, to, p)
		return
	}
	c.recordRefusal(now, to, p)
}

// recordRefusal expels a member that has refused, for the election time, what it had acknowledged.
func (c *Core) recordRefusal(now time.Time, id MemberID, p *progress) {
	if p.refusingSince.IsZero() {
		p.refusingSince = now
	}
	if now.Sub(p.refusingSince) >= c.timing.Election {
		p.lostData = true
		c.send(Message{Kind: MessageExpel, To: id})
	}
}

func (c *Core) handleAck(now time.Time, from MemberID, p *progress, match Index) {
	if match >= p.match {
		p.match = match
		p.refusingSince = time.Time{}
	}
	p.next = max(p.next, p.match+1)
	before := c.commit
	c.advanceCommit()
	c.promoteLearner(now)
	if c.commit > before {
		// Followers learn the new commit index at once instead of with the next heartbeat.
		c.broadcast(now)
		return
	}
	if p.next <= c.lastIndex() && p.match+1 == p.next {
		c.sendAppend(now, from)
	}
}

// extendLease extends the lease by the latest broadcast that a majority has answered.
func (c *Core) extendLease() {
	if c.transferring {
		return
	}
	var acked []time.Time
	for _, m := range c.members {
		if !m.Voter {
			continue
		}
		if m.ID == c.id {
			acked = append(acked, c.lastBroadcast)
			continue
		}
		acked = append(acked, c.progress[m.ID].ackedBroadcast)
	}
	latest := majorityTime(acked)
	if leaseEnd := latest.Add(c.timing.Lease); !latest.IsZero() && leaseEnd.After(c.leaseEnd) {
		c.leaseEnd = leaseEnd
	}
}

// majorityTime returns the latest time that a majority of times has reached.
func majorityTime(times []time.Time) time.Time {
	var best time.Time
	for _, t := range times {
		reached := 0
		for _, u := range times {
			if !u.Before(t) {
				reached++
			}
		}
		if reached > len(times)/2 && t.After(best) {
			best = t
		}
	}
	return best
}

func (c *Core) stepSnapshot(now time.Time, m *Message) {
	c.followLeader(now, m)
	s := m.Snapshot
	if s == nil {
		return
	}
	if c.formed && s.Index <= c.commit {
		c.replyToAppend(m, true, c.commit)
		return
	}
	c.formed = true
	c.snapshot = Snapshot{Index: s.Index, Term: s.Term, Members: s.Members}
	c.entries = nil
	c.firstUnsaved = 0
	c.commit, c.handedOut, c.persisted = s.Index, s.Index, s.Index
	c.install = s
	c.updateMembers()
	c.replyToAppend(m, true, s.Index)
}

// Compact drops entries up to index, which are in a synced snapshot of the driver, except for the last keep entries
// that slow members may need.
func (c *Core) Compact(index, keep Index) {
	if index <= c.snapshot.Index+keep || index > c.handedOut {
		return
	}
	base := index - keep
	members := c.membersAt(base)
	tail := append([]Entry(nil), c.slice(base+1, c.lastIndex())...)
	c.snapshot = Snapshot{Index: base, Term: c.termAt(base), Members: members}
	c.entries = tail
}

func (c *Core) lastIndex() Index {
	return c.snapshot.Index + Index(len(c.entries))
}

func (c *Core) termAt(i Index) Term {
	switch {
	case i == c.snapshot.Index:
		return c.snapshot.Term
	case i < c.snapshot.Index || i > c.lastIndex():
		return 0
	}
	return c.entries[i-c.snapshot.Index-1].Term
}

// slice returns the entries from first to last, inclusive.
func (c *Core) slice(first, last Index) []Entry {
	if last < first {
		return nil
	}
	return c.entries[first-c.snapshot.Index-1 : last-c.snapshot.Index]
}

// updateMembers applies the newest members in the log, committed or not, as Raft requires.
func (c *Core) updateMembers() {
	c.members = c.membersAt(c.lastIndex())
	c.membersIndex = c.snapshot.Index
	for i := len(c.entries) - 1; i >= 0; i-- {
		if c.entries[i].Kind == EntryMembers {
			c.membersIndex = c.entries[i].Index
			return
		}
	}
}

func (c *Core) membersAt(index Index) []Member {
	for i := index; i > c.snapshot.Index; i-- {
		e := &c.entries[i-c.snapshot.Index-1]
		if e.Kind != EntryMembers {
			continue
		}
		var members []Member
		if cbor.Unmarshal(e.Data, &members) == nil {
			return members
		}
	}
	return c.snapshot.Members
}
