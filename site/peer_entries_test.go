package site_test

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/site"
)

func startPeerEntries(t *testing.T) (site.PeerEntries, chan relay.EntryUpdate) {
	t.Helper()
	received := make(chan relay.EntryUpdate, 8)
	entries, err := site.NewPeerEntries(func(update relay.EntryUpdate, _ netip.AddrPort) { received <- update })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { entries.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return entries, received
}

// Updates reach every entry that can be reached, and datagrams that are not updates are ignored.
func TestUpdatesReachAllEntries(t *testing.T) {
	a, receivedByA := startPeerEntries(t)
	b, receivedByB := startPeerEntries(t)
	c, receivedByC := startPeerEntries(t)
	conn, err := net.Dial("udp4", b.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("no update")); err != nil {
		t.Fatal(err)
	}
	a.Enqueue(relay.EntryUpdate{Head: "lost", PromptTokens: 1}) // no other entries are known yet
	a.SetEntries(b.Address(), "no address", "127.0.0.1:1", c.Address())
	c.SetEntries(a.Address())
	a.Enqueue(relay.EntryUpdate{Head: "h", PromptTokens: 700})
	c.Enqueue(relay.EntryUpdate{Head: "g", PromptTokens: 20})
	got := []relay.EntryUpdate{<-receivedByA, <-receivedByB, <-receivedByC}
	want := []relay.EntryUpdate{{Head: "g", PromptTokens: 20}, {Head: "h", PromptTokens: 700}, {Head: "h", PromptTokens: 700}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("received (-want +got):\n%s", diff)
	}
}

func TestListDigests(t *testing.T) {
	if got := site.DigestList(nil); got != 0 {
		t.Errorf("an empty list has the digest %v", got)
	}
	if site.DigestList([]string{"ab", "c"}) == site.DigestList([]string{"a", "bc"}) {
		t.Error("different lists have the same digest")
	}
}

// At a large site each prompt is sent to some entries, in rotation, so the rate of datagrams is bounded.
func TestPromptDatagramsAreBounded(t *testing.T) {
	n, _ := startPeerEntries(t)
	var all []netip.AddrPort
	for i := range 90 {
		all = append(all, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000))
	}
	start := time.Now()
	times := map[netip.AddrPort]int{}
	total := 0
	// Ten seconds with 100 prompts each.
	for i := range 1000 {
		for _, to := range n.PromptTargets(start.Add(time.Duration(i)*10*time.Millisecond), all) {
			times[to]++
			total++
		}
	}
	if total < 18000 || total > 19800 {
		t.Errorf("%d datagrams in ten seconds, want 1800 a second and some saved up", total)
	}
	for to, got := range times {
		if got < total/len(all) || got > total/len(all)+1 {
			t.Errorf("%v was sent %d datagrams of %d", to, got, total)
		}
	}
}

// Updates to named entries reach these and no others.
func TestUpdateToNamedEntries(t *testing.T) {
	a, _ := startPeerEntries(t)
	b, receivedByB := startPeerEntries(t)
	c, receivedByC := startPeerEntries(t)
	a.SetEntries(a.Address(), b.Address(), c.Address())
	a.Enqueue(relay.EntryUpdate{Head: "first", PromptTokens: 1}, c.Address(), "10.9.9.9:1")
	a.Enqueue(relay.EntryUpdate{Head: "second", PromptTokens: 2})
	got := []relay.EntryUpdate{<-receivedByB, <-receivedByC, <-receivedByC}
	want := []relay.EntryUpdate{{Head: "second", PromptTokens: 2}, {Head: "first", PromptTokens: 1}, {Head: "second", PromptTokens: 2}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("received (-want +got):\n%s", diff)
	}
}

// The leader sends an entry the lists of halls whose entries have changed since its last call, and no others.
func TestListsOfEntries(t *testing.T) {
	r := site.NewLeadership()
	call := func(from string, hall ident.Hall) *site.SyncCall {
		return &site.SyncCall{From: from, Hall: hall, Entry: true, Entries: map[ident.Hall]site.ListDigest{}}
	}
	for _, c := range []*site.SyncCall{call("b", "one"), call("a", "one"), call("c", "two"), call("a", "one")} {
		r.ApplyCall(c)
	}
	nextCall := call("a", "one")
	var got []site.EntryList
	fetch := func() []site.EntryList {
		got = r.ListsFor(nextCall)
		for _, l := range got {
			nextCall.Entries[l.Hall] = site.DigestList(l.Entries)
		}
		slices.SortFunc(got, func(a, b site.EntryList) int { return strings.Compare(string(a.Hall), string(b.Hall)) })
		return got
	}
	if diff := cmp.Diff([]site.EntryList{{Hall: "one", Entries: []string{"a", "b"}}, {Hall: "two", Entries: []string{"c"}}}, fetch()); diff != "" {
		t.Errorf("first lists (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]site.EntryList(nil), fetch()); diff != "" {
		t.Errorf("when nothing has changed (-want +got):\n%s", diff)
	}
	r.ApplyCall(call("d", "one"))
	r.RemoveEntry("c")
	if diff := cmp.Diff([]site.EntryList{{Hall: "one", Entries: []string{"a", "b", "d"}}, {Hall: "two"}}, fetch()); diff != "" {
		t.Errorf("after one was added and one removed (-want +got):\n%s", diff)
	}
}
