package routing

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/presence"
)

// Target is one epoch of one group as a place to send requests; exported fields do not change once it is in a Table.
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
	// slowdown is the recent time per token relative to the others, as float bits; slowdownAt is when it was last measured.
	slowdown   atomic.Uint64
	slowdownAt atomic.Int64
	// cacheVersion is bumped when cache events were missed, which voids what is believed of the cache.
	cacheVersion atomic.Uint64
}

var lastID atomic.Uint64

// NewTarget returns a target with a number of its own.
func NewTarget() *Target {
	t := &Target{id: lastID.Add(1)}
	t.slowdown.Store(math.Float64bits(1))
	return t
}

// Whole reports whether every member is present as of at most bound ago.
func (t *Target) Whole(now time.Time, bound time.Duration) bool {
	for i := range t.Members {
		if !t.Members[i].Present(now, bound) {
			return false
		}
	}
	return len(t.Members) > 0
}

// HeadIncarnation returns the life of the first member, to which requests are sent.
func (t *Target) HeadIncarnation() ident.Incarnation {
	return t.Members[0].Incarnation
}

// InFlight returns the number of this daemon's requests at the target.
func (t *Target) InFlight() int {
	return int(t.inFlight.Load())
}

// FailHead notes that the first member could not be used.
func (t *Target) FailHead(now time.Time) {
	t.Members[0].Cell.Fail(now)
}

// load returns the slots and the requests there, own ones exactly and those of other daemons as last reported.
func (t *Target) load() (slots, busy int) {
	own := int(t.inFlight.Load())
	s := t.Members[0].Cell.Latest()
	if s == nil {
		return 1, own
	}
	// The report is late, and counts some of this daemon's own requests; the larger number is the safer one.
	return max(s.Slots, 1), max(own, s.Running+s.Queued)
}

const (
	slowdownWeight   = 0.2
	slowdownHalfLife = 10 * time.Second
	maxSlowdown      = 8
)

// RecordPace takes one answer's time per token relative to what is usual for its model.
func (t *Target) RecordPace(now time.Time, relative float64) {
	relative = min(relative, maxSlowdown)
	previous := t.currentSlowdown(now)
	t.slowdown.Store(math.Float64bits(previous + slowdownWeight*(relative-previous)))
	t.slowdownAt.Store(now.UnixNano())
}

// currentSlowdown returns the pace, which drifts back to 1 while nothing is measured, so that a slow target is tried again.
func (t *Target) currentSlowdown(now time.Time) float64 {
	slowdown := math.Float64frombits(t.slowdown.Load())
	idle := time.Duration(now.UnixNano() - t.slowdownAt.Load())
	if slowdown <= 1 || idle <= 0 {
		return slowdown
	}
	return 1 + (slowdown-1)*math.Exp2(-float64(idle)/float64(slowdownHalfLife))
}

// HasAdapter reports whether the adapter is loaded; no adapter always is.
func (t *Target) HasAdapter(adapter string) bool {
	return adapter == "" || slices.Contains(t.Adapters, adapter)
}

// Leaving reports whether a member has said that it leaves: it takes nothing new and ends what it has.
func (t *Target) Leaving() bool {
	for i := range t.Members {
		if s := t.Members[i].Cell.Latest(); s != nil && s.Leaving {
			return true
		}
	}
	return false
}
