package presence

// A group may get requests only while each member's newest observation is
// positive, younger than the presence bound, and of the incarnation and epoch
// that the group was formed with. The check is made for every request, so each
// VM has a VMRecord that is read without a lock:
//
//	record.Observe(now, observation)   // from watchers, a few times a second
//	member.Present(now, bound)         // at each dispatch
//
// Observations are sent with their age instead of a time, because the clocks of
// two VMs may differ; the receiver subtracts the age from its own clock.

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// ProbeResult is the result of a probe.
type ProbeResult uint8

// The results: an answer, a definite refusal such as a closed port, and no answer.
const (
	ProbeAnswered ProbeResult = iota
	ProbeRefused
	ProbeTimedOut
)

// Observation is one watcher's newest probe of one VM. Age is in milliseconds at the time of sending; Sight is the result.
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

// DatedObservation is an observation with its time by the receiver's clock.
type DatedObservation struct {
	At time.Time
	Observation
}

// Member is the incarnation and epoch that a group expects of one VM.
type Member struct {
	Cell        *VMRecord
	Incarnation ident.Incarnation
	Epoch       ident.Epoch
}

// VMRecord holds the observations of one VM; its methods may be called concurrently.
type VMRecord struct {
	latest     atomic.Pointer[DatedObservation]
	answeredAt latestTime // when the VM last answered a probe
	reportedAt latestTime // when a watcher last probed the VM, with any result
	failedAt   latestTime // when the last request to the VM failed
}

// latestTime is a point in time that only moves forward. It keeps the monotonic clock reading, which a number of nanoseconds would lose: a
// wall clock that is set back must not make an old answer count as recent.
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

// age returns how long ago the point was; ok is false if none was set.
func (s *latestTime) age(now time.Time) (age time.Duration, ok bool) {
	at := s.at.Load()
	if at == nil {
		return 0, false
	}
	return now.Sub(*at), true
}

// before reports whether the point is before t or was never set.
func (s *latestTime) before(t time.Time) bool {
	at := s.at.Load()
	return at == nil || at.Before(t)
}

// Observe applies an observation that arrived at now.
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

// Fail records that a request to the VM failed; only a later observation shows the VM as present again.
func (r *VMRecord) Fail(now time.Time) {
	r.failedAt.advance(now)
}

// Latest returns the newest observation with an answer or a refusal, or nil.
func (r *VMRecord) Latest() *DatedObservation {
	return r.latest.Load()
}

// PositiveAge returns how long ago the VM last answered a probe; ok is false if it never did.
func (r *VMRecord) PositiveAge(now time.Time) (age time.Duration, ok bool) {
	return r.answeredAt.age(now)
}

// ReportAge returns how long ago a watcher last probed the VM, with any result; ok is false if none ever did.
func (r *VMRecord) ReportAge(now time.Time) (age time.Duration, ok bool) {
	return r.reportedAt.age(now)
}

// Present reports whether an observation not older than bound shows the VM as present in the expected incarnation and epoch.
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

// Table holds the records of all VMs by name.
type Table struct {
	mu      sync.RWMutex
	records map[ident.VM]*VMRecord
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{records: map[ident.VM]*VMRecord{}}
}

// Cell returns the record of a VM, creating it if there is none.
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

// Observe applies observations that arrived at now.
func (t *Table) Observe(now time.Time, observations []Observation) {
	for i := range observations {
		t.Cell(observations[i].VM).Observe(now, &observations[i])
	}
}
