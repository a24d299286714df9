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

func startNeighbours(t *testing.T) (site.Neighbours, chan relay.EntryUpdate) {
	t.Helper()
	heard := make(chan relay.EntryUpdate, 8)
	n, err := site.NewNeighbours(func(s relay.EntryUpdate, _ netip.AddrPort) { heard <- s })
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { n.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return n, heard
}

// News reach every neighbour that can be reached, and what is no news is passed over.
func TestNeighbours(t *testing.T) {
	a, heardByA := startNeighbours(t)
	b, heardByB := startNeighbours(t)
	c, heardByC := startNeighbours(t)
	conn, err := net.Dial("udp4", b.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte("no news")); err != nil {
		t.Fatal(err)
	}
	a.Tell(relay.EntryUpdate{Head: "lost", PromptTokens: 1}) // there are no neighbours yet
	a.Set(b.Address(), "no address", "127.0.0.1:1", c.Address())
	c.Set(a.Address())
	a.Tell(relay.EntryUpdate{Head: "h", PromptTokens: 700})
	c.Tell(relay.EntryUpdate{Head: "g", PromptTokens: 20})
	got := []relay.EntryUpdate{<-heardByA, <-heardByB, <-heardByC}
	want := []relay.EntryUpdate{{Head: "g", PromptTokens: 20}, {Head: "h", PromptTokens: 700}, {Head: "h", PromptTokens: 700}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("heard (-want +got):\n%s", diff)
	}
}

func TestNamesOfLists(t *testing.T) {
	if got := site.NameList(nil); got != 0 {
		t.Errorf("no list has the name %v", got)
	}
	if site.NameList([]string{"ab", "c"}) == site.NameList([]string{"a", "bc"}) {
		t.Error("different lists have the same name")
	}
}

// At a large site each prompt is told to some neighbours, by turns, so that news cost no more than a bounded rate.
func TestNewsAreBounded(t *testing.T) {
	n, _ := startNeighbours(t)
	var all []netip.AddrPort
	for i := range 90 {
		all = append(all, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000))
	}
	began := time.Now()
	times := map[netip.AddrPort]int{}
	total := 0
	// Ten seconds with 100 prompts each.
	for i := range 1000 {
		for _, to := range n.Told(began.Add(time.Duration(i)*10*time.Millisecond), all) {
			times[to]++
			total++
		}
	}
	if total < 18000 || total > 19800 {
		t.Errorf("%d datagrams in ten seconds, want 1800 a second and some saved up", total)
	}
	for to, got := range times {
		if got < total/len(all) || got > total/len(all)+1 {
			t.Errorf("%v was told %d times of %d", to, got, total)
		}
	}
}

// News for some reach these and no others.
func TestNewsForSome(t *testing.T) {
	a, _ := startNeighbours(t)
	b, heardByB := startNeighbours(t)
	c, heardByC := startNeighbours(t)
	a.Set(a.Address(), b.Address(), c.Address())
	a.Tell(relay.EntryUpdate{Head: "first", PromptTokens: 1}, c.Address(), "10.9.9.9:1")
	a.Tell(relay.EntryUpdate{Head: "second", PromptTokens: 2})
	got := []relay.EntryUpdate{<-heardByB, <-heardByC, <-heardByC}
	want := []relay.EntryUpdate{{Head: "second", PromptTokens: 2}, {Head: "first", PromptTokens: 1}, {Head: "second", PromptTokens: 2}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("heard (-want +got):\n%s", diff)
	}
}

// The leader tells an entry of the halls whose entries have changed since it was told, and of no others.
func TestListsOfEntries(t *testing.T) {
	r := site.NewLeading()
	call := func(from string, hall ident.Hall) *site.SyncCall {
		return &site.SyncCall{From: from, Hall: hall, Entry: true, Entries: map[ident.Hall]site.ListDigest{}}
	}
	for _, c := range []*site.SyncCall{call("b", "one"), call("a", "one"), call("c", "two"), call("a", "one")} {
		r.Note(c)
	}
	asked := call("a", "one")
	var got []site.EntryList
	ask := func() []site.EntryList {
		got = r.Lists(asked)
		for _, l := range got {
			asked.Entries[l.Hall] = site.NameList(l.Entries)
		}
		slices.SortFunc(got, func(a, b site.EntryList) int { return strings.Compare(string(a.Hall), string(b.Hall)) })
		return got
	}
	if diff := cmp.Diff([]site.EntryList{{Hall: "one", Entries: []string{"a", "b"}}, {Hall: "two", Entries: []string{"c"}}}, ask()); diff != "" {
		t.Errorf("first lists (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]site.EntryList(nil), ask()); diff != "" {
		t.Errorf("when nothing has changed (-want +got):\n%s", diff)
	}
	r.Note(call("d", "one"))
	r.Forget("c")
	if diff := cmp.Diff([]site.EntryList{{Hall: "one", Entries: []string{"a", "b", "d"}}, {Hall: "two"}}, ask()); diff != "" {
		t.Errorf("after one has come and one has gone (-want +got):\n%s", diff)
	}
}
