package relay_test

import (
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/sharing"
)

// limitSpan is the span in which an upstream may get half as much again as its limit allows, and five requests more, whatever fails.
const limitSpan = 4 * time.Second

// coordinator returns which entry coordinates the upstream that names a limit.
func (g *cluster) coordinator(path string) int {
	for i, s := range g.entries {
		if s.relay.Limits.Coordinator(limitedUpstream(path)).Self {
			return i
		}
	}
	return 0
}

// limitedUpstream returns the life of the first upstream on a route.
func limitedUpstream(path string) ident.Incarnation {
	if path == "/stream/x" {
		return "h0"
	}
	return "p0"
}

// isolate takes an entry from all others, and from its callers when dead is set.
func (g *cluster) isolate(i int, withoutCallers bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isolated[i], g.unconfirmed[i], g.withoutCallers[i] = true, true, withoutCallers
}

// reconnect undoes away.
func (g *cluster) reconnect(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.isolated, i)
	delete(g.unconfirmed, i)
	delete(g.withoutCallers, i)
}

// publishEntries gives all entries a list of some of them, one after the other within so long.
func (g *cluster) publishEntries(members []int, within time.Duration) {
	var names []string
	for _, i := range members {
		names = append(names, g.addresses[i])
	}
	for _, i := range members {
		time.AfterFunc(time.Duration(g.randomFraction()*float64(within)), func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.entries[i].relay.SetEntries(sharing.New(g.addresses[i], map[ident.Hall][]string{"": names}))
		})
	}
}

// setLossRate lets a part of the news be lost.
func (g *cluster) setLossRate(rate float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lossRate = rate
}

// others returns all entries but one.
func (g *cluster) others(without int) []int {
	var list []int
	for i := range g.entries {
		if i != without {
			list = append(list, i)
		}
	}
	return list
}

// restart puts an entry that knows nothing in the place of another one.
func (g *cluster) restart(i int, upstreams []*signalingUpstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.entries[i]
	g.replaced = append(g.replaced, old)
	g.entries[i] = newSignalEntryFor(upstreams)
	g.connect(i)
	g.sendLimits(g.entries[i])
	g.entries[i].relay.SetEntries(sharing.New(g.addresses[i], map[ident.Hall][]string{"": g.addresses}))
}

