package site

// The end of a control daemon as a member of the quorum: it passes its vote on to a learner before it stops.

import (
	"context"
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/quorum"
)

// passVoteInterval is how often a stopping daemon checks whether it still has its vote.
const passVoteInterval = 20 * time.Millisecond

// passVoteOn announces that this daemon stops and waits until another one has its vote. A daemon that ended with its vote
// would leave four votes of five until the others notice its silence, and two lost disks would then end the quorum for
// good. It returns at once if no daemon can take the vote.
func (c *Control) passVoteOn(ctx context.Context) {
	began := clock.Now()
	if !c.announceLeave(ctx) {
		return
	}
	for ctx.Err() == nil {
		status := c.node.Status()
		if !canPassVoteOn(&status, c.self) {
			c.Log.Info("nothing to wait for before the end", "voter", c.IsVoter(), "members", status.Members, "waited-ms", clock.Since(began).Milliseconds())
			return
		}
		// A leader can't remove itself. While all others are stopping, too, it goes on, so that learners get their votes.
		if hasStayingVoter(&status) {
			c.transferLeadership()
		}
		sleep(ctx, passVoteInterval)
	}
	c.Log.Info("vote not passed on within the stop grace", "waited-ms", clock.Since(began).Milliseconds())
}

// announceLeave reports whether the quorum's member goes on; one that waits for its disk can't pass anything on.
func (c *Control) announceLeave(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.node.Leave(ctx)
}

// announceFailure tells the leader that this daemon ends because it can't use its data folder, so that a waiting daemon gets
// its vote. Each restart would end the silence that the leader waits for, though the daemon may be unable to confirm anything.
func (c *Control) announceFailure(ctx context.Context) {
	status := c.node.Status()
	for _, m := range status.Members {
		if m.ID.Name == status.Leader && m.ID != c.self {
			c.links.send([]quorum.Message{{Kind: quorum.MessageLeave, From: c.self, To: m.ID, Term: status.Term}})
			sleep(ctx, c.Settings.Times.Heartbeat.Std())
			return
		}
	}
}

// hasStayingVoter reports whether a leader has a follower with a vote that is not stopping.
func hasStayingVoter(status *quorum.Status) bool {
	return slices.ContainsFunc(status.Followers, func(f quorum.Follower) bool {
		return !f.Leaving && slices.Contains(status.Members, quorum.Member{ID: f.ID, Voter: true})
	})
}

// canPassVoteOn reports whether self has a vote, or may still have it, that the leader will pass on: to a learner, or to
// nobody when the others are an odd number.
func canPassVoteOn(status *quorum.Status, self quorum.MemberID) bool {
	voters, learners, voter := 0, 0, false
	for _, m := range status.Members {
		switch {
		case m.Voter:
			voters++
			voter = voter || m.ID == self
		case m.ID != self:
			learners++
		}
	}
	if !voter {
		return isMember(status, self) && !status.MembersCommitted
	}
	return learners > 0 || mayLoseVote(voters)
}

// stopping reports whether a planned stop has begun.
func (c *Control) stopping() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}
