package sharing

// An engine reads a prompt within a tenth of a second, so entries that use the same
// group must notify each other of each prompt. If all entries used all groups, each
// prompt would take a datagram to every other entry, and connections would exceed
// their idle time before they are used again. Above maxAllUseAll entries, each entry
// therefore uses a few groups of its own hall, and notifies only the other users of
// the group.
//
//	hall    entries         groups       an entry uses
//	one     a, b, c, ...    g1 ... g11   the four that rendezvous hashing ranks first for the entry
//
// When a group ends, its users switch to the group that is ranked next for them, and
// no other assignment changes.

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// maxAllUseAll is the number of entries up to which every entry uses every group: with 3 prompts per second, an entry then sends
	// 290 datagrams per second.
	maxAllUseAll = 97
	// minGroupsPerEntry is the minimum number of a model's groups that an entry uses; a choice of four loads groups evenly.
	minGroupsPerEntry = 4
	// minUsersPerGroup is the minimum of the mean number of entries that use a group, so that no group is without users by chance.
	minUsersPerGroup = 12
)

// entry is one entry and the digest of its name.
type entry struct {
	name   string
	digest uint64
}

// Entries is the immutable list of a site's entries.
type Entries struct {
	self  string
	halls map[ident.Hall][]entry
	total int
	// position is the number of entries whose name is before that of this one; listed is set if this one is in the list.
	position int
	listed   bool
}

// New returns the entries of a site by their halls, for the entry called self.
func New(self string, lists map[ident.Hall][]string) *Entries {
	e := &Entries{self: self, halls: map[ident.Hall][]entry{}}
	for hall, names := range lists {
		for _, name := range names {
			e.halls[hall] = append(e.halls[hall], entry{name, xxhash.Sum64String(name)})
			if name < self {
				e.position++
			}
			e.listed = e.listed || name == self
		}
		e.total += len(names)
	}
	return e
}

// Total returns the number of entries.
func (e *Entries) Total() int {
	return e.total
}

// Share divides n permits of the upstream called name among the entries and returns the share of this one. The shares of all entries with the
// same list add up to n. The entries whose share is larger by one depend on the name. An entry that is not in the list has no share.
func (e *Entries) Share(n int, name string) int {
	if !e.listed || n <= 0 {
		return 0
	}
	share := n / e.total
	rotated := (e.position + int(xxhash.Sum64String(name)%uint64(e.total))) % e.total
	if rotated < n%e.total {
		share++
	}
	return share
}

// AllUseAll reports whether every entry uses every group.
func (e *Entries) AllUseAll() bool {
	return e.total <= maxAllUseAll
}

// AddsTo reports whether e has another entry that old lacks.
func (e *Entries) AddsTo(old *Entries) bool {
	oldNames := map[string]bool{}
	for _, name := range old.Others() {
		oldNames[name] = true
	}
	return slices.ContainsFunc(e.Others(), func(name string) bool { return !oldNames[name] })
}

// Others returns all entries but this one, ordered by hall.
func (e *Entries) Others() []string {
	var names []string
	for _, hall := range slices.Sorted(maps.Keys(e.halls)) {
		for _, o := range e.halls[hall] {
			if o.name != e.self {
				names = append(names, o.name)
			}
		}
	}
	return names
}

// OthersIn returns the entries of a hall but this one.
func (e *Entries) OthersIn(hall ident.Hall) []string {
	var names []string
	for _, o := range e.halls[hall] {
		if o.name != e.self {
			names = append(names, o.name)
		}
	}
	return names
}

// Self returns the name of this entry.
func (e *Entries) Self() string {
	return e.self
}

// Owner returns the entry that rendezvous hashing ranks first for a name, or "" if there are no entries. All entries with the same list get the
// same owner.
func (e *Entries) Owner(name string) string {
	digest := xxhash.Sum64String(name)
	var owner string
	var highest uint64
	for _, entries := range e.halls {
		for i := range entries {
			rank := mixBits(entries[i].digest ^ digest)
			if owner == "" || rank > highest || rank == highest && entries[i].name < owner {
				owner, highest = entries[i].name, rank
			}
		}
	}
	return owner
}

// Group is one group and the entries that use it.
type Group struct {
	Name ident.Group
	// Users are the other entries that use the group; Used is set if this entry uses the group.
	Users []string
	Used  bool
}

// AssignUsers sets the users of all groups of one model in one hall.
func (e *Entries) AssignUsers(hall ident.Hall, groups []Group) {
	entries := e.halls[hall]
	uses := groupsPerEntry(len(groups), len(entries))
	digests := make([]uint64, len(groups))
	for i := range groups {
		digests[i] = xxhash.Sum64String(string(groups[i].Name))
	}
	best := make([]ranked, 0, uses+1)
	for i := range entries {
		best = topRanked(entries[i].digest, digests, uses, best[:0])
		for _, r := range best {
			g := &groups[r.group]
			if entries[i].name == e.self {
				g.Used = true
				continue
			}
			g.Users = append(g.Users, entries[i].name)
		}
	}
}

// groupsPerEntry returns how many of a hall's groups each of its entries uses.
func groupsPerEntry(groups, entries int) int {
	if entries == 0 {
		return 0
	}
	return min(groups, max(minGroupsPerEntry, (minUsersPerGroup*groups+entries-1)/entries))
}

// ranked is the index of a group with its rank for an entry; a higher rank is better.
type ranked struct {
	group int
	rank  uint64
}

// topRanked inserts the groups with the highest ranks for an entry into best.
func topRanked(entry uint64, groups []uint64, uses int, best []ranked) []ranked {
	for i, g := range groups {
		r := ranked{i, mixBits(entry ^ g)}
		at := len(best)
		for at > 0 && best[at-1].rank < r.rank {
			at--
		}
		if at == uses {
			continue
		}
		best = slices.Insert(best, at, r)
		if len(best) > uses {
			best = best[:uses]
		}
	}
	return best
}

// mixBits is the finalizer of SplitMix64.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
