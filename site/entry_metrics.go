package site

import (
	"math"
	"net/http"
	"strconv"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/meter"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/siteload"
)

// maxSeries bounds the pairs of customer and class with metrics of their own; all others are counted together.
const maxSeries = 512

// maxAttemptSeries bounds the outcomes of attempts that are counted: there are about ten, plus error texts.
const maxAttemptSeries = 32

// refusalKey identifies refused requests with one code.
type refusalKey struct {
	class   ident.Class
	urgency siteload.Urgency
	code    result.Code
}

// maxHallSeries bounds the halls whose attempts are counted.
const maxHallSeries = 64

// attemptKey is the outcome of an attempt.
type attemptKey struct {
	result string
	cut    relay.ConnFailure
}

// otherSeries is the label of the series for all others.
const otherSeries = "other"

type seriesKey struct {
	customer ident.Customer
	class    ident.Class
}

// series are the metrics of one customer and class.
type series struct {
	scope tally.Scope
	first tally.Histogram
	total tally.Histogram
	codes map[result.Code]tally.Counter
}

// entryMetrics counts requests by customer and class.
type entryMetrics struct {
	scope tally.Scope

	mu          sync.Mutex
	series      map[seriesKey]*series
	firstEvents map[ident.Model]*firstEventMetrics
	attempts    map[attemptKey]tally.Counter
	// hallAttempts count attempts by the hall of their upstream.
	hallAttempts map[ident.Hall]tally.Counter
	refusals     map[refusalKey]tally.Counter
	// quarantined is the number of fingerprints in quarantine.
	quarantined tally.Gauge
	// backedOff is the number of upstreams that are backed off at this entry.
	backedOff tally.Gauge
	// limited is the number of upstreams with a limit, permits count the requests for permits.
	limited tally.Gauge
	permits map[ratelimit.Outcome]tally.Counter
	// retriesAllowed and retriesDenied count the decisions of the retry budget, retryEntries is the number of entries that share it.
	retriesAllowed, retriesDenied tally.Counter
	retryEntries                  tally.Gauge
	// cutOff is 1 while no upstream can be reached.
	cutOff tally.Gauge
	// interruptions count answers that this entry did not complete.
	interruptions map[relay.InterruptReason]tally.Counter
	// requestsSinceStop count requests that ended during a planned stop, by outcome.
	requestsSinceStop map[string]tally.Counter
}

// firstEventMetrics are the times to first event of one model: as expected, as observed, and the difference.
type firstEventMetrics struct {
	expected  tally.Histogram
	actual    tally.Histogram
	deviation tally.Histogram
}

func newEntryMetrics(scope tally.Scope) *entryMetrics {
	return &entryMetrics{
		scope: scope, series: map[seriesKey]*series{}, firstEvents: map[ident.Model]*firstEventMetrics{}, attempts: map[attemptKey]tally.Counter{},
		hallAttempts: map[ident.Hall]tally.Counter{},
		refusals:     map[refusalKey]tally.Counter{},
		quarantined:  scope.Gauge("held_works"), backedOff: scope.Gauge("backed_off_upstreams"),
		limited: scope.Gauge("limited_upstreams"), permits: permitCounters(scope),
		retriesAllowed: retryCounter(scope, "allowed"), retriesDenied: retryCounter(scope, "denied"), retryEntries: scope.Gauge("retry_budget_entries"),
		cutOff: scope.Gauge("cut_off"), interruptions: map[relay.InterruptReason]tally.Counter{},
		requestsSinceStop: stopCounters(scope),
	}
}

// stopCounters returns the counters of requests that end during a planned stop, by outcome.
func stopCounters(scope tally.Scope) map[string]tally.Counter {
	counters := map[string]tally.Counter{}
	for _, outcome := range []string{"answered", "refused", "interrupted"} {
		counters[outcome] = scope.Tagged(map[string]string{"outcome": outcome}).Counter("requests_ended_while_stopping")
	}
	return counters
}

func retryCounter(scope tally.Scope, decision string) tally.Counter {
	return scope.Tagged(map[string]string{"decision": decision}).Counter("retry_decisions")
}

// permitCounters returns the counters of requests for permits by their outcome.
func permitCounters(scope tally.Scope) map[ratelimit.Outcome]tally.Counter {
	counters := map[ratelimit.Outcome]tally.Counter{}
	for _, o := range []ratelimit.Outcome{ratelimit.Granted, ratelimit.Refused, ratelimit.Unanswered} {
		counters[o] = scope.Tagged(map[string]string{"outcome": string(o)}).Counter("limit_permits")
	}
	return counters
}

