package relay_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
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
		wg.Go(func() {
			served := s.request(entry, "unsafe", fmt.Sprintf("%s-%d-unsafe-%d", name, entry, n))
			mu.Lock()
			defer mu.Unlock()
			count.sent++
			if served {
				count.served++
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	wg.Wait()
	return count
}
