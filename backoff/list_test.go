package backoff_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/backoff"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func rule() backoff.Rule {
	return backoff.Rule{Max: 20 * time.Second, Default: 100 * time.Millisecond, Leaving: time.Minute}
}

// An upstream gets nothing in the time that it asked for, then one request until it has taken one.
func TestAnUpstreamThatAskedForTimeIsTriedSingly(t *testing.T) {
	l := backoff.New[string](rule())
	if !l.NoteRefusal(start, "u", 3*time.Second) {
		t.Error("its first word is not new")
	}
	if l.NoteRefusal(start.Add(time.Second), "u", time.Second) {
		t.Error("a second word while it rests counts as new")
	}
	over := start.Add(3 * time.Second)
	steps := []struct {
		what string
		do   func()
		now  time.Time
		want backoff.State
	}{
		{"just before the end", func() {}, over.Add(-time.Millisecond), backoff.State{Remaining: time.Millisecond, Requested: true}},
		{"at the end", func() {}, over, backoff.State{Requested: true}},
		{"while one tries", func() { l.BeginProbe(over, "u") }, over, backoff.State{Requested: true, Probing: true}},
		{"the one was lost", func() { l.EndProbe("u", false) }, over, backoff.State{Requested: true}},
		{"the next is refused", func() { l.BeginProbe(over, "u"); l.NoteRefusal(over, "u", 0); l.EndProbe("u", false) }, over, backoff.State{Remaining: 100 * time.Millisecond, Requested: true}},
		{"one tries, and is never heard of", func() { l.BeginProbe(over.Add(time.Second), "u") }, over.Add(2 * time.Second), backoff.State{Requested: true, Probing: true}},
		{"somebody else tries", func() {}, over.Add(20 * time.Second), backoff.State{Requested: true}},
		{"its end is told late", func() { l.EndProbe("u", false) }, over.Add(20 * time.Second), backoff.State{Requested: true}},
		{"it is still tried singly", func() {}, over.Add(time.Second), backoff.State{Requested: true}},
		{"it has taken one", func() { l.BeginProbe(over, "u"); l.EndProbe("u", true) }, over.Add(time.Second), backoff.State{}},
	}
	for _, s := range steps {
		s.do()
		if diff := cmp.Diff(s.want, l.StateOf(s.now, "u")); diff != "" {
			t.Errorf("%s (-want +got):\n%s", s.what, diff)
		}
	}
	if diff := cmp.Diff(backoff.State{}, l.StateOf(start, "another")); diff != "" {
		t.Errorf("another upstream (-want +got):\n%s", diff)
	}
}

// Whatever an upstream asks for is bounded: by the rule, and only the longest word counts.
func TestWhatIsAskedForIsBounded(t *testing.T) {
	for _, c := range []struct {
		name  string
		asked []time.Duration
		want  time.Duration
	}{
		{"nothing", []time.Duration{0}, 100 * time.Millisecond},
		{"less than nothing", []time.Duration{-time.Hour}, 100 * time.Millisecond},
		{"a short time", []time.Duration{20 * time.Millisecond}, 20 * time.Millisecond},
		{"a day", []time.Duration{24 * time.Hour}, 20 * time.Second},
		{"long, then short", []time.Duration{3 * time.Second, time.Second}, 3 * time.Second},
		{"short, then long", []time.Duration{time.Second, 3 * time.Second}, 3 * time.Second},
		{"long, then nothing", []time.Duration{3 * time.Second, 0}, 3 * time.Second},
	} {
		l := backoff.New[string](rule())
		for _, d := range c.asked {
			l.NoteRefusal(start, "u", d)
		}
		if got := l.StateOf(start, "u").Remaining; got != c.want {
			t.Errorf("%s: left alone for %v, want %v", c.name, got, c.want)
		}
	}
}

// An upstream that leaves gets nothing, also after the time that it asked for, and is not forgotten among many others.
func TestALeavingUpstreamIsRemembered(t *testing.T) {
	l := backoff.New[int](rule())
	if !l.NoteLeaving(start, 0) || l.NoteLeaving(start, 0) {
		t.Error("only its first word is new")
	}
	for i := 1; i < 2000; i++ {
		l.NoteRefusal(start.Add(time.Duration(i)*10*time.Millisecond), i, time.Second)
	}
	want := backoff.State{Remaining: 30 * time.Second, Leaving: true}
	if diff := cmp.Diff(want, l.StateOf(start.Add(30*time.Second), 0)); diff != "" {
		t.Errorf("half a minute later (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(backoff.State{}, l.StateOf(start.Add(time.Minute), 0)); diff != "" {
		t.Errorf("after the time for which it is believed (-want +got):\n%s", diff)
	}
}

// Words that are over are dropped, so that lives which come and go take no memory.
func TestWordsAreDropped(t *testing.T) {
	l := backoff.New[int](rule())
	for i := range 100_000 {
		l.NoteRefusal(start.Add(time.Duration(i)*100*time.Millisecond), i, time.Second)
	}
	if n := backoff.Len(l); n > 1000 {
		t.Errorf("%d words are kept, of which a few hundred can hold anything", n)
	}
}

// A time that is asked for right after a refusal without one, or in a longer one, is new: operators and other entries are told of it.
func TestATimeAfterARefusalWithoutOneIsNew(t *testing.T) {
	l := backoff.New[string](rule())
	if l.NoteRefusal(start, "u", 0) {
		t.Error("a refusal without a time counts as a word")
	}
	if !l.NoteRefusal(start.Add(10*time.Millisecond), "u", time.Second) {
		t.Error("the time that is asked for first is not new")
	}
	l.NoteRefusal(start.Add(time.Second), "u", 0)
	if !l.NoteRefusal(start.Add(1050*time.Millisecond), "u", time.Second) {
		t.Error("one that is asked for after the first is over is not new")
	}
}
