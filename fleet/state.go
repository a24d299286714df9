package fleet

import (
	"cmp"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

// historyLength is the minimum number of newest changes kept, a day at 18,000 changes; up to twice as many are kept.
const historyLength = 20_000

const stateFormat = 1

// State is the result of the commands in the log; it is the same on every daemon that has applied the same log.
type State struct {
	Format   int                               `cbor:"1,keyasint"`
	Revision ident.Revision                    `cbor:"2,keyasint"`
	VMs      map[ident.VM]*VM                  `cbor:"3,keyasint"`
	Groups   map[ident.Group]*Group            `cbor:"4,keyasint"`
	Limits   map[ident.Customer]CustomerLimits `cbor:"5,keyasint"`
	History  []HistoryEntry                    `cbor:"6,keyasint"`

	// historyPositions holds each change's index in History plus dropped.
	historyPositions map[ident.Change]int
	// dropped is the number of entries removed from the front of History.
	dropped int
}

// NewState returns the state before the first command.
func NewState() *State {
	return &State{
		Format:           stateFormat,
		VMs:              map[ident.VM]*VM{},
		Groups:           map[ident.Group]*Group{},
		Limits:           map[ident.Customer]CustomerLimits{},
		historyPositions: map[ident.Change]int{},
	}
}

// Marshal encodes the state; equal states give equal bytes.
func (s *State) Marshal() ([]byte, error) {
	return encoding.Marshal(s)
}

// UnmarshalState decodes what Marshal wrote; empty data gives the empty state.
func UnmarshalState(data []byte) (*State, error) {
	s := NewState()
	if len(data) == 0 {
		return s, nil
	}
	if err := cbor.Unmarshal(data, s); err != nil {
		return nil, result.Wrap(err, result.StorageDamaged, "fleet state cannot be decoded")
	}
	if s.Format > stateFormat {
		return nil, result.New(result.FormatTooNew, "fleet state has format %d, newest supported is %d", s.Format, stateFormat)
	}
	for i := range s.History {
		s.historyPositions[s.History[i].Change] = i
	}
	return s, nil
}

// SortedVMs returns the VMs by name.
func (s *State) SortedVMs() []*VM {
	return sortedValues(s.VMs)
}

// SortedGroups returns the groups by name.
func (s *State) SortedGroups() []*Group {
	return sortedValues(s.Groups)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func sortedValues[K cmp.Ordered, V any](m map[K]V) []V {
	values := make([]V, 0, len(m))
	for _, key := range sortedKeys(m) {
		values = append(values, m[key])
	}
	return values
}

func (s *State) findChange(id ident.Change) (*HistoryEntry, bool) {
	i, ok := s.historyPositions[id]
	if !ok {
		return nil, false
	}
	return &s.History[i-s.dropped], true
}

func (s *State) addHistory(h HistoryEntry) {
	s.historyPositions[h.Change] = s.dropped + len(s.History)
	s.History = append(s.History, h)
	if len(s.History) < 2*historyLength {
		return
	}
	// Dropping half at once keeps the amortized cost of a change constant.
	for i := range s.History[:historyLength] {
		delete(s.historyPositions, s.History[i].Change)
	}
	s.History = append([]HistoryEntry(nil), s.History[historyLength:]...)
	s.dropped += historyLength
}

// Clone returns a copy of VMs, groups and limits that later commands do not change; the history is left out.
func (s *State) Clone() *State {
	c := &State{
		Format: s.Format, Revision: s.Revision,
		VMs: make(map[ident.VM]*VM, len(s.VMs)), Groups: make(map[ident.Group]*Group, len(s.Groups)),
		Limits: maps.Clone(s.Limits),
	}
	for name, v := range s.VMs {
		copied := *v
		c.VMs[name] = &copied
	}
	for name, g := range s.Groups {
		copied := *g
		c.Groups[name] = &copied
	}
	return c
}
