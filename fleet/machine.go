package fleet

import (
	"sync"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

// Entry is one applied command as sent to other daemons.
type Entry struct {
	Revision ident.Revision
	Data     []byte
}

// feedLength is the minimum number of newest commands that a machine keeps for followers; it keeps up to twice as many.
const feedLength = 8192

// Machine guards a State and keeps the newest commands for followers; its revision never decreases.
type Machine struct {
	mu    sync.RWMutex
	state *State
	feed  []Entry
	// feedAfter is the newest revision that feed no longer contains.
	feedAfter ident.Revision
	changed   chan struct{}
}

// NewMachine returns a machine with the empty state.
func NewMachine() *Machine {
	return &Machine{state: NewState(), changed: make(chan struct{})}
}

// Apply executes one command of the log and returns its answer; a command with an old or equal revision is ignored.
func (m *Machine) Apply(revision ident.Revision, data []byte) Answer {
	c, err := Decode(data)
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision <= m.state.Revision {
		return Answer{Revision: m.state.Revision}
	}
	m.addToFeed(Entry{revision, data})
	if err != nil {
		m.state.Revision = revision
		return Answer{Revision: revision, Code: result.ChangeInvalid, Text: result.Message(err)}
	}
	return m.state.Apply(revision, c)
}

func (m *Machine) addToFeed(e Entry) {
	m.feed = append(m.feed, e)
	if len(m.feed) >= 2*feedLength {
		m.feedAfter = m.feed[feedLength-1].Revision
		m.feed = append([]Entry(nil), m.feed[feedLength:]...)
	}
}

// Notify closes the channel that Changed returned, which wakes its receivers.
func (m *Machine) Notify() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next Notify.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// Revision returns the newest applied revision.
func (m *Machine) Revision() ident.Revision {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Revision
}

// Read calls fn with the state, which fn must neither change nor keep.
func (m *Machine) Read(fn func(s *State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	fn(m.state)
}

// Snapshot returns the encoded state.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Marshal()
}

// Restore replaces the state with a snapshot taken at revision, unless the machine has a newer one.
func (m *Machine) Restore(revision ident.Revision, data []byte) error {
	s, err := UnmarshalState(data)
	if err != nil {
		return err
	}
	s.Revision = max(s.Revision, revision)
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.Revision < m.state.Revision {
		return nil
	}
	m.state = s
	m.feed = nil
	m.feedAfter = s.Revision
	return nil
}

// CommandsSince returns up to limit commands after revision; ok is false if some are no longer kept and the caller needs a snapshot.
func (m *Machine) CommandsSince(revision ident.Revision, limit int) (entries []Entry, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if revision >= m.state.Revision {
		return nil, true
	}
	if revision < m.feedAfter {
		return nil, false
	}
	i := len(m.feed)
	for i > 0 && m.feed[i-1].Revision > revision {
		i--
	}
	entries = m.feed[i:]
	return append([]Entry(nil), entries[:min(limit, len(entries))]...), true
}
