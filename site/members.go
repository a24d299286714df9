package site

// Formation of the control quorum. At the first start of a site the seeds know each other's addresses from their
// settings: the seed with the lowest address asks all others for their IDs and makes them the first voters. Every other
// control daemon asks the leader to be added as a member, and so does a daemon whose folder is empty again; the log
// brings the new member up to date before it gets a vote.
//
// A voter is removed only after another member has been promoted in its place, so a majority of the voters always
// includes one that holds what was acknowledged. This way two of five folders may be lost at once.

import (
	"context"
	"sort"
	"time"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/quorum"
	"github.com/dunlinquay/dunlinquay/result"
)

const (
	// membershipInterval is how often membership is checked.
	membershipInterval = 150 * time.Millisecond
	// maxVoters is the number of voters that a site grows to: with five it survives two losses at once.
	maxVoters = 5
	// replaceVoterAfter is how long a voter must be silent until a waiting daemon replaces it; a restart takes a
	// second.
	replaceVoterAfter = 2500 * time.Millisecond
	// joinRequestTTL is how long a request to join is remembered.
	joinRequestTTL = 2 * time.Second
	// joinAfterSilence is how long a daemon receives nothing from a leader's log before it asks to join.
	joinAfterSilence = 700 * time.Millisecond
	// learnerTimeout is how long a learner may be silent before it is removed.
	learnerTimeout = 10 * time.Second
)

func (c *Control) memberLoop(ctx context.Context) {
	select {
	case <-c.node.Ready():
	case <-ctx.Done():
		return
	}
	for ctx.Err() == nil {
		status := c.node.Status()
		switch {
		case status.Expelled:
			c.fatal(result.New(result.NotAdmitted, "this data folder lost data that it had synced to disk; empty the folder"))
			return
		case status.Role == quorum.RoleLeader:
			c.changeMembers(ctx, &status)
		case c.Settings.FirstStart && !c.quorumWorking(&status) && c.isFirstSeed():
			c.formQuorum(ctx, &status)
		case clock.Since(status.LastContact) > joinAfterSilence || !isMember(&status, c.self):
			c.requestJoin()
		}
		sleep(ctx, membershipInterval)
	}
}

// quorumWorking reports whether the quorum has formed, as far as this daemon knows.
func (c *Control) quorumWorking(status *quorum.Status) bool {
	return status.Formed && (status.Commit > 0 || status.Leader != "")
}

