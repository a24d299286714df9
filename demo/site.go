package demo

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/daemon"
	"github.com/dunlinquay/dunlinquay/engine"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/keys"
	"github.com/dunlinquay/dunlinquay/operator"
	"github.com/dunlinquay/dunlinquay/service"
	"github.com/dunlinquay/dunlinquay/settings"
)

const (
	daemonCount    = 3
	vmsPerDomain   = 4
	accelerators   = 8
	loadTime       = 300 * time.Millisecond
	tokenTime      = 4 * time.Millisecond
	slots          = 8
	hall           = "hall-1"
	region         = "demo"
	serviceName    = "payments"
	presenceBound  = 600 * time.Millisecond
	controlBound   = 3 * time.Second
	presenceMargin = 600 * time.Millisecond
)

// host is one daemon of the demo.
type host struct {
	cfg    *settings.Settings
	daemon *daemon.Daemon
	cancel context.CancelFunc
	done   chan struct{}
	client *operator.Client
	// away is set while the balancer would not choose it.
	away bool
}

func (h *host) callers() string {
	return "http://" + h.daemon.CallerAddress()
}

// site is everything the demo starts.
type site struct {
	folder   string
	network  *network
	operator string
	keys     map[ident.Customer]string

	mu      sync.Mutex
	hosts   []*host
	engines map[ident.VM]*engine.StandIn
	order   []ident.VM
	byAddr  map[string]ident.VM
	died    map[ident.VM]time.Time
	runs    map[string]int
	broken  []string
	service *service.StandIn
}

func newSite() (*site, error) {
	folder, err := os.MkdirTemp("", "dunlinquay-demo-")
	if err != nil {
		return nil, err
	}
	s := &site{
		folder: folder, network: newNetwork(), operator: keys.New(), keys: map[ident.Customer]string{"snow": keys.New(), "roads": keys.New()},
		engines: map[ident.VM]*engine.StandIn{}, byAddr: map[string]ident.VM{}, died: map[ident.VM]time.Time{}, runs: map[string]int{},
		service: service.NewStandIn(),
	}
	if err := s.service.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	upstreams, err := s.startEngines()
	if err != nil {
		return nil, err
	}
	return s, s.startDaemons(upstreams)
}

// startEngines starts four VMs in each of two fabric domains, new ones and old ones.
func (s *site) startEngines() ([]settings.Upstream, error) {
	var list []settings.Upstream
	for _, kind := range []string{"new", "old"} {
		for i := range vmsPerDomain {
			name := ident.VM(fmt.Sprintf("%s-%d", kind, i+1))
			e := s.newEngine()
			if err := e.Start("127.0.0.1:0"); err != nil {
				return nil, err
			}
			s.engines[name] = e
			s.order = append(s.order, name)
			s.byAddr[e.Address()] = name
			list = append(list, settings.Upstream{
				Name: name, Address: e.Address(), Hall: hall, Domain: ident.Domain("domain-" + kind),
				Accelerators: accelerators, Speed: 1, ChecksOrders: true, Labels: map[string]string{"gpu": kind},
			})
		}
	}
	return list, nil
}

func (s *site) newEngine() *engine.StandIn {
	e := engine.NewStandIn()
	e.Slots, e.TokenTime, e.LoadTime = slots, tokenTime, loadTime
	e.OnRun = s.noteRun
	e.PeersPresent = s.peersPresent
	return e
}

// noteRun counts how often each prompt ran; prompts of the demo are unique.
func (s *site) noteRun(_ ident.Request, prompt string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[prompt]++
}

func (s *site) runsOf(prompt string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[prompt]
}

// peersPresent is the replica's own truth: it cannot run without a member. A request that arrives long after a member
// died is a broken promise, because dispatch should have known.
func (s *site) peersPresent(members []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	whole := true
	for _, address := range members {
		name := s.byAddr[address]
		at, dead := s.died[name]
		if !dead {
			continue
		}
		whole = false
		if late := time.Since(at); late > presenceBound+presenceMargin {
			s.broken = append(s.broken, fmt.Sprintf("a request was sent to a group %s after its member %s had died", late.Round(time.Millisecond), name))
		}
	}
	return whole
}

