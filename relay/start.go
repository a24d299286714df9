package relay

import (
	"strconv"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// startHold is how long after its start an entry keeps requests for its first confirmation by control, which comes
	// within a second when everything is started again at once.
	startHold = 1500 * time.Millisecond
	// patience is the part of their time that callers wait before they come back, by the platform's word.
	patience = 1.0 / 3
	// startHoldPart is the part of its time that a request is kept at most.
	startHoldPart = 0.4
)

// awaitStart keeps a request that comes while this entry has not heard from control since its start, if a refusal would be
// its end: a stream that its caller takes up again, because callers come back only so often; and one whose caller has less
// time than it would be told to wait. Any other is refused at once with a time to come back at which it is served without
// waiting.
func (x *exchange) awaitStart() {
	s := x.s
	left := x.told()
	if x.r.Header.Get(s.Names.EventID) == "" && (left <= 0 || float64(left)*patience >= float64(retryBlind)) {
		return
	}
	select {
	case <-s.informed:
		return
	default:
	}
	rest := s.began.Add(startHold).Sub(s.Now())
	if left > 0 {
		rest = min(rest, time.Duration(startHoldPart*float64(left)))
	}
	if rest <= 0 {
		return
	}
	x.kept = true
	timer := time.NewTimer(rest)
	defer timer.Stop()
	select {
	case <-s.informed:
	case <-timer.C:
	case <-x.r.Context().Done():
	}
	x.table = s.table.Load()
}

// heldPart is the part of a model's throughput that streams which were held at the start may take. Most other callers were told
// to come back a little later, so there is room, and with less of it more held streams run out of time.
const heldPart = 1.0

// takeTurn lets held streams of a model go on one after the other. All entries that were started together let theirs go at the
// same moment, so each takes its part of the throughput.
func (x *exchange) takeTurn() {
	if !x.kept || x.service.Engine == nil {
		return
	}
	m, ok := x.service.Engine.Model(x.model)
	if !ok {
		return // nothing serves it, and callers must not make up turns
	}
	turn := x.s.turn(x.model)
	timer := time.NewTimer(time.Duration(startHoldPart * float64(x.left())))
	defer timer.Stop()
	select {
	case turn <- struct{}{}:
	case <-timer.C:
		return
	case <-x.r.Context().Done():
		return
	}
	time.AfterFunc(x.turnTime(m), func() { <-turn })
}

// turn returns what the stream of a model whose turn it is holds.
func (s *Relay) turn(model ident.Model) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.turns[model] == nil {
		s.turns[model] = make(chan struct{}, 1)
	}
	return s.turns[model]
}

// turnTime is how long the next held stream waits: this one's work on all groups of the model, times the entries that send
// them some.
func (x *exchange) turnTime(m *httproute.Model) time.Duration {
	x.s.mu.Lock()
	groups := len(x.s.fleet.targets(x.service, x.model))
	x.s.mu.Unlock()
	if groups == 0 {
		return 0
	}
	seconds := x.service.Engine.Work(m, x.prompt, x.answer) / float64(m.Size) / float64(groups) / heldPart
	return time.Duration(seconds * float64(x.s.Budget.Entries()) * float64(time.Second))
}

// told is how long the caller says that it waits, 0 when it does not say.
func (x *exchange) told() time.Duration {
	// A number that can't be read is refused when the request is admitted.
	ms, _ := strconv.Atoi(x.r.Header.Get(x.s.Names.Deadline))
	return time.Duration(ms) * time.Millisecond
}

// inform lets requests that wait for the first word go on once there is a configuration with it; the mutex is held.
func (s *Relay) inform() {
	if s.table.Load() == nil || s.confirmed.Load() == nil {
		return
	}
	select {
	case <-s.informed:
	default:
		close(s.informed)
	}
}
