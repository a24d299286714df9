package roster

// The leader's roster is rebuilt from reports after every election, so nothing
// of it goes through the log. Two things keep late messages from reviving what
// has ended: an incarnation that has left is remembered, and of two at one
// address, or of one id, only one counts.
//
// Every change has a revision and stands in a journal. A copy asks for what
// changed after the revision that it has, so a change costs the same however
// large the roster is.

import (
	"reflect"
	"sort"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// endedRetention is how long an ended id is remembered; reports arrive seconds late at most.
const endedRetention = 2 * time.Minute

// signedOffRetention is how long an upstream that has signed off is kept; it finishes within ten seconds.
const signedOffRetention = 15 * time.Second

// coldWithoutReport is how long an upstream counts as cold by what is known from elsewhere than its own reports; these come sooner.
const coldWithoutReport = 10 * time.Second

// reportsToRestore is how many newer reports bring back a life that another one at its address had replaced.
const reportsToRestore = 2

type upstreamRecord struct {
	Upstream
	sequence    uint64
	lastContact time.Time
	// coldUntil is when it is warm by its last report.
	coldUntil time.Time
	// signedOff is set when it has signed off and will not report again.
	signedOff bool
	// reported is set once it has reported to this roster, and not only to one that this one was seeded from.
	reported bool
}

// change is what one revision changed: an upstream or a group.
type change struct {
	upstream ident.Incarnation
	group    ident.Group
}

// journalLength is the number of changes that are kept; a copy that is further behind gets everything.
const journalLength = 8192

type endedRecord struct {
	endedAt time.Time
	// replaced is set when another life reported from the same address, sequence is then the last one seen.
	replaced bool
	sequence uint64
	// newerReports counts newer reports of a replaced life.
	newerReports int
}

// Roster is the leader's state; its methods may be called concurrently.
type Roster struct {
	// SilentAfter is how long after its last report an upstream counts as silent.
	SilentAfter time.Duration
	// ForgetAfter is how long after its last report an upstream is dropped.
	ForgetAfter time.Duration

	mu        sync.Mutex
	revision  Revision
	upstreams map[ident.Incarnation]*upstreamRecord
	byAddress map[string]ident.Incarnation
	// newestByID is the last life of each upstream by its id.
	newestByID map[string]ident.Incarnation
	groups     map[ident.Group]Group
	ended      map[ident.Incarnation]endedRecord
	// journal holds the changes after revision base, one for each revision.
	journal     []change
	journalBase Revision
	changed     chan struct{}
	// digests are the digests of the parts at revision digestsRevision.
	digests         Digests
	digestsRevision Revision
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		upstreams:  map[ident.Incarnation]*upstreamRecord{},
		byAddress:  map[string]ident.Incarnation{},
		newestByID: map[string]ident.Incarnation{},
		groups:     map[ident.Group]Group{},
		ended:      map[ident.Incarnation]endedRecord{},
		changed:    make(chan struct{}),
	}
}

// recordChange notes a change and wakes everyone who waits.
func (r *Roster) recordChange(c change) {
	r.revision++
	r.journal = append(r.journal, c)
	if len(r.journal) >= 2*journalLength {
		r.journalBase += journalLength
		r.journal = append([]change(nil), r.journal[journalLength:]...)
	}
	close(r.changed)
	r.changed = make(chan struct{})
}

// Seed fills an empty roster from a copy, as a new leader does; the upstreams count as heard at now.
func (r *Roster) Seed(now time.Time, upstreams []Upstream, groups []Group) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, u := range upstreams {
		r.upstreams[u.ID] = &upstreamRecord{Upstream: u, lastContact: now, coldUntil: now.Add(coldWithoutReport)}
		r.byAddress[u.Address] = u.ID
		r.newestByID[u.ID.UpstreamID()] = u.ID
		r.recordChange(change{upstream: u.ID})
	}
	for _, g := range groups {
		g.Since = now
		r.groups[g.Name] = g
		r.recordChange(change{group: g.Name})
	}
}

