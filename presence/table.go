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
	seen     atomic.Pointer[DatedObservation]
	positive stamp // the newest answer
	reported stamp // the newest report of any kind
	failed   stamp // the newest passive failure
}

// stamp is a point in time that only moves forward. It keeps the monotonic clock's reading, which a plain number of
// nanoseconds would lose: a wall clock that is set back must not make an old answer young again.
type stamp struct {
	at atomic.Pointer[time.Time]
}

func (s *stamp) raise(to time.Time) {
	for {
		old := s.at.Load()
		if old != nil && !to.After(*old) || s.at.CompareAndSwap(old, &to) {
			return
		}
	}
}

// age returns how long ago the point was; ok is false when there was none.
func (s *stamp) age(now time.Time) (age time.Duration, ok bool) {
	at := s.at.Load()
	if at == nil {
		return 0, false
	}
	return now.Sub(*at), true
}

// before reports whether the point lies before t; one that never was does.
func (s *stamp) before(t time.Time) bool {
	at := s.at.Load()
	return at == nil || at.Before(t)
}

// Observe takes an observation that arrived at now.
func (c *VMRecord) Observe(now time.Time, o *Observation) {
	at := now.Add(-time.Duration(o.Age) * time.Millisecond)
	c.reported.raise(at)
	if o.Sight == ProbeTimedOut {
		return
	}
	if o.Sight == ProbeAnswered {
		c.positive.raise(at)
	}
	for {
		old := c.seen.Load()
		if old != nil && !at.After(old.At) {
			return
		}
		if c.seen.CompareAndSwap(old, &DatedObservation{At: at, Observation: *o}) {
			return
		}
	}
}

// Fail notes a failure met while using the VM; only an observation made after it counts again.
func (c *VMRecord) Fail(now time.Time) {
	c.failed.raise(now)
}

// Latest returns the newest definite observation, or nil.
func (c *VMRecord) Latest() *DatedObservation {
	return c.seen.Load()
}

// PositiveAge returns how long ago the VM answered a probe; ok is false when it never did.
func (c *VMRecord) PositiveAge(now time.Time) (age time.Duration, ok bool) {
	return c.positive.age(now)
}

// ReportAge returns how long ago any watcher reported on the VM; ok is false when none ever did.
func (c *VMRecord) ReportAge(now time.Time) (age time.Duration, ok bool) {
	return c.reported.age(now)
}

// Present reports whether the VM is there, in the wanted incarnation and epoch, as of at most bound ago.
func (m *Member) Present(now time.Time, bound time.Duration) bool {
	s := m.Cell.seen.Load()
	if s == nil || s.Sight != ProbeAnswered || s.Leaving {
		return false
	}
	if now.Sub(s.At) > bound || !m.Cell.failed.before(s.At) {
		return false
	}
	return s.Incarnation == m.Incarnation && s.Epoch == m.Epoch
}

// Table holds the cells of all VMs by name.
type Table struct {
	mu    sync.RWMutex
	cells map[ident.VM]*VMRecord
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{cells: map[ident.VM]*VMRecord{}}
}

// Cell returns the cell of that VM, making it when it is new.
func (t *Table) Cell(name ident.VM) *VMRecord {
	t.mu.RLock()
	c := t.cells[name]
	t.mu.RUnlock()
	if c != nil {
		return c
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c = t.cells[name]; c == nil {
		c = &VMRecord{}
		t.cells[name] = c
	}
	return c
}

// Observe takes observations that arrived at now.
func (t *Table) Observe(now time.Time, observations []Observation) {
	for i := range observations {
		t.Cell(observations[i].VM).Observe(now, &observations[i])
	}
}
