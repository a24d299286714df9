package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/platform"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/transport"
)

const (
	controlCount = 5
	seedCount    = 3
	peerPort     = 7000
	callPort     = 7001
	insidePort   = 7002
	// firstBlock is the second byte of the loopback addresses; each site has two of its own.
	firstBlock = 177
	// routeCount is the size of the configuration.
	routeCount = 17
	startLimit = 60 * time.Second
)

// process is one daemon of the real program; bytes counts what passes through its forwarder.
type process struct {
	cmd   *exec.Cmd
	bytes atomic.Int64
}

type idleSite struct {
	ctx    context.Context
	binary string
	folder string
	block  int
	seeds  []string
	calls  []string

	controls []*process
	entry    *process
	// inProcess counts the bytes of all entries of this process.
	inProcess atomic.Int64
	own       int
	tasks     sync.WaitGroup

	mu sync.Mutex
	// have holds how many entries have each version, at when the last one of each got it.
	have map[httproute.Version]int
	at   map[httproute.Version]time.Time
}

func newIdleSite(ctx context.Context, binary, folder string, number int) *idleSite {
	s := &idleSite{
		ctx: ctx, binary: binary, folder: folder, block: firstBlock + 2*number,
		have: map[httproute.Version]int{}, at: map[httproute.Version]time.Time{},
	}
	for i := range controlCount {
		s.calls = append(s.calls, net.JoinHostPort(s.host(i), strconv.Itoa(callPort)))
	}
	s.seeds = s.calls[:seedCount]
	return s
}

// host is the address of daemon i that others use; that of the process itself is in the next block.
func (s *idleSite) host(i int) string { return fmt.Sprintf("127.%d.%d.%d", s.block, i/250, i%250+1) }
func (s *idleSite) inside(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", s.block+1, i/250, i%250+1)
}

func (s *idleSite) settings(name string, i int) settings.Site {
	cfg := settings.DefaultSite()
	cfg.Name, cfg.Hall = ident.Daemon(name), "hall"
	cfg.Listen.Host, cfg.PeerPort, cfg.Seeds = s.host(i), peerPort, s.seeds
	return cfg
}

func (s *idleSite) startControl() error {
	for i := range controlCount {
		cfg := s.settings("control-"+strconv.Itoa(i), i)
		cfg.DataFolder = filepath.Join(s.folder, string(cfg.Name))
		cfg.FirstStart = true
		cfg.Listen.Control = s.calls[i]
		cfg.Listen.Peers = net.JoinHostPort(s.inside(i), strconv.Itoa(insidePort))
		p := &process{}
		if err := s.forward(cfg.PeerAddress(), cfg.Listen.Peers, &p.bytes); err != nil {
			return err
		}
		if err := s.start(p, &cfg); err != nil {
			return err
		}
		s.controls = append(s.controls, p)
	}
	return nil
}

func (s *idleSite) start(p *process, cfg *settings.Site) error {
	content, err := json.Marshal(cfg)
	if err != nil {
		return err
	}
	file := filepath.Join(s.folder, string(cfg.Name)+".json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return err
	}
	p.cmd = exec.CommandContext(s.ctx, s.binary, "site", "--settings", file)
	p.cmd.Stderr = os.Stderr
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.cmd.Start()
}

// stop ends every process and waits for it.
func (s *idleSite) stop() {
	for _, p := range append(s.controls, s.entry) {
		if p != nil && p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
	}
}

// startEntries starts one entry as a process and the others here.
func (s *idleSite) startEntries(n int) error {
	cfg := s.settings("entry", controlCount)
	cfg.Listen.Callers = net.JoinHostPort(s.inside(controlCount), strconv.Itoa(callPort))
	s.entry = &process{}
	if err := s.start(s.entry, &cfg); err != nil {
		return err
	}
	s.own = n - 1
	for i := range s.own {
		cfg := s.settings("entry-"+strconv.Itoa(i), controlCount+1+i)
		e := site.NewEntry(&cfg, platform.HeaderNames(), s.dial)
		e.DecodeConfig = s.decode
		e.ReadyHandler = func(func() bool) http.Handler { return http.NotFoundHandler() }
		e.LoadSettings = func() (*settings.Site, error) { return &cfg, nil }
		s.tasks.Go(func() { _ = e.Run(s.ctx) })
	}
	return nil
}

// decode reads a configuration and notes that one more entry has it.
func (s *idleSite) decode(body []byte) (*httproute.Config, error) {
	cfg, err := platform.DecodeConfig(body)
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.have[cfg.Version]++
		s.at[cfg.Version] = time.Now()
	}
	return cfg, err
}

