package site

// The decision on the next change of the control quorum's members, by what the leader knows of them.

import (
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/quorum"
)

// memberView is what the leader knows of one member.
type memberView struct {
	quorum.Member
	// silentFor is how long the member has not answered, zero for the leader itself. A member that is known to have lost
	// its log counts as silent for an hour.
	silentFor time.Duration
	caughtUp  bool
	// leaving is set once the member has announced that it stops, knowsMembers if it knows that the current members are
	// committed.
	leaving, knowsMembers bool
	// addressTaken is set if another folder uses the member's address, so that this one no longer exists.
	addressTaken bool
}

// promotable reports whether a learner can vote at once.
func (m *memberView) promotable() bool {
	return !m.Voter && m.caughtUp && !m.leaving && m.silentFor < promotableWithin
}

// nextMembers returns the members after the next step and the reason, or nil when no step is needed.
func nextMembers(now time.Time, status *quorum.Status, joining []quorum.MemberID) ([]quorum.Member, string) {
	views := memberViews(now, status, joining)
	voters, learners := countMembers(views)
	if mayLoseVote(voters) {
		if i := voterToRemove(views); i >= 0 {
			return withoutMember(status.Members, i), "a silent voter is not needed"
		}
		if i := leavingVoter(views); i >= 0 {
			return withVote(status.Members, i, false), "a stopping voter is not needed"
		}
	}
	if voters > maxVoters {
		if i := surplusVoter(now, status, views); i >= 0 {
			return withVote(status.Members, i, false), "there are more voters than wanted"
		}
		return withoutIdleLearner(status.Members, views)
	}
	if i, reason := learnerToPromote(views, voters); i >= 0 {
		return withVote(status.Members, i, true), reason
	}
	if members, reason := withoutIdleLearner(status.Members, views); members != nil {
		return members, reason
	}
	if len(joining) > 0 && learners < maxLearners {
		return withLearner(status.Members, joining[0]), "a daemon waits for a vote"
	}
	return nil, ""
}

// mayLoseVote reports whether there are more voters than wanted, or one fewer tolerates as many losses: a majority of four is
// three, one of three is two.
func mayLoseVote(voters int) bool {
	return voters > maxVoters || voters > minVoters && voters%2 == 0
}

// memberViews returns the members in the order of the status.
func memberViews(now time.Time, status *quorum.Status, joining []quorum.MemberID) []memberView {
	followers := map[quorum.MemberID]quorum.Follower{}
	for _, f := range status.Followers {
		followers[f.ID] = f
	}
	views := make([]memberView, 0, len(status.Members))
	for _, m := range status.Members {
		view := memberView{Member: m, addressTaken: addressTaken(status, m.ID, joining)}
		if f, ok := followers[m.ID]; ok {
			view.silentFor, view.caughtUp = silenceOf(now, status, &f), f.CaughtUp
			view.leaving, view.knowsMembers = f.Leaving, f.KnowsMembers
		}
		views = append(views, view)
	}
	return views
}

// silenceOf returns how long a member has not answered. What an earlier leader reported counts only once the member has had
// time to answer this one.
func silenceOf(now time.Time, status *quorum.Status, f *quorum.Follower) time.Duration {
	if f.LostData {
		return time.Hour
	}
	silentFor := now.Sub(f.LastHeard)
	if leading := now.Sub(status.ElectedAt); leading < answerTime {
		return min(silentFor, leading)
	}
	return silentFor
}

// countMembers returns how many voters there are, and how many learners that are not silent.
func countMembers(views []memberView) (voters, learners int) {
	for i := range views {
		switch {
		case views[i].Voter:
			voters++
		case views[i].silentFor <= replaceVoterAfter:
			learners++
		}
	}
	return voters, learners
}

// learnerToPromote returns the index of the learner that gets a vote now, and the reason, or -1.
func learnerToPromote(views []memberView, voters int) (int, string) {
	promotable := slices.IndexFunc(views, func(m memberView) bool { return m.promotable() })
	returned := slices.IndexFunc(views, func(m memberView) bool { return m.promotable() && replacesVoter(views, &m) })
	switch {
	case returned >= 0:
		return returned, "a voter returned with an empty folder"
	case promotable < 0:
		return -1, ""
	case voters < maxVoters:
		return promotable, "there are fewer voters than wanted"
	case slices.ContainsFunc(views, func(m memberView) bool { return m.Voter && m.silentFor > replaceVoterAfter }):
		return promotable, "a voter is silent"
	case leavingVoter(views) >= 0:
		return promotable, "a voter is stopping"
	}
	return -1, ""
}

// replacesVoter reports whether a learner has the address of a voter with another folder.
func replacesVoter(views []memberView, learner *memberView) bool {
	return slices.ContainsFunc(views, func(m memberView) bool {
		return m.Voter && m.ID.Name == learner.ID.Name && m.ID.Folder != learner.ID.Folder
	})
}

// voterToRemove returns the index of the voter to remove, or -1: one whose address another folder uses now, else the one
// that has been silent for the longest time.
func voterToRemove(views []memberView) int {
	candidate, longest := -1, replaceVoterAfter
	for i := range views {
		m := &views[i]
		if !m.Voter {
			continue
		}
		if m.addressTaken && m.silentFor > membershipInterval {
			return i
		}
		if m.silentFor > longest {
			candidate, longest = i, m.silentFor
		}
	}
	return candidate
}

// leavingVoter returns the index of a voter that has announced that it stops, or -1.
func leavingVoter(views []memberView) int {
	return slices.IndexFunc(views, func(m memberView) bool { return m.Voter && m.leaving })
}

// surplusVoter returns the index of the voter that was added last, if all voters answer, or -1. A voter that returned before
// its removal leaves six, of which a cut between halls can leave no majority on either side.
func surplusVoter(now time.Time, status *quorum.Status, views []memberView) int {
	if now.Sub(status.ElectedAt) < answerTime {
		return -1
	}
	last := -1
	for i := range views {
		m := &views[i]
		switch {
		case !m.Voter:
		case m.silentFor > promotableWithin || m.addressTaken:
			return -1
		case m.ID != status.ID:
			last = i
		}
	}
	return last
}

// withoutIdleLearner removes a learner that is silent or stops, and returns the reason, or nil if there is none. One that
// stops stays until it knows that it has no vote, since it waits for that.
func withoutIdleLearner(members []quorum.Member, views []memberView) ([]quorum.Member, string) {
	for i := range views {
		m := &views[i]
		switch {
		case m.Voter:
		case m.silentFor > learnerTimeout:
			return withoutMember(members, i), "a learner is silent"
		case m.leaving && (m.knowsMembers || m.silentFor > promotableWithin):
			return withoutMember(members, i), "a learner is stopping"
		}
	}
	return nil, ""
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
	return append(slices.Clone(members), quorum.Member{ID: id})
}

func withVote(members []quorum.Member, i int, voter bool) []quorum.Member {
	changed := slices.Clone(members)
	changed[i].Voter = voter
	return changed
}

func withoutMember(members []quorum.Member, i int) []quorum.Member {
	return slices.Delete(slices.Clone(members), i, i+1)
}
