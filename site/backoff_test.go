package site_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/site"
)

// Operators see which entries an upstream asked for time, for how long still, and by whose word.
func TestBackoffStates(t *testing.T) {
	r := site.NewLeadership()
	r.ApplyCall(&site.SyncCall{From: "b", Entry: true, Seen: []relay.Observation{{ID: "u", Backoff: time.Minute}, {ID: "v"}}})
	r.ApplyCall(&site.SyncCall{From: "a", Entry: true, Seen: []relay.Observation{{ID: "u", Backoff: time.Hour, Leaving: true}}})
	now := clock.Now()
	got := r.BackoffStates(now)
	for id := range got {
		for i := range got[id] {
			got[id][i].ForMS = (got[id][i].ForMS + 30_000) / 60_000 // minutes
		}
	}
	want := map[ident.Incarnation][]site.BackoffState{"u": {{Entry: "a", ForMS: 60, Leaving: true}, {Entry: "b", ForMS: 1}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("what upstreams asked for, in minutes (-want +got):\n%s", diff)
	}
	if got := r.BackoffStates(now.Add(2 * time.Minute)); len(got["u"]) != 1 {
		t.Errorf("two minutes later %v, want the entry that was asked for an hour", got)
	}
}

// An upstream that tells an entry that it leaves is a leaving one to all, also when its own word to control is lost, and a later
// report that says otherwise does not take it back. Another life of it does not leave.
func TestEntryReportsLeavingUpstream(t *testing.T) {
	r := site.NewLeadership()
	report := func(id ident.Incarnation, sequence uint64) {
		r.Roster().ApplyReport(clock.Now(), &roster.Report{
			Upstream: roster.Upstream{ID: id, Service: "s", Address: "127.0.0.1:1", Slots: 4}, Sequence: sequence,
		})
	}
	leaving := func() map[ident.Incarnation]bool {
		got := map[ident.Incarnation]bool{}
		upstreams, _ := r.Roster().Upstreams(clock.Now())
		for i := range upstreams {
			got[upstreams[i].ID] = upstreams[i].Draining
		}
		return got
	}
	report("u@1", 1)
	r.ApplyCall(&site.SyncCall{From: "a", Entry: true, Seen: []relay.Observation{{ID: "u@1", Leaving: true}, {ID: "nobody", Leaving: true}}})
	report("u@1", 2)
	if diff := cmp.Diff(map[ident.Incarnation]bool{"u@1": true}, leaving()); diff != "" {
		t.Errorf("who leaves (-want +got):\n%s", diff)
	}
	report("u@2", 1)
	if diff := cmp.Diff(map[ident.Incarnation]bool{"u@2": false}, leaving()); diff != "" {
		t.Errorf("who leaves after a new life (-want +got):\n%s", diff)
	}
}

// What an upstream answers to orders binds control: it gives none for the time that was asked for, and takes a leaving one for that.
func TestNoticesInAnswersToOrders(t *testing.T) {
	c, r := site.NewControlWithBackoffs()
	r.Roster().ApplyReport(clock.Now(), &roster.Report{
		Upstream: roster.Upstream{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 4}, Sequence: 1,
	})
	c.ApplyNotice("u", backoff.Notice{BackoffErr: result.New(result.BackoffUnreadable, "soon")})
	if c.BackedOff("u") {
		t.Error("what can't be read counts")
	}
	c.ApplyNotice("u", backoff.Notice{Backoff: time.Minute, Leaving: true})
	if !c.BackedOff("u") || c.BackedOff("v") {
		t.Error("the upstream that asked for time gets orders, or another gets none")
	}
	upstreams, _ := r.Roster().Upstreams(clock.Now())
	if len(upstreams) != 1 || !upstreams[0].Draining {
		t.Errorf("%+v, want one that leaves", upstreams)
	}
}
