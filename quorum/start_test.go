package quorum_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/quorum"
)

// delayedMessage is a message in transit.
type delayedMessage struct {
	at time.Duration
	m  quorum.Message
}

// runDelayed advances time by milliseconds until done, with a delay for each message.
func (c *simCluster) runDelayed(limit, delay time.Duration, beforeStep func(), done func() bool) time.Duration {
	var inTransit []delayedMessage
	started := c.elapsed
	for c.elapsed-started < limit && !done() {
		beforeStep()
		c.advance(time.Millisecond)
		for _, m := range c.network {
			inTransit = append(inTransit, delayedMessage{c.elapsed + delay, m})
		}
		c.network = nil
		for len(inTransit) > 0 && inTransit[0].at <= c.elapsed {
			m := inTransit[0].m
			inTransit = inTransit[1:]
			c.network = append(c.network, m)
			c.deliver(len(c.network)-1, false, false)
			for _, m := range c.network {
				inTransit = append(inTransit, delayedMessage{c.elapsed + delay, m})
			}
			c.network = nil
		}
		c.checkInvariants()
	}
	return c.elapsed - started
}

func (c *simCluster) hasLeader() bool {
	for _, m := range c.members {
		if m.up && m.core.Status().Role == quorum.RoleLeader {
			return true
		}
	}
	return false
}

// When all members restart within a moment, they have a leader soon after the lease that they may have supported has
// expired. No member waits for the election time, and no two campaign at once.
func TestLeaderElectedSoonAfterFullRestart(t *testing.T) {
	const (
		delay       = 8 * time.Millisecond // a message and the sync before it
		startSpread = 40 * time.Millisecond
		within      = 11*400*time.Millisecond/10 + 500*time.Millisecond/2 // the lease with its drift, half an election time
	)
	for _, c := range []struct {
		name string
		back int
	}{{"all five", 5}, {"three of five", 3}, {"all three", 3}} {
		var worst, sum time.Duration
		const seeds = 200
		for seed := range uint64(seeds) {
			random := rand.New(rand.NewPCG(seed, 3))
			n := 5
			if c.name == "all three" {
				n = 3
			}
			cluster, leader := clusterWithLeader(t, n)
			cluster.propose(leader)
			cluster.settle()
			cluster.network = nil
			for i, m := range cluster.members {
				m.up = false
				m.starts += 1000*seed + uint64(7*i)
			}
			starts := map[*simMember]time.Duration{}
			for _, i := range random.Perm(n)[:c.back] {
				starts[cluster.members[i]] = cluster.elapsed + time.Duration(random.Int64N(int64(startSpread)))
			}
			elapsed := cluster.runDelayed(5*time.Second, delay, func() {
				for _, m := range cluster.members {
					if at, ok := starts[m]; ok && cluster.elapsed >= at {
						delete(starts, m)
						cluster.start(m)
						cluster.drain(m, false)
					}
				}
			}, cluster.hasLeader)
			sum += elapsed
			worst = max(worst, elapsed)
		}
		t.Logf("%s: leader after %v on average, %v at most", c.name, sum/seeds, worst)
		if worst > within+startSpread {
			t.Errorf("%s: leader after %v, want at most %v", c.name, worst, within+startSpread)
		}
	}
}
