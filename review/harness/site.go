//go:build review

// Package harness starts a small site of real processes on loopback addresses, with stand-ins of workers, clients and an
// operator, for the cases of the independent review.
package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/platform"
	"github.com/dunlinquay/dunlinquay/settings"
)

// Bounds of the deployment that a case copies (SYSTEM.md).
const (
	HeartbeatEvery = 1200 * time.Millisecond
	DrainTime      = 2 * time.Second
	ContactTime    = 3 * time.Second
	StopGrace      = 8 * time.Second
	KeysRevoked    = 5 * time.Second
)

// Record is record.txt: what was sent, answered and run, with the time since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the record at path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, start: time.Now()}, err
}

// Printf writes one line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// Daemon is one process of the product.
type Daemon struct {
	Name     string
	Settings settings.Site

	binary, folder string
	mu             sync.Mutex
	cmd            *exec.Cmd
	ended          chan struct{}
}

// Site is the processes of one site.
type Site struct {
	Record   *Record
	Folder   string
	Controls []*Daemon
	Entries  []*Daemon
}

// Plan says how large a site is.
type Plan struct {
	Binary            string
	Controls, Entries int
	Halls             []ident.Hall
	// Peers returns the address at which a control daemon listens for peers when a proxy stands before it, "" for none.
	Peers func(control int, host string, port int) string
}

// NewSite chooses addresses and writes no settings yet.
func NewSite(record *Record, plan *Plan) (*Site, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &Site{Record: record, Folder: folder}
	a, b := 100+rand.IntN(100), rand.IntN(250)
	peer, call, ready := freePort(a, b), freePort(a, b), freePort(a, b)
	halls := map[ident.Hall]ident.Region{}
	for _, h := range plan.Halls {
		halls[h] = "region-0"
	}
	var seeds []string
	for i := range plan.Controls + plan.Entries {
		host := fmt.Sprintf("127.%d.%d.%d", a, b, i+1)
		cfg := settings.DefaultSite()
		cfg.Hall, cfg.Region, cfg.Halls = plan.Halls[i%len(plan.Halls)], "region-0", halls
		cfg.PeerPort, cfg.Listen.Host = peer, host
		cfg.MemoryMB = 284
		cfg.Bounds = settings.SiteBounds{KeysRevoked: settings.Duration(KeysRevoked), StopGrace: settings.Duration(StopGrace)}
		cfg.Retries = settings.Retries{Share: 0.2, Window: settings.Duration(10 * time.Second), Allowance: 136}
		cfg.Times.Report = settings.Duration(HeartbeatEvery)
		cfg.Scheduling.ArrivalCheck, cfg.Scheduling.Forecast, cfg.Scheduling.Spares = true, true, true
		d := &Daemon{binary: plan.Binary, folder: folder}
		if i < plan.Controls {
			d.Name = "control-" + strconv.Itoa(i)
			cfg.DataFolder = filepath.Join(folder, d.Name+"-data")
			cfg.Listen.Control = address(host, call)
			if plan.Peers != nil {
				cfg.Listen.Peers = plan.Peers(i, host, peer)
			}
			if i < 3 {
				seeds = append(seeds, cfg.Listen.Control)
			}
			s.Controls = append(s.Controls, d)
		} else {
			d.Name = "entry-" + strconv.Itoa(i-plan.Controls)
			cfg.Listen.Callers, cfg.Listen.Ready = address(host, call), address(host, ready)
			s.Entries = append(s.Entries, d)
		}
		cfg.Name = ident.Daemon(d.Name)
		d.Settings = cfg
	}
	for _, d := range s.All() {
		d.Settings.Seeds = seeds
	}
	return s, nil
}

func address(host string, port int) string { return net.JoinHostPort(host, strconv.Itoa(port)) }

// freePort returns a port that is free at an address of the site's network.
func freePort(a, b int) int {
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", a, b))
	if err != nil {
		return 20000 + rand.IntN(10000)
	}
	defer ln.Close()
	return ln.Addr().(*net.TCPAddr).Port
}

// All returns every daemon.
func (s *Site) All() []*Daemon { return append(append([]*Daemon{}, s.Controls...), s.Entries...) }

// Start starts every daemon for the first time.
func (s *Site) Start() error {
	for _, d := range s.All() {
		if err := d.Start(true); err != nil {
			return err
		}
	}
	return nil
}

// End ends every process that was started and removes the folder.
func (s *Site) End() {
	for _, d := range s.All() {
		d.Signal(syscall.SIGCONT)
		d.Kill()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("folder kept:", s.Folder)
		return
	}
	_ = os.RemoveAll(s.Folder)
}

// Start starts the process.
func (d *Daemon) Start(first bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	cfg := d.Settings
	cfg.FirstStart = first
	content, err := json.MarshalIndent(&cfg, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(d.folder, d.Name+".json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.folder, d.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(d.binary, "site", "--settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	// The process must not outlive the case.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.cmd, d.ended = cmd, ended
	go func() { _ = cmd.Wait(); close(ended) }()
	return nil
}

// Signal sends a signal to the process if it runs.
func (d *Daemon) Signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return
	}
	select {
	case <-d.ended:
	default:
		_ = d.cmd.Process.Signal(sig)
	}
}

// Ended reports whether the process has ended.
func (d *Daemon) Ended() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return true
	}
	select {
	case <-d.ended:
		return true
	default:
		return false
	}
}

// Kill ends the process at once and waits for its end.
func (d *Daemon) Kill() {
	d.Signal(syscall.SIGKILL)
	d.mu.Lock()
	ended := d.ended
	d.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// client opens a connection for each call.
var client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Call makes one HTTP call.
func Call(method, url string, body []byte, timeout time.Duration) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// Replace sends a configuration to one control daemon after another until one acknowledges it, as the operator does; it
// returns the daemon that did.
func (s *Site) Replace(version int, body []byte, limit time.Duration) *Daemon {
	for i, until := 0, time.Now().Add(limit); time.Now().Before(until); i++ {
		d := s.Controls[i%len(s.Controls)]
		status, answer, err := Call(http.MethodPost, "http://"+d.Settings.Listen.Control+platform.ReplaceConfigPath, body, time.Second)
		s.Record.Printf("operator sends version %d to %s: status %d %s %v", version, d.Name, status, bytes.TrimSpace(answer), err)
		if err == nil && status == http.StatusOK {
			return d
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// Ready waits until every entry says that it is ready.
func (s *Site) Ready(limit time.Duration) bool {
	until := time.Now().Add(limit)
	for _, d := range s.Entries {
		for {
			status, _, err := Call(http.MethodGet, "http://"+d.Settings.Listen.Ready+platform.ReadyPath, nil, time.Second)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// AnyEnded returns the name of a daemon that has ended by itself, or "".
func (s *Site) AnyEnded(except map[string]bool) string {
	for _, d := range s.All() {
		if !except[d.Name] && d.Ended() {
			return d.Name
		}
	}
	return ""
}
