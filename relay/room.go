package relay

// An engine takes what it is sent, and reads all of it in its next pass. When
// more comes than groups can read, every pass grows, and all requests are late
// together. So a request goes to a group only while that keeps the pauses of the
// streams there within their aim, and one that is late already only into what
// others leave: those that can be in time go first. What finds no room waits for
// a moment at the entry, where it harms nobody, and is refused as not run while
// its caller still has time to come back. At three times the traffic that 66
// engines carried, 0.54 of the requests of full load were in time without this,
// and 1.00 with it (means over 10 s).

import (
	"time"

	"github.com/dunlinquay/dunlinquay/estimate"
	"github.com/dunlinquay/dunlinquay/result"
)

const (
	// roomPart and roomPartLate are the parts of the aim for pauses that a pass may take with one more request, when that can be
	// in time, and when it is late.
	roomPart     = 1.0
	roomPartLate = 0.5
	// roomLook is how often a request that waits looks for room: a few times in a pass.
	roomLook = 25 * time.Millisecond
	// roomWait is how long a request waits for room at most: callers leave a stream without an event after two seconds at the
	// earliest, and a first word at a group with room takes 0.2 to 0.4 s.
	roomWait = 1400 * time.Millisecond
)

// fits reports whether t has room for the request with what is known to be there.
func (x *exchange) fits(t *target, at estimate.Load, first time.Duration, now time.Time) bool {
	bound := x.route.GapAim
	if first == 0 || bound == 0 || at.Unread == 0 && at.Requests < t.slots || x.events > 0 {
		return true
	}
	pass := t.times.Pass(at.Unread+x.prompt, at.Requests+1)
	if x.lateAt(now.Add(first + x.s.launchOf(x.model))) {
		return at.Requests < t.slots && float64(pass) <= roomPartLate*float64(bound)
	}
	return float64(pass) <= roomPart*float64(bound)
}

// place chooses where the request goes next, and waits for room where there is none yet. A stream that has begun waits from the
// moment at which it lost its group: ending it would lose what its caller has.
func (x *exchange) place() (scored, error) {
	since := x.began
	if x.events > 0 {
		since = x.s.Now()
	}
	for {
		t, err := x.s.choose(x)
		if err == nil && t.fits {
			return t, nil
		}
		if err != nil && result.CodeOf(err) != result.Overloaded || x.service.Engine == nil {
			return t, err
		}
		if x.s.Now().Sub(since) > roomWait || x.left() <= 0 {
			return scored{}, x.noRoom()
		}
		if !x.pause(roomLook) {
			return scored{}, result.New(result.Cancelled, "the caller has left")
		}
	}
}

// pause waits for d and reports whether the caller is still there.
func (x *exchange) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-x.r.Context().Done():
		return false
	}
}

const (
	// crowdedGap is the time without a refusal after which a model is no longer crowded.
	crowdedGap = 500 * time.Millisecond
	// crowdedMost bounds the time after which a caller is told to come back.
	crowdedMost = 2500 * time.Millisecond
)

// crowd is since when, and until when, requests for a model were refused for want of room.
type crowd struct {
	since time.Time
	last  time.Time
}

// noRoom refuses the request. How long there will be no room is not known: it is taken to last as long again as it has lasted
// already.
func (x *exchange) noRoom() error {
	s := x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	c := s.crowds[x.model]
	if now.Sub(c.last) > crowdedGap {
		c.since = now
	}
	c.last = now
	s.crowds[x.model] = c
	x.comeBack = min(crowdedMost, now.Sub(c.since))
	return result.New(result.Overloaded, "no group has room for it in time, for %d ms", now.Sub(c.since).Milliseconds())
}
