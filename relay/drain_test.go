package relay_test

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/roster"
)

// placeUpstreams assigns the upstreams of an entry to halls, the first to "a" and the others to "b"; cold are the indexes of cold ones.
func (s *signalEntry) placeUpstreams(cold ...int) {
	s.mu.Lock()
	s.revision++
	delta := roster.Delta{Full: true, Revision: s.revision}
	s.mu.Unlock()
	for i := range s.upstreams {
		hall := ident.Hall("b")
		if i == 0 {
			hall = "a"
		}
		head, plain := ident.Incarnation("h"+strconv.Itoa(i)), ident.Incarnation("p"+strconv.Itoa(i))
		u := roster.Upstream{ID: head, Service: "model", Address: string(head), Slots: excessSlots, Hall: hall}
		for _, c := range cold {
			u.Cold = u.Cold || c == i
		}
		delta.Upstreams = append(delta.Upstreams, u)
		u.ID, u.Service = plain, "plain"
		delta.Upstreams = append(delta.Upstreams, u)
		delta.Groups = append(delta.Groups, roster.Group{
			Name: ident.Group("g" + string(head)), Service: "model", Model: "m", Phase: roster.PhaseOpen, Members: []ident.Incarnation{head},
		})
	}
	s.relay.ApplyRoster(&delta)
}

// The upstreams of a drained hall get no new request of any kind until the drain ends. Entries that start are not tested: they receive the
// drained halls together with the roster, before their first request.
func TestDrainedHallGetsNoRequests(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
		t.Run(path[1:len(path)-2], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSignalEntry(3)
				s.placeUpstreams()
				u := s.upstreams[0]
				startedAt := time.Now()
				drainAt, endAt := startedAt.Add(3*time.Second), startedAt.Add(7*time.Second)
				time.AfterFunc(3*time.Second, func() { s.relay.SetDrained([]ident.Hall{"a"}) })
				time.AfterFunc(4*time.Second, func() { s.placeUpstreams() }) // a roster update does not end the drain
				time.AfterFunc(7*time.Second, func() { s.relay.SetDrained(nil) })
				s.load(path)
				if n := len(u.arrivals(startedAt, drainAt)); n == 0 {
					t.Error("no requests before the drain: the test checks nothing")
				}
				if n := len(u.arrivals(drainAt.Add(upstreamRoundTrip), endAt)); n != 0 {
					t.Errorf("%d requests arrived while the hall was drained", n)
				}
				if n := len(u.arrivals(endAt, endAt.Add(time.Hour))); n == 0 {
					t.Error("no requests after the end of the drain")
				}
				s.relay.Wait()
				for _, r := range s.records {
					if r.Code != result.OK {
						t.Errorf("request %s: %d, %s", r.ID, r.Code, r.ErrorText)
					}
				}
			})
		})
	}
}

// A request whose connection is still being opened when the hall is drained is not sent there.
func TestHallDrainedWhileRequestIsBeingSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSignalEntry(1)
		s.placeUpstreams()
		u := s.upstreams[0]
		u.extraDialTime = 40 * time.Millisecond
		time.AfterFunc(20*time.Millisecond, func() { s.relay.SetDrained([]ident.Hall{"a"}) })
		startedAt := time.Now()
		w := s.send("/unsafe/x", "one")
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
			t.Errorf("status %d, Retry-After %q", w.Code, w.Header().Get("Retry-After"))
		}
		if n := len(u.arrivals(startedAt, startedAt.Add(time.Hour))); n != 0 {
			t.Errorf("%d requests arrived", n)
		}
		u.close()
	})
}

// A request is refused at once when all halls with upstreams for it are drained.
func TestAllHallsDrained(t *testing.T) {
	for _, path := range []string{"/safe/x", "/stream/x"} {
		synctest.Test(t, func(t *testing.T) {
			s := newSignalEntry(2)
			s.placeUpstreams()
			s.relay.SetDrained([]ident.Hall{"a", "b"})
			startedAt := time.Now()
			w := s.send(path, "one")
			if took := time.Since(startedAt); w.Code != http.StatusServiceUnavailable || took > 0 {
				t.Errorf("status %d after %v", w.Code, took)
			}
		})
	}
}