func (n *entryMetrics) observe(r *relay.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	metrics := n.seriesOf(seriesKey{r.Customer, r.Route})
	counter := metrics.codes[r.Code]
	if counter == nil {
		counter = metrics.scope.Tagged(map[string]string{"code": strconv.Itoa(int(r.Code)), "result": result.Lookup(r.Code).Name}).Counter("requests")
		metrics.codes[r.Code] = counter
	}
	counter.Inc(1)
	if r.FirstEvent > 0 {
		metrics.first.RecordDuration(r.FirstEvent)
	}
	metrics.total.RecordDuration(r.Total)
	n.countRefusal(r)
	n.countInterruption(r.Interruption)
	n.countRetries(r.RetryDecisions)
	for i := range r.Attempts {
		n.countAttempt(&r.Attempts[i])
	}
	// Only declared models have an expectation, so callers can't create series.
	if r.ExpectedFirstEvent > 0 && r.FirstEvent > 0 && len(r.Attempts) == 1 {
		event := n.firstEvent(r.Model)
		event.expected.RecordDuration(r.ExpectedFirstEvent)
		event.actual.RecordDuration(r.FirstEvent)
		event.deviation.RecordDuration((r.FirstEvent - r.ExpectedFirstEvent).Abs())
	}
}

// countInterruption counts an answer that this entry did not complete; the mutex is held.
func (n *entryMetrics) countInterruption(reason relay.InterruptReason) {
	if reason == "" {
		return
	}
	counter := n.interruptions[reason]
	if counter == nil {
		counter = n.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("interrupted_answers")
		n.interruptions[reason] = counter
	}
	counter.Inc(1)
}

// countRetries counts the decisions of the retry budget on a request.
func (n *entryMetrics) countRetries(decisions []relay.RetryDecision) {
	for i := range decisions {
		if decisions[i].Allowed {
			n.retriesAllowed.Inc(1)
		} else {
			n.retriesDenied.Inc(1)
		}
		n.retryEntries.Update(float64(decisions[i].Entries))
	}
}

// countRefusal counts a request that was refused although its caller may send it again; the mutex is held.
func (n *entryMetrics) countRefusal(r *relay.Record) {
	if r.Declined != "" || r.Route == "" || r.Status != http.StatusServiceUnavailable || !result.Lookup(r.Code).NotRun {
		return
	}
	key := refusalKey{r.Route, r.Urgency, r.Code}
	if n.refusals[key] == nil && len(n.refusals) >= maxSeries {
		key = refusalKey{otherSeries, otherUrgency, r.Code}
	}
	counter := n.refusals[key]
	if counter == nil {
		counter = n.scope.Tagged(key.labels()).Counter("refused_requests")
		n.refusals[key] = counter
	}
	counter.Inc(1)
}

// labels returns the labels of the counter.
func (k refusalKey) labels() map[string]string {
	return map[string]string{"class": string(k.class), "urgency": urgencyLabel(k.urgency), "code": strconv.Itoa(int(k.code)), "result": result.Lookup(k.code).Name}
}

// countAttempt counts an attempt by its outcome, and by how the connection was cut if the response is incomplete; the
// mutex is held.
func (n *entryMetrics) countAttempt(attempt *relay.Attempt) {
	if attempt.HeadRule != "" {
		n.scope.Tagged(map[string]string{"rule": string(attempt.HeadRule)}).Counter("rejected_answer_heads").Inc(1)
	}
	if attempt.Entry != "" {
		n.scope.Tagged(map[string]string{"result": attempt.Result, "declined": string(attempt.Declined)}).Counter("forwarded_requests").Inc(1)
		return
	}
	n.countHall(attempt.Hall)
	key := attemptKey{attempt.Result, attempt.ConnFailure}
	counter := n.attempts[key]
	if counter == nil {
		if len(n.attempts) >= maxAttemptSeries {
			return
		}
		counter = n.scope.Tagged(map[string]string{"result": attempt.Result, "cut": string(attempt.ConnFailure)}).Counter("tries")
		n.attempts[key] = counter
	}
	counter.Inc(1)
}

// countHall counts an attempt at an upstream of a hall; the mutex is held.
func (n *entryMetrics) countHall(hall ident.Hall) {
	counter := n.hallAttempts[hall]
	if counter == nil {
		if hall == "" || len(n.hallAttempts) >= maxHallSeries {
			return
		}
		counter = n.scope.Tagged(map[string]string{"hall": string(hall)}).Counter("hall_attempts")
		n.hallAttempts[hall] = counter
	}
	counter.Inc(1)
}

func (n *entryMetrics) firstEvent(model ident.Model) *firstEventMetrics {
	event := n.firstEvents[model]
	if event == nil {
		scope := n.scope.Tagged(map[string]string{"model": string(model)})
		event = &firstEventMetrics{
			expected:  scope.Histogram("first_word_expected", meter.DurationBuckets()),
			actual:    scope.Histogram("first_word_seen", meter.DurationBuckets()),
			deviation: scope.Histogram("first_word_off", meter.DurationBuckets()),
		}
		n.firstEvents[model] = event
	}
	return event
}

