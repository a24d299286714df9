package stall_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/stall"
)

const ms = time.Millisecond

// The margin is what all but two in a thousand signs keep, and forgets what was late long ago; a sign after a stall teaches nothing.
func TestMargin(t *testing.T) {
	var m stall.Margin
	note := func(n int, late time.Duration) time.Duration {
		for range n {
			m.Observe(late)
		}
		return m.Current()
	}
	// Of few signs the margin is up to 100 ms more: 100 ms with 50 signs, 5 ms with 1,000.
	got := []time.Duration{
		m.Current(), note(49, -12*ms), note(1, -12*ms), note(50, -12*ms), note(900, -12*ms), note(1, 33*ms), note(5, 33*ms), note(99, 600*ms),
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

func TestWitnesses(t *testing.T) {
	for _, c := range []struct{ requests, entries, want int }{
		{0, 89, 2}, {1, 89, 2}, {5, 89, 2}, {20, 89, 8}, {48, 89, 15}, {10, 8, 3}, {26, 8, 4}, {20, 1, 2}, {20, 0, 2},
	} {
		if got := stall.RequiredSuspicions(c.requests, c.entries); got != c.want {
			t.Errorf("%d requests of %d entries: %d witnesses, want %d", c.requests, c.entries, got, c.want)
		}
	}
}

func TestSuspicions(t *testing.T) {
	var d stall.Suspicions[string]
	at := time.Unix(1000, 0)
	got := []int{d.Count(at)}
	d.Add(at, at.Add(-70*ms), "a")
	d.Add(at, at.Add(-70*ms), "a")
	d.Add(at.Add(200*ms), at.Add(100*ms), "b")
	got = append(got, d.Count(at.Add(250*ms)), d.Count(at.Add(400*ms)))
	d.Clear()
	got = append(got, d.Count(at.Add(400*ms)))
	if diff := cmp.Diff([]int{0, 2, 1, 0}, got); diff != "" {
		t.Errorf("suspicions (-want +got):\n%s", diff)
	}
	// A sign of the pass that was the last one for one that suspects it says nothing, one of a later pass does.
	d.Add(at, at.Add(-70*ms), "a")
	d.Add(at, at.Add(-40*ms), "b")
	refuted := []bool{d.Refute(at.Add(-60 * ms)), d.Refute(at.Add(-30 * ms)), d.Refute(at.Add(-30 * ms))}
	if diff := cmp.Diff([]bool{false, true, false}, refuted); diff != "" {
		t.Errorf("refuted (-want +got):\n%s", diff)
	}
	if got := d.Count(at); got != 1 {
		t.Errorf("%d suspects after one was refuted, want 1", got)
	}
}

// Streams of 60 entries at 18 groups, with events that are late as they were seen to be, and a link that loses one packet in
// forty for those of one hall: no group is taken for one that stands still in ten minutes, while one that stops is found within
// two passes after the margin.
func TestFalseAlarmsAndStops(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	const entries, streams, pass = 60, 18, 45 * ms
	var margins [entries]stall.Margin
	at := time.Unix(1000, 0)
	need := stall.RequiredSuspicions(streams, entries)
	alarms := 0
	for range 18 * 600 * 20 {
		var d stall.Suspicions[int]
		for range streams {
			who := random.IntN(entries)
			late := time.Duration((random.ExpFloat64()*4 - 15) * float64(ms))
			if who < entries/3 && random.IntN(40) == 0 {
				late += 200 * ms // sent again by TCP
			}
			if late > margins[who].Current() {
				d.Add(at, at, who)
			}
			margins[who].Observe(late)
		}
		if d.Count(at) >= need {
			alarms++
		}
	}
	if alarms > 0 {
		t.Errorf("%d false alarms", alarms)
	}
	var d stall.Suspicions[int]
	var worst time.Duration
	for range streams {
		who := random.IntN(entries)
		d.Add(at, at, who)
		worst = max(worst, margins[who].Current())
	}
	if d.Count(at) < need || worst > 300*ms {
		t.Errorf("a group that stops is suspected by %d of %d needed within %v", d.Count(at), need, pass+worst)
	}
}
