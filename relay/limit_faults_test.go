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
func (g *team) coordinator(path string) int {
	for i, s := range g.sites {
		if s.relay.Limits.Seat(limitedAt(path)).Self {
			return i
		}
	}
	return 0
}

// limitedAt returns the life of the first upstream on a route.
func limitedAt(path string) ident.Incarnation {
	if path == "/stream/x" {
		return "h0"
	}
	return "p0"
}

// away takes an entry from all others, and from its callers when dead is set.
func (g *team) away(i int, dead bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deaf[i], g.cut[i], g.dead[i] = true, true, dead
}

// back undoes away.
func (g *team) back(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.deaf, i)
	delete(g.cut, i)
	delete(g.dead, i)
}

// list gives all entries a list of some of them, one after the other within so long.
func (g *team) list(members []int, spread time.Duration) {
	var names []string
	for _, i := range members {
		names = append(names, g.names[i])
	}
	for _, i := range members {
		time.AfterFunc(time.Duration(g.draw()*float64(spread)), func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.sites[i].relay.SetEntries(sharing.New(g.names[i], map[ident.Hall][]string{"": names}))
		})
	}
}

// lose lets a part of the news be lost.
func (g *team) lose(part float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.loses = part
}

// others returns all entries but one.
func (g *team) others(without int) []int {
	var list []int
	for i := range g.sites {
		if i != without {
			list = append(list, i)
		}
	}
	return list
}

// restart puts an entry that knows nothing in the place of another one.
func (g *team) restart(i int, upstreams []*asker) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.sites[i]
	g.gone = append(g.gone, old)
	g.sites[i] = askSiteBefore(upstreams)
	g.join(i)
	g.tell(g.sites[i])
	g.sites[i].relay.SetEntries(sharing.New(g.names[i], map[ident.Hall][]string{"": g.names}))
}

// Whatever happens to entries, to the leader and to what they tell each other, an upstream gets no more than half as much again as its
// limit allows and five requests; where the coordinator is alive and can be reached, no more than its limit.
func TestLimitsUnderFaults(t *testing.T) {
	const faultAt = 5 * time.Second
	for _, c := range []struct {
		name   string
		strike func(g *team, u *asker, coordinator int)
		// most is by how many requests the limit may be exceeded in any span, 0 where only the bound for limitSpan holds; used is the least
		// part of it that is used.
		most, used float64
	}{
		{"the coordinator ends", func(g *team, _ *asker, n int) {
			g.away(n, true)
			time.AfterFunc(3*time.Second, func() { g.list(g.others(n), 500*time.Millisecond) })
		}, 0, 0.6},
		{"the coordinator is cut off and serves on", func(g *team, _ *asker, n int) {
			g.away(n, false)
			time.AfterFunc(3*time.Second, func() { g.list(g.others(n), 500*time.Millisecond) })
			time.AfterFunc(6*time.Second, func() { g.back(n) })
		}, 0, 0.6},
		{"the coordinator starts again", func(g *team, _ *asker, n int) {
			upstreams := g.sites[n].upstreams
			g.away(n, true)
			time.AfterFunc(400*time.Millisecond, func() {
				g.back(n)
				g.restart(n, upstreams)
			})
		}, 1, 0.7},
		{"the coordinator stands still for 2 s", func(g *team, _ *asker, n int) {
			g.away(n, true)
			time.AfterFunc(2*time.Second, func() { g.back(n) })
		}, 0, 0.7},
		{"an entry joins that coordinates from then on", func(g *team, _ *asker, n int) {
			upstreams := g.sites[n].upstreams
			g.away(n, true)
			g.list(g.others(n), 0)
			time.AfterFunc(2*time.Second, func() {
				g.back(n)
				g.restart(n, upstreams)
				g.list(g.others(-1), 500*time.Millisecond)
			})
		}, 1, 0.7},
		{"a new leader knows half of the entries for a while", func(g *team, _ *asker, _ int) {
			g.list(g.others(-1)[:len(g.sites)/2], 500*time.Millisecond)
			time.AfterFunc(time.Second, func() { g.list(g.others(-1), 500*time.Millisecond) })
		}, 0, 0.5},
		{"there is no leader", func(g *team, _ *asker, _ int) {
			g.mu.Lock()
			defer g.mu.Unlock()
			for i := range g.sites {
				g.cut[i] = true
			}
		}, 0, 0.6},
		{"a tenth of all news is lost", func(g *team, _ *asker, _ int) { g.lose(0.1) }, 1, 0.8},
		{"all news is lost", func(g *team, _ *asker, _ int) { g.lose(1) }, 0, 0.4},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const limit, lasts = ratelimit.Rate(3), 16 * time.Second
				g := newTeam(8, limitHeads)
				u := g.sites[0].upstreams[0]
				began := time.Now()
				time.AfterFunc(askAt, func() { u.limits(limit) })
				time.AfterFunc(faultAt, func() { c.strike(g, u, g.coordinator("/safe/x")) })
				g.load("/safe/x", limitPerSecond, lasts)
				known := u.arrivals(u.named.Add(limitKnown), began.Add(lasts))
				over, used := beyond(known, limit), float64(len(known))/(float64(limit)*(lasts-askAt).Seconds())
				t.Logf("%.1f beyond the limit, %d in %v, %.2f of it used", over, mostIn(known, limitSpan), limitSpan, used)
				if got, most := mostIn(known, limitSpan), float64(limit)*limitSpan.Seconds()*1.5+5; float64(got) > most {
					t.Errorf("%d requests in %v, want %.0f at most", got, limitSpan, most)
				}
				if c.most > 0 && over > c.most {
					t.Errorf("%.1f requests beyond the limit in some span, want %.0f at most", over, c.most)
				}
				if used < c.used {
					t.Errorf("%.2f of the limit was used, want %.2f", used, c.used)
				}
			})
		})
	}
}

