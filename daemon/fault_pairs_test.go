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

// fault is something that breaks, and how it is repaired.
type fault struct {
	name string
	// strike breaks it and returns what repairs it.
	strike func(s *site) (repair func())
}

// member returns the group's member at place i, counted round.
func (s *site) member(i int) ident.VM {
	for _, name := range s.names {
		if g := s.group(name, "g"); len(g.Members) > 0 {
			return g.Members[i%len(g.Members)]
		}
	}
	s.t.Fatal("no group")
	return ""
}

func (s *site) leaderNow() ident.Daemon {
	for _, name := range s.names {
		if st := s.status(name); st.Leader != "" && s.running[st.Leader] != nil {
			return st.Leader
		}
	}
	return s.names[0]
}

var faults = []fault{
	{"a member dies", func(s *site) func() {
		vm := s.member(1)
		s.engines[vm].Kill()
		return func() { _ = s.engines[vm].Start(string(vm) + ":1") }
	}},
	{"the first member freezes", func(s *site) func() {
		e := s.engines[s.member(0)]
		e.Pause()
		return e.Resume
	}},
	{"the leader is cut off", func(s *site) func() {
		name := s.leaderNow()
		s.wire.setCut(name, true)
		return func() { s.wire.setCut(name, false) }
	}},
	{"a daemon is killed", func(s *site) func() {
		s.kill("b")
		return func() {
			if s.running["b"] == nil {
				s.start("b")
			}
		}
	}},
	{"the domain is dark", func(s *site) func() {
		for _, vm := range []ident.VM{"w1", "w2", "w3"} {
			s.engines[vm].Kill()
		}
		return func() {
			for _, vm := range []ident.VM{"w1", "w2", "w3"} {
				_ = s.engines[vm].Start(string(vm) + ":1")
			}
		}
	}},
	{"two operators change labels", func(s *site) func() {
		var wg sync.WaitGroup
		for i, name := range []ident.Daemon{"a", "c"} {
			if s.running[name] == nil {
				continue
			}
			wg.Go(func() {
				label := &operator.LabelChange{VM: "w1", Set: map[string]string{"by": fmt.Sprint(i)}}
				_, _ = s.change(name, &operator.Change{Label: label})
			})
		}
		return wg.Wait
	}},
}

// Every fault with every other one at the same moment, and each of them twice. Whatever happens meanwhile, what is
// answered is whole and what is called not run did not run; afterwards everything is as it was declared.
func TestFaultsInPairs(t *testing.T) {
	for i := range faults {
		for j := range faults {
			first, second := &faults[i], &faults[j]
			t.Run(fmt.Sprintf("%s and %s", first.name, second.name), func(t *testing.T) {
				t.Parallel()
				bubble(t, []string{"d1: w1 w2 w3", "d2: w4 w5 w6"}, func(t *testing.T, s *site) {
					s.create("g", 2)
					revisions := map[ident.Daemon]ident.Revision{}
					repairs := []func(){first.strike(s), second.strike(s)}
					for n := range 6 {
						s.askAll(n)
						time.Sleep(time.Second)
						s.rise(revisions)
					}
					for _, repair := range repairs {
						repair()
					}
					if s.running["b"] == nil {
						s.start("b")
					}
					s.awaitServing(s.names...)
					for _, name := range s.names {
						s.awaitWhole(name, "g")
					}
					s.rise(revisions)
					if a := s.ask("b", "g", "at last", 3, nil); a.text != expected("at last", 3) {
						t.Errorf("afterwards: status %d, code %s, error %v", a.status, a.code, a.err)
					}
				})
			})
		}
	}
}

// askAll sends one request through each daemon that runs and judges the answers.
func (s *site) askAll(n int) {
	for _, name := range s.names {
		if s.running[name] == nil {
			continue
		}
		prompt := fmt.Sprint("request ", n, " through ", name)
		a := s.ask(name, "g", prompt, 3, map[string]string{caller.HeaderDeadline: "2s"})
		if a.status == 200 && a.text != expected(prompt, 3) {
			s.t.Errorf("%s: answer %q", prompt, a.text)
		}
		if a.notRun && s.runsOf(prompt) > 0 {
			s.t.Errorf("%s: called not run after %d runs", prompt, s.runsOf(prompt))
		}
	}
}

// rise holds every daemon that serves to a revision that only rises.
func (s *site) rise(revisions map[ident.Daemon]ident.Revision) {
	for _, name := range s.names {
		if s.running[name] == nil {
			continue
		}
		st := s.status(name)
		if st.Serving && st.Revision < revisions[name] {
			s.t.Errorf("%s serves by revision %d after %d", name, st.Revision, revisions[name])
		}
		revisions[name] = max(revisions[name], st.Revision)
	}
}
