package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"

	"github.com/dunlinquay/dunlinquay/caller"
	"github.com/dunlinquay/dunlinquay/daemon"
	"github.com/dunlinquay/dunlinquay/engine"
	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/keys"
	"github.com/dunlinquay/dunlinquay/operator"
	"github.com/dunlinquay/dunlinquay/service"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/standin"
	"github.com/dunlinquay/dunlinquay/vmlist"
)

// memoryNetwork connects daemons and engines in memory, so that they run in a synctest bubble under its clock.
type memoryNetwork struct {
	mu          sync.Mutex
	listeners   map[string]*memoryListener
	conns       map[*memoryConn]bool
	partitioned map[ident.Daemon]bool
}

type memoryListener struct {
	network *memoryNetwork
	address string
	backlog chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

type memoryAddress string

func (a memoryAddress) Network() string { return "memory" }
func (a memoryAddress) String() string  { return string(a) }

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
	})
	return nil
}

func (l *memoryListener) Addr() net.Addr { return memoryAddress(l.address) }

// memoryConn is the dialing end of a connection; from and to are empty unless that end belongs to a daemon.
type memoryConn struct {
	net.Conn
	from, to ident.Daemon
}

func newMemoryNetwork() *memoryNetwork {
	return &memoryNetwork{listeners: map[string]*memoryListener{}, conns: map[*memoryConn]bool{}, partitioned: map[ident.Daemon]bool{}}
}

func (w *memoryNetwork) listen(address string) (net.Listener, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listeners[address] != nil {
		return nil, errors.New("address in use")
	}
	l := &memoryListener{network: w, address: address, backlog: make(chan net.Conn, 64), closed: make(chan struct{})}
	w.listeners[address] = l
	return l, nil
}

// daemonAtPeerAddress returns the daemon with that peer address, or "" if it is another address.
func daemonAtPeerAddress(address string) ident.Daemon {
	if name, ok := strings.CutSuffix(address, ":3"); ok {
		return ident.Daemon(name)
	}
	return ""
}

var errRefused = &net.OpError{Op: "dial", Net: "memory", Err: errors.New("refused")}

func (w *memoryNetwork) dial(from ident.Daemon) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		to := daemonAtPeerAddress(address)
		w.mu.Lock()
		l := w.listeners[address]
		partitioned := to != "" && (w.partitioned[from] || w.partitioned[to])
		w.mu.Unlock()
		if partitioned {
			// A connection across the partition is neither opened nor refused.
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: "memory", Err: ctx.Err()}
		}
		if l == nil {
			return nil, errRefused
		}
		one, two := net.Pipe()
		p := &memoryConn{Conn: one, from: from, to: to}
		select {
		case l.backlog <- two:
		case <-l.closed:
			return nil, errRefused
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.conns[p] = true
		return p, nil
	}
}

func (w *memoryNetwork) setPartitioned(name ident.Daemon, partitioned bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned[name] = partitioned
	for p := range w.conns {
		if partitioned && p.to != "" && (p.from == name || p.to == name) {
			p.Close()
			delete(w.conns, p)
		}
	}
}

// testCluster runs three daemons and some engines on a memoryNetwork in one synctest bubble.
type testCluster struct {
	t                        *testing.T
	network                  *memoryNetwork
	folder                   string
	names                    []ident.Daemon
	running                  map[ident.Daemon]*runningDaemon
	engines                  map[ident.VM]*engine.StandIn
	service                  *service.StandIn
	customerKey, operatorKey string
	http                     *http.Client
	upstreams                []settings.Upstream
	editSettings             func(cfg *settings.Settings)

	platform     *standin.Server
	platformList []vmlist.ListedVM

	mu sync.Mutex
	// runCount is how many times each prompt was run.
	runCount map[string]int
	// ranOn is the VM that ran each prompt last.
	ranOn map[string]ident.VM
	// logLines holds the log lines of all daemons.
	logLines strings.Builder
}

type runningDaemon struct {
	daemon *daemon.Daemon
	cancel context.CancelFunc
	done   chan error
}

const serviceName = "payments"

