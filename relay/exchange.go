package relay

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/result"
)

// exchange is one request on its way through the relay.
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
	body      []byte
	// bodyTimedOut is set when the time was up before the body had arrived; net/http then ends the request as if its caller had left.
	bodyTimedOut bool
	// content is the digest of path and body.
	content   ident.Content
	requestID string
	// promptTokens and answer are the tokens that it brings and those that are expected of the answer.
	promptTokens ident.Tokens
	answerTokens ident.Tokens
	// dispatchDelay is what first words take beyond the estimate, as it was known when the request looked for a group.
	dispatchDelay dispatchDelay
	// priorElapsed is what the caller spent on earlier tries, as far as that is known; limit is when the first word must come by the
	// estimate to be in time, idle when it would come at a group with nothing to do, lost when the caller began to wait for it.
	priorElapsed    time.Duration
	aimDeadline     time.Time
	idleFirstEvent  time.Duration
	callerWaitStart time.Time
	// pendingTokens is the part of the prompt that counts as unread at the target of the present try.
	pendingTokens ident.Tokens

	attempts       []Attempt
	triedUpstreams map[ident.Incarnation]bool
	sendCount      int
	runCount       int
	// mayHaveRun is set once an upstream may have worked on the request.
	mayHaveRun bool
	// displaced is set once it was sent to a group that has ended, or stands still.
	displaced bool
	// failureAnswer is an upstream's own failure that is passed on when nothing better comes.
	failureAnswer *answer

	// headSent is set once the head of the answer went to the caller.
	headSent        bool
	lastEventID     string
	lastEventAt     time.Time
	eventCount      int
	firstEventAfter time.Duration
	// expectedFirstEvent is when the first word was to come by the estimate of the first try.
	expectedFirstEvent time.Duration
	longestGap         time.Duration
	sentRetryAfter     time.Duration
	// minRetryAfter is the least time after which the caller shall come back, when that is known.
	minRetryAfter time.Duration
	status        int
	// heldAtStart is set when the request waited for the entry's first confirmation.
	heldAtStart bool
	// backoffProbe is set while the present try finds out whether an upstream takes requests again, skippedUpstreams is how many others wanted
	// nothing when it was chosen.
	backoffProbe     bool
	skippedUpstreams int
	// countedAtTarget is set while it counts at the target of the present try.
	countedAtTarget bool
	// noPermitAt are the upstreams that take no more within their limits in the time that it can wait, permitDenials how often there was nothing
	// to be had.
	noPermitAt    map[ident.Incarnation]bool
	permitDenials int
	// bodyBytes and answerBytes are the bytes that are counted for it.
	bodyBytes, answerBytes int64
	// retryCharged is set while the budget for repeats has let the next try go.
	retryCharged bool
}

func (s *Relay) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	return &exchange{
		s: s, w: w, r: r, arrivedAt: s.Now(), table: s.table.Load(),
		requestID: r.Header.Get(s.Headers.RequestID), triedUpstreams: map[ident.Incarnation]bool{},
	}
}

// admit finds out what the request is and whether it may run.
func (x *exchange) admit() error {
	x.awaitFirstConfirmation()
	if x.table == nil {
		return result.New(result.ControlUnreachable, "no configuration has arrived yet")
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
	x.lastEventID = x.r.Header.Get(x.s.Headers.EventID)
	x.priorElapsed = x.s.estimatePriorElapsed(x.route.Name, x.callerTimeout())
	x.s.Budget.CountRequest(x.service.Name)
	x.countDemand()
	return x.readBody()
}

// findRoute refuses an unknown route as unknown only while the configuration is certainly the newest.
func (x *exchange) findRoute() error {
	x.route = x.table.Route(x.r.Host, x.r.URL.Path)
	switch {
	case x.route != nil:
		return nil
	case x.s.ConfirmedAge() > staleConfigAge:
		return result.New(result.ControlUnreachable, "no route here, and newer configuration may not have arrived")
	}
	return result.New(result.NotFound, "no route for this host and path")
}

func (x *exchange) findCustomer() error {
	if x.route.Public || !x.table.NeedsKeys() {
		return nil
	}
	age := x.s.ConfirmedAge()
	if age > x.s.KeyValidity {
		return result.New(result.ControlUnreachable, "keys were last confirmed %s ago", age)
	}
	x.customer = x.table.Owner(x.r.Header.Get(x.s.Headers.Key))
	switch {
	case x.customer != nil:
		return nil
	case age > staleConfigAge:
		return result.New(result.ControlUnreachable, "the key is not known, and newer configuration may not have arrived")
	}
	return result.New(result.Unauthorized, "the key is not known")
}

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
		return result.New(result.DeadlineUnreachable, "the body had not arrived when the time was up")
	case errors.As(err, &tooLarge):
		return result.New(result.TooLarge, "the body is over %d bytes", limit)
	case errors.Is(err, errMemoryLimit):
		x.w.Header().Set("Connection", "close")
		return result.Wrap(err, result.Overloaded, "the body can't be held")
	case err != nil:
		return result.Wrap(err, result.Cancelled, "the body did not arrive whole")
	}
	x.body = body
	x.content = quarantine.ContentOf(x.r.RequestURI, body)
	return nil
}

