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
	// pauseHalf is the time after which a pause between events counts half.
	pauseHalf = 700 * time.Millisecond
	// pausesNeeded is the number of events from which on their pauses say something of a group.
	pausesNeeded = 6.0
	// paceAgain is when an upstream that is slow is asked again, paceCalm when one that is not is, paceStill when one is whose
	// group stands still for longer than standsFor: what it said may be as old as its last report.
	paceAgain = time.Second
	paceCalm  = 3 * time.Second
	paceStill = 400 * time.Millisecond
	standsFor = 500 * time.Millisecond
	// paceFor is how long an answer counts.
	paceFor = 2500 * time.Millisecond
	// paceTimeout bounds a question; engines answer at once.
	paceTimeout = 500 * time.Millisecond
)

type paceAnswer struct {
	asked time.Time
	told  time.Time
	pace  float64
}

// pauseSum is a fading sum of events and the time between them.
type pauseSum struct {
	events float64
	pauses float64
	last   time.Time
}

func (s *pauseSum) fade(now time.Time) {
	part := math.Exp2(-float64(now.Sub(s.last)) / float64(pauseHalf))
	s.events *= part
	s.pauses *= part
	s.last = now
}

// paces is what a leader knows of how fast groups and upstreams are.
type paces struct {
	ask func(ctx context.Context, address string, id ident.Incarnation) (float64, error)
	log logr.Logger

	mu      sync.Mutex
	groups  map[ident.Group]*pauseSum
	answers map[ident.Incarnation]paceAnswer
}

func newPaces(ask func(ctx context.Context, address string, id ident.Incarnation) (float64, error), log logr.Logger) *paces {
	return &paces{ask: ask, log: log, groups: map[ident.Group]*pauseSum{}, answers: map[ident.Incarnation]paceAnswer{}}
}

// note takes the pauses that an entry saw.
func (p *paces) note(now time.Time, seen []relay.Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range seen {
		one := &seen[i]
		if one.Events == 0 || one.Group == "" {
			continue
		}
		s := p.groups[one.Group]
		if s == nil {
			s = &pauseSum{last: now}
			p.groups[one.Group] = s
		}
		s.fade(now)
		s.events += float64(one.Events)
		s.pauses += one.Pauses.Seconds()
	}
}

// look adds what is known to the world and asks the members of groups that seem slow.
func (p *paces) look(w *replicaset.Snapshot, groups []roster.Group, table *httproute.Table) {
	if p.ask == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	upstreams := map[ident.Incarnation]*roster.Upstream{}
	for i := range w.Upstreams {
		upstreams[w.Upstreams[i].ID] = &w.Upstreams[i]
	}
	p.forget(groups, upstreams)
	for i := range groups {
		g := &groups[i]
		sight := w.Observations[g.Name]
		sight.EventGap = p.pause(w.Now, g.Name)
		w.Observations[g.Name] = sight
		stands := sight.StallConfirmed || sight.StalledFor >= standsFor
		if g.Phase == roster.PhaseOpen && (stands || sight.StalledFor >= probeAfter || seemsSlow(table, g, sight.EventGap)) {
			again := paceCalm
			if stands {
				again = paceStill
			}
			for _, id := range g.Members {
				p.question(w.Now, upstreams[id], again)
			}
		}
	}
	w.Slowdowns = map[ident.Incarnation]float64{}
	for id, a := range p.answers {
		if a.pace < replicaset.SlowdownLimit || w.Now.Sub(a.told) > paceFor {
			continue
		}
		w.Slowdowns[id] = a.pace
		p.question(w.Now, upstreams[id], paceAgain)
	}
}

// seemsSlow reports whether streams of g pause for longer than at a full group.
func seemsSlow(table *httproute.Table, g *roster.Group, pause time.Duration) bool {
	s := table.Service(g.Service)
	if s == nil || s.Engine == nil || pause == 0 {
		return false
	}
	m, ok := s.Engine.Model(g.Model)
	return ok && pause > s.Engine.FullPause(m, g.Far)
}

func (p *paces) pause(now time.Time, name ident.Group) time.Duration {
	s := p.groups[name]
	if s == nil {
		return 0
	}
	s.fade(now)
	if s.events < pausesNeeded {
		return 0
	}
	return time.Duration(s.pauses / s.events * float64(time.Second))
}

// forget drops groups and upstreams that have ended.
func (p *paces) forget(groups []roster.Group, upstreams map[ident.Incarnation]*roster.Upstream) {
	there := map[ident.Group]bool{}
	for i := range groups {
		there[groups[i].Name] = true
	}
	for name := range p.groups {
		if !there[name] {
			delete(p.groups, name)
		}
	}
	for id := range p.answers {
		if upstreams[id] == nil {
			delete(p.answers, id)
		}
	}
}

// question asks an upstream for its pace unless that was done less than again ago.
func (p *paces) question(now time.Time, u *roster.Upstream, again time.Duration) {
	if u == nil {
		return
	}
	a := p.answers[u.ID]
	if now.Sub(a.asked) < again {
		return
	}
	a.asked = now
	p.answers[u.ID] = a
	id, address := u.ID, u.Address
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), paceTimeout)
		defer cancel()
		pace, err := p.ask(ctx, address, id)
		if err != nil {
			p.log.Info("pace of an upstream not known", "upstream", id, "error", err.Error())
			return
		}
		p.answered(id, pace)
	}()
}

func (p *paces) answered(id ident.Incarnation, pace float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := p.answers[id]
	if (pace >= replicaset.SlowdownLimit) != (a.pace >= replicaset.SlowdownLimit) {
		p.log.Info("pace of an upstream changed", "upstream", id, "from", a.pace, "to", pace)
	}
	a.told, a.pace = clock.Now(), pace
	p.answers[id] = a
}
