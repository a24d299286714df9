package relay

// The request counts of the other entries are sent by the leader, some tenths of
// a second late. For the groups in its subset, an entry is notified of what was
// sent since, so it knows the present load. For all other groups it knows only
// the counts, as do all entries at the same time, and a group with free capacity
// by these counts would get requests from all of them. Each entry therefore
// uses no more than its share of that capacity.

import (
	"time"

	"github.com/dunlinquay/dunlinquay/estimate"
	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// pendingFraction is the assumed fraction of the requests at a group outside the subset whose prompts are pending: the typical time
	// to first event relative to the time of a complete answer.
	pendingFraction = 0.2
	// spillFraction is the fraction of the free slots outside the subset that all entries together can fill until the next counts;
	// maxSpill bounds the credit that one entry accumulates.
	spillFraction = 0.5
	maxSpill      = 4.0
	// countSmoothing is the weight of a new interval in the mean interval between counts.
	countSmoothing = 0.2
)

// peerCounts are the request counts of the other entries by upstream, as sent by the leader.
type peerCounts struct {
	others map[ident.Incarnation]int
	// receivedAt is when they were received, interval the mean time between them.
	receivedAt time.Time
	interval   time.Duration
	// spillCredit is how many requests this entry can send to groups outside its subset, by model.
	spillCredit map[ident.Model]float64
}

// SetPeerCounts replaces the request counts of the other entries.
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

// freeOutsideSubset returns how many slots are free in groups outside the subset; the mutex is held.
func (s *Relay) freeOutsideSubset(targets []target) float64 {
	free := 0
	for i := range targets {
		if t := &targets[i]; !t.inSubset {
			free += max(0, t.slots-s.peerCounts.others[t.id])
		}
	}
	return float64(free)
}

// loadOf returns the estimated load of t; the mutex is held.
func (s *Relay) loadOf(t *target, now time.Time) estimate.Load {
	state := s.stateOf(t)
	others := s.peerCounts.others[t.id]
	load := estimate.Load{PendingPrompt: state.pendingTokensNow(now), SlotTime: s.slotTimes[t.model].mean}
	if !t.inSubset {
		load.PendingPrompt += ident.Tokens(pendingFraction * float64(others) * float64(t.typicalPrompt))
		load.Requests = state.inflight + others
		return load
	}
	// The counts lag behind a rise of the load, in which the updates show more requests. Where updates get lost, the counts show more.
	load.Requests = state.inflight + max(s.countedRequests(t, now), state.batch.Running(&t.timing, now, state.inflight))
	load.SlotWait = state.batch.SlotWait(&t.timing, now, state.inflight)
	return load
}

// countedRequests returns the requests of other entries at t by the leader's counts: those that remain of the counted ones, and those that
// updates have announced since.
func (s *Relay) countedRequests(t *target, now time.Time) int {
	state := s.stateOf(t)
	age := now.Sub(s.peerCounts.receivedAt) + s.peerCounts.interval/2
	n := state.peerPromptsSince(now.Add(-age))
	if others := s.peerCounts.others[t.id]; others > 0 {
		n += t.timing.Remaining(others, age, s.slotTimes[t.model].mean)
	}
	return n
}
