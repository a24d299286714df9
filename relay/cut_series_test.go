package relay_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

var (
	cutSeriesFirst = flag.Uint64("cut-series-first", 1, "first seed of TestCutsAmongOtherFaults")
	cutSeriesCount = flag.Uint64("cut-series", 6, "number of seeds of TestCutsAmongOtherFaults")
)

// cutSeriesDuration is how long faults last in a series, cutSeriesRecovery the time after which everything must be served again.
const (
	cutSeriesDuration = 12 * time.Second
	cutSeriesRecovery = 3 * time.Second
)

// Guards against requests that are served twice, wrongly or falsely reported as not run, when entries are cut off in series while upstreams
// fail and other entries end or are suspended.
func TestCutsAmongOtherFaults(t *testing.T) {
	for seed := *cutSeriesFirst; seed < *cutSeriesFirst+*cutSeriesCount; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCutSite(t)
				defer s.stop()
				s.playSeries(rand.New(rand.NewPCG(seed, 1)))
			})
		})
	}
}

// playSeries loads the site while faults come and go, and checks that it recovers.
func (s *cutSite) playSeries(random *rand.Rand) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for end := time.Now().Add(cutSeriesDuration); time.Now().Before(end); {
			s.startFault(random)
			time.Sleep(time.Duration(random.Int64N(int64(600 * time.Millisecond))))
		}
	}()
	during := s.load("faults", cutSeriesDuration)
	<-done
	// The longest fault takes 3 s.
	s.load("recovery", 3*time.Second+cutSeriesRecovery)
	after := s.load("after", time.Second)
	s.t.Logf("served of sent by entry: %v among faults, %v afterwards", during, after)
	for entry, c := range after {
		if c.served < c.sent*49/50 {
			s.t.Errorf("after all faults entry %d served %d of %d requests", entry, c.served, c.sent)
		}
	}
	s.checkRuns()
}

// startFault starts a fault that ends after up to 3 s.
func (s *cutSite) startFault(random *rand.Rand) {
	entry := random.IntN(cutSiteEntries)
	address := fmt.Sprintf("10.2.0.%d:80", random.IntN(cutSitePlain+cutSiteGroups))
	var end func()
	switch random.IntN(6) {
	case 0, 1, 2:
		spared := [][]string{nil, {address}, s.workers, s.groups}[random.IntN(4)]
		s.paths[entry].cutExcept(spared, []cutMode{cutSilent, cutReset, cutRefused, cutNewOnly}[random.IntN(4)])
		end = func() { s.paths[entry].cut(cutNone) }
	case 3:
		fault := []upstreamFault{faultCloses, faultBreaksOff, faultFails, faultRefuses, faultSilent}[random.IntN(5)]
		s.setFault(address, fault)
		end = func() { s.setFault(address, "") }
	case 4:
		s.setSuspended(entry, true)
		end = func() { s.setSuspended(entry, false) }
	case 5:
		s.endEntry(entry)
		end = func() { s.serveEntry(entry) }
	}
	duration := 300*time.Millisecond + time.Duration(random.Int64N(int64(2700*time.Millisecond)))
	time.AfterFunc(duration, end)
}

func (s *cutSite) setFault(address string, fault upstreamFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[address] = fault
}

func (s *cutSite) setSuspended(entry int, suspended bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspended[entry] = suspended
}
