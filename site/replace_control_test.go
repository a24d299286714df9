package site_test

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
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

// waitUntilQuorumHas waits until a daemon reads a version and the next one is accepted. A read alone may be answered by the
// former leader, within the rest of its lease, when no majority is left.
func (d *daemons) waitUntilQuorumHas(host string, version httproute.Version) {
	d.t.Helper()
	d.waitUntilRead(host, version)
	d.waitUntilReplaced(host, version+1)
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
			s.waitUntilQuorumHas(left[len(left)-1], version)
		})
	}
}

// A planned replacement while two other voters are down leaves a majority: the stopping daemon takes part until its successor
// votes.
func TestPlannedReplacementWithTwoVotersDown(t *testing.T) {
	const successor = "127.0.1.6"
	s := startControlSite(t)
	s.startSuccessors(s.hosts[0], successor)
	leader, other := s.leaderAndOther()
	for _, host := range s.hosts {
		if host != leader && host != other && len(s.running) > 4 {
			s.kill(host)
		}
	}
	s.stopByPlan(other)
	s.waitUntilReplaced(successor, 2)
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

// A control daemon whose disk fails loses its vote to one that waits, though it is started again and again: each of its
// replies ended the silence that the leader waited for.
func TestDaemonWithFailingDiskLosesItsVote(t *testing.T) {
	const successor = "127.0.1.6"
	s := startControlSite(t)
	s.startSuccessors(s.hosts[0], successor)
	leader, other := s.leaderAndOther()
	version := httproute.Version(1)
	s.running[other].failsWrites.Store(true)
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); {
		version++
		s.waitUntilReplaced(leader, version)
		s.waitUntil("the daemon with the failing disk ends", func() bool {
			select {
			case <-s.running[other].done:
				return true
			default:
				return false
			}
		})
		if s.running[successor].control.IsVoter() {
			return
		}
		s.startControl(other, false)
		s.running[other].failsWrites.Store(true)
		time.Sleep(time.Second)
	}
	t.Error("the successor has no vote after 8 s")
}

// Stops, returns and losses of control daemons that overlap with a planned replacement leave five voters that answer, and the
// site tolerates two lost folders then.
func TestReplacementsOverlap(t *testing.T) {
	const sixth, seventh = "127.0.1.6", "127.0.2.1"
	for _, c := range []struct {
		name       string
		successors []string
		disturb    func(s *controlSite)
	}{
		{"the daemon returns with its folder", []string{sixth}, func(s *controlSite) {
			_, other := s.leaderAndOther()
			s.stopByPlan(other)
			s.startControl(other, false)
		}},
		{"all restart in series", []string{sixth}, func(s *controlSite) {
			for _, host := range s.hosts {
				s.stopByPlan(host)
				s.startControl(host, false)
			}
		}},
		{"all restart at once", []string{sixth}, func(s *controlSite) {
			began := time.Now()
			s.stopByPlan(s.hosts...)
			if took := time.Since(began); took > stopsWithoutQuorum {
				s.t.Errorf("the stops took %v", took)
			}
			for _, host := range s.hosts {
				s.startControl(host, false)
			}
		}},
		{"the waiting daemon stops first", []string{sixth}, func(s *controlSite) {
			_, other := s.leaderAndOther()
			s.stopByPlan(sixth)
			s.stopByPlan(other)
			s.startControl(other, false)
		}},
		{"both stop, the waiting daemon returns", []string{sixth}, func(s *controlSite) {
			_, other := s.leaderAndOther()
			s.stopByPlan(sixth, other)
			s.startControl(sixth, false)
		}},
		{"two stop, one waits, one returns", []string{sixth}, func(s *controlSite) {
			leader, other := s.leaderAndOther()
			s.stopByPlan(leader, other)
			s.startControl(other, false)
		}},
		{"the waiting daemon is lost, another one waits", []string{sixth, seventh}, func(s *controlSite) {
			_, other := s.leaderAndOther()
			s.kill(sixth)
			s.stopByPlan(other)
		}},
		{"a stop while the leader is lost", []string{sixth, seventh}, func(s *controlSite) {
			leader, other := s.leaderAndOther()
			s.running[other].control.Stop()
			s.kill(leader)
			s.stopByPlan(other)
		}},
		{"an empty folder returns during a stop", []string{sixth}, func(s *controlSite) {
			leader, other := s.leaderAndOther()
			lost := s.hosts[(slices.Index(s.hosts, other)+1)%len(s.hosts)]
			if lost == leader {
				s.t.Fatal("the leader was to stay")
			}
			s.running[other].control.Stop()
			s.loseFolders(lost)
			s.stopByPlan(other)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startControlSite(t)
			s.startSuccessors(s.hosts[0], c.successors...)
			c.disturb(s)
			left := s.runningHosts()
			s.waitUntil("five voters are running", func() bool {
				voters := s.running[left[0]].control.VoterHosts()
				return len(voters) == 5 && !slices.ContainsFunc(voters, func(host string) bool { return s.running[host] == nil })
			})
			voters := s.running[left[0]].control.VoterHosts()
			time.Sleep(replacementSettles)
			if now := s.running[left[0]].control.VoterHosts(); !slices.Equal(now, voters) {
				t.Errorf("voters change from %v to %v though nothing happens", voters, now)
			}
			const version httproute.Version = 2
			s.waitUntilReplaced(left[0], version)
			s.loseFolders(voters[0], voters[1])
			s.waitUntilQuorumHas(voters[4], version)
		})
	}
}

