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

// limitSpan is the span in which an upstream may get at most one and a half times the requests that its limit allows, plus five, during faults.
const limitSpan = 4 * time.Second

// coordinator returns the index of the entry that coordinates the limited upstream on a route.
func (g *cluster) coordinator(path string) int {
	for i, s := range g.entries {
		if s.relay.Limits.Coordinator(limitedUpstream(path)).Self {
			return i
		}
	}
	return 0
}

// limitedUpstream returns the incarnation of the first upstream on a route, which advertises the limit.
func limitedUpstream(path string) ident.Incarnation {
	if path == "/stream/x" {
		return "h0"
	}
	return "p0"
}

// isolate cuts an entry off from all others and the leader, and from its callers if withoutCallers is set.
func (g *cluster) isolate(i int, withoutCallers bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.isolated[i], g.unconfirmed[i], g.withoutCallers[i] = true, true, withoutCallers
}

// reconnect undoes isolate.
func (g *cluster) reconnect(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.isolated, i)
	delete(g.unconfirmed, i)
	delete(g.withoutCallers, i)
}

// publishEntries sends the members of a list that list, each at a random time within the given duration.
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

// setLossRate sets the fraction of the updates that is lost.
func (g *cluster) setLossRate(rate float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lossRate = rate
}

// others returns the indices of all entries but one.
func (g *cluster) others(without int) []int {
	var list []int
	for i := range g.entries {
		if i != without {
			list = append(list, i)
		}
	}
	return list
}

// restart replaces an entry with a new one without any state.
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

// During faults of entries, the leader or the network, an upstream gets at most one and a half times the requests that its limit allows, plus
// five, in any limitSpan. While the coordinator is alive and reachable, the upstream gets no more than its limit.
func TestLimitsUnderFaults(t *testing.T) {
	const faultAt = 5 * time.Second
	for _, c := range []struct {
		name   string
		inject func(g *cluster, u *signalingUpstream, coordinator int)
		// maxOver is by how many requests the limit may be exceeded in any span, 0 where only the bound for limitSpan holds. minUsed is the
		// minimum fraction of the limit that must be used.
		maxOver, minUsed float64
	}{
		{"the coordinator crashes", func(g *cluster, _ *signalingUpstream, n int) {
			g.isolate(n, true)
			time.AfterFunc(3*time.Second, func() { g.publishEntries(g.others(n), 500*time.Millisecond) })
		}, 0, 0.6},
		{"the coordinator is isolated and still serves callers", func(g *cluster, _ *signalingUpstream, n int) {
			g.isolate(n, false)
			time.AfterFunc(3*time.Second, func() { g.publishEntries(g.others(n), 500*time.Millisecond) })
			time.AfterFunc(6*time.Second, func() { g.reconnect(n) })
		}, 0, 0.6},
		{"the coordinator restarts", func(g *cluster, _ *signalingUpstream, n int) {
			upstreams := g.entries[n].upstreams
			g.isolate(n, true)
			time.AfterFunc(400*time.Millisecond, func() {
				g.reconnect(n)
				g.restart(n, upstreams)
			})
		}, 1, 0.7},
		{"the coordinator is suspended for 2 s", func(g *cluster, _ *signalingUpstream, n int) {
			g.isolate(n, true)
			time.AfterFunc(2*time.Second, func() { g.reconnect(n) })
		}, 0, 0.7},
		{"an entry joins and becomes coordinator", func(g *cluster, _ *signalingUpstream, n int) {
			upstreams := g.entries[n].upstreams
			g.isolate(n, true)
			g.publishEntries(g.others(n), 0)
			time.AfterFunc(2*time.Second, func() {
				g.reconnect(n)
				g.restart(n, upstreams)
				g.publishEntries(g.others(-1), 500*time.Millisecond)
			})
		}, 1, 0.7},
		{"a new leader knows only half of the entries for a while", func(g *cluster, _ *signalingUpstream, _ int) {
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
		{"a tenth of all updates is lost", func(g *cluster, _ *signalingUpstream, _ int) { g.setLossRate(0.1) }, 1, 0.8},
		{"all updates are lost", func(g *cluster, _ *signalingUpstream, _ int) { g.setLossRate(1) }, 0, 0.4},
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
				t.Logf("%.1f requests beyond the limit, %d in %v, %.2f of the limit used", excess, maxInSpan(arrivals, limitSpan), limitSpan, used)
				if got, allowed := maxInSpan(arrivals, limitSpan), float64(limit)*limitSpan.Seconds()*1.5+5; float64(got) > allowed {
					t.Errorf("%d requests in %v, want at most %.0f", got, limitSpan, allowed)
				}
				if c.maxOver > 0 && excess > c.maxOver {
					t.Errorf("%.1f requests beyond the limit in some span, want at most %.0f", excess, c.maxOver)
				}
				if used < c.minUsed {
					t.Errorf("%.2f of the limit used, want at least %.2f", used, c.minUsed)
				}
			})
		})
	}
}

// The newest limit applies at all entries, whichever entry received it: a lower limit at once, a higher one or its removal within about a
// second.
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
					// A change becomes known with the upstream's next answer, which takes some time at a low limit.
					const settleTime = 1500 * time.Millisecond
					for n, rate := range steps {
						from, to := began.Add(signalAt+time.Duration(n)*stepDuration+settleTime), began.Add(signalAt+time.Duration(n+1)*stepDuration)
						got := u.arrivals(from, to)
						if excess := maxExcess(got, rate); rate > 0 && excess > 1 {
							t.Errorf("%.1f requests beyond a limit of %v, want at most 1", excess, rate)
						}
						if minRequests := 0.8*float64(rate)*(stepDuration-settleTime).Seconds() - 1; float64(len(got)) < minRequests || rate == 0 && len(got) < 50 {
							t.Errorf("%d requests at a limit of %v, want more", len(got), rate)
						}
					}
				})
			})
		}
	}
}

// A limit applies only to the incarnation that advertised it.
func TestNewIncarnationHasNoLimit(t *testing.T) {
	s := newSignalEntry(1)
	s.relay.ApplyLimit("p0", 0.1, 0)
	if g := s.relay.Limits.Availability(time.Now(), "p0@2"); g.Limited {
		t.Errorf("new incarnation: %+v, want no limit", g)
	}
	if g := s.relay.Limits.Availability(time.Now(), "p0"); !g.Limited {
		t.Errorf("limited incarnation: %+v, want a limit", g)
	}
}
