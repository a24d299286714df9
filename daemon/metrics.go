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

// metrics reports through tally. The number of label values is bounded: customers
// and classes are those of the settings, codes those of the table of result codes,
// groups those that operators have declared.
type metrics struct {
	meter *meter.Meter
	scope tally.Scope

	mu           sync.Mutex
	latestTotals groupTotals
	histograms   map[histogramsKey]*requestHistograms
}

type histogramsKey struct {
	customer ident.Customer
	class    ident.Class
}

// requestHistograms are the histograms of one customer and class.
type requestHistograms struct {
	admissionWait, firstToken, betweenTokens, request tally.Histogram
}

func newMetrics() *metrics {
	m := meter.New()
	return &metrics{meter: m, scope: m.Scope, histograms: map[histogramsKey]*requestHistograms{}}
}

// close ends the reporting goroutine.
func (m *metrics) close() {
	_ = m.meter.Close()
}

func (m *metrics) histogramsFor(customer ident.Customer, class ident.Class) *requestHistograms {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := histogramsKey{customer, class}
	s := m.histograms[key]
	if s == nil {
		scope := m.scope.Tagged(map[string]string{"customer": string(customer), "class": string(class)})
		buckets := meter.DurationBuckets()
		s = &requestHistograms{
			admissionWait: scope.Histogram("admission_wait", buckets),
			firstToken:    scope.Histogram("first_token", buckets),
			betweenTokens: scope.Histogram("between_tokens", buckets),
			request:       scope.Histogram("request", buckets),
		}
		m.histograms[key] = s
	}
	return s
}

func (m *metrics) observeRequest(t *dispatch.Timing) {
	histograms := m.histogramsFor(t.Customer, t.Class)
	histograms.admissionWait.RecordDuration(t.AdmissionWait)
	if t.Err != nil {
		m.countRequest(t.Customer, result.CodeOf(t.Err))
		return
	}
	histograms.firstToken.RecordDuration(t.FirstToken)
	histograms.request.RecordDuration(t.Total)
	if t.Tokens > 1 {
		histograms.betweenTokens.RecordDuration((t.Total - t.FirstToken) / time.Duration(t.Tokens-1))
	}
	m.countRequest(t.Customer, result.OK)
}

func (m *metrics) countRefused(customer ident.Customer, code result.Code) {
	if customer == "" {
		customer = "unknown"
	}
	m.countRequest(customer, code)
}

func (m *metrics) countRequest(customer ident.Customer, code result.Code) {
	m.scope.Tagged(map[string]string{
		"customer": string(customer), "code": strconv.Itoa(int(code)), "result": result.Lookup(code).Name,
	}).Counter("requests").Inc(1)
}

func (m *metrics) countDroppedAnswer(group ident.Group, code result.Code) {
	m.scope.Tagged(map[string]string{"group": string(group), "result": result.Lookup(code).Name}).Counter("answers_dropped").Inc(1)
}

// setGroupTotals publishes the newest totals as gauges and keeps them for the status.
func (m *metrics) setGroupTotals(totals groupTotals) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.latestTotals = totals
	m.scope.Gauge("groups_whole").Update(float64(totals.wholeGroups))
	m.scope.Gauge("stranded_accelerators").Update(float64(totals.strandedAccelerators))
	m.scope.Gauge("stranded_accelerator_seconds").Update(totals.strandedAcceleratorTime.Seconds())
	m.scope.Gauge("groups_downtime_seconds").Update(totals.downtime.Seconds())
	for name, downtime := range totals.downtimeByGroup {
		m.scope.Tagged(map[string]string{"group": string(name)}).Gauge("group_downtime_seconds").Update(downtime.Seconds())
	}
}

func (m *metrics) currentGroupTotals() groupTotals {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.latestTotals
}
