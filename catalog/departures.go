package catalog

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/dunlinquay/dunlinquay/ident"
)

// Departure is an upstream's announcement that it shuts down and must get no more requests.
type Departure struct {
	ID ident.Incarnation `cbor:"1,keyasint"`
	// SignedOff is set if the upstream sends no further reports.
	SignedOff bool `cbor:"2,keyasint,omitempty"`
}

// DepartureChange is a log entry that records departures and removes those of upstreams that have ended.
type DepartureChange struct {
	Added   []Departure         `cbor:"1,keyasint,omitempty"`
	Removed []ident.Incarnation `cbor:"2,keyasint,omitempty"`
}

// EncodeDepartures returns c as a log entry.
func EncodeDepartures(c *DepartureChange) ([]byte, error) {
	return cbor.Marshal(logEntry{Departures: c})
}

// Departures returns the recorded departures, ordered by id.
func (m *Machine) Departures() []Departure {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.sortedDepartures()
}

// HasDeparture reports whether d is recorded, or a sign-off of the same upstream, which includes every other departure.
func (m *Machine) HasDeparture(d Departure) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	recorded, ok := m.departures[d.ID]
	return ok && (recorded.SignedOff || !d.SignedOff)
}

func (m *Machine) sortedDepartures() []Departure {
	list := make([]Departure, 0, len(m.departures))
	for _, id := range slices.Sorted(maps.Keys(m.departures)) {
		list = append(list, m.departures[id])
	}
	return list
}

// applyDepartures adds and removes departures; a sign-off is never replaced by an earlier announcement.
func (m *Machine) applyDepartures(c *DepartureChange) Answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, d := range c.Added {
		d.SignedOff = d.SignedOff || m.departures[d.ID].SignedOff
		m.departures[d.ID] = d
	}
	for _, id := range c.Removed {
		delete(m.departures, id)
	}
	return Answer{Version: m.current.Version, Drained: m.drained}
}

func (m *Machine) restoreDepartures(list []Departure) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.departures = map[ident.Incarnation]Departure{}
	for _, d := range list {
		m.departures[d.ID] = d
	}
}
