package relay

// When the upstream of a repeatable request is silent, the request is sent to a
// second one. Until that answers, nothing tells whether the silence ends first:
// the first upstream may only be paused, and the second may refuse, fail, or not
// be allowed by the retry budget. So the second attempt is a hedge, and the first
// one is abandoned only when the first event of the hedge has arrived, or its
// whole answer where that is no stream. An event of the first attempt ends the
// hedge.
//
//	first:  event 1, event 2, (silent) . . . . . . . . abandoned
//	hedge:                     sent . . . . . . event 3, event 4, end
//
// The goroutine of the request makes both attempts. It reads the first one's
// connection; when a hedge is due, or bytes of a hedge have arrived, the read is
// interrupted and continued afterwards. Only the wait for bytes of the hedge has
// a goroutine of its own.

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/dunlinquay/dunlinquay/overload"
)

// hedgeStepTimeout bounds a write to the upstream of a hedge, or a read of the rest of a head, since the first attempt's connection is not
// read meanwhile.
const hedgeStepTimeout = 200 * time.Millisecond

var errNoAnswerMemory = errors.New("memory bound reached by the answers of other requests")

// hedge is an attempt beside the first one of a request.
type hedge struct {
	choice      choice
	f           *forwarder
	record      int
	reservation reservation
	// arrived is closed when the first bytes of the answer have arrived, and later when its body has; or when the connection has failed.
	arrived chan struct{}
	// resp is the head of the answer, nil until it has been read. The answer is either a stream of events, or body; err is why the wait for
	// it failed.
	resp   *http.Response
	events *eventReader
	body   answerBody
	err    error
	// answer is the whole answer once it has been checked.
	answer *answer
}

// await runs wait in the background and wakes the goroutine of the request afterwards.
func (h *hedge) await(wait func() error) {
	arrived := make(chan struct{})
	h.arrived = arrived
	first := h.f.first
	go func() {
		h.err = wait()
		close(arrived)
		first.callerWatch.interrupt()
	}()
}

func (h *hedge) hasArrived() bool {
	select {
	case <-h.arrived:
		return true
	default:
		return false
	}
}

// isDue reports whether advanceHedge has something to do; h may be nil.
func (h *hedge) isDue() bool {
	return h != nil && (h.hasArrived() || h.f.wantsMove())
}

// continueInterrupted is called when a read or write of the attempt's connection was interrupted. It starts a hedge, or continues with what
// has arrived of one, and reports whether the attempt continues.
func (f *forwarder) continueInterrupted() bool {
	x := f.x
	if x.r.Context().Err() != nil || x.timeLeft() <= 0 {
		return false
	}
	x.advanceHedge()
	if x.hedge == nil && f.wantsMove() {
		x.startHedge(f)
	}
	if f.isAbandoned() {
		return false
	}
	possible := x.boundConn(f.conn, x.timeLeft())
	if x.hedge == nil && f.wantsMove() || x.hedge.isDue() {
		// An interruption between the checks above and the new deadline was lost.
		f.conn.interrupt()
	}
	return possible
}

// startHedge makes a hedge beside the first attempt if that is possible now.
func (x *exchange) startHedge(first *forwarder) {
	runs := x.runCount
	if !first.mayHaveRun {
		runs++
	}
	if runs >= x.maxRuns() || x.sendCount >= maxSends {
		first.endMove(true)
		return
	}
	if x.forwardsNext() {
		x.forwardBeside(first)
		return
	}
	x.exchangeReservation(&reservation{}, func(held *reservation) {
		x.hedge = x.sendHedge(first)
		if x.hedge != nil {
			x.hedge.reservation = *held
		}
	})
	if x.hedge == nil {
		first.endMove(false)
	}
}

// exchangeReservation calls do with another reservation in place of the current one.
func (x *exchange) exchangeReservation(other *reservation, do func(held *reservation)) {
	current := x.reservation
	x.reservation = *other
	do(&x.reservation)
	*other = x.reservation
	x.reservation = current
}

