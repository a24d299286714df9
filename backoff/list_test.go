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

// An upstream gets nothing in the time that it asked for, then one request until it has taken one.
func TestProbesAfterBackoff(t *testing.T) {
	list := backoff.New[string](testRule())
	if !list.NoteRefusal(startTime, "u", 3*time.Second) {
		t.Error("its first word is not new")
	}
	if list.NoteRefusal(startTime.Add(time.Second), "u", time.Second) {
		t.Error("a second word while it rests counts as new")
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
		{"while one tries", func() { list.BeginProbe(end, "u") }, end, backoff.State{Requested: true, Probing: true}},
		{"the one was lost", func() { list.EndProbe("u", false) }, end, backoff.State{Requested: true}},
		{"the next is refused", func() { list.BeginProbe(end, "u"); list.NoteRefusal(end, "u", 0); list.EndProbe("u", false) }, end, backoff.State{Remaining: 100 * time.Millisecond, Requested: true}},
		{"one tries, and is never heard of", func() { list.BeginProbe(end.Add(time.Second), "u") }, end.Add(2 * time.Second), backoff.State{Requested: true, Probing: true}},
		{"somebody else tries", func() {}, end.Add(20 * time.Second), backoff.State{Requested: true}},
		{"its end is told late", func() { list.EndProbe("u", false) }, end.Add(20 * time.Second), backoff.State{Requested: true}},
		{"it is still tried singly", func() {}, end.Add(time.Second), backoff.State{Requested: true}},
		{"it has taken one", func() { list.BeginProbe(end, "u"); list.EndProbe("u", true) }, end.Add(time.Second), backoff.State{}},
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

// Whatever an upstream asks for is bounded: by the rule, and only the longest word counts.
func TestBackoffIsBounded(t *testing.T) {
	for _, tt := range []struct {
		name   string
		delays []time.Duration
		want   time.Duration
	}{
		{"nothing", []time.Duration{0}, 100 * time.Millisecond},
		{"less than nothing", []time.Duration{-time.Hour}, 100 * time.Millisecond},
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
			t.Errorf("%s: left alone for %v, want %v", tt.name, got, tt.want)
		}
	}
}

// An upstream that leaves gets nothing, also after the time that it asked for, and is not forgotten among many others.
func TestLeavingUpstreamIsRemembered(t *testing.T) {
	list := backoff.New[int](testRule())
	if !list.NoteLeaving(startTime, 0) || list.NoteLeaving(startTime, 0) {
		t.Error("only its first word is new")
	}
	for i := 1; i < 2000; i++ {
		list.NoteRefusal(startTime.Add(time.Duration(i)*10*time.Millisecond), i, time.Second)
	}
	want := backoff.State{Remaining: 30 * time.Second, Leaving: true}
	if diff := cmp.Diff(want, list.StateOf(startTime.Add(30*time.Second), 0)); diff != "" {
		t.Errorf("half a minute later (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(backoff.State{}, list.StateOf(startTime.Add(time.Minute), 0)); diff != "" {
		t.Errorf("after the time for which it is believed (-want +got):\n%s", diff)
	}
}

// Words that are over are dropped, so that lives which come and go take no memory.
func TestExpiredRecordsAreDropped(t *testing.T) {
	list := backoff.New[int](testRule())
	for i := range 100_000 {
		list.NoteRefusal(startTime.Add(time.Duration(i)*100*time.Millisecond), i, time.Second)
	}
	if n := backoff.Len(list); n > 1000 {
		t.Errorf("%d words are kept, of which a few hundred can hold anything", n)
	}
}

// A time that is asked for right after a refusal without one, or in a longer one, is new: operators and other entries are told of it.
func TestBackoffAfterPlainRefusalIsNew(t *testing.T) {
	list := backoff.New[string](testRule())
	if list.NoteRefusal(startTime, "u", 0) {
		t.Error("a refusal without a time counts as a word")
	}
	if !list.NoteRefusal(startTime.Add(10*time.Millisecond), "u", time.Second) {
		t.Error("the time that is asked for first is not new")
	}
	list.NoteRefusal(startTime.Add(time.Second), "u", 0)
	if !list.NoteRefusal(startTime.Add(1050*time.Millisecond), "u", time.Second) {
		t.Error("one that is asked for after the first is over is not new")
	}
}