// Whatever happens to entries, to the leader and to what they tell each other, an upstream gets no more than half as much again as its
// limit allows and five requests; where the coordinator is alive and can be reached, no more than its limit.
func TestLimitsUnderFaults(t *testing.T) {
	const faultAt = 5 * time.Second
	for _, c := range []struct {
		name   string
		inject func(g *cluster, u *signalingUpstream, coordinator int)
		// maxOver is by how many requests the limit may be exceeded in any span, 0 where only the bound for limitSpan holds; used is the least
		// part of it that is used.
		maxOver, minUsed float64
	}{
		{"the coordinator ends", func(g *cluster, _ *signalingUpstream, n int) {
			g.isolate(n, true)
			time.AfterFunc(3*time.Second, func() { g.publishEntries(g.others(n), 500*time.Millisecond) })
		}, 0, 0.6},
		{"the coordinator is cut off and serves on", func(g *cluster, _ *signalingUpstream, n int) {
			g.isolate(n, false)
			time.AfterFunc(3*time.Second, func() { g.publishEntries(g.others(n), 500*time.Millisecond) })
			time.AfterFunc(6*time.Second, func() { g.reconnect(n) })
		}, 0, 0.6},
		{"the coordinator starts again", func(g *cluster, _ *signalingUpstream, n int) {
			upstreams := g.entries[n].upstreams
			g.isolate(n, true)
			time.AfterFunc(400*time.Millisecond, func() {
				g.reconnect(n)
				g.restart(n, upstreams)
			})
		}, 1, 0.7},
		{"the coordinator stands still for 2 s", func(g *cluster, _ *signalingUpstream, n int) {
			g.isolate(n, true)
			time.AfterFunc(2*time.Second, func() { g.reconnect(n) })
		}, 0, 0.7},
		{"an entry joins that coordinates from then on", func(g *cluster, _ *signalingUpstream, n int) {
			upstreams := g.entries[n].upstreams
			g.isolate(n, true)
			g.publishEntries(g.others(n), 0)
			time.AfterFunc(2*time.Second, func() {
				g.reconnect(n)
				g.restart(n, upstreams)
				g.publishEntries(g.others(-1), 500*time.Millisecond)
			})
		}, 1, 0.7},
		{"a new leader knows half of the entries for a while", func(g *cluster, _ *signalingUpstream, _ int) {
			g.publishEntries(g.others(-1)[:len(g.entries)/2], 500*time.Millisecond)
			time.AfterFunc(time.Second, func() { g.publishEntries(g.others(-1), 500*time.Millisecond) })
		}, 0, 0.5},
		{"there is no leader", func(g *cluster, _ *signalingUpstream, _ int) {
			g.mu.Lock()
			defer g.mu.Unlock()
			for i := range g.entries {
				g.unconfirmed[i] = true
			}
		}, 0, 0.6},
		{"a tenth of all news is lost", func(g *cluster, _ *signalingUpstream, _ int) { g.setLossRate(0.1) }, 1, 0.8},
		{"all news is lost", func(g *cluster, _ *signalingUpstream, _ int) { g.setLossRate(1) }, 0, 0.4},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const limit, duration = ratelimit.Rate(3), 16 * time.Second
				g := newCluster(8, limitHeads)
				u := g.entries[0].upstreams[0]
				began := time.Now()
				time.AfterFunc(signalAt, func() { u.setLimit(limit) })
				time.AfterFunc(faultAt, func() { c.inject(g, u, g.coordinator("/safe/x")) })
				g.load("/safe/x", limitPerSecond, duration)
				arrivals := u.arrivals(u.limitNamedAt.Add(limitKnown), began.Add(duration))
				excess, used := maxExcess(arrivals, limit), float64(len(arrivals))/(float64(limit)*(duration-signalAt).Seconds())
				t.Logf("%.1f beyond the limit, %d in %v, %.2f of it used", excess, maxInSpan(arrivals, limitSpan), limitSpan, used)
				if got, allowed := maxInSpan(arrivals, limitSpan), float64(limit)*limitSpan.Seconds()*1.5+5; float64(got) > allowed {
					t.Errorf("%d requests in %v, want %.0f at most", got, limitSpan, allowed)
				}
				if c.maxOver > 0 && excess > c.maxOver {
					t.Errorf("%.1f requests beyond the limit in some span, want %.0f at most", excess, c.maxOver)
				}
				if used < c.minUsed {
					t.Errorf("%.2f of the limit was used, want %.2f", used, c.minUsed)
				}
			})
		})
	}
}

// The newest limit counts, at all entries, whichever heard of it: a lower one at once, a higher one and none within a second or so.
func TestChangingLimit(t *testing.T) {
	for _, path := range []string{"/safe/x", "/stream/x"} {
		for _, entries := range []int{1, 8, 40} {
			t.Run(strconv.Itoa(entries)+" entries, "+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := newCluster(entries, limitHeads)
					u := g.entries[0].upstreams[0]
					began := time.Now()
					steps := []ratelimit.Rate{5, 1, 12, 0}
					const stepDuration = 5 * time.Second
					for n, rate := range steps {
						time.AfterFunc(signalAt+time.Duration(n)*stepDuration, func() { u.setLimit(rate) })
					}
					g.load(path, limitPerSecond, signalAt+time.Duration(len(steps))*stepDuration)
					// A change is known with the next answer; at a low limit that takes a while.
					const settleTime = 1500 * time.Millisecond
					for n, rate := range steps {
						from, to := began.Add(signalAt+time.Duration(n)*stepDuration+settleTime), began.Add(signalAt+time.Duration(n+1)*stepDuration)
						got := u.arrivals(from, to)
						if excess := maxExcess(got, rate); rate > 0 && excess > 1 {
							t.Errorf("%.1f beyond a limit of %v", excess, rate)
						}
						if minRequests := 0.8*float64(rate)*(stepDuration-settleTime).Seconds() - 1; float64(len(got)) < minRequests || rate == 0 && len(got) < 50 {
							t.Errorf("%d requests at a limit of %v", len(got), rate)
						}
					}
				})
			})
		}
	}
}

// What an upstream named ends with its life.
func TestNewIncarnationHasNoLimit(t *testing.T) {
	s := newSignalEntry(1)
	s.relay.ApplyLimit("p0", 0.1, 0)
	if g := s.relay.Limits.Availability(time.Now(), "p0@2"); g.Limited {
		t.Errorf("%+v", g)
	}
	if g := s.relay.Limits.Availability(time.Now(), "p0"); !g.Limited {
		t.Errorf("%+v", g)
	}
}
