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

// wire is a network in memory, so that whole daemons run in a synctest bubble under its clock.
type wire struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*pipe]bool
	cut       map[ident.Daemon]bool
}

type listener struct {
	wire    *wire
	address string
	backlog chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

type address string

func (a address) Network() string { return "memory" }
func (a address) String() string  { return string(a) }

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.wire.mu.Lock()
		defer l.wire.mu.Unlock()
		if l.wire.listeners[l.address] == l {
			delete(l.wire.listeners, l.address)
		}
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

// pipe is one end of a connection between two daemons, or between a daemon and anything else.
type pipe struct {
	net.Conn
	from, to ident.Daemon
}

func newWire() *wire {
	return &wire{listeners: map[string]*listener{}, conns: map[*pipe]bool{}, cut: map[ident.Daemon]bool{}}
}

func (w *wire) listen(a string) (net.Listener, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.listeners[a] != nil {
		return nil, errors.New("address in use")
	}
	l := &listener{wire: w, address: a, backlog: make(chan net.Conn, 64), closed: make(chan struct{})}
	w.listeners[a] = l
	return l, nil
}

// peerOf names the daemon whose peer address a is, or nobody.
func peerOf(a string) ident.Daemon {
	if name, ok := strings.CutSuffix(a, ":3"); ok {
		return ident.Daemon(name)
	}
	return ""
}

var errRefused = &net.OpError{Op: "dial", Net: "memory", Err: errors.New("refused")}

func (w *wire) dial(from ident.Daemon) func(ctx context.Context, a string) (net.Conn, error) {
	return func(ctx context.Context, a string) (net.Conn, error) {
		to := peerOf(a)
		w.mu.Lock()
		l := w.listeners[a]
		cut := to != "" && (w.cut[from] || w.cut[to])
		w.mu.Unlock()
		if cut {
			// A cut way is silent.
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: "memory", Err: ctx.Err()}
		}
		if l == nil {
			return nil, errRefused
		}
		one, two := net.Pipe()
		p := &pipe{Conn: one, from: from, to: to}
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

func (w *wire) setCut(name ident.Daemon, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[name] = cut
	for p := range w.conns {
		if cut && p.to != "" && (p.from == name || p.to == name) {
			p.Close()
			delete(w.conns, p)
		}
	}
}

// site is a few daemons and engines in one bubble.
type site struct {
	t        *testing.T
	wire     *wire
	root     string
	names    []ident.Daemon
	running  map[ident.Daemon]*running
	engines  map[ident.VM]*engine.StandIn
	service  *service.StandIn
	key, op  string
	http     *http.Client
	upstream []settings.Upstream
	adjust   func(cfg *settings.Settings)

	// stays is what the platform's list says.
	platform *standin.Server
	stays    []vmlist.Entry

	mu   sync.Mutex
	runs map[string]int
	// where names the VM that ran a prompt last.
	where map[string]ident.VM
	// logs holds every line that the daemons have logged.
	logs strings.Builder
}

type running struct {
	daemon *daemon.Daemon
	cancel context.CancelFunc
	done   chan error
}

const serviceName = "payments"

// newSite starts daemons a, b and c and engines in domains as in the planner's tests: "d1: w1 w2".
func newSite(t *testing.T, domains ...string) *site {
	t.Helper()
	s := &site{
		t: t, wire: newWire(), root: t.TempDir(), names: []ident.Daemon{"a", "b", "c"}, running: map[ident.Daemon]*running{},
		engines: map[ident.VM]*engine.StandIn{}, service: service.NewStandIn(), key: keys.New(), op: keys.New(), runs: map[string]int{}, where: map[string]ident.VM{},
	}
	s.http = &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, a string) (net.Conn, error) { return s.wire.dial("")(ctx, a) },
	}}
	s.platform = standin.NewServer()
	s.platform.Listen = s.wire.listen
	s.must(s.platform.Serve("platform:1", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(vmlist.List{VMs: s.stays})
	})))
	s.service.Listen = s.wire.listen
	s.must(s.service.Start(serviceName + ":1"))
	for _, d := range domains {
		name, list, _ := strings.Cut(d, ": ")
		for _, vm := range strings.Fields(list) {
			s.startEngine(ident.VM(vm), ident.Domain(name))
		}
	}
	return s
}

func (s *site) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

func (s *site) startEngine(name ident.VM, domain ident.Domain) {
	e := engine.NewStandIn()
	e.Listen = s.wire.listen
	e.LoadTime = 100 * time.Millisecond
	e.OnRun = func(_ ident.Request, prompt string) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.runs[prompt]++
		s.where[prompt] = name
	}
	s.must(e.Start(string(name) + ":1"))
	s.engines[name] = e
	s.upstream = append(s.upstream, settings.Upstream{
		Name: name, Address: string(name) + ":1", Hall: "h", Domain: domain, Accelerators: 8, ChecksOrders: true,
		Labels: map[string]string{"domain-label": string(domain)},
	})
}

func (s *site) settings(name ident.Daemon) *settings.Settings {
	cfg := settings.Default()
	cfg.Name, cfg.Region, cfg.Hall = name, "r", "h"
	cfg.Addresses = settings.Addresses{Callers: string(name) + ":1", Operators: string(name) + ":2", Peers: string(name) + ":3"}
	cfg.DataFolder = filepath.Join(s.root, string(name))
	cfg.ControlMembers = s.names
	for _, other := range s.names {
		if other != name {
			cfg.Peers = append(cfg.Peers, settings.Peer{Name: other, Address: string(other) + ":3", Hall: "h"})
		}
	}
	cfg.Customers = []settings.Customer{{Name: "cust", KeyHashes: []string{keys.Hash(s.key)}}}
	cfg.Operators = []settings.Operator{{Name: "op", KeyHash: keys.Hash(s.op)}}
	cfg.Upstreams = s.upstream
	cfg.Platform = settings.Platform{URL: "http://platform:1", Interval: settings.Duration(500 * time.Millisecond)}
	cfg.Services = []settings.Service{{Name: serviceName, Addresses: []string{serviceName + ":1"}, NotRepeatable: []string{"POST /charges"}}}
	if s.adjust != nil {
		s.adjust(&cfg)
	}
	return &cfg
}

