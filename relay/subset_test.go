package relay_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/sharing"
)

// newLargeSiteEntry is a site of 100 entries in one hall, among them the one called self, that share eight groups.
func newLargeSiteEntry(t *testing.T) (s *testEntry, release func()) {
	t.Helper()
	heads, arrived, release := holdingHeads(t, 8)
	s = newTestEntry(t, nil, heads)
	cfg := timedConfig()
	cfg.Routes[2].Attempts = 1
	s.relay.SetConfig(cfg)
	entries := []string{"self"}
	for i := range 99 {
		entries = append(entries, "e"+strconv.Itoa(i))
	}
	s.relay.SetEntries(sharing.New("self", map[ident.Hall][]string{"": entries}))
	go func() {
		for {
			<-arrived // the news tell where they went
		}
	}()
	return s, release
}

// sendHeld sends so many requests, which are held until release, and returns which groups they went to, by the news of them, and who
// was told.
func sendHeld(t *testing.T, s *testEntry, release func(), n int) (heads map[ident.Incarnation]int, recipients map[ident.Incarnation][]string) {
	t.Helper()
	var wg sync.WaitGroup
	t.Cleanup(func() {
		release()
		wg.Wait()
	})
	heads, recipients = map[ident.Incarnation]int{}, map[ident.Incarnation][]string{}
	sent := make(chan struct{}, n)
	s.relay.SendUpdate = func(update relay.EntryUpdate, to []string) {
		heads[update.Head]++
		recipients[update.Head] = to
		sent <- struct{}{}
	}
	for i := range n {
		r := httptest.NewRequest(http.MethodPost, "/stream/x", http.NoBody)
		r.Host = "h"
		for name, value := range map[string]string{"Request": fmt.Sprint(i), "Key": "secret", "Model": "m", "Tokens": "100,10", "Deadline": "5000"} {
			r.Header.Set(name, value)
		}
		wg.Go(func() { s.relay.ServeHTTP(httptest.NewRecorder(), r) })
		<-sent
	}
	return heads, recipients
}

// At a large site an entry uses a few groups, and tells of a prompt only those that use the group too.
func TestEntriesUseSubsets(t *testing.T) {
	s, release := newLargeSiteEntry(t)
	s.relay.SetPeerCounts(map[ident.Incarnation]int{})
	heads, recipients := sendHeld(t, s, release, 12)
	if len(heads) != 4 {
		t.Errorf("requests went to %v, want four of eight groups", heads)
	}
	for head, to := range recipients {
		if len(to) < 25 || len(to) > 75 {
			t.Errorf("%d entries are told of prompts at %s, want about half of 99", len(to), head)
		}
	}
}

// When the groups that an entry uses are full it sends to others, but no more than its part of the room that all entries see there.
func TestCapacityOutsideSubsetIsDivided(t *testing.T) {
	s, release := newLargeSiteEntry(t)
	s.relay.SetPeerCounts(map[ident.Incarnation]int{})
	subset, _ := sendHeld(t, s, release, 4)
	peerCounts := map[ident.Incarnation]int{}
	for i := range 8 {
		if head := ident.Incarnation("h" + strconv.Itoa(i)); subset[head] > 0 {
			peerCounts[head] = 4
		}
	}
	// Four groups with four free slots each, of which half may be filled: each word gives every one of 100 entries 0.08 of a
	// request, and one came before.
	for round := 1; round <= 20; round++ {
		s.relay.SetPeerCounts(peerCounts)
		head, fits := relay.ChooseGroup(s.relay, &timedConfig().Routes[2], "m", 100)
		if outsideSubset := fits && subset[head] == 0; outsideSubset != (round >= 12) {
			t.Errorf("word %d: the choice is %s, which has room: %v; want another group from the twelfth word on", round, head, fits)
		}
	}
}
