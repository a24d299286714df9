package relay

// An entry that reaches none of the upstreams of a request sends the request
// through another entry, which serves it like a request of its own callers:
//
//	caller -> entry without a path -> other entry -> upstream
//
// The other entry declines what it cannot serve before anything ran: it is cut off
// as well, stops, has an older configuration, or already carries enough for others.
// If it knows an entry that accepted a request for the same service, it names that one.
// It gets the body only after it has accepted the head ("Expect: 100-continue"), so
// one that does not answer cannot run the request, and the next entry is asked.
// A request is forwarded once only. It counts in the retry budget and the demand of
// the entry that sends it to an upstream.

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

const (
	// maxForwardTries bounds the entries to which a request is offered.
	maxForwardTries = 5
	// acceptTimeout bounds the time in which an entry accepts the head of a request, lastAcceptTimeout that of a silent entry which is asked
	// since no other is left.
	acceptTimeout     = 200 * time.Millisecond
	lastAcceptTimeout = time.Second
	// declinedPeriod is how long an entry that declined, was silent, or could not be reached, is avoided.
	declinedPeriod = 500 * time.Millisecond
	// maxEntryInterims bounds the interim answers that are skipped before an entry accepts a request, and before it answers.
	maxEntryInterims = 2
	// maxForwarded bounds the requests that an entry carries for others at the same time.
	maxForwarded = 200
	// maxAcceptors bounds the entries that are remembered because they accepted a request for a service.
	maxAcceptors = 8
)

// Headers between entries.
const (
	// headerForwardVersion is the version of the configuration of the entry that forwards.
	headerForwardVersion = "Entry-Version"
	// headerForwardAttempts is the number of upstreams that may still run the request.
	headerForwardAttempts = "Entry-Attempts"
	// headerForwardCounted is set if the request was counted at the entry that forwards.
	headerForwardCounted = "Entry-Counted"
	// headerDeclined is set in an answer by which an entry declines a request, headerAcceptor is another entry that accepted one for the same
	// service. headerResultCode is the result code of any other answer.
	headerDeclined   = "Entry-Declined"
	headerAcceptor   = "Entry-Acceptor"
	headerResultCode = "Entry-Result-Code"
)

var forwardHeaders = map[string]bool{
	headerForwardVersion: true, headerForwardAttempts: true, headerForwardCounted: true, headerDeclined: true, headerAcceptor: true,
	headerResultCode: true,
}

var (
	errDeclined = errors.New("declined by the entry")
	// errNotAccepted means that the entry did not reply to the head of the request in time, errNotOffered that the connection failed before.
	errNotAccepted = errors.New("not accepted by the entry")
	errNotOffered  = errors.New("not offered to the entry")
	errInterims    = errors.New("too many interim answers of the entry")
	// errRefusedAfterRun means that an entry refused a request that may have run before.
	errRefusedAfterRun = errors.New("refused by the entry, may have run before")
)

// forwardedRequest is what an entry says of a request that it forwards.
type forwardedRequest struct {
	version  httproute.Version
	attempts int
	counted  bool
}

// mayForward reports whether the request may be sent through another entry; the mutex is held.
func (x *exchange) mayForward() bool {
	return x.forwarded == nil && x.s.hasOtherEntries()
}

// hasOtherEntries reports whether this entry knows others; the mutex is held.
func (s *Relay) hasOtherEntries() bool {
	return s.entries != nil && s.entries.Total() > 1
}

// avoidsUnreachable reports whether the request is sent to no unreachable upstream, since another entry may reach one; the mutex is held.
func (x *exchange) avoidsUnreachable() bool {
	return x.forwarded != nil || x.mayForward() && !x.triesUnreachable
}

// shouldForward reports whether the request was not sent because upstreams are unreachable from this entry.
func (x *exchange) shouldForward() bool {
	if !x.lacksPath || x.triesUnreachable || x.timeLeft() <= 0 || x.r.Context().Err() != nil {
		return false
	}
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	return x.mayForward()
}

// prefersOtherEntry reports whether the request is sent through another entry on arrival. An entry that reaches few of all upstreams forwards
// the part of its requests that it would send to the others, so that those which it reaches get no more than before.
func (x *exchange) prefersOtherEntry() bool {
	s := x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.reach.anyUnreachable || !x.mayForward() {
		return false
	}
	paths := s.pathsFor(x)
	return paths.reach() == ReachNone || s.reach.reachesFew && paths.total > 0 && s.RandomInt(paths.total) < paths.unreachable
}

