package sharing_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/sharing"
)

func entryNames(n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("10.1.%d.%d:7400", i/200, i%200))
	}
	return names
}

func testGroups(n int) []sharing.Group {
	var groups []sharing.Group
	for i := range n {
		groups = append(groups, sharing.Group{Name: ident.Group(fmt.Sprintf("g%d", i*7919))})
	}
	return groups
}

// usersByGroup returns the groups with their users, for an entry of another hall.
func usersByGroup(entries []string, groups []sharing.Group) []sharing.Group {
	sharing.New("elsewhere", map[ident.Hall][]string{"hall": entries}).AssignUsers("hall", groups)
	return groups
}

// For any numbers of entries and groups in a hall, all entries use the same number of groups, and no group has no users or more than four times
// as many as another.
func TestUsers(t *testing.T) {
	for _, c := range []struct{ entries, groups, uses int }{
		{59, 5, 4}, {59, 11, 4}, {59, 3, 3}, {1, 20, 20}, {10, 20, 20}, {24, 20, 10}, {300, 80, 4}, {34, 60, 22},
	} {
		t.Run(fmt.Sprintf("%d entries, %d groups", c.entries, c.groups), func(t *testing.T) {
			uses := map[string]int{}
			minUsers, maxUsers := c.entries, 0
			for _, g := range usersByGroup(entryNames(c.entries), testGroups(c.groups)) {
				for _, user := range g.Users {
					uses[user]++
				}
				minUsers, maxUsers = min(minUsers, len(g.Users)), max(maxUsers, len(g.Users))
			}
			for name, n := range uses {
				if n != c.uses {
					t.Fatalf("%s uses %d groups, want %d", name, n, c.uses)
				}
			}
			if minUsers == 0 || maxUsers > 4*minUsers {
				t.Errorf("groups have %d to %d users", minUsers, maxUsers)
			}
		})
	}
}

// All entries compute the same users, and each entry knows which groups it uses itself.
func TestAllEntriesAgree(t *testing.T) {
	all := entryNames(40)
	want := usersByGroup(all, testGroups(9))
	for _, self := range all[:5] {
		got := testGroups(9)
		sharing.New(self, map[ident.Hall][]string{"hall": all}).AssignUsers("hall", got)
		for i := range got {
			users := got[i].Users
			if got[i].Used {
				users = append(slices.Clone(users), self)
			}
			slices.Sort(users)
			expected := slices.Sorted(slices.Values(want[i].Users))
			if diff := cmp.Diff(expected, users); diff != "" {
				t.Errorf("users of %s as seen by %s (-want +got):\n%s", got[i].Name, self, diff)
			}
		}
	}
}

// When a group ends, the users of the other groups stay, and each former user uses one more of the other groups.
func TestGroupEnds(t *testing.T) {
	all := entryNames(59)
	before := usersByGroup(all, testGroups(11))
	after := usersByGroup(all, append(testGroups(5), testGroups(11)[6:]...))
	changes := 0
	for _, g := range after {
		i := slices.IndexFunc(before, func(b sharing.Group) bool { return b.Name == g.Name })
		for _, user := range before[i].Users {
			if !slices.Contains(g.Users, user) {
				t.Errorf("%s no longer uses %s", user, g.Name)
			}
		}
		changes += len(g.Users) - len(before[i].Users)
	}
	if diff := cmp.Diff(len(before[5].Users), changes); diff != "" {
		t.Errorf("number of new users (-want +got):\n%s", diff)
	}
}

func TestFewEntriesUseAllGroups(t *testing.T) {
	for n, want := range map[int]bool{2: true, 97: true, 98: false} {
		e := sharing.New("10.1.0.0:7400", map[ident.Hall][]string{"one": entryNames(n - 1), "two": {"x"}})
		if e.AllUseAll() != want || e.Total() != n || len(e.Others()) != n-1 {
			t.Errorf("%d entries: all use all %v, total %d, %d others", n, e.AllUseAll(), e.Total(), len(e.Others()))
		}
	}
}

// BenchmarkUsers assigns the users of 80 groups of two models in five halls of 59 entries, as an entry does when groups or entries change.
func BenchmarkUsers(b *testing.B) {
	lists := map[ident.Hall][]string{}
	for i := range 5 {
		lists[ident.Hall(fmt.Sprint(i))] = entryNames(59)
	}
	e := sharing.New("10.1.0.0:7400", lists)
	b.ReportAllocs()
	for b.Loop() {
		for hall := range lists {
			e.AssignUsers(hall, testGroups(5))
			e.AssignUsers(hall, testGroups(11))
		}
	}
}

// The shares of all entries add up to n and differ by at most one, and the entries with the larger share differ between upstreams.
func TestSharesAddUp(t *testing.T) {
	for _, entries := range []int{1, 2, 8, 100, 300} {
		for _, n := range []int{-1, 0, 1, 7, 30, 299, 301, 1000} {
			names := entryNames(entries)
			lists := map[ident.Hall][]string{"one": names[:entries/2], "two": names[entries/2:]}
			extra := map[string]int{}
			for _, upstream := range []string{"p0", "p1", "p2"} {
				sum := 0
				for _, self := range names {
					share := sharing.New(self, lists).Share(n, upstream)
					if share != max(0, n)/entries {
						extra[self]++
					}
					sum += share
				}
				if sum != max(0, n) {
					t.Errorf("%d entries: shares of %d add up to %d", entries, n, sum)
				}
			}
			if n%max(2, entries) == 1 && entries > 2 && len(extra) < 2 {
				t.Errorf("%d entries: at all upstreams only %v have one more of %d", entries, extra, n)
			}
		}
	}
	if got := sharing.New("unknown", map[ident.Hall][]string{"one": entryNames(3)}).Share(30, "p0"); got != 0 {
		t.Errorf("an entry that is not in the list has a share of %d", got)
	}
}
