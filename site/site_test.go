package site_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/replicaset"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/transport"
)

// conditionTimeout is how long a condition may take on a busy machine; no verdict depends on how long it took.
const conditionTimeout = 60 * time.Second

// daemons are the processes of a site on loopback addresses, with one folder each.
type daemons struct {
	t       testing.TB
	dir     string
	port    int
	ports   map[string]int
	seeds   []string
	running map[string]*running
	// calls handles the calls of upstreams and operators, nil if there are none.
	calls http.Handler
	// log gets the log lines of control daemons, nil to drop them.
	log func(host, line string)
	// dial opens the connections of daemons that are started, nil for TCP.
	dial transport.Dial
}

type running struct {
	control *site.Control
	entry   *site.Entry
	stop    context.CancelFunc
	done    chan struct{}
	// failsWrites lets a control daemon's writes to its data folder fail.
	failsWrites atomic.Bool
}

func newDaemons(t testing.TB) *daemons {
	t.Helper()
	d := &daemons{t: t, dir: t.TempDir(), ports: map[string]int{}, running: map[string]*running{}}
	hosts := []string{"127.0.1.1", "127.0.1.2", "127.0.1.3", "127.0.1.4", "127.0.1.5", "127.0.1.6", "127.0.2.1"}
	d.port = freePort(t, hosts...)
	for _, host := range hosts {
		d.ports[host] = freePort(t, host)
	}
	for _, host := range []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"} {
		d.seeds = append(d.seeds, d.address(host))
	}
	t.Cleanup(func() {
		for host := range d.running {
			d.kill(host)
		}
	})
	return d
}

const (
	// firstTestPort and the next testPorts are below the ports that systems choose for outgoing connections and for port 0, which another
	// test could take before the daemon listens.
	firstTestPort = 15_000
	testPorts     = 17_000
)

// freePort returns a port that is free on all hosts.
func freePort(t testing.TB, hosts ...string) int {
	t.Helper()
	for range 100 {
		port := firstTestPort + rand.IntN(testPorts)
		if portIsFree(port, hosts) {
			return port
		}
	}
	t.Fatal("no port is free")
	return 0
}