// Voters returns how many voters the control quorum has, as far as this daemon knows.
func (c *Control) Voters() int {
	n := 0
	for _, m := range c.node.Status().Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// IsVoter reports whether this daemon has a vote, as far as it knows.
func (c *Control) IsVoter() bool {
	for _, m := range c.node.Status().Members {
		if m.ID == c.self {
			return m.Voter
		}
	}
	return false
}

func isMember(status *quorum.Status, id quorum.MemberID) bool {
	for _, m := range status.Members {
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

// formQuorum makes the seeds the first voters, once in the lifetime of a site, if all of them answer that they belong
// to no quorum yet.
func (c *Control) formQuorum(ctx context.Context, status *quorum.Status) {
	members := []quorum.Member{{ID: c.self, Voter: true}}
	for _, address := range c.Settings.SeedPeers() {
		if address == string(c.self.Name) {
			continue
		}
		reply, err := c.links.hello(address)
		if err != nil || reply.Formed && !status.Formed {
			return
		}
		members = append(members, quorum.Member{ID: reply.ID, Voter: true})
	}
	if !status.Formed {
		c.node.Form(ctx, members)
		c.Log.Info("control quorum formed", "members", members)
	} else {
		members = status.Members
	}
	// A message may be lost, so this is repeated until the log works.
	for _, m := range members {
		if m.ID != c.self {
			c.links.send([]quorum.Message{{
				Kind: quorum.MessageForm, From: c.self, To: m.ID, Snapshot: &quorum.Snapshot{Members: members},
			}})
		}
	}
}

// requestJoin asks the leader to add this daemon as a member.
func (c *Control) requestJoin() {
	address := c.leader()
	if address == "" || address == string(c.self.Name) {
		return
	}
	reply, err := c.links.join(address, &JoinCall{ID: c.self})
	if err != nil || !reply.Leads {
		c.directory.forgetLeader(address)
	}
}

func (c *Control) hello() HelloReply {
	return HelloReply{ID: c.self, Formed: c.node.Status().Formed, Leader: c.leader(), Controls: c.controls()}
}

func (c *Control) join(call *JoinCall) JoinReply {
	status := c.node.Status()
	leads := status.Role == quorum.RoleLeader
	if leads && !isMember(&status, call.ID) {
		c.mu.Lock()
		c.joinRequests[call.ID] = clock.Now()
		c.mu.Unlock()
	}
	return JoinReply{Leads: leads, Leader: c.leader()}
}

// changeMembers changes the members by one step if needed.
func (c *Control) changeMembers(ctx context.Context, status *quorum.Status) {
	members, reason := nextMembers(clock.Now(), status, c.currentJoinRequests(status))
	if members == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.node.ProposeMembers(ctx, members); err != nil {
		c.Log.Info("control members not changed yet", "why", reason, "error", result.Message(err))
		return
	}
	c.Log.Info("control members changed", "why", reason, "members", members)
}

func (c *Control) currentJoinRequests(status *quorum.Status) []quorum.MemberID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []quorum.MemberID
	for id, requestedAt := range c.joinRequests {
		if clock.Since(requestedAt) > joinRequestTTL || isMember(status, id) {
			delete(c.joinRequests, id)
			continue
		}
		list = append(list, id)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// nextMembers returns the members after the next step and the reason, or nil when no step is needed. The log promotes a
// learner by itself once the learner has caught up.
func nextMembers(now time.Time, status *quorum.Status, joining []quorum.MemberID) ([]quorum.Member, string) {
	silentFor := silenceByMember(now, status)
	voters := 0
	learners := 0
	for _, m := range status.Members {
		if m.Voter {
			voters++
		} else {
			learners++
		}
	}
	if voters > maxVoters {
		if id, ok := voterToRemove(status, silentFor, joining); ok {
			return withoutMember(status.Members, id), "a silent voter has been replaced"
		}
	}
	for _, m := range status.Members {
		if !m.Voter && silentFor[m.ID] > learnerTimeout {
			return withoutMember(status.Members, m.ID), "a learner is silent"
		}
	}
	if learners > 0 {
		return nil, ""
	}
	for _, id := range joining {
		switch {
		case replacesVoter(status, id):
			return withLearner(status.Members, id), "a voter returned with an empty folder"
		case voters < maxVoters:
			return withLearner(status.Members, id), "there are fewer voters than wanted"
		case anySilentVoter(status, silentFor):
			return withLearner(status.Members, id), "a voter is silent"
		}
	}
	return nil, ""
}

// silenceByMember returns how long each follower has not answered; one that is known to have lost its log counts as
// silent for an hour.
func silenceByMember(now time.Time, status *quorum.Status) map[quorum.MemberID]time.Duration {
	list := map[quorum.MemberID]time.Duration{}
	for _, f := range status.Followers {
		list[f.ID] = now.Sub(f.LastAck)
		if f.LostData {
			list[f.ID] = time.Hour
		}
	}
	return list
}

// replacesVoter reports whether id has the address of a voter with another folder; that voter no longer exists.
func replacesVoter(status *quorum.Status, id quorum.MemberID) bool {
	for _, m := range status.Members {
		if m.Voter && m.ID.Name == id.Name && m.ID.Folder != id.Folder {
			return true
		}
	}
	return false
}

func anySilentVoter(status *quorum.Status, silentFor map[quorum.MemberID]time.Duration) bool {
	for _, m := range status.Members {
		if m.Voter && silentFor[m.ID] > replaceVoterAfter {
			return true
		}
	}
	return false
}

// voterToRemove returns the voter to remove: one whose address another member uses now, else the one that has been
// silent for the longest time.
func voterToRemove(status *quorum.Status, silentFor map[quorum.MemberID]time.Duration, joining []quorum.MemberID) (quorum.MemberID, bool) {
	var candidate quorum.MemberID
	longest := replaceVoterAfter
	for _, m := range status.Members {
		if !m.Voter {
			continue
		}
		if silentFor[m.ID] > membershipInterval && addressTaken(status, m.ID, joining) {
			return m.ID, true
		}
		if silentFor[m.ID] > longest {
			candidate, longest = m.ID, silentFor[m.ID]
		}
	}
	return candidate, longest > replaceVoterAfter
}

func addressTaken(status *quorum.Status, id quorum.MemberID, joining []quorum.MemberID) bool {
	for _, m := range status.Members {
		if m.ID.Name == id.Name && m.ID.Folder != id.Folder {
			return true
		}
	}
	for _, other := range joining {
		if other.Name == id.Name && other.Folder != id.Folder {
			return true
		}
	}
	return false
}

func withLearner(members []quorum.Member, id quorum.MemberID) []quorum.Member {
	return append(append([]quorum.Member(nil), members...), quorum.Member{ID: id})
}

func withoutMember(members []quorum.Member, id quorum.MemberID) []quorum.Member {
	var rest []quorum.Member
	for _, m := range members {
		if m.ID != id {
			rest = append(rest, m)
		}
	}
	return rest
}
