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

// Operators see at which entries an upstream has a backoff, for how much longer, and whether it is shutting down.
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
		t.Errorf("backoffs, in minutes (-want +got):\n%s", diff)
	}
	if got := r.BackoffStates(now.Add(2 * time.Minute)); len(got["u"]) != 1 {
		t.Errorf("two minutes later %v, want the entry with a backoff of an hour", got)
	}
}

// An upstream that tells an entry that it shuts down is leaving for all, also when its own notice to the control
// daemons is lost, and a later report that says otherwise does not undo that. Another incarnation of the upstream is
// not leaving.
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
		t.Errorf("leaving upstreams (-want +got):\n%s", diff)
	}
	report("u@2", 1)
	if diff := cmp.Diff(map[ident.Incarnation]bool{"u@2": false}, leaving()); diff != "" {
		t.Errorf("leaving upstreams after a new incarnation (-want +got):\n%s", diff)
	}
}

// The control daemon applies what an upstream's answer to an order asks for: it sends no orders during a backoff, and
// marks an upstream that shuts down as leaving.
func TestNoticesInAnswersToOrders(t *testing.T) {
	c, r := site.NewControlWithBackoffs()
	r.Roster().ApplyReport(clock.Now(), &roster.Report{
		Upstream: roster.Upstream{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 4}, Sequence: 1,
	})
	c.ApplyNotice("u", backoff.Notice{BackoffErr: result.New(result.BackoffUnreadable, "soon")})
	if c.BackedOff("u") {
		t.Error("an unreadable backoff is applied")
	}
	c.ApplyNotice("u", backoff.Notice{Backoff: time.Minute, Leaving: true})
	if !c.BackedOff("u") || c.BackedOff("v") {
		t.Error("the upstream that requested a backoff gets orders, or another gets none")
	}
	upstreams, _ := r.Roster().Upstreams(clock.Now())
	if len(upstreams) != 1 || !upstreams[0].Draining {
		t.Errorf("%+v, want one that is leaving", upstreams)
	}
}