// sendHedge sends the request to another target, and returns nil if there is none or the request could not be sent.
func (x *exchange) sendHedge(first *forwarder) *hedge {
	chosen, ok := x.reserveHedge(first)
	if !ok {
		return nil
	}
	record := x.beginRecord(&chosen)
	first.noteRun()
	f, outcome := x.begin(&chosen, first)
	if outcome != "" {
		if x.endAttempt(&chosen, f, record, outcome) == outcomeSkipped {
			delete(x.triedUpstreams, chosen.id)
		}
		return nil
	}
	h := &hedge{choice: chosen, f: f, record: record}
	h.await(func() error {
		_, err := f.conn.br.Peek(1)
		return err
	})
	return h
}

// reserveHedge chooses a target that can take the request at once and charges the retry budget. A request with progress ranks before those
// that wait for capacity, so it does not queue.
func (x *exchange) reserveHedge(first *forwarder) (choice, bool) {
	s := x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	chosen, err := s.choose(x, overload.InTime, now)
	if err != nil || chosen.mustWait || chosen.score >= suspectPenalty || !chosen.hasCapacity && s.moveNeedsCapacity(first, now) {
		return chosen, false
	}
	if !x.retryCharged && !x.allowRetry() {
		return chosen, false
	}
	x.retryCharged = true
	s.reserve(x, &chosen)
	if x.service.Engine != nil {
		x.noteArrivedWork(now)
		x.noteSentWork(now)
		s.countsOf(x.queueKey()).level(x.urgency()).Sent++
	}
	return chosen, true
}

// advanceHedge continues with what has arrived of the hedge, and abandons the first attempt once the hedge answers.
func (x *exchange) advanceHedge() {
	h := x.hedge
	switch {
	case !h.isDue():
	case !h.hasArrived():
		// The upstream of the hedge is silent, too.
		h.f.abandon()
		x.dropHedge(outcomeStalled)
	case h.resp == nil:
		x.readHedgeHead(h)
	case h.answers():
		h.f.first.abandon()
	}
}

// readHedgeHead reads the head of the hedge's answer and starts to wait for its body.
func (x *exchange) readHedgeHead(h *hedge) {
	var outcome attemptOutcome
	x.boundConn(h.f.conn, min(hedgeStepTimeout, x.timeLeft()))
	x.exchangeReservation(&h.reservation, func(*reservation) {
		resp, refused := h.f.acceptAnswer()
		outcome = refused
		if resp != nil {
			outcome = x.awaitHedgeBody(h, resp)
		}
	})
	if outcome != "" {
		x.endHedge(outcome)
		return
	}
	x.boundConn(h.f.conn, x.timeLeft())
}

// awaitHedgeBody starts to wait for the first event, or the whole body, of the hedge's answer; if that can't be used it returns the outcome.
func (x *exchange) awaitHedgeBody(h *hedge, resp *http.Response) attemptOutcome {
	h.resp = resp
	if x.isStream(resp) {
		if err := x.checkSignature(resp); err != nil {
			h.f.conn.Close()
			return h.f.brokenOutcome(err)
		}
		h.events = newEventReader(resp)
		h.await(func() error {
			_, err := h.events.br.Peek(1)
			return err
		})
		return ""
	}
	if !x.tryReserveAnswer(resp) {
		h.f.conn.Close()
		return h.f.brokenOutcome(errNoAnswerMemory)
	}
	h.await(func() (err error) {
		h.body, err = readAnswerBody(resp)
		return err
	})
	return ""
}

// answers reports whether the hedge can answer the caller; if not, it has ended.
func (h *hedge) answers() bool {
	x := h.f.x
	switch {
	case h.failed():
		h.f.conn.Close()
		x.endHedge(h.f.brokenOutcome(h.err))
		return false
	case h.events != nil:
		return true
	}
	a, outcome := h.f.checkAnswer(h.resp, h.body)
	if outcome != outcomeDone {
		x.endHedge(outcome)
		return false
	}
	h.answer = a
	return true
}

