package ratelimit

import (
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/sharing"
)

// entryListDelay is how much later than one entry another one can receive a new list of entries, which it polls.
const entryListDelay = time.Second

// Coordinators assigns each upstream a coordinator from the list of entries. Exported fields are set before use.
type Coordinators struct {
	Now func() time.Time
	// MayCoordinate reports whether this entry may still coordinate upstreams. An entry without contact to control does
	// not know whether others have replaced it.
	MayCoordinate func() bool
	// TotalEntries is the number of entries if the list holds only the live ones, 0 if the list holds all of them.
	TotalEntries int

	mu      sync.Mutex
	entries *sharing.Entries
	// previous is the list of entries before the change at changedAt.
	previous  *sharing.Entries
	changedAt time.Time
}

// SetEntries replaces the list of entries.
func (c *Coordinators) SetEntries(entries *sharing.Entries) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	if now.Sub(c.changedAt) > entryListDelay {
		c.previous, c.changedAt = c.entries, now
	}
	c.entries = entries
}

// Of returns the coordinator of an upstream.
func (c *Coordinators) Of(upstream string) Coordinator {
	mayCoordinate := c.MayCoordinate()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		return Coordinator{Self: true, Entries: 1}
	}
	coordinator := Coordinator{Name: c.entries.Owner(upstream), Entries: max(c.TotalEntries, c.entries.Total())}
	switch {
	case coordinator.Name != c.entries.Self():
	case !mayCoordinate && coordinator.Entries > 1:
		coordinator.Name = ""
	default:
		coordinator.Self, coordinator.HoldOff = true, c.holdOff(upstream)
	}
	return coordinator
}

// holdOff returns how long this entry, as a new coordinator, must not grant yet. Entries with an older list can still
// ask the former coordinator. The mutex is held.
func (c *Coordinators) holdOff(upstream string) time.Duration {
	remaining := c.changedAt.Add(entryListDelay).Sub(c.Now())
	if remaining <= 0 || c.previous != nil && c.previous.Owner(upstream) == c.previous.Self() {
		return 0
	}
	return remaining
}