// readBodyBytes reads the body by the time at which the request must have its answer.
func (x *exchange) readBodyBytes(limit int64) ([]byte, error) {
	if x.r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(x.w)
	// Where the connection can't have a deadline, the caller's own time bounds it.
	_ = control.SetReadDeadline(time.Now().Add(x.timeLeft()))
	body, err := io.ReadAll(&bodyReader{http.MaxBytesReader(x.w, x.r.Body, limit), x})
	if err == nil {
		_ = control.SetReadDeadline(time.Time{})
	}
	return body, err
}

// defaultMaxBodyBytes bounds a body where the configuration does not.
const defaultMaxBodyBytes = 4 << 20

// countDemand notes what the request asks of its model, whether it will be served or not.
func (x *exchange) countDemand() {
	if x.service.Engine == nil {
		return
	}
	x.promptTokens, x.answerTokens = x.tokenCounts()
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	d := x.s.demand[x.model]
	d.Requests++
	d.Prompt += x.promptTokens
	d.Answer += x.answerTokens
	x.s.demand[x.model] = d
}

// maxClaimedTokens bounds the tokens that a caller may claim where an engine does not say what it can hold. Without a bound one request
// with the largest number made the demand of its model, which the leader plans by, negative.
const maxClaimedTokens = 1 << 20

// tokenCounts returns the tokens of the prompt, and those expected of the answer: the caller's estimate within the most that it
// allows, or without one what is usual. More than an engine can hold runs nowhere and counts for no more than that.
func (x *exchange) tokenCounts() (prompt, answer ident.Tokens) {
	promptText, maxAnswerText, _ := strings.Cut(x.r.Header.Get(x.s.Headers.Tokens), ",")
	capacity := ident.Tokens(maxClaimedTokens)
	if x.service.Engine.Memory > 0 {
		capacity = x.service.Engine.Memory
	}
	prompt, _ = parseTokenCount(promptText, capacity)
	maxAnswer, hasMax := parseTokenCount(maxAnswerText, capacity)
	answer, hasEstimate := parseTokenCount(x.r.Header.Get(x.s.Headers.AnswerEstimate), capacity)
	if !hasEstimate {
		answer = x.service.Engine.Usual.Answer
	}
	if hasMax {
		answer = min(answer, maxAnswer)
	}
	return prompt, answer
}

// parseTokenCount reads a number of tokens, of which no more than most count; one that can't be read is not known here, the engine answers
// for it.
func parseTokenCount(text string, maxCount ident.Tokens) (ident.Tokens, bool) {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 {
		return 0, false
	}
	return min(ident.Tokens(n), maxCount), true
}

// prefillTokens are the tokens that an engine has to read before the next event: the prompt, and what was written of the answer before.
func (x *exchange) prefillTokens() ident.Tokens {
	if x.lastEventID == "" {
		// It is asked for each group, and reading no number costs an allocation.
		return x.promptTokens
	}
	receivedEvents, numbered := eventNumber(x.lastEventID)
	if !numbered || x.service.Engine == nil {
		return x.promptTokens
	}
	return x.promptTokens + ident.Tokens(min(receivedEvents, maxClaimedEvents)*int64(max(1, x.service.Engine.Stride)))
}

// maxClaimedEvents bounds the events of an answer that a caller may claim to have: it is told to other entries, and engines turn away
// what does not fit.
const maxClaimedEvents = 10_000

func (x *exchange) wasAttempted(id ident.Incarnation) bool {
	return x.triedUpstreams[id]
}

// timeLeft is the time until the request must have its final answer.
func (x *exchange) timeLeft() time.Duration {
	return x.deadline.Sub(x.s.Now())
}
