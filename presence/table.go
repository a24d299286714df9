package presence

// A group may be sent a request only while each member's newest observation is
// positive, younger than the presence bound, and of the incarnation and epoch
// that the group was formed with. The check stands on the path of every
// request, so each VM has a Cell that is read without a lock:
//
//	cell.Observe(...)         // from watchers, a few times a second
//	cell.Present(now, want)   // at each dispatch
//
// Observations travel as ages, because the clocks of two VMs need not agree;
// the receiver subtracts the age from its own clock.

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// ProbeResult is what a probe saw.
type ProbeResult uint8

// The sights: an answer, a definite refusal such as a closed port, and silence.
const (
	ProbeAnswered ProbeResult = iota
	ProbeRefused
	ProbeTimedOut
)

// Observation is one watcher's newest probe of one VM; Age is in milliseconds at the time of sending.
type Observation struct {
	VM          ident.VM
	Sight       ProbeResult
	Age         int64
	Incarnation ident.Incarnation
	Group       ident.Group
	Epoch       ident.Epoch
	Leaving     bool
	Slots       int
	Running     int
	Queued      int
}

// DatedObservation is the newest definite observation of a VM, at the receiver's clock.
type DatedObservation struct {
	At time.Time
	Observation
}

// Member is what a group's formation expects of one VM.
type Member struct {
	Cell        *VMRecord
	Incarnation ident.Incarnation
	Epoch       ident.Epoch
}

// VMRecord holds what is known of one VM; its methods may be called concurrently.
type VMRecord struct {
	latest     atomic.Pointer[DatedObservation]
	answeredAt latestTime // the newest answer
	reportedAt latestTime // the newest report of any kind
	failedAt   latestTime // the newest passive failure
}

// latestTime is a point in time that only moves forward. It keeps the monotonic clock's reading, which a plain number of
// nanoseconds would lose: a wall clock that is set back must not make an old answer young again.
type latestTime struct {
	at atomic.Pointer[time.Time]
}

func (s *latestTime) advance(to time.Time) {
	for {
		old := s.at.Load()
		if old != nil && !to.After(*old) || s.at.CompareAndSwap(old, &to) {
			return
		}
	}
}

// age returns how long ago the point was; ok is false when there was none.
func (s *latestTime) age(now time.Time) (age time.Duration, ok bool) {
	at := s.at.Load()
	if at == nil {
		return 0, false
	}
	return now.Sub(*at), true
}

// before reports whether the point lies before t; one that never was does.
func (s *latestTime) before(t time.Time) bool {
	at := s.at.Load()
	return at == nil || at.Before(t)
}

// Observe takes an observation that arrived at now.
func (r *VMRecord) Observe(now time.Time, o *Observation) {
	at := now.Add(-time.Duration(o.Age) * time.Millisecond)
	r.reportedAt.advance(at)
	if o.Sight == ProbeTimedOut {
		return
	}
	if o.Sight == ProbeAnswered {
		r.answeredAt.advance(at)
	}
	for {
		old := r.latest.Load()
		if old != nil && !at.After(old.At) {
			return
		}
		if r.latest.CompareAndSwap(old, &DatedObservation{At: at, Observation: *o}) {
			return
		}
	}
}

// Fail notes a failure met while using the VM; only an observation made after it counts again.
func (r *VMRecord) Fail(now time.Time) {
	r.failedAt.advance(now)
}

// Latest returns the newest definite observation, or nil.
func (r *VMRecord) Latest() *DatedObservation {
	return r.latest.Load()
}

// PositiveAge returns how long ago the VM answered a probe; ok is false when it never did.
func (r *VMRecord) PositiveAge(now time.Time) (age time.Duration, ok bool) {
	return r.answeredAt.age(now)
}

// ReportAge returns how long ago any watcher reported on the VM; ok is false when none ever did.
func (r *VMRecord) ReportAge(now time.Time) (age time.Duration, ok bool) {
	return r.reportedAt.age(now)
}

// Present reports whether the VM is there, in the wanted incarnation and epoch, as of at most bound ago.
func (m *Member) Present(now time.Time, bound time.Duration) bool {
	latest := m.Cell.latest.Load()
	if latest == nil || latest.Sight != ProbeAnswered || latest.Leaving {
		return false
	}
	if now.Sub(latest.At) > bound || !m.Cell.failedAt.before(latest.At) {
		return false
	}
	return latest.Incarnation == m.Incarnation && latest.Epoch == m.Epoch
}

// Table holds the cells of all VMs by name.
type Table struct {
	mu      sync.RWMutex
	records map[ident.VM]*VMRecord
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[ident.VM]*VMRecord{}}
}

// Cell returns the cell of that VM, making it when it is new.
func (t *Table) Cell(name ident.VM) *VMRecord {
	t.mu.RLock()
	r := t.records[name]
	t.mu.RUnlock()
	if r != nil {
		return r
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r = t.records[name]; r == nil {
		r = &VMRecord{}
		t.records[name] = r
	}
	return r
}

// Observe takes observations that arrived at now.
func (t *Table) Observe(now time.Time, observations []Observation) {
	for i := range observations {
		t.Cell(observations[i].VM).Observe(now, &observations[i])
	}
}
