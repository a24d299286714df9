package roster

// A new leader rebuilds the roster from reports; only the announcements of upstreams that shut down, which are not
// repeated, reach it through the log. Two rules keep late messages from reviving what has ended: ended incarnations are
// remembered, and at one address, or of one upstream id, only one incarnation counts.
//
// Each change gets a revision and is kept in a journal. A copy requests the changes after its own revision, so that the
// cost of a change does not grow with the roster.

import (
	"reflect"
	"sort"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// endedRetention is how long an ended incarnation is remembered; reports arrive at most seconds late.
const endedRetention = 2 * time.Minute

// signedOffRetention is how long an upstream is kept after it has signed off; it finishes within ten seconds.
const signedOffRetention = 15 * time.Second

// coldWithoutReport is how long an upstream counts as cold without a report of its own; reports arrive sooner.
const coldWithoutReport = 10 * time.Second

// reportsToRestore is the number of newer reports that restore an incarnation replaced at its address.
const reportsToRestore = 2

type upstreamRecord struct {
	Upstream
	sequence    uint64
	lastContact time.Time
	// coldUntil is the end of the cold phase by the last report.
	coldUntil time.Time
	// signedOff upstreams do not report again.
	signedOff bool
	// reported is set once the upstream has reported to this roster and not only to the one that it was seeded from.
	reported bool
}

// change is the upstream or group that one revision changed.
type change struct {
	upstream ident.Incarnation
	group    ident.Group
}

// journalLength is the number of changes that are kept; a copy that is further behind gets a full delta.
const journalLength = 8192

type endedRecord struct {
	endedAt time.Time
	// replaced is set if another incarnation reported from the same address; sequence is then that of the last report.
	replaced bool
	sequence uint64
	// newerReports counts later reports of a replaced incarnation.
	newerReports int
}

// Roster is the leader's state of upstreams and groups. Its methods can be called concurrently.
type Roster struct {
	// SilentAfter is the time after its last report at which an upstream counts as silent.
	SilentAfter time.Duration
	// ForgetAfter is the time after its last report at which an upstream is dropped.
	ForgetAfter time.Duration

	mu        sync.Mutex
	revision  Revision
	upstreams map[ident.Incarnation]*upstreamRecord
	byAddress map[string]ident.Incarnation
	// newestByID holds the newest incarnation of each upstream id.
	newestByID        map[string]ident.Incarnation
	groups            map[ident.Group]Group
	endedIncarnations map[ident.Incarnation]endedRecord
	// announced are upstreams that announced their shutdown to an earlier leader and have not reported to this one.
	announced map[ident.Incarnation]bool
	// journal holds the changes after revision journalBase, one for each revision.
	journal     []change
	journalBase Revision
	changed     chan struct{}
	// digests are the partitions' digests at revision digestsRevision.
	digests         Digests
	digestsRevision Revision
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		upstreams:         map[ident.Incarnation]*upstreamRecord{},
		byAddress:         map[string]ident.Incarnation{},
		newestByID:        map[string]ident.Incarnation{},
		groups:            map[ident.Group]Group{},
		endedIncarnations: map[ident.Incarnation]endedRecord{},
		announced:         map[ident.Incarnation]bool{},
		changed:           make(chan struct{}),
	}
}

// recordChange adds a change to the journal and wakes the waiters.
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

// Seed fills an empty roster from a copy, for a new leader. The upstreams count as in contact at now.
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

// ApplyReport applies a report and returns whether it changed anything but the time of the last report.
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
		// An upstream that has announced its shutdown does not revoke that.
		next.Draining = next.Draining || record.Draining
		next.Bound = record.Bound
		if reflect.DeepEqual(record.Upstream, next) {
			return false
		}
		record.Upstream = next
		r.recordChange(change{upstream: report.ID})
		return true
	}
	next.Draining = next.Draining || r.announced[report.ID]
	r.upstreams[report.ID] = &upstreamRecord{
		Upstream: next, sequence: report.Sequence, lastContact: now, coldUntil: now.Add(report.ColdFor), reported: true,
	}
	r.recordChange(change{upstream: report.ID})
	return true
}

