package site_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/site"
)

// Operators see which entries an upstream asked for time, for how long still, and by whose word.
func TestAskedIsShown(t *testing.T) {
	r := site.NewReign()
	r.Note(&site.SyncCall{From: "b", Entry: true, Seen: []relay.Seen{{ID: "u", Backoff: time.Minute}, {ID: "v"}}})
	r.Note(&site.SyncCall{From: "a", Entry: true, Seen: []relay.Seen{{ID: "u", Backoff: time.Hour, Leaving: true}}})
	now := clock.Now()
	got := r.Asked(now)
	for id := range got {
		for i := range got[id] {
			got[id][i].ForMS = (got[id][i].ForMS + 30_000) / 60_000 // minutes
		}
	}
	want := map[ident.Incarnation][]site.AskedState{"u": {{Entry: "a", ForMS: 60, Leaving: true}, {Entry: "b", ForMS: 1}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("what upstreams asked for, in minutes (-want +got):\n%s", diff)
	}
	if got := r.Asked(now.Add(2 * time.Minute)); len(got["u"]) != 1 {
		t.Errorf("two minutes later %v, want the entry that was asked for an hour", got)
	}
}
