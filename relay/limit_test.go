package relay_test

// These tests guard against exceeding an upstream's limit. The limit applies to the sum of all entries' requests. An entry that ignores the
// header, or keeps the limit for its own requests only, stays below the limit itself while all entries together exceed it. So all entries
// must learn of the limit, and one coordinator must grant a permit for each request right before an entry sends it.

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/sharing"
)

const (
	// limitHeads is the number of upstreams, of which the first advertises a limit from signalAt on. limitPerSecond is the load on all
	// entries in requests per second.
	limitHeads        = 3
	limitPerSecond    = 100
	limitTestDuration = 12 * time.Second
	// limitKnown is the time from the first answer with a limit until all entries know the limit, and earlier requests have arrived.
	limitKnown = upstreamRoundTrip + datagramDelay + time.Millisecond
	// limitJitter is by how much the delays of two requests can differ, since some must open a connection.
	limitJitter = 3 * upstreamRoundTrip
)

// cluster is several entries in front of the same upstreams, which send each other updates.
type cluster struct {
	mu             sync.Mutex
	entries        []*signalEntry
	addresses      []string
	indexByAddress map[string]int
	random         *rand.Rand
	// isolated entries neither send nor receive updates, unconfirmed ones get no confirmations from the leader, and withoutCallers ones get no
	// requests. lossRate is the fraction of the updates that is lost.
	isolated, unconfirmed, withoutCallers map[int]bool
	lossRate                              float64
	// replaced are the former entries at addresses where an entry was restarted.
	replaced []*signalEntry
	// leaderLimits are the newest limits that the leader has received.
	leaderLimits *ratelimit.LimitTable[ident.Incarnation]
}

// leaderSyncInterval is how often entries synchronize with the leader.
const leaderSyncInterval = 100 * time.Millisecond

// newCluster returns entries that know each other.
func newCluster(entries, upstreams int) *cluster {
	g := &cluster{
		entries: []*signalEntry{newSignalEntry(upstreams)}, random: rand.New(rand.NewPCG(3, 3)), indexByAddress: map[string]int{},
		isolated: map[int]bool{}, unconfirmed: map[int]bool{}, withoutCallers: map[int]bool{}, leaderLimits: ratelimit.NewLimitTable[ident.Incarnation](),
	}
	for range entries - 1 {
		g.entries = append(g.entries, newSignalEntryFor(g.entries[0].upstreams))
	}
	for i := range entries {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i % 200)}), 7).String()
		g.addresses = append(g.addresses, address)
		g.indexByAddress[address] = i
	}
	for i := range g.entries {
		g.connect(i)
		g.entries[i].relay.SetEntries(sharing.New(g.addresses[i], map[ident.Hall][]string{"": g.addresses}))
	}
	return g
}

// connect makes an entry send its updates to the others.
func (g *cluster) connect(i int) {
	s := g.entries[i]
	s.relay.RandomInt = rand.New(rand.NewPCG(uint64(i), 1)).IntN
	s.relay.Limits.Random = rand.New(rand.NewPCG(uint64(i), 2)).Float64
	s.relay.Budget.SetEntries(len(g.entries))
	s.relay.SendUpdate = func(update relay.EntryUpdate, to []string) {
		if to == nil {
			to = g.addresses
		}
		for _, address := range to {
			if j, ok := g.indexByAddress[address]; ok && j != i {
				time.AfterFunc(datagramDelay, func() {
					if peer := g.receiver(s, i, j); peer != nil {
						peer.relay.Receive(update, netip.MustParseAddrPort(g.addresses[i]))
					}
				})
			}
		}
	}
}

// receiver returns the entry at index receiver if it receives an update of the entry from at index sender, or nil if the update is lost.
func (g *cluster) receiver(from *signalEntry, sender, receiver int) *signalEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	lost := g.lossRate > 0 && g.random.Float64() < g.lossRate
	if lost || g.entries[sender] != from || g.isolated[sender] || g.isolated[receiver] {
		return nil
	}
	return g.entries[receiver]
}

// pickEntry returns an entry for a request, the first entries more often than the last ones.
func (g *cluster) pickEntry() *signalEntry {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := min(g.random.IntN(len(g.entries)), g.random.IntN(len(g.entries)))
	for g.withoutCallers[i] {
		i = (i + 1) % len(g.entries)
	}
	return g.entries[i]
}

// randomFraction returns a random number from 0 to 1.
func (g *cluster) randomFraction() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.random.Float64()
}

// load sends requests to the entries and returns when all have ended.
func (g *cluster) load(path string, perSecond float64, duration time.Duration) {
	began := time.Now()
	var wg sync.WaitGroup
	wg.Go(func() {
		for time.Since(began) < duration {
			g.syncWithLeader()
			time.Sleep(leaderSyncInterval)
		}
	})
	for n := 0; time.Since(began) < duration; n++ {
		time.Sleep(time.Duration(-math.Log(1-g.randomFraction()) / perSecond * float64(time.Second)))
		s := g.pickEntry()
		wg.Go(func() { s.send(path, strconv.Itoa(n)) })
	}
	wg.Wait()
	for _, u := range g.entries[0].upstreams {
		u.close()
	}
}

