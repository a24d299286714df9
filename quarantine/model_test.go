package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quarantine"
)

// site is a few lists that tell each other of one work which ends whatever runs it.
type site struct {
	lists []*quarantine.List
	// runs counts the runs of each list since it was last empty, all of them together lives.
	runs  []int
	lives int
	// wire holds what was told and has not arrived.
	wire []told
}

type told struct {
	to     int
	report quarantine.Report
}

func newModel(n int) *site {
	s := &site{runs: make([]int, n)}
	for range n {
		s.lists = append(s.lists, newList())
	}
	return s
}

// ask lets the work come to one list, which runs it unless it is held.
func (s *site) ask(i int) {
	if s.lists[i].Remaining(start, work) > 0 {
		return
	}
	s.lives++
	s.runs[i]++
	report := s.lists[i].Crashed(start, work, quarantine.CrashIDOf(ident.Incarnation(fmt.Sprint("life-", s.lives))))
	for to := range s.lists {
		if to != i {
			s.wire = append(s.wire, told{to, report})
		}
	}
}

// arrive lets one report arrive, which stays on its way when it is to come again.
func (s *site) arrive(n int, again bool) {
	t := s.wire[n]
	s.lists[t.to].Merge(start, &t.report)
	if !again {
		s.lose(n)
	}
}

func (s *site) lose(n int) {
	s.wire = append(s.wire[:n:n], s.wire[n+1:]...)
}

// meet lets one list tell another all that it has to tell.
func (s *site) meet(from, to int) {
	for _, r := range s.lists[from].ToSend(start, 10) {
		s.lists[to].Merge(start, &r)
	}
}

// Whatever is lost, late or repeated, and whoever forgets everything: no list runs the work more than three times, and once each has
// met each other nobody runs it as soon as there were three ends. Where every report arrives before the next request there are three.
func TestTheBoundHoldsInEveryOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "lists")
		s := newModel(n)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "list")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				s.ask(i)
			case 2, 3:
				if len(s.wire) > 0 {
					s.arrive(rapid.IntRange(0, len(s.wire)-1).Draw(t, "report"), rapid.Bool().Draw(t, "again"))
				}
			case 4:
				if len(s.wire) > 0 {
					s.lose(rapid.IntRange(0, len(s.wire)-1).Draw(t, "report"))
				}
			case 5:
				s.lists[i], s.runs[i] = newList(), 0
			}
			if s.runs[i] > 3 {
				t.Fatalf("list %d ran the work %d times", i, s.runs[i])
			}
		}
		for from := range n {
			for to := range n {
				s.meet(from, to)
				s.meet(to, from)
			}
		}
		before, most := s.lives, 0
		for i := range n {
			most = max(most, s.lists[i].Crashes(work))
		}
		for i := range n {
			s.ask(i)
		}
		if most >= 3 && s.lives > before {
			t.Fatalf("ran %d times more although the lists knew of %d ends", s.lives-before, most)
		}
	})
}

// Where every report arrives before the next request, three runs are all, however many lists there are.
func TestThreeRunsWhereNewsArrive(t *testing.T) {
	for _, n := range []int{1, 3, 9, 30, 300} {
		s := newModel(n)
		for i := range 2 * n {
			s.ask(i % n)
			for len(s.wire) > 0 {
				s.arrive(0, false)
			}
		}
		if want := min(3, 2*n); s.lives != want {
			t.Errorf("%d lists: %d runs, want %d", n, s.lives, want)
		}
	}
}

// An hour of repeats, one each second, ends nine upstreams and no more.
func TestAnHourOfRepeats(t *testing.T) {
	l := newList()
	runs := 0
	for now := start; now.Before(start.Add(time.Hour)); now = now.Add(time.Second) {
		if l.Remaining(now, work) > 0 {
			continue
		}
		runs++
		l.BeginTrial(now, work)
		l.Crashed(now, work, endOf(runs))
	}
	if runs > 9 {
		t.Errorf("%d runs in an hour, want 9 at most", runs)
	}
}
