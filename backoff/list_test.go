package backoff_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/backoff"
)

var startTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func testRule() backoff.Rule {
	return backoff.Rule{Max: 20 * time.Second, Default: 100 * time.Millisecond, Leaving: time.Minute}
}

// An upstream gets nothing during its backoff, and then one probe at a time until it accepts one.
func TestProbesAfterBackoff(t *testing.T) {
	list := backoff.New[string](testRule())
	if !list.NoteRefusal(startTime, "u", 3*time.Second) {
		t.Error("the first backoff is not new")
	}
	if list.NoteRefusal(startTime.Add(time.Second), "u", time.Second) {
		t.Error("a second backoff within the first counts as new")
	}
	end := startTime.Add(3 * time.Second)
	steps := []struct {
		name string
		do   func()
		now  time.Time
		want backoff.State
	}{
		{"just before the end", func() {}, end.Add(-time.Millisecond), backoff.State{Remaining: time.Millisecond, Requested: true}},
		{"at the end", func() {}, end, backoff.State{Requested: true}},
		{"during a probe", func() { list.BeginProbe(end, "u") }, end, backoff.State{Requested: true, Probing: true}},
		{"the probe was lost", func() { list.EndProbe("u", false) }, end, backoff.State{Requested: true}},
		{"the next probe is refused", func() { list.BeginProbe(end, "u"); list.NoteRefusal(end, "u", 0); list.EndProbe("u", false) }, end, backoff.State{Remaining: 100 * time.Millisecond, Requested: true}},
		{"a probe that is not ended", func() { list.BeginProbe(end.Add(time.Second), "u") }, end.Add(2 * time.Second), backoff.State{Requested: true, Probing: true}},
		{"that probe has timed out", func() {}, end.Add(20 * time.Second), backoff.State{Requested: true}},
		{"that probe is ended late", func() { list.EndProbe("u", false) }, end.Add(20 * time.Second), backoff.State{Requested: true}},
		{"no probe was accepted yet", func() {}, end.Add(time.Second), backoff.State{Requested: true}},
		{"a probe is accepted", func() { list.BeginProbe(end, "u"); list.EndProbe("u", true) }, end.Add(time.Second), backoff.State{}},
	}
	for _, step := range steps {
		step.do()
		if diff := cmp.Diff(step.want, list.StateOf(step.now, "u")); diff != "" {
			t.Errorf("%s (-want +got):\n%s", step.name, diff)
		}
	}
	if diff := cmp.Diff(backoff.State{}, list.StateOf(startTime, "another")); diff != "" {
		t.Errorf("another upstream (-want +got):\n%s", diff)
	}
}

// Backoffs are bounded by the rule, and the longest of several applies.
func TestBackoffIsBounded(t *testing.T) {
	for _, tt := range []struct {
		name   string
		delays []time.Duration
		want   time.Duration
	}{
		{"nothing", []time.Duration{0}, 100 * time.Millisecond},
		{"negative", []time.Duration{-time.Hour}, 100 * time.Millisecond},
		{"a short time", []time.Duration{20 * time.Millisecond}, 20 * time.Millisecond},
		{"a day", []time.Duration{24 * time.Hour}, 20 * time.Second},
		{"long, then short", []time.Duration{3 * time.Second, time.Second}, 3 * time.Second},
		{"short, then long", []time.Duration{time.Second, 3 * time.Second}, 3 * time.Second},
		{"long, then nothing", []time.Duration{3 * time.Second, 0}, 3 * time.Second},
	} {
		list := backoff.New[string](testRule())
		for _, d := range tt.delays {
			list.NoteRefusal(startTime, "u", d)
		}
		if got := list.StateOf(startTime, "u").Remaining; got != tt.want {
			t.Errorf("%s: backoff of %v, want %v", tt.name, got, tt.want)
		}
	}
}

// A leaving upstream gets nothing until its backoff ends, also while many other upstreams request backoffs.
func TestLeavingUpstreamIsRemembered(t *testing.T) {
	list := backoff.New[int](testRule())
	if !list.NoteLeaving(startTime, 0) || list.NoteLeaving(startTime, 0) {
		t.Error("want the first notice new, and only that")
	}
	for i := 1; i < 2000; i++ {
		list.NoteRefusal(startTime.Add(time.Duration(i)*10*time.Millisecond), i, time.Second)
	}
	want := backoff.State{Remaining: 30 * time.Second, Leaving: true}
	if diff := cmp.Diff(want, list.StateOf(startTime.Add(30*time.Second), 0)); diff != "" {
		t.Errorf("half a minute later (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(backoff.State{}, list.StateOf(startTime.Add(time.Minute), 0)); diff != "" {
		t.Errorf("after the backoff (-want +got):\n%s", diff)
	}
}

// Expired records are dropped, so that memory does not grow with the number of incarnations.
func TestExpiredRecordsAreDropped(t *testing.T) {
	list := backoff.New[int](testRule())
	for i := range 100_000 {
		list.NoteRefusal(startTime.Add(time.Duration(i)*100*time.Millisecond), i, time.Second)
	}
	if n := backoff.Len(list); n > 1000 {
		t.Errorf("%d records are kept, of which a few hundred can apply", n)
	}
}

// A backoff requested after a refusal without one, or after the end of the last requested one, is new: it is logged and sent to the
// other entries.
func TestBackoffAfterPlainRefusalIsNew(t *testing.T) {
	list := backoff.New[string](testRule())
	if list.NoteRefusal(startTime, "u", 0) {
		t.Error("a refusal without a time counts as a requested backoff")
	}
	if !list.NoteRefusal(startTime.Add(10*time.Millisecond), "u", time.Second) {
		t.Error("the first requested backoff is not new")
	}
	list.NoteRefusal(startTime.Add(time.Second), "u", 0)
	if !list.NoteRefusal(startTime.Add(1050*time.Millisecond), "u", time.Second) {
		t.Error("a backoff requested after the end of the first is not new")
	}
}
