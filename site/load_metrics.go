package site

import (
	"math"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dunlinquay/dunlinquay/siteload"
)

// loadSeriesKey identifies the requests of one urgency for a model.
type loadSeriesKey struct {
	siteload.Key
	urgency siteload.Urgency
}

// otherUrgency is the urgency in the keys of series for all others.
const otherUrgency siteload.Urgency = math.MinInt

// otherLoadSeries is the key of the series for all others.
var otherLoadSeries = loadSeriesKey{siteload.Key{Service: otherSeries, Model: otherSeries}, otherUrgency}

// urgencyLabel returns the label of an urgency.
func urgencyLabel(u siteload.Urgency) string {
	if u == otherUrgency {
		return otherSeries
	}
	return strconv.Itoa(int(u))
}

// labels returns the labels of a series.
func (k loadSeriesKey) labels() map[string]string {
	return map[string]string{"service": string(k.Service), "model": string(k.Model), "urgency": urgencyLabel(k.urgency)}
}

// loadGauges are the metrics of one series.
type loadGauges struct {
	waiting, arrived, sent, refused tally.Gauge
}

func (g *loadGauges) update(l *siteload.LevelSummary) {
	g.waiting.Update(float64(l.Waiting))
	g.arrived.Update(l.ArrivalRate)
	g.sent.Update(l.SendRate)
	g.refused.Update(l.RefusalRate)
}

// loadMetrics are the requests at all entries by service, model and urgency, as the leader sums them.
type loadMetrics struct {
	scope       tally.Scope
	series      map[loadSeriesKey]*loadGauges
	publishedAt time.Time
}

// publishLoad publishes the sums of what all entries counted.
func (r *leadership) publishLoad(now time.Time) {
	m := &r.control.metrics.load
	if now.Sub(m.publishedAt) >= countInterval {
		m.publishedAt = now
		m.publish(r.siteLoad(now, ""))
	}
}

// publish sets the metrics to the sums; those of requests that the sums no longer have are 0. A daemon that does not lead publishes no
// sums, since its metrics would be added to those of the leader.
func (m *loadMetrics) publish(summary *siteload.Summary) {
	sums := map[loadSeriesKey]siteload.LevelSummary{}
	for key := range m.series {
		sums[key] = siteload.LevelSummary{}
	}
	for i := range summary.Queues {
		q := &summary.Queues[i]
		for _, l := range q.Levels {
			key := m.seriesKey(loadSeriesKey{q.Key, l.Urgency}, len(sums))
			sum := sums[key]
			sum.Waiting += l.Waiting
			sum.ArrivalRate += l.ArrivalRate
			sum.SendRate += l.SendRate
			sum.RefusalRate += l.RefusalRate
			sums[key] = sum
		}
	}
	for key, sum := range sums {
		m.gauges(key).update(&sum)
	}
}

// seriesKey returns the key under which requests are counted while there are that many series.
func (m *loadMetrics) seriesKey(key loadSeriesKey, known int) loadSeriesKey {
	if m.series[key] == nil && known >= maxSeries {
		return otherLoadSeries
	}
	return key
}

// gauges returns the metrics of a series.
func (m *loadMetrics) gauges(key loadSeriesKey) *loadGauges {
	g := m.series[key]
	if g == nil {
		scope := m.scope.Tagged(key.labels())
		g = &loadGauges{
			scope.Gauge("load_waiting_requests"), scope.Gauge("load_arrivals_per_second"), scope.Gauge("load_sends_per_second"), scope.Gauge("load_refusals_per_second"),
		}
		m.series[key] = g
	}
	return g
}
