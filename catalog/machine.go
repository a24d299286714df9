package catalog

// Each log entry is a complete configuration, a drain order or a change of the
// departures. The machine keeps only the configuration with the highest version.
// An equal or lower version changes nothing, so resends and concurrent operators
// need no further bookkeeping.
//
//	apply v7: current 7;  v7 again: 7;  v5: 7;  v9: 9
//
// Drain orders have no version, and copies of one can be delivered late and in any
// order. Each is therefore conditional on the newest order on its hall that its
// sender can have known, and is superseded by any order that was carried out since:
//
//	order 1: drain a     order 2: undrain a, after 1     order 3: drain a, after 2
//	a late copy of order 2, after 1: superseded, since order 3 is newer than 1

import (
	"bytes"
	"compress/gzip"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

// Document is one configuration as an operator sent it, compressed because it is sent to every daemon and is large with many routes.
type Document struct {
	Version    httproute.Version `cbor:"1,keyasint"`
	Compressed []byte            `cbor:"2,keyasint"`
}

// maxDocumentBytes bounds a decompressed configuration.
const maxDocumentBytes = 64 << 20

// NewDocument compresses body, which is opaque to this package.
func NewDocument(version httproute.Version, body []byte) (Document, error) {
	var packed bytes.Buffer
	w, err := gzip.NewWriterLevel(&packed, gzip.BestSpeed)
	if err != nil {
		return Document{}, err
	}
	if _, err := w.Write(body); err != nil {
		return Document{}, err
	}
	if err := w.Close(); err != nil {
		return Document{}, err
	}
	return Document{Version: version, Compressed: packed.Bytes()}, nil
}

// Decompress decompresses the body of a document.
func Decompress(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, result.Wrap(err, result.StorageDamaged, "configuration cannot be decompressed")
	}
	body, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes))
	if err != nil {
		return nil, result.Wrap(err, result.StorageDamaged, "configuration cannot be decompressed")
	}
	return body, nil
}

// DrainRevision counts the changes to the set of drained halls.
type DrainRevision uint64

// Drained is the sorted list of halls whose upstreams get no requests.
type Drained struct {
	Revision DrainRevision `cbor:"1,keyasint"`
	Halls    []ident.Hall  `cbor:"2,keyasint"`
}

// Has reports whether a hall is drained.
func (d Drained) Has(hall ident.Hall) bool {
	return slices.Contains(d.Halls, hall)
}

// withOrder returns the drained halls after o, under the next revision.
func (d Drained) withOrder(o *DrainOrder) Drained {
	halls := slices.DeleteFunc(slices.Clone(d.Halls), func(h ident.Hall) bool { return h == o.Hall })
	if o.Drain {
		halls = append(halls, o.Hall)
		slices.Sort(halls)
	}
	return Drained{Revision: d.Revision + 1, Halls: halls}
}

// OrderNumber counts the conditional drain orders that were carried out, including those that changed nothing.
type OrderNumber uint64

// DrainOrder drains a hall, or returns it to service if Drain is false.
type DrainOrder struct {
	Hall  ident.Hall `cbor:"1,keyasint"`
	Drain bool       `cbor:"2,keyasint"`
	// Conditional orders are superseded by orders on the same hall with a number above After. Builds before conditions carry them out
	// in any case.
	Conditional bool        `cbor:"3,keyasint,omitempty"`
	After       OrderNumber `cbor:"4,keyasint,omitempty"`
}

// orderNumbers are the number of the newest drain order, and those of the newest on each hall.
type orderNumbers struct {
	Newest OrderNumber                `cbor:"1,keyasint"`
	Halls  map[ident.Hall]OrderNumber `cbor:"2,keyasint,omitempty"`
}

// supersedes reports whether a newer order than o was carried out on its hall.
func (n *orderNumbers) supersedes(o *DrainOrder) bool {
	return o.Conditional && n.Halls[o.Hall] > o.After
}

// count gives o the next number. Unconditional orders get none, so that all members have the same numbers whatever build wrote their
// snapshot.
func (n *orderNumbers) count(o *DrainOrder) {
	if !o.Conditional {
		return
	}
	n.Newest++
	if n.Halls == nil {
		n.Halls = map[ident.Hall]OrderNumber{}
	}
	n.Halls[o.Hall] = n.Newest
}

// logEntry is a document or, if Drain or Departures is set, a drain order or a change of the departures. Members of builds
// without departures take such a change for a document without a version, which changes nothing.
type logEntry struct {
	Document
	Drain      *DrainOrder      `cbor:"3,keyasint,omitempty"`
	Departures *DepartureChange `cbor:"4,keyasint,omitempty"`
}

// snapshot is the encoded form of the machine's state.
type snapshot struct {
	Document
	Drained    Drained      `cbor:"3,keyasint"`
	Departures []Departure  `cbor:"4,keyasint,omitempty"`
	Orders     orderNumbers `cbor:"5,keyasint,omitempty"`
}

