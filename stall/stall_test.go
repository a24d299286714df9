package stall_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/stall"
)

const ms = time.Millisecond

// The margin covers all but two in a thousand events and forgets old generations; events after a stall are ignored.
func TestMargin(t *testing.T) {
	var margin stall.Margin
	note := func(n int, late time.Duration) time.Duration {
		for range n {
			margin.Observe(late)
		}
		return margin.Current()
	}
	// A small sample adds up to 100 ms: 100 ms with 50 events, 5 ms with 1,000.
	got := []time.Duration{
		margin.Current(), note(49, -12*ms), note(1, -12*ms), note(50, -12*ms), note(900, -12*ms), note(1, 33*ms), note(5, 33*ms), note(99, 600*ms),
		note(4000, -12*ms), note(4000, -12*ms), note(40, 119*ms), note(4000, -200*ms), note(4000, -200*ms),
	}
	want := []time.Duration{100 * ms, 100 * ms, 90 * ms, 40 * ms, -5 * ms, -5 * ms, 40 * ms, 40 * ms, -10 * ms, -10 * ms, 120 * ms, 120 * ms, -95 * ms}
	for i := range got {
		got[i] = got[i].Round(5 * ms)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("margins (-want +got):\n%s", diff)
	}
}

func TestRequiredSuspicions(t *testing.T) {
	for _, tt := range []struct{ requests, entries, want int }{
		{0, 89, 2}, {1, 89, 2}, {5, 89, 2}, {20, 89, 8}, {48, 89, 15}, {10, 8, 3}, {26, 8, 4}, {20, 1, 2}, {20, 0, 2},
	} {
		if got := stall.RequiredSuspicions(tt.requests, tt.entries); got != tt.want {
			t.Errorf("%d requests of %d entries: %d suspicions required, want %d", tt.requests, tt.entries, got, tt.want)
		}
	}
}

func TestSuspicions(t *testing.T) {
	var suspicions stall.Suspicions[string]
	now := time.Unix(1000, 0)
	got := []int{suspicions.Count(now)}
	suspicions.Add(now, now.Add(-70*ms), "a")
	suspicions.Add(now, now.Add(-70*ms), "a")
	suspicions.Add(now.Add(200*ms), now.Add(100*ms), "b")
	got = append(got, suspicions.Count(now.Add(250*ms)), suspicions.Count(now.Add(400*ms)))
	suspicions.Clear()
	got = append(got, suspicions.Count(now.Add(400*ms)))
	if diff := cmp.Diff([]int{0, 2, 1, 0}, got); diff != "" {
		t.Errorf("suspicions (-want +got):\n%s", diff)
	}
	// An event of the last iteration that a suspecting entry saw refutes nothing, one of a later iteration does.
	suspicions.Add(now, now.Add(-70*ms), "a")
	suspicions.Add(now, now.Add(-40*ms), "b")
	refuted := []bool{suspicions.Refute(now.Add(-60 * ms)), suspicions.Refute(now.Add(-30 * ms)), suspicions.Refute(now.Add(-30 * ms))}
	if diff := cmp.Diff([]bool{false, true, false}, refuted); diff != "" {
		t.Errorf("refuted (-want +got):\n%s", diff)
	}
	if got := suspicions.Count(now); got != 1 {
		t.Errorf("%d suspicions after one was refuted, want 1", got)
	}
}

// 60 entries have streams at 18 groups with realistic delays, and a link loses one packet in forty for a third of the entries: there is
// no false alarm in ten minutes, and a group that stalls is suspected by enough entries within 300 ms after its event was due.
func TestFalseAlarmsAndDetection(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	const entries, streams, iteration = 60, 18, 45 * ms
	var margins [entries]stall.Margin
	now := time.Unix(1000, 0)
	required := stall.RequiredSuspicions(streams, entries)
	alarms := 0
	for range 18 * 600 * 20 {
		var suspicions stall.Suspicions[int]
		for range streams {
			entry := random.IntN(entries)
			late := time.Duration((random.ExpFloat64()*4 - 15) * float64(ms))
			if entry < entries/3 && random.IntN(40) == 0 {
				late += 200 * ms // retransmitted by TCP
			}
			if late > margins[entry].Current() {
				suspicions.Add(now, now, entry)
			}
			margins[entry].Observe(late)
		}
		if suspicions.Count(now) >= required {
			alarms++
		}
	}
	if alarms > 0 {
		t.Errorf("%d false alarms", alarms)
	}
	var suspicions stall.Suspicions[int]
	var worst time.Duration
	for range streams {
		entry := random.IntN(entries)
		suspicions.Add(now, now, entry)
		worst = max(worst, margins[entry].Current())
	}
	if suspicions.Count(now) < required || worst > 300*ms {
		t.Errorf("a stalled group is suspected by %d of %d required within %v", suspicions.Count(now), required, iteration+worst)
	}
}
