package site

// Every entry knows all others. At a site of hundreds, entries start and stop all the time, so the leader sends changes
// of lists instead of lists, and gathers changes for a moment. A new leader learns of the entries one after the other;
// to entries that have lists it sends no changes until it knows as many entries as its predecessor did.

import (
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// listGatherPerEntry is the time for each entry over which the leader gathers changes.
	listGatherPerEntry = 200 * time.Microsecond
	// listGatherMinEntries is the number of entries up to which each change is sent at once.
	listGatherMinEntries = 32
	// maxListVersions is how many versions of a hall's list a leader keeps to send changes from.
	maxListVersions = 16
)

// listGatherTime is how long a leader with this many entries gathers changes of lists; with few entries changes cost
// little.
func listGatherTime(entries int) time.Duration {
	if entries <= listGatherMinEntries {
		return 0
	}
	return time.Duration(entries) * listGatherPerEntry
}

// ListChange turns one list of a hall's entries into the next one.
type ListChange struct {
	Hall ident.Hall
	Base ListDigest
	Came []string
	Went []string
}

// apply returns the list with the change applied.
func (c *ListChange) apply(list []string) []string {
	next := slices.DeleteFunc(slices.Clone(list), func(name string) bool { return slices.Contains(c.Went, name) })
	next = append(next, c.Came...)
	slices.Sort(next)
	return next
}

// digestedList is a list of entries and its digest.
type digestedList struct {
	digest ListDigest
	list   []string
}

// entryLists are the lists of entries by hall, the newest list of a hall last.
type entryLists struct {
	lists map[ident.Hall][]digestedList
	// builtAt is when the lists were built, stale is set when entries were added or removed since.
	builtAt time.Time
	stale   bool
	// packed are all newest lists, compressed, for entries that have none.
	packed []byte
	// changes are the changes to the newest lists that were requested so far.
	changes map[changeKey]*ListChange
}

type changeKey struct {
	hall ident.Hall
	base ListDigest
}

func newEntryLists() *entryLists {
	return &entryLists{lists: map[ident.Hall][]digestedList{}, changes: map[changeKey]*ListChange{}}
}

// rebuild builds the lists from the entries.
func (l *entryLists) rebuild(now time.Time, entries map[string]*entryState) {
	l.builtAt, l.stale, l.packed, l.changes = now, false, nil, map[changeKey]*ListChange{}
	next := map[ident.Hall][]string{}
	for name, e := range entries {
		next[e.hall] = append(next[e.hall], name)
	}
	for hall := range l.lists {
		if next[hall] == nil {
			delete(l.lists, hall)
		}
	}
	for hall, list := range next {
		slices.Sort(list)
		newest := digestedList{digestList(list), list}
		kept := l.lists[hall]
		if n := len(kept); n > 0 && kept[n-1].digest == newest.digest {
			continue
		}
		kept = append(kept, newest)
		l.lists[hall] = kept[max(0, len(kept)-maxListVersions):]
	}
}

// changeFrom returns the change from a hall's list to its newest one, nil where the list is not known.
func (l *entryLists) changeFrom(hall ident.Hall, base ListDigest) *ListChange {
	key := changeKey{hall, base}
	if change, ok := l.changes[key]; ok {
		return change
	}
	kept := l.lists[hall]
	i := slices.IndexFunc(kept, func(n digestedList) bool { return n.digest == base })
	if i < 0 {
		return nil
	}
	change := &ListChange{Hall: hall, Base: base}
	change.Came, change.Went = onlyIn(kept[len(kept)-1].list, kept[i].list), onlyIn(kept[i].list, kept[len(kept)-1].list)
	l.changes[key] = change
	return change
}

// onlyIn returns the names that are in list and not in other; other is sorted.
func onlyIn(list, other []string) []string {
	var missing []string
	for _, name := range list {
		if _, found := slices.BinarySearch(other, name); !found {
			missing = append(missing, name)
		}
	}
	return missing
}

// fillLists adds the lists of entries, or their changes, that the caller lacks.
func (r *leadership) fillLists(now time.Time, call *SyncCall, reply *SyncReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(call.Entries) > 0 && r.configRollout.awaitingEntries(now) {
		return
	}
	lists := r.lists
	if lists.stale && now.Sub(lists.builtAt) >= listGatherTime(len(r.entries)) {
		lists.rebuild(now, r.entries)
	}
	if len(call.Entries) == 0 && len(r.entries) > listGatherMinEntries {
		reply.PackedLists = r.packedLists()
		return
	}
	for hall, kept := range lists.lists {
		newest := kept[len(kept)-1]
		has := call.Entries[hall]
		if has == newest.digest {
			continue
		}
		if change := lists.changeFrom(hall, has); change != nil {
			reply.ListChanges = append(reply.ListChanges, *change)
			continue
		}
		reply.Lists = append(reply.Lists, EntryList{hall, newest.list})
	}
	for hall := range call.Entries {
		if _, ok := lists.lists[hall]; !ok {
			reply.Lists = append(reply.Lists, EntryList{Hall: hall})
		}
	}
}

// packedLists returns all lists, compressed; the mutex is held.
func (r *leadership) packedLists() []byte {
	lists := r.lists
	if lists.packed != nil {
		return lists.packed
	}
	var all []EntryList
	for hall, kept := range lists.lists {
		all = append(all, EntryList{hall, kept[len(kept)-1].list})
	}
	packed, err := pack(all)
	if err != nil {
		r.control.Log.Error(err, "lists of entries cannot be packed")
		return nil
	}
	lists.packed = packed
	return packed
}
