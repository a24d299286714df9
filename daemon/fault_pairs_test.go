package daemon_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/caller"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/operator"
)

// testFault is a fault that a test injects into the cluster and repairs afterwards.
type testFault struct {
	name string
	// inject causes the fault and returns the function that repairs it.
	inject func(s *testCluster) (repair func())
}

// groupMember returns the member of group g with rank i modulo the group's size.
func (s *testCluster) groupMember(i int) ident.VM {
	for _, name := range s.names {
		if g := s.group(name, "g"); len(g.Members) > 0 {
			return g.Members[i%len(g.Members)]
		}
	}
	s.t.Fatal("no daemon knows group g")
	return ""
}

func (s *testCluster) currentLeader() ident.Daemon {
	for _, name := range s.names {
		if st := s.status(name); st.Leader != "" && s.running[st.Leader] != nil {
			return st.Leader
		}
	}
	return s.names[0]
}

var faults = []testFault{
	{"a member crashes", func(s *testCluster) func() {
		vm := s.groupMember(1)
		s.engines[vm].Kill()
		return func() { _ = s.engines[vm].Start(string(vm) + ":1") }
	}},
	{"the first member freezes", func(s *testCluster) func() {
		e := s.engines[s.groupMember(0)]
		e.Pause()
		return e.Resume
	}},
	{"the leader is partitioned", func(s *testCluster) func() {
		name := s.currentLeader()
		s.network.setPartitioned(name, true)
		return func() { s.network.setPartitioned(name, false) }
	}},
	{"a daemon is killed", func(s *testCluster) func() {
		s.kill("b")
		return func() {
			if s.running["b"] == nil {
				s.start("b")
			}
		}
	}},
	{"a domain fails", func(s *testCluster) func() {
		for _, vm := range []ident.VM{"w1", "w2", "w3"} {
			s.engines[vm].Kill()
		}
		return func() {
			for _, vm := range []ident.VM{"w1", "w2", "w3"} {
				_ = s.engines[vm].Start(string(vm) + ":1")
			}
		}
	}},
	{"two operators change labels", func(s *testCluster) func() {
		var wg sync.WaitGroup
		for i, name := range []ident.Daemon{"a", "c"} {
			if s.running[name] == nil {
				continue
			}
			wg.Go(func() {
				label := &operator.LabelChange{VM: "w1", Set: map[string]string{"by": fmt.Sprint(i)}}
				_, _ = s.submitChange(name, &operator.Change{Label: label})
			})
		}
		return wg.Wait
	}},
}

// Injects every ordered pair of faults at the same moment, also a fault with itself. During the faults every successful
// response is complete and every request reported as not run did not run; after the repair the group is whole again on
// every daemon.
func TestFaultsInPairs(t *testing.T) {
	for i := range faults {
		for j := range faults {
			first, second := &faults[i], &faults[j]
			t.Run(fmt.Sprintf("%s and %s", first.name, second.name), func(t *testing.T) {
				t.Parallel()
				withTestCluster(t, []string{"d1: w1 w2 w3", "d2: w4 w5 w6"}, func(t *testing.T, s *testCluster) {
					s.createGroup("g", 2)
					revisions := map[ident.Daemon]ident.Revision{}
					repairs := []func(){first.inject(s), second.inject(s)}
					for n := range 6 {
						s.requestFromAll(n)
						time.Sleep(time.Second)
						s.checkRevisions(revisions)
					}
					for _, repair := range repairs {
						repair()
					}
					if s.running["b"] == nil {
						s.start("b")
					}
					s.waitServing(s.names...)
					for _, name := range s.names {
						s.waitWhole(name, "g")
					}
					s.checkRevisions(revisions)
					if a := s.complete("b", "g", "at last", 3, nil); a.text != expectedText("at last", 3) {
						t.Errorf("request after the repair: status %d, code %s, error %v", a.status, a.code, a.err)
					}
				})
			})
		}
	}
}

// requestFromAll sends one request through each running daemon and checks the responses.
func (s *testCluster) requestFromAll(n int) {
	for _, name := range s.names {
		if s.running[name] == nil {
			continue
		}
		prompt := fmt.Sprint("request ", n, " through ", name)
		a := s.complete(name, "g", prompt, 3, map[string]string{caller.HeaderDeadline: "2s"})
		if a.status == 200 && a.text != expectedText(prompt, 3) {
			s.t.Errorf("%s: wrong text %q", prompt, a.text)
		}
		if a.notRun && s.runsOf(prompt) > 0 {
			s.t.Errorf("%s: reported as not run, but ran %d times", prompt, s.runsOf(prompt))
		}
	}
}

// checkRevisions checks that no serving daemon's revision is below the highest one that it has had.
func (s *testCluster) checkRevisions(highest map[ident.Daemon]ident.Revision) {
	for _, name := range s.names {
		if s.running[name] == nil {
			continue
		}
		status := s.status(name)
		if status.Serving && status.Revision < highest[name] {
			s.t.Errorf("%s serves by revision %d, want at least %d", name, status.Revision, highest[name])
		}
		highest[name] = max(highest[name], status.Revision)
	}
}
