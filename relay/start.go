package relay

import (
	"time"
)

// startHold is how long after its start an entry keeps streams that go on for its first word from control, which was seen
// to come 0.3 to 0.9 s after the start when everything is started again at once.
const startHold = 1500 * time.Millisecond

// awaitStart keeps a stream that its caller takes up again while this entry has not heard from control since its start:
// its answer was cut off and is late already, and callers come back only so often. A new request is refused at once with a
// time to come back at which it is served without waiting.
func (x *exchange) awaitStart() {
	s := x.s
	if x.r.Header.Get(s.Names.EventID) == "" {
		return
	}
	select {
	case <-s.informed:
		return
	default:
	}
	rest := s.began.Add(startHold).Sub(s.Now())
	if rest <= 0 {
		return
	}
	timer := time.NewTimer(rest)
	defer timer.Stop()
	select {
	case <-s.informed:
	case <-timer.C:
	case <-x.r.Context().Done():
	}
	x.table = s.table.Load()
}

// inform lets requests that wait for the first word go on once there is a configuration with it; the mutex is held.
func (s *Relay) inform() {
	if s.table.Load() == nil || s.word.Load() == nil {
		return
	}
	select {
	case <-s.informed:
	default:
		close(s.informed)
	}
}
