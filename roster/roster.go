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

// rememberGone is how long an ended id is remembered; reports arrive seconds late at most.
const rememberGone = 2 * time.Minute

// forgetLeft is how long an upstream that has signed off is kept; it finishes within ten seconds.
const forgetLeft = 15 * time.Second

// coldUnheard is how long an upstream counts as cold by what is known from elsewhere than its own reports; these come sooner.
const coldUnheard = 10 * time.Second

// reportsToReturn is how many newer reports bring back a life that another one at its address had replaced.
const reportsToReturn = 2

type upstreamRecord struct {
	Upstream
	sequence uint64
	heard    time.Time
	// coldUntil is when it is warm by its last report.
	coldUntil time.Time
	// left is set when it has signed off and will not report again.
	left bool
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

type goneRecord struct {
	at time.Time
	// replaced is set when another life reported from the same address, sequence is then the last one seen.
	replaced bool
	sequence uint64
	// again counts newer reports of a replaced life.
	again int
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
	// newest is the last life of each upstream by its id.
	newest map[string]ident.Incarnation
	groups map[ident.Group]Group
	gone   map[ident.Incarnation]goneRecord
	// journal holds the changes after revision base, one for each revision.
	journal []change
	base    Revision
	changed chan struct{}
	// sums are the digests of the parts at revision sumsOf.
	sums   Digests
	sumsOf Revision
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{
		upstreams: map[ident.Incarnation]*upstreamRecord{},
		byAddress: map[string]ident.Incarnation{},
		newest:    map[string]ident.Incarnation{},
		groups:    map[ident.Group]Group{},
		gone:      map[ident.Incarnation]goneRecord{},
		changed:   make(chan struct{}),
	}
}

// touch notes a change and wakes everyone who waits.
func (r *Roster) touch(c change) {
	r.revision++
	r.journal = append(r.journal, c)
	if len(r.journal) >= 2*journalLength {
		r.base += journalLength
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
		r.upstreams[u.ID] = &upstreamRecord{Upstream: u, heard: now, coldUntil: now.Add(coldUnheard)}
		r.byAddress[u.Address] = u.ID
		r.newest[u.ID.UpstreamID()] = u.ID
		r.touch(change{upstream: u.ID})
	}
	for _, g := range groups {
		g.Since = now
		r.groups[g.Name] = g
		r.touch(change{group: g.Name})
	}
}

// ApplyReport accepts a report and tells whether it changed anything but the time of the last report.
func (r *Roster) ApplyReport(now time.Time, report *Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outlived(now, report) || r.stays(report) {
		return false
	}
	rec := r.upstreams[report.ID]
	if rec != nil && report.Sequence <= rec.sequence {
		return false
	}
	r.supersede(now, report)
	next := report.Upstream
	next.Cold = report.ColdFor > 0
	if len(next.Loaded) > 0 {
		next.Last = next.Loaded[0]
	}
	if rec != nil {
		if next.Last == "" {
			next.Last = rec.Last
		}
		rec.heard = now
		rec.reported = true
		rec.sequence = report.Sequence
		rec.coldUntil = now.Add(report.ColdFor)
		// An upstream that has announced its end does not take it back.
		next.Draining = next.Draining || rec.Draining
		next.Bound = rec.Bound
		if reflect.DeepEqual(rec.Upstream, next) {
			return false
		}
		rec.Upstream = next
		r.touch(change{upstream: report.ID})
		return true
	}
	r.upstreams[report.ID] = &upstreamRecord{
		Upstream: next, sequence: report.Sequence, heard: now, coldUntil: now.Add(report.ColdFor), reported: true,
	}
	r.touch(change{upstream: report.ID})
	return true
}

// MarkHallCold counts the upstreams of a hall as cold until they report: they may have turned cold while nothing was sent there.
func (r *Roster) MarkHallCold(now time.Time, hall ident.Hall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, rec := range r.upstreams {
		if rec.Hall != hall {
			continue
		}
		rec.coldUntil = now.Add(coldUnheard)
		if !rec.Cold {
			rec.Cold = true
			r.touch(change{upstream: id})
		}
	}
}

// SetBound marks an upstream as bound, or takes the mark away.
func (r *Roster) SetBound(id ident.Incarnation, bound bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.upstreams[id]
	if rec == nil || rec.Bound == bound {
		return
	}
	rec.Bound = bound
	r.touch(change{upstream: id})
}

// outlived reports whether report comes from an earlier life of an upstream that has started again under its id. Of one that has, the
// earlier life is over, and so are its groups.
func (r *Roster) outlived(now time.Time, report *Report) bool {
	id := report.ID.UpstreamID()
	last, known := r.newest[id]
	if known && last != report.ID {
		if report.ID.StartTime() <= last.StartTime() {
			return true
		}
		r.endLife(now, last)
	}
	r.newest[id] = report.ID
	return false
}

// endLife ends a life for good and frees its address.
func (r *Roster) endLife(now time.Time, id ident.Incarnation) {
	rec := r.upstreams[id]
	if rec == nil {
		return
	}
	if r.byAddress[rec.Address] == id {
		delete(r.byAddress, rec.Address)
	}
	r.end(now, id)
}

// stays reports whether report comes from a life that has ended for good. A life that was taken for ended only because
// a late report of its predecessor came from the same address goes on reporting, which the predecessor does not.
func (r *Roster) stays(report *Report) bool {
	ended, ok := r.gone[report.ID]
	if !ok {
		return false
	}
	if !ended.replaced || report.Sequence <= ended.sequence {
		return true
	}
	ended.again++
	ended.sequence = report.Sequence
	r.gone[report.ID] = ended
	if ended.again < reportsToReturn {
		return true
	}
	delete(r.gone, report.ID)
	return false
}

// supersede ends the life that had the address before.
func (r *Roster) supersede(now time.Time, report *Report) {
	old, taken := r.byAddress[report.Address]
	r.byAddress[report.Address] = report.ID
	if !taken || old == report.ID {
		return
	}
	ended := goneRecord{at: now, replaced: true}
	if rec := r.upstreams[old]; rec != nil {
		ended.sequence = rec.sequence
	}
	delete(r.upstreams, old)
	r.gone[old] = ended
	r.touch(change{upstream: old})
}

// SignOff notes that an upstream has signed off. It may go on with what it has for a while, so it stays, as one that gets
// nothing new, until it is silent. One that does not say when it started is taken for its newest life.
func (r *Roster) SignOff(now time.Time, id ident.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if last, known := r.newest[id.UpstreamID()]; known && id.StartTime() == 0 {
		id = last
	}
	rec := r.upstreams[id]
	if rec == nil {
		r.end(now, id)
		return
	}
	rec.left = true
	rec.heard = now
	if !rec.Draining {
		rec.Draining = true
		r.touch(change{upstream: id})
	}
}

// MarkDraining notes that an upstream has told an entry that it leaves, and reports whether that is new. It may not reach control: one that
// was cut off from it left its group as it was until it ended.
func (r *Roster) MarkDraining(id ident.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.upstreams[id]
	if rec == nil || rec.Draining {
		return false
	}
	rec.Draining = true
	r.touch(change{upstream: id})
	return true
}

func (r *Roster) end(now time.Time, id ident.Incarnation) {
	delete(r.upstreams, id)
	r.gone[id] = goneRecord{at: now}
	r.touch(change{upstream: id})
}

// Expire marks silent upstreams, drops those that were silent for long, and forgets old ends.
func (r *Roster) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, rec := range r.upstreams {
		age := now.Sub(rec.heard)
		if age >= r.ForgetAfter || rec.left && age >= forgetLeft {
			r.endLife(now, id)
			continue
		}
		if rec.Cold && !now.Before(rec.coldUntil) {
			rec.Cold = false
			r.touch(change{upstream: id})
		}
		if silent := age >= r.SilentAfter; silent != rec.Silent {
			rec.Silent = silent
			r.touch(change{upstream: id})
		}
	}
	for id, rec := range r.gone {
		if now.Sub(rec.at) >= rememberGone {
			delete(r.gone, id)
			if r.newest[id.UpstreamID()] == id {
				delete(r.newest, id.UpstreamID())
			}
		}
	}
}

