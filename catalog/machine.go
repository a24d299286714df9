package catalog

// The log carries whole configurations in the form in which operators sent
// them. The machine keeps only the newest: a lower or equal version changes
// nothing, whoever sends it and however often, so resends and racing operators
// need no further bookkeeping.
//
//	v7 -> held 7;  v7 again -> held 7;  v5 -> held 7;  v9 -> held 9

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/result"
)

// Document is one configuration as an operator sent it, compressed: with many routes it is large, and it goes to every daemon.
type Document struct {
	Version httproute.Version `cbor:"1,keyasint"`
	Packed  []byte            `cbor:"2,keyasint"`
}

// maxBody bounds a configuration after it is unpacked, in bytes.
const maxBody = 64 << 20

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
	body, err := io.ReadAll(io.LimitReader(r, maxBody))
	if err != nil {
		return nil, result.Wrap(err, result.StorageDamaged, "a configuration cannot be unpacked")
	}
	return body, nil
}

// Answer tells what a proposed document did.
type Answer struct {
	// Held is the version that counts afterwards.
	Held httproute.Version
	// Changed is set when the document became the one that counts.
	Changed bool
}

// Machine holds the newest document; Changed is called without locks after each change and is set before use.
type Machine struct {
	Changed func(d Document)

	mu   sync.RWMutex
	held Document
}

// NewMachine returns a machine that holds nothing.
func NewMachine() *Machine {
	return &Machine{Changed: func(Document) {}}
}

// Encode returns the log entry of d.
func Encode(d Document) ([]byte, error) {
	return cbor.Marshal(d)
}

// Apply executes one log entry; the same entries give the same state on each member.
func (m *Machine) Apply(data []byte) Answer {
	var d Document
	if err := cbor.Unmarshal(data, &d); err != nil {
		// The leader encoded it, so every member sees the same undecodable entry and skips it.
		return Answer{Held: m.Held().Version}
	}
	return m.take(d, false)
}

func (m *Machine) take(d Document, replace bool) Answer {
	m.mu.Lock()
	changed := replace || d.Version > m.held.Version
	if changed {
		m.held = d
	}
	held := m.held
	m.mu.Unlock()
	if changed {
		m.Changed(held)
	}
	return Answer{Held: held.Version, Changed: changed}
}

// Held returns the newest document; its version is 0 before the first one.
func (m *Machine) Held() Document {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.held
}

// Snapshot returns the whole state.
func (m *Machine) Snapshot() ([]byte, error) {
	return cbor.Marshal(m.Held())
}

// Restore replaces the whole state; empty data is the state before the first document.
func (m *Machine) Restore(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	var d Document
	if err := cbor.Unmarshal(data, &d); err != nil {
		return result.Wrap(err, result.StorageDamaged, "the configuration in a snapshot cannot be decoded")
	}
	m.take(d, true)
	return nil
}
