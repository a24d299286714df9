package site_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/transport"
)

// controlSite is a site of five control daemons, which tolerates the loss of two.
type controlSite struct {
	*daemons
	hosts  []string
	faults *connFaults
}

func startControlSite(t testing.TB) *controlSite {
	t.Helper()
	s := &controlSite{newDaemons(t), []string{"127.0.1.1", "127.0.1.2", "127.0.1.3", "127.0.1.4", "127.0.1.5"}, &connFaults{poweredOff: map[string]bool{}}}
	for _, host := range s.hosts {
		s.dial = s.faults.dial(host)
		s.startControl(host, true)
	}
	s.waitUntilReplaced(s.hosts[0], 1)
	s.waitForVoters(s.hosts[0], len(s.hosts))
	return s
}

// inspect returns the state of the leader, nil if there is none.
func (s *controlSite) inspect() *site.State {
	state, err := site.Inspect(context.Background(), transport.TCP(), s.peers(s.hosts...))
	if err != nil {
		return nil
	}
	return state
}

// leaderAndOther returns the host of the leader, and of a daemon that follows it.
func (s *controlSite) leaderAndOther() (leader, other string) {
	s.t.Helper()
	s.waitUntil("a leader is known", func() bool {
		state := s.inspect()
		if state == nil {
			return false
		}
		i := slices.Index(s.peers(s.hosts...), state.Leader)
		leader, other = s.hosts[i], s.hosts[(i+1)%len(s.hosts)]
		return true
	})
	return leader, other
}

// lose ends daemons for good.
func (s *controlSite) lose(hosts ...string) {
	for _, host := range hosts {
		s.faults.powerOff(host)
	}
	for _, host := range hosts {
		s.kill(host)
		s.hosts = slices.DeleteFunc(s.hosts, func(h string) bool { return h == host })
	}
}

// restartAll stops all daemons at once, calls whileStopped with each data folder and starts the daemons again.
func (s *controlSite) restartAll(whileStopped func(folder string)) {
	s.t.Helper()
	var wg sync.WaitGroup
	for _, r := range s.running {
		wg.Go(func() { r.stop(); <-r.done })
	}
	wg.Wait()
	for _, host := range s.hosts {
		whileStopped(filepath.Join(s.dir, host))
	}
	for _, host := range s.hosts {
		s.dial = s.faults.dial(host)
		s.startControl(host, false)
	}
}

// report sends the report of an upstream to a daemon until it is acknowledged.
func (s *controlSite) report(host string, id ident.Incarnation, address string, sequence uint64, draining bool) {
	s.t.Helper()
	r := &roster.Report{Upstream: roster.Upstream{ID: id, Service: "s", Address: address, Slots: 4, Draining: draining}, Sequence: sequence}
	s.waitUntil("a report is acknowledged", func() bool {
		_, err := s.running[host].control.Report(context.Background(), r)
		return err == nil
	})
}

// An acknowledged announcement of shutdown was lost with the daemon that had acknowledged it, so that the upstream got
// requests as long as it served.
func TestAnnouncedShutdownOutlivesDaemons(t *testing.T) {
	removeRoster := func(folder string) { _ = os.Remove(filepath.Join(folder, "roster")) }
	for _, c := range []struct {
		name    string
		disrupt func(s *controlSite, leader, other string)
	}{
		{"the leader is lost", func(s *controlSite, leader, _ string) { s.lose(leader) }},
		{"the leader and the daemon that answered are lost", func(s *controlSite, leader, other string) { s.lose(leader, other) }},
		{"all restart", func(s *controlSite, _, _ string) { s.restartAll(func(string) {}) }},
		{"all restart without saved rosters", func(s *controlSite, _, _ string) { s.restartAll(removeRoster) }},
		{"all restart, two with empty folders", func(s *controlSite, leader, other string) {
			s.restartAll(func(folder string) {
				removeRoster(folder)
				if host := filepath.Base(folder); host == leader || host == other {
					_ = os.RemoveAll(folder)
				}
			})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startControlSite(t)
			leader, other := s.leaderAndOther()
			s.report(leader, "i-signs-off", "127.0.0.1:1", 1, false)
			s.report(other, "i-drains", "127.0.0.1:2", 1, false)
			s.report(other, "i-stays", "127.0.0.1:3", 1, false)
			former := s.inspect().Leadership
			s.report(other, "i-drains", "127.0.0.1:2", 3, true)
			if err := s.running[other].control.Leave(context.Background(), "i-signs-off"); err != nil {
				t.Fatal(err)
			}
			c.disrupt(s, leader, other)
			s.waitUntil("another leadership is settled", func() bool {
				state := s.inspect()
				return state != nil && state.Leadership != former && state.Settled
			})
			for i, id := range []ident.Incarnation{"i-signs-off", "i-drains", "i-stays"} {
				// A report that was sent before the announcement arrives late.
				s.report(s.hosts[0], id, []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}[i], 2, false)
			}
			places := map[ident.Incarnation]string{}
			for _, u := range s.inspect().Upstreams {
				places[u.ID] = u.Place
			}
			for _, id := range []ident.Incarnation{"i-signs-off", "i-drains"} {
				if place, ok := places[id]; ok && place != "leaves" {
					t.Errorf("%s %s", id, place)
				}
			}
			if place := places["i-stays"]; place != "serves without a group" {
				t.Errorf("i-stays has the place %q", place)
			}
		})
	}
}

