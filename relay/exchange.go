package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/dunlinquay/dunlinquay/answerlen"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/overload"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/result"
)

// exchange is one caller's request and its answer, over all attempts.
type exchange struct {
	s         *Relay
	w         http.ResponseWriter
	r         *http.Request
	arrivedAt time.Time
	deadline  time.Time
	table     *httproute.Table
	route     *httproute.Route
	service   *httproute.Service
	customer  *httproute.Customer
	model     ident.Model
	// promptParts are the parts that the caller names, without those beyond maxPromptParts.
	promptParts []ident.PromptPart
	// quarantineParts are their fingerprints.
	quarantineParts []quarantine.Fingerprint
	body            []byte
	// bodyTimedOut is set when the deadline passed before the body had arrived. net/http then cancels the request's context, as it does
	// when the caller disconnects.
	bodyTimedOut bool
	// bodyRefused is set when the body was not read to its end because there was no memory for it.
	bodyRefused bool
	// content is the digest of path and body.
	content   ident.ContentHash
	requestID string
	// promptTokens is the size of the prompt, answerTokens the expected size of the answer; answerSize is what the caller says of it.
	promptTokens ident.Tokens
	answerTokens ident.Tokens
	answerSize   answerlen.Size
	// dispatchDelay is by how much times to the first event exceed the estimate, as known when the request was queued.
	dispatchDelay dispatchDelay
	// priorElapsed is the estimated time that the caller spent on earlier requests. An estimated first event by aimDeadline is in time;
	// idleFirstEvent is the estimate for an idle group. callerWaitStart is since when the caller has waited for the next event.
	priorElapsed    time.Duration
	aimDeadline     time.Time
	idleFirstEvent  time.Duration
	callerWaitStart time.Time
	// claim is what the request must leave to more urgent ones, while a target is being chosen for it.
	claim overload.Claim
	// overloaded is set while an overload lasts, as the check on arrival sees it.
	overloaded bool
	// reservation is that of the current attempt, hedge a second attempt beside it.
	reservation
	hedge *hedge

	attempts       []Attempt
	triedUpstreams map[ident.Incarnation]bool
	// sendCount is how often the request was sent, runCount how often an upstream may have worked on it.
	sendCount int
	runCount  int
	// mayHaveRun is set once an upstream may have worked on the request.
	mayHaveRun bool
	// displaced is set once the request was sent to a group that had failed.
	displaced bool
	// failureAnswer is an upstream's failure answer, forwarded if no later attempt succeeds.
	failureAnswer *answer

	phase phase
	// servedFrom is when the request was admitted with its body.
	servedFrom time.Time
	// headSent is set once the head of the answer was sent to the caller.
	headSent        bool
	lastEventID     string
	lastEventAt     time.Time
	eventCount      int
	firstEventAfter time.Duration
	// expectedFirstEvent is the estimated time to the first event at the first attempt, from the arrival of the request.
	expectedFirstEvent time.Duration
	longestGap         time.Duration
	sentRetryAfter     time.Duration
	// minRetryAfter is the minimum Retry-After of a refusal, where it is known.
	minRetryAfter time.Duration
	// returnAfter is the Retry-After that was counted as told to the caller, 0 for one that is derived from minRetryAfter.
	returnAfter time.Duration
	status      int
	// heldAtStart is set when the request waited for the leader's first confirmation to this entry.
	heldAtStart bool
	// skippedUpstreams is how many upstreams were unavailable when the target was chosen.
	skippedUpstreams int
	// knownTargets is the number of targets at the last choice, suspectTargets how many of them were avoided because they failed recently or
	// are suspected, by this entry or others.
	knownTargets, suspectTargets int
	// noPermitAt are the upstreams without a permit in the time that the request can wait, permitDenials is how often a permit was denied.
	noPermitAt    map[ident.Incarnation]bool
	permitDenials int
	// bodyBytes are the bytes of the body that count against the memory bound.
	bodyBytes int64
	// queuedFor is how long the request has waited for targets, siteAtRefusal what was known of the requests at all entries when it found
	// no capacity.
	queuedFor     time.Duration
	siteAtRefusal *SiteQueue
	// work is the work that counts for the customer. overShare is set when the request ranks after those of other customers, leavesRoom
	// when it must also leave capacity for others.
	work                  requestWork
	overShare, leavesRoom bool
	// retryCharged is set while the retry budget has been charged for an attempt that was not sent yet.
	retryCharged bool
	// unreachableTargets is how many targets were not chosen because they are unreachable from this entry; lacksPath is set when no other
	// target was left for that reason.
	unreachableTargets int
	lacksPath          bool
	// triesUnreachable is set when no other entry accepted the request: it is then sent to an unreachable target, which may be reachable
	// again since the last probe.
	triesUnreachable bool
	// forwarded is set for a request of another entry, declined once this entry has declined it. triedEntries are the entries to which the
	// request was forwarded, namedAcceptors those that they named when they declined it, entryCode is the result code of the answer of one.
	forwarded      *forwardedRequest
	declined       DeclineReason
	triedEntries   map[string]bool
	namedAcceptors []string
	entryCode      result.Code
	// forwardEnded is set once another entry has served the request beside a silent attempt, with forwardErr.
	forwardEnded bool
	forwardErr   error
	// counted is set once the request counts in the retry budget and the demand.
	counted bool
	// retryDecisions are the decisions of the retry budget on this request.
	retryDecisions []RetryDecision
	// endReason is why no further attempt was made, interruption why the caller's connection was closed without a complete answer.
	endReason, interruption InterruptReason
}