// newTestCluster prepares daemons a, b and c and starts engines; "d1: w1 w2" places engines w1 and w2 in domain d1.
func newTestCluster(t *testing.T, domains ...string) *testCluster {
	t.Helper()
	s := &testCluster{
		t: t, network: newMemoryNetwork(), folder: t.TempDir(), names: []ident.Daemon{"a", "b", "c"}, running: map[ident.Daemon]*runningDaemon{},
		engines: map[ident.VM]*engine.StandIn{}, service: service.NewStandIn(), customerKey: keys.New(), operatorKey: keys.New(), runCount: map[string]int{}, ranOn: map[string]ident.VM{},
	}
	s.http = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return s.network.dial("")(ctx, address)
		},
	}}
	s.platform = standin.NewServer()
	s.platform.Listen = s.network.listen
	s.noError(s.platform.Serve("platform:1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(vmlist.List{VMs: s.platformList})
	})))
	s.service.Listen = s.network.listen
	s.noError(s.service.Start(serviceName + ":1"))
	for _, domain := range domains {
		name, list, _ := strings.Cut(domain, ": ")
		for _, vm := range strings.Fields(list) {
			s.startEngine(ident.VM(vm), ident.Domain(name))
		}
	}
	return s
}

func (s *testCluster) noError(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *testCluster) startEngine(name ident.VM, domain ident.Domain) {
	e := engine.NewStandIn()
	e.Listen = s.network.listen
	e.LoadTime = 100 * time.Millisecond
	e.OnRun = func(_ ident.Request, prompt string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.runCount[prompt]++
		s.ranOn[prompt] = name
	}
	s.noError(e.Start(string(name) + ":1"))
	s.engines[name] = e
	s.upstreams = append(s.upstreams, settings.Upstream{
		Name: name, Address: string(name) + ":1", Hall: "h", Domain: domain, Accelerators: 8, ChecksOrders: true,
		Labels: map[string]string{"domain-label": string(domain)},
	})
}

func (s *testCluster) settings(name ident.Daemon) *settings.Settings {
	cfg := settings.Default()
	cfg.Name, cfg.Region, cfg.Hall = name, "r", "h"
	cfg.Addresses = settings.Addresses{Callers: string(name) + ":1", Operators: string(name) + ":2", Peers: string(name) + ":3"}
	cfg.DataFolder = filepath.Join(s.folder, string(name))
	cfg.ControlMembers = s.names
	for _, other := range s.names {
		if other != name {
			cfg.Peers = append(cfg.Peers, settings.Peer{Name: other, Address: string(other) + ":3", Hall: "h"})
		}
	}
	cfg.Customers = []settings.Customer{{Name: "cust", KeyHashes: []string{keys.Hash(s.customerKey)}}}
	cfg.Operators = []settings.Operator{{Name: "op", KeyHash: keys.Hash(s.operatorKey)}}
	cfg.Upstreams = s.upstreams
	cfg.Platform = settings.Platform{URL: "http://platform:1", Interval: settings.Duration(500 * time.Millisecond)}
	cfg.Services = []settings.Service{{Name: serviceName, Addresses: []string{serviceName + ":1"}, NotRepeatable: []string{"POST /charges"}}}
	if s.editSettings != nil {
		s.editSettings(&cfg)
	}
	return &cfg
}

func (s *testCluster) start(names ...ident.Daemon) {
	s.t.Helper()
	for _, name := range names {
		d, err := daemon.New(s.settings(name), daemon.Network{Listen: s.network.listen, Dial: s.network.dial(name)})
		s.noError(err)
		d.Log = funcr.NewJSON(s.appendLogLine, funcr.Options{Verbosity: 1})
		ctx, cancel := context.WithCancel(s.t.Context())
		r := &runningDaemon{daemon: d, cancel: cancel, done: make(chan error, 1)}
		go func() { r.done <- d.Run(ctx) }()
		s.running[name] = r
	}
}

func (s *testCluster) appendLogLine(line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logLines.WriteString(line + "\n")
}

func (s *testCluster) logText() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.logLines.String()
}

// kill ends daemons without a planned stop.
func (s *testCluster) kill(names ...ident.Daemon) {
	for _, name := range names {
		if r := s.running[name]; r != nil {
			r.cancel()
			if err := <-r.done; err != nil {
				s.t.Errorf("%s: Run returned %v", name, err)
			}
			delete(s.running, name)
		}
	}
}

// stop ends daemons, engines and servers; a bubble cannot end before all of its goroutines have.
func (s *testCluster) stop() {
	s.kill(s.names...)
	for _, e := range s.engines {
		e.Resume()
		e.Kill()
	}
	s.service.Kill()
	s.platform.Kill()
	s.http.CloseIdleConnections()
	time.Sleep(time.Minute)
}

