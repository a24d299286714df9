package site

// How the control quorum finds itself. At the very first start the seeds know
// each other's addresses from their settings: the one with the lowest address
// asks all of them who they are and makes them the first voters. Every other
// control daemon asks the leader to be taken in, as does one whose folder is
// empty again; the log then brings it up to date before it gets a vote.
//
// A voter is removed only after another one has been promoted in its place, so
// a majority of the voters always includes someone who holds what was
// acknowledged. Two of five folders may be lost at once that way.

import (
	"context"
	"sort"
	"time"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/quorum"
	"github.com/dunlinquay/dunlinquay/result"
)

const (
	// memberInterval is how often membership is looked at.
	memberInterval = 150 * time.Millisecond
	// maxVoters is the number of voters that a site grows to: it survives two losses at once.
	maxVoters = 5
	// replaceAfter is how long a voter must be silent until a waiting daemon takes its place; a restart takes a second.
	replaceAfter = 2500 * time.Millisecond
	// strangerFor is how long a daemon that asked to be taken in is remembered.
	strangerFor = 2 * time.Second
	// joinAfter is how long a daemon hears no leader's log before it asks to be taken in.
	joinAfter = 700 * time.Millisecond
	// learnerFor is how long a learner may be silent before it is dropped.
	learnerFor = 10 * time.Second
)

func (c *Control) memberLoop(ctx context.Context) {
	select {
	case <-c.node.Ready():
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		s := c.node.Status()
		switch {
		case s.Expelled:
			c.fatal(result.New(result.NotAdmitted, "this data folder lost what it had synced; empty it"))
			return
		case s.Role == quorum.RoleLeader:
			c.admit(ctx, &s)
		case c.Settings.FirstStart && !c.working(&s) && c.isFirstSeed():
			c.form(ctx, &s)
		case clock.Since(s.LastContact) > joinAfter || !isMember(&s, c.self):
			c.askToJoin()
		}
		pause(ctx, memberInterval)
	}
}

// working reports whether the quorum has formed as far as this daemon knows.
func (c *Control) working(s *quorum.Status) bool {
	return s.Formed && (s.Commit > 0 || s.Leader != "")
}

