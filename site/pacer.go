package site

import (
	"sync"
	"time"
)

const (
	// pacedLinkFraction is the part of the link that whole rosters and configurations may take: the heartbeats of the log have to pass between them.
	pacedLinkFraction = 0.5
	// pacerBurst is how much may go at once, as a time.
	pacerBurst = 50 * time.Millisecond
	// maxPacerWait is the longest turn that is waited for; whoever would wait longer asks again.
	maxPacerWait = 500 * time.Millisecond
)

// pacer gives turns to what is sent at a rate.
type pacer struct {
	// bytesPerSecond is in bytes a second.
	bytesPerSecond float64

	mu sync.Mutex
	// freeAt is when all that had a turn has been sent.
	freeAt time.Time
}

// reserve returns how long so many bytes wait until they are sent, and false when that is too long.
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