// pauseUntilAll waits until all entries of this process have a version, and returns when the last one got it.
func (s *idleSite) pauseUntilAll(version httproute.Version) time.Time {
	for limit := time.Now().Add(startLimit); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		have, at := s.have[version], s.at[version]
		s.mu.Unlock()
		if have >= s.own || time.Now().After(limit) {
			return at
		}
	}
}

// change offers a configuration until it is acknowledged.
func (s *idleSite) change(version httproute.Version) error {
	cfg := &httproute.Config{
		Version: version, Services: []httproute.Service{{Name: "s", HealthPath: "/healthz", MaxConnections: 100}},
		Customers: []httproute.Customer{{Name: "customer"}},
	}
	for i := range routeCount {
		cfg.Routes = append(cfg.Routes, httproute.Route{
			Name: ident.Class("r" + strconv.Itoa(i)), Host: "h", Prefix: fmt.Sprintf("/%d/", i), Kind: httproute.KindSafe, Timeout: time.Second,
			MaxAttempts: 1, Split: []httproute.Share{{Service: "s", Weight: 1}},
		})
	}
	body := platform.EncodeConfig(cfg, map[ident.Customer][]string{"customer": {"key"}})
	var last error
	for limit := time.Now().Add(startLimit); time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		last = s.offer(body)
		if last == nil {
			return nil
		}
	}
	return last
}

func (s *idleSite) offer(body []byte) error {
	ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.calls[0]+platform.ReplaceConfigPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}

// usage is what a process has used since its start.
type usage struct {
	cores  time.Duration
	bytes  int64
	memory float64
}

// sample reads the usage of the entry, then of every control daemon.
func (s *idleSite) sample() []usage {
	list := []usage{s.read(s.entry)}
	list[0].bytes = s.inProcess.Load()
	for _, p := range s.controls {
		list = append(list, s.read(p))
	}
	return list
}

// clockTick is the unit of the times in /proc/PID/stat, fixed on Linux.
const clockTick = 10 * time.Millisecond

func (s *idleSite) read(p *process) usage {
	u := usage{bytes: p.bytes.Load()}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return u
	}
	// The name, which may hold anything, ends with the last bracket; fields 14, 15 and 24 of proc(5) follow.
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	for _, i := range []int{11, 12} {
		ticks, _ := strconv.Atoi(fields[i])
		u.cores += time.Duration(ticks) * clockTick
	}
	pages, _ := strconv.Atoi(fields[21])
	u.memory = float64(pages) * float64(os.Getpagesize()) / (1 << 20)
	return u
}

// settle works out what each role took between two samples; the control daemon with the most bytes is the leader.
func (s *idleSite) settle(f *figures, before, after []usage, length time.Duration) {
	costs := make([]cost, len(after))
	for i := range after {
		costs[i] = cost{
			cores:  (after[i].cores - before[i].cores).Seconds() / length.Seconds(),
			bytes:  float64(after[i].bytes-before[i].bytes) / length.Seconds(),
			memory: after[i].memory,
		}
	}
	f.entry = costs[0]
	f.entry.bytes /= max(1, float64(s.own))
	leader := 1
	for i := range costs[1:] {
		if costs[i+1].bytes > costs[leader].bytes {
			leader = i + 1
		}
	}
	f.leader = costs[leader]
	for i := range costs[1:] {
		if i+1 != leader && costs[i+1].cores >= f.follower.cores {
			f.follower = costs[i+1]
		}
	}
}

// dial is the entries' dialler; it counts their bytes.
func (s *idleSite) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := transport.TCP()(ctx, address)
	if err != nil {
		return nil, err
	}
	return &counted{conn, &s.inProcess}, nil
}

type counted struct {
	net.Conn
	total *atomic.Int64
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.total.Add(int64(n))
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.total.Add(int64(n))
	return n, err
}

// forward passes connections to address on to server and counts the bytes of both directions.
func (s *idleSite) forward(address, server string, total *atomic.Int64) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	context.AfterFunc(s.ctx, func() { ln.Close() })
	go func() {
		for {
			from, err := ln.Accept()
			if err != nil {
				return
			}
			go s.pass(from, server, total)
		}
	}()
	return nil
}

func (s *idleSite) pass(from net.Conn, server string, total *atomic.Int64) {
	defer from.Close()
	to, err := transport.TCP()(s.ctx, server)
	if err != nil {
		return // the process is not there yet
	}
	defer to.Close()
	stop := context.AfterFunc(s.ctx, func() { from.Close(); to.Close() })
	defer stop()
	counting := &counted{to, total}
	done := make(chan struct{}, 2)
	// An error ends the connection, and the peers' next one is forwarded anew.
	go func() { _, _ = io.Copy(counting, from); done <- struct{}{} }()
	go func() { _, _ = io.Copy(from, counting); done <- struct{}{} }()
	<-done
}
