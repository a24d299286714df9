package site_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/site"
)

// A leader reports a configuration once when it is in force at all entries that call, and once when some are late.
func TestRolloutReports(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	type report = site.RolloutReport
	for _, c := range []struct {
		name string
		play func(r site.Rollout) []report
		want []report
	}{
		{"no entries", func(r site.Rollout) []report {
			r.Track(at(0), at(0), 7)
			return r.NewReports(at(10))
		}, []report{{Version: 7, After: 10 * time.Millisecond}}},
		{"one entry after the other", func(r site.Rollout) []report {
			r.NoteVersion(at(0), "a", 6)
			r.NoteVersion(at(0), "b", 6)
			r.Track(at(10), at(10), 7)
			r.NoteVersion(at(100), "a", 7)
			list := r.NewReports(at(150))
			r.NoteVersion(at(200), "b", 8)
			return append(list, append(r.NewReports(at(210)), r.NewReports(at(220))...)...)
		}, []report{{Version: 7, After: 200 * time.Millisecond, Entries: 2}}},
		{"one is late and then has it in force", func(r site.Rollout) []report {
			var list []report
			r.NoteVersion(at(0), "a", 7)
			r.Track(at(0), at(0), 7)
			for ms := 0; ms <= 1500; ms += 100 {
				version := httproute.Version(6)
				if ms == 1500 {
					version = 7
				}
				r.NoteVersion(at(ms), "b", version)
				list = append(list, r.NewReports(at(ms))...)
			}
			return list
		}, []report{
			{Version: 7, After: time.Second, Entries: 2, Missing: []string{"b"}},
			{Version: 7, After: 1500 * time.Millisecond, Entries: 2},
		}},
		{"one that has stopped calling does not count", func(r site.Rollout) []report {
			r.NoteVersion(at(0), "a", 6)
			r.Track(at(100), at(100), 7)
			list := r.NewReports(at(900))
			return append(list, r.NewReports(at(1000))...)
		}, []report{{Version: 7, After: 900 * time.Millisecond, Entries: 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if diff := cmp.Diff(c.want, c.play(site.NewRollout())); diff != "" {
				t.Errorf("reports (-want +got):\n%s", diff)
			}
		})
	}
}

// A log limiter allows a number of lines a second, and counts the events that it suppressed.
func TestLogLimiter(t *testing.T) {
	l := site.NewLogLimiter(2)
	start := time.Now()
	type line struct {
		Occurrences int
		OK          bool
	}
	var got []line
	for _, ms := range []int{0, 1, 2, 3, 1000, 1001, 1002} {
		occurrences, ok := l.Allow(start.Add(time.Duration(ms) * time.Millisecond))
		got = append(got, line{occurrences, ok})
	}
	want := []line{{1, true}, {1, true}, {0, false}, {0, false}, {3, true}, {1, true}, {0, false}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}

// A confirmation waits for entries that call and lack the version, and at a new leader for those of its predecessor.
func TestConfirmationWaitsForEntries(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	type call struct {
		ms      int
		entry   string
		version httproute.Version
	}
	for _, c := range []struct {
		name     string
		expected int
		calls    []call
		at       int
		want     time.Duration
	}{
		{"no entry is known", 0, nil, 100, 0},
		{"one that lacks it", 0, []call{{50, "a", 6}}, 100, 500 * time.Millisecond},
		{"one that lacks it, later", 0, []call{{50, "a", 6}}, 400, 200 * time.Millisecond},
		{"a proposal that took long", 0, []call{{50, "a", 6}}, 610, -10 * time.Millisecond},
		{"one that has it", 0, []call{{50, "a", 7}}, 100, 0},
		{"one that has a newer one", 0, []call{{50, "a", 9}}, 100, 0},
		{"one of two that the predecessor had", 2, []call{{50, "a", 7}}, 100, 500 * time.Millisecond},
		{"both", 2, []call{{50, "a", 7}, {60, "b", 7}}, 100, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := site.NewRolloutOfSuccessor(at(0), c.expected)
			for _, call := range c.calls {
				r.NoteVersion(at(call.ms), call.entry, call.version)
			}
			r.Track(at(0), at(100), 7)
			if diff := cmp.Diff(c.want, r.RemainingWait(at(c.at), 7)); diff != "" {
				t.Errorf("remaining wait (-want +got):\n%s", diff)
			}
		})
	}
}