// forward sends the request through another entry and reports whether one accepted it; err is then the error of the request.
func (x *exchange) forward() (accepted bool, err error) {
	for range maxForwardTries {
		address, silent := x.chooseEntry()
		if address == "" || x.timeLeft() <= 0 {
			return false, nil
		}
		acceptIn := acceptTimeout
		if silent {
			acceptIn = lastAcceptTimeout
		}
		outcome := x.forwardTo(address, acceptIn)
		attempt := &x.attempts[len(x.attempts)-1]
		attempt.Result = string(outcome)
		switch outcome {
		case outcomeDone:
			return true, nil
		case outcomeCallerGone:
			return true, result.New(result.Cancelled, "the caller disconnected")
		case outcomeExpired:
			return true, x.expiredError()
		case outcomeFailed:
			x.endReason = InterruptedAttempt
			return true, x.finalError(result.New(result.UpstreamFailed, "entry %s refused the request after another attempt", address))
		case outcomeBroken:
			x.endReason = InterruptedAttempt
			return true, x.finalError(result.New(result.UpstreamFailed, "the answer of entry %s broke off", address))
		}
		if silent {
			return false, nil
		}
		entry := entryService{address, x.service.Name}
		x.s.avoidEntry(entry, outcome == outcomeNotAccepted)
		if attempt.Declined != DeclinedBusy {
			x.s.forgetAcceptor(entry)
		}
	}
	return false, nil
}

// chooseEntry returns the address of an entry to ask, or "". An entry in this hall is preferred to others, and any that answers to one that
// was silent shortly before. After the first one that did not accept, entries that accepted other requests are preferred: if only few have a
// path, it takes long to find them by chance. The first one is chosen by chance, so that these few do not get all requests if others have a path.
func (x *exchange) chooseEntry() (address string, silent bool) {
	s := x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	others := s.entries.Others()
	for _, silent := range []bool{false, true} {
		lists := [][]string{s.entries.OthersIn(s.Hall), others}
		if len(x.triedEntries) > 0 {
			lists = append([][]string{x.namedAcceptors, s.acceptors[x.service.Name]}, lists...)
		}
		for _, addresses := range lists {
			if usable := x.usableEntries(addresses, silent); len(usable) > 0 {
				return usable[s.RandomInt(len(usable))], silent
			}
		}
	}
	return "", false
}

// noteAcceptor remembers an entry that accepted a request for a service, in place of the one that was added first if there are many.
func (s *Relay) noteAcceptor(e entryService) {
	s.mu.Lock()
	defer s.mu.Unlock()
	acceptors := s.acceptors[e.service]
	if slices.Contains(acceptors, e.address) {
		return
	}
	if len(acceptors) >= maxAcceptors {
		acceptors = slices.Delete(acceptors, 0, 1)
	}
	s.acceptors[e.service] = append(acceptors, e.address)
}

// forgetAcceptor forgets an entry that does not accept requests for a service any more.
func (s *Relay) forgetAcceptor(e entryService) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptors[e.service] = slices.DeleteFunc(s.acceptors[e.service], func(address string) bool { return address == e.address })
}

// anyAcceptor returns an entry that accepted a request for a service, or "".
func (s *Relay) anyAcceptor(service ident.Service) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	acceptors := s.acceptors[service]
	if len(acceptors) == 0 {
		return ""
	}
	return acceptors[s.RandomInt(len(acceptors))]
}

// noteNamedAcceptor notes an entry that another one named when it declined the request.
func (x *exchange) noteNamedAcceptor(address string) {
	s := x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if address != "" && slices.Contains(s.entries.Others(), address) {
		x.namedAcceptors = append(x.namedAcceptors, address)
	}
}

// usableEntries returns the entries that are not avoided and that this request did not ask, or, if silent is set, those that are avoided only
// for their silence, asked or not; the mutex is held.
func (x *exchange) usableEntries(addresses []string, silent bool) []string {
	now := x.s.Now()
	var usable []string
	for _, address := range addresses {
		avoided := x.s.avoidedEntries[entryService{address, x.service.Name}]
		isAvoided := now.Before(avoided.until)
		if silent && isAvoided && avoided.silent || !silent && !isAvoided && !x.triedEntries[address] {
			usable = append(usable, address)
		}
	}
	return usable
}

// entryService is an entry and a service whose requests it may serve.
type entryService struct {
	address string
	service ident.Service
}

// avoidance is until when an entry is avoided, and whether it was silent, in place of declining.
type avoidance struct {
	until  time.Time
	silent bool
}