// stopsWithoutQuorum is less than a stop grace: daemons that stop together don't wait for each other in vain.
const stopsWithoutQuorum = 5 * time.Second

// BenchmarkPlannedRestarts measures what it costs to restart every daemon of a site with ten control daemons: changes of
// members, and how long a daemon takes to stop.
func BenchmarkPlannedRestarts(b *testing.B) {
	for _, atOnce := range []int{1, 2, 5} {
		b.Run(fmt.Sprintf("%d at once", atOnce), func(b *testing.B) {
			var changes atomic.Int64
			var stopping time.Duration
			stops := 0
			for range b.N {
				s := startTenControls(b, &changes)
				changes.Store(0)
				for hosts := range slices.Chunk(s.runningHosts(), atOnce) {
					began := time.Now()
					s.stopByPlan(hosts...)
					stopping += time.Since(began)
					stops++
					for _, host := range hosts {
						s.startControl(host, false)
					}
					s.waitForMembers(10)
				}
				for _, host := range s.runningHosts() {
					s.kill(host)
				}
			}
			b.ReportMetric(float64(changes.Load())/float64(b.N), "changes/op")
			b.ReportMetric(float64(stopping.Milliseconds())/float64(stops), "ms/stop")
		})
	}
}

// startTenControls returns a site with five voters and five learners, whose changes of members are counted.
func startTenControls(t testing.TB, changes *atomic.Int64) *daemons {
	d := newDaemons(t)
	d.log = func(_, line string) {
		if strings.Contains(line, "control members changed") {
			changes.Add(1)
		}
	}
	for i := 1; i <= 10; i++ {
		host := fmt.Sprintf("127.0.1.%d", i)
		d.ports[host] = freePort(t, host)
		d.startControl(host, i <= 5)
	}
	d.waitUntilReplaced("127.0.1.1", 1)
	d.waitForMembers(10)
	return d
}

// waitForMembers waits until all daemons know n members, five of them voters.
func (d *daemons) waitForMembers(n int) {
	d.waitUntil("all are members", func() bool {
		for _, r := range d.running {
			if r.control.Voters() != 5 || r.control.MemberCount() != n {
				return false
			}
		}
		return true
	})
}

// replacementSettles is longer than a silence after which a voter is replaced.
const replacementSettles = 3 * time.Second
