package relay_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/relay"
)

// Guards against entries that decline requests of a service whose upstreams they reach, because they have lost those of another service.
func TestEntryThatReachesOneServiceAcceptsItsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCutSite(t)
		defer s.stop()
		s.load("before", time.Second)
		s.paths[0].cut(cutSilent)
		s.paths[1].cutExcept(s.workers, cutSilent)
		s.paths[2].cutExcept(s.groups, cutSilent)
		s.load("cut", 3*time.Second)
		for entry, c := range s.load("late", 1500*time.Millisecond) {
			if c.served < c.sent*49/50 {
				t.Errorf("entry %d served %d of %d requests", entry, c.served, c.sent)
			}
		}
		s.heal()
		s.checkRuns()
	})
}

// Guards against entries that find no other one with a path, when most entries are cut off and each forwards few requests.
func TestFewRequestsOfMostEntries(t *testing.T) {
	const entries, cut = 40, 37
	synctest.Test(t, func(t *testing.T) {
		s := newCutSiteOf(t, cutSiteSize{entries, cutSitePlain, cutSiteGroups})
		defer s.stop()
		s.loadInTurn("before", time.Second)
		for i := range cut {
			s.paths[i].cut(cutSilent)
		}
		s.loadInTurn("cut", 4*time.Second)
		late := s.loadInTurn("late", 4*time.Second)
		if late.served < late.sent*49/50 {
			t.Errorf("%d of %d requests were served", late.served, late.sent)
		}
		// The entries that had a path lose it, and others have one again.
		for i, path := range s.paths {
			path.cut(cutSilent)
			if i < entries-cut {
				path.cut(cutNone)
			}
		}
		s.loadInTurn("cut again", 4*time.Second)
		late = s.loadInTurn("late again", 4*time.Second)
		if late.served < late.sent*49/50 {
			t.Errorf("after other entries were cut off, %d of %d requests were served", late.served, late.sent)
		}
		s.heal()
		s.checkRuns()
	})
}

// Guards against requests that are refused because the few entries with a path carry no more, although their groups have capacity.
func TestFewEntriesCarryTheRequestsOfOthers(t *testing.T) {
	const entries, cut, groups, streams = 40, 37, 24, 360
	synctest.Test(t, func(t *testing.T) {
		s := newCutSiteOf(t, cutSiteSize{entries, cutSitePlain, groups})
		defer s.stop()
		for i := range cut {
			s.paths[i].cut(cutRefused)
		}
		s.loadInTurn("cut", 4*time.Second)
		var served atomic.Int64
		var wg sync.WaitGroup
		for n := range streams {
			wg.Go(func() {
				if s.request(n%cut, "stream", fmt.Sprintf("late-%d-stream-%d", n%cut, n)) {
					served.Add(1)
				}
			})
			time.Sleep(time.Millisecond / 4)
		}
		wg.Wait()
		if got := served.Load(); got < streams*49/50 {
			t.Errorf("%d of %d streams were served", got, streams)
		}
		s.heal()
		s.checkRuns()
	})
}

// heal ends all cuts and waits until the probes of unreachable upstreams have ended.
func (s *cutSite) heal() {
	for _, path := range s.paths {
		path.cut(cutNone)
	}
	time.Sleep(5 * time.Second)
}

// loadInTurn sends one request every 25 ms for d, to one entry after the other.
func (s *cutSite) loadInTurn(name string, d time.Duration) cutSiteCount {
	var count cutSiteCount
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		entry := n % len(s.entries)
		id := fmt.Sprintf("%s-%d-unsafe-%d", name, entry, n)
		wg.Go(func() { s.countRequest(&mu, &count, entry, "unsafe", id) })
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	return count
}

// Guards against entries that take the paths to all services for restored when the first connection to one of them opens.
func TestPathsOfOneServiceAreRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCutSite(t)
		defer s.stop()
		s.load("before", time.Second)
		s.paths[0].cut(cutReset)
		s.load("cut", time.Second)
		var mu sync.Mutex
		restored := false
		s.entries[0].OnReachability = func(event relay.ReachabilityEvent) {
			mu.Lock()
			defer mu.Unlock()
			restored = restored || event.Service == "model"
		}
		s.paths[0].cutExcept(s.workers, cutReset)
		s.load("one service", 2*time.Second)
		mu.Lock()
		if restored {
			t.Error("the reach of the model's groups has changed, but only the plain workers are reachable again")
		}
		mu.Unlock()
		s.heal()
	})
}

// Guards against entries that find their lost paths to the upstreams of one service one by one, by a failed request each, since they hear from
// another service.
func TestCutFromOneServiceIsNoticed(t *testing.T) {
	const groups = 40
	for _, mode := range []cutMode{cutSilent, cutReset, cutRefused} {
		t.Run(string(mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCutSiteOf(t, cutSiteSize{cutSiteEntries, cutSitePlain, groups})
				defer s.stop()
				s.load("before", time.Second)
				var mu sync.Mutex
				noticed := false
				s.entries[0].OnReachability = func(event relay.ReachabilityEvent) {
					mu.Lock()
					defer mu.Unlock()
					noticed = noticed || event.Service == "model" && event.Reach == relay.ReachNone
				}
				s.paths[0].cutExcept(s.workers, mode)
				s.loadWithFewStreams("cut", 4*time.Second)
				late := s.loadWithFewStreams("late", 4*time.Second)
				s.heal()
				mu.Lock()
				defer mu.Unlock()
				if !noticed {
					t.Error("the entry has not noticed that it reaches no group")
				}
				if late.served < late.sent*49/50 {
					t.Errorf("%d of %d streams were served", late.served, late.sent)
				}
			})
		})
	}
}

// loadWithFewStreams sends the first entry a plain request every 10 ms and a stream every 500 ms for d, and returns the counts of streams.
func (s *cutSite) loadWithFewStreams(name string, d time.Duration) cutSiteCount {
	var count cutSiteCount
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		wg.Go(func() { s.request(0, "safe", fmt.Sprintf("%s-0-safe-%d", name, n)) })
		if n%50 == 0 {
			id := fmt.Sprintf("%s-0-stream-%d", name, n)
			wg.Go(func() { s.countRequest(&mu, &count, 0, "stream", id) })
		}
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	return count
}