// Answer is the result of applying a log entry.
type Answer struct {
	// Version is the version in force after the entry.
	Version httproute.Version
	// Changed is set if the entry's document is now in force.
	Changed bool
	// Drained lists the drained halls after the entry.
	Drained Drained
	// Superseded is set if the entry's order was not carried out, and the hall is not in the state that it asks for.
	Superseded bool
}

// Machine holds the newest document, the drained halls and the departures. Its callbacks must be set before use; they are called after
// each change, without the lock held.
type Machine struct {
	Changed      func(d Document)
	DrainChanged func(d Drained)

	mu         sync.RWMutex
	current    Document
	drained    Drained
	orders     orderNumbers
	departures map[ident.Incarnation]Departure
	// orderedAt is when this process applied the newest order on each hall, or read it from a snapshot; it is not replicated.
	orderedAt map[ident.Hall]time.Time
}

// NewMachine returns a machine without a document, drained halls or departures.
func NewMachine() *Machine {
	return &Machine{
		Changed: func(Document) {}, DrainChanged: func(Drained) {},
		departures: map[ident.Incarnation]Departure{}, orderedAt: map[ident.Hall]time.Time{},
	}
}

// Encode returns d as a log entry.
func Encode(d Document) ([]byte, error) {
	return cbor.Marshal(d)
}

// EncodeDrain returns o as a log entry.
func EncodeDrain(o DrainOrder) ([]byte, error) {
	return cbor.Marshal(logEntry{Drain: &o})
}

// Apply executes one log entry; it is deterministic, so members with the same log have the same state.
func (m *Machine) Apply(data []byte) Answer {
	var e logEntry
	if err := cbor.Unmarshal(data, &e); err != nil {
		// The log is the same on every member, so all of them skip this entry.
		return Answer{Version: m.Current().Version, Drained: m.Drained()}
	}
	switch {
	case e.Drain != nil:
		return m.applyDrainOrder(e.Drain)
	case e.Departures != nil:
		return m.applyDepartures(e.Departures)
	}
	return m.setDocument(e.Document, false)
}

// applyDrainOrder drains a hall or returns it to service, unless a newer order was carried out; an order that changes nothing leaves the
// revision as it is.
func (m *Machine) applyDrainOrder(o *DrainOrder) Answer {
	m.mu.Lock()
	changes := m.drained.Has(o.Hall) != o.Drain
	superseded := m.orders.supersedes(o)
	if !superseded {
		m.orders.count(o)
		m.orderedAt[o.Hall] = clock.Now()
	}
	if changes && !superseded {
		m.drained = m.drained.withOrder(o)
	}
	answer := Answer{Version: m.current.Version, Drained: m.drained, Superseded: changes && superseded}
	m.mu.Unlock()
	if changes && !superseded {
		m.DrainChanged(answer.Drained)
	}
	return answer
}

// HallOrder returns the number of the newest order on a hall, 0 before the first, and when this process applied it.
func (m *Machine) HallOrder(hall ident.Hall) (OrderNumber, time.Time) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.orders.Halls[hall], m.orderedAt[hall]
}

// Supersedes reports whether o would have no effect if it were applied now, since a newer order on its hall was.
func (m *Machine) Supersedes(o *DrainOrder) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.orders.supersedes(o) && m.drained.Has(o.Hall) != o.Drain
}

// setDocument makes d current if its version is higher than the current one, or in any case if replace is set.
func (m *Machine) setDocument(d Document, replace bool) Answer {
	m.mu.Lock()
	changed := replace || d.Version > m.current.Version
	if changed {
		m.current = d
	}
	current, drained := m.current, m.drained
	m.mu.Unlock()
	if changed {
		m.Changed(current)
	}
	return Answer{Version: current.Version, Changed: changed, Drained: drained}
}

// Current returns the newest document, or one with version 0 before the first.
func (m *Machine) Current() Document {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.current
}

// Drained returns the drained halls with their revision.
func (m *Machine) Drained() Drained {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.drained
}

// Snapshot encodes the whole state for Restore.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return cbor.Marshal(snapshot{m.current, m.drained, m.sortedDepartures(), m.orders})
}

// Restore replaces the whole state with a snapshot; empty data, the snapshot of an empty log, changes nothing.
func (m *Machine) Restore(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return result.Wrap(err, result.StorageDamaged, "snapshot of the configuration cannot be decoded")
	}
	m.mu.Lock()
	m.drained, m.orders = s.Drained, s.Orders
	for hall := range s.Orders.Halls {
		m.orderedAt[hall] = clock.Now()
	}
	m.mu.Unlock()
	m.DrainChanged(s.Drained)
	m.restoreDepartures(s.Departures)
	m.setDocument(s.Document, true)
	return nil
}