// avoidEntry keeps requests for a service from being forwarded to an entry for a while.
func (s *Relay) avoidEntry(e entryService, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	for other, avoided := range s.avoidedEntries {
		if !now.Before(avoided.until) {
			delete(s.avoidedEntries, other)
		}
	}
	s.avoidedEntries[e] = avoidance{now.Add(declinedPeriod), silent}
}

// forwardTo sends the request to an entry and forwards its answer. The request was not accepted if the outcome is outcomeNeverSent,
// outcomeNotAccepted or outcomeNotRun.
func (x *exchange) forwardTo(address string, acceptIn time.Duration) attemptOutcome {
	s := x.s
	if x.triedEntries == nil {
		x.triedEntries = map[string]bool{}
	}
	x.triedEntries[address] = true
	x.attempts = append(x.attempts, Attempt{Entry: address, StartMS: s.Now().Sub(x.arrivedAt).Milliseconds()})
	ctx, cancel := context.WithTimeout(x.r.Context(), min(dialTimeout, x.timeLeft()))
	conn, err := s.entryPool.get(ctx, address, !x.route.Repeatable())
	cancel()
	if err != nil {
		if x.r.Context().Err() != nil {
			return outcomeCallerGone
		}
		return outcomeNeverSent
	}
	watch := x.watchCaller(conn)
	defer watch.end()
	ranBefore := x.mayHaveRun
	resp, err := x.exchangeWithEntry(conn, acceptIn)
	if errors.Is(err, errDeclined) {
		x.mayHaveRun = ranBefore
		x.attempts[len(x.attempts)-1].Declined = declineReasonOf(resp)
		x.noteNamedAcceptor(resp.Header.Get(headerAcceptor))
		watch.end()
		s.entryPool.put(conn, resp, maxIdlePerUpstream)
		return outcomeNotRun
	}
	if err == nil {
		err = x.forwardEntryAnswer(resp, ranBefore)
	}
	if err != nil {
		conn.Close()
		x.attempts[len(x.attempts)-1].setHeadError(err)
		return x.entryOutcome(err)
	}
	watch.end()
	s.entryPool.put(conn, resp, maxIdlePerUpstream)
	return outcomeDone
}

// exchangeWithEntry offers the request to an entry, sends the body if that accepts, and returns the head of the answer. With errNotAccepted and
// errNotOffered the request did not run; with errDeclined neither, and the answer was read to its end.
func (x *exchange) exchangeWithEntry(conn *upstreamConn, acceptIn time.Duration) (*http.Response, error) {
	attempts := max(1, x.route.MaxAttempts-x.runCount)
	x.boundConn(conn, min(acceptIn, x.timeLeft()))
	resp, err := x.offer(conn, attempts)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, errNotAccepted
	} else if err != nil {
		return nil, errors.Join(errNotOffered, err)
	}
	if resp.StatusCode != http.StatusContinue {
		x.boundConn(conn, x.timeLeft())
		return x.checkDeclined(resp)
	}
	x.s.noteAcceptor(entryService{conn.address, x.service.Name})
	// From here on upstreams may run the request as often as the route allows.
	x.mayHaveRun = true
	x.runCount += attempts
	x.boundConn(conn, x.timeLeft())
	if err := x.writeForwardedBody(conn.bw); err != nil {
		return nil, err
	}
	if resp, err = x.readEntryHead(conn, false); err != nil {
		return nil, err
	}
	resp, err = x.checkDeclined(resp)
	if errors.Is(err, errDeclined) {
		x.runCount -= attempts
	}
	return resp, err
}

// offer sends the head of the request to an entry and returns the head of its reply: to continue, or the answer to a request that it does
// not run.
func (x *exchange) offer(conn *upstreamConn, attempts int) (*http.Response, error) {
	if err := x.writeForwardedHead(conn.bw, attempts); err != nil {
		return nil, err
	}
	return x.readEntryHead(conn, true)
}

// readEntryHead returns the head of an entry's answer, or of its acceptance if that is awaited. Other interim answers are skipped.
func (x *exchange) readEntryHead(conn *upstreamConn, awaitsAcceptance bool) (*http.Response, error) {
	for range maxEntryInterims + 1 {
		resp, err := conn.br.ReadResponse(x.r)
		if err != nil || resp.StatusCode >= http.StatusOK || awaitsAcceptance && resp.StatusCode == http.StatusContinue {
			return resp, err
		}
	}
	return nil, errInterims
}

// checkDeclined reads the rest of an answer that declines the request, and returns errDeclined with it.
func (x *exchange) checkDeclined(resp *http.Response) (*http.Response, error) {
	if resp.Header.Get(headerDeclined) == "" {
		return resp, nil
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes)); err != nil {
		resp.Close = true
	}
	return resp, errDeclined
}