func (s *testCluster) client(name ident.Daemon) *operator.Client {
	c := operator.NewClient("http://"+string(name)+":2", s.operatorKey)
	c.HTTP = s.http
	return c
}

// waitFor waits in virtual time until condition holds, and fails the test after limit.
func (s *testCluster) waitFor(description string, limit time.Duration, condition func() bool) {
	s.t.Helper()
	for start := time.Now(); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Since(start) > limit {
			for _, name := range s.names {
				s.t.Logf("%s: %+v", name, s.status(name))
			}
			s.t.Fatalf("%s: not within %s", description, limit)
		}
	}
}

func (s *testCluster) status(name ident.Daemon) operator.Status {
	st, err := s.client(name).Status(s.t.Context())
	if err != nil {
		return operator.Status{}
	}
	return st
}

func (s *testCluster) waitServing(names ...ident.Daemon) {
	s.t.Helper()
	s.waitFor("daemons serving", 20*time.Second, func() bool {
		for _, name := range names {
			if st := s.status(name); !st.Serving || st.Leader == "" {
				return false
			}
		}
		return true
	})
}

func (s *testCluster) submitChange(name ident.Daemon, c *operator.Change) (ident.Revision, error) {
	if c.ID == "" {
		c.ID = ident.NewChange()
	}
	return s.client(name).Change(s.t.Context(), c)
}

func (s *testCluster) createGroup(name ident.Group, size int) {
	s.t.Helper()
	_, err := s.submitChange("a", &operator.Change{Create: &fleet.GroupSpec{Name: name, Model: ident.Model("model-" + name), Size: size}})
	s.noError(err)
	s.waitWhole("a", name)
}

func (s *testCluster) group(at ident.Daemon, name ident.Group) operator.GroupView {
	g, err := s.client(at).Group(s.t.Context(), name)
	if err != nil {
		return operator.GroupView{}
	}
	return g
}

func (s *testCluster) waitWhole(at ident.Daemon, name ident.Group) {
	s.t.Helper()
	s.waitFor(fmt.Sprintf("group %s whole", name), 60*time.Second, func() bool { return s.group(at, name).Whole })
}

// response is a caller's view of one response; code and notRun are read from headers.
type response struct {
	status int
	code   string
	notRun bool
	text   string
	err    error
}

func (s *testCluster) send(at ident.Daemon, path string, body string, header map[string]string) response {
	r, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+string(at)+":1"+path, bytes.NewReader([]byte(body)))
	s.noError(err)
	r.Header.Set("Authorization", "Bearer "+s.customerKey)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	w, err := s.http.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	got := response{status: w.StatusCode, code: w.Header.Get(caller.HeaderResultCode), notRun: w.Header.Get(caller.HeaderNotRun) == "true", text: string(b), err: err}
	return got
}

// complete requests a completion from the model of a group; the response has the generated text only.
func (s *testCluster) complete(at ident.Daemon, group ident.Group, prompt string, tokens int, header map[string]string) response {
	body, _ := json.Marshal(map[string]any{"model": "model-" + group, "prompt": prompt, "max_tokens": tokens, "temperature": 0})
	got := s.send(at, "/v1/completions", string(body), header)
	if got.status != http.StatusOK {
		return got
	}
	var decoded struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(got.text), &decoded); err != nil || len(decoded.Choices) != 1 {
		got.err = fmt.Errorf("response is not a completion: %s", got.text)
		return got
	}
	got.text = decoded.Choices[0].Text
	return got
}

func expectedText(prompt string, tokens int) string {
	quoted, _ := json.Marshal(prompt)
	return engine.ExpectedText(quoted, tokens)
}

// setPlatformStay makes the platform list a VM with the given state.
func (s *testCluster) setPlatformStay(vm ident.VM, stay vmlist.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.platformList = []vmlist.ListedVM{{Upstream: settings.Upstream{Name: vm}, State: stay}}
}

// vmThatRan returns the VM that ran a prompt last.
func (s *testCluster) vmThatRan(prompt string) ident.VM {
	quoted, _ := json.Marshal(prompt)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ranOn[string(quoted)]
}

func (s *testCluster) runsOf(prompt string) int {
	quoted, _ := json.Marshal(prompt)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runCount[string(quoted)]
}
