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

// newLargeSiteEntry returns one of 100 entries in a hall that share eight groups.
func newLargeSiteEntry(t *testing.T) (s *testEntry, release func()) {
	t.Helper()
	heads, arrived, release := holdingHeads(t, 8)
	s = newTestEntry(t, nil, heads)
	cfg := timedConfig()
	cfg.Routes[2].MaxAttempts = 1
	s.relay.SetConfig(cfg)
	entries := []string{"self"}
	for i := range 99 {
		entries = append(entries, "e"+strconv.Itoa(i))
	}
	s.relay.SetEntries(sharing.New("self", map[ident.Hall][]string{"": entries}))
	go func() {
		for {
			<-arrived // the entry's updates name the groups instead
		}
	}()
	return s, release
}

// sendHeld sends n requests, which are held until release. It returns the number of requests by group and the entries that were notified of
// them, both from the entry's updates.
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

// At a large site an entry uses a subset of the groups, and announces a prompt only to entries that use the same group.
func TestEntriesUseSubsets(t *testing.T) {
	s, release := newLargeSiteEntry(t)
	s.relay.SetPeerCounts(map[ident.Incarnation]int{})
	heads, recipients := sendHeld(t, s, release, 12)
	if len(heads) != 4 {
		t.Errorf("requests by group: %v, want four of eight groups", heads)
	}
	for head, to := range recipients {
		if len(to) < 25 || len(to) > 75 {
			t.Errorf("%d entries notified of prompts at %s, want about half of 99", len(to), head)
		}
	}
}

// When the groups of an entry's subset are full, the entry uses other groups, but no more than its share of the capacity that all entries see
// there.
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
	// Four groups with four free slots each, of which half may be filled: each round of counts gives each of 100 entries a credit of 0.08
	// requests, and one round came before.
	for round := 1; round <= 20; round++ {
		s.relay.SetPeerCounts(peerCounts)
		head, hasCapacity := relay.ChooseGroup(s.relay, &timedConfig().Routes[2], "m", 100)
		if outsideSubset := hasCapacity && subset[head] == 0; outsideSubset != (round >= 12) {
			t.Errorf("round %d: chosen %s, capacity %v; want a group outside the subset from round 12 on", round, head, hasCapacity)
		}
	}
}
