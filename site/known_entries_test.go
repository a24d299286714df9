package site_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/transport"
)

// A new leader knows only the entries that have called it; entries of the former leader still count until the new one
// would have removed them. Later lists of a leader apply at once.
func TestEntriesOfFormerLeaderStillCount(t *testing.T) {
	type lists = map[ident.Hall][]string
	c := site.NewKnownEntries()
	start := time.Now()
	for _, step := range []struct {
		name       string
		at         time.Duration
		leadership site.LeadershipID
		changed    []site.EntryList
		want       lists
		different  bool
	}{
		{"first leader of the site", 0, "a/1", []site.EntryList{{"one", []string{"x1"}}}, lists{"one": {"x1"}}, true},
		{"all have called", time.Second, "a/1", []site.EntryList{{"one", []string{"x1", "x2", "x3"}}, {"two", []string{"y1"}}}, lists{"one": {"x1", "x2", "x3"}, "two": {"y1"}}, true},
		{"one has stopped", 10 * time.Second, "a/1", []site.EntryList{{"one", []string{"x1", "x3"}}}, lists{"one": {"x1", "x3"}, "two": {"y1"}}, true},
		{"no change", 11 * time.Second, "a/1", nil, lists{"one": {"x1", "x3"}, "two": {"y1"}}, false},
		{"new leader, called by one", 20 * time.Second, "b/2", []site.EntryList{{"one", []string{"x3"}}, {"two", nil}}, lists{"one": {"x1", "x3"}, "two": {"y1"}}, true},
		{"called by an added one", 21 * time.Second, "b/2", []site.EntryList{{"one", []string{"x3", "x4"}}}, lists{"one": {"x1", "x3", "x4"}, "two": {"y1"}}, true},
		{"one calls from another hall", 22 * time.Second, "b/2", []site.EntryList{{"two", []string{"x1"}}}, lists{"one": {"x3", "x4"}, "two": {"x1", "y1"}}, true},
		{"third leader soon after", 22500 * time.Millisecond, "c/3", []site.EntryList{{"one", []string{"x4"}}, {"two", nil}}, lists{"one": {"x3", "x4"}, "two": {"x1", "y1"}}, true},
		{"still", 25 * time.Second, "c/3", nil, lists{"one": {"x3", "x4"}, "two": {"x1", "y1"}}, false},
		{"entries that have not called are removed", 25500 * time.Millisecond, "c/3", nil, lists{"one": {"x4"}}, true},
	} {
		if got := c.Apply(start.Add(step.at), step.leadership, step.changed); got != step.different {
			t.Errorf("%s: entries may differ: %v, want %v", step.name, got, step.different)
		}
		if diff := cmp.Diff(step.want, c.All()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", step.name, diff)
		}
	}
}

// The retries of all entries are bounded together: an entry does not divide the bound by a new leader's short list.
func TestRetryBudgetAfterLeaderChange(t *testing.T) {
	cfg := settings.DefaultSite()
	e := site.NewEntry(&cfg, relay.HeaderNames{}, transport.TCP())
	names := []string{"10.0.0.1:7400", "10.0.0.2:7400", "10.0.0.3:7400", "10.0.0.4:7400"}
	e.ApplyReply(time.Now(), &site.SyncReply{Leadership: "a/1", Entries: 4, Lists: []site.EntryList{{"one", names}}})
	e.ApplyReply(time.Now(), &site.SyncReply{Leadership: "b/2", Entries: 1, Lists: []site.EntryList{{"one", names[:1]}}})
	if got := e.RetrySharers(); got != 4 {
		t.Errorf("%d entries share the retries, want 4", got)
	}
	// A reply without a list changes nothing.
	e.ApplyReply(time.Now(), &site.SyncReply{Leadership: "b/2", Entries: 2})
	if got := e.RetrySharers(); got != 4 {
		t.Errorf("%d entries share the retries after another reply, want 4", got)
	}
}
