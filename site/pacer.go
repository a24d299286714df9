package site

import (
	"sync"
	"time"
)

const (
	// pacedPart is the part of the link that whole rosters and configurations may take: the heartbeats of the log have to pass between them.
	pacedPart = 0.5
	// pacedBurst is how much may go at once, as a time.
	pacedBurst = 50 * time.Millisecond
	// pacedMost is the longest turn that is waited for; whoever would wait longer asks again.
	pacedMost = 500 * time.Millisecond
)

// pacer gives turns to what is sent at a rate.
type pacer struct {
	// rate is in bytes a second.
	rate float64

	mu sync.Mutex
	// free is when all that had a turn has been sent.
	free time.Time
}

// turn returns how long so many bytes wait until they are sent, and false when that is too long.
func (p *pacer) turn(now time.Time, bytes int) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate <= 0 {
		return 0, true
	}
	if least := now.Add(-pacedBurst); p.free.Before(least) {
		p.free = least
	}
	wait := p.free.Sub(now)
	if wait > pacedMost {
		return 0, false
	}
	p.free = p.free.Add(time.Duration(float64(bytes) / p.rate * float64(time.Second)))
	return max(0, wait), true
}
