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
	// unreadPart is the part of the requests at a group whose prompts are taken to be unread where nothing is heard of them: what first
	// words usually take of the time of whole answers.
	unreadPart = 0.2
	// spillPart is the part of the free slots of groups that an entry does not use which all entries together may fill until
	// the next counts, spillMost bounds what one entry may save up.
	spillPart = 0.5
	spillMost = 4.0
	// countSmoothing is the weight of a new interval between counts.
	countSmoothing = 0.2
)

// counts are the requests that the other entries have at each upstream, by the leader.
type counts struct {
	others map[ident.Incarnation]int
	// at is when they came, every how long after one another they come.
	at    time.Time
	every time.Duration
	// spill is how many requests this entry may send to groups that it does not use, by model.
	spill map[ident.Model]float64
}

// SetOthers tells how many requests the other entries have at each upstream.
func (s *Relay) SetOthers(others map[ident.Incarnation]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	c := &s.counts
	if !c.at.IsZero() {
		c.every += time.Duration(countSmoothing * float64(min(time.Second, now.Sub(c.at))-c.every))
	}
	c.others, c.at = others, now
	if s.entries == nil || s.entries.Together() {
		return
	}
	for _, models := range s.fleet.groups {
		for model, list := range models {
			c.spill[model] = min(spillMost, c.spill[model]+spillPart*s.freeElsewhere(list)/float64(s.entries.Total()))
		}
	}
}

// freeElsewhere returns how many slots are free in groups that this entry does not use; the mutex is held.
func (s *Relay) freeElsewhere(list []target) float64 {
	free := 0
	for i := range list {
		if t := &list[i]; !t.known {
			free += max(0, t.slots-s.counts.others[t.id])
		}
	}
	return float64(free)
}

// loadOf returns what is there at t by all that is known; the mutex is held.
func (s *Relay) loadOf(t *target, now time.Time) estimate.Load {
	ts := s.stateOf(t)
	others := s.counts.others[t.id]
	at := estimate.Load{Unread: ts.unreadNow(now)}
	if !t.known {
		at.Unread += ident.Tokens(unreadPart * float64(others) * float64(t.prompt))
		at.Requests = ts.inflight + others
		return at
	}
	age := now.Sub(s.counts.at) + s.counts.every/2
	at.Requests = ts.inflight + ts.heardSince(now.Add(-age))
	if others > 0 {
		at.Requests += t.times.Left(others, age)
	}
	return at
}
