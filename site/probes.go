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
	// probeAfter is how long a group must have stalled before its members are probed; iterations that read long prompts
	// take as long.
	probeAfter = 220 * time.Millisecond
	// probeInterval is the shortest time between two probes of one upstream.
	probeInterval = 400 * time.Millisecond
	// probeTimeout is how long a connection may take to open. Within a region that takes milliseconds, but the leader
	// of 3,000 upstreams can be delayed by its own load, which must not count as a failed probe.
	probeTimeout = 180 * time.Millisecond
	// failedProbeTTL is how long a failed probe counts without a newer report or probe.
	failedProbeTTL = 5 * time.Second
)

type probeResult struct {
	probedAt time.Time
	failedAt time.Time
}

// prober finds the members of stalled groups that accept no connections. An upstream that has lost power sends nothing,
// and its missing report would be noticed only a second later.
type prober struct {
	dial transport.Dial

	mu      sync.Mutex
	results map[ident.Incarnation]probeResult
}

func newProber(dial transport.Dial) *prober {
	return &prober{dial: dial, results: map[ident.Incarnation]probeResult{}}
}

// probeStalled probes the members of every stalled group.
func (p *prober) probeStalled(snapshot *replicaset.Snapshot, groups []roster.Group) {
	addresses := map[ident.Incarnation]string{}
	for i := range snapshot.Upstreams {
		addresses[snapshot.Upstreams[i].ID] = snapshot.Upstreams[i].Address
	}
	for i := range groups {
		g := &groups[i]
		ending := g.Phase == roster.PhaseLeaving || g.Phase == roster.PhaseClosing
		if observation := snapshot.Observations[g.Name]; !ending && !observation.StallConfirmed && observation.StalledFor < probeAfter {
			continue
		}
		for _, id := range g.Members {
			if address := addresses[id]; address != "" {
				p.probe(snapshot.Now, id, address)
			}
		}
	}
}

func (p *prober) probe(now time.Time, id ident.Incarnation, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	probed := p.results[id]
	if now.Sub(probed.probedAt) < probeInterval {
		return
	}
	probed.probedAt = now
	p.results[id] = probed
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		conn, err := p.dial(ctx, address)
		if err == nil {
			conn.Close()
		}
		p.recordResult(id, err)
	}()
}

func (p *prober) recordResult(id ident.Incarnation, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	probed := p.results[id]
	probed.failedAt = time.Time{}
	if err != nil {
		probed.failedAt = clock.Now()
	}
	p.results[id] = probed
}

// unreachable returns the upstreams whose last probe failed and that have not reported since.
func (p *prober) unreachable(now time.Time, ages map[ident.Incarnation]time.Duration) map[ident.Incarnation]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	unreachable := map[ident.Incarnation]bool{}
	for id, probed := range p.results {
		age, known := ages[id]
		if !known {
			delete(p.results, id)
			continue
		}
		if since := now.Sub(probed.failedAt); !probed.failedAt.IsZero() && since < failedProbeTTL && age > since {
			unreachable[id] = true
		}
	}
	return unreachable
}
