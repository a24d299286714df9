package site

import (
	"sync"
	"time"
)

const (
	// pacedLinkFraction is the fraction of the link that whole rosters and configurations may use: the heartbeats of
	// the log have to pass between them.
	pacedLinkFraction = 0.5
	// pacerBurst is how much may be sent at once, as a time at the paced rate.
	pacerBurst = 50 * time.Millisecond
	// maxPacerWait is the longest wait for a reservation; a caller that would wait longer has to call again.
	maxPacerWait = 500 * time.Millisecond
)

// pacer spreads large replies over time at a fixed rate.
type pacer struct {
	bytesPerSecond float64

	mu sync.Mutex
	// freeAt is when everything reserved so far will have been sent.
	freeAt time.Time
}

// reserve returns how long to wait before sending this many bytes, and false when the wait would be too long.
func (p *pacer) reserve(now time.Time, bytes int) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bytesPerSecond <= 0 {
		return 0, true
	}
	if earliest := now.Add(-pacerBurst); p.freeAt.Before(earliest) {
		p.freeAt = earliest
	}
	wait := p.freeAt.Sub(now)
	if wait > maxPacerWait {
		return 0, false
	}
	p.freeAt = p.freeAt.Add(time.Duration(float64(bytes) / p.bytesPerSecond * float64(time.Second)))
	return max(0, wait), true
}
