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
func TestTheNewestLimitCounts(t *testing.T) {
	table := ratelimit.NewLimitTable[string]()
	for _, step := range []struct {
		name    string
		do      func() (ratelimit.Limit, bool)
		changed bool
		rate    ratelimit.Rate
	}{
		{"no limit of one that has none", func() (ratelimit.Limit, bool) { return table.Merge("u", 0, at(0)) }, false, 0},
		{"the first", func() (ratelimit.Limit, bool) { return table.Record("u", 3, at(10)) }, true, 3},
		{"the same", func() (ratelimit.Limit, bool) { return table.Record("u", 3, at(20)) }, false, 3},
		{"an older one", func() (ratelimit.Limit, bool) { return table.Merge("u", 9, at(15)) }, false, 3},
		{"none, to a request sent before it", func() (ratelimit.Limit, bool) { return table.RecordUnlimited("u", at(18), at(90)) }, false, 3},
		{"a higher one", func() (ratelimit.Limit, bool) { return table.Record("u", 5, at(100)) }, true, 5},
		{"a lower one", func() (ratelimit.Limit, bool) { return table.Merge("u", 1, at(115)) }, true, 1},
		{"of another", func() (ratelimit.Limit, bool) { return table.RecordUnlimited("v", at(120), at(130)) }, false, 1},
		{"none, to a request sent after it", func() (ratelimit.Limit, bool) { return table.RecordUnlimited("u", at(120), at(130)) }, true, 0},
		{"an older one from elsewhere", func() (ratelimit.Limit, bool) { return table.Merge("u", 3, at(125)) }, false, 0},
		{"one that was on its way", func() (ratelimit.Limit, bool) { return table.Merge("u", 3, at(140)) }, false, 0},
		{"again", func() (ratelimit.Limit, bool) { return table.Merge("u", 2, at(141)) }, true, 2},
		{"its end, from elsewhere", func() (ratelimit.Limit, bool) { return table.Merge("u", 0, at(152)) }, true, 0},
		{"that it takes nothing", func() (ratelimit.Limit, bool) { return table.Record("u", 0, at(160)) }, true, table.MinRate},
		{"that it takes more again", func() (ratelimit.Limit, bool) { return table.Record("u", 4, at(170)) }, true, 4},
		{"its end", func() (ratelimit.Limit, bool) { return table.RecordUnlimited("u", at(180), at(190)) }, true, 0},
	} {
		_, changed := step.do()
		if got := table.Effective("u").Rate; changed != step.changed || got != step.rate {
			t.Errorf("%s: changed %t, rate %v, want %t and %v", step.name, changed, got, step.changed, step.rate)
		}
	}
	if table.Count() != 0 {
		t.Errorf("%d have a limit, want none", table.Count())
	}
}

// Since is when the limit that holds was first named, and not when it was last.
func TestSinceIsTheFirstTimeOfALimit(t *testing.T) {
	table := ratelimit.NewLimitTable[string]()
	table.Merge("u", 3, at(0))
	table.Merge("u", 3, at(500))
	if got := table.Effective("u"); !got.Since.Equal(at(0)) || !got.LastSeen.Equal(at(500)) {
		t.Errorf("since %v, said at %v", got.Since.Sub(start), got.LastSeen.Sub(start))
	}
}

// Upstreams come and go for ever; what is kept of them does not grow for ever, and a limit that holds is not forgotten.
func TestOldLimitsAreDropped(t *testing.T) {
	table := ratelimit.NewLimitTable[string]()
	table.Merge("long", 3, at(0))
	for n := range 20_000 {
		now := at(n * 50)
		table.Merge(fmt.Sprint(n), 1, now)
		table.Merge(fmt.Sprint(n), 0, now.Add(20*time.Millisecond))
		table.Merge("long", 3, now)
	}
	kept := 0
	table.Each(func(string, ratelimit.Limit) { kept++ })
	if kept > 5000 || table.Effective("long").Rate != 3 || table.Count() != 1 {
		t.Errorf("%d kept, %d with a limit, rate %v", kept, table.Count(), table.Effective("long").Rate)
	}
}

// A cap holds beside what the upstream says, the lower of both counts, and none of it passes for the upstream's word at others.
func TestCaps(t *testing.T) {
	table := ratelimit.NewLimitTable[string]()
	table.SetCaps(map[string]ratelimit.Rate{"u": 5})
	if got := table.Effective("u"); got.Rate != 5 || !got.Capped || got.Direct {
		t.Errorf("capped: %+v", got)
	}
	table.Record("u", 3, at(0))
	if got := table.Effective("u"); got.Rate != 3 || got.Capped {
		t.Errorf("with a lower word: %+v", got)
	}
	table.Record("u", 9, at(10))
	if got := table.Effective("u"); got.Rate != 5 || !got.Capped {
		t.Errorf("with a higher word: %+v", got)
	}
	table.SetCaps(nil)
	if got := table.Effective("u"); got.Rate != 9 || got.Capped || table.Count() != 1 {
		t.Errorf("without a cap: %+v, %d limited", got, table.Count())
	}

	coordinator, requester := ratelimit.NewLimiter[string](), ratelimit.NewLimiter[string]()
	now := at(0)
	for _, l := range []*ratelimit.Limiter[string]{coordinator, requester} {
		l.Now = func() time.Time { return now }
		l.Random = func() float64 { return 0 }
	}
	request := &ratelimit.PermitRequest[string]{ID: 1, Key: "u", Rate: 10, Capped: true, Patience: ratelimit.MaxWaitWithAlternatives}
	granted := 0
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		if a, ok := coordinator.HandleRequest(request, "a"); ok && a.OK {
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
