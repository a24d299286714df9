//go:build review

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
	"sync"
	"syscall"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/platform"
)

// Bounds of the deployment whose sheet the claims quote (SYSTEM.md, first sheet).
const (
	contact     = 3 * time.Second
	catchUp     = 4 * time.Second
	grace       = 8 * time.Second
	recoverTime = 12 * time.Second
	tenant      = "office"
	tenantKey   = "key-of-the-office"
	routeHost   = "site.test"
)

// site is a small deployment of real processes on loopback addresses.
type site struct {
	folder  string
	seeds   []string
	record  *record
	daemons []*daemon
}

// daemon is one machine of the deployment with its process.
type daemon struct {
	site     *site
	name     string
	host     string
	control  bool
	settings map[string]any

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

const (
	peerPort    = 7340
	controlPort = 8229
	callerPort  = 8227
	readyPort   = 8220
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, started: time.Now()}, nil
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// newSite chooses addresses by the id of this process, so that runs beside each other do not meet.
func newSite(folder string, r *record) *site {
	return &site{folder: folder, record: r}
}

func (s *site) host(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 100+pid%100, 1+(pid/100)%250, n)
}

// add lays out a machine; the settings are those that deploy/site.json.template gives.
func (s *site) add(name string, n int, control bool) *daemon {
	host := s.host(n)
	listen := map[string]any{"host": host, "metrics": net.JoinHostPort(host, "9102")}
	d := &daemon{site: s, name: name, host: host, control: control}
	d.settings = map[string]any{
		"name": name, "hall": "hall-a", "region": "region-a", "halls": map[string]string{"hall-a": "region-a", "hall-b": "region-a"},
		"listen": listen, "peer-port": peerPort, "memory-mb": 280, "link-mbps": 170,
		"bounds":     map[string]any{"keys-revoked": "5000ms", "stop-grace": "8s"},
		"retries":    map[string]any{"share": 0.2, "window": "10s", "allowance": 136},
		"scheduling": map[string]any{"arrival-check": true, "forecast": true, "spares": true},
		"times":      map[string]any{"report": "1200ms"},
	}
	if control {
		listen["control"] = net.JoinHostPort(host, strconv.Itoa(controlPort))
		d.settings["data-folder"] = filepath.Join(s.folder, name+"-data")
	} else {
		listen["callers"] = net.JoinHostPort(host, strconv.Itoa(callerPort))
		listen["ready"] = net.JoinHostPort(host, strconv.Itoa(readyPort))
	}
	s.daemons = append(s.daemons, d)
	return d
}

// start starts the process of a machine, with the run command of the deploy file.
func (d *daemon) start(firstStart bool) error {
	d.settings["seeds"], d.settings["first-start"] = d.site.seeds, firstStart
	content, err := json.MarshalIndent(d.settings, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(d.site.folder, d.name+".json")
	if err := os.WriteFile(file, content, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.site.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/dunlinquay", "site", "--settings", file)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	ended := make(chan struct{})
	d.cmd, d.ended = cmd, ended
	d.site.record.line("%s (%s) starts, first start of the site: %t", d.name, d.host, firstStart)
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

func (d *daemon) signal(sig syscall.Signal) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	_ = d.cmd.Process.Signal(sig)
	return d.ended
}

func (d *daemon) kill() { <-d.signal(syscall.SIGKILL) }

// wipe empties the data folder of a process that does not run.
func (d *daemon) wipe() error { return os.RemoveAll(d.settings["data-folder"].(string)) }

// stop ends all processes.
func (s *site) stop() {
	for _, d := range s.daemons {
		d.signal(syscall.SIGCONT)
		d.kill()
	}
}

func (d *daemon) controlURL() string {
	return "http://" + net.JoinHostPort(d.host, strconv.Itoa(controlPort))
}

// call makes one HTTP call over a connection of its own; an operator waits for a second.
func call(timeout time.Duration, method, url string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

// put sends a configuration to one daemon after the other until one acknowledges it, as an operator does.
func (s *site) put(body []byte, version int, within time.Duration, to ...*daemon) bool {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		for _, d := range to {
			status, _, err := call(time.Second, http.MethodPost, d.controlURL()+platform.ReplaceConfigPath, body)
			if err == nil && status == http.StatusOK {
				s.record.line("operator: version %d sent to %s, acknowledged", version, d.name)
				return true
			}
			s.record.line("operator: version %d sent to %s, status %d, error %v", version, d.name, status, err)
		}
	}
	return false
}

// read asks one daemon for the configuration and returns the version that it tells, 0 without one.
func (s *site) read(d *daemon) uint64 {
	status, body, err := call(time.Second, http.MethodGet, d.controlURL()+platform.ReadConfigPath, nil)
	var version uint64
	if err == nil && status == http.StatusOK {
		if cfg, decodeErr := platform.DecodeConfig(body); decodeErr == nil {
			version = uint64(cfg.Version)
		}
	}
	s.record.line("operator: reads the configuration at %s: status %d, version %d, error %v", d.name, status, version, err)
	return version
}

// config returns a configuration with one plain service and the model service of a small deployment.
func config(version int, routes ...httproute.Route) []byte {
	cfg := &httproute.Config{
		Version: httproute.Version(version),
		Routes:  routes,
		Services: []httproute.Service{
			{Name: "plain", HealthPath: "/healthz", MaxConnections: 110},
			{Name: "model", HealthPath: "/healthz", MaxConnections: 474, Engine: modelEngine()},
		},
		Limits: httproute.Limits{HeaderBytes: 16384, BodyBytes: 4194304, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		Customers: []httproute.Customer{
			{Name: tenant},
		},
	}
	return platform.EncodeConfig(cfg, map[ident.Customer][]string{tenant: {tenantKey}})
}

func modelEngine() *httproute.Engine {
	return &httproute.Engine{
		Slots: 26, StepTime: 6070 * time.Microsecond, StepTimePerSequence: 241 * time.Microsecond, PrefillRate: 46000, StepsPerIteration: 5,
		LoadsPerSecond: 4, ConcurrentLoads: 6, OpenTime: 300 * time.Millisecond, CrossDomainSlowdown: 3, KVCapacity: 1400000,
		Models: []httproute.Model{{Name: "m1", Size: 2, InitialShare: 1, TimeFactor: 0.6, LoadTime: 12 * time.Second, WarmLoadTime: 1100 * time.Millisecond}},
	}
}

func plainRoute() httproute.Route {
	return httproute.Route{Name: "fetch", Host: routeHost, Prefix: "/fetch/", Kind: httproute.KindUnsafe, Timeout: 2 * time.Second, Aim: 300 * time.Millisecond,
		Priority: 2, MaxAttempts: 1, Split: []httproute.Share{{Service: "plain", Weight: 1}}}
}