func portIsFree(port int, hosts []string) bool {
	for _, host := range hosts {
		ln, err := net.Listen("tcp", net.JoinHostPort(host, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		ln.Close()
	}
	return true
}

func (d *daemons) address(host string) string {
	return fmt.Sprintf("%s:%d", host, d.ports[host])
}

func (d *daemons) settings(host string, first bool) *settings.Site {
	cfg := settings.DefaultSite()
	cfg.Name = "daemon"
	cfg.Listen.Host = host
	cfg.PeerPort = d.port
	cfg.Seeds = d.seeds
	cfg.FirstStart = first
	cfg.Halls = map[ident.Hall]ident.Region{"hall-0": "east", "hall-1": "east", "hall-2": "east"}
	return &cfg
}

func (d *daemons) start(host string, r *running, run func(ctx context.Context) error) {
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	d.running[host] = r
	go func() {
		defer close(r.done)
		if err := run(ctx); err != nil && !r.failsWrites.Load() {
			d.t.Errorf("%s: %v", host, err)
		}
	}()
}

func (d *daemons) startControl(host string, first bool) {
	d.t.Helper()
	cfg := d.settings(host, first)
	cfg.Listen.Control = d.address(host)
	cfg.DataFolder = filepath.Join(d.dir, host)
	c, err := site.NewControl(cfg)
	if err != nil {
		d.t.Fatal(err)
	}
	c.DecodeConfig = decodeConfig
	if d.dial != nil {
		c.Dial = d.dial
	}
	c.SendOrder = func(context.Context, *replicaset.Order) replicaset.Outcome { return replicaset.OutcomeRefused }
	c.Handler = http.NotFoundHandler()
	if d.calls != nil {
		c.Handler = d.calls
	}
	if d.log != nil {
		c.Log = funcr.New(func(_, line string) { d.log(host, line) }, funcr.Options{})
	}
	c.LoadSettings = func() (*settings.Site, error) { return cfg, nil }
	r := &running{control: c, done: make(chan struct{})}
	c.FailWrites(&r.failsWrites)
	d.start(host, r, c.Run)
}

// waitForVoters waits until a daemon knows n voters.
func (d *daemons) waitForVoters(host string, n int) {
	d.t.Helper()
	d.waitUntil(fmt.Sprintf("%d voters", n), func() bool { return d.running[host].control.Voters() == n })
}

func (d *daemons) startEntry(host string) {
	cfg := d.settings(host, false)
	cfg.Listen.Callers = d.address(host)
	dial := d.dial
	if dial == nil {
		dial = transport.TCP()
	}
	e := site.NewEntry(cfg, relay.HeaderNames{RequestID: "Request", Deadline: "Deadline", Key: "Key", Customer: "Customer", Incarnation: "Life"}, dial)
	e.DecodeConfig = decodeConfig
	e.ReadyHandler = func(func() bool) http.Handler { return http.NotFoundHandler() }
	e.LoadSettings = func() (*settings.Site, error) { return cfg, nil }
	d.start(host, &running{entry: e, done: make(chan struct{})}, e.Run)
}

// kill stops a daemon and waits for its end.
func (d *daemons) kill(host string) {
	if r := d.running[host]; r != nil {
		r.stop()
		<-r.done
		delete(d.running, host)
	}
}

// get requests a path of an entry, at the host of every route.
func (d *daemons) get(host, path string) string {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.address(host)+path, http.NoBody)
	if err != nil {
		d.t.Fatal(err)
	}
	r.Host = "h"
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// routed reports whether an entry has the route of a version, which has no upstream to serve it.
func (d *daemons) routed(host string, version httproute.Version) bool {
	return strings.Contains(d.get(host, fmt.Sprintf("/v%d/x", version)), `"result":"no-whole-group"`)
}

// waitUntil waits for a condition and fails the test when it never holds.
func (d *daemons) waitUntil(condition string, holds func() bool) {
	d.t.Helper()
	for deadline := time.Now().Add(conditionTimeout); time.Now().Before(deadline); {
		if holds() {
			return
		}
		wait := time.NewTimer(20 * time.Millisecond)
		<-wait.C
	}
	d.t.Fatalf("never: %s", condition)
}

// configOf encodes a configuration of these tests: its version in digits.
func configOf(version httproute.Version) []byte {
	return []byte(strconv.FormatUint(uint64(version), 10))
}

// decodeConfig decodes that form: a configuration with one public route, which no upstream serves.
func decodeConfig(body []byte) (*httproute.Config, error) {
	version, err := strconv.ParseUint(string(body), 10, 64)
	if err != nil {
		return nil, err
	}
	return &httproute.Config{
		Version: httproute.Version(version),
		Services: []httproute.Service{{Name: "s"}, {Name: ident.Service(fmt.Sprintf("only-%d", version))}, {Name: "m", Engine: &httproute.Engine{
			LoadsPerSecond: 9, ConcurrentLoads: 9, Models: []httproute.Model{{Name: "one", Size: 1, InitialShare: 1, TimeFactor: 1, LoadTime: time.Hour}},
		}}},
		Routes: []httproute.Route{{
			Name: "r", Host: "h", Prefix: fmt.Sprintf("/v%d/", version), Kind: httproute.KindSafe, Timeout: time.Second, Public: true,
			MaxAttempts: 1, Split: []httproute.Share{{Service: "s", Weight: 1}},
		}},
	}, nil
}

// offer asks a daemon to accept a version.
func (d *daemons) offer(host string, version httproute.Version) error {
	return d.running[host].control.Replace(context.Background(), version, configOf(version))
}

func (d *daemons) waitUntilReplaced(host string, version httproute.Version) {
	d.t.Helper()
	d.waitUntil(fmt.Sprintf("version %d is accepted", version), func() bool { return d.offer(host, version) == nil })
}

func (d *daemons) waitUntilRead(host string, version httproute.Version) {
	d.t.Helper()
	d.waitUntil(fmt.Sprintf("version %d is read", version), func() bool {
		body, err := d.running[host].control.Read(context.Background())
		return err == nil && string(body) == string(configOf(version))
	})
}

// A site forms from its seeds, grows, loses folders and members, and restarts as a whole; its accepted configuration
// survives each of these.
func TestControlQuorumFormsAndRecovers(t *testing.T) {
	d := newDaemons(t)
	// The last seed starts last, and two of the daemons are not seeds.
	for _, host := range []string{"127.0.1.5", "127.0.1.2", "127.0.1.1", "127.0.1.4", "127.0.1.3"} {
		d.startControl(host, true)
	}
	d.waitUntilReplaced("127.0.1.4", 3)
	for host := range d.running {
		d.waitUntilRead(host, 3)
	}
	d.waitForVoters("127.0.1.5", 5)
	d.startEntry("127.0.2.1")
	d.waitUntil("the entry has the configuration", func() bool {
		return d.routed("127.0.2.1", 3)
	})

	t.Log("two folders are lost at once")
	for _, host := range []string{"127.0.1.1", "127.0.1.2"} {
		d.kill(host)
		if err := os.RemoveAll(filepath.Join(d.dir, host)); err != nil {
			t.Fatal(err)
		}
	}
	d.waitUntilReplaced("127.0.1.5", 7)
	for _, host := range []string{"127.0.1.1", "127.0.1.2"} {
		d.startControl(host, false)
	}
	d.waitUntilRead("127.0.1.1", 7)
	d.waitUntil("both vote in place of their old folders", func() bool {
		return d.running["127.0.1.1"].control.IsVoter() && d.running["127.0.1.2"].control.IsVoter() && d.running["127.0.1.5"].control.Voters() == 5
	})

	t.Log("two others are lost for good, one is replaced at another address")
	d.kill("127.0.1.3")
	d.startControl("127.0.1.6", false)
	d.waitUntilReplaced("127.0.1.6", 9)
	d.waitUntil("the replacement votes", func() bool { return d.running["127.0.1.6"].control.IsVoter() })
	d.kill("127.0.1.4")
	d.waitUntilReplaced("127.0.1.6", 12)

	t.Log("all restart")
	hosts := []string{"127.0.1.1", "127.0.1.2", "127.0.1.5", "127.0.1.6"}
	var wg sync.WaitGroup
	for _, host := range hosts {
		r := d.running[host]
		wg.Go(func() { r.stop(); <-r.done })
	}
	wg.Wait()
	for _, host := range hosts {
		d.startControl(host, false)
	}
	for _, host := range hosts {
		d.waitUntilRead(host, 12)
	}
	d.waitUntilReplaced("127.0.1.2", 9) // An older version is acknowledged and changes nothing.
	d.waitUntilRead("127.0.1.5", 12)
	d.waitUntil("the entry follows", func() bool {
		return d.routed("127.0.2.1", 12) && !d.routed("127.0.2.1", 3)
	})
}

// An empty folder never forms a quorum of its own after the first start. Another site that may form shows when there
// was time enough for that.
func TestEmptyFoldersFormNoSecondQuorum(t *testing.T) {
	hosts := []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"}
	d, other := newDaemons(t), newDaemons(t)
	for _, host := range hosts {
		d.startControl(host, false)
	}
	for _, host := range hosts {
		other.startControl(host, true)
	}
	other.waitUntilReplaced(hosts[0], 1)
	for _, host := range hosts {
		if n := d.running[host].control.Voters(); n != 0 {
			t.Errorf("%s knows of %d voters", host, n)
		}
		if d.offer(host, 1) == nil {
			t.Errorf("%s accepted a configuration without a quorum", host)
		}
	}
}

// An upstream can report to any control daemon; a daemon without a majority acknowledges nothing.
func TestReportsThroughAnyControlDaemon(t *testing.T) {
	d := newDaemons(t)
	for _, host := range []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"} {
		d.startControl(host, true)
	}
	d.waitUntilReplaced("127.0.1.1", 1)
	report := func(host string) (string, error) {
		r := &roster.Report{Upstream: roster.Upstream{ID: "i-1", Service: "s", Address: "127.0.0.1:1", Slots: 4}, Sequence: 1}
		return d.running[host].control.Report(context.Background(), r)
	}
	leader := ""
	for _, host := range []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"} {
		d.waitUntil("a report is acknowledged", func() bool {
			later, err := report(host)
			if err == nil && later == "" {
				leader = host
			}
			return err == nil
		})
	}
	if leader == "" {
		t.Fatal("every daemon names another one for later reports")
	}
	for host := range d.running {
		if host != leader {
			d.kill(host)
		}
	}
	d.waitUntil("a daemon without a majority stops acknowledging", func() bool {
		_, err := report(leader)
		return result.CodeOf(err) == result.NoLeader
	})
	if _, err := d.running[leader].control.Read(context.Background()); result.CodeOf(err) != result.NoLeader {
		t.Errorf("a read without a majority: %v", err)
	}
}

