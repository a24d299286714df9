package relay_test

import (
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
)

const (
	// backoffEntries is so many that each sends a head hardly a request in the time that it asks for.
	backoffEntries = 60
	backoffHeads   = 6
	// busyHeads is how many heads turn all away for busyTime, and ask for busyRetryAfter; at backoffRate requests a second the others have room.
	busyHeads      = 3
	busyTime       = 9 * time.Second
	busyRetryAfter = 3 * time.Second
	backoffRate    = 40
)

// A head that asked one entry for time is spared by the others as long as the rest have room: with many entries, each of which knows
// only what it was asked itself, a head that is overrun would be reached as often as before.
func TestPeersDeprioritizeBackedOffHeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sites := newCluster(backoffEntries, backoffHeads).entries
		heads := sites[0].upstreams
		time.AfterFunc(time.Second, func() {
			for _, u := range heads[:busyHeads] {
				u.setBusy(busyTime, strconv.Itoa(int(busyRetryAfter.Seconds())))
			}
		})
		began := time.Now()
		random := rand.New(rand.NewPCG(3, 3))
		var wg sync.WaitGroup
		for n := 0; time.Since(began) < busyTime+5*time.Second; n++ {
			time.Sleep(time.Duration(random.ExpFloat64() / backoffRate * float64(time.Second)))
			s := sites[random.IntN(len(sites))]
			wg.Go(func() { s.send("/stream/x", strconv.Itoa(n)) })
		}
		wg.Wait()
		// Each time that a head asks for costs the request that it refuses, and one that is sent before the news have come.
		maxRefused := busyHeads * 2 * int(busyTime/busyRetryAfter+1)
		refused, served := 0, 0
		for _, u := range heads[:busyHeads] {
			refused += len(u.refusedAt)
			if u.servedAt.IsZero() {
				t.Error("a head serves nothing after its time is over")
			}
		}
		for _, s := range sites {
			for _, r := range s.records {
				if r.Code == 0 {
					served++
				}
			}
		}
		t.Logf("%d turned away, %d served", refused, served)
		if refused > maxRefused {
			t.Errorf("%d requests turned away, want %d at most", refused, maxRefused)
		}
		for _, u := range heads {
			u.close()
		}
	})
}

// What a head asked of another entry does not bind this one: where nobody else has room it is tried.
func TestDeprioritizedHeadIsUsedWithoutAlternative(t *testing.T) {
	s := newSignalEntry(2)
	cfg := config()
	s.relay.SetConfig(cfg)
	other := netip.MustParseAddrPort("10.0.0.1:7")
	s.relay.Receive(relay.EntryUpdate{Head: "h0", BackoffMS: 60_000}, other)
	for range 20 {
		if head, ok := relay.ChooseGroup(s.relay, &cfg.Routes[2], "m", 100); head != "h1" || !ok {
			t.Fatalf("chosen %s, %t, want h1", head, ok)
		}
	}
	s.setRoster(map[int]bool{1: true}, "")
	if head, ok := relay.ChooseGroup(s.relay, &cfg.Routes[2], "m", 100); head != ident.Incarnation("h0") || !ok {
		t.Errorf("chosen %s, %t, want h0, the only one", head, ok)
	}
}
