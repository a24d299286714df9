package replicaset

// A site that loses members of groups every few seconds needs more spares than one
// that loses a member a day, so the leader measures the rate. The rate is a decaying
// sum that starts at 0: a new leader keeps spares as if nothing were lost, and has
// the full rate after some half-lives.
//
// Example: 222 upstreams that lose two members every three seconds have a rate of
// 0.003 per second and upstream.

import (
	"math"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

// lossHalfLife is the half-life of the rate of losses: shorter than a load from the store, so that spares are kept only while losses
// continue, and long enough to cover several losses.
const lossHalfLife = 10 * time.Second

// lossCounter is a decaying count of the upstreams that were unexpectedly lost from groups.
type lossCounter struct {
	count     float64
	decayedAt time.Time
	// lastInGroup holds when an upstream was last in a group; upstreams that have reported since they left their group are removed.
	lastInGroup map[ident.Incarnation]time.Time
}

// countLosses counts the members of groups that were lost since the last step. Upstreams that announced their shutdown are not counted.
func (f *Formation) countLosses() {
	now := f.snapshot.Now
	f.losses.decay(now)
	for id, at := range f.losses.lastInGroup {
		u := f.byID[id]
		switch {
		case u == nil, f.isLost(u):
			f.losses.count++
			delete(f.losses.lastInGroup, id)
		case u.Draining, f.snapshot.ReportAges[id] < now.Sub(at):
			delete(f.losses.lastInGroup, id)
		}
	}
	for _, g := range f.groups() {
		for _, id := range g.Members {
			if u := f.byID[id]; u != nil && !u.Draining && !f.isLost(u) {
				f.losses.lastInGroup[id] = now
			}
		}
	}
}

// isLost reports whether an upstream neither reports nor accepts connections.
func (f *Formation) isLost(u *roster.Upstream) bool {
	return !u.Draining && (u.Silent || f.snapshot.Unreachable[u.ID])
}

func (c *lossCounter) decay(now time.Time) {
	if !c.decayedAt.IsZero() {
		c.count *= math.Exp2(-float64(now.Sub(c.decayedAt)) / float64(lossHalfLife))
	}
	c.decayedAt = now
}

// lossRate returns the losses per second and upstream.
func (f *Formation) lossRate() float64 {
	reporting := 0
	for _, u := range f.byID {
		if !u.Silent {
			reporting++
		}
	}
	if reporting == 0 {
		return 0
	}
	return f.losses.count * math.Ln2 / lossHalfLife.Seconds() / float64(reporting)
}