func (n *entryMetrics) seriesOf(key seriesKey) *series {
	if s := n.series[key]; s != nil {
		return s
	}
	if len(n.series) >= maxSeries {
		key = seriesKey{otherSeries, otherSeries}
		if s := n.series[key]; s != nil {
			return s
		}
	}
	scope := n.scope.Tagged(map[string]string{"customer": string(key.customer), "class": string(key.class)})
	s := &series{
		scope: scope,
		first: scope.Histogram("first_byte", meter.DurationBuckets()),
		total: scope.Histogram("request", meter.DurationBuckets()),
		codes: map[result.Code]tally.Counter{},
	}
	n.series[key] = s
	return s
}

// logReachability logs how many upstreams of a service, or of all services, this entry reaches.
func (e *Entry) logReachability(event relay.ReachabilityEvent) {
	cutOff := event.Reach == relay.ReachNone
	if event.Service == "" {
		e.metrics.cutOff.Update(boolGauge(cutOff))
	}
	e.Log.Info("paths to upstreams changed", "service", event.Service, "reach", event.Reach, "cut-off", cutOff, "unreachable", event.Unreachable, "upstreams", event.Total)
}

func boolGauge(v bool) float64 {
	if v {
		return 1
	}
	return 0
}

// logInterruption logs an answer that this entry did not complete, besides its request line: the log of requests may be kept for a shorter
// time.
func (e *Entry) logInterruption(r *relay.Record) {
	if r.Interruption == "" {
		return
	}
	if occurrences, ok := e.interruptionLog.allow(e.relay.Now()); ok {
		e.Log.Info("answer interrupted", "id", r.ID, "route", r.Route, "reason", r.Interruption, "text", r.ErrorText, "code", int(r.Code),
			"version", r.Version, "events", r.Events, "total-ms", r.Total.Milliseconds(), "tries", r.Attempts, "retry-budget", r.RetryDecisions,
			"stopping", e.relay.Stopping(), "stopping-ms", e.relay.StoppingFor().Milliseconds(), "since-last", occurrences)
	}
}

// countSinceStop counts a request that ended during a planned stop.
func (e *Entry) countSinceStop(r *relay.Record) {
	if !e.relay.Stopping() {
		return
	}
	e.sinceStop.ended.Add(1)
	outcome := "answered"
	switch {
	case r.Interruption != "":
		outcome = "interrupted"
		e.sinceStop.interrupted.Add(1)
	case result.Lookup(r.Code).NotRun:
		outcome = "refused"
		e.sinceStop.refused.Add(1)
	}
	e.metrics.requestsSinceStop[outcome].Inc(1)
}

// observe counts a finished request and writes its log line.
func (e *Entry) observe(r *relay.Record) {
	e.metrics.observe(r)
	e.countSinceStop(r)
	e.logInterruption(r)
	fields := []any{
		"id", r.ID, "route", r.Route, "customer", r.Customer, "model", r.Model, "content", r.Content.String(),
		"code", int(r.Code), "status", r.Status, "text", r.ErrorText, "version", r.Version, "revision", r.Revision,
		"confirmed-age-ms", r.ConfirmedAge.Milliseconds(), "tries", r.Attempts, "prompt", int(r.Prompt), "events", r.Events,
		"first-ms", r.FirstEvent.Milliseconds(), "gap-ms", r.MaxEventGap.Milliseconds(), "total-ms", r.Total.Milliseconds(), "spent-ms", r.PriorElapsed.Milliseconds(), "retry-ms", r.RetryAfter.Milliseconds(),
		"limit-waits", r.LimitWaits, "urgency", int(r.Urgency), "queued-ms", r.Queued.Milliseconds(),
	}
	if len(r.PromptParts) > 0 {
		fields = append(fields, "parts", r.PromptParts)
	}
	if r.Site != nil {
		fields = append(fields, "site-waiting", r.Site.Waiting, "site-rate", math.Round(r.Site.SendRate*10)/10, "site-age-ms", r.Site.Age.Milliseconds())
	}
	if r.ForwardedBy != "" {
		fields = append(fields, "forwarded-by", r.ForwardedBy)
	}
	if r.Declined != "" {
		fields = append(fields, "declined", r.Declined)
	}
	if r.UnreachableTargets > 0 {
		fields = append(fields, "unreachable-targets", r.UnreachableTargets)
	}
	if r.SuspectTargets > 0 {
		fields = append(fields, "targets", r.Targets, "suspect-targets", r.SuspectTargets)
	}
	if drained := e.drained.Load(); drained.revision > 0 {
		fields = append(fields, "drain-revision", drained.revision, "drains-age-ms", clock.Since(drained.inForceAt).Milliseconds())
	}
	if r.Interruption != "" {
		fields = append(fields, "interruption", r.Interruption)
	}
	if len(r.RetryDecisions) > 0 {
		fields = append(fields, "retry-budget", r.RetryDecisions)
	}
	e.RequestLog.Info("request", fields...)
}
