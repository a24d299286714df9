package site

// What all entries together may do is divided by how many they are, and a new
// leader knows only those that have called it already. An entry that took its
// first list for the whole would take several times its part. So after a change
// of leaders those of the former one count on, for as long as a leader counts an
// entry that does not call.

import (
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// knownEntries is the entries by hall, as the leaders tell.
type knownEntries struct {
	leadership LeadershipID
	// leaderSince is when the leader's first list came, former the entries of the one before until they count no more.
	leaderSince time.Time
	lists       map[ident.Hall][]string
	formerLists map[ident.Hall][]string
}

func newKnownEntries() *knownEntries {
	return &knownEntries{lists: map[ident.Hall][]string{}}
}

// apply puts changed lists of a leader in place and reports whether the entries may be others than before.
func (c *knownEntries) apply(now time.Time, leadership LeadershipID, changed []EntryList) bool {
	differs := len(changed) > 0
	if leadership != c.leadership {
		c.formerLists = c.all()
		c.leadership, c.leaderSince = leadership, now
	}
	if c.formerLists != nil && now.Sub(c.leaderSince) >= entryTimeout {
		c.formerLists = nil
		differs = true
	}
	for _, l := range changed {
		c.lists[l.Hall] = l.Entries
		if len(l.Entries) == 0 {
			delete(c.lists, l.Hall)
		}
	}
	return differs
}

// all returns the entries that count.
func (c *knownEntries) all() map[ident.Hall][]string {
	all := map[ident.Hall][]string{}
	listed := map[string]bool{}
	for hall, list := range c.lists {
		all[hall] = slices.Clone(list)
		for _, name := range list {
			listed[name] = true
		}
	}
	for hall, list := range c.formerLists {
		for _, name := range list {
			if !listed[name] {
				all[hall] = append(all[hall], name)
			}
		}
		slices.Sort(all[hall])
	}
	return all
}
