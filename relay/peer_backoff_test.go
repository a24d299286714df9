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
	// backoffEntries is so high that each entry sends a head hardly one request per backoff.
	backoffEntries = 60
	backoffHeads   = 6
	// busyHeads heads refuse all requests for busyTime with a Retry-After of busyRetryAfter. At backoffRate requests per second the others
	// have capacity.
	busyHeads      = 3
	busyTime       = 9 * time.Second
	busyRetryAfter = 3 * time.Second
	backoffRate    = 40
)

// A head that requested a backoff from one entry is deprioritized by the others as long as other heads have capacity. If each of many entries
// knew only the backoffs requested from itself, an overloaded head would get nearly as many requests as before.
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
		// Each backoff costs the refused request, and one that is sent before the update arrives.
		maxRefused := busyHeads * 2 * int(busyTime/busyRetryAfter+1)
		refused, served := 0, 0
		for _, u := range heads[:busyHeads] {
			refused += len(u.refusedAt)
			if u.servedAt.IsZero() {
				t.Error("a head served no request after its busy time")
			}
		}
		for _, s := range sites {
			for _, r := range s.records {
				if r.Code == 0 {
					served++
				}
			}
		}
		t.Logf("%d requests refused, %d served", refused, served)
		if refused > maxRefused {
			t.Errorf("%d requests refused, want at most %d", refused, maxRefused)
		}
		for _, u := range heads {
			u.close()
		}
	})
}

// A backoff that a head requested from another entry does not bind this one: without an alternative the head is used.
func TestDeprioritizedHeadIsUsedWithoutAlternative(t *testing.T) {
	s := newSignalEntry(2)
	cfg := config()
	s.relay.SetConfig(cfg)
	other := netip.MustParseAddrPort("10.0.0.1:7")
	s.relay.Receive(relay.EntryUpdate{Head: "h0", BackoffMS: 60_000}, other)
	for range 20 {
		if head, ok := relay.ChooseGroup(s.relay, &cfg.Routes[2], "m", 100); head != "h1" || !ok {
			t.Fatalf("chosen %s, capacity %t, want h1 with capacity", head, ok)
		}
	}
	s.setRoster(map[int]bool{1: true}, "")
	if head, ok := relay.ChooseGroup(s.relay, &cfg.Routes[2], "m", 100); head != ident.Incarnation("h0") || !ok {
		t.Errorf("chosen %s, capacity %t, want h0, the only head, with capacity", head, ok)
	}
}
