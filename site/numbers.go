package site

import (
	"strconv"
	"sync"

	"github.com/uber-go/tally/v4"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/meter"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/result"
)

// maxSeries bounds the pairs of customer and class that have metrics of their own; the rest is counted together.
const maxSeries = 512

// maxTrySeries bounds the ways in which tries end that are counted: there are about ten, and texts of errors beside them.
const maxTrySeries = 32

// tryKey is one way in which tries end.
type tryKey struct {
	result string
	cut    relay.ConnFailure
}

// otherSeries names what is counted together.
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

// numbers counts requests by customer and class.
type numbers struct {
	scope tally.Scope

	mu     sync.Mutex
	series map[seriesKey]*series
	models map[ident.Model]*words
	tries  map[tryKey]tally.Counter
	// held is how many works are held.
	held tally.Gauge
	// backedOff is how many upstreams want nothing from this entry.
	backedOff tally.Gauge
	// limited is how many upstreams have named a limit, permits count the requests that were meant for them.
	limited tally.Gauge
	permits map[ratelimit.Outcome]tally.Counter
}

// words are the first words of one model: when they were expected, when they came, and how far apart the two were.
type words struct {
	expected tally.Histogram
	seen     tally.Histogram
	off      tally.Histogram
}

func newNumbers(scope tally.Scope) *numbers {
	return &numbers{
		scope: scope, series: map[seriesKey]*series{}, models: map[ident.Model]*words{}, tries: map[tryKey]tally.Counter{},
		held: scope.Gauge("held_works"), backedOff: scope.Gauge("backed_off_upstreams"),
		limited: scope.Gauge("limited_upstreams"), permits: permitCounters(scope),
	}
}

// permitCounters count requests that were meant for upstreams with a limit by what became of them.
func permitCounters(scope tally.Scope) map[ratelimit.Outcome]tally.Counter {
	counters := map[ratelimit.Outcome]tally.Counter{}
	for _, o := range []ratelimit.Outcome{ratelimit.Granted, ratelimit.Refused, ratelimit.Unanswered} {
		counters[o] = scope.Tagged(map[string]string{"outcome": string(o)}).Counter("limit_permits")
	}
	return counters
}

func (n *numbers) observe(r *relay.Record) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.of(seriesKey{r.Customer, r.Route})
	c := s.codes[r.Code]
	if c == nil {
		c = s.scope.Tagged(map[string]string{"code": strconv.Itoa(int(r.Code)), "result": result.Lookup(r.Code).Name}).Counter("requests")
		s.codes[r.Code] = c
	}
	c.Inc(1)
	if r.FirstEvent > 0 {
		s.first.RecordDuration(r.FirstEvent)
	}
	s.total.RecordDuration(r.Total)
	for i := range r.Attempts {
		n.countTry(&r.Attempts[i])
	}
	// Only models that the configuration declares have an expectation, so callers can't make up series.
	if r.ExpectedFirstEvent > 0 && r.FirstEvent > 0 && len(r.Attempts) == 1 {
		w := n.words(r.Model)
		w.expected.RecordDuration(r.ExpectedFirstEvent)
		w.seen.RecordDuration(r.FirstEvent)
		w.off.RecordDuration((r.FirstEvent - r.ExpectedFirstEvent).Abs())
	}
}

// countTry counts how a try ended, and in which way its connection did where it has no whole answer; the mutex is held.
func (n *numbers) countTry(t *relay.Attempt) {
	key := tryKey{t.Result, t.ConnFailure}
	c := n.tries[key]
	if c == nil {
		if len(n.tries) >= maxTrySeries {
			return
		}
		c = n.scope.Tagged(map[string]string{"result": t.Result, "cut": string(t.ConnFailure)}).Counter("tries")
		n.tries[key] = c
	}
	c.Inc(1)
}

func (n *numbers) words(model ident.Model) *words {
	w := n.models[model]
	if w == nil {
		scope := n.scope.Tagged(map[string]string{"model": string(model)})
		w = &words{
			expected: scope.Histogram("first_word_expected", meter.Durations()),
			seen:     scope.Histogram("first_word_seen", meter.Durations()),
			off:      scope.Histogram("first_word_off", meter.Durations()),
		}
		n.models[model] = w
	}
	return w
}

func (n *numbers) of(key seriesKey) *series {
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
		first: scope.Histogram("first_byte", meter.Durations()),
		total: scope.Histogram("request", meter.Durations()),
		codes: map[result.Code]tally.Counter{},
	}
	n.series[key] = s
	return s
}

// observe counts a finished request and writes its line.
func (e *Entry) observe(r *relay.Record) {
	e.numbers.observe(r)
	e.RequestLog.Info("request", "id", r.ID, "route", r.Route, "customer", r.Customer, "model", r.Model, "content", r.Content.String(),
		"code", int(r.Code), "status", r.Status, "text", r.ErrorText, "version", r.Version, "revision", r.Revision,
		"confirmed-age-ms", r.ConfirmedAge.Milliseconds(), "tries", r.Attempts, "prompt", int(r.Prompt), "events", r.Events,
		"first-ms", r.FirstEvent.Milliseconds(), "gap-ms", r.MaxEventGap.Milliseconds(), "total-ms", r.Total.Milliseconds(), "spent-ms", r.PriorElapsed.Milliseconds(), "retry-ms", r.RetryAfter.Milliseconds(),
		"limit-waits", r.LimitWaits)
}