// reservation is what a request holds for one attempt.
type reservation struct {
	// countedAtTarget is set while the request counts at the target.
	countedAtTarget bool
	// pendingTokens are the prompt tokens that count as pending there.
	pendingTokens ident.Tokens
	// backoffProbe is set while the attempt tests whether an upstream accepts requests again after a backoff.
	backoffProbe bool
	// sentWork is the estimated work of the request from its sending to the end of its answer.
	sentWork float64
	// answerBytes are the bytes of the answer that count against the memory bound.
	answerBytes int64
}

func (s *Relay) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{
		s: s, w: w, r: r, arrivedAt: s.Now(), table: s.table.Load(),
		requestID: r.Header.Get(s.Headers.RequestID), triedUpstreams: map[ident.Incarnation]bool{},
	}
}

// admit determines the route, customer, deadline and service of the request and reads the body, or returns why the request is refused.
func (x *exchange) admit() error {
	x.awaitFirstConfirmation()
	if x.table == nil {
		return result.New(result.ControlUnreachable, "this entry has not received a configuration yet")
	}
	if err := x.findRoute(); err != nil {
		return err
	}
	if err := x.findCustomer(); err != nil {
		return err
	}
	if err := x.findDeadline(); err != nil {
		return err
	}
	x.service = x.table.Pick(x.route)
	if x.service == nil {
		return result.New(result.NoWholeGroup, "the route's service is not declared")
	}
	x.model = ident.Model(x.r.Header.Get(x.s.Headers.Model))
	if x.lacksPathForOther() {
		x.lacksPath = true
		return result.New(result.NoWholeGroup, "most upstreams are unreachable from this entry")
	}
	x.setPromptParts()
	x.lastEventID = x.r.Header.Get(x.s.Headers.EventID)
	x.priorElapsed = x.s.estimatePriorElapsed(x.route.Name, x.callerTimeout())
	if x.forwarded == nil && !x.prefersOtherEntry() {
		x.count()
	}
	if err := x.checkStop(); err != nil {
		return err
	}
	if err := x.readBody(); err != nil {
		return err
	}
	if err := x.checkStop(); err != nil {
		return err
	}
	x.servedFrom = x.s.Now()
	if x.forwarded != nil {
		// Another entry serves, and counts, a request whose body does not arrive.
		x.count()
	}
	return nil
}

// count counts the request in the retry budget and the demand, unless another entry did.
func (x *exchange) count() {
	if x.counted {
		return
	}
	x.counted = true
	x.setTokenCounts()
	if x.forwarded != nil && x.forwarded.counted {
		return
	}
	x.s.Budget.CountRequest(x.service.Name)
	x.countDemand()
}

// findRoute finds the route for the host and path. Without one the error is NotFound only if the configuration is certain to be current.
func (x *exchange) findRoute() error {
	x.route = x.table.Route(x.r.Host, x.r.URL.Path)
	switch {
	case x.route != nil:
		return nil
	case x.s.ConfirmedAge() > staleConfigAge:
		return result.New(result.ControlUnreachable, "no route for this host and path in a configuration that may be outdated")
	}
	return result.New(result.NotFound, "no route for this host and path")
}

// findCustomer finds the customer by the caller's key. Keys that were not confirmed for too long are not accepted.
func (x *exchange) findCustomer() error {
	if x.route.Public || !x.table.NeedsKeys() {
		return nil
	}
	age := x.s.ConfirmedAge()
	if age > x.s.KeyValidity {
		return result.New(result.ControlUnreachable, "keys are not accepted: last confirmed by the leader %s ago", age)
	}
	x.customer = x.table.Owner(x.r.Header.Get(x.s.Headers.Key))
	switch {
	case x.customer != nil:
		return nil
	case age > staleConfigAge:
		return result.New(result.ControlUnreachable, "unknown key in a configuration that may be outdated")
	}
	return result.New(result.Unauthorized, "unknown key")
}

// findDeadline sets the deadline: the route's time-out, or the caller's deadline if that is sooner.
func (x *exchange) findDeadline() error {
	timeout := x.route.Timeout
	if text := x.r.Header.Get(x.s.Headers.Deadline); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil {
			return result.New(result.BadRequest, "the deadline is not a whole number of milliseconds")
		}
		timeout = min(timeout, time.Duration(ms)*time.Millisecond)
	}
	x.deadline = x.arrivedAt.Add(timeout)
	return nil
}

