package relay

import (
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	// retryAfterFull is the Retry-After of an entry without capacity: slots become free every 70 ms. retryAfterNoGroup is used while no
	// group can serve: forming one takes about a second. retryAfterNoConfig is used without a configuration or a confirmation by the
	// leader: daemons that start together need two seconds.
	retryAfterFull     = 300 * time.Millisecond
	retryAfterNoGroup  = 700 * time.Millisecond
	retryAfterNoConfig = 1800 * time.Millisecond
	// retryAfterStopping is that of an entry that stops; another one can serve the request at once.
	retryAfterStopping = 100 * time.Millisecond
	// retryJitter is the maximum random fraction that is added, so that callers do not retry at the same time.
	retryJitter     = 0.5
	jsonContentType = "application/json"
)

// finish sends the final answer to a caller that has none yet, and records the request.
func (x *exchange) finish(err error) {
	switch {
	case err == nil:
	case x.headSent, x.r.Context().Err() != nil && !x.bodyTimedOut:
		x.interruption = x.interrupted()
		defer panic(http.ErrAbortHandler)
	case x.failureAnswer != nil:
		x.setResultCode(result.CodeOf(err))
		x.writeAnswer(x.failureAnswer)
	default:
		x.refuse(err)
	}
	x.s.Observe(x.newRecord(err))
}

// refuse writes a refusal with its code. If the request did not run, or can be repeated, the refusal has a Retry-After header.
func (x *exchange) refuse(err error) {
	if reason := x.declineReason(err); reason != "" {
		x.status, x.declined = http.StatusServiceUnavailable, reason
		if reason == DeclinedNoPath {
			if acceptor := x.s.anyAcceptor(x.service.Name); acceptor != "" {
				x.w.Header().Set(headerAcceptor, acceptor)
			}
		}
		decline(x.w, reason)
		return
	}
	info := result.Lookup(result.CodeOf(err))
	x.s.noteRefusal()
	h := x.w.Header()
	if info.Status == http.StatusServiceUnavailable || info.Code == result.WorkHeld || info.Code == result.UpstreamFailed && x.route.Repeatable() {
		x.sentRetryAfter = max(x.minRetryAfter, defaultRetryAfter(info.Code))
		x.sentRetryAfter += time.Duration(retryJitter * rand.Float64() * float64(x.sentRetryAfter))
		if x.returnAfter > 0 {
			x.sentRetryAfter = x.returnAfter
		}
		h.Set("Retry-After", strconv.FormatFloat(x.sentRetryAfter.Seconds(), 'f', 3, 64))
	}
	x.closeIfStopping()
	if x.requestID != "" {
		h.Set(x.s.Headers.RequestID, x.requestID)
	}
	x.setResultCode(info.Code)
	h.Set("Content-Type", jsonContentType)
	body := `{"result-code":` + strconv.Itoa(int(info.Code)) + `,"result":"` + info.Name + `","not-run":` + strconv.FormatBool(info.NotRun) + "}\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.status = info.Status
	x.w.WriteHeader(info.Status)
	if _, writeErr := io.WriteString(x.w, body); writeErr != nil {
		x.attempts = append(x.attempts, Attempt{Result: "refusal not delivered: " + writeErr.Error()})
	}
}

// setResultCode tells the entry that forwarded the request how it ended, for its record.
func (x *exchange) setResultCode(code result.Code) {
	if x.forwarded != nil {
		x.w.Header().Set(headerResultCode, strconv.Itoa(int(code)))
	}
}

func (s *Relay) noteRefusal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRefusal = s.Now()
}

func defaultRetryAfter(code result.Code) time.Duration {
	switch code {
	case result.Overloaded, result.BackedOff, result.Limited:
		return retryAfterFull
	case result.ControlUnreachable:
		return retryAfterNoConfig
	case result.Stopping:
		return retryAfterStopping
	}
	return retryAfterNoGroup
}

// closeIfStopping closes the connection after the answer if this entry will not serve the caller's next request.
func (x *exchange) closeIfStopping() {
	if x.s.Stopping() || x.s.keysLapseSoon() {
		x.w.Header().Set("Connection", "close")
	}
}

func (x *exchange) newRecord(err error) *Record {
	record := &Record{
		ID: x.requestID, Model: x.model, Content: x.content, Code: result.CodeOf(err), Status: x.status, ConfirmedAge: x.s.ConfirmedAge(), Attempts: x.attempts,
		Prompt: x.promptTokens, Events: x.eventCount, FirstEvent: x.firstEventAfter, ExpectedFirstEvent: x.expectedFirstEvent, MaxEventGap: x.longestGap, Total: x.s.Now().Sub(x.arrivedAt),
		PriorElapsed: x.priorElapsed, RetryAfter: x.sentRetryAfter, LimitWaits: x.permitDenials, RetryDecisions: x.retryDecisions,
		Interruption: x.interruption,
	}
	if err != nil {
		record.ErrorText = result.Message(err)
	} else if x.entryCode != result.OK {
		record.Code, record.ErrorText = x.entryCode, "failed at the entry to which the request was forwarded"
	}
	if slices.ContainsFunc(x.attempts, func(a Attempt) bool { return a.ConnFailure != "" }) {
		record.PromptParts = x.promptParts
	}
	if x.forwarded != nil {
		record.ForwardedBy, record.Declined = x.r.RemoteAddr, x.declined
	}
	if x.table != nil {
		record.Version = x.table.Config.Version
	}
	if x.route != nil {
		record.Route = x.route.Name
	}
	if x.customer != nil {
		record.Customer = x.customer.Name
	}
	x.noteQueue(record)
	record.Revision = x.s.revision()
	return record
}

func (s *Relay) revision() roster.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rosterCopy.Revision
}
