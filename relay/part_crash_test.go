package relay_test

// These tests guard against a prompt part that crashes every upstream that begins an answer on it. The requests with it are never alike, so no
// two of them have the same fingerprint, and they share their customer and their other parts with requests that are served.

import (
	stdcmp "cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/result"
)

const (
	partGroups  = 32
	partEntries = 8
	// partRate is the load of other callers in requests per second, partSubjects how many second parts their prompts have.
	partRate     = 120
	partSubjects = 40
	// partAt is when requests with the part first arrive, partSettled how much earlier all requests end before that.
	partAt      = 3 * time.Second
	partSettled = time.Second
	// partCallerRetries is how often the caller of a request with the part repeats it, each time at another entry.
	partCallerRetries = 2
	// partContact is how long after the fifth crash further arrivals are not counted, partLostGrace how long a decline of other requests is not.
	partContact   = 3 * time.Second
	partLostGrace = 2 * partContact
	// maxLateArrivals bounds the arrivals of requests with the part after partContact.
	maxLateArrivals = 3
)

// partScenario is a site with requests that have a prompt part which crashes upstreams.
type partScenario struct {
	entries int
	// groups is the number of groups, 0 means partGroups.
	groups   int
	lossRate float64
	// rate is the rate of requests with the part, duration how long they come.
	rate     float64
	duration time.Duration
	// header returns the prompt parts of the n-th request with the part. badParts is the number of parts that crash upstreams, 0 means one;
	// the n-th request has the n-th of them, modulo their number.
	header   func(n int) string
	badParts int
	// soundRate is the rate of the other requests, 0 means partRate.
	soundRate float64
	// restartEvery is the interval at which one entry after the other restarts, 0 means that none does.
	restartEvery time.Duration
}

// partCluster is a running partScenario.
type partCluster struct {
	*crashCluster
	scenario partScenario
	random   *rand.Rand

	// arrivals are when requests with each bad part reached upstreams, partCrashes when upstreams crashed under them; the cluster's mutex
	// guards them and what follows.
	arrivals, partCrashes map[string][]time.Duration
	// sound are the outcomes of the other requests at their first attempt.
	sound []soundRequest
}

// soundRequest is a request without the part.
type soundRequest struct {
	at     time.Duration
	served bool
}

func newPartCluster(scenario partScenario) *partCluster {
	c := &partCluster{
		scenario: scenario, random: rand.New(rand.NewPCG(7, 7)),
		arrivals: map[string][]time.Duration{}, partCrashes: map[string][]time.Duration{},
	}
	c.crashCluster = newCrashCluster(crashScenario{
		entries: scenario.entries, lossRate: scenario.lossRate, groups: stdcmp.Or(scenario.groups, partGroups), path: "/stream/x",
	})
	for _, e := range c.engines {
		run := e.onRun
		e.onRun = func(body string) bool {
			crashes := run(body)
			if crashes {
				c.note(c.partCrashes, body)
			}
			return crashes
		}
		e.onArrival = func(body string) {
			if strings.HasPrefix(body, crashBody) {
				c.note(c.arrivals, body)
			}
		}
	}
	return c
}

// note adds the present time to those of the bad part that a request's body names.
func (c *partCluster) note(times map[string][]time.Duration, body string) {
	badPart, _, _ := strings.Cut(body, "/")
	c.mu.Lock()
	defer c.mu.Unlock()
	times[badPart] = append(times[badPart], time.Since(c.startedAt))
}

func (c *partCluster) randomEntry() *relay.Relay {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[c.random.IntN(len(c.entries))]
}

// sendCrashing sends the n-th request with the part, and repeats it at once at other entries while it fails.
func (c *partCluster) sendCrashing(n int) {
	body := fmt.Sprintf("%s %d/%d", crashBody, n%max(1, c.scenario.badParts), n)
	for i := range partCallerRetries + 1 {
		w := c.send(c.randomEntry(), "/stream/x", fmt.Sprintf("crash-%d.%d", n, i), body, c.scenario.header(n))
		if w != nil && w.Code == http.StatusOK {
			return
		}
	}
}

// sendSound sends the n-th request without the part, whose other parts requests with the part may share.
func (c *partCluster) sendSound(n int) {
	at := time.Since(c.startedAt)
	w := c.send(c.randomEntry(), "/stream/x", fmt.Sprint("sound-", n), fmt.Sprint("body ", n), fmt.Sprintf("a0:400,5%d:300,c%d:100", n%partSubjects, n))
	served := w != nil && w.Code == http.StatusOK && strings.Contains(w.Body.String(), "id: "+strconv.Itoa(floodEvents)+"\n")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sound = append(c.sound, soundRequest{at, served})
}