// PutGroup adds or replaces a group.
func (r *Roster) PutGroup(g *Group) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.groups[g.Name] = *g
	r.touch(change{group: g.Name})
}

// DropGroup forgets a group.
func (r *Roster) DropGroup(name ident.Group) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.groups, name)
	r.touch(change{group: name})
}

// unreported is the least age of a report that only an earlier roster has seen; things may have changed since.
const unreported = 2 * time.Second

// Upstreams returns every upstream in the order of ids, and the age of each one's last report.
func (r *Roster) Upstreams(now time.Time) ([]Upstream, map[ident.Incarnation]time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Upstream, 0, len(r.upstreams))
	ages := make(map[ident.Incarnation]time.Duration, len(r.upstreams))
	for id, rec := range r.upstreams {
		list = append(list, rec.Upstream)
		ages[id] = now.Sub(rec.heard)
		if !rec.reported {
			ages[id] = max(ages[id], unreported)
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
	if rec := r.upstreams[id]; rec != nil {
		return rec.Upstream, true
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
	if revision == 0 || revision < r.base || revision > r.revision {
		return r.whole()
	}
	d := Delta{Revision: r.revision}
	told := map[change]bool{}
	for _, c := range r.journal[revision-r.base:] {
		if !told[c] {
			told[c] = true
			r.tell(&d, c)
		}
	}
	return d
}

// tell adds the present state of what c changed.
func (r *Roster) tell(d *Delta, c change) {
	if c.group != "" {
		if g, ok := r.groups[c.group]; ok {
			d.Groups = append(d.Groups, g)
			return
		}
		d.Dropped = append(d.Dropped, c.group)
		return
	}
	if rec := r.upstreams[c.upstream]; rec != nil {
		d.Upstreams = append(d.Upstreams, rec.Upstream)
		return
	}
	d.Gone = append(d.Gone, c.upstream)
}

func (r *Roster) whole() Delta {
	d := Delta{Full: true, Revision: r.revision}
	for _, rec := range r.upstreams {
		d.Upstreams = append(d.Upstreams, rec.Upstream)
	}
	for _, g := range r.groups {
		d.Groups = append(d.Groups, g)
	}
	return d
}
