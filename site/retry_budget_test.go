package site_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/transport"
)

const (
	retrySiteEntries = 40
	// retrySiteStep is the interval of the simulation, retrySiteCallInterval that of an entry's calls to the leader.
	retrySiteStep         = 50 * time.Millisecond
	retrySiteCallInterval = 250 * time.Millisecond
	// retrySiteRate is the requests per second at each entry.
	retrySiteRate    = 5
	retrySiteService = ident.Service("s")
)

// retrySite simulates the entries of a site whose upstreams fail all requests.
type retrySite struct {
	t         *testing.T
	startedAt time.Time
	settings  settings.Site
	leader    site.Leadership
	entries   []*site.Entry
	// requests and retries are the times of all requests and retries, from startedAt.
	requests, retries []time.Duration
}

func newRetrySite(t *testing.T) *retrySite {
	t.Helper()
	s := &retrySite{t: t, startedAt: time.Now(), settings: settings.DefaultSite(), leader: site.NewLeadership()}
	s.settings.Retries = settings.Retries{Share: 0.2, Window: settings.Duration(10 * time.Second), Allowance: 4 * retrySiteEntries}
	s.entries = make([]*site.Entry, retrySiteEntries)
	s.restart(1)
	return s
}

// restart replaces the first entries by new processes.
func (s *retrySite) restart(fraction float64) {
	for i := range int(fraction * retrySiteEntries) {
		s.stop(i)
		cfg := s.settings
		cfg.Listen.Host = fmt.Sprintf("10.1.0.%d", i)
		s.entries[i] = site.NewEntry(&cfg, relay.HeaderNames{}, transport.TCP())
		s.call(i)
	}
}

func (s *retrySite) stop(i int) {
	if s.entries[i] != nil {
		s.entries[i].Close()
	}
}

func (s *retrySite) call(i int) {
	e := s.entries[i]
	reply := s.leader.Reply(e.NextCall())
	if _, err := reply.Unpack(); err != nil {
		s.t.Fatal(err)
	}
	e.ApplyReply(time.Now(), &reply)
}

// run simulates the site for d. While failing is set, each request is retried once, and again each second.
func (s *retrySite) run(d time.Duration, failing bool) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(retrySiteStep) {
		at := time.Since(s.startedAt)
		for i, e := range s.entries {
			phase := time.Duration(i) * time.Second / retrySiteEntries
			if dueWithin(at, phase, retrySiteCallInterval) {
				s.call(i)
			}
			if !dueWithin(at, phase, time.Second/retrySiteRate) {
				continue
			}
			e.RetryBudget().CountRequest(retrySiteService)
			s.requests = append(s.requests, at)
			if failing && e.RetryBudget().AllowRetry(retrySiteService) {
				s.retries = append(s.retries, at)
			}
		}
	}
}

// dueWithin reports whether an event with this phase and interval occurs in the step that begins at a time.
func dueWithin(at, phase, interval time.Duration) bool {
	return (at-phase%interval+interval)%interval < retrySiteStep
}

// check compares the retries in every window with the rule, whose requests are those in the window, in the one before or halfway between.
func (s *retrySite) check() {
	s.t.Helper()
	rule := s.settings.Retries
	window := rule.Window.Std()
	worst, worstExcess := "", 0.0
	for from := time.Duration(0); from < time.Since(s.startedAt); from += retrySiteStep {
		retries := countWithin(s.retries, from, window)
		requests := max(countWithin(s.requests, from, window), countWithin(s.requests, from-window/2, window), countWithin(s.requests, from-window, window))
		allowed := rule.Share*float64(requests) + rule.Allowance
		if excess := float64(retries) - allowed; excess > worstExcess {
			worst, worstExcess = fmt.Sprintf("%d retries in the window from %v, %d requests allow %.0f", retries, from, requests, allowed), excess
		}
	}
	if worst != "" {
		s.t.Error(worst)
	}
}

func countWithin(times []time.Duration, from, window time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < from+window {
			n++
		}
	}
	return n
}

// Guards against restarted entries that retry as if their former processes had not.
func TestRetriesOfRestartedEntries(t *testing.T) {
	for _, tt := range []struct {
		name string
		// restarts are the fractions of the entries that restart, 2.7 s apart; newLeader is set when control restarts as well.
		restarts  []float64
		newLeader bool
	}{
		{"none", nil, false},
		{"a tenth", []float64{0.1}, false},
		{"two thirds", []float64{0.65}, false},
		{"all", []float64{1}, false},
		{"all and control", []float64{1}, true},
		{"all, in waves", []float64{1, 1, 1}, false},
		{"all and control, in waves", []float64{1, 1, 1}, true},
		{"some, in waves", []float64{0.5, 0.25, 0.5}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newRetrySite(t)
				s.run(14*time.Second, false)
				s.run(2*time.Second, true)
				for _, fraction := range tt.restarts {
					if tt.newLeader {
						s.leader = site.NewLeadership()
					}
					s.restart(fraction)
					s.run(2700*time.Millisecond, true)
				}
				s.run(12*time.Second, true)
				for i := range s.entries {
					s.stop(i)
				}
				s.check()
			})
		})
	}
}

// Guards against a few restarted entries that are refused the retries of their own requests, as all entries are when all restart.
func TestFewRestartedEntriesKeepTheirRatio(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRetrySite(t)
		s.run(14*time.Second, false)
		s.restart(0.1)
		s.run(9*time.Second, true)
		restarted := int(0.1 * retrySiteEntries)
		for i, e := range s.entries {
			if i < restarted {
				d := e.RetryBudget().Decide(retrySiteService)
				if want := s.settings.Retries.Share * d.Requests / 2; d.Retries < want {
					t.Errorf("entry %d made %.0f retries for %.0f requests, want at least %.0f", i, d.Retries, d.Requests, want)
				}
			}
			s.stop(i)
		}
	})
}
