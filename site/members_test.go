package site_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quorum"
	"github.com/dunlinquay/dunlinquay/site"
)

func id(name, folder string) quorum.MemberID {
	return quorum.MemberID{Name: ident.Daemon(name), Folder: quorum.FolderID(folder)}
}

// status describes a leader "a1" with its members: "b1-" is silent for a minute, "b1~" for a second, "b1?" is a
// learner that has caught up, "b1%" one that has not, "b1!" has lost its log, "b1>" is stopping, and "b1>&" knows that the
// members are committed, too.
func status(now time.Time, members ...string) *quorum.Status {
	s := &quorum.Status{ID: id("a", "1"), Role: quorum.RoleLeader}
	for _, m := range members {
		member := quorum.Member{ID: id(m[:1], m[1:2]), Voter: true}
		follower := quorum.Follower{ID: member.ID, LastHeard: now, CaughtUp: true}
		for _, mark := range m[2:] {
			switch mark {
			case '-':
				follower.LastHeard = now.Add(-time.Minute)
			case '~':
				follower.LastHeard = now.Add(-time.Second)
			case '?':
				member.Voter = false
			case '%':
				member.Voter, follower.CaughtUp = false, false
			case '!':
				follower.LostData = true
			case '>':
				follower.Leaving = true
			case '&':
				follower.KnowsMembers = true
			}
		}
		s.Members = append(s.Members, member)
		if member.ID != s.ID {
			s.Followers = append(s.Followers, follower)
		}
	}
	return s
}

func textOf(members []quorum.Member) []string {
	var list []string
	for _, m := range members {
		member := string(m.ID.Name) + string(m.ID.Folder)
		if !m.Voter {
			member += "?"
		}
		list = append(list, member)
	}
	return list
}

