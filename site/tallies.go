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

// tallyInterval is how often the leader counts groups and free upstreams.
const tallyInterval = 500 * time.Millisecond

// rolloutBuckets are the classes of times from the acceptance of a configuration until it is in force at all entries.
var rolloutBuckets = tally.DurationBuckets{
	50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond,
	1500 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second,
}

// tallies are the numbers of a control daemon. Groups and upstreams are counted by the leader only, since it began to lead.
type tallies struct {
	scope tally.Scope

	counted  time.Time
	stranded time.Duration
	down     map[ident.Model]time.Duration
	most     map[ident.Model]int
}

func newTallies(scope tally.Scope) *tallies {
	return &tallies{scope: scope, down: map[ident.Model]time.Duration{}, most: map[ident.Model]int{}}
}

func (t *tallies) call(kind CallKind, err error) {
	t.scope.Tagged(map[string]string{"kind": string(kind), "result": result.Lookup(result.CodeOf(err)).Name}).Counter("calls").Inc(1)
}

// rollout counts how long a configuration took to all entries, or that it is late at some.
func (t *tallies) rollout(r *rolloutReport[httproute.Version]) {
	if len(r.Missing) > 0 {
		t.scope.Counter("configurations_late").Inc(1)
		return
	}
	t.scope.Histogram("configuration_in_force_seconds", rolloutBuckets).RecordDuration(r.After)
}

func (t *tallies) order(action replicaset.Action, outcome replicaset.Outcome) {
	t.scope.Tagged(map[string]string{"action": string(action), "outcome": string(outcome)}).Counter("orders").Inc(1)
}

// count takes one look at the roster: a group is down while fewer serve than the most that ever did, an upstream with a
// domain is stranded while it is in no group.
func (t *tallies) count(now time.Time, groups []roster.Group, upstreams []roster.Upstream) {
	since := now.Sub(t.counted)
	if since < tallyInterval {
		return
	}
	first := t.counted.IsZero()
	t.counted = now
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
	free := 0
	for i := range upstreams {
		if u := &upstreams[i]; u.Domain != "" && !u.Draining && !u.Silent && !grouped[u.ID] {
			free++
		}
	}
	for model, n := range open {
		t.most[model] = max(t.most[model], n)
	}
	if !first {
		t.stranded += time.Duration(free) * since
		for model, most := range t.most {
			t.down[model] += time.Duration(most-open[model]) * since
		}
	}
	t.publish(open, free)
}

func (t *tallies) publish(open map[ident.Model]int, free int) {
	t.scope.Gauge("stranded_upstreams").Update(float64(free))
	t.scope.Gauge("stranded_upstream_seconds").Update(t.stranded.Seconds())
	for model := range t.most {
		scope := t.scope.Tagged(map[string]string{"model": string(model)})
		scope.Gauge("groups_open").Update(float64(open[model]))
		scope.Gauge("group_downtime_seconds").Update(t.down[model].Seconds())
	}
}
