package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/ratelimit"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// The newest word counts, whichever comes last; an answer without a limit ends it only when its request was sent after the word.
func TestTheNewestWordCounts(t *testing.T) {
	s := ratelimit.NewLimitTable[string]()
	for _, step := range []struct {
		name    string
		do      func() (ratelimit.Limit, bool)
		changed bool
		rate    ratelimit.Rate
	}{
		{"no limit of one that has none", func() (ratelimit.Limit, bool) { return s.Merge("u", 0, at(0)) }, false, 0},
		{"the first", func() (ratelimit.Limit, bool) { return s.Record("u", 3, at(10)) }, true, 3},
		{"the same", func() (ratelimit.Limit, bool) { return s.Record("u", 3, at(20)) }, false, 3},
		{"an older one", func() (ratelimit.Limit, bool) { return s.Merge("u", 9, at(15)) }, false, 3},
		{"none, to a request sent before it", func() (ratelimit.Limit, bool) { return s.RecordUnlimited("u", at(18), at(90)) }, false, 3},
		{"a higher one", func() (ratelimit.Limit, bool) { return s.Record("u", 5, at(100)) }, true, 5},
		{"a lower one", func() (ratelimit.Limit, bool) { return s.Merge("u", 1, at(115)) }, true, 1},
		{"of another", func() (ratelimit.Limit, bool) { return s.RecordUnlimited("v", at(120), at(130)) }, false, 1},
		{"none, to a request sent after it", func() (ratelimit.Limit, bool) { return s.RecordUnlimited("u", at(120), at(130)) }, true, 0},
		{"an older one from elsewhere", func() (ratelimit.Limit, bool) { return s.Merge("u", 3, at(125)) }, false, 0},
		{"one that was on its way", func() (ratelimit.Limit, bool) { return s.Merge("u", 3, at(140)) }, false, 0},
		{"again", func() (ratelimit.Limit, bool) { return s.Merge("u", 2, at(141)) }, true, 2},
		{"its end, from elsewhere", func() (ratelimit.Limit, bool) { return s.Merge("u", 0, at(152)) }, true, 0},
		{"that it takes nothing", func() (ratelimit.Limit, bool) { return s.Record("u", 0, at(160)) }, true, s.MinRate},
		{"that it takes more again", func() (ratelimit.Limit, bool) { return s.Record("u", 4, at(170)) }, true, 4},
		{"its end", func() (ratelimit.Limit, bool) { return s.RecordUnlimited("u", at(180), at(190)) }, true, 0},
	} {
		_, changed := step.do()
		if got := s.Effective("u").Rate; changed != step.changed || got != step.rate {
			t.Errorf("%s: changed %t, rate %v, want %t and %v", step.name, changed, got, step.changed, step.rate)
		}
	}
	if s.Count() != 0 {
		t.Errorf("%d have a limit, want none", s.Count())
	}
}

// Since is when the limit that holds was first named, and not when it was last.
func TestSinceWhenALimitHolds(t *testing.T) {
	s := ratelimit.NewLimitTable[string]()
	s.Merge("u", 3, at(0))
	s.Merge("u", 3, at(500))
	if got := s.Effective("u"); !got.Since.Equal(at(0)) || !got.LastSeen.Equal(at(500)) {
		t.Errorf("since %v, said at %v", got.Since.Sub(start), got.LastSeen.Sub(start))
	}
}

// Upstreams come and go for ever; what is kept of them does not grow for ever, and a limit that holds is not forgotten.
func TestWordsAreForgotten(t *testing.T) {
	s := ratelimit.NewLimitTable[string]()
	s.Merge("long", 3, at(0))
	for n := range 20_000 {
		now := at(n * 50)
		s.Merge(fmt.Sprint(n), 1, now)
		s.Merge(fmt.Sprint(n), 0, now.Add(20*time.Millisecond))
		s.Merge("long", 3, now)
	}
	kept := 0
	s.Each(func(string, ratelimit.Limit) { kept++ })
	if kept > 5000 || s.Effective("long").Rate != 3 || s.Count() != 1 {
		t.Errorf("%d kept, %d with a limit, rate %v", kept, s.Count(), s.Effective("long").Rate)
	}
}

// A cap holds beside what the upstream says, the lower of both counts, and none of it passes for the upstream's word at others.
func TestCaps(t *testing.T) {
	w := ratelimit.NewLimitTable[string]()
	w.SetCaps(map[string]ratelimit.Rate{"u": 5})
	if got := w.Effective("u"); got.Rate != 5 || !got.Capped || got.Direct {
		t.Errorf("capped: %+v", got)
	}
	w.Record("u", 3, at(0))
	if got := w.Effective("u"); got.Rate != 3 || got.Capped {
		t.Errorf("with a lower word: %+v", got)
	}
	w.Record("u", 9, at(10))
	if got := w.Effective("u"); got.Rate != 5 || !got.Capped {
		t.Errorf("with a higher word: %+v", got)
	}
	w.SetCaps(nil)
	if got := w.Effective("u"); got.Rate != 9 || got.Capped || w.Count() != 1 {
		t.Errorf("without a cap: %+v, %d limited", got, w.Count())
	}

	coordinator, asker := ratelimit.NewLimiter[string](), ratelimit.NewLimiter[string]()
	now := at(0)
	for _, l := range []*ratelimit.Limiter[string]{coordinator, asker} {
		l.Now = func() time.Time { return now }
		l.Random = func() float64 { return 0 }
	}
	q := &ratelimit.PermitRequest[string]{ID: 1, Key: "u", Rate: 10, Capped: true, Patience: ratelimit.MaxWaitWithAlternatives}
	granted := 0
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		if a, ok := coordinator.HandleRequest(q, "a"); ok && a.OK {
			granted++
		}
	}
	if granted < 28 || granted > 30 {
		t.Errorf("%d of 3 s at 10 a second were let go by a coordinator that does not know the cap", granted)
	}
	if got := coordinator.Table.Effective("u"); got.Limited() {
		t.Errorf("the cap became a word: %+v", got)
	}
}
