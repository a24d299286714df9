package site_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/clock"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/site"
)

func observationOfLimit(id ident.Incarnation, l relay.LimitObservation) relay.Observation {
	return relay.Observation{ID: id, Limit: &l}
}

// The leader sends entries the limits that upstreams set for other entries, not limits that entries have from each
// other, and how many entries use their local share.
func TestLeaderSendsLimits(t *testing.T) {
	r := site.NewLeadership()
	r.ApplyCall(&site.SyncCall{From: "a", Entry: true, Seen: []relay.Observation{
		observationOfLimit("u", relay.LimitObservation{Rate: 3, Own: true, Said: 300 * time.Millisecond, Apart: true}), observationOfLimit("v", relay.LimitObservation{Rate: 9}),
	}})
	r.ApplyCall(&site.SyncCall{From: "b", Entry: true, Seen: []relay.Observation{
		observationOfLimit("u", relay.LimitObservation{Rate: 2, Own: true, Said: 100 * time.Millisecond, Apart: true}),
	}})
	got := r.LimitSummaries(clock.Now())
	if l := got["u"]; len(got) != 1 || l.Rate != 2 || l.Apart != 2 || l.Age < 100*time.Millisecond || l.Age > 10*time.Second {
		t.Errorf("sent %+v, want u with 2 a second and two on their local share", got)
	}
	r.ApplyCall(&site.SyncCall{From: "b", Entry: true})
	if got := r.LimitSummaries(clock.Now().Add(time.Minute)); got["u"].Apart != 1 {
		t.Errorf("sent %+v a minute later, want u, since one is still on its local share", got)
	}
	r.ApplyCall(&site.SyncCall{From: "a", Entry: true})
	if got := r.LimitSummaries(clock.Now().Add(time.Minute)); len(got) != 0 {
		t.Errorf("sent %+v when no entry has reported the limit for long", got)
	}
}

// Operators see a limit, since when it holds, when and to which entries the upstream last sent it, its coordinator, and
// each entry's use of it.
func TestLimitStates(t *testing.T) {
	r := site.NewLeadership()
	counts := ratelimit.Counts{Granted: 7, Refused: 5, Own: 1, Unanswered: 2, Lately: 3}
	r.ApplyCall(&site.SyncCall{From: "b", Entry: true, Seen: []relay.Observation{
		observationOfLimit("u", relay.LimitObservation{Rate: 3, Own: true, Said: time.Hour, Since: 9 * time.Hour, Counts: counts, Apart: true}),
	}})
	r.ApplyCall(&site.SyncCall{From: "a", Entry: true, Seen: []relay.Observation{observationOfLimit("u", relay.LimitObservation{Rate: 2, Said: time.Minute, Since: time.Minute})}})
	got := r.LimitStates(clock.Now())["u"]
	if got == nil {
		t.Fatal("no state of the limit")
	}
	coordinator := got.Coordinator
	got.Coordinator = ""
	for _, ms := range []*int64{&got.SinceMS, &got.SaidMS, &got.Entries[1].ToldMS} {
		*ms = time.Duration(*ms * int64(time.Millisecond)).Round(time.Minute).Milliseconds()
	}
	want := &site.LimitState{Limit: 2, SinceMS: 9 * 3600_000, SaidMS: 60_000, Entries: []site.LimitShare{
		{Entry: "a", ToldMS: -1},
		{Entry: "b", ToldMS: 3600_000, Lately: 3, Granted: 7, Refused: 5, Unanswered: 2, Apart: true, Own: 1},
	}}
	if diff := cmp.Diff(want, got); diff != "" || coordinator != "a" && coordinator != "b" {
		t.Errorf("coordinator %q, (-want +got):\n%s", coordinator, diff)
	}
}

// Questions and answers on limits are exchanged between entries as datagrams.
func TestLimitMessagesBetweenEntries(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	type message struct {
		update relay.EntryUpdate
		from   netip.AddrPort
	}
	received := make(chan message, 1)
	receiver, err := site.NewPeerEntries(func(update relay.EntryUpdate, from netip.AddrPort) { received <- message{update, from} })
	if err != nil {
		t.Fatal(err)
	}
	sender, err := site.NewPeerEntries(func(relay.EntryUpdate, netip.AddrPort) {})
	if err != nil {
		t.Fatal(err)
	}
	sender.SetEntries(receiver.Address(), sender.Address())
	go receiver.Run(ctx)
	go sender.Run(ctx)
	for _, want := range []relay.EntryUpdate{
		{PermitRequest: &ratelimit.PermitRequest[ident.Incarnation]{ID: 1 << 63, Key: "u@1767000000000", Rate: 3.6, Age: time.Second, Patience: time.Second}},
		{PermitReply: &ratelimit.PermitReply[ident.Incarnation]{ID: 1 << 63, Key: "u@1767000000000", Rate: 3.6, Age: time.Hour, Grant: ratelimit.Grant{OK: true, After: time.Minute, Sharers: 300}}},
		{Head: "u@1767000000000", Limit: &relay.LimitUpdate{Rate: 0.5, AgeMS: 12}},
	} {
		sender.Enqueue(want, receiver.Address())
		select {
		case got := <-received:
			if diff := cmp.Diff(want, got.update); diff != "" {
				t.Errorf("received (-want +got):\n%s", diff)
			}
			if from := got.from.String(); from != sender.Address() {
				t.Errorf("from %s, want %s, where the answer is sent", from, sender.Address())
			}
		case <-time.After(10 * time.Second):
			t.Fatal("nothing was received")
		}
	}
}
