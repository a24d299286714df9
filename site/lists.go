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
	// listGather is how long the leader gathers changes for each entry that it has.
	listGather = 200 * time.Microsecond
	// listTogether is up to how many entries each change is sent at once.
	listTogether = 32
	// listsKept is how many lists of a hall a leader can send changes from.
	listsKept = 16
)

// listTime is how long a leader with so many entries gathers changes of lists; few entries cost little.
func listTime(entries int) time.Duration {
	if entries <= listTogether {
		return 0
	}
	return time.Duration(entries) * listGather
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

// namedList is a list of entries and its digest.
type namedList struct {
	name ListDigest
	list []string
}

// entryLists are the entries of each hall in order, the newest list of a hall last.
type entryLists struct {
	lists map[ident.Hall][]namedList
	// at is when they were put together, stale is set when entries have come or gone since.
	at    time.Time
	stale bool
	// packed are all of the newest lists in the form in which they are sent to who has none.
	packed []byte
	// changes are those that lead to the newest lists, as far as they were asked for.
	changes map[listKey]*ListChange
}

type listKey struct {
	hall ident.Hall
	base ListDigest
}

func newEntryLists() *entryLists {
	return &entryLists{lists: map[ident.Hall][]namedList{}, changes: map[listKey]*ListChange{}}
}

// take puts the lists together again.
func (l *entryLists) take(now time.Time, entries map[string]*entryState) {
	l.at, l.stale, l.packed, l.changes = now, false, nil, map[listKey]*ListChange{}
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
		named := namedList{nameList(list), list}
		kept := l.lists[hall]
		if n := len(kept); n > 0 && kept[n-1].name == named.name {
			continue
		}
		kept = append(kept, named)
		l.lists[hall] = kept[max(0, len(kept)-listsKept):]
	}
}

// change returns what leads from a list of a hall to the newest one, nil where that list is not known.
func (l *entryLists) change(hall ident.Hall, base ListDigest) *ListChange {
	key := listKey{hall, base}
	if c, ok := l.changes[key]; ok {
		return c
	}
	kept := l.lists[hall]
	i := slices.IndexFunc(kept, func(n namedList) bool { return n.name == base })
	if i < 0 {
		return nil
	}
	c := &ListChange{Hall: hall, Base: base}
	c.Came, c.Went = onlyIn(kept[len(kept)-1].list, kept[i].list), onlyIn(kept[i].list, kept[len(kept)-1].list)
	l.changes[key] = c
	return c
}

// onlyIn returns what stands in one ordered list and not in the other.
func onlyIn(list, other []string) []string {
	var rest []string
	for _, name := range list {
		if _, found := slices.BinarySearch(other, name); !found {
			rest = append(rest, name)
		}
	}
	return rest
}

// fillLists adds what the caller has not of the lists of entries.
func (r *leadership) fillLists(now time.Time, call *SyncCall, reply *SyncReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(call.Entries) > 0 && r.rollout.arriving(now) {
		return
	}
	l := r.lists
	if l.stale && now.Sub(l.at) >= listTime(len(r.entries)) {
		l.take(now, r.entries)
	}
	if len(call.Entries) == 0 && len(r.entries) > listTogether {
		reply.PackedLists = r.packedLists()
		return
	}
	for hall, kept := range l.lists {
		newest := kept[len(kept)-1]
		has := call.Entries[hall]
		if has == newest.name {
			continue
		}
		if c := l.change(hall, has); c != nil {
			reply.ListChanges = append(reply.ListChanges, *c)
			continue
		}
		reply.Lists = append(reply.Lists, EntryList{hall, newest.list})
	}
	for hall := range call.Entries {
		if _, ok := l.lists[hall]; !ok {
			reply.Lists = append(reply.Lists, EntryList{Hall: hall})
		}
	}
}

// packedLists returns all lists packed; the mutex is held.
func (r *leadership) packedLists() []byte {
	l := r.lists
	if l.packed != nil {
		return l.packed
	}
	var all []EntryList
	for hall, kept := range l.lists {
		all = append(all, EntryList{hall, kept[len(kept)-1].list})
	}
	packed, err := pack(all)
	if err != nil {
		r.c.Log.Error(err, "lists of entries cannot be packed")
		return nil
	}
	l.packed = packed
	return packed
}