// All entries together send a cold upstream nine tenths of its cold rate, and more once it is warm.
func TestColdUpstreamGetsNoMoreThanItsRate(t *testing.T) {
	const coldRate = 14
	for _, entries := range []int{1, 8, 60} {
		for _, path := range []string{"/safe/x", "/stream/x"} {
			t.Run(strconv.Itoa(entries)+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cluster := newCluster(entries, limitHeads)
					cfg := config()
					for i := range cfg.Services {
						cfg.Services[i].MaxColdRate = coldRate
					}
					for _, s := range cluster.entries {
						s.relay.SetConfig(cfg)
						s.placeUpstreams(0)
					}
					u := cluster.entries[0].upstreams[0]
					startedAt := time.Now()
					const coldTime = 5 * time.Second
					time.AfterFunc(coldTime, func() {
						for _, s := range cluster.entries {
							s.placeUpstreams()
						}
					})
					cluster.load(path, limitPerSecond, 8*time.Second)
					// In the first second, its coordinator can be a new one that grants no permits yet.
					coldArrivals := u.arrivals(startedAt.Add(time.Second), startedAt.Add(coldTime))
					if got := maxInSpan(u.arrivals(startedAt, startedAt.Add(coldTime)), time.Second); float64(got) > 1.2*coldRate {
						t.Errorf("%d requests in one second, the cold rate is %d", got, coldRate)
					}
					if got, want := float64(len(coldArrivals)), 0.9*coldRate*(coldTime-time.Second).Seconds(); got < 0.9*want-1 {
						t.Errorf("%.0f requests in total, want nearly %.0f", got, want)
					}
					warmArrivals := u.arrivals(startedAt.Add(coldTime+time.Second), startedAt.Add(8*time.Second))
					if got := maxInSpan(warmArrivals, time.Second); got <= coldRate {
						t.Errorf("%d requests in one second once it is warm", got)
					}
					for _, r := range cluster.records() {
						if r.Code != 0 {
							t.Errorf("request %s: code %d, %s", r.ID, r.Code, r.ErrorText)
						}
					}
				})
			})
		}
	}
}

// After a drain, the upstreams of a hall count as cold until the leader says otherwise, since they can have been restarted.
func TestHallIsColdAfterDrainEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSignalEntry(2)
		cfg := config()
		cfg.Services[0].MaxColdRate = 5
		s.relay.SetConfig(cfg)
		s.placeUpstreams()
		s.relay.SetDrained([]ident.Hall{"a"})
		s.relay.SetDrained(nil)
		if w := s.relay.Limits.Table.Effective("p0"); !w.Capped || w.Rate != 0.9*5 {
			t.Errorf("limit %+v after the drain", w)
		}
		if w := s.relay.Limits.Table.Effective("p1"); w.Limited() {
			t.Errorf("an upstream of another hall has the limit %+v", w)
		}
		s.placeUpstreams()
		if w := s.relay.Limits.Table.Effective("p0"); w.Limited() {
			t.Errorf("limit %+v once it is warm", w)
		}
	})
}

// The home regions of routes and of customers both apply, to first attempts and to retries.
func TestHomeRegions(t *testing.T) {
	for _, tt := range []struct {
		name            string
		route, customer []ident.Region
		first, second   bool
		code            result.Code
	}{
		{"none", nil, nil, true, true, result.OK},
		{"route only", []ident.Region{"east"}, nil, true, false, result.OK},
		{"customer only", nil, []ident.Region{"west", "north"}, false, true, result.OK},
		{"both", []ident.Region{"east", "west"}, []ident.Region{"west"}, false, true, result.OK},
		{"no common region", []ident.Region{"east"}, []ident.Region{"west"}, false, false, result.OutOfHome},
		{"a region without upstreams", []ident.Region{"north"}, nil, false, false, result.OutOfHome},
	} {
		for _, path := range []string{"/safe/x", "/stream/x"} {
			t.Run(tt.name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSignalEntry(2)
					cfg := config()
					for i := range cfg.Routes {
						cfg.Routes[i].HomeRegions = tt.route
					}
					cfg.Customers[0].HomeRegions = tt.customer
					s.relay.Regions = map[ident.Hall]ident.Region{"a": "east", "b": "west"}
					s.relay.SetConfig(cfg)
					s.placeUpstreams()
					startedAt := time.Now()
					for n := range 20 {
						s.send(path, strconv.Itoa(n))
					}
					for i, want := range []bool{tt.first, tt.second} {
						u := s.upstreams[i]
						if got := len(u.arrivals(startedAt, startedAt.Add(time.Hour))) > 0; got != want {
							t.Errorf("upstream %d got requests: %v, want %v", i, got, want)
						}
						u.close()
					}
					s.relay.Wait()
					for _, r := range s.records {
						if r.Code != tt.code {
							t.Errorf("code %d, want %d", r.Code, tt.code)
						}
					}
				})
			})
		}
	}
}

