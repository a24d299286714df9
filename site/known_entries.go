package site

// Limits on all entries together are divided by the number of entries, but a new leader knows only the entries that
// have called it already. An entry that relied on the first list of a new leader would use several times its share.
// After a change of leaders the entries of the former leader therefore still count, for as long as a leader counts an
// entry that does not call.

import (
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// knownEntries holds the entries by hall, as received from leaders.
type knownEntries struct {
	leadership LeadershipID
	// leaderSince is when the leader's first list arrived, formerLists are the entries of the leader before, until they
	// no longer count.
	leaderSince time.Time
	lists       map[ident.Hall][]string
	formerLists map[ident.Hall][]string
}

func newKnownEntries() *knownEntries {
	return &knownEntries{lists: map[ident.Hall][]string{}}
}

// apply applies changed lists of a leader and reports whether the entries that count may differ from before.
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
