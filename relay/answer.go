package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/httproute"
)

// maxForeignAnswers is how many answers to other requests are skipped on one connection.
const maxForeignAnswers = 2

// answer is an upstream's complete answer.
type answer struct {
	status int
	header http.Header
	body   answerBody
}

var (
	errForeignAnswers = errors.New("only answers to other requests on the connection")
	errAnswerTooLong  = errors.New("answer too long")
)

// forwardAnswer reads the answer and forwards it to the caller.
func (f *forwarder) forwardAnswer() attemptOutcome {
	resp, outcome := f.acceptAnswer()
	switch {
	case resp == nil:
		return outcome
	case f.x.isStream(resp):
		return f.forwardStream(resp, newEventReader(resp))
	}
	return f.forwardWhole(resp)
}

// acceptAnswer reads the head of the answer; without one, or after a refusal, it returns the outcome of the attempt.
func (f *forwarder) acceptAnswer() (*http.Response, attemptOutcome) {
	resp, err := f.readAnswerHead()
	if err != nil {
		f.conn.Close()
		f.noteRun()
		return nil, f.brokenOutcome(err)
	}
	f.noteProgress()
	if f.notRunByUpstream(resp) {
		f.noteNotRun()
		f.reuseAfterRefusal(resp)
		return nil, outcomeNotRun
	}
	f.x.endBackoffProbe(f.target.id, !backoff.IsRefusal(resp.StatusCode))
	f.noteRun()
	return resp, ""
}

// isStream reports whether an answer is a stream of events.
func (x *exchange) isStream(resp *http.Response) bool {
	return resp.StatusCode == http.StatusOK && x.route.Kind == httproute.KindStream
}

// noteRun counts the attempt, once, as one in which the upstream may have run the request.
func (f *forwarder) noteRun() {
	if !f.mayHaveRun {
		f.mayHaveRun = true
		f.x.runCount++
		f.x.mayHaveRun = true
	}
}

// noteNotRun undoes noteRun once the upstream has said that it did not run the request.
func (f *forwarder) noteNotRun() {
	if f.mayHaveRun {
		f.mayHaveRun = false
		f.x.runCount--
		f.x.mayHaveRun = f.x.runCount > 0
	}
}

// readAnswerHead returns the head of the answer to this request; late answers to earlier requests are skipped.
func (f *forwarder) readAnswerHead() (*http.Response, error) {
	for range maxForeignAnswers + 1 {
		resp, err := f.conn.br.ReadResponse(f.x.r)
		if err != nil {
			return nil, err
		}
		f.applyBackpressure(resp)
		if resp.StatusCode < http.StatusOK {
			continue
		}
		id := resp.Header.Get(f.x.s.Headers.RequestID)
		if id == f.x.requestID || id == "" && f.refusesThisRequest(resp) {
			f.noteNoLimit()
			return resp, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes)); err != nil {
			return nil, err
		}
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			break
		}
	}
	return nil, errForeignAnswers
}

// refusesThisRequest reports whether an answer without a request id must be a refusal of this request.
func (f *forwarder) refusesThisRequest(resp *http.Response) bool {
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(f.x.s.Headers.NotRun) != ""
}

// notRunByUpstream reports whether the answer says that the upstream did not run the request, and marks a failed target as suspect.
func (f *forwarder) notRunByUpstream(resp *http.Response) bool {
	s := f.x.s
	misdirected := resp.StatusCode == http.StatusMisdirectedRequest
	if !misdirected && resp.Header.Get(s.Headers.NotRun) == "" {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	if misdirected {
		f.state.markSuspect(now)
		f.x.displaced = true
	}
	if blamed := resp.Header.Get(s.Headers.Blamed); blamed != "" {
		f.state.blamedMember = blamed
		f.x.displaced = true
		f.state.markSuspect(now)
	}
	return true
}

// reuseAfterRefusal reads the rest of a refusal and keeps the connection for reuse.
func (f *forwarder) reuseAfterRefusal(resp *http.Response) {
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes)); err != nil {
		f.conn.Close()
		return
	}
	f.returnConn(resp)
}

// forwardWhole reads a complete answer before anything is sent to the caller.
func (f *forwarder) forwardWhole(resp *http.Response) attemptOutcome {
	x := f.x
	// An earlier answer is forwarded only if this attempt fails too; it is an error answer and small.
	x.releaseAnswer()
	err := x.reserveAnswer(resp)
	var body answerBody
	if err == nil {
		body, err = readAnswerBody(resp)
	}
	if err != nil {
		f.conn.Close()
		return f.brokenOutcome(err)
	}
	return f.forwardRead(resp, body)
}

// forwardRead forwards an answer whose body has been read.
func (f *forwarder) forwardRead(resp *http.Response, body answerBody) attemptOutcome {
	a, outcome := f.checkAnswer(resp, body)
	if outcome == outcomeDone {
		return f.deliver(a)
	}
	return outcome
}

// deliver sends a whole answer to the caller.
func (f *forwarder) deliver(a *answer) attemptOutcome {
	f.x.firstEventAfter = f.x.s.Now().Sub(f.x.arrivedAt)
	f.x.writeAnswer(a)
	return outcomeDone
}

// checkAnswer returns outcomeDone if the caller can have the answer.
func (f *forwarder) checkAnswer(resp *http.Response, body answerBody) (*answer, attemptOutcome) {
	x := f.x
	f.returnConn(resp)
	signed := resp.Header.Get(x.s.Headers.Signature) != ""
	success := isSuccess(resp.StatusCode)
	if success && (!signed || resp.Header.Get("Content-Encoding") != "") {
		return nil, outcomeBroken
	}
	a := &answer{resp.StatusCode, resp.Header, body}
	if isUpstreamFailure(resp.StatusCode) {
		x.failureAnswer = a
		return a, outcomeFailed
	}
	if x.headSent {
		// The caller already has the head of the stream that this answer was to continue.
		return a, outcomeBroken
	}
	return a, outcomeDone
}

func isSuccess(status int) bool {
	return status < http.StatusMultipleChoices
}

// isUpstreamFailure reports whether a status is a failure after which another upstream could succeed.
func isUpstreamFailure(status int) bool {
	return status >= http.StatusInternalServerError
}

// writeAnswer sends an upstream's answer to the caller unchanged.
func (x *exchange) writeAnswer(a *answer) {
	x.copyHeader(a.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(a.body.size()))
	x.status = a.status
	x.headSent = true
	x.enter(phaseAnswering)
	x.w.WriteHeader(a.status)
	for _, part := range a.body {
		if _, err := x.w.Write(part); err != nil {
			x.attempts = append(x.attempts, Attempt{Result: "answer not delivered: " + err.Error()})
			return
		}
	}
}

func (x *exchange) copyHeader(from http.Header) {
	h := x.w.Header()
	connectionNamed := connectionOptions(from)
	for name, values := range from {
		if hopByHopHeaders[name] || connectionNamed[name] || x.forwarded != nil && forwardHeaders[name] {
			continue
		}
		h[name] = values
	}
	x.closeIfStopping()
}
