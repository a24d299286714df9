package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/settings"
)

// handlesSignalsAfter is how long after its start a process surely handles SIGHUP; until then the signal ends it.
const handlesSignalsAfter = time.Second

// daemon is one process of the product; only processes that were started here are ever signalled.
type daemon struct {
	name ident.Daemon
	bin  string
	dir  string
	cfg  settings.Site
	// link is what its peers, upstreams or callers talk to.
	link *link
	// calls is the link to a control daemon's calls.
	calls *link

	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	life    int
	started time.Time
	// paused is set while a fault has stopped the process, held while the quota has.
	paused, held bool
	// stopping is set from a planned stop until the process is gone.
	stopping  bool
	stoppedAt time.Time
	// successor is set once another daemon takes the place of this one for good.
	successor *daemon
}

// start starts the process unless it runs.
func (d *daemon) start(firstStart bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		return nil
	}
	if err := d.writeSettings(firstStart); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, string(d.name)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.CommandContext(context.Background(), d.bin, "site", "--settings", d.settingsFile())
	cmd.Stdout, cmd.Stderr = log, log
	// The process must not outlive the soak.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.ended, d.stopping, d.paused, d.held = cmd, make(chan struct{}), false, false, false
	d.life++
	d.started = time.Now()
	go d.wait(cmd, d.ended)
	return nil
}

func (d *daemon) settingsFile() string {
	return filepath.Join(d.dir, string(d.name)+".json")
}

// writeSettings writes the settings file; the mutex is held.
func (d *daemon) writeSettings(firstStart bool) error {
	cfg := d.cfg
	cfg.FirstStart = firstStart
	content, err := json.MarshalIndent(&cfg, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(d.settingsFile(), content, 0o600)
}

// changeSeeds writes other seeds into the settings and lets the process read them, unless it may not handle SIGHUP yet.
func (d *daemon) changeSeeds(seeds []string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cfg.Seeds = seeds
	if err := d.writeSettings(false); err != nil {
		return err
	}
	if d.cmd != nil && time.Since(d.started) > handlesSignalsAfter {
		return d.cmd.Process.Signal(syscall.SIGHUP)
	}
	return nil
}

func (d *daemon) wait(cmd *exec.Cmd, ended chan struct{}) {
	// How it ended matters to nobody but the log, which has its last line.
	_ = cmd.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cmd = nil
	close(ended)
}

// signal sends sig to the process if it runs, and returns when that process has ended as a channel.
func (d *daemon) signal(sig syscall.Signal) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		ended := make(chan struct{})
		close(ended)
		return ended
	}
	if sig == syscall.SIGTERM {
		d.stopping, d.stoppedAt = true, time.Now()
	}
	_ = d.cmd.Process.Signal(sig)
	return d.ended
}

// kill ends the process at once and waits for it.
func (d *daemon) kill() {
	<-d.signal(syscall.SIGKILL)
}

// state tells which life of the process runs, since when, and whether it is about to stop.
func (d *daemon) state() (life int, since time.Time, stopping bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return 0, time.Time{}, false
	}
	return d.life, d.started, d.stopping
}

// wipe removes the data folder of a process that does not run.
func (d *daemon) wipe() error {
	if err := os.RemoveAll(d.cfg.DataFolder); err != nil {
		return fmt.Errorf("the folder of %s cannot be removed: %w", d.name, err)
	}
	return nil
}
