package daemon

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dunlinquay/dunlinquay/dispatch"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/meter"
	"github.com/dunlinquay/dunlinquay/result"
)

// metrics reports through tally. Its label values are bounded: customers and
// classes come from the settings, codes from the table of result codes, groups
// from what operators declare.
type metrics struct {
	meter *meter.Meter
	scope tally.Scope

	mu     sync.Mutex
	totals groupTotals
	series map[seriesKey]*series
}

type seriesKey struct {
	customer ident.Customer
	class    ident.Class
}

// series are the histograms of one customer and class.
type series struct {
	wait, first, between, total tally.Histogram
}

func newMetrics() *metrics {
	m := meter.New()
	return &metrics{meter: m, scope: m.Scope, series: map[seriesKey]*series{}}
}

// close ends the reporting goroutine.
func (m *metrics) close() {
	_ = m.meter.Close()
}

func (m *metrics) of(customer ident.Customer, class ident.Class) *series {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := seriesKey{customer, class}
	s := m.series[key]
	if s == nil {
		scope := m.scope.Tagged(map[string]string{"customer": string(customer), "class": string(class)})
		buckets := meter.Durations()
		s = &series{
			wait:    scope.Histogram("admission_wait", buckets),
			first:   scope.Histogram("first_token", buckets),
			between: scope.Histogram("between_tokens", buckets),
			total:   scope.Histogram("request", buckets),
		}
		m.series[key] = s
	}
	return s
}

func (m *metrics) observe(t *dispatch.Timing) {
	s := m.of(t.Customer, t.Class)
	s.wait.RecordDuration(t.Wait)
	if t.Err != nil {
		m.ended(t.Customer, result.CodeOf(t.Err))
		return
	}
	s.first.RecordDuration(t.First)
	s.total.RecordDuration(t.Total)
	if t.Tokens > 1 {
		s.between.RecordDuration((t.Total - t.First) / time.Duration(t.Tokens-1))
	}
	m.ended(t.Customer, result.OK)
}

func (m *metrics) refused(customer ident.Customer, code result.Code) {
	if customer == "" {
		customer = "unknown"
	}
	m.ended(customer, code)
}

func (m *metrics) ended(customer ident.Customer, code result.Code) {
	m.scope.Tagged(map[string]string{
		"customer": string(customer), "code": strconv.Itoa(int(code)), "result": result.Lookup(code).Name,
	}).Counter("requests").Inc(1)
}

func (m *metrics) dropped(group ident.Group, code result.Code) {
	m.scope.Tagged(map[string]string{"group": string(group), "result": result.Lookup(code).Name}).Counter("answers_dropped").Inc(1)
}

// groups takes the newest totals of downtime and stranded accelerators.
func (m *metrics) groups(t groupTotals) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.totals = t
	m.scope.Gauge("groups_whole").Update(float64(t.whole))
	m.scope.Gauge("stranded_accelerators").Update(float64(t.stranded))
	m.scope.Gauge("stranded_accelerator_seconds").Update(t.strandedTime.Seconds())
	m.scope.Gauge("groups_downtime_seconds").Update(t.downTime.Seconds())
	for name, down := range t.byGroup {
		m.scope.Tagged(map[string]string{"group": string(name)}).Gauge("group_downtime_seconds").Update(down.Seconds())
	}
}

func (m *metrics) counted() groupTotals {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.totals
}