// load sends the requests of the scenario until its end.
func (c *partCluster) load() {
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(partAt)
		random := rand.New(rand.NewPCG(8, 8))
		for n := 0; time.Since(c.startedAt) < c.scenario.duration; n++ {
			wg.Go(func() { c.sendCrashing(n) })
			time.Sleep(time.Duration(random.ExpFloat64() / c.scenario.rate * float64(time.Second)))
		}
	})
	if c.scenario.restartEvery > 0 {
		wg.Go(func() {
			for i := 0; time.Since(c.startedAt) < c.scenario.duration; i++ {
				time.Sleep(c.scenario.restartEvery)
				c.restartEntry(i % len(c.entries))
			}
		})
	}
	random := rand.New(rand.NewPCG(9, 9))
	for n := 0; time.Since(c.startedAt) < c.scenario.duration; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / stdcmp.Or(c.scenario.soundRate, partRate) * float64(time.Second)))
		wg.Go(func() { c.sendSound(n) })
	}
	wg.Wait()
}

// restartEntry replaces an entry by a new process, which receives the quarantines that the leader knows before it is ready; these are those of
// all entries.
func (c *partCluster) restartEntry(i int) {
	s := c.newEntry(i)
	for j := range c.entries {
		s.ApplyQuarantineReports(c.entry(j).Quarantine.Kept(time.Now()), netip.AddrPort{})
	}
	c.mu.Lock()
	c.entries[i] = s
	c.mu.Unlock()
	c.publishRoster()
}

// lateArrivals returns how many requests with one bad part, at most, reached upstreams later than partContact after the fifth crash under them.
func (c *partCluster) lateArrivals() int {
	most := 0
	for badPart, arrivals := range c.arrivals {
		n := 0
		for _, at := range arrivals {
			if crashes := c.partCrashes[badPart]; len(crashes) >= 5 && at > crashes[4]+partContact {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// servedFraction returns the fraction of the requests without the part that were served, of those that came in [from, to).
func (c *partCluster) servedFraction(from, to time.Duration) float64 {
	served, total := 0, 0
	for _, r := range c.sound {
		if r.at < from || r.at >= to {
			continue
		}
		total++
		if r.served {
			served++
		}
	}
	return float64(served) / float64(max(1, total))
}

// runPart runs play on a cluster with running engines.
func runPart(t *testing.T, scenario partScenario, play func(c *partCluster)) *partCluster {
	t.Helper()
	var c *partCluster
	playCluster(t, func() *crashCluster {
		c = newPartCluster(scenario)
		return c.crashCluster
	}, func() { play(c) })
	return c
}

// Requests with a part that has crashed five upstreams reach at most three more, wherever the part stands, and other requests are served.
func TestPromptPartThatCrashesUpstreams(t *testing.T) {
	inTheMiddle := func(n int) string { return fmt.Sprintf("a0:400,bad:300,d%d:100", n) }
	for name, scenario := range map[string]partScenario{
		"in the middle":                     {header: inTheMiddle},
		"first":                             {header: func(n int) string { return fmt.Sprintf("bad:400,5%d:300,d%d:100", n%partSubjects, n) }},
		"beside the same parts":             {header: func(n int) string { return fmt.Sprintf("a0:400,51:150,bad:150,52:50,d%d:100", n) }},
		"beside a part of few requests":     {header: func(n int) string { return fmt.Sprintf("bad:400,5%d:300,d%d:100", 7, n) }, soundRate: 40},
		"few other requests":                {header: inTheMiddle, soundRate: 3},
		"in the middle, seldom":             {header: inTheMiddle, rate: 0.7, duration: 30 * time.Second},
		"a third of the updates lost":       {header: inTheMiddle, lossRate: 0.33},
		"thirty entries":                    {header: inTheMiddle, entries: 30},
		"entries restart one after another": {header: inTheMiddle, restartEvery: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scenario.entries = stdcmp.Or(scenario.entries, partEntries)
			scenario.rate = stdcmp.Or(scenario.rate, 6)
			scenario.duration = stdcmp.Or(scenario.duration, 22*time.Second)
			c := runPart(t, scenario, (*partCluster).load)
			if len(c.crashes) == 0 {
				t.Fatal("no upstream crashed")
			}
			lastCounted := c.crashes[min(len(c.crashes), 5)-1]
			before, after := c.servedFraction(0, partAt-partSettled), c.servedFraction(lastCounted+partLostGrace, scenario.duration)
			t.Logf("%d upstreams crashed, %d late arrivals, %.2f of the other requests served before, %.2f after", len(c.crashes), c.lateArrivals(), before, after)
			if c.lateArrivals() > maxLateArrivals {
				t.Errorf("%d requests reached upstreams later than %v after the fifth crash, want at most %d", c.lateArrivals(), partContact, maxLateArrivals)
			}
			if after < 0.95*before {
				t.Errorf("%.2f of the other requests served, %.2f before the crashes, want at least 95%% of that", after, before)
			}
		})
	}
}

// Upstreams that crash at the same moments for another reason, under requests that wait for their first event, leave no part
// quarantined, and hardly any request is refused for one meanwhile.
func TestCrashesWithoutABadPart(t *testing.T) {
	for name, crashing := range map[string]int{"a third of the groups": partGroups / 3, "three quarters": partGroups * 3 / 4, "all groups": partGroups} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const duration, interval, stalledBefore, rounds = 21 * time.Second, 4 * time.Second, 150 * time.Millisecond, 4
			c := runPart(t, partScenario{entries: partEntries}, func(c *partCluster) {
				var wg sync.WaitGroup
				wg.Go(func() {
					for range rounds {
						time.Sleep(interval - stalledBefore)
						// Requests that arrive meanwhile wait for their first event.
						for i := range crashing {
							c.engines[i].stall(stalledBefore)
						}
						time.Sleep(stalledBefore)
						for i := range crashing {
							c.crashEngine(i)
							time.Sleep(time.Millisecond)
						}
					}
				})
				for n := range int(duration.Seconds() * partRate) {
					wg.Go(func() { c.sendSound(n) })
					time.Sleep(time.Second / partRate)
				}
				wg.Wait()
			})
			before, after := c.servedFraction(0, interval/2), c.servedFraction(duration-interval/4, duration)
			if after < 0.95*before {
				t.Errorf("%.2f of the requests served after the last crash, %.2f before, want at least 95%% of that", after, before)
			}
			parts := 0
			for _, s := range c.entries {
				parts += s.Quarantine.QuarantinedLen(c.startedAt.Add(duration))
			}
			if parts > 0 {
				t.Errorf("%d quarantines at the end, want none", parts)
			}
			refused := 0
			for _, r := range c.records {
				if r.Code == result.PartQuarantined {
					refused++
				}
			}
			if refused > len(c.records)/20 {
				t.Errorf("%d of %d requests were refused because of a part, want at most 5%%", refused, len(c.records))
			}
		})
	}
}