func (s *site) kill(name ident.VM) {
	s.mu.Lock()
	s.died[name] = time.Now()
	e := s.engines[name]
	s.mu.Unlock()
	e.Kill()
}

// revive starts the engine again at its old address, with a new incarnation, as if nothing had happened.
func (s *site) revive(name ident.VM) error {
	s.mu.Lock()
	e := s.engines[name]
	s.mu.Unlock()
	if err := e.Start(e.Address()); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.died, name)
	return nil
}

func (s *site) startDaemons(upstreams []settings.Upstream) error {
	names := []ident.Daemon{"a", "b", "c"}
	addresses := map[ident.Daemon]string{}
	for _, name := range names {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		addresses[name] = address
		s.network.owners[address] = name
	}
	for _, name := range names {
		if err := s.startDaemon(s.settings(name, names, addresses, upstreams)); err != nil {
			return err
		}
	}
	return nil
}

// freeAddress returns an address that nothing listens on at the moment.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

func (s *site) settings(name ident.Daemon, names []ident.Daemon, addresses map[ident.Daemon]string, upstreams []settings.Upstream) *settings.Settings {
	cfg := settings.Default()
	cfg.Name, cfg.Region, cfg.Hall = name, region, hall
	cfg.Addresses = settings.Addresses{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: addresses[name], Metrics: "127.0.0.1:0"}
	cfg.DataFolder = filepath.Join(s.folder, string(name))
	cfg.ControlMembers = names
	for _, other := range names {
		if other != name {
			cfg.Peers = append(cfg.Peers, settings.Peer{Name: other, Address: addresses[other], Hall: hall})
		}
	}
	for customer, key := range s.keys {
		cfg.Customers = append(cfg.Customers, settings.Customer{Name: customer, KeyHashes: []string{keys.Hash(key)}})
	}
	cfg.Operators = []settings.Operator{{Name: "demo", KeyHash: keys.Hash(s.operator)}}
	cfg.Upstreams = upstreams
	cfg.Services = []settings.Service{{Name: serviceName, Addresses: []string{s.service.Address()}, NotRepeatable: []string{"POST /charges"}}}
	t := &cfg.Times
	t.Heartbeat, t.Election, t.Lease = ms(50), ms(400), ms(300)
	t.Beat, t.Probe = ms(100), ms(100)
	t.PresenceBound, t.LossBound, t.ControlBound = settings.Duration(presenceBound), ms(1200), settings.Duration(controlBound)
	t.LookAway = ms(500)
	return &cfg
}

func ms(n int) settings.Duration {
	return settings.Duration(time.Duration(n) * time.Millisecond)
}

func (s *site) startDaemon(cfg *settings.Settings) error {
	way := daemon.TCPNetwork()
	way.Dial = s.network.dialer(cfg.Name)
	d, err := daemon.New(cfg, way)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h := &host{cfg: cfg, daemon: d, cancel: cancel, done: make(chan struct{}), client: operator.NewClient("http://"+d.OperatorAddress(), s.operator)}
	go func() {
		defer close(h.done)
		_ = d.Run(ctx)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append(s.hosts, h)
	return nil
}

// choose returns the n-th daemon that the balancer would use.
func (s *site) choose(n int) *host {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ready []*host
	for _, h := range s.hosts {
		if !h.away {
			ready = append(ready, h)
		}
	}
	return ready[n%len(ready)]
}

func (s *site) setAway(h *host, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.away = away
}

func (s *site) host(name ident.Daemon) *host {
	for _, h := range s.hosts {
		if h.cfg.Name == name {
			return h
		}
	}
	return nil
}

func (s *site) stop() {
	for _, h := range s.hosts {
		h.cancel()
		<-h.done
	}
	for _, e := range s.engines {
		e.Kill()
	}
	s.service.Kill()
	_ = os.RemoveAll(s.folder)
}
