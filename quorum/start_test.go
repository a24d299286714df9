package quorum_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/quorum"
)

// late is a message on its way.
type late struct {
	at time.Duration
	m  quorum.Message
}

// runDelayed lets time pass in milliseconds, with every message on its way for delay, until done.
func (g *group) runDelayed(limit, delay time.Duration, each func(), done func() bool) time.Duration {
	var way []late
	began := g.elapsed
	for g.elapsed-began < limit && !done() {
		each()
		g.pass(time.Millisecond)
		for _, m := range g.wire {
			way = append(way, late{g.elapsed + delay, m})
		}
		g.wire = nil
		for len(way) > 0 && way[0].at <= g.elapsed {
			m := way[0].m
			way = way[1:]
			g.wire = append(g.wire, m)
			g.deliver(len(g.wire)-1, false, false)
			for _, m := range g.wire {
				way = append(way, late{g.elapsed + delay, m})
			}
			g.wire = nil
		}
		g.check()
	}
	return g.elapsed - began
}

func (g *group) leads() bool {
	for _, m := range g.members {
		if m.up && m.core.Status().Role == quorum.RoleLeader {
			return true
		}
	}
	return false
}

// Members that all start anew within a moment have a leader soon after the lease that they may have supported is over: nobody
// has to wait for an election time, and no two of them ask for votes at once.
func TestAllStartAnew(t *testing.T) {
	const (
		delay  = 8 * time.Millisecond // a message and the sync before it
		apart  = 40 * time.Millisecond
		within = 11*400*time.Millisecond/10 + 500*time.Millisecond/2 // the lease with its drift, half an election time
	)
	for _, c := range []struct {
		name string
		back int
	}{{"all of five", 5}, {"three of five", 3}, {"all of three", 3}} {
		var worst, sum time.Duration
		const seeds = 200
		for seed := range uint64(seeds) {
			random := rand.New(rand.NewPCG(seed, 3))
			n := 5
			if c.name == "all of three" {
				n = 3
			}
			g, leader := lead(t, n)
			g.propose(leader)
			g.settle()
			g.wire = nil
			for i, m := range g.members {
				m.up = false
				m.boots += 1000*seed + uint64(7*i)
			}
			starts := map[*machine]time.Duration{}
			for _, i := range random.Perm(n)[:c.back] {
				starts[g.members[i]] = g.elapsed + time.Duration(random.Int64N(int64(apart)))
			}
			took := g.runDelayed(5*time.Second, delay, func() {
				for _, m := range g.members {
					if at, ok := starts[m]; ok && g.elapsed >= at {
						delete(starts, m)
						g.start(m)
						g.drain(m, false)
					}
				}
			}, g.leads)
			sum += took
			worst = max(worst, took)
		}
		t.Logf("%s: a leader after %v on average, %v at most", c.name, sum/seeds, worst)
		if worst > within+apart {
			t.Errorf("%s: a leader after %v, want %v at most", c.name, worst, within+apart)
		}
	}
}
