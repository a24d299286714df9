package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quarantine"
)

// listNetwork is a number of lists that report to each other on one fingerprint; every run of its request crashes an upstream.
type listNetwork struct {
	lists []*quarantine.List
	// runs counts the runs of each list since it was last reset, crashes the runs of all lists.
	runs    []int
	crashes int
	// inFlight holds the reports that were sent and have not arrived.
	inFlight []delivery
}

type delivery struct {
	to     int
	report quarantine.Report
}

func newListNetwork(n int) *listNetwork {
	s := &listNetwork{runs: make([]int, n)}
	for range n {
		s.lists = append(s.lists, newList())
	}
	return s
}

// request runs the request at one list unless it is quarantined there.
func (s *listNetwork) request(listIndex int) {
	if s.lists[listIndex].Remaining(startTime, testFingerprint) > 0 {
		return
	}
	s.crashes++
	s.runs[listIndex]++
	report := s.lists[listIndex].Crashed(startTime, testFingerprint, quarantine.CrashIDOf(ident.Incarnation(fmt.Sprint("life-", s.crashes))))
	for to := range s.lists {
		if to != listIndex {
			s.inFlight = append(s.inFlight, delivery{to, report})
		}
	}
}

// deliver delivers one report, which stays in flight if it is to be repeated.
func (s *listNetwork) deliver(n int, repeated bool) {
	delivered := s.inFlight[n]
	s.lists[delivered.to].Merge(startTime, &delivered.report)
	if !repeated {
		s.drop(n)
	}
}

func (s *listNetwork) drop(n int) {
	s.inFlight = append(s.inFlight[:n:n], s.inFlight[n+1:]...)
}

// exchange sends all reports of one list to another.
func (s *listNetwork) exchange(from, to int) {
	for _, r := range s.lists[from].ToSend(startTime, 10) {
		s.lists[to].Merge(startTime, &r)
	}
}

// Whatever reports are lost, late or repeated, and whichever lists are reset: no list runs the request more than three times, and once
// all lists have exchanged reports, none runs it if any knew of three crashes.
func TestTheBoundHoldsInEveryOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "lists")
		network := newListNetwork(n)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			i := rapid.IntRange(0, n-1).Draw(t, "list")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				network.request(i)
			case 2, 3:
				if len(network.inFlight) > 0 {
					network.deliver(rapid.IntRange(0, len(network.inFlight)-1).Draw(t, "report"), rapid.Bool().Draw(t, "again"))
				}
			case 4:
				if len(network.inFlight) > 0 {
					network.drop(rapid.IntRange(0, len(network.inFlight)-1).Draw(t, "report"))
				}
			case 5:
				network.lists[i], network.runs[i] = newList(), 0
			}
			if network.runs[i] > 3 {
				t.Fatalf("list %d ran the request %d times", i, network.runs[i])
			}
		}
		for from := range n {
			for to := range n {
				network.exchange(from, to)
				network.exchange(to, from)
			}
		}
		before, maxCrashes := network.crashes, 0
		for i := range n {
			maxCrashes = max(maxCrashes, network.lists[i].Crashes(testFingerprint))
		}
		for i := range n {
			network.request(i)
		}
		if maxCrashes >= 3 && network.crashes > before {
			t.Fatalf("ran %d times more although the lists knew of %d crashes", network.crashes-before, maxCrashes)
		}
	})
}

// If every report arrives before the next request, there are three runs, however many lists there are.
func TestThreeRunsWithReliableDelivery(t *testing.T) {
	for _, n := range []int{1, 3, 9, 30, 300} {
		network := newListNetwork(n)
		for i := range 2 * n {
			network.request(i % n)
			for len(network.inFlight) > 0 {
				network.deliver(0, false)
			}
		}
		if want := min(3, 2*n); network.crashes != want {
			t.Errorf("%d lists: %d runs, want %d", n, network.crashes, want)
		}
	}
}

// A request repeated every second crashes at most nine upstreams in an hour, and one more in each hour after that, while reports are exchanged
// as well.
func TestRepeatedRequestsForHours(t *testing.T) {
	list := newList()
	runs := 0
	const hours = 6
	for now := startTime; now.Before(startTime.Add(hours * time.Hour)); now = now.Add(1001 * time.Millisecond) {
		list.ToSend(now.Add(-time.Millisecond), 4)
		if list.Remaining(now, testFingerprint) > 0 {
			continue
		}
		runs++
		list.BeginTrial(now, testFingerprint)
		list.Crashed(now, testFingerprint, crashID(runs))
	}
	if want := 9 + hours - 1; runs > want {
		t.Errorf("%d runs in %d hours, want %d at most", runs, hours, want)
	}
}

// A request repeated every second crashes at most nine upstreams in an hour.
func TestRepeatedRequestsForAnHour(t *testing.T) {
	list := newList()
	runs := 0
	for now := startTime; now.Before(startTime.Add(time.Hour)); now = now.Add(time.Second) {
		if list.Remaining(now, testFingerprint) > 0 {
			continue
		}
		runs++
		list.BeginTrial(now, testFingerprint)
		list.Crashed(now, testFingerprint, crashID(runs))
	}
	if runs > 9 {
		t.Errorf("%d runs in an hour, want 9 at most", runs)
	}
}