// writeForwardedHead writes the head of the caller's request for another entry.
func (x *exchange) writeForwardedHead(bw *bufio.Writer, attempts int) error {
	names := &x.s.Headers
	replaced := map[string]bool{http.CanonicalHeaderKey(names.Deadline): true, http.CanonicalHeaderKey(names.EventID): true, "Expect": true}
	x.writeCallerHead(bw, func(name string) bool { return replaced[name] || forwardHeaders[name] })
	writeHeader(bw, names.Deadline, strconv.FormatInt(max(1, x.timeLeft().Milliseconds()), 10))
	if x.lastEventID != "" {
		writeHeader(bw, names.EventID, x.lastEventID)
	}
	writeHeader(bw, headerForwardVersion, strconv.FormatUint(uint64(x.table.Config.Version), 10))
	writeHeader(bw, headerForwardAttempts, strconv.Itoa(attempts))
	if x.counted {
		writeHeader(bw, headerForwardCounted, "1")
	}
	writeHeader(bw, "Expect", "100-continue")
	if len(x.body) > 0 {
		writeHeader(bw, "Content-Length", strconv.Itoa(len(x.body)))
	} else {
		// A body of length 0 would end with the head, and the request could run without having been accepted.
		writeHeader(bw, "Transfer-Encoding", "chunked")
	}
	writeStrings(bw, "\r\n")
	return bw.Flush()
}

// writeForwardedBody writes the caller's body for another entry.
func (x *exchange) writeForwardedBody(bw *bufio.Writer) error {
	if len(x.body) == 0 {
		writeStrings(bw, "0\r\n\r\n")
	}
	if _, err := bw.Write(x.body); err != nil {
		return err
	}
	return bw.Flush()
}

// forwardEntryAnswer forwards the answer of an entry to the caller. If the request may have run before, a refusal that says "not run" is not
// forwarded: it is true of the attempts of that entry only.
func (x *exchange) forwardEntryAnswer(resp *http.Response, ranBefore bool) error {
	// An answer without a code is a stream or was complete; only its end tells.
	if code, err := strconv.Atoi(resp.Header.Get(headerResultCode)); err == nil {
		x.entryCode = result.Code(code)
	}
	if ranBefore && result.Lookup(x.entryCode).NotRun {
		x.minRetryAfter = max(x.minRetryAfter, retryAfterOf(resp))
		return errRefusedAfterRun
	}
	for name := range forwardHeaders {
		resp.Header.Del(name)
	}
	if x.isStream(resp) {
		return x.forwardEvents(resp, newEventReader(resp), func() {}, x.noteEntryEvent)
	}
	x.releaseAnswer()
	if err := x.reserveAnswer(resp); err != nil {
		return err
	}
	body, err := readAnswerBody(resp)
	if err != nil {
		return err
	}
	unsigned := resp.Header.Get(x.s.Headers.Signature) == ""
	if x.headSent || resp.StatusCode < http.StatusMultipleChoices && unsigned {
		return errNoSignature
	}
	x.sentRetryAfter = retryAfterOf(resp)
	x.firstEventAfter = x.s.Now().Sub(x.arrivedAt)
	x.writeAnswer(&answer{resp.StatusCode, resp.Header, body})
	return nil
}

// retryAfterOf returns the Retry-After of an entry's refusal, 0 if there is none.
func retryAfterOf(resp *http.Response) time.Duration {
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// noteEntryEvent accounts for an event that came from another entry.
func (x *exchange) noteEntryEvent(ev *event) {
	now := x.s.Now()
	if x.eventCount == 0 {
		x.firstEventAfter = now.Sub(x.arrivedAt)
		x.lastEventAt = now
	}
	x.longestGap = max(x.longestGap, now.Sub(x.lastEventAt))
	x.lastEventAt = now
	x.eventCount++
	if ev.id != "" {
		x.lastEventID = ev.id
	}
}

// entryOutcome returns the outcome of a request whose answer from another entry failed with err.
func (x *exchange) entryOutcome(err error) attemptOutcome {
	switch {
	case x.r.Context().Err() != nil, errors.Is(err, errCallerNotReading):
		return outcomeCallerGone
	case x.timeLeft() <= 0:
		return outcomeExpired
	case errors.Is(err, errRefusedAfterRun):
		return outcomeFailed
	case errors.Is(err, errNotAccepted):
		return outcomeNotAccepted
	case errors.Is(err, errNotOffered):
		return outcomeNeverSent
	}
	return outcomeBroken
}