// The newest limit counts, at all entries, whichever heard of it: a lower one at once, a higher one and none within a second or so.
func TestALimitThatChanges(t *testing.T) {
	for _, path := range []string{"/safe/x", "/stream/x"} {
		for _, entries := range []int{1, 8, 40} {
			t.Run(strconv.Itoa(entries)+" entries, "+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := newTeam(entries, limitHeads)
					u := g.sites[0].upstreams[0]
					began := time.Now()
					steps := []ratelimit.Rate{5, 1, 12, 0}
					const each = 5 * time.Second
					for n, rate := range steps {
						time.AfterFunc(askAt+time.Duration(n)*each, func() { u.limits(rate) })
					}
					g.load(path, limitPerSecond, askAt+time.Duration(len(steps))*each)
					// A change is known with the next answer; at a low limit that takes a while.
					const known = 1500 * time.Millisecond
					for n, rate := range steps {
						from, to := began.Add(askAt+time.Duration(n)*each+known), began.Add(askAt+time.Duration(n+1)*each)
						got := u.arrivals(from, to)
						if over := beyond(got, rate); rate > 0 && over > 1 {
							t.Errorf("%.1f beyond a limit of %v", over, rate)
						}
						if least := 0.8*float64(rate)*(each-known).Seconds() - 1; float64(len(got)) < least || rate == 0 && len(got) < 50 {
							t.Errorf("%d requests at a limit of %v", len(got), rate)
						}
					}
				})
			})
		}
	}
}

// What an upstream named ends with its life.
func TestANewLifeHasNoLimit(t *testing.T) {
	s := newAskSite(1)
	s.relay.HearLimit("p0", 0.1, 0)
	if g := s.relay.Limits.Of(time.Now(), "p0@2"); g.Limited {
		t.Errorf("%+v", g)
	}
	if g := s.relay.Limits.Of(time.Now(), "p0"); !g.Limited {
		t.Errorf("%+v", g)
	}
}
