package stall

// A group that has lost a member accepts requests and answers none of them. How
// soon that is detected depends on how well the time of its next event is known:
// a fixed limit without false alarms is several times the event gap that counts
// as in time. The pending prompts bound the length of an iteration, and how late
// events are relative to that bound is learnt for each model:
//
//	event           bound of the iteration   fixed limit
//	 |---- iteration --|- margin -|           |
//	 0                 45         60 ms       550 ms
//
// Models with longer prompts need larger margins.

import "time"

const (
	// defaultMargin is the margin until minEvents are known; nearly all events are less late.
	defaultMargin = 100 * time.Millisecond
	// missedFraction is the fraction of the events that are later than the margin. A single premature suspicion does no harm: it takes
	// several at the same time, and most events are late for one entry only.
	missedFraction = 0.002
	// firstBinStart and binWidth divide the time around a bound into bins. Events after the last bin are ignored: either the group had
	// stalled briefly, or a packet was lost, which TCP retransmits after 200 ms.
	firstBinStart = -100 * time.Millisecond
	binWidth      = 5 * time.Millisecond
	binCount      = 44
	// minEvents is the number of events from which the margin is learnt. The latest of few events says little about the next ones, so
	// the margin starts with an extra of defaultMargin that shrinks with every event: without that, entries take healthy groups for
	// stalled after their first prompts. The margin is derived from the current and the previous generation of generationSize events;
	// an entry with seven streams sees that many in half a minute.
	minEvents      = 50
	generationSize = 4000
)

// Margin learns how late events of one model's groups are relative to their bound; its zero value has learnt nothing.
type Margin struct {
	current, previous [binCount]uint16
	currentCount      int
	hasPrevious       bool
	value             time.Duration
	stale             bool
}

// Observe adds how late an event was relative to its bound, negative when it was early.
func (m *Margin) Observe(late time.Duration) {
	bin := int((late - firstBinStart) / binWidth)
	if bin >= binCount {
		return
	}
	m.current[max(0, bin)]++
	m.currentCount++
	m.stale = true
	if m.currentCount >= generationSize {
		m.previous, m.current = m.current, [binCount]uint16{}
		m.currentCount, m.hasPrevious = 0, true
	}
}

// Current returns the margin after which a group without an event is suspected.
func (m *Margin) Current() time.Duration {
	if !m.hasPrevious && m.currentCount < minEvents {
		return defaultMargin
	}
	if m.stale {
		m.value, m.stale = m.quantile(), false
	}
	return m.value
}

// quantile returns the end of the bin before which all but missedFraction of the events arrived, plus an extra for a small sample.
func (m *Margin) quantile() time.Duration {
	total := m.currentCount
	if m.hasPrevious {
		total += generationSize
	}
	smallSampleExtra := time.Duration(float64(defaultMargin) * minEvents / float64(total))
	allowedBeyond := int(missedFraction * float64(total))
	for bin := binCount - 1; bin >= 0; bin-- {
		allowedBeyond -= int(m.current[bin] + m.previous[bin])
		if allowedBeyond < 0 {
			return firstBinStart + time.Duration(bin+1)*binWidth + smallSampleExtra
		}
	}
	return firstBinStart
}
