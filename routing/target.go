package routing

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/presence"
)

// Target is one epoch of one group, to which requests can be sent. Exported fields do not change once the target is in a Table.
type Target struct {
	Group    ident.Group
	Epoch    ident.Epoch
	Model    ident.Model
	Adapters []string
	Hall     ident.Hall
	// Head is host:port of the first member.
	Head    string
	Members []presence.Member

	id       uint64
	inFlight atomic.Int64
	// slowdown is a moving average of the time per token relative to other targets, as float bits; slowdownAt is the time of its last
	// update, in Unix nanoseconds.
	slowdown   atomic.Uint64
	slowdownAt atomic.Int64
	// cacheVersion is incremented when cache events were missed, which invalidates all records of the cache.
	cacheVersion atomic.Uint64
}

var lastID atomic.Uint64

// NewTarget returns a target with a unique id.
func NewTarget() *Target {
	t := &Target{id: lastID.Add(1)}
	t.slowdown.Store(math.Float64bits(1))
	return t
}

// Whole reports whether every member is present by an observation not older than bound.
func (t *Target) Whole(now time.Time, bound time.Duration) bool {
	for i := range t.Members {
		if !t.Members[i].Present(now, bound) {
			return false
		}
	}
	return len(t.Members) > 0
}

// HeadIncarnation returns the incarnation of the first member, to which requests are sent.
func (t *Target) HeadIncarnation() ident.Incarnation {
	return t.Members[0].Incarnation
}

// InFlight returns the number of this daemon's requests at the target.
func (t *Target) InFlight() int {
	return int(t.inFlight.Load())
}

// FailHead records that a request to the first member failed.
func (t *Target) FailHead(now time.Time) {
	t.Members[0].Cell.Fail(now)
}

// load returns the slots and the number of requests at the target: this daemon's own or the reported number, whichever is larger.
func (t *Target) load() (slots, busy int) {
	own := int(t.inFlight.Load())
	s := t.Members[0].Cell.Latest()
	if s == nil {
		return 1, own
	}
	// The report is late and includes some of this daemon's own requests, so the two numbers cannot be added; the larger one is safer.
	return max(s.Slots, 1), max(own, s.Running+s.Queued)
}

const (
	slowdownWeight   = 0.2
	slowdownHalfLife = 10 * time.Second
	maxSlowdown      = 8
)

// RecordPace updates the slowdown with one answer's time per token, relative to the typical one of its model.
func (t *Target) RecordPace(now time.Time, relative float64) {
	relative = min(relative, maxSlowdown)
	previous := t.currentSlowdown(now)
	t.slowdown.Store(math.Float64bits(previous + slowdownWeight*(relative-previous)))
	t.slowdownAt.Store(now.UnixNano())
}

// currentSlowdown returns the slowdown, which decays to 1 while there are no answers, so that a slow target is tried again.
func (t *Target) currentSlowdown(now time.Time) float64 {
	slowdown := math.Float64frombits(t.slowdown.Load())
	idle := time.Duration(now.UnixNano() - t.slowdownAt.Load())
	if slowdown <= 1 || idle <= 0 {
		return slowdown
	}
	return 1 + (slowdown-1)*math.Exp2(-float64(idle)/float64(slowdownHalfLife))
}

// HasAdapter reports whether the adapter is loaded; true without an adapter.
func (t *Target) HasAdapter(adapter string) bool {
	return adapter == "" || slices.Contains(t.Adapters, adapter)
}

// Leaving reports whether a member is shutting down: it accepts no new requests and finishes those that it has.
func (t *Target) Leaving() bool {
	for i := range t.Members {
		if s := t.Members[i].Cell.Latest(); s != nil && s.Leaving {
			return true
		}
	}
	return false
}