func TestNextMembers(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name    string
		members []string
		joining []string
		want    []string
	}{
		{"no step needed", []string{"a1", "b1", "c1"}, nil, nil},
		{"grow", []string{"a1", "b1", "c1"}, []string{"d1"}, []string{"a1", "b1", "c1", "d1?"}},
		{"a learner that has caught up gets a free vote", []string{"a1", "b1", "c1", "d1?"}, []string{"e1"}, []string{"a1", "b1", "c1", "d1"}},
		{"a learner that has not caught up gets none", []string{"a1", "b1", "c1", "d1%"}, nil, nil},
		{"a learner that is silent for a second gets none", []string{"a1", "b1", "c1", "d1?~"}, nil, nil},
		{"another daemon becomes a learner meanwhile", []string{"a1", "b1", "c1", "d1%"}, []string{"e1"}, []string{"a1", "b1", "c1", "d1?", "e1?"}},
		{"full, the waiting daemon becomes a learner", []string{"a1", "b1", "c1", "d1", "e1"}, []string{"f1"}, []string{"a1", "b1", "c1", "d1", "e1", "f1?"}},
		{"full, no step needed", []string{"a1", "b1", "c1", "d1", "e1", "f1?"}, nil, nil},
		{"five learners at most", []string{"a1", "b1", "c1", "d1", "e1", "f1?", "g1?", "h1?", "i1?", "j1?"}, []string{"k1"}, nil},
		{"silent learners leave room", []string{"a1", "b1", "c1", "d1", "e1", "f1?-", "g1?", "h1?", "i1?", "j1?"}, []string{"k1"},
			[]string{"a1", "b1", "c1", "d1", "e1", "g1?", "h1?", "i1?", "j1?"}},
		{"a short silence", []string{"a1", "b1~", "c1", "d1", "e1", "f1?"}, nil, nil},
		{"a silent voter and a learner", []string{"a1", "b1-", "c1", "d1", "e1", "f1?"}, nil, []string{"a1", "b1", "c1", "d1", "e1", "f1"}},
		{"a silent voter, a silent learner and another one", []string{"a1", "b1-", "c1", "d1", "e1", "f1?~", "g1?"}, nil, []string{"a1", "b1", "c1", "d1", "e1", "f1?", "g1"}},
		{"a silent voter and a waiting daemon", []string{"a1", "b1-", "c1", "d1", "e1"}, []string{"f1"}, []string{"a1", "b1", "c1", "d1", "e1", "f1?"}},
		{"a silent voter and no waiting daemon", []string{"a1", "b1-", "c1", "d1", "e1"}, nil, nil},
		{"the new member votes, the silent one is removed", []string{"a1", "b1-", "c1", "d1", "e1", "f1"}, nil, []string{"a1", "c1", "d1", "e1", "f1"}},
		{"one voter too many, none silent", []string{"a1", "b1", "c1", "d1", "e1", "f1"}, nil, []string{"a1", "b1", "c1", "d1", "e1", "f1?"}},
		{"one voter too many, one may be silent", []string{"a1", "b1", "c1~", "d1", "e1", "f1"}, nil, nil},
		{"one voter too many, an empty folder waits at the address of one", []string{"a1", "b1", "c1", "d1", "e1", "f1"}, []string{"c2"}, nil},
		{"never fewer than five", []string{"a1", "b1-", "c1-", "d1", "e1"}, nil, nil},
		{"an empty folder at a voter's address", []string{"a1", "b1~", "c1", "d1", "e1"}, []string{"b2"}, []string{"a1", "b1", "c1", "d1", "e1", "b2?"}},
		{"it goes before a learner that waits longer", []string{"a1", "b1~", "c1", "d1", "e1", "f1?", "b2?"}, nil, []string{"a1", "b1", "c1", "d1", "e1", "f1?", "b2"}},
		{"its old folder is removed once it votes", []string{"a1", "b1~", "c1", "d1", "e1", "b2"}, nil, []string{"a1", "c1", "d1", "e1", "b2"}},
		{"two empty folders, the first", []string{"a1", "b1-", "c1-", "d1", "e1"}, []string{"b2", "c2"}, []string{"a1", "b1", "c1", "d1", "e1", "b2?"}},
		{"two empty folders, the first votes", []string{"a1", "b1-", "c1-", "d1", "e1", "b2"}, []string{"c2"}, []string{"a1", "c1", "d1", "e1", "b2"}},
		{"a folder that lost its log", []string{"a1", "b1!", "c1", "d1", "e1"}, []string{"f1"}, []string{"a1", "b1", "c1", "d1", "e1", "f1?"}},
		{"four voters, one silent", []string{"a1", "b1-", "c1", "d1"}, nil, []string{"a1", "c1", "d1"}},
		{"three voters, one silent", []string{"a1", "b1-", "c1"}, nil, nil},
		{"three voters, an empty folder votes", []string{"a1", "b1~", "c1", "b2"}, nil, []string{"a1", "c1", "b2"}},
		{"a stopping voter and no learner", []string{"a1", "b1>", "c1", "d1", "e1"}, nil, nil},
		{"a stopping voter and a learner", []string{"a1", "b1>", "c1", "d1", "e1", "f1?"}, nil, []string{"a1", "b1", "c1", "d1", "e1", "f1"}},
		{"a stopping voter and a stopping learner", []string{"a1", "b1>", "c1", "d1", "e1", "f1?>"}, nil, nil},
		{"a stopping learner that knows the members", []string{"a1", "b1>", "c1", "d1", "e1", "f1?>&"}, nil, []string{"a1", "b1", "c1", "d1", "e1"}},
		{"a stopping learner that has ended", []string{"a1", "b1", "c1", "d1", "e1", "f1?>~"}, nil, []string{"a1", "b1", "c1", "d1", "e1"}},
		{"the stopping voter loses its vote once it is replaced", []string{"a1", "b1>", "c1", "d1", "e1", "f1"}, nil, []string{"a1", "b1?", "c1", "d1", "e1", "f1"}},
		{"a silent voter goes before a stopping one", []string{"a1", "b1>", "c1-", "d1", "e1", "f1"}, nil, []string{"a1", "b1", "d1", "e1", "f1"}},
		{"two stopping voters, one learner", []string{"a1", "b1>", "c1>", "d1", "e1", "f1?"}, nil, []string{"a1", "b1", "c1", "d1", "e1", "f1"}},
		{"two stopping voters, one replaced", []string{"a1", "b1?>&", "c1>", "d1", "e1", "f1"}, nil, []string{"a1", "c1", "d1", "e1", "f1"}},
		{"three voters, one stopping", []string{"a1", "b1>", "c1"}, nil, nil},
		{"four voters, one stopping", []string{"a1", "b1>", "c1", "d1"}, nil, []string{"a1", "b1?", "c1", "d1"}},
		{"an empty folder returns while a voter is stopping", []string{"a1", "b1>", "c1~", "d1", "e1", "f1?", "c2?"}, nil, []string{"a1", "b1", "c1", "d1", "e1", "f1?", "c2"}},
		{"it replaces its old folder first", []string{"a1", "b1>", "c1~", "d1", "e1", "f1?", "c2"}, nil, []string{"a1", "b1", "d1", "e1", "f1?", "c2"}},
		{"a silent learner", []string{"a1", "b1", "c1", "d1?-"}, nil, []string{"a1", "b1", "c1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var joining []quorum.MemberID
			for _, s := range c.joining {
				joining = append(joining, id(s[:1], s[1:2]))
			}
			got, _ := site.NextMembers(now, status(now, c.members...), joining)
			if diff := cmp.Diff(c.want, textOf(got)); diff != "" {
				t.Errorf("members (-want +got):\n%s", diff)
			}
		})
	}
}