// A record ends some time after its upstream has left the roster, also when its removal has to be repeated.
func TestDepartureExpires(t *testing.T) {
	var expiry site.DepartureExpiry
	r := roster.New()
	start := time.Unix(1000, 0)
	r.ApplyReport(start, &roster.Report{Upstream: roster.Upstream{ID: "i-1@a", Service: "s", Address: "127.0.0.1:1", Draining: true}, Sequence: 1})
	const retention = 2 * time.Minute
	var expired []time.Duration
	for after := time.Duration(0); after <= 3*retention; after += time.Second {
		if after == retention {
			// The upstream starts again under its id, which ends the incarnation that has left.
			r.ApplyReport(start.Add(after), &roster.Report{Upstream: roster.Upstream{ID: "i-1@b", Service: "s", Address: "127.0.0.1:1"}, Sequence: 1})
		}
		if list := expiry.Expired(start.Add(after), []ident.Incarnation{"i-1@a"}, r); len(list) > 0 {
			expired = append(expired, after)
		}
	}
	if want := []time.Duration{2 * retention, 3 * retention}; !slices.Equal(want, expired) {
		t.Errorf("expired at %v, want %v", expired, want)
	}
}

// BenchmarkSignOffs is the time until the sign-offs of many upstreams at the same moment, through all daemons of a site of five, are on the
// disks of a majority.
func BenchmarkSignOffs(b *testing.B) {
	for _, upstreams := range []int{1, 16, 64, 256, 1024, 2793} {
		b.Run(strconv.Itoa(upstreams), func(b *testing.B) {
			s := startControlSite(b)
			s.leaderAndOther()
			run := 0
			entries := s.logLength()
			for b.Loop() {
				run++
				var wg sync.WaitGroup
				for i := range upstreams {
					wg.Go(func() { s.signOff(s.hosts[i%len(s.hosts)], ident.Incarnation(fmt.Sprintf("i-%d-%d@mo690000", run, i))) })
				}
				wg.Wait()
			}
			b.ReportMetric(float64(s.logLength()-entries)/float64(run), "log-entries/op")
		})
	}
}

// BenchmarkDepartureEntry is the size of a log entry with many departures, and the time to apply it.
func BenchmarkDepartureEntry(b *testing.B) {
	for _, departures := range []int{1, 64, 2793} {
		b.Run(strconv.Itoa(departures), func(b *testing.B) {
			var change catalog.DepartureChange
			for i := range departures {
				change.Added = append(change.Added, catalog.Departure{ID: ident.Incarnation(fmt.Sprintf("i-%08x@mo690000", i)), SignedOff: true})
			}
			data, err := catalog.EncodeDepartures(&change)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				catalog.NewMachine().Apply(data)
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

// signOff signs off an upstream through a daemon, as often as that is needed.
func (s *controlSite) signOff(host string, id ident.Incarnation) {
	for {
		if err := s.running[host].control.Leave(context.Background(), id); err == nil {
			return
		}
	}
}

// logLength returns the number of committed log entries.
func (s *controlSite) logLength() uint64 {
	length := uint64(0)
	for _, r := range s.running {
		length = max(length, r.control.CommittedEntries())
	}
	return length
}