// An upstream that reported before its service was declared is in the roster as soon as the service is, not from its
// next report on.
func TestReportBeforeServiceIsDeclared(t *testing.T) {
	d := newDaemons(t)
	hosts := []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"}
	for _, host := range hosts {
		d.startControl(host, true)
	}
	d.waitUntilReplaced(hosts[0], 1)
	for i, host := range hosts {
		r := &roster.Report{
			Upstream: roster.Upstream{ID: ident.Incarnation(fmt.Sprintf("i-%d", i)), Service: "only-2", Address: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: 4},
			Sequence: 1,
		}
		d.waitUntil("the report is acknowledged", func() bool {
			_, err := d.running[host].control.Report(context.Background(), r)
			return err == nil
		})
	}
	d.waitUntilReplaced(hosts[1], 2)
	d.waitUntil("the upstreams are in the roster", func() bool {
		s, err := site.Inspect(context.Background(), transport.TCP(), d.peers(hosts...))
		return err == nil && len(s.Upstreams) == len(hosts)
	})
}

// Any control daemon shows operators the leader's state and decisions; without a leader none does.
func TestInspect(t *testing.T) {
	d := newDaemons(t)
	hosts := []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"}
	peers := func(host string) string { return fmt.Sprintf("%s:%d", host, d.port) }
	for _, host := range hosts {
		d.startControl(host, true)
	}
	d.waitUntilReplaced(hosts[0], 1)
	d.waitUntil("an upstream's report is acknowledged", func() bool {
		r := &roster.Report{Upstream: roster.Upstream{ID: "i-1", Service: "m", Address: "127.0.0.1:1", Domain: "d", Slots: 4}, Sequence: 1}
		_, err := d.running[hosts[0]].control.Report(context.Background(), r)
		return err == nil
	})
	// A report for a service that is not declared does not replace the upstream at the same address.
	other := &roster.Report{Upstream: roster.Upstream{ID: "i-2", Service: "odd", Address: "127.0.0.1:1", Domain: "d", Slots: 4}, Sequence: 1}
	if _, err := d.running[hosts[0]].control.Report(context.Background(), other); err != nil {
		t.Errorf("a report for an undeclared service: %v", err)
	}
	for _, host := range hosts {
		var s *site.State
		d.waitUntil("a group is forming", func() bool {
			var err error
			s, err = site.Inspect(context.Background(), transport.TCP(), []string{peers("127.0.2.1"), peers(host)})
			return err == nil && len(s.Groups) == 1 && len(s.Decisions) == 1
		})
		g := s.Groups[0]
		if g.Model != "one" || g.Phase != roster.PhaseForming || len(g.Members) != 1 || g.Members[0] != "i-1" {
			t.Errorf("%s: group %+v", host, g)
		}
		if d := s.Decisions[0]; d.Group != g.Name || d.Decision != "begun" || d.Reason == "" {
			t.Errorf("%s: decision %+v", host, d)
		}
		if want := fmt.Sprintf("member 1 of 1 of %s, which is forming", g.Name); len(s.Upstreams) != 1 || s.Upstreams[0].Place != want {
			t.Errorf("%s: upstreams %+v, want %s", host, s.Upstreams, want)
		}
		if len(s.Models) != 1 || s.Models[0].Service != "m" || s.Models[0].Why == "" || s.Config != 1 || s.Leader == "" {
			t.Errorf("%s: %+v", host, s)
		}
	}
	d.kill(hosts[1])
	d.kill(hosts[2])
	d.waitUntil("a daemon without a majority returns no state", func() bool {
		_, err := site.Inspect(context.Background(), transport.TCP(), []string{peers(hosts[0])})
		return result.CodeOf(err) == result.NoLeader
	})
}

// A call that waits for updates is answered when the leadership ends, so that its caller calls the next leader without
// waiting for the hold time.
func TestSyncCallsEndWithLeadership(t *testing.T) {
	d := newDaemons(t)
	hosts := []string{"127.0.1.1", "127.0.1.2", "127.0.1.3"}
	for _, host := range hosts {
		d.startControl(host, true)
	}
	d.waitUntilReplaced(hosts[0], 1)
	var leader string
	d.waitUntil("a leader is known", func() bool {
		s, err := site.Inspect(context.Background(), transport.TCP(), d.peers(hosts...))
		if err != nil {
			return false
		}
		leader = s.Leader
		return true
	})
	for i, address := range d.peers(hosts...) {
		if address == leader {
			if !d.running[hosts[i]].control.WaitersWokenAtLeadershipEnd() {
				t.Error("waiting calls are not woken when the leadership ends")
			}
		}
	}
}
