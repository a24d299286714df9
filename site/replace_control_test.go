package site_test

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
)

// stopByPlan begins the planned stop of daemons at the same time and waits until they have ended.
func (d *daemons) stopByPlan(hosts ...string) {
	d.t.Helper()
	for _, host := range hosts {
		d.running[host].control.Stop()
	}
	for _, host := range hosts {
		select {
		case <-d.running[host].done:
		case <-time.After(conditionTimeout):
			d.t.Fatalf("%s does not end", host)
		}
		delete(d.running, host)
	}
}

// startSuccessors starts control daemons with empty folders and waits until they are members, as the given daemon knows.
func (d *daemons) startSuccessors(known string, hosts ...string) {
	d.t.Helper()
	for _, host := range hosts {
		d.startControl(host, false)
	}
	d.waitUntil("the successors are members", func() bool {
		for _, host := range hosts {
			if !d.running[known].control.HasMember(host) {
				return false
			}
		}
		return true
	})
}

// loseFolders ends daemons, removes their folders and starts them again.
func (d *daemons) loseFolders(hosts ...string) {
	d.t.Helper()
	for _, host := range hosts {
		d.kill(host)
	}
	for _, host := range hosts {
		if err := os.RemoveAll(filepath.Join(d.dir, host)); err != nil {
			d.t.Fatal(err)
		}
	}
	for _, host := range hosts {
		d.startControl(host, false)
	}
}

// Two folders may be lost as soon as a replaced control daemon has ended by plan. Its vote ended 2.5 s later, and what was
// acknowledged in between was gone for good.
func TestPlannedReplacementToleratesTwoLostFolders(t *testing.T) {
	const fourth, fifth, sixth, seventh = "127.0.1.4", "127.0.1.5", "127.0.1.6", "127.0.2.1"
	for _, c := range []struct {
		name       string
		successors []string
		replace    func(s *controlSite)
	}{
		{"a follower", []string{sixth}, func(s *controlSite) {
			_, other := s.leaderAndOther()
			s.stopByPlan(other)
		}},
		{"the leader", []string{sixth}, func(s *controlSite) {
			leader, _ := s.leaderAndOther()
			s.stopByPlan(leader)
		}},
		{"two in series", []string{sixth, seventh}, func(s *controlSite) {
			s.stopByPlan(fourth)
			s.stopByPlan(fifth)
		}},
		{"two at once", []string{sixth, seventh}, func(s *controlSite) { s.stopByPlan(fourth, fifth) }},
		{"the leader and another one at once", []string{sixth, seventh}, func(s *controlSite) {
			leader, other := s.leaderAndOther()
			s.stopByPlan(leader, other)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startControlSite(t)
			s.startSuccessors(s.hosts[0], c.successors...)
			c.replace(s)
			left := s.runningHosts()
			const version httproute.Version = 2
			s.waitUntilReplaced(left[0], version)
			s.loseFolders(left[0], left[1])
			s.waitUntilRead(left[len(left)-1], version)
		})
	}
}

// runningHosts returns the hosts of the running daemons in order.
func (d *daemons) runningHosts() []string {
	var hosts []string
	for host := range d.running {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	return hosts
}

// A control daemon that stops while none waits ends at once and keeps its vote.
func TestStopWithoutSuccessorDoesNotWait(t *testing.T) {
	s := startControlSite(t)
	_, other := s.leaderAndOther()
	began := time.Now()
	s.stopByPlan(other)
	if took := time.Since(began); took > time.Second {
		t.Errorf("the stop took %v", took)
	}
	s.waitForVoters(s.runningHosts()[0], 5)
}
