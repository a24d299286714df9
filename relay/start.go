package relay

import (
	"strconv"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// maxStartHold is how long after its start an entry holds requests until the leader's first confirmation, which arrives within a second
	// when all processes of a site are restarted together.
	maxStartHold = 1500 * time.Millisecond
	// callerRetryFraction is the fraction of their time-out that callers wait at most before a retry, as the platform documents.
	callerRetryFraction = 1.0 / 3
	// startHoldFraction is the longest hold as a fraction of a request's time-out.
	startHoldFraction = 0.4
)

// awaitFirstConfirmation holds a request that arrives before the leader's first confirmation to this entry, if a refusal would be final: a
// stream that its caller resumes, because callers retry only a few times, and a request whose caller has less time left than the
// Retry-After. Other requests are refused at once with a Retry-After, after which they are served without waiting.
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

// heldThroughputShare is the fraction of a model's throughput that streams held at the start may use. Most other callers were told to retry
// later, so capacity is free, and with a smaller share more held streams miss their deadlines.
const heldThroughputShare = 1.0

// paceHeldStream releases the held streams of a model one after the other. Entries that were started together release theirs at the same
// moment, so each entry uses only its share of the throughput.
func (x *exchange) paceHeldStream() {
	if !x.heldAtStart || x.service.Engine == nil {
		return
	}
	m, ok := x.service.Engine.Model(x.model)
	if !ok {
		return // the engine does not serve the model; callers must not create slots for arbitrary models
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

// startSlot returns the semaphore that serializes the held streams of a model.
func (s *Relay) startSlot(model ident.Model) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.startSlots[model] == nil {
		s.startSlots[model] = make(chan struct{}, 1)
	}
	return s.startSlots[model]
}

// startSlotTime is how long this stream holds the slot: its engine time divided among the groups of the model, times the number of entries
// that release streams to these groups.
func (x *exchange) startSlotTime(m *httproute.Model) time.Duration {
	x.s.mu.Lock()
	groups := len(x.s.index.targets(x.service, x.model))
	x.s.mu.Unlock()
	if groups == 0 {
		return 0
	}
	seconds := x.service.Engine.UpstreamSeconds(m, x.promptTokens, x.answerTokens) / float64(m.Size) / float64(groups) / heldThroughputShare
	return time.Duration(seconds * float64(x.s.Budget.Entries()) * float64(time.Second))
}

// callerTimeout is how long the caller says that it waits, 0 if it names no time.
func (x *exchange) callerTimeout() time.Duration {
	// An invalid number is refused by findDeadline.
	ms, _ := strconv.Atoi(x.r.Header.Get(x.s.Headers.Deadline))
	return time.Duration(ms) * time.Millisecond
}

// signalFirstConfirmation releases held requests once there are both a configuration and a confirmation; the mutex is held.
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
