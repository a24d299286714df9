package site

// A group runs at the speed of its slowest member, and only the member itself can tell that it is slow. The leader
// therefore queries the members of each group that has stalled or whose event gaps exceed those of a full group, and
// queries slow members repeatedly until they are no longer slow.

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/replicaset"
	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	// gapHalfLife is the half-life of observed event gaps.
	gapHalfLife = 700 * time.Millisecond
	// minGapEvents is the number of events needed for a group's mean gap.
	minGapEvents = 6.0
	// slowQueryInterval, normalQueryInterval and stalledQueryInterval are the intervals between queries to an upstream
	// that is slow, that is not, and whose group has stalled for stalledAfter: an answer may be as old as the
	// upstream's last report.
	slowQueryInterval    = time.Second
	normalQueryInterval  = 3 * time.Second
	stalledQueryInterval = 400 * time.Millisecond
	stalledAfter         = 500 * time.Millisecond
	// slowdownTTL is how long an answer is valid.
	slowdownTTL = 2500 * time.Millisecond
	// slowdownQueryTimeout bounds a query; engines answer at once.
	slowdownQueryTimeout = 500 * time.Millisecond
)

type slowdownAnswer struct {
	askedAt    time.Time
	answeredAt time.Time
	slowdown   float64
}

// gapSum is an exponentially decaying sum of events and of the time between them.
type gapSum struct {
	events     float64
	gapSeconds float64
	decayedAt  time.Time
}

func (s *gapSum) decay(now time.Time) {
	factor := math.Exp2(-float64(now.Sub(s.decayedAt)) / float64(gapHalfLife))
	s.events *= factor
	s.gapSeconds *= factor
	s.decayedAt = now
}

// slowdownTracker holds what a leader knows of the speed of groups and upstreams.
type slowdownTracker struct {
	query func(ctx context.Context, address string, id ident.Incarnation) (float64, error)
	log   logr.Logger

	mu      sync.Mutex
	gaps    map[ident.Group]*gapSum
	answers map[ident.Incarnation]slowdownAnswer
}

func newSlowdownTracker(query func(ctx context.Context, address string, id ident.Incarnation) (float64, error), log logr.Logger) *slowdownTracker {
	return &slowdownTracker{query: query, log: log, gaps: map[ident.Group]*gapSum{}, answers: map[ident.Incarnation]slowdownAnswer{}}
}

// addGaps adds the event gaps that an entry observed.
func (p *slowdownTracker) addGaps(now time.Time, seen []relay.Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range seen {
		observed := &seen[i]
		if observed.Events == 0 || observed.Group == "" {
			continue
		}
		sum := p.gaps[observed.Group]
		if sum == nil {
			sum = &gapSum{decayedAt: now}
			p.gaps[observed.Group] = sum
		}
		sum.decay(now)
		sum.events += float64(observed.Events)
		sum.gapSeconds += observed.Pauses.Seconds()
	}
}

// evaluate adds the known gaps and slowdowns to snapshot and queries the members of groups that seem slow.
func (p *slowdownTracker) evaluate(snapshot *replicaset.Snapshot, groups []roster.Group, table *httproute.Table) {
	if p.query == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	upstreams := map[ident.Incarnation]*roster.Upstream{}
	for i := range snapshot.Upstreams {
		upstreams[snapshot.Upstreams[i].ID] = &snapshot.Upstreams[i]
	}
	p.prune(groups, upstreams)
	for i := range groups {
		g := &groups[i]
		observation := snapshot.Observations[g.Name]
		observation.EventGap = p.meanGap(snapshot.Now, g.Name)
		snapshot.Observations[g.Name] = observation
		stalled := observation.StallConfirmed || observation.StalledFor >= stalledAfter
		if g.Phase == roster.PhaseOpen && (stalled || observation.StalledFor >= probeAfter || seemsSlow(table, g, observation.EventGap)) {
			interval := normalQueryInterval
			if stalled {
				interval = stalledQueryInterval
			}
			for _, id := range g.Members {
				p.queryUpstream(snapshot.Now, upstreams[id], interval)
			}
		}
	}
	snapshot.Slowdowns = map[ident.Incarnation]float64{}
	for id, answer := range p.answers {
		if answer.slowdown < replicaset.SlowdownLimit || snapshot.Now.Sub(answer.answeredAt) > slowdownTTL {
			continue
		}
		snapshot.Slowdowns[id] = answer.slowdown
		p.queryUpstream(snapshot.Now, upstreams[id], slowQueryInterval)
	}
}

// seemsSlow reports whether the event gap of g is longer than at a full group.
func seemsSlow(table *httproute.Table, g *roster.Group, gap time.Duration) bool {
	s := table.Service(g.Service)
	if s == nil || s.Engine == nil || gap == 0 {
		return false
	}
	m, ok := s.Engine.Model(g.Model)
	return ok && gap > s.Engine.FullLoadEventGap(m, g.Far)
}

func (p *slowdownTracker) meanGap(now time.Time, name ident.Group) time.Duration {
	sum := p.gaps[name]
	if sum == nil {
		return 0
	}
	sum.decay(now)
	if sum.events < minGapEvents {
		return 0
	}
	return time.Duration(sum.gapSeconds / sum.events * float64(time.Second))
}

// prune removes groups and upstreams that no longer exist.
func (p *slowdownTracker) prune(groups []roster.Group, upstreams map[ident.Incarnation]*roster.Upstream) {
	existing := map[ident.Group]bool{}
	for i := range groups {
		existing[groups[i].Name] = true
	}
	for name := range p.gaps {
		if !existing[name] {
			delete(p.gaps, name)
		}
	}
	for id := range p.answers {
		if upstreams[id] == nil {
			delete(p.answers, id)
		}
	}
}

// queryUpstream asks an upstream for its slowdown unless the last query is less than interval ago.
func (p *slowdownTracker) queryUpstream(now time.Time, u *roster.Upstream, interval time.Duration) {
	if u == nil {
		return
	}
	answer := p.answers[u.ID]
	if now.Sub(answer.askedAt) < interval {
		return
	}
	answer.askedAt = now
	p.answers[u.ID] = answer
	id, address := u.ID, u.Address
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), slowdownQueryTimeout)
		defer cancel()
		slowdown, err := p.query(ctx, address, id)
		if err != nil {
			p.log.Info("slowdown of an upstream unknown", "upstream", id, "error", err.Error())
			return
		}
		p.applyAnswer(id, slowdown)
	}()
}

func (p *slowdownTracker) applyAnswer(id ident.Incarnation, slowdown float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := p.answers[id]
	if (slowdown >= replicaset.SlowdownLimit) != (answer.slowdown >= replicaset.SlowdownLimit) {
		p.log.Info("slowdown of an upstream changed", "upstream", id, "from", answer.slowdown, "to", slowdown)
	}
	answer.answeredAt, answer.slowdown = clock.Now(), slowdown
	p.answers[id] = answer
}