// Voters returns how many members the control quorum has, as this daemon knows it.
func (c *Control) Voters() int {
	n := 0
	for _, m := range c.node.Status().Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// IsVoter reports whether this daemon has a vote, as it knows itself.
func (c *Control) IsVoter() bool {
	for _, m := range c.node.Status().Members {
		if m.ID == c.self {
			return m.Voter
		}
	}
	return false
}

func isMember(s *quorum.Status, id quorum.MemberID) bool {
	for _, m := range s.Members {
		if m.ID == id {
			return true
		}
	}
	return false
}

// isFirstSeed reports whether this daemon has the lowest address of the seeds.
func (c *Control) isFirstSeed() bool {
	seeds := c.Settings.SeedPeers()
	sort.Strings(seeds)
	return len(seeds) > 0 && seeds[0] == string(c.self.Name)
}

// form makes the seeds the first voters, once in the life of a site, when all of them answer that they were never formed.
func (c *Control) form(ctx context.Context, s *quorum.Status) {
	members := []quorum.Member{{ID: c.self, Voter: true}}
	for _, address := range c.Settings.SeedPeers() {
		if address == string(c.self.Name) {
			continue
		}
		reply, err := c.peers.hello(address)
		if err != nil || reply.Formed && !s.Formed {
			return
		}
		members = append(members, quorum.Member{ID: reply.ID, Voter: true})
	}
	if !s.Formed {
		c.node.Form(ctx, members)
		c.Log.Info("control quorum formed", "members", members)
	} else {
		members = s.Members
	}
	// A message may be lost, so the first members are told again until the log works.
	for _, m := range members {
		if m.ID != c.self {
			c.peers.send([]quorum.Message{{
				Kind: quorum.MessageForm, From: c.self, To: m.ID, Snapshot: &quorum.Snapshot{Members: members},
			}})
		}
	}
}

// askToJoin asks the leader to take this daemon in.
func (c *Control) askToJoin() {
	address := c.leader()
	if address == "" || address == string(c.self.Name) {
		return
	}
	reply, err := c.peers.join(address, &JoinCall{ID: c.self})
	if err != nil || !reply.Leads {
		c.directory.forgetLeader(address)
	}
}

func (c *Control) hello() HelloReply {
	return HelloReply{ID: c.self, Formed: c.node.Status().Formed, Leader: c.leader(), Controls: c.controls()}
}

func (c *Control) join(call *JoinCall) JoinReply {
	s := c.node.Status()
	leads := s.Role == quorum.RoleLeader
	if leads && !isMember(&s, call.ID) {
		c.mu.Lock()
		c.strangers[call.ID] = clock.Now()
		c.mu.Unlock()
	}
	return JoinReply{Leads: leads, Leader: c.leader()}
}

// admit changes the members by one step when something calls for it.
func (c *Control) admit(ctx context.Context, s *quorum.Status) {
	members, why := nextMembers(clock.Now(), s, c.freshStrangers(s))
	if members == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.node.ProposeMembers(ctx, members); err != nil {
		c.Log.Info("control members not changed yet", "why", why, "error", result.Message(err))
		return
	}
	c.Log.Info("control members changed", "why", why, "members", members)
}

func (c *Control) freshStrangers(s *quorum.Status) []quorum.MemberID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []quorum.MemberID
	for id, at := range c.strangers {
		if clock.Since(at) > strangerFor || isMember(s, id) {
			delete(c.strangers, id)
			continue
		}
		list = append(list, id)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// nextMembers returns the members after the next step and why, or nil when nothing is to be done. A learner gets its vote
// from the log itself, once it has caught up.
func nextMembers(now time.Time, s *quorum.Status, strangers []quorum.MemberID) ([]quorum.Member, string) {
	silent := silences(now, s)
	voters := 0
	learners := 0
	for _, m := range s.Members {
		if m.Voter {
			voters++
		} else {
			learners++
		}
	}
	if voters > maxVoters {
		if id, ok := longestSilent(s, silent, strangers); ok {
			return without(s.Members, id), "a voter that is silent has been replaced"
		}
	}
	for _, m := range s.Members {
		if !m.Voter && silent[m.ID] > learnerFor {
			return without(s.Members, m.ID), "a learner is silent"
		}
	}
	if learners > 0 {
		return nil, ""
	}
	for _, id := range strangers {
		switch {
		case replaces(s, id):
			return with(s.Members, id), "a voter came back with an empty folder"
		case voters < maxVoters:
			return with(s.Members, id), "there are few voters"
		case anySilent(s, silent):
			return with(s.Members, id), "a voter is silent"
		}
	}
	return nil, ""
}

// silences returns how long each follower has not answered; one that was proved to have lost its log counts as silent for long.
func silences(now time.Time, s *quorum.Status) map[quorum.MemberID]time.Duration {
	list := map[quorum.MemberID]time.Duration{}
	for _, f := range s.Followers {
		list[f.ID] = now.Sub(f.LastAck)
		if f.LostData {
			list[f.ID] = time.Hour
		}
	}
	return list
}

// replaces reports whether id has the address of a voter with another folder, which is then gone.
func replaces(s *quorum.Status, id quorum.MemberID) bool {
	for _, m := range s.Members {
		if m.Voter && m.ID.Name == id.Name && m.ID.Folder != id.Folder {
			return true
		}
	}
	return false
}

func anySilent(s *quorum.Status, silent map[quorum.MemberID]time.Duration) bool {
	for _, m := range s.Members {
		if m.Voter && silent[m.ID] > replaceAfter {
			return true
		}
	}
	return false
}

// longestSilent returns the voter to remove: one whose address has another member now, or else the one silent for longest.
func longestSilent(s *quorum.Status, silent map[quorum.MemberID]time.Duration, strangers []quorum.MemberID) (quorum.MemberID, bool) {
	var best quorum.MemberID
	longest := replaceAfter
	for _, m := range s.Members {
		if !m.Voter {
			continue
		}
		if silent[m.ID] > memberInterval && addressTaken(s, m.ID, strangers) {
			return m.ID, true
		}
		if silent[m.ID] > longest {
			best, longest = m.ID, silent[m.ID]
		}
	}
	return best, longest > replaceAfter
}

func addressTaken(s *quorum.Status, id quorum.MemberID, strangers []quorum.MemberID) bool {
	for _, m := range s.Members {
		if m.ID.Name == id.Name && m.ID.Folder != id.Folder {
			return true
		}
	}
	for _, other := range strangers {
		if other.Name == id.Name && other.Folder != id.Folder {
			return true
		}
	}
	return false
}

func with(members []quorum.Member, id quorum.MemberID) []quorum.Member {
	return append(append([]quorum.Member(nil), members...), quorum.Member{ID: id})
}

func without(members []quorum.Member, id quorum.MemberID) []quorum.Member {
	var rest []quorum.Member
	for _, m := range members {
		if m.ID != id {
			rest = append(rest, m)
		}
	}
	return rest
}
