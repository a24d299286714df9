package relay_test

// These tests guard against a request that crashes every upstream that runs it and is repeated by its caller at any entry. If entries keep
// nothing about a request beyond its end, each repetition looks new and crashes two more groups: the first one, and the one to which the
// request moves, together with the other requests of their batches. Entries must therefore share which fingerprints have crashed upstreams,
// and stop sending these requests.

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/sharing"
)

const (
	crashGroups = 12
	// crashAt is when the crashing request first arrives, crashInterval the interval between its repetitions, crashTestDuration the length of
	// the load.
	crashAt           = time.Second
	crashInterval     = 300 * time.Millisecond
	crashTestDuration = 14 * time.Second
	// crashRate is the load of other callers in requests per second.
	crashRate = 60
	// crashRosterDelay is the time from a crash until the roster lacks the upstream, crashRestartDelay until the upstream has a new
	// incarnation.
	crashRosterDelay  = 300 * time.Millisecond
	crashRestartDelay = 3 * time.Second
	// crashGrace is how long after the third crash further runs of the request are not counted, maxLateRuns bounds the runs after that.
	crashGrace  = 500 * time.Millisecond
	maxLateRuns = 3
	crashBody   = "crashes the upstream"
)

// crashScenario is a site with a request that crashes every upstream that runs it.
type crashScenario struct {
	entries int
	// copies is how many entries get the request at the same time.
	copies int
	// lossRate is the fraction of the updates between entries that is lost.
	lossRate float64
	// path is the route of the request.
	path string
	// groups is the number of groups, 0 means crashGroups.
	groups int
}

// crashCluster is a running scenario: the entries, the engines and the times of crashes.
type crashCluster struct {
	scenario  crashScenario
	startedAt time.Time
	entries   []*relay.Relay
	engines   []*iterationEngine
	addresses []string
	byAddress map[string]*iterationEngine
	// losses decides which updates between entries are lost.
	losses *rand.Rand

	mu       sync.Mutex
	revision roster.Revision
	// incarnations is the number of each engine's current incarnation, gone is set while the engine is not in the roster.
	incarnations []int
	gone         []bool
	// crashes are the times when upstreams crashed, runStarts when the crashing request started to run.
	crashes, runStarts []time.Duration
	// records are those of all other requests, lateRecords of those that ended in the last 4 s.
	records     []*relay.Record
	lateRecords []*relay.Record
}

func newCrashCluster(scenario crashScenario) *crashCluster {
	groups := cmp.Or(scenario.groups, crashGroups)
	c := &crashCluster{scenario: scenario, startedAt: time.Now(), incarnations: make([]int, groups), gone: make([]bool, groups)}
	c.byAddress, c.losses = map[string]*iterationEngine{}, rand.New(rand.NewPCG(5, 5))
	for i := range groups {
		e := &iterationEngine{slots: excessSlots}
		e.onRun = func(body string) bool { return c.noteRun(i, body) }
		c.engines = append(c.engines, e)
		c.byAddress["h"+strconv.Itoa(i)] = e
	}
	for i := range scenario.entries {
		c.addresses = append(c.addresses, "10.0.0."+strconv.Itoa(i)+":7")
	}
	for i := range c.addresses {
		c.entries = append(c.entries, c.newEntry(i))
	}
	c.publishRoster()
	return c
}

// newEntry returns a new process of the entry with the index.
func (c *crashCluster) newEntry(i int) *relay.Relay {
	s := relayForEngines(c.byAddress)
	s.SendUpdate = func(n relay.EntryUpdate, to []string) { c.deliver(i, n, to) }
	s.Observe = c.observe
	s.Budget.SetEntries(len(c.addresses))
	s.SetConfig(crashConfig())
	s.SetConfirmed(time.Now())
	s.SetEntries(sharing.New(c.addresses[i], map[ident.Hall][]string{"hall": c.addresses}))
	return s
}

func crashConfig() *httproute.Config {
	cfg := timedConfig()
	e := cfg.Services[1].Engine
	e.Slots, e.TypicalSize = excessSlots, httproute.RequestSize{Prompt: 800, Answer: floodEvents * 5}
	cfg.Routes = []httproute.Route{newRoute("stream", httproute.KindStream, "model", 2), newRoute("once", httproute.KindStream, "model", 1)}
	cfg.Routes[1].Resumable = false
	for i := range cfg.Routes {
		cfg.Routes[i].Aim, cfg.Routes[i].GapAim, cfg.Routes[i].Timeout = stallFirstEventAim, stallGapAim, excessCallerTimeout
	}
	return cfg
}

// deliver sends an update from one entry to others.
func (c *crashCluster) deliver(from int, update relay.EntryUpdate, to []string) {
	for j, address := range c.addresses {
		c.mu.Lock()
		lost := c.losses.Float64() < c.scenario.lossRate
		c.mu.Unlock()
		if j == from || lost || to != nil && !slices.Contains(to, address) {
			continue
		}
		time.AfterFunc(datagramDelay, func() { c.entry(j).Receive(update, netip.MustParseAddrPort(c.addresses[from])) })
	}
}

func (c *crashCluster) entry(i int) *relay.Relay {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[i]
}

// noteRun records that an engine starts to run a request with the body, and reports whether the engine crashes.
func (c *crashCluster) noteRun(i int, body string) bool {
	if !strings.HasPrefix(body, crashBody) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runStarts = append(c.runStarts, time.Since(c.startedAt))
	c.crashes = append(c.crashes, time.Since(c.startedAt))
	c.scheduleRestart(i)
	return true
}

// scheduleRestart takes a crashed engine out of the roster and restarts it later.
func (c *crashCluster) scheduleRestart(i int) {
	time.AfterFunc(crashRosterDelay, func() { c.setGone(i, true) })
	time.AfterFunc(crashRestartDelay, func() {
		c.engines[i].restart()
		c.setGone(i, false)
	})
}