// drainTwoHalls places the first upstream of a pipe entry in hall a and the second one in hall b, which is drained.
func drainTwoHalls(s *testEntry, upstreams []*upstream) {
	delta := roster.Delta{Full: true, Revision: 2}
	for i, name := range []string{"a", "b"} {
		head, plain := ident.Incarnation("h"+strconv.Itoa(i)), ident.Incarnation("p"+strconv.Itoa(i))
		u := roster.Upstream{ID: head, Service: "model", Address: upstreams[i].address(), Slots: 4, Hall: ident.Hall(name)}
		delta.Upstreams = append(delta.Upstreams, u)
		u.ID, u.Service = plain, "plain"
		delta.Upstreams = append(delta.Upstreams, u)
		delta.Groups = append(delta.Groups, roster.Group{
			Name: ident.Group("g" + name), Service: "model", Model: "m", Phase: roster.PhaseOpen, Members: []ident.Incarnation{head},
		})
	}
	s.relay.ApplyRoster(&delta)
	s.relay.SetDrained([]ident.Hall{"b"})
}

// Neither second attempts, continuations of streams, nor attempts beside a silent one are sent to a drained hall.
func TestSecondAttemptsAvoidDrainedHalls(t *testing.T) {
	for _, tt := range []struct {
		name, path string
		respond    responder
	}{
		{"second attempt", "/safe/x", always(func(net.Conn, *http.Request) bool { return false })},
		{"after a refusal", "/unsafe/x", always(respondNotRun)},
		{"continued stream", "/stream/x", always(func(c net.Conn, r *http.Request) bool { return respondStream(c, r, 1, 2, false) })},
		{"beside a silent attempt", "/stream/x", always(func(c net.Conn, _ *http.Request) bool { return stayOpenSilent(c) })},
		{"beside a silent plain attempt", "/safe/x", always(func(c net.Conn, _ *http.Request) bool { return stayOpenSilent(c) })},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			s, upstreams := newPipeEntry(t, tt.respond)
			drainTwoHalls(s, upstreams)
			if got := s.serve(s.request("POST", tt.path, "id", "body")); got.Status == http.StatusOK && got.Complete {
				t.Errorf("%+v", got)
			}
			if n := len(upstreams[1].received()); n != 0 {
				t.Errorf("the drained hall got %d requests", n)
			}
			if n := len(upstreams[0].received()); n == 0 {
				t.Error("no request was sent: the test checks nothing")
			}
		})
	}
}

// A request that another entry forwards is not sent to a hall that is drained at the entry which sends it.
func TestForwardedRequestsAvoidDrainedHalls(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x"} {
		f := newForwardSite(t, respondKind)
		delta := roster.Delta{Full: true, Revision: 2}
		for i, u := range append(f.plain, f.heads...) {
			id := ident.Incarnation("u" + strconv.Itoa(i))
			service := ident.Service("plain")
			if i >= len(f.plain) {
				service = "model"
				delta.Groups = append(delta.Groups, roster.Group{
					Name: ident.Group("g" + id), Service: service, Model: "m", Phase: roster.PhaseOpen, Members: []ident.Incarnation{id},
				})
			}
			delta.Upstreams = append(delta.Upstreams, roster.Upstream{ID: id, Service: service, Address: u.address(), Slots: 4, Hall: "a"})
		}
		f.cut.relay.ApplyRoster(&delta)
		f.other.relay.ApplyRoster(&delta)
		f.other.relay.SetDrained([]ident.Hall{"a"})
		if got := f.cut.do(f.cut.request("POST", path, "id", "body")); got.Status != http.StatusServiceUnavailable {
			t.Errorf("%s: %+v, want status %d", path, got, http.StatusServiceUnavailable)
		}
		if n := f.arrivals(); n != 0 {
			t.Errorf("%s: %d requests reached the drained hall", path, n)
		}
		if f.forwarded.Load() == 0 {
			t.Errorf("%s: no request was forwarded: the test checks nothing", path)
		}
	}
}