func (s *site) start(names ...ident.Daemon) {
	s.t.Helper()
	for _, name := range names {
		d, err := daemon.New(s.settings(name), daemon.Network{Listen: s.wire.listen, Dial: s.wire.dial(name)})
		s.must(err)
		d.Log = funcr.NewJSON(s.logLine, funcr.Options{Verbosity: 1})
		ctx, cancel := context.WithCancel(s.t.Context())
		r := &running{daemon: d, cancel: cancel, done: make(chan error, 1)}
		go func() { r.done <- d.Run(ctx) }()
		s.running[name] = r
	}
}

func (s *site) logLine(line string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logs.WriteString(line + "\n")
}

func (s *site) logged() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.logs.String()
}

// kill ends a daemon without any farewell.
func (s *site) kill(names ...ident.Daemon) {
	for _, name := range names {
		if r := s.running[name]; r != nil {
			r.cancel()
			if err := <-r.done; err != nil {
				s.t.Errorf("%s ended with: %v", name, err)
			}
			delete(s.running, name)
		}
	}
}

// end stops everything, so that the bubble can close.
func (s *site) end() {
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

func (s *site) client(name ident.Daemon) *operator.Client {
	c := operator.NewClient("http://"+string(name)+":2", s.op)
	c.HTTP = s.http
	return c
}

// until lets virtual time pass until ok holds.
func (s *site) until(what string, limit time.Duration, ok func() bool) {
	s.t.Helper()
	for began := time.Now(); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Since(began) > limit {
			for _, name := range s.names {
				s.t.Logf("%s: %+v", name, s.status(name))
			}
			s.t.Fatalf("%s: not within %s", what, limit)
		}
	}
}

func (s *site) status(name ident.Daemon) operator.Status {
	st, err := s.client(name).Status(s.t.Context())
	if err != nil {
		return operator.Status{}
	}
	return st
}

func (s *site) awaitServing(names ...ident.Daemon) {
	s.t.Helper()
	s.until("daemons serving", 20*time.Second, func() bool {
		for _, name := range names {
			if st := s.status(name); !st.Serving || st.Leader == "" {
				return false
			}
		}
		return true
	})
}

func (s *site) change(name ident.Daemon, c *operator.Change) (ident.Revision, error) {
	if c.ID == "" {
		c.ID = ident.NewChange()
	}
	return s.client(name).Change(s.t.Context(), c)
}

func (s *site) create(name ident.Group, size int) {
	s.t.Helper()
	_, err := s.change("a", &operator.Change{Create: &fleet.GroupSpec{Name: name, Model: ident.Model("model-" + name), Size: size}})
	s.must(err)
	s.awaitWhole("a", name)
}

func (s *site) group(at ident.Daemon, name ident.Group) operator.GroupView {
	g, err := s.client(at).Group(s.t.Context(), name)
	if err != nil {
		return operator.GroupView{}
	}
	return g
}

func (s *site) awaitWhole(at ident.Daemon, name ident.Group) {
	s.t.Helper()
	s.until(fmt.Sprintf("group %s whole", name), 60*time.Second, func() bool { return s.group(at, name).Whole })
}

// answer is what a caller gets.
type answer struct {
	status int
	code   string
	notRun bool
	text   string
	err    error
}

func (s *site) send(at ident.Daemon, path string, body string, header map[string]string) answer {
	r, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+string(at)+":1"+path, bytes.NewReader([]byte(body)))
	s.must(err)
	r.Header.Set("Authorization", "Bearer "+s.key)
	for name, value := range header {
		r.Header.Set(name, value)
	}
	w, err := s.http.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	a := answer{status: w.StatusCode, code: w.Header.Get(caller.HeaderCode), notRun: w.Header.Get(caller.HeaderNotRun) == "true", text: string(b), err: err}
	return a
}

// ask sends a prompt to the model of a group and returns the text of the answer.
func (s *site) ask(at ident.Daemon, group ident.Group, prompt string, tokens int, header map[string]string) answer {
	body, _ := json.Marshal(map[string]any{"model": "model-" + group, "prompt": prompt, "max_tokens": tokens, "temperature": 0})
	a := s.send(at, "/v1/completions", string(body), header)
	if a.status != http.StatusOK {
		return a
	}
	var v struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(a.text), &v); err != nil || len(v.Choices) != 1 {
		a.err = fmt.Errorf("not an answer: %s", a.text)
		return a
	}
	a.text = v.Choices[0].Text
	return a
}

func expected(prompt string, tokens int) string {
	quoted, _ := json.Marshal(prompt)
	return engine.ExpectedText(quoted, tokens)
}

// listAs makes the platform say something of a VM.
func (s *site) listAs(vm ident.VM, stay vmlist.Stay) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stays = []vmlist.Entry{{Upstream: settings.Upstream{Name: vm}, Stay: stay}}
}

// ran names the VM that ran a prompt.
func (s *site) ran(prompt string) ident.VM {
	quoted, _ := json.Marshal(prompt)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.where[string(quoted)]
}

func (s *site) runsOf(prompt string) int {
	quoted, _ := json.Marshal(prompt)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[string(quoted)]
}
