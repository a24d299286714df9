//go:build review

package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dunlinquay/dunlinquay/platform"
	"github.com/dunlinquay/dunlinquay/replicaset"
	"github.com/dunlinquay/dunlinquay/roster"
)

func init() { cases["late-heartbeat"] = lateBeat }

// usualElection is about how long the site is without a leader after one was killed.
const usualElection = 500 * time.Millisecond

// lateBeat kills the control daemon that has just ordered a group to open, while a heartbeat of each spare is late.
func lateBeat(s *site, trouble bool) (string, error) {
	var core []*daemon
	var calls []string
	for i := range 5 {
		d := s.add(fmt.Sprintf("core-%d", i+1), i+1, true)
		core = append(core, d)
		calls = append(calls, net.JoinHostPort(d.host, strconv.Itoa(controlPort)))
	}
	s.seeds = calls[:3]
	entry := s.add("front-1", 11, false)
	for _, d := range append(core[:5:5], entry) {
		if err := d.start(true); err != nil {
			return "", err
		}
	}
	var mu sync.Mutex
	var broken string
	engines := map[string]*engine{}
	var list []*engine
	var awaitsOpen atomic.Bool
	openedAt := make(chan time.Time, 1)
	joined := func(e *engine, before roster.Membership, members []string, o *replicaset.Order) {
		if before.State == roster.MemberNone || before.Group == o.Group || len(members) == 0 {
			return
		}
		head := before
		if members[0] != e.id {
			head = engines[members[0]].place()
		}
		s.record.line("worker %s takes a join of %s while in %s, whose head %s is %q in %s", e.id, o.Group, before.Group, members[0], head.State, head.Group)
		if head.Group == before.Group && head.Epoch == before.Epoch && (head.State == roster.MemberOpen || head.State == roster.MemberClosing) {
			mu.Lock()
			defer mu.Unlock()
			broken = fmt.Sprintf("worker %s takes a join of group %s while the head %s of its own group %s is %s", e.id, o.Group, members[0], before.Group, head.State)
		}
	}
	opened := func(e *engine) {
		if !awaitsOpen.CompareAndSwap(true, false) {
			return
		}
		if d := leaderOf(e, core); d != nil && trouble {
			d.kill()
			s.record.line("%s, which gave the order to open, is killed", d.name)
		}
		openedAt <- time.Now()
	}
	for i := range 4 {
		e, err := s.engine(fmt.Sprintf("i-%d", i+1), "domain-a", s.host(21+i), calls)
		if err != nil {
			return "", err
		}
		e.joined, e.opened = joined, opened
		engines[e.id] = e
		list = append(list, e)
	}
	for _, e := range list {
		go e.beats()
	}
	if !s.put(config(2, plainRoute(), modelRoute()), 2, 20*time.Second, core...) {
		return "", errors.New("the first configuration is not acknowledged")
	}
	time.Sleep(8 * time.Second)
	stop := make(chan struct{})
	defer close(stop)
	for c := range 2 {
		go func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(300 * time.Millisecond):
				}
				if status := s.stream(entry, fmt.Sprintf("%x", 1000000*(c+1)+n)); status != http.StatusOK {
					s.record.line("client %d: request %d ends with %d", c, n, status)
				}
			}
		}()
	}
	time.Sleep(16 * time.Second)
	for _, e := range list {
		s.record.line("worker %s: %+v", e.id, e.place())
	}
	if broken != "" {
		return broken, nil
	}
	// The spares' heartbeats are held up from here on, each once; the workers call the next daemon, as they do after a second.
	var spares []*engine
	for _, e := range list {
		if e.place().State == roster.MemberNone {
			spares = append(spares, e)
			e.mu.Lock()
			e.holds = true
			e.mu.Unlock()
		}
	}
	if len(spares) < 2 {
		return "", errors.New("there are not two spares")
	}
	time.Sleep(reportEvery + time.Second + 100*time.Millisecond)
	awaitsOpen.Store(true)
	for _, e := range list {
		if e.place().State != roster.MemberNone {
			e.crash()
		}
	}
	select {
	case <-openedAt:
	case <-time.After(15 * time.Second):
		return "", errors.New("no group was opened")
	}
	if trouble {
		awaitLeader(core)
	} else {
		time.Sleep(usualElection)
	}
	for _, e := range spares {
		go e.deliver()
	}
	time.Sleep(10 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	return broken, nil
}

// leaderOf returns the daemon to which a worker reports: the one that an answer named, or that answered itself.
func leaderOf(e *engine, core []*daemon) *daemon {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, d := range core {
		if e.leader == net.JoinHostPort(d.host, strconv.Itoa(controlPort)) {
			return d
		}
	}
	return nil
}

// awaitLeader returns once a daemon answers with the configuration, which only a leader confirms.
func awaitLeader(core []*daemon) {
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		for _, d := range core {
			if !d.running() {
				continue
			}
			status, _, err := call(300*time.Millisecond, http.MethodGet, d.controlURL()+platform.ReadConfigPath, nil)
			if err == nil && status == http.StatusOK {
				d.site.record.line("operator: %s answers again", d.name)
				return
			}
		}
	}
}

func (d *daemon) running() bool {
	select {
	case <-d.ended:
		return false
	default:
		return true
	}
}
