package relay_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/ident"
)

// All entries receive the same outdated load counts at the same time. If each chose the best target, that target would get the requests of
// all entries until the next counts. The least loaded target must get only a part, and the most loaded target none.
func TestRequestsSpreadByLoad(t *testing.T) {
	const targets = 5
	var upstreams []*upstream
	for range targets {
		upstreams = append(upstreams, newUpstream(t, always(respondComplete)))
	}
	s := newTestEntry(t, upstreams, nil)
	s.relay.RandomInt = rand.New(rand.NewPCG(1, 1)).IntN
	peerCounts := map[ident.Incarnation]int{}
	for i := range targets {
		peerCounts[ident.Incarnation("p"+strconv.Itoa(i))] = i
	}
	s.relay.SetPeerCounts(peerCounts)
	const requests = 300
	for i := range requests {
		s.do(s.request("GET", "/safe/x", strconv.Itoa(i), ""))
	}
	got := map[ident.Incarnation]int{}
	for _, r := range s.records {
		got[r.Attempts[0].Upstream]++
	}
	if got["p0"] > requests/2 || got["p0"] < requests/4 {
		t.Errorf("the least loaded of %d targets got %d of %d requests, want between a quarter and half", targets, got["p0"], requests)
	}
	if got["p4"] > 0 {
		t.Errorf("the most loaded target got %d requests, want 0", got["p4"])
	}
	delete(got, "p4")
	order := []bool{got["p0"] > got["p1"], got["p1"] > got["p2"], got["p2"] > got["p3"], got["p3"] > 0}
	if diff := cmp.Diff([]bool{true, true, true, true}, order); diff != "" {
		t.Errorf("targets with a lower load get more requests (-want +got), requests by target %v:\n%s", got, diff)
	}
}