// syncWithLeader acts as the leader: it confirms the entries' state and sends them limits, local shares and request counts.
func (g *cluster) syncWithLeader() {
	g.mu.Lock()
	defer g.mu.Unlock()
	totals, localShares := map[ident.Incarnation]int{}, map[ident.Incarnation]int{}
	inflight := make([]map[ident.Incarnation]int, len(g.entries))
	for i, s := range g.entries {
		inflight[i] = map[ident.Incarnation]int{}
		seen, _ := s.relay.CollectObservations()
		for _, observation := range seen {
			inflight[i][observation.ID] = observation.Inflight
			totals[observation.ID] += observation.Inflight
			if observation.Limit == nil || g.unconfirmed[i] {
				continue
			}
			if observation.Limit.Apart {
				localShares[observation.ID]++
			}
			if observation.Limit.Own {
				g.leaderLimits.Merge(observation.ID, observation.Limit.Rate, time.Now().Add(-observation.Limit.Said))
			}
		}
	}
	for i, s := range g.entries {
		if g.unconfirmed[i] {
			continue
		}
		others := map[ident.Incarnation]int{}
		for id, total := range totals {
			others[id] = total - inflight[i][id]
		}
		s.relay.SetPeerCounts(others)
		s.relay.Limits.SetLocalShares(localShares)
		g.sendLimits(s)
		s.relay.SetConfirmed(time.Now())
	}
}

// sendLimits sends an entry the limits that the leader has received recently.
func (g *cluster) sendLimits(s *signalEntry) {
	g.leaderLimits.Each(func(id ident.Incarnation, limit ratelimit.Limit) {
		if age := time.Since(limit.LastSeen); limit.Limited() && age < 5*time.Second {
			s.relay.ApplyLimit(id, limit.Rate, age)
		}
	})
}

// records returns the records of all requests at all entries.
func (g *cluster) records() []*relay.Record {
	var all []*relay.Record
	for _, s := range g.entries {
		s.relay.Wait()
		all = append(all, s.records...)
	}
	return all
}

// arrivals returns the times from from to to at which requests arrived at u.
func (u *signalingUpstream) arrivals(from, to time.Time) []time.Time {
	u.mu.Lock()
	defer u.mu.Unlock()
	var list []time.Time
	for _, at := range u.arrivedAt {
		if !at.Before(from) && at.Before(to) {
			list = append(list, at)
		}
	}
	return list
}

// maxInSpan returns the highest number of arrivals in any span of that length.
func maxInSpan(arrivals []time.Time, span time.Duration) int {
	highest, first := 0, 0
	for i := range arrivals {
		for arrivals[i].Sub(arrivals[first]) >= span {
			first++
		}
		highest = max(highest, i-first+1)
	}
	return highest
}

// maxExcess returns by how many requests the arrivals exceed the rate in the span where they exceed it most.
func maxExcess(arrivals []time.Time, rate ratelimit.Rate) float64 {
	highest := 0.0
	for i := range arrivals {
		for j := range i + 1 {
			span := arrivals[i].Sub(arrivals[j]) + limitJitter
			highest = max(highest, float64(i-j+1)-float64(rate)*span.Seconds())
		}
	}
	return highest
}

// limitCase is a site, a route and a limit.
type limitCase struct {
	entries int
	path    string
	limit   ratelimit.Rate
}

func (c *limitCase) name() string {
	return strconv.Itoa(c.entries) + " entries, " + strconv.FormatFloat(float64(c.limit), 'f', -1, 64) + " a second, " + c.path[1:len(c.path)-2]
}

// Once all entries can know a limit, they together send the upstream at most one request more than the limit allows in any span of time, and
// nearly as many as the limit allows. No request is late or fails while other upstreams have capacity.
func TestLimitIsKeptByAllEntries(t *testing.T) {
	for _, c := range []limitCase{
		{1, "/safe/x", 3.6}, {1, "/stream/x", 0.5}, {1, "/stream/x", 25},
		{8, "/safe/x", 3.6}, {8, "/unsafe/x", 1.8}, {8, "/stream/x", 1.8}, {8, "/stream/x", 0.5}, {8, "/stream/x", 25},
		{40, "/stream/x", 1.8}, {40, "/safe/x", 25}, {120, "/stream/x", 3.6},
	} {
		t.Run(c.name(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newCluster(c.entries, limitHeads)
				u := g.entries[0].upstreams[0]
				began := time.Now()
				time.AfterFunc(signalAt, func() { u.setLimit(c.limit) })
				g.load(c.path, limitPerSecond, limitTestDuration)
				if u.limitNamedAt.IsZero() {
					t.Fatal("no request arrived after the limit was set: the test checks nothing")
				}
				arrivals := u.arrivals(u.limitNamedAt.Add(limitKnown), began.Add(limitTestDuration))
				const span = 4 * time.Second
				if got, most := maxInSpan(arrivals, span), float64(c.limit)*span.Seconds()*1.5+5; float64(got) > most {
					t.Errorf("%d requests in %v, want at most %.0f", got, span, most)
				}
				if got := maxExcess(arrivals, c.limit); got > 1 {
					t.Errorf("%.1f requests beyond the limit in some span, want at most 1", got)
				}
				allowed := float64(c.limit) * (limitTestDuration - signalAt).Seconds()
				if got := float64(len(arrivals)); got < 0.9*allowed-1 {
					t.Errorf("%.0f requests in total, want at least 90%% of %.0f", got, allowed)
				}
				for _, r := range g.records() {
					if r.Code != 0 || r.FirstEvent > config().Routes[0].Aim {
						t.Errorf("request %s: code %d, %s, after %v", r.ID, r.Code, r.ErrorText, r.FirstEvent)
					}
				}
			})
		})
	}
}
