package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/ratelimit"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// The newest limit counts, whatever the order of arrival. A response without a limit ends it only if its request was
// sent after the limit was last seen.
func TestTheNewestLimitCounts(t *testing.T) {
	table := ratelimit.NewLimitTable[string]()
	for _, step := range []struct {
		name    string
		do      func() (ratelimit.Limit, bool)
		changed bool
		rate    ratelimit.Rate
	}{
		{"end of an unknown limit", func() (ratelimit.Limit, bool) { return table.Merge("u", 0, at(0)) }, false, 0},
		{"first limit", func() (ratelimit.Limit, bool) { return table.Record("u", 3, at(10)) }, true, 3},
		{"same limit again", func() (ratelimit.Limit, bool) { return table.Record("u", 3, at(20)) }, false, 3},
		{"older limit from another entry", func() (ratelimit.Limit, bool) { return table.Merge("u", 9, at(15)) }, false, 3},
		{"no limit in the response to an older request", func() (ratelimit.Limit, bool) { return table.RecordUnlimited("u", at(18), at(90)) }, false, 3},
		{"higher limit", func() (ratelimit.Limit, bool) { return table.Record("u", 5, at(100)) }, true, 5},
		{"lower limit from another entry", func() (ratelimit.Limit, bool) { return table.Merge("u", 1, at(115)) }, true, 1},
		{"no limit of another upstream", func() (ratelimit.Limit, bool) { return table.RecordUnlimited("v", at(120), at(130)) }, false, 1},
		{"no limit in the response to a newer request", func() (ratelimit.Limit, bool) { return table.RecordUnlimited("u", at(120), at(130)) }, true, 0},
		{"older limit after the end", func() (ratelimit.Limit, bool) { return table.Merge("u", 3, at(125)) }, false, 0},
		{"limit within the transit time of the end", func() (ratelimit.Limit, bool) { return table.Merge("u", 3, at(140)) }, false, 0},
		{"limit after the transit time of the end", func() (ratelimit.Limit, bool) { return table.Merge("u", 2, at(141)) }, true, 2},
		{"end from another entry", func() (ratelimit.Limit, bool) { return table.Merge("u", 0, at(152)) }, true, 0},
		{"rate of 0", func() (ratelimit.Limit, bool) { return table.Record("u", 0, at(160)) }, true, table.MinRate},
		{"limit after a rate of 0", func() (ratelimit.Limit, bool) { return table.Record("u", 4, at(170)) }, true, 4},
		{"end of the limit", func() (ratelimit.Limit, bool) { return table.RecordUnlimited("u", at(180), at(190)) }, true, 0},
	} {
		_, changed := step.do()
		if got := table.Effective("u").Rate; changed != step.changed || got != step.rate {
			t.Errorf("%s: changed %t, rate %v, want %t and %v", step.name, changed, got, step.changed, step.rate)
		}
	}
	if table.Count() != 0 {
		t.Errorf("%d upstreams have a limit, want none", table.Count())
	}
}

// Since is when the limit in force was first seen, not when it was last seen.
func TestSinceIsTheFirstTimeOfALimit(t *testing.T) {
	table := ratelimit.NewLimitTable[string]()
	table.Merge("u", 3, at(0))
	table.Merge("u", 3, at(500))
	if got := table.Effective("u"); !got.Since.Equal(at(0)) || !got.LastSeen.Equal(at(500)) {
		t.Errorf("since %v, last seen at %v", got.Since.Sub(start), got.LastSeen.Sub(start))
	}
}

// Short-lived upstreams do not make the table grow without bound, and a limit in force is not dropped.
func TestOldLimitsAreDropped(t *testing.T) {
	table := ratelimit.NewLimitTable[string]()
	table.Merge("lasting", 3, at(0))
	for n := range 20_000 {
		now := at(n * 50)
		table.Merge(fmt.Sprint(n), 1, now)
		table.Merge(fmt.Sprint(n), 0, now.Add(20*time.Millisecond))
		table.Merge("lasting", 3, now)
	}
	kept := 0
	table.Each(func(string, ratelimit.Limit) { kept++ })
	if kept > 5000 || table.Effective("lasting").Rate != 3 || table.Count() != 1 {
		t.Errorf("%d entries kept, %d with a limit, rate %v", kept, table.Count(), table.Effective("lasting").Rate)
	}
}

// The lower of cap and advertised limit is in force, and a cap is not passed on to other entries as a limit.
func TestCaps(t *testing.T) {
	table := ratelimit.NewLimitTable[string]()
	table.SetCaps(map[string]ratelimit.Rate{"u": 5})
	if got := table.Effective("u"); got.Rate != 5 || !got.Capped || got.Direct {
		t.Errorf("with only a cap: %+v", got)
	}
	table.Record("u", 3, at(0))
	if got := table.Effective("u"); got.Rate != 3 || got.Capped {
		t.Errorf("with a lower limit: %+v", got)
	}
	table.Record("u", 9, at(10))
	if got := table.Effective("u"); got.Rate != 5 || !got.Capped {
		t.Errorf("with a higher limit: %+v", got)
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
		t.Errorf("%d permits in 3 s at 10 per second from a coordinator that does not know the cap, want 28 to 30", granted)
	}
	if got := coordinator.Table.Effective("u"); got.Limited() {
		t.Errorf("the cap became an advertised limit: %+v", got)
	}
}
