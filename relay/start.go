package relay

import (
	"strconv"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// maxStartHold is how long after its start an entry keeps requests for its first confirmation by control, which comes
	// within a second when everything is started again at once.
	maxStartHold = 1500 * time.Millisecond
	// callerRetryFraction is the part of their time that callers wait before they come back, by the platform's word.
	callerRetryFraction = 1.0 / 3
	// startHoldFraction is the part of its time that a request is kept at most.
	startHoldFraction = 0.4
)

// awaitFirstConfirmation keeps a request that comes while this entry has not heard from control since its start, if a refusal would be
// its end: a stream that its caller takes up again, because callers come back only so often; and one whose caller has less
// time than it would be told to wait. Any other is refused at once with a time to come back at which it is served without
// waiting.
func (x *exchange) awaitFirstConfirmation() {
	s := x.s
	timeout := x.callerTimeout()
	if x.r.Header.Get(s.Headers.EventID) == "" && (timeout <= 0 || float64(timeout)*callerRetryFraction >= float64(retryAfterNoConfig)) {
		return
	}
	select {
	case <-s.firstConfirmation:
		return
	default:
	}
	maxHold := s.createdAt.Add(maxStartHold).Sub(s.Now())
	if timeout > 0 {
		maxHold = min(maxHold, time.Duration(startHoldFraction*float64(timeout)))
	}
	if maxHold <= 0 {
		return
	}
	x.heldAtStart = true
	timer := time.NewTimer(maxHold)
	defer timer.Stop()
	select {
	case <-s.firstConfirmation:
	case <-timer.C:
	case <-x.r.Context().Done():
	}
	x.table = s.table.Load()
}

// heldThroughputShare is the part of a model's throughput that streams which were held at the start may take. Most other callers were told
// to come back a little later, so there is room, and with less of it more held streams run out of time.
const heldThroughputShare = 1.0

// paceHeldStream lets held streams of a model go on one after the other. All entries that were started together let theirs go at the
// same moment, so each takes its part of the throughput.
func (x *exchange) paceHeldStream() {
	if !x.heldAtStart || x.service.Engine == nil {
		return
	}
	m, ok := x.service.Engine.Model(x.model)
	if !ok {
		return // nothing serves it, and callers must not make up turns
	}
	slot := x.s.startSlot(x.model)
	timer := time.NewTimer(time.Duration(startHoldFraction * float64(x.timeLeft())))
	defer timer.Stop()
	select {
	case slot <- struct{}{}:
	case <-timer.C:
		return
	case <-x.r.Context().Done():
		return
	}
	time.AfterFunc(x.startSlotTime(m), func() { <-slot })
}

// startSlot returns what the stream of a model whose turn it is holds.
func (s *Relay) startSlot(model ident.Model) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startSlots[model] == nil {
		s.startSlots[model] = make(chan struct{}, 1)
	}
	return s.startSlots[model]
}

// startSlotTime is how long the next held stream waits: this one's work on all groups of the model, times the entries that send
// them some.
func (x *exchange) startSlotTime(m *httproute.Model) time.Duration {
	x.s.mu.Lock()
	groups := len(x.s.index.targets(x.service, x.model))
	x.s.mu.Unlock()
	if groups == 0 {
		return 0
	}
	seconds := x.service.Engine.Work(m, x.promptTokens, x.answerTokens) / float64(m.Size) / float64(groups) / heldThroughputShare
	return time.Duration(seconds * float64(x.s.Budget.Entries()) * float64(time.Second))
}

// callerTimeout is how long the caller says that it waits, 0 when it does not say.
func (x *exchange) callerTimeout() time.Duration {
	// A number that can't be read is refused when the request is admitted.
	ms, _ := strconv.Atoi(x.r.Header.Get(x.s.Headers.Deadline))
	return time.Duration(ms) * time.Millisecond
}

// signalFirstConfirmation lets requests that wait for the first word go on once there is a configuration with it; the mutex is held.
func (s *Relay) signalFirstConfirmation() {
	if s.table.Load() == nil || s.confirmedAt.Load() == nil {
		return
	}
	select {
	case <-s.firstConfirmation:
	default:
		close(s.firstConfirmation)
	}
}
