package presence

import (
	"sort"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// Peer is the last known state of one daemon.
type Peer struct {
	Name        ident.Daemon
	Hall        ident.Hall
	Incarnation ident.Incarnation
	Revision    ident.Revision
	LastContact time.Time
	Stopping    bool
	// InFlight counts requests in progress at groups that are draining.
	InFlight map[ident.Group]int
}

// Members holds the known daemons and decides which of them are live.
type Members struct {
	// Bound is the time since the last contact after which a daemon is no longer live.
	Bound time.Duration

	mu    sync.RWMutex
	peers map[ident.Daemon]Peer
}

// NewMembers returns an empty table.
func NewMembers(bound time.Duration) *Members {
	return &Members{Bound: bound, peers: map[ident.Daemon]Peer{}}
}

// Update stores the state that a daemon reports of itself. Within one incarnation the revision never decreases.
func (m *Members) Update(p Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.peers[p.Name]
	if old.Incarnation == p.Incarnation {
		p.Revision = max(p.Revision, old.Revision)
	}
	m.peers[p.Name] = p
}

// Get returns the last known state of a daemon.
func (m *Members) Get(name ident.Daemon) (Peer, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	p, ok := m.peers[name]
	return p, ok
}

// Live returns the daemons with a contact within the bound, sorted by name.
func (m *Members) Live(now time.Time) []Peer {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var live []Peer
	for _, p := range m.peers {
		if now.Sub(p.LastContact) <= m.Bound {
			live = append(live, p)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Name < live[j].Name })
	return live
}

// All returns every daemon that ever reported, sorted by name.
func (m *Members) All() []Peer {
	m.mu.RLock()
	defer m.mu.RUnlock()
	all := make([]Peer, 0, len(m.peers))
	for _, p := range m.peers {
		all = append(all, p)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}
