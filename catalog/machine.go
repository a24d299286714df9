package catalog

// The log carries whole configurations in the form in which operators sent
// them. The machine keeps only the newest: a lower or equal version changes
// nothing, whoever sends it and however often, so resends and racing operators
// need no further bookkeeping.
//
//	v7 -> held 7;  v7 again -> held 7;  v5 -> held 7;  v9 -> held 9
//
// Orders to drain a hall, or to take it back, have no versions: the one that
// stands last in the log counts.

import (
	"bytes"
	"compress/gzip"
	"io"
	"slices"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

// Document is one configuration as an operator sent it, compressed: with many routes it is large, and it goes to every daemon.
type Document struct {
	Version httproute.Version `cbor:"1,keyasint"`
	Packed  []byte            `cbor:"2,keyasint"`
}

// maxDocumentBytes bounds a configuration after it is unpacked, in bytes.
const maxDocumentBytes = 64 << 20

// NewDocument packs body, which is opaque to this package.
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
	return Document{Version: version, Packed: packed.Bytes()}, nil
}

// Unpack returns the body of a packed document.
func Unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, result.Wrap(err, result.StorageDamaged, "a configuration cannot be unpacked")
	}
	body, err := io.ReadAll(io.LimitReader(r, maxDocumentBytes))
	if err != nil {
		return nil, result.Wrap(err, result.StorageDamaged, "a configuration cannot be unpacked")
	}
	return body, nil
}

// DrainRevision counts the changes of the drained halls.
type DrainRevision uint64

// Drained are the halls whose upstreams get no requests, in order.
type Drained struct {
	Revision DrainRevision `cbor:"1,keyasint"`
	Halls    []ident.Hall  `cbor:"2,keyasint"`
}

// Has reports whether a hall is drained.
func (d Drained) Has(hall ident.Hall) bool {
	return slices.Contains(d.Halls, hall)
}

// withOrder returns the halls after one is drained or taken back.
func (d Drained) withOrder(o *DrainOrder) Drained {
	halls := slices.DeleteFunc(slices.Clone(d.Halls), func(h ident.Hall) bool { return h == o.Hall })
	if o.Drain {
		halls = append(halls, o.Hall)
		slices.Sort(halls)
	}
	return Drained{Revision: d.Revision + 1, Halls: halls}
}

// DrainOrder drains a hall, or takes it back.
type DrainOrder struct {
	Hall  ident.Hall `cbor:"1,keyasint"`
	Drain bool       `cbor:"2,keyasint"`
}

// logEntry is one log entry: a document, or an order on a hall.
type logEntry struct {
	Document
	Drain *DrainOrder `cbor:"3,keyasint,omitempty"`
}

// snapshot is the whole state.
type snapshot struct {
	Document
	Drained Drained `cbor:"3,keyasint"`
}

// Answer tells what a proposed document did.
type Answer struct {
	// Held is the version that counts afterwards.
	Held httproute.Version
	// Changed is set when the document became the one that counts.
	Changed bool
	// Drained are the drained halls afterwards.
	Drained Drained
}

// Machine holds the newest document and the drained halls; its functions are called without locks after each change and are set before
// use.
type Machine struct {
	Changed      func(d Document)
	DrainChanged func(d Drained)

	mu      sync.RWMutex
	current Document
	drained Drained
}

// NewMachine returns a machine that holds nothing.
func NewMachine() *Machine {
	return &Machine{Changed: func(Document) {}, DrainChanged: func(Drained) {}}
}

// Encode returns the log entry of d.
func Encode(d Document) ([]byte, error) {
	return cbor.Marshal(d)
}

// EncodeDrain returns the log entry of o.
func EncodeDrain(o DrainOrder) ([]byte, error) {
	return cbor.Marshal(logEntry{Drain: &o})
}

// Apply executes one log entry; the same entries give the same state on each member.
func (m *Machine) Apply(data []byte) Answer {
	var e logEntry
	if err := cbor.Unmarshal(data, &e); err != nil {
		// The leader encoded it, so every member sees the same undecodable entry and skips it.
		return Answer{Held: m.Held().Version, Drained: m.Drained()}
	}
	if e.Drain != nil {
		return m.applyDrainOrder(e.Drain)
	}
	return m.setDocument(e.Document, false)
}

// applyDrainOrder carries an order out; one that changes nothing has no revision of its own.
func (m *Machine) applyDrainOrder(o *DrainOrder) Answer {
	m.mu.Lock()
	changed := m.drained.Has(o.Hall) != o.Drain
	if changed {
		m.drained = m.drained.withOrder(o)
	}
	answer := Answer{Held: m.current.Version, Drained: m.drained}
	m.mu.Unlock()
	if changed {
		m.DrainChanged(answer.Drained)
	}
	return answer
}

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
	return Answer{Held: current.Version, Changed: changed, Drained: drained}
}

// Held returns the newest document; its version is 0 before the first one.
func (m *Machine) Held() Document {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.current
}

// Drained returns the drained halls.
func (m *Machine) Drained() Drained {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.drained
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return cbor.Marshal(snapshot{m.current, m.drained})
}

// Restore replaces the whole state; empty data is the state before the first document.
func (m *Machine) Restore(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return result.Wrap(err, result.StorageDamaged, "the configuration in a snapshot cannot be decoded")
	}
	m.mu.Lock()
	m.drained = s.Drained
	m.mu.Unlock()
	m.DrainChanged(s.Drained)
	m.setDocument(s.Document, true)
	return nil
}
