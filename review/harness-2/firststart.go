//go:build review

package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"
)

func init() { cases["first-start"] = firstStart }

const (
	// seedLead is how long the first seed runs before it is killed: less than the time within which all machines start.
	seedLead = 250 * time.Millisecond
	// restartPause is the short delay after which the platform starts an ended process again.
	restartPause = 500 * time.Millisecond
	// served is how long after the restart requests are sent, three times as long as a site has to recover.
	served = 3 * recoverTime
)

// firstStart kills the process of one seed while the site starts for the first time; the platform starts it again.
func firstStart(s *site, trouble bool) (string, error) {
	var core []*daemon
	var calls []string
	for i := range 5 {
		d := s.add(fmt.Sprintf("core-%d", i+1), i+1, true)
		core = append(core, d)
		calls = append(calls, net.JoinHostPort(d.host, strconv.Itoa(controlPort)))
	}
	s.seeds = calls[:3]
	front := s.add("front-1", 11, false)
	worker, err := s.engine("i-1", "", s.host(21), calls)
	if err != nil {
		return "", err
	}
	worker.plain = true
	// All machines start within 0.3 s of each other; the third seed is the last one.
	for _, d := range []*daemon{core[0], core[1], core[3], core[4], front} {
		if err := d.start(true); err != nil {
			return "", err
		}
	}
	time.Sleep(seedLead)
	if trouble {
		core[0].kill()
		s.record.line("core-1 is killed")
	}
	if err := core[2].start(true); err != nil {
		return "", err
	}
	go worker.beats()
	defer worker.crash()
	if trouble {
		time.Sleep(restartPause)
		// This is not the start of the whole system any more.
		if err := core[0].start(false); err != nil {
			return "", err
		}
	}
	acknowledged := make(chan bool, 1)
	go func() { acknowledged <- s.put(config(2, plainRoute()), 2, served, core...) }()
	for n, until := 0, time.Now().Add(served); time.Now().Before(until); n++ {
		id := fmt.Sprintf("%x", 1000+n)
		status := s.fetch(front, id)
		s.record.line("client: request %s ends with status %d", id, status)
		if status == http.StatusOK {
			return "", nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Sprintf("no request is served in %v after the start, and the first configuration is acknowledged: %t", served, <-acknowledged), nil
}
