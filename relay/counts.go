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
	c := &s.peerCounts
	if !c.receivedAt.IsZero() {
		c.interval += time.Duration(countSmoothing * float64(min(time.Second, now.Sub(c.receivedAt))-c.interval))
	}
	c.others, c.receivedAt = others, now
	if s.entries == nil || s.entries.AllUseAll() {
		return
	}
	for _, models := range s.index.groupTargets {
		for model, list := range models {
			c.spillCredit[model] = min(maxSpill, c.spillCredit[model]+spillFraction*s.freeOutsideSubset(list)/float64(s.entries.Total()))
		}
	}
}

// freeOutsideSubset returns how many slots are free in groups that this entry does not use; the mutex is held.
func (s *Relay) freeOutsideSubset(list []target) float64 {
	free := 0
	for i := range list {
		if t := &list[i]; !t.inSubset {
			free += max(0, t.slots-s.peerCounts.others[t.id])
		}
	}
	return float64(free)
}

// loadOf returns what is there at t by all that is known; the mutex is held.
func (s *Relay) loadOf(t *target, now time.Time) estimate.Load {
	ts := s.stateOf(t)
	others := s.peerCounts.others[t.id]
	at := estimate.Load{PendingPrompt: ts.pendingTokensNow(now)}
	if !t.inSubset {
		at.PendingPrompt += ident.Tokens(pendingFraction * float64(others) * float64(t.typicalPrompt))
		at.Requests = ts.inflight + others
		return at
	}
	age := now.Sub(s.peerCounts.receivedAt) + s.peerCounts.interval/2
	at.Requests = ts.inflight + ts.peerPromptsSince(now.Add(-age))
	if others > 0 {
		at.Requests += t.timing.Remaining(others, age)
	}
	return at
}