// MarkHallCold marks the upstreams of a hall as cold until they report: they may have become cold while no requests
// were sent to the hall.
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

// SetBound sets the Bound flag of an upstream.
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

// fromEarlierIncarnation reports whether report is from an incarnation before the newest one of its upstream id. The
// report of a newer incarnation ends the earlier one.
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

// endIncarnation ends an incarnation for good and frees its address.
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

// fromEndedIncarnation reports whether report is from an incarnation that has ended. An incarnation that was ended in
// error, by a late report of its predecessor from the same address, keeps reporting and is restored; the predecessor
// does not report again.
func (r *Roster) fromEndedIncarnation(report *Report) bool {
	ended, ok := r.endedIncarnations[report.ID]
	if !ok {
		return false
	}
	if !ended.replaced || report.Sequence <= ended.sequence {
		return true
	}
	ended.newerReports++
	ended.sequence = report.Sequence
	r.endedIncarnations[report.ID] = ended
	if ended.newerReports < reportsToRestore {
		return true
	}
	delete(r.endedIncarnations, report.ID)
	return false
}

// replaceAtAddress ends the incarnation that had the address before.
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
	r.endedIncarnations[previous] = ended
	r.recordChange(change{upstream: previous})
}

// SignOff records that an upstream has signed off, and returns its incarnation: an id without a start time stands for the
// newest one. The upstream may still finish its requests, so it stays as draining until it is dropped.
func (r *Roster) SignOff(now time.Time, id ident.Incarnation) ident.Incarnation {
	r.mu.Lock()
	defer r.mu.Unlock()
	if newest, known := r.newestByID[id.UpstreamID()]; known && id.StartTime() == 0 {
		id = newest
	}
	r.signOff(now, id)
	return id
}

// ApplyDeparture applies the announcement of a shutdown that an earlier leader acknowledged; signedOff tells whether the
// upstream had signed off.
func (r *Roster) ApplyDeparture(now time.Time, id ident.Incarnation, signedOff bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if signedOff {
		r.signOff(now, id)
		return
	}
	if r.upstreams[id] == nil {
		r.announced[id] = true
		return
	}
	r.markDraining(id)
}

func (r *Roster) signOff(now time.Time, id ident.Incarnation) {
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

// MarkDraining records that an upstream has announced its shutdown to an entry, and reports whether that is new. An
// upstream that cannot reach control would otherwise keep its group until it ends.
func (r *Roster) MarkDraining(id ident.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.markDraining(id)
}

func (r *Roster) markDraining(id ident.Incarnation) bool {
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
	delete(r.announced, id)
	r.endedIncarnations[id] = endedRecord{endedAt: now}
	r.recordChange(change{upstream: id})
}

// Expire marks silent upstreams, drops those that were silent for long, and forgets old ended incarnations.
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
	for id, record := range r.endedIncarnations {
		if now.Sub(record.endedAt) >= endedRetention {
			delete(r.endedIncarnations, id)
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

// DropGroup removes a group.
func (r *Roster) DropGroup(name ident.Group) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.groups, name)
	r.recordChange(change{group: name})
}

// minUnreportedAge is the minimum age of the last report of an upstream that has not reported to this roster; its state
// may have changed since.
const minUnreportedAge = 2 * time.Second

// Upstreams returns all upstreams ordered by id, and the age of each one's last report.
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

// Upstream returns the upstream with an id.
func (r *Roster) Upstream(id ident.Incarnation) (Upstream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if record := r.upstreams[id]; record != nil {
		return record.Upstream, true
	}
	return Upstream{}, false
}

// Groups returns all groups ordered by name.
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

// Since returns the changes after a revision; 0 requests a full delta.
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

// addState adds the current state of the changed upstream or group to a delta.
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
