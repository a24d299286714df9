package ratelimit

import (
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/sharing"
)

// listSpread is how long after one entry another one may have the same list of entries: until it has asked for it again.
const listSpread = time.Second

// Seats say which entry coordinates an upstream, by the list of entries; exported fields are set before use.
type Seats struct {
	Now func() time.Time
	// Fresh reports whether this entry may still coordinate upstreams: one that has lost control does not know whether others have taken
	// its place.
	Fresh func() bool
	// All is how many entries there are when the list has only those that are known to be alive, 0 when it has all.
	All int

	mu      sync.Mutex
	entries *sharing.Entries
	// former are the entries as they were known before the list changed at changed.
	former  *sharing.Entries
	changed time.Time
}

// Set takes another list of entries.
func (s *Seats) Set(entries *sharing.Entries) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	if now.Sub(s.changed) > listSpread {
		s.former, s.changed = s.entries, now
	}
	s.entries = entries
}

// Of says which entry coordinates an upstream.
func (s *Seats) Of(upstream string) Seat {
	fresh := s.Fresh()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		return Seat{Self: true, Entries: 1}
	}
	seat := Seat{Name: s.entries.First(upstream), Entries: max(s.All, s.entries.Total())}
	switch {
	case seat.Name != s.entries.Self():
	case !fresh && seat.Entries > 1:
		seat.Name = ""
	default:
		seat.Self, seat.Quiet = true, s.quiet(upstream)
	}
	return seat
}

// quiet is how long this entry, which coordinates an upstream now, lets nothing go there yet: others whose list of entries is older may
// still ask the former coordinator. The mutex is held.
func (s *Seats) quiet(upstream string) time.Duration {
	left := s.changed.Add(listSpread).Sub(s.Now())
	if left <= 0 || s.former != nil && s.former.First(upstream) == s.former.Self() {
		return 0
	}
	return left
}