// readBody reads the whole body and computes the digest of the request's content.
func (x *exchange) readBody() error {
	limit := x.table.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := x.readBodyBytes(limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.bodyTimedOut = true
		x.w.Header().Set("Connection", "close")
		if x.endedByStop() {
			return x.stopError()
		}
		return result.New(result.DeadlineUnreachable, "the deadline passed before the body had arrived")
	case errors.As(err, &tooLarge):
		return result.New(result.TooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, errMemoryLimit):
		x.bodyRefused = true
		x.w.Header().Set("Connection", "close")
		return result.Wrap(err, result.Overloaded, "no memory for the body")
	case err != nil:
		return result.Wrap(err, result.Cancelled, "reading the body")
	}
	x.body = body
	x.content = quarantine.ContentOf(x.r.RequestURI, body)
	return nil
}

// readBodyBytes reads the body until the request's deadline.
func (x *exchange) readBodyBytes(limit int64) ([]byte, error) {
	if x.r.ContentLength == 0 {
		return nil, nil
	}
	if x.r.ContentLength > x.s.memory.maxBytes {
		return nil, errMemoryLimit
	}
	defer x.s.memory.waiter.CompareAndSwap(x, nil)
	control := http.NewResponseController(x.w)
	// A connection without read deadlines is bounded only by how long the caller waits.
	_ = control.SetReadDeadline(time.Now().Add(x.timeLeft()))
	unwatch := context.AfterFunc(x.s.requestsCtx, func() { _ = control.SetReadDeadline(time.Now()) })
	body, err := io.ReadAll(&bodyReader{http.MaxBytesReader(x.w, x.r.Body, limit), x})
	if !unwatch() {
		return nil, os.ErrDeadlineExceeded
	}
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, err
}

// defaultMaxBodyBytes bounds a body where the configuration has no bound.
const defaultMaxBodyBytes = 4 << 20

// setTokenCounts sets the sizes of the prompt and of the expected answer.
func (x *exchange) setTokenCounts() {
	if x.service.Engine == nil {
		return
	}
	x.promptTokens, x.answerSize = x.tokenCounts()
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	x.answerTokens = x.expectedAnswer(x.s.Now())
}

// countDemand adds the request to the demand for its model, whether it will be served or not.
func (x *exchange) countDemand() {
	if x.service.Engine == nil {
		return
	}
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	d := x.s.demand[x.model]
	d.Requests++
	d.Prompt += x.promptTokens
	d.Answer += x.answerTokens
	x.s.demand[x.model] = d
}

// maxClaimedTokens bounds the token counts that a caller can claim where the engine declares no capacity. Without a bound, one request with
// a very large count made the sum of its model's demand overflow to a negative number, and the leader plans by that sum.
const maxClaimedTokens = 1 << 20

// tokenCounts returns the prompt's tokens and the size of the answer: the caller's estimate or the service's typical answer, and the maximum
// that the caller allows. No count exceeds the capacity of an engine, which no larger request can use.
func (x *exchange) tokenCounts() (prompt ident.Tokens, answer answerlen.Size) {
	promptText, maxAnswerText, _ := strings.Cut(x.r.Header.Get(x.s.Headers.Tokens), ",")
	capacity := ident.Tokens(maxClaimedTokens)
	if x.service.Engine.KVCapacity > 0 {
		capacity = x.service.Engine.KVCapacity
	}
	prompt, _ = parseTokenCount(promptText, capacity)
	maxAnswer, hasMax := parseTokenCount(maxAnswerText, capacity)
	answer = answerlen.Size{Typical: x.service.Engine.TypicalSize.Answer, Max: capacity}
	hint, hasHint := parseTokenCount(x.r.Header.Get(x.s.Headers.AnswerEstimate), capacity)
	if hasHint {
		answer.Hint, answer.Typical = hint, hint
	}
	if hasMax {
		// A size with a maximum of 0 has none, and a complete answer has at least one token.
		answer.Max = max(1, maxAnswer)
	}
	return prompt, answer
}

// parseTokenCount parses a number of tokens and bounds it to maxCount. An invalid number is reported as unknown; the engine checks the
// header itself.
func parseTokenCount(text string, maxCount ident.Tokens) (ident.Tokens, bool) {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0, false
	}
	return min(ident.Tokens(n), maxCount), true
}

// prefillTokens are the tokens that an engine must prefill before the next event: the prompt and the events of the answer so far.
func (x *exchange) prefillTokens() ident.Tokens {
	if x.lastEventID == "" {
		// This method is called for each group, and parsing an empty string allocates an error.
		return x.promptTokens
	}
	receivedEvents, numbered := eventNumber(x.lastEventID)
	if !numbered || x.service.Engine == nil {
		return x.promptTokens
	}
	return x.promptTokens + ident.Tokens(min(receivedEvents, maxClaimedEvents)*int64(max(1, x.service.Engine.StepsPerIteration)))
}

// maxClaimedEvents bounds the events that a caller can claim to have received, since the sum is sent to other entries. Engines refuse
// requests that exceed their capacity.
const maxClaimedEvents = 10_000

func (x *exchange) wasAttempted(id ident.Incarnation) bool {
	return x.triedUpstreams[id]
}
