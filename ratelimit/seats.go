package ratelimit

import (
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/sharing"
)

// listSpread is how long after one entry another one may have the same list of entries: until it has asked for it again.
const listSpread = time.Second

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
	// former are the entries as they were known before the list changed at changed.
	former  *sharing.Entries
	changed time.Time
}

// SetEntries takes another list of entries.
func (s *Coordinators) SetEntries(entries *sharing.Entries) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	if now.Sub(s.changed) > listSpread {
		s.former, s.changed = s.entries, now
	}
	s.entries = entries
}

// Of says which entry coordinates an upstream.
func (s *Coordinators) Of(upstream string) Coordinator {
	fresh := s.MayCoordinate()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		return Coordinator{Self: true, Entries: 1}
	}
	seat := Coordinator{Name: s.entries.Owner(upstream), Entries: max(s.TotalEntries, s.entries.Total())}
	switch {
	case seat.Name != s.entries.Self():
	case !fresh && seat.Entries > 1:
		seat.Name = ""
	default:
		seat.Self, seat.HoldOff = true, s.quiet(upstream)
	}
	return seat
}

// quiet is how long this entry, which coordinates an upstream now, lets nothing go there yet: others whose list of entries is older may
// still ask the former coordinator. The mutex is held.
func (s *Coordinators) quiet(upstream string) time.Duration {
	left := s.changed.Add(listSpread).Sub(s.Now())
	if left <= 0 || s.former != nil && s.former.Owner(upstream) == s.former.Self() {
		return 0
	}
	return left
}
