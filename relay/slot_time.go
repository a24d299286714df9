package relay

// An answer of typical length, at the engine's published speed, takes less time
// than answers do while prompts of others are prefilled between their events. At
// groups whose slots are all in use, entries would then count requests as
// finished that still run, send more, and the first events of these would be late.

import "time"

const (
	// slotTimeSmoothing is the weight of an answer in the mean time for which requests use their slots. With a larger weight, a few long
	// answers would make an entry take groups for full.
	slotTimeSmoothing = 0.02
	// minSlotTimes is the number of answers from which their mean is used.
	minSlotTimes = 8
)

// slotTime is the mean time for which requests of a model use their slots, as seen by this entry; it is 0 until enough are known.
type slotTime struct {
	mean time.Duration
	// seen counts answers until the weight of further ones is constant, sum is that of their times until the mean is used.
	seen int
	sum  time.Duration
}

// add adds the time of one answer.
func (t slotTime) add(d time.Duration) slotTime {
	t.seen++
	switch {
	case t.seen < minSlotTimes:
		t.sum += d
	case t.seen == minSlotTimes:
		t.mean = (t.sum + d) / minSlotTimes
	default:
		weight := max(slotTimeSmoothing, 1/float64(t.seen))
		t.mean += time.Duration(weight * float64(d-t.mean))
	}
	return t
}

// learnSlotTime learns from a complete stream with a single attempt.
func (x *exchange) learnSlotTime() {
	if x.service.Engine == nil || len(x.attempts) != 1 || x.r.Header.Get(x.s.Headers.EventID) != "" {
		return
	}
	used := x.s.Now().Sub(x.arrivedAt) - time.Duration(x.attempts[0].StartMS)*time.Millisecond
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	x.s.slotTimes[x.model] = x.s.slotTimes[x.model].add(used)
}