// crashEngine crashes an engine whatever it runs.
func (c *crashCluster) crashEngine(i int) {
	c.engines[i].crash()
	c.scheduleRestart(i)
}

// setGone removes an engine from the roster, or adds it with a new incarnation.
func (c *crashCluster) setGone(i int, gone bool) {
	c.mu.Lock()
	c.gone[i] = gone
	if !gone {
		c.incarnations[i]++
	}
	c.mu.Unlock()
	c.publishRoster()
}

// publishRoster applies the current roster at all entries.
func (c *crashCluster) publishRoster() {
	c.mu.Lock()
	c.revision++
	d := roster.Delta{Full: true, Revision: c.revision}
	for i := range c.engines {
		if c.gone[i] {
			continue
		}
		id := ident.Incarnation("h" + strconv.Itoa(i) + "@" + strconv.Itoa(c.incarnations[i]))
		d.Upstreams = append(d.Upstreams, roster.Upstream{ID: id, Service: "model", Address: "h" + strconv.Itoa(i), Slots: excessSlots})
		d.Groups = append(d.Groups, roster.Group{
			Name: ident.Group("g" + id), Service: "model", Model: "m", Phase: roster.PhaseOpen, Members: []ident.Incarnation{id},
		})
	}
	entries := slices.Clone(c.entries)
	c.mu.Unlock()
	for _, s := range entries {
		s.ApplyRoster(&d)
	}
}

func (c *crashCluster) observe(r *relay.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if strings.HasPrefix(r.ID, "crash") {
		return
	}
	c.records = append(c.records, r)
	if time.Since(c.startedAt) > crashTestDuration-4*time.Second {
		c.lateRecords = append(c.lateRecords, r)
	}
}

// send sends one request to an entry, parts is the value of the header that names the parts of its prompt.
func (c *crashCluster) send(s *relay.Relay, path, id, body, parts string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Host = "h"
	for name, value := range map[string]string{
		"Request": id, "Key": "secret", "Model": "m", "Tokens": "800,40", "Deadline": "6000", "Parts": parts,
	} {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	defer func() { _ = recover() }() // an aborted answer panics, as in net/http
	s.ServeHTTP(w, r)
	return w
}

// run sends requests until the end of the scenario.
func (c *crashCluster) run() {
	random := rand.New(rand.NewPCG(6, 6))
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(crashAt)
		for n := 0; time.Since(c.startedAt) < crashTestDuration; n++ {
			for i := range c.scenario.copies {
				s := c.entries[(n*7+i*3)%len(c.entries)]
				wg.Go(func() { c.send(s, c.scenario.path, "crash-"+strconv.Itoa(n)+"."+strconv.Itoa(i), crashBody, "") })
			}
			time.Sleep(crashInterval)
		}
	})
	for n := 0; time.Since(c.startedAt) < crashTestDuration; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / crashRate * float64(time.Second)))
		s := c.entries[random.IntN(len(c.entries))]
		id := strconv.Itoa(n)
		wg.Go(func() { c.send(s, "/stream/x", id, "body "+id, "") })
	}
	wg.Wait()
}

// lateRuns returns how often the request started to run later than crashGrace after the third crash.
func (c *crashCluster) lateRuns() int {
	if len(c.crashes) < 3 {
		return 0
	}
	n := 0
	for _, at := range c.runStarts {
		if at > c.crashes[2]+crashGrace {
			n++
		}
	}
	return n
}

// playCluster calls play in a bubble while the engines of a new cluster run, and ends them once all have restarted.
func playCluster(t *testing.T, newCluster func() *crashCluster, play func()) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		engines := newCluster().engines
		var running sync.WaitGroup
		for _, e := range engines {
			running.Go(func() { e.run(ctx) })
		}
		play()
		time.Sleep(crashRestartDelay + time.Second)
		for _, e := range engines {
			e.close()
		}
		cancel()
		running.Wait()
	})
}

// runCrash runs a scenario to its end.
func runCrash(t *testing.T, scenario crashScenario) *crashCluster {
	t.Helper()
	var c *crashCluster
	playCluster(t, func() *crashCluster {
		c = newCrashCluster(scenario)
		return c
	}, func() { c.run() })
	return c
}

// A request that has crashed three upstreams reaches at most three more, whichever entries it is repeated at, and other requests are served.
func TestRequestThatCrashesUpstreams(t *testing.T) {
	for name, scenario := range map[string]crashScenario{
		"nine entries":                {entries: 9, copies: 1, path: "/stream/x"},
		"thirty entries":              {entries: 30, copies: 1, path: "/stream/x"},
		"concurrent copies":           {entries: 9, copies: 3, path: "/stream/x"},
		"a third of the updates lost": {entries: 9, copies: 1, lossRate: 0.33, path: "/stream/x"},
		"unrepeatable route":          {entries: 9, copies: 1, path: "/once/x"},
	} {
		t.Run(name, func(t *testing.T) {
			c := runCrash(t, scenario)
			t.Logf("%d upstreams crashed, %d runs later than %v after the third crash", len(c.crashes), c.lateRuns(), crashGrace)
			if c.lateRuns() > maxLateRuns {
				t.Errorf("%d runs later than %v after the third crash, want at most %d", c.lateRuns(), crashGrace, maxLateRuns)
			}
			served := 0
			for _, r := range c.lateRecords {
				if r.Code == 0 {
					served++
				}
			}
			if served < len(c.lateRecords)*95/100 {
				t.Errorf("%d of %d other requests served in the last 4 s, want at least 95%%", served, len(c.lateRecords))
			}
		})
	}
}