// quarantineBadPart makes an entry quarantine the part "bad", by reports of another one.
func quarantineBadPart(s *relay.Relay) {
	list := &quarantine.List{Rule: quarantine.DefaultRule()}
	now := time.Now().Add(-time.Second)
	for n := range 3 {
		list.Crashed(now.Add(time.Duration(n)*200*time.Millisecond), quarantine.PartFingerprint("model", "m", "bad"), quarantine.CrashID(n))
	}
	s.ApplyQuarantineReports(list.ToSend(time.Now(), 1), netip.AddrPort{})
}

// A request with a quarantined part is refused at once as not run, with the remaining time, also while it is queued.
func TestRefusalOfAQuarantinedPart(t *testing.T) {
	const queuedFor, groups = 100 * time.Millisecond, 2
	runPart(t, partScenario{entries: 1, groups: groups}, func(c *partCluster) {
		s := c.entries[0]
		var records []*relay.Record
		s.Observe = func(r *relay.Record) {
			c.mu.Lock()
			defer c.mu.Unlock()
			if strings.HasPrefix(r.ID, "crash") {
				records = append(records, r)
			}
		}
		for _, e := range c.engines {
			e.stall(time.Second)
		}
		var wg sync.WaitGroup
		for n := range 2 * groups * excessSlots {
			wg.Go(func() { c.sendSound(n) })
		}
		synctest.Wait()
		var answers [2]*httptest.ResponseRecorder
		send := func(i int) {
			answers[i] = c.send(s, "/once/x", fmt.Sprint("crash-", i), crashBody, "a0:1,BAD:1,own:1")
		}
		wg.Go(func() { send(0) })
		time.Sleep(queuedFor)
		quarantineBadPart(s)
		synctest.Wait()
		send(1)
		for i, w := range answers {
			if w == nil {
				t.Fatalf("request %d has no answer", i)
			}
			want := `{"result-code":2025,"result":"prompt-part-quarantined","not-run":true}` + "\n"
			if diff := cmp.Diff(want, w.Body.String()); w.Code != http.StatusServiceUnavailable || diff != "" {
				t.Errorf("request %d: status %d, body (-want +got):\n%s", i, w.Code, diff)
			}
			if after, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64); err != nil || after < 1 || after > 3 {
				t.Errorf("request %d: Retry-After %q, want the remaining 1.4 s and up to half of it", i, w.Header().Get("Retry-After"))
			}
		}
		if len(records) != 2 || len(c.arrivals) > 0 || records[0].Queued != queuedFor || records[0].Total > queuedFor || records[1].Total > 0 {
			t.Errorf("%d records, %d requests at upstreams, want both refused at once: %+v", len(records), len(c.arrivals), records)
		}
		wg.Wait()
	})
}

// A stream that has begun is continued at another upstream although one of its parts is quarantined meanwhile, which clears the part.
func TestBegunStreamWithAQuarantinedPart(t *testing.T) {
	runPart(t, partScenario{entries: 1}, func(c *partCluster) {
		s := c.entries[0]
		var w *httptest.ResponseRecorder
		var wg sync.WaitGroup
		wg.Go(func() { w = c.send(s, "/stream/x", "sound", "body", "bad:400,own:100") })
		time.Sleep(150 * time.Millisecond)
		quarantineBadPart(s)
		for i := range c.engines {
			if c.engines[i].load() > 0 {
				c.crashEngine(i)
			}
		}
		wg.Wait()
		if w == nil || !strings.Contains(w.Body.String(), "id: "+strconv.Itoa(floodEvents)+"\n") {
			t.Error("the stream is not complete")
		}
		if n := s.Quarantine.QuarantinedLen(time.Now()); n > 0 {
			t.Errorf("%d quarantines after an answer has begun", n)
		}
	})
}