// ApplyReport accepts a report and tells whether it changed anything but the time of the last report.
func (r *Roster) ApplyReport(now time.Time, report *Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fromEarlierIncarnation(now, report) || r.fromEndedIncarnation(report) {
		return false
	}
	record := r.upstreams[report.ID]
	if record != nil && report.Sequence <= record.sequence {
		return false
	}
	r.replaceAtAddress(now, report)
	next := report.Upstream
	next.Cold = report.ColdFor > 0
	if len(next.Loaded) > 0 {
		next.Last = next.Loaded[0]
	}
	if record != nil {
		if next.Last == "" {
			next.Last = record.Last
		}
		record.lastContact = now
		record.reported = true
		record.sequence = report.Sequence
		record.coldUntil = now.Add(report.ColdFor)
		// An upstream that has announced its end does not take it back.
		next.Draining = next.Draining || record.Draining
		next.Bound = record.Bound
		if reflect.DeepEqual(record.Upstream, next) {
			return false
		}
		record.Upstream = next
		r.recordChange(change{upstream: report.ID})
		return true
	}
	r.upstreams[report.ID] = &upstreamRecord{
		Upstream: next, sequence: report.Sequence, lastContact: now, coldUntil: now.Add(report.ColdFor), reported: true,
	}
	r.recordChange(change{upstream: report.ID})
	return true
}

// MarkHallCold counts the upstreams of a hall as cold until they report: they may have turned cold while nothing was sent there.
func (r *Roster) MarkHallCold(now time.Time, hall ident.Hall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, record := range r.upstreams {
		if record.Hall != hall {
			continue
		}
		record.coldUntil = now.Add(coldWithoutReport)
		if !record.Cold {
			record.Cold = true
			r.recordChange(change{upstream: id})
		}
	}
}

// SetBound marks an upstream as bound, or takes the mark away.
func (r *Roster) SetBound(id ident.Incarnation, bound bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.upstreams[id]
	if record == nil || record.Bound == bound {
		return
	}
	record.Bound = bound
	r.recordChange(change{upstream: id})
}

// fromEarlierIncarnation reports whether report comes from an earlier life of an upstream that has started again under its id. Of one that has, the
// earlier life is over, and so are its groups.
func (r *Roster) fromEarlierIncarnation(now time.Time, report *Report) bool {
	id := report.ID.UpstreamID()
	newest, known := r.newestByID[id]
	if known && newest != report.ID {
		if report.ID.StartTime() <= newest.StartTime() {
			return true
		}
		r.endIncarnation(now, newest)
	}
	r.newestByID[id] = report.ID
	return false
}

// endIncarnation ends a life for good and frees its address.
func (r *Roster) endIncarnation(now time.Time, id ident.Incarnation) {
	record := r.upstreams[id]
	if record == nil {
		return
	}
	if r.byAddress[record.Address] == id {
		delete(r.byAddress, record.Address)
	}
	r.markEnded(now, id)
}

// fromEndedIncarnation reports whether report comes from a life that has ended for good. A life that was taken for ended only because
// a late report of its predecessor came from the same address goes on reporting, which the predecessor does not.
func (r *Roster) fromEndedIncarnation(report *Report) bool {
	ended, ok := r.ended[report.ID]
	if !ok {
		return false
	}
	if !ended.replaced || report.Sequence <= ended.sequence {
		return true
	}
	ended.newerReports++
	ended.sequence = report.Sequence
	r.ended[report.ID] = ended
	if ended.newerReports < reportsToRestore {
		return true
	}
	delete(r.ended, report.ID)
	return false
}

// replaceAtAddress ends the life that had the address before.
func (r *Roster) replaceAtAddress(now time.Time, report *Report) {
	previous, occupied := r.byAddress[report.Address]
	r.byAddress[report.Address] = report.ID
	if !occupied || previous == report.ID {
		return
	}
	ended := endedRecord{endedAt: now, replaced: true}
	if record := r.upstreams[previous]; record != nil {
		ended.sequence = record.sequence
	}
	delete(r.upstreams, previous)
	r.ended[previous] = ended
	r.recordChange(change{upstream: previous})
}

// SignOff notes that an upstream has signed off. It may go on with what it has for a while, so it stays, as one that gets
// nothing new, until it is silent. One that does not say when it started is taken for its newest life.
func (r *Roster) SignOff(now time.Time, id ident.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if newest, known := r.newestByID[id.UpstreamID()]; known && id.StartTime() == 0 {
		id = newest
	}
	record := r.upstreams[id]
	if record == nil {
		r.markEnded(now, id)
		return
	}
	record.signedOff = true
	record.lastContact = now
	if !record.Draining {
		record.Draining = true
		r.recordChange(change{upstream: id})
	}
}

