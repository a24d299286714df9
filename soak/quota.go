package soak

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// quotaPeriod is the period of a quota of processor time, quotaLook how often what was used is read.
	quotaPeriod = 100 * time.Millisecond
	quotaLook   = 3 * time.Millisecond
)

// quota holds every daemon to a share of a core as a quota does: one that has used its part of a period stands still for the rest.
// It returns how many periods were cut short. Daemons that the faults have paused stay so.
func (s *soak) quota(ctx context.Context) (cut int) {
	daemons := s.daemons()
	parts := make([]quotaPart, len(daemons))
	turn := time.Time{}
	for ctx.Err() == nil {
		fresh := time.Since(turn) >= quotaPeriod
		if fresh {
			turn = time.Now()
		}
		for i, d := range daemons {
			if fresh {
				parts[i].begin(d)
			} else if parts[i].end(d, time.Duration(s.Share*float64(quotaPeriod))) {
				cut++
			}
		}
		pause(ctx, quotaLook)
	}
	for i, d := range daemons {
		parts[i].begin(d)
	}
	return cut
}

// quotaPart is what a process has used of its period.
type quotaPart struct {
	before  time.Duration
	stopped bool
}

func (p *quotaPart) begin(d *daemon) {
	if p.stopped {
		d.hold(false)
	}
	p.stopped, p.before = false, d.processorTime()
}

// end stops the process if it has used its part, and reports whether it did.
func (p *quotaPart) end(d *daemon, part time.Duration) bool {
	if p.stopped || d.processorTime()-p.before < part {
		return false
	}
	d.hold(true)
	p.stopped = true
	return true
}

// hold stops or continues the process for the quota, unless a fault has paused it.
func (d *daemon) hold(still bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.held = still
	if d.cmd == nil || d.paused {
		return
	}
	sig := syscall.SIGCONT
	if still {
		sig = syscall.SIGSTOP
	}
	_ = d.cmd.Process.Signal(sig)
}

// pause stops or continues the process as a fault.
func (d *daemon) pause(still bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paused = still
	if d.cmd == nil || d.held {
		return
	}
	sig := syscall.SIGCONT
	if still {
		sig = syscall.SIGSTOP
	}
	_ = d.cmd.Process.Signal(sig)
}

// processorTime returns the processor time that the process has used, 0 when it does not run.
func (d *daemon) processorTime() time.Duration {
	d.mu.Lock()
	if d.cmd == nil {
		d.mu.Unlock()
		return 0
	}
	pid := d.cmd.Process.Pid
	d.mu.Unlock()
	var total time.Duration
	// Each thread has a file whose first number is its processor time in ns.
	files, _ := filepath.Glob("/proc/" + strconv.Itoa(pid) + "/task/*/schedstat")
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		first, _, _ := strings.Cut(string(text), " ")
		ns, _ := strconv.ParseInt(first, 10, 64)
		total += time.Duration(ns)
	}
	return total
}
