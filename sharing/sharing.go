package sharing

// What an engine reads is over within a tenth of a second, so entries that use
// the same group must tell each other of each prompt. Where all entries use all
// groups that is a datagram for each prompt and entry, and no connection is used
// twice before it is idle for too long. So beyond some entries the groups are
// shared out: an entry uses a few groups of its own hall, and tells of a prompt
// only those that use the group as well.
//
//	hall    entries         groups       an entry uses
//	one     a, b, c, ...    g1 ... g11   the four that rendezvous hashing ranks first for it
//
// When a group ends, those that used it go on to their next one, and nothing
// else changes hands.

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// maxAllUseAll is up to how many entries all use all groups: each prompt of 3 a second then costs an entry 290 datagrams a
	// second.
	maxAllUseAll = 97
	// minGroupsPerEntry is how many groups of a model an entry uses at least: with four to choose from, groups are filled evenly.
	minGroupsPerEntry = 4
	// minUsersPerGroup is how many entries use a group on average at least, so that none is without users by chance.
	minUsersPerGroup = 12
)

// entry is one entry and the digest of its name.
type entry struct {
	name   string
	digest uint64
}

// Entries are the entries of a site; they are never changed.
type Entries struct {
	self  string
	halls map[ident.Hall][]entry
	total int
	// position is how many entries come before this one in order of names, listed is set when this one is among them.
	position int
	listed   bool
}

// New returns the entries of a site by their halls, as the one called self sees them.
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

// Share divides n things among the entries and returns how many this one has: the parts of all that know the same entries add up to n. Who
// has one more than others is another one for each name. An entry that is not known to others yet has none.
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

// AllUseAll reports whether all entries use all groups.
func (e *Entries) AllUseAll() bool {
	return e.total <= maxAllUseAll
}

// AddsTo reports whether there is an entry that old has not.
func (e *Entries) AddsTo(old *Entries) bool {
	oldNames := map[string]bool{}
	for _, name := range old.Others() {
		oldNames[name] = true
	}
	return slices.ContainsFunc(e.Others(), func(name string) bool { return !oldNames[name] })
}

// Others returns all entries but this one, in order.
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

// Self returns the name of this entry.
func (e *Entries) Self() string {
	return e.self
}

// Owner returns the entry that rendezvous hashing ranks first for a name, the same at all entries that know the same ones, nothing where
// there is none.
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
	// Users are the entries that use the group, without this one; Used is set when this one does.
	Users []string
	Used  bool
}

// AssignUsers fills in who uses each of the groups of one model in one hall.
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

// groupsPerEntry is how many of so many groups each of so many entries uses.
func groupsPerEntry(groups, entries int) int {
	if entries == 0 {
		return 0
	}
	return min(groups, max(minGroupsPerEntry, (minUsersPerGroup*groups+entries-1)/entries))
}

// ranked is a group and its rank for an entry, higher is better.
type ranked struct {
	group int
	rank  uint64
}

// topRanked appends the groups that an entry ranks first to best.
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

// mixBits spreads the bits of x (the finalizer of SplitMix64).
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
