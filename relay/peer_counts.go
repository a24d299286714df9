package relay

// How many requests other entries have at a group comes from the leader, some
// tenths of a second late. Of the groups that this entry uses it hears what was
// sent since, so it can tell what is there now. Of all other groups it knows
// only these counts, as do all entries at the same moment: what has room by them
// would get the requests of everybody. So each entry sends there no more than
// its part of the room.

import (
	"time"

	"github.com/dunlinquay/dunlinquay/estimate"
	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// pendingFraction is the part of the requests at a group whose prompts are taken to be unread where nothing is heard of them: what first
	// words usually take of the time of whole answers.
	pendingFraction = 0.2
	// spillFraction is the part of the free slots of groups that an entry does not use which all entries together may fill until
	// the next counts, maxSpill bounds what one entry may save up.
	spillFraction = 0.5
	maxSpill      = 4.0
	// countSmoothing is the weight of a new interval between counts.
	countSmoothing = 0.2
)

// peerCounts are the requests that the other entries have at each upstream, by the leader.
type peerCounts struct {
	others map[ident.Incarnation]int
	// receivedAt is when they came, every how long after one another they come.
	receivedAt time.Time
	interval   time.Duration
	// spillCredit is how many requests this entry may send to groups that it does not use, by model.
	spillCredit map[ident.Model]float64
}

// SetPeerCounts tells how many requests the other entries have at each upstream.
func (s *Relay) SetPeerCounts(others map[ident.Incarnation]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	counts := &s.peerCounts
	if !counts.receivedAt.IsZero() {
		counts.interval += time.Duration(countSmoothing * float64(min(time.Second, now.Sub(counts.receivedAt))-counts.interval))
	}
	counts.others, counts.receivedAt = others, now
	if s.entries == nil || s.entries.AllUseAll() {
		return
	}
	for _, byModel := range s.index.groupTargets {
		for model, targets := range byModel {
			counts.spillCredit[model] = min(maxSpill, counts.spillCredit[model]+spillFraction*s.freeOutsideSubset(targets)/float64(s.entries.Total()))
		}
	}
}

// freeOutsideSubset returns how many slots are free in groups that this entry does not use; the mutex is held.
func (s *Relay) freeOutsideSubset(targets []target) float64 {
	free := 0
	for i := range targets {
		if t := &targets[i]; !t.inSubset {
			free += max(0, t.slots-s.peerCounts.others[t.id])
		}
	}
	return float64(free)
}

// loadOf returns what is there at t by all that is known; the mutex is held.
func (s *Relay) loadOf(t *target, now time.Time) estimate.Load {
	state := s.stateOf(t)
	others := s.peerCounts.others[t.id]
	load := estimate.Load{PendingPrompt: state.pendingTokensNow(now)}
	if !t.inSubset {
		load.PendingPrompt += ident.Tokens(pendingFraction * float64(others) * float64(t.typicalPrompt))
		load.Requests = state.inflight + others
		return load
	}
	age := now.Sub(s.peerCounts.receivedAt) + s.peerCounts.interval/2
	load.Requests = state.inflight + state.peerPromptsSince(now.Add(-age))
	if others > 0 {
		load.Requests += t.timing.Remaining(others, age)
	}
	return load
}
