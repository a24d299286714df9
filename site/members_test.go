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
// learner, and "b1!" has lost its log.
func status(now time.Time, members ...string) *quorum.Status {
	s := &quorum.Status{ID: id("a", "1"), Role: quorum.RoleLeader}
	for _, m := range members {
		member := quorum.Member{ID: id(m[:1], m[1:2]), Voter: true}
		follower := quorum.Follower{ID: member.ID, LastAck: now}
		for _, mark := range m[2:] {
			switch mark {
			case '-':
				follower.LastAck = now.Add(-time.Minute)
			case '~':
				follower.LastAck = now.Add(-time.Second)
			case '?':
				member.Voter = false
			case '!':
				follower.LostData = true
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
		{"one at a time", []string{"a1", "b1", "c1", "d1?"}, []string{"e1"}, nil},
		{"full", []string{"a1", "b1", "c1", "d1", "e1"}, []string{"f1"}, nil},
		{"a short silence", []string{"a1", "b1~", "c1", "d1", "e1"}, []string{"f1"}, nil},
		{"a silent voter and a waiting daemon", []string{"a1", "b1-", "c1", "d1", "e1"}, []string{"f1"}, []string{"a1", "b1", "c1", "d1", "e1", "f1?"}},
		{"a silent voter and no waiting daemon", []string{"a1", "b1-", "c1", "d1", "e1"}, nil, nil},
		{"the new member votes, the silent one is removed", []string{"a1", "b1-", "c1", "d1", "e1", "f1"}, nil, []string{"a1", "c1", "d1", "e1", "f1"}},
		{"one voter too many, none silent", []string{"a1", "b1", "c1", "d1", "e1", "f1"}, nil, nil},
		{"never fewer than five", []string{"a1", "b1-", "c1-", "d1", "e1"}, nil, nil},
		{"an empty folder at a voter's address", []string{"a1", "b1~", "c1", "d1", "e1"}, []string{"b2"}, []string{"a1", "b1", "c1", "d1", "e1", "b2?"}},
		{"its old folder is removed once it votes", []string{"a1", "b1~", "c1", "d1", "e1", "b2"}, nil, []string{"a1", "c1", "d1", "e1", "b2"}},
		{"two empty folders, the first", []string{"a1", "b1-", "c1-", "d1", "e1"}, []string{"b2", "c2"}, []string{"a1", "b1", "c1", "d1", "e1", "b2?"}},
		{"two empty folders, the first votes", []string{"a1", "b1-", "c1-", "d1", "e1", "b2"}, []string{"c2"}, []string{"a1", "c1", "d1", "e1", "b2"}},
		{"a folder that lost its log", []string{"a1", "b1!", "c1", "d1", "e1"}, []string{"f1"}, []string{"a1", "b1", "c1", "d1", "e1", "f1?"}},
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

// Over random losses, a step changes one voter at most and never leaves fewer voters than before unless there are more
// than five: a majority of the old voters and one of the new ones always share a member.
func TestMembershipStepsOverlap(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	marks := []string{"", "", "~", "-", "!"}
	for range 20000 {
		n := 3 + random.IntN(4)
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
		if before, after := voters(s.Members), voters(got); after < before && before <= 5 || after < before-1 || after > before {
			t.Fatalf("%v with %v waiting becomes %v: %s", members, joining, textOf(got), reason)
		}
		if len(got) > 0 && got[0].ID != s.ID {
			t.Fatalf("%v: the leader removes itself", members)
		}
	}
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
