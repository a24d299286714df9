package site

// A group runs at the pace of its slowest member, and only the member can say
// that it is the slow one. So the members of a group whose streams pause for
// longer than those of a full group, or that stands still, are asked for their
// pace, and those that are slow again and again until they are not.

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
	// gapHalfLife is the time after which a pause between events counts half.
	gapHalfLife = 700 * time.Millisecond
	// minGapEvents is the number of events from which on their pauses say something of a group.
	minGapEvents = 6.0
	// slowQueryInterval is when an upstream that is slow is asked again, normalQueryInterval when one that is not is, stalledQueryInterval when one is whose
	// group stands still for longer than stalledAfter: what it said may be as old as its last report.
	slowQueryInterval    = time.Second
	normalQueryInterval  = 3 * time.Second
	stalledQueryInterval = 400 * time.Millisecond
	stalledAfter         = 500 * time.Millisecond
	// slowdownTTL is how long an answer counts.
	slowdownTTL = 2500 * time.Millisecond
	// slowdownQueryTimeout bounds a question; engines answer at once.
	slowdownQueryTimeout = 500 * time.Millisecond
)

type slowdownAnswer struct {
	askedAt    time.Time
	answeredAt time.Time
	slowdown   float64
}

// gapSum is a fading sum of events and the time between them.
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

// slowdownTracker is what a leader knows of how fast groups and upstreams are.
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

// addGaps takes the pauses that an entry saw.
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

// evaluate adds what is known to the world and asks the members of groups that seem slow.
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

// seemsSlow reports whether streams of g pause for longer than at a full group.
func seemsSlow(table *httproute.Table, g *roster.Group, gap time.Duration) bool {
	s := table.Service(g.Service)
	if s == nil || s.Engine == nil || gap == 0 {
		return false
	}
	m, ok := s.Engine.Model(g.Model)
	return ok && gap > s.Engine.FullPause(m, g.Far)
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

// prune drops groups and upstreams that have ended.
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

// queryUpstream asks an upstream for its pace unless that was done less than again ago.
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
			p.log.Info("pace of an upstream not known", "upstream", id, "error", err.Error())
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
		p.log.Info("pace of an upstream changed", "upstream", id, "from", answer.slowdown, "to", slowdown)
	}
	answer.answeredAt, answer.slowdown = clock.Now(), slowdown
	p.answers[id] = answer
}