// MarkDraining notes that an upstream has told an entry that it leaves, and reports whether that is new. It may not reach control: one that
// was cut off from it left its group as it was until it ended.
func (r *Roster) MarkDraining(id ident.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.upstreams[id]
	if record == nil || record.Draining {
		return false
	}
	record.Draining = true
	r.recordChange(change{upstream: id})
	return true
}

func (r *Roster) markEnded(now time.Time, id ident.Incarnation) {
	delete(r.upstreams, id)
	r.ended[id] = endedRecord{endedAt: now}
	r.recordChange(change{upstream: id})
}

// Expire marks silent upstreams, drops those that were silent for long, and forgets old ends.
func (r *Roster) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, record := range r.upstreams {
		age := now.Sub(record.lastContact)
		if age >= r.ForgetAfter || record.signedOff && age >= signedOffRetention {
			r.endIncarnation(now, id)
			continue
		}
		if record.Cold && !now.Before(record.coldUntil) {
			record.Cold = false
			r.recordChange(change{upstream: id})
		}
		if silent := age >= r.SilentAfter; silent != record.Silent {
			record.Silent = silent
			r.recordChange(change{upstream: id})
		}
	}
	for id, record := range r.ended {
		if now.Sub(record.endedAt) >= endedRetention {
			delete(r.ended, id)
			if r.newestByID[id.UpstreamID()] == id {
				delete(r.newestByID, id.UpstreamID())
			}
		}
	}
}

// PutGroup adds or replaces a group.
func (r *Roster) PutGroup(g *Group) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.groups[g.Name] = *g
	r.recordChange(change{group: g.Name})
}

// DropGroup forgets a group.
func (r *Roster) DropGroup(name ident.Group) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.groups, name)
	r.recordChange(change{group: name})
}

// minUnreportedAge is the least age of a report that only an earlier roster has seen; things may have changed since.
const minUnreportedAge = 2 * time.Second

// Upstreams returns every upstream in the order of ids, and the age of each one's last report.
func (r *Roster) Upstreams(now time.Time) ([]Upstream, map[ident.Incarnation]time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Upstream, 0, len(r.upstreams))
	ages := make(map[ident.Incarnation]time.Duration, len(r.upstreams))
	for id, record := range r.upstreams {
		list = append(list, record.Upstream)
		ages[id] = now.Sub(record.lastContact)
		if !record.reported {
			ages[id] = max(ages[id], minUnreportedAge)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list, ages
}

// Len returns the number of upstreams.
func (r *Roster) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.upstreams)
}

// Upstream returns the upstream called id.
func (r *Roster) Upstream(id ident.Incarnation) (Upstream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record := r.upstreams[id]; record != nil {
		return record.Upstream, true
	}
	return Upstream{}, false
}

// Groups returns every group in the order of names.
func (r *Roster) Groups() []Group {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Group, 0, len(r.groups))
	for _, g := range r.groups {
		list = append(list, g)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// Changed returns the revision and a channel that is closed at the next change.
func (r *Roster) Changed() (Revision, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.revision, r.changed
}

// Since returns what changed after revision; 0 asks for everything.
func (r *Roster) Since(revision Revision) Delta {
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision == 0 || revision < r.journalBase || revision > r.revision {
		return r.fullDelta()
	}
	d := Delta{Revision: r.revision}
	added := map[change]bool{}
	for _, c := range r.journal[revision-r.journalBase:] {
		if !added[c] {
			added[c] = true
			r.addState(&d, c)
		}
	}
	return d
}

// addState adds the present state of what c changed.
func (r *Roster) addState(d *Delta, c change) {
	if c.group != "" {
		if g, ok := r.groups[c.group]; ok {
			d.Groups = append(d.Groups, g)
			return
		}
		d.Dropped = append(d.Dropped, c.group)
		return
	}
	if record := r.upstreams[c.upstream]; record != nil {
		d.Upstreams = append(d.Upstreams, record.Upstream)
		return
	}
	d.Gone = append(d.Gone, c.upstream)
}

func (r *Roster) fullDelta() Delta {
	d := Delta{Full: true, Revision: r.revision}
	for _, record := range r.upstreams {
		d.Upstreams = append(d.Upstreams, record.Upstream)
	}
	for _, g := range r.groups {
		d.Groups = append(d.Groups, g)
	}
	return d
}
