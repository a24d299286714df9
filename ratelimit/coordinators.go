package ratelimit

import (
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/sharing"
)

// entryListDelay is how long after one entry another one may have the same list of entries: until it has asked for it again.
const entryListDelay = time.Second

// Coordinators say which entry coordinates an upstream, by the list of entries; exported fields are set before use.
type Coordinators struct {
	Now func() time.Time
	// MayCoordinate reports whether this entry may still coordinate upstreams: one that has lost control does not know whether others have taken
	// its place.
	MayCoordinate func() bool
	// TotalEntries is how many entries there are when the list has only those that are known to be alive, 0 when it has all.
	TotalEntries int

	mu      sync.Mutex
	entries *sharing.Entries
	// previous are the entries as they were known before the list changed at changed.
	previous  *sharing.Entries
	changedAt time.Time
}

// SetEntries takes another list of entries.
func (c *Coordinators) SetEntries(entries *sharing.Entries) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	if now.Sub(c.changedAt) > entryListDelay {
		c.previous, c.changedAt = c.entries, now
	}
	c.entries = entries
}

// Of says which entry coordinates an upstream.
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

// holdOff is how long this entry, which coordinates an upstream now, lets nothing go there yet: others whose list of entries is older may
// still ask the former coordinator. The mutex is held.
func (c *Coordinators) holdOff(upstream string) time.Duration {
	remaining := c.changedAt.Add(entryListDelay).Sub(c.Now())
	if remaining <= 0 || c.previous != nil && c.previous.Owner(upstream) == c.previous.Self() {
		return 0
	}
	return remaining
}