// dropHedge ends the hedge, if there is one, whose upstream may have run the request.
func (x *exchange) dropHedge(outcome attemptOutcome) {
	h := x.hedge
	if h == nil {
		return
	}
	if h.answer == nil {
		// The connection of a whole answer has been returned and may carry another request.
		h.f.conn.Close()
	}
	<-h.arrived
	h.f.noteRun()
	x.endHedge(outcome)
}

// endHedge records the outcome of the hedge. The first attempt continues, and may get another one.
func (x *exchange) endHedge(outcome attemptOutcome) {
	h := x.hedge
	x.hedge = nil
	h.f.unwatch()
	x.exchangeReservation(&h.reservation, func(*reservation) {
		x.endAttempt(&h.choice, h.f, h.record, outcome)
		x.releaseAnswer()
	})
	h.f.first.endMove(x.runCount >= x.maxRuns() || x.sendCount >= maxSends)
}

// finishHedges continues with the hedge, if there is one, in place of an attempt that has ended with outcome.
func (x *exchange) finishHedges(outcome attemptOutcome) attemptOutcome {
	for x.hedge != nil {
		switch outcome {
		case outcomeDone, outcomeCallerGone, outcomeExpired:
			x.dropHedge(outcomeSuperseded)
			return outcome
		}
		outcome = x.takeOver()
	}
	return outcome
}

// takeOver makes the hedge the current attempt and forwards its answer.
func (x *exchange) takeOver() attemptOutcome {
	h := x.hedge
	x.hedge = nil
	x.enter(phaseSent)
	x.releaseAnswer()
	x.reservation = h.reservation
	if h.resp == nil {
		h.f.conn.interrupt()
	}
	<-h.arrived
	h.f.becomeCurrent()
	outcome := h.forward()
	h.f.unwatch()
	return x.endAttempt(&h.choice, h.f, h.record, outcome)
}

// forward forwards the answer of the hedge.
func (h *hedge) forward() attemptOutcome {
	switch {
	case h.answer != nil:
		return h.f.deliver(h.answer)
	case h.resp == nil:
		return h.f.forwardAnswer()
	case h.failed():
		h.f.conn.Close()
		return h.f.brokenOutcome(h.err)
	case h.events != nil:
		return h.f.forwardStream(h.resp, h.events)
	}
	return h.f.forwardRead(h.resp, h.body)
}

// failed reports whether the wait for the body failed. A body returns such an error only once, and later reads could take it for complete.
func (h *hedge) failed() bool {
	// A stream without further events is complete if only its end was missing.
	complete := h.events != nil && h.f.x.lastEventID != "" && errors.Is(h.err, io.EOF)
	return h.err != nil && !complete
}

// becomeCurrent makes a hedge the current attempt, which may get a hedge of its own.
func (f *forwarder) becomeCurrent() {
	f.x.s.mu.Lock()
	defer f.x.s.mu.Unlock()
	f.first, f.moveRequested = nil, false
	if f.ended {
		return
	}
	if f.timer != nil {
		f.conn.onInterrupt = f.continueInterrupted
		f.timer.Reset(recheckInterval)
	}
	f.x.boundConn(f.conn, f.x.timeLeft())
}

// forwardsNext reports whether a further attempt would be made through another entry.
func (x *exchange) forwardsNext() bool {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	return x.s.isForwardedNext(x)
}

// forwardBeside sends the request through another entry while its first attempt, whose upstream may be unreachable from here, stays open. If
// no entry answers it, the first attempt continues.
func (x *exchange) forwardBeside(first *forwarder) {
	if !x.retryCharged && !x.allowRetry() {
		first.endMove(false)
		return
	}
	x.retryCharged = true
	first.noteRun()
	events, endReason := x.eventCount, x.endReason
	accepted, err := x.forward()
	if accepted && (err == nil || x.eventCount > events || x.r.Context().Err() != nil || x.timeLeft() <= 0) {
		x.forwardEnded, x.forwardErr = true, err
		first.abandon()
		return
	}
	x.endReason, x.entryCode = endReason, 0
	first.endMove(accepted)
}
