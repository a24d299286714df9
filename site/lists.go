package site

// Every entry knows all others. At a site of hundreds they come and go while
// others call, so a change is sent as what came and what went, and the leader
// gathers changes for a moment. One that has just begun hears of the entries
// one after the other, and tells those that have lists nothing until it has
// heard of as many as its predecessor had.

import (
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// listGatherPerEntry is how long the leader gathers changes for each entry that it has.
	listGatherPerEntry = 200 * time.Microsecond
	// listGatherMinEntries is up to how many entries each change is sent at once.
	listGatherMinEntries = 32
	// maxListVersions is how many lists of a hall a leader can send changes from.
	maxListVersions = 16
)

// listGatherTime is how long a leader with so many entries gathers changes of lists; few entries cost little.
func listGatherTime(entries int) time.Duration {
	if entries <= listGatherMinEntries {
		return 0
	}
	return time.Duration(entries) * listGatherPerEntry
}

// ListChange leads from one list of the entries of a hall to the next one.
type ListChange struct {
	Hall ident.Hall
	Base ListDigest
	Came []string
	Went []string
}

// apply returns the list that the change leads to.
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

// entryLists are the entries of each hall in order, the newest list of a hall last.
type entryLists struct {
	lists map[ident.Hall][]digestedList
	// builtAt is when they were put together, stale is set when entries have come or gone since.
	builtAt time.Time
	stale   bool
	// packed are all of the newest lists in the form in which they are sent to who has none.
	packed []byte
	// changes are those that lead to the newest lists, as far as they were asked for.
	changes map[changeKey]*ListChange
}

type changeKey struct {
	hall ident.Hall
	base ListDigest
}

func newEntryLists() *entryLists {
	return &entryLists{lists: map[ident.Hall][]digestedList{}, changes: map[changeKey]*ListChange{}}
}

// rebuild puts the lists together again.
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

// changeFrom returns what leads from a list of a hall to the newest one, nil where that list is not known.
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

// onlyIn returns what stands in one ordered list and not in the other.
func onlyIn(list, other []string) []string {
	var missing []string
	for _, name := range list {
		if _, found := slices.BinarySearch(other, name); !found {
			missing = append(missing, name)
		}
	}
	return missing
}

// fillLists adds what the caller has not of the lists of entries.
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

// packedLists returns all lists packed; the mutex is held.
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
