package site

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/replicaset"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/roster"
)

// countInterval is how often the leader counts groups and stranded upstreams.
const countInterval = 500 * time.Millisecond

// rolloutBuckets are the histogram buckets for the time from the acceptance of a configuration until all entries have
// it in force.
var rolloutBuckets = tally.DurationBuckets{
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
	1500 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second,
}

// controlMetrics are the metrics of a control daemon. Only the leader counts groups and upstreams, from the start of
// its leadership.
type controlMetrics struct {
	scope tally.Scope
	load  loadMetrics

	countedAt time.Time
	stranded  time.Duration
	downtime  map[ident.Model]time.Duration
	maxOpen   map[ident.Model]int
}

func newControlMetrics(scope tally.Scope) *controlMetrics {
	return &controlMetrics{scope: scope, load: loadMetrics{scope: scope, series: map[loadSeriesKey]*loadGauges{}}, downtime: map[ident.Model]time.Duration{}, maxOpen: map[ident.Model]int{}}
}

func (t *controlMetrics) countCall(kind CallKind, err error) {
	t.scope.Tagged(map[string]string{"kind": string(kind), "result": result.Lookup(result.CodeOf(err)).Name}).Counter("calls").Inc(1)
}

// recordRollout records how long a configuration took to be in force at all entries, or that it is late at some.
func (t *controlMetrics) recordRollout(r *rolloutReport[httproute.Version]) {
	if len(r.Missing) > 0 {
		t.scope.Counter("configurations_late").Inc(1)
		return
	}
	t.scope.Histogram("configuration_in_force_seconds", rolloutBuckets).RecordDuration(r.After)
}

func (t *controlMetrics) countOrder(action replicaset.Action, outcome replicaset.Outcome) {
	t.scope.Tagged(map[string]string{"action": string(action), "outcome": string(outcome)}).Counter("orders").Inc(1)
}

// countGroups counts groups and stranded upstreams: a group is down while its model has fewer open groups than it ever
// had, an upstream with a domain is stranded while it is in no group.
func (t *controlMetrics) countGroups(now time.Time, groups []roster.Group, upstreams []roster.Upstream) {
	since := now.Sub(t.countedAt)
	if since < countInterval {
		return
	}
	firstCount := t.countedAt.IsZero()
	t.countedAt = now
	open := map[ident.Model]int{}
	grouped := map[ident.Incarnation]bool{}
	for i := range groups {
		g := &groups[i]
		if g.Phase == roster.PhaseOpen {
			open[g.Model]++
		}
		for _, id := range g.Members {
			grouped[id] = true
		}
	}
	stranded := 0
	for i := range upstreams {
		if u := &upstreams[i]; u.Domain != "" && !u.Draining && !u.Silent && !grouped[u.ID] {
			stranded++
		}
	}
	for model, n := range open {
		t.maxOpen[model] = max(t.maxOpen[model], n)
	}
	if !firstCount {
		t.stranded += time.Duration(stranded) * since
		for model, maxOpen := range t.maxOpen {
			t.downtime[model] += time.Duration(maxOpen-open[model]) * since
		}
	}
	t.publish(open, stranded)
}

func (t *controlMetrics) publish(open map[ident.Model]int, stranded int) {
	t.scope.Gauge("stranded_upstreams").Update(float64(stranded))
	t.scope.Gauge("stranded_upstream_seconds").Update(t.stranded.Seconds())
	for model := range t.maxOpen {
		scope := t.scope.Tagged(map[string]string{"model": string(model)})
		scope.Gauge("groups_open").Update(float64(open[model]))
		scope.Gauge("group_downtime_seconds").Update(t.downtime[model].Seconds())
	}
}
