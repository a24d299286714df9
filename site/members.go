package site

// Formation of the control quorum. At the first start of a site the seeds know each other's addresses from their
// settings: the seed with the lowest address asks all others for their IDs and makes them the first voters. Every other
// control daemon asks the leader to be added as a member, and so does a daemon whose folder is empty again. It becomes a
// learner at once and stays one until a vote is free, so that its promotion takes a single log entry.
//
// A voter is removed only after another member has been promoted in its place, so a majority of the voters always
// includes one that holds what was acknowledged. This way two of five folders may be lost at once. Only four voters become
// three without a replacement: both tolerate one loss.

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
	// minVoters is the number of voters that tolerates one loss, the fewest that are left when one is removed.
	minVoters = 3
	// replaceVoterAfter is how long a voter must be silent until a waiting daemon replaces it; a restart takes a
	// second.
	replaceVoterAfter = 2500 * time.Millisecond
	// joinRequestTTL is how long a request to join is remembered.
	joinRequestTTL = 2 * time.Second
	// joinAfterSilence is how long a daemon receives nothing from a leader's log before it asks to join.
	joinAfterSilence = 700 * time.Millisecond
	// maxLearners is the number of learners that are kept up to date: one for each voter.
	maxLearners = maxVoters
	// promotableWithin is how recently a learner must have answered to be promoted.
	promotableWithin = 500 * time.Millisecond
	// answerTime is how long a new leader waits for answers before it relies on the silence that its predecessor reported.
	answerTime = 500 * time.Millisecond
	// learnerTimeout is how long a learner may be silent before it is removed; stopping voters wait for it that long.
	learnerTimeout = replaceVoterAfter
	// publishInterval is the time in which the status comes to show a change of members; if it does not, the same change is
	// proposed once more.
	publishInterval = 20 * time.Millisecond
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
			if c.changeMembers(ctx, &status) {
				// The next step may follow at once: until a replaced voter is removed there are six.
				sleep(ctx, publishInterval)
				continue
			}
		case c.Settings.FirstStart && !c.quorumWorking(&status) && c.isFirstSeed():
			c.formQuorum(ctx, &status)
		case !c.stopping() && (clock.Since(status.LastContact) > joinAfterSilence || !isMember(&status, c.self)):
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

// changeMembers changes the members by one step if needed, and reports whether it has.
func (c *Control) changeMembers(ctx context.Context, status *quorum.Status) bool {
	members, reason := nextMembers(clock.Now(), status, c.currentJoinRequests(status))
	if members == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.node.ProposeMembers(ctx, members); err != nil {
		c.Log.Info("control members not changed yet", "why", reason, "error", result.Message(err))
		return false
	}
	c.Log.Info("control members changed", "why", reason, "members", members)
	return true
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
