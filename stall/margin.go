package stall

// A group that has lost a member takes requests and answers nothing. How soon
// that shows depends on how well one knows when its next sign is due: a fixed
// limit that never gives a false alarm is several times the pause that callers
// take for in time. From the prompts that are known to be unread a pass can be
// bounded, and by how much signs miss that bound is learnt for each model:
//
//	sign            bound of the pass     fixed limit
//	 |---- pass -----|- margin -|          |
//	 0               45         60 ms      550 ms
//
// The longer the prompts of a model, the further its signs miss their bounds.

import "time"

const (
	// defaultMargin is the margin until enough signs have come: more than nearly all are late.
	defaultMargin = 100 * time.Millisecond
	// missedFraction is the part of the signs that may come after the margin. One who suspects a group too early does no harm: it
	// takes several at the same time, and most signs are late for one entry only.
	missedFraction = 0.002
	// firstBinStart and binWidth divide the time around a bound into bins; a sign beyond the last one is not learnt from: the group
	// had stopped for a moment, or a packet was lost and sent again, which TCP does after 200 ms.
	firstBinStart = -100 * time.Millisecond
	binWidth      = 5 * time.Millisecond
	binCount      = 44
	// minEvents is the number of signs from which on the margin is learnt. Of few signs the latest says little of the next ones,
	// so they get as much more as the margin is when nothing is known, and less as more come: without that entries
	// take groups that work for standing still after their first prompts. Generation is how many are kept apart:
	// the margin goes by this generation and the one before. An entry with seven streams sees one in half a minute.
	minEvents      = 50
	generationSize = 4000
)

// Margin is how long after their bound signs of one model's groups may come; the zero value has learnt nothing.
type Margin struct {
	current, previous [binCount]uint16
	currentCount      int
	hasPrevious       bool
	value             time.Duration
	stale             bool
}

// Observe takes how long after its bound a sign came, negative when it came sooner.
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

// Current returns the margin.
func (m *Margin) Current() time.Duration {
	if !m.hasPrevious && m.currentCount < minEvents {
		return defaultMargin
	}
	if m.stale {
		m.value, m.stale = m.quantile(), false
	}
	return m.value
}

// quantile returns the end of the bin that all signs but a part came before, and some more while there are few.
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