// The silence that an earlier leader reported counts once the voter has had time to answer the new leader.
func TestSilenceUnderEarlierLeader(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		leading time.Duration
		want    []string
	}{
		{200 * time.Millisecond, nil},
		{time.Second, []string{"a1", "b1", "c1", "d1", "e1", "f1"}},
	} {
		s := status(now, "a1", "b1-", "c1", "d1", "e1", "f1?")
		s.ElectedAt = now.Add(-c.leading)
		got, _ := site.NextMembers(now, s, nil)
		if diff := cmp.Diff(c.want, textOf(got)); diff != "" {
			t.Errorf("leading for %v (-want +got):\n%s", c.leading, diff)
		}
	}
}

// Over random losses and stops, a step changes one voter at most, leaves fewer voters than before only if there are more
// than five, or four, of which three tolerate as many losses, and never makes more than six: a majority of the old voters
// and one of the new ones always share a member.
func TestMembershipStepsOverlap(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	marks := []string{"", "", "~", "-", "!", "?", "%", "?~", "%-", ">", ">~", "?>", "?>&"}
	for range 20000 {
		n := 3 + random.IntN(6)
		var members, joining []string
		for i := range n {
			m := fmt.Sprintf("%c%d", 'a'+i, 1)
			if i > 0 {
				m += marks[random.IntN(len(marks))]
			}
			members = append(members, m)
		}
		for range random.IntN(3) {
			joining = append(joining, fmt.Sprintf("%c%d", 'b'+random.IntN(8), 2+random.IntN(2)))
		}
		var ids []quorum.MemberID
		for _, s := range joining {
			ids = append(ids, id(s[:1], s[1:]))
		}
		s := status(now, members...)
		got, reason := site.NextMembers(now, s, ids)
		if got == nil {
			continue
		}
		before, after := voters(s.Members), voters(got)
		if after < before && before <= 5 && before != 4 || after < before-1 || after > before+1 || after > max(before, 6) || changedVoters(s.Members, got) > 1 {
			t.Fatalf("%v with %v waiting becomes %v: %s", members, joining, textOf(got), reason)
		}
		if len(got) > 0 && got[0] != s.Members[0] {
			t.Fatalf("%v: the leader removes itself", members)
		}
	}
}

// changedVoters returns how many voters only one of two lists has.
func changedVoters(a, b []quorum.Member) int {
	votes := map[quorum.MemberID]int{}
	for _, m := range a {
		if m.Voter {
			votes[m.ID]++
		}
	}
	for _, m := range b {
		if m.Voter {
			votes[m.ID]--
		}
	}
	changed := 0
	for _, n := range votes {
		if n != 0 {
			changed++
		}
	}
	return changed
}

func voters(members []quorum.Member) int {
	n := 0
	for _, m := range members {
		if m.Voter {
			n++
		}
	}
	return n
}
