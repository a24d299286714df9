package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/httproute"
)

const (
	// maxAnswerBytes bounds an answer that is read completely before it is forwarded.
	maxAnswerBytes = 8 << 20
	// maxForeignAnswers is how many answers to other requests are skipped on one connection.
	maxForeignAnswers = 2
)

// answer is an upstream's complete answer.
type answer struct {
	status int
	header http.Header
	body   []byte
}

var (
	errForeignAnswers = errors.New("only answers to other requests on the connection")
	errAnswerTooLong  = errors.New("answer too long")
)

// forwardAnswer reads the answer and forwards it to the caller.
func (f *forwarder) forwardAnswer() attemptOutcome {
	x := f.x
	resp, err := f.readAnswerHead()
	if err != nil {
		f.conn.Close()
		x.noteRun()
		return f.brokenOutcome(err)
	}
	f.noteProgress()
	if f.notRunByUpstream(resp) {
		f.reuseAfterRefusal(resp)
		return outcomeNotRun
	}
	x.endBackoffProbe(f.target.id, !backoff.IsRefusal(resp.StatusCode))
	x.noteRun()
	if resp.StatusCode == http.StatusOK && x.route.Kind == httproute.KindStream {
		return f.forwardStream(resp)
	}
	return f.forwardWhole(resp)
}

// noteRun counts an attempt in which the upstream may have run the request.
func (x *exchange) noteRun() {
	x.mayHaveRun = true
	x.runCount++
}

// readAnswerHead returns the head of the answer to this request; late answers to earlier requests are skipped.
func (f *forwarder) readAnswerHead() (*http.Response, error) {
	for range maxForeignAnswers + 1 {
		resp, err := http.ReadResponse(f.conn.br, f.x.r)
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
	var body []byte
	if err == nil {
		body, err = readAnswerBody(resp)
	}
	if err != nil {
		f.conn.Close()
		return f.brokenOutcome(err)
	}
	f.returnConn(resp)
	signed := resp.Header.Get(x.s.Headers.Signature) != ""
	success := isSuccess(resp.StatusCode)
	if success && (!signed || resp.Header.Get("Content-Encoding") != "") {
		return outcomeBroken
	}
	a := &answer{resp.StatusCode, resp.Header, body}
	if isUpstreamFailure(resp.StatusCode) {
		x.failureAnswer = a
		return outcomeFailed
	}
	if x.headSent {
		// The caller already has the head of the stream that this answer was to continue.
		return outcomeBroken
	}
	x.firstEventAfter = x.s.Now().Sub(x.arrivedAt)
	x.writeAnswer(a)
	return outcomeDone
}

func isSuccess(status int) bool {
	return status < http.StatusMultipleChoices
}

// isUpstreamFailure reports whether a status is a failure after which another upstream could succeed.
func isUpstreamFailure(status int) bool {
	return status >= http.StatusInternalServerError
}

func readAnswerBody(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswerBytes {
		return nil, errAnswerTooLong
	}
	return body, nil
}

// writeAnswer sends an upstream's answer to the caller unchanged.
func (x *exchange) writeAnswer(a *answer) {
	x.copyHeader(a.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	x.status = a.status
	x.headSent = true
	x.w.WriteHeader(a.status)
	if _, err := x.w.Write(a.body); err != nil {
		x.attempts = append(x.attempts, Attempt{Result: "answer not delivered: " + err.Error()})
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
