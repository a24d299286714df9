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
	// unlearntMargin is the margin until enough signs have come: more than nearly all are late.
	unlearntMargin = 100 * time.Millisecond
	// missedPart is the part of the signs that may come after the margin. One who suspects a group too early does no harm: it
	// takes several at the same time, and most signs are late for one entry only.
	missedPart = 0.002
	// earliest and binWidth divide the time around a bound into bins; a sign beyond the last one is not learnt from: the group
	// had stopped for a moment, or a packet was lost and sent again, which TCP does after 200 ms.
	earliest = -100 * time.Millisecond
	binWidth = 5 * time.Millisecond
	bins     = 44
	// enoughSigns is the number of signs from which on the margin is learnt. Of few signs the latest says little of the next ones,
	// so they get as much more as the margin is when nothing is known, and less as more come: without that entries
	// take groups that work for standing still after their first prompts. Generation is how many are kept apart:
	// the margin goes by this generation and the one before. An entry with seven streams sees one in half a minute.
	enoughSigns = 50
	generation  = 4000
)

// Margin is how long after their bound signs of one model's groups may come; the zero value has learnt nothing.
type Margin struct {
	now, before [bins]uint16
	signs       int
	full        bool
	margin      time.Duration
	stale       bool
}

// Observe takes how long after its bound a sign came, negative when it came sooner.
func (m *Margin) Observe(late time.Duration) {
	bin := int((late - earliest) / binWidth)
	if bin >= bins {
		return
	}
	m.now[max(0, bin)]++
	m.signs++
	m.stale = true
	if m.signs >= generation {
		m.before, m.now = m.now, [bins]uint16{}
		m.signs, m.full = 0, true
	}
}

// Current returns the margin.
func (m *Margin) Current() time.Duration {
	if !m.full && m.signs < enoughSigns {
		return unlearntMargin
	}
	if m.stale {
		m.margin, m.stale = m.quantile(), false
	}
	return m.margin
}

// quantile returns the end of the bin that all signs but a part came before, and some more while there are few.
func (m *Margin) quantile() time.Duration {
	total := m.signs
	if m.full {
		total += generation
	}
	few := time.Duration(float64(unlearntMargin) * enoughSigns / float64(total))
	beyond := int(missedPart * float64(total))
	for bin := bins - 1; bin >= 0; bin-- {
		beyond -= int(m.now[bin] + m.before[bin])
		if beyond < 0 {
			return earliest + time.Duration(bin+1)*binWidth + few
		}
	}
	return earliest
}
