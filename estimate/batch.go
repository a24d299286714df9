package estimate

// Entries notify each other of the requests that they send, but not of those that
// end, and the leader's counts are some tenths of a second old. What runs at a
// group now is estimated by following its iterations: an iteration takes the time
// of its steps, and the prefill of each prompt takes its own time once.
//
//	iteration    0        1        2        3
//	slot 1       | a      | a      | a      |
//	slot 2       | b      | b      | c      | c ...
//
// A request starts with the next iteration that has a free slot, and ends after as
// many iterations as its answer has events.

import (
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// maxBatchRequests bounds the requests that are followed: several times the slots of an engine.
	maxBatchRequests = 1024
	// untilNextIteration is the mean part of an iteration that passes before the next one begins.
	untilNextIteration = 0.5
)

// Batch follows the requests at a group; this entry's own are counted by the caller, as their ends are known. The zero value is a group
// without requests; it is not safe for concurrent use.
type Batch struct {
	// iterations is how many iterations have passed at a point in time, prefill the time that prompts sent until then still take, in ns.
	iterations float64
	prefill    float64
	at         time.Time
	// ends are the iterations after which the requests of others end, in order.
	ends []float64
}

// AddOwn adds a prompt of this entry, which has own requests at the group.
func (b *Batch) AddOwn(g *Group, now time.Time, own int, prompt ident.Tokens) {
	b.advance(g, now, own)
	b.prefill += float64(prompt) * g.perPromptToken
}

// Add adds a request of another entry with the expected length of its answer, 0 for one of typical length. This entry has own requests at
// the group.
func (b *Batch) Add(g *Group, now time.Time, own int, prompt, answer ident.Tokens) {
	b.advance(g, now, own)
	b.prefill += float64(prompt) * g.perPromptToken
	if len(b.ends) >= maxBatchRequests {
		return
	}
	start := b.iterations
	if own+len(b.ends) > 0 {
		start += untilNextIteration
	}
	if i := b.requestsBeforeSlot(g, own); i >= 0 {
		start = max(start, b.ends[i])
	}
	end := start + g.answerIterations(answer)
	i, _ := slices.BinarySearch(b.ends, end)
	b.ends = slices.Insert(b.ends, i, end)
}

// Running returns how many requests of others are at the group, with those that wait for a slot.
func (b *Batch) Running(g *Group, now time.Time, own int) int {
	b.advance(g, now, own)
	return len(b.ends)
}

// SlotWait returns the time until a request that is sent now gets a slot, without the prefill of the pending prompts.
func (b *Batch) SlotWait(g *Group, now time.Time, own int) time.Duration {
	b.advance(g, now, own)
	i := b.requestsBeforeSlot(g, own)
	if i < 0 {
		return 0
	}
	return time.Duration((b.ends[i] - b.iterations) * g.iterationNanos(0, own+len(b.ends)))
}

// requestsBeforeSlot returns the index of the request whose end frees a slot for the next one, negative if a slot is free.
func (b *Batch) requestsBeforeSlot(g *Group, own int) int {
	return len(b.ends) - max(1, g.slots-own)
}

// advance follows the iterations until now and drops the requests that have ended.
func (b *Batch) advance(g *Group, now time.Time, own int) {
	elapsed := float64(now.Sub(b.at))
	b.at = now
	if own+len(b.ends) == 0 || elapsed <= 0 {
		b.prefill = max(0, b.prefill-elapsed)
		return
	}
	prefilled := min(elapsed, b.prefill)
	b.prefill -= prefilled
	iteration := g.iterationNanos(0, own+len(b.ends))
	if iteration <= 0 {
		b.ends = nil // nothing is known of the engine
		return
	}
	b.iterations += (elapsed - prefilled) / iteration
	ended, _ := slices.BinarySearchFunc(b.ends, b.iterations, func(end, now float64) int {
		if end <= now {
			return -1
		}
		return 1
	})
	b.ends = slices.Delete(b.ends, 0, ended)
}
