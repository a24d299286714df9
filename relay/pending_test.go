package relay_test

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
)

// timedConfig is config with an engine that prefills 50 tokens per ms and has iterations of 30 ms without prefill.
func timedConfig() *httproute.Config {
	cfg := config()
	e := cfg.Services[1].Engine
	e.StepTime, e.StepTimePerSequence, e.StepsPerIteration, e.PrefillRate = 6*time.Millisecond, 200*time.Microsecond, 5, 50_000
	return cfg
}

// holdingHeads returns heads that hold all requests until release is called, and a channel with the head of each request in order of arrival.
func holdingHeads(t *testing.T, n int) (heads []*upstream, arrived chan ident.Incarnation, release func()) {
	t.Helper()
	hold := make(chan struct{})
	arrived = make(chan ident.Incarnation, 16)
	for range n {
		heads = append(heads, newUpstream(t, always(func(c net.Conn, r *http.Request) bool {
			arrived <- ident.Incarnation(r.Header.Get("Life"))
			<-hold
			return respondStream(c, r, 1, 2, true)
		})))
	}
	return heads, arrived, sync.OnceFunc(func() { close(hold) })
}

// A long pending prompt counts more than two short ones: the next requests are sent to the group with the short ones.
func TestRequestsAvoidLongPrompts(t *testing.T) {
	heads, arrived, release := holdingHeads(t, 2)
	s := newTestEntry(t, nil, heads)
	// A single attempt, so that held requests are not moved.
	cfg := timedConfig()
	cfg.Routes[2].MaxAttempts = 1
	s.relay.SetConfig(cfg)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer release()
	send := func(id, tokens string) ident.Incarnation {
		r := s.request("POST", "/stream/x", id, "")
		r.Header.Set("Tokens", tokens)
		wg.Go(func() { s.do(r) })
		return <-arrived
	}
	longPromptHead := send("long", "20000,10")
	var got []bool
	for _, id := range []string{"a", "b", "c"} {
		got = append(got, send(id, "200,10") == longPromptHead)
	}
	if diff := cmp.Diff([]bool{false, false, false}, got); diff != "" {
		t.Errorf("short prompts sent to the group with the long one (-want +got):\n%s", diff)
	}
}

// A prompt that another entry has just sent counts like this entry's own until it is prefilled.
func TestRequestsAvoidPromptsOfPeers(t *testing.T) {
	heads, arrived, release := holdingHeads(t, 2)
	s := newTestEntry(t, nil, heads)
	cfg := timedConfig()
	cfg.Routes[2].MaxAttempts = 1
	s.relay.SetConfig(cfg)
	var sentUpdates []relay.EntryUpdate
	s.relay.SendUpdate = func(n relay.EntryUpdate, _ []string) { sentUpdates = append(sentUpdates, n) }
	now := time.Now()
	s.relay.Now = func() time.Time { return now }
	var wg sync.WaitGroup
	defer wg.Wait()
	defer release()
	send := func(id string) ident.Incarnation {
		r := s.request("POST", "/stream/x", id, "")
		r.Header.Set("Tokens", "2000,10")
		wg.Go(func() { s.do(r) })
		return <-arrived
	}
	for _, n := range []relay.EntryUpdate{{Head: "h0", PromptTokens: 20_000}, {Head: "unknown", PromptTokens: 5}, {Head: "h1", PromptTokens: -70_000}} {
		s.relay.Receive(n, netip.AddrPort{})
	}
	got := []ident.Incarnation{send("a"), send("b")}
	now = now.Add(time.Second)
	got = append(got, send("c"))
	if diff := cmp.Diff([]ident.Incarnation{"h1", "h1", "h0"}, got); diff != "" {
		t.Errorf("targets with 20,000 tokens of another entry pending at h0 (-want +got):\n%s", diff)
	}
	want := []relay.EntryUpdate{{Head: "h1", PromptTokens: 2000}, {Head: "h1", PromptTokens: 2000}, {Head: "h0", PromptTokens: 2000}}
	if diff := cmp.Diff(want, sentUpdates); diff != "" {
		t.Errorf("updates to the other entries (-want +got):\n%s", diff)
	}
}

// The leader's outdated counts are corrected: some of the counted requests have ended, and updates have announced new ones.
func TestPeerCountsAreCorrectedByUpdates(t *testing.T) {
	heads, arrived, release := holdingHeads(t, 1)
	s := newTestEntry(t, nil, heads)
	cfg := timedConfig()
	cfg.Services[1].Engine.TypicalSize = httproute.RequestSize{Prompt: 100, Answer: 100}
	cfg.Services[1].Engine.Slots = 40
	s.relay.SetConfig(cfg)
	now := time.Now()
	s.relay.Now = func() time.Time { return now }
	s.relay.SetConfirmed(now)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer release()
	send := func(id string) {
		r := s.request("POST", "/stream/x", id, "")
		r.Header.Set("Tokens", "100,10")
		wg.Go(func() { s.do(r) })
		<-arrived
	}
	send("first")
	s.relay.SetPeerCounts(map[ident.Incarnation]int{"h0": 2})
	now = now.Add(1400 * time.Millisecond)
	for range 2 {
		s.relay.Receive(relay.EntryUpdate{Head: "h0", PromptTokens: 100}, netip.AddrPort{})
	}
	now = now.Add(200 * time.Millisecond)
	// An answer of 100 tokens takes 1.4 s with all slots in use: after 1.6 s one of two requests remains, two were sent since, and one is
	// this entry's own.
	if diff := cmp.Diff(4, relay.RequestsAt(s.relay, "h0")); diff != "" {
		t.Errorf("requests at the group (-want +got):\n%s", diff)
	}
}
