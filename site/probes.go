package site

import (
	"context"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/replicaset"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/transport"
)

const (
	// probeAfter is how long a group stands still until its members are probed; passes with long prompts take as long.
	probeAfter = 220 * time.Millisecond
	// probeAgain is the pause between two probes of one upstream.
	probeAgain = 400 * time.Millisecond
	// probeTimeout is how long a connection may take to open; within a region that takes milliseconds, but the leader of 3,000
	// upstreams has its whole share of a core to do at times, and what it is late for itself must not count as dark.
	probeTimeout = 180 * time.Millisecond
	// deadFor is how long a failed probe counts when nothing newer is known.
	deadFor = 5 * time.Second
)

type probeResult struct {
	asked  time.Time
	failed time.Time
}

// probes finds out which members of groups that stand still take no connections. An upstream that has lost power says
// nothing, and its next report would be missed only a second later.
type probes struct {
	dial transport.Dial

	mu      sync.Mutex
	results map[ident.Incarnation]probeResult
}

func newProbes(dial transport.Dial) *probes {
	return &probes{dial: dial, results: map[ident.Incarnation]probeResult{}}
}

// look probes the members of every group that stands still.
func (p *probes) look(w *replicaset.Snapshot, groups []roster.Group) {
	addresses := map[ident.Incarnation]string{}
	for i := range w.Upstreams {
		addresses[w.Upstreams[i].ID] = w.Upstreams[i].Address
	}
	for i := range groups {
		g := &groups[i]
		ending := g.Phase == roster.PhaseLeaving || g.Phase == roster.PhaseClosing
		if sight := w.Observations[g.Name]; !ending && !sight.StallConfirmed && sight.StalledFor < probeAfter {
			continue
		}
		for _, id := range g.Members {
			if address := addresses[id]; address != "" {
				p.probe(w.Now, id, address)
			}
		}
	}
}

func (p *probes) probe(now time.Time, id ident.Incarnation, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.results[id]
	if now.Sub(r.asked) < probeAgain {
		return
	}
	r.asked = now
	p.results[id] = r
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		conn, err := p.dial(ctx, address)
		if err == nil {
			conn.Close()
		}
		p.note(id, err)
	}()
}

func (p *probes) note(id ident.Incarnation, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.results[id]
	r.failed = time.Time{}
	if err != nil {
		r.failed = clock.Now()
	}
	p.results[id] = r
}

// dead returns the upstreams whose last probe failed and that have not reported since.
func (p *probes) dead(now time.Time, ages map[ident.Incarnation]time.Duration) map[ident.Incarnation]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := map[ident.Incarnation]bool{}
	for id, r := range p.results {
		age, known := ages[id]
		if !known {
			delete(p.results, id)
			continue
		}
		if since := now.Sub(r.failed); !r.failed.IsZero() && since < deadFor && age > since {
			list[id] = true
		}
	}
	return list
}
