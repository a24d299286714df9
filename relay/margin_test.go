package relay_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
)

// marginGroup is an entry with one group, whose other entries have requests there.
type marginGroup struct {
	relay *relay.Relay
	// sent counts the requests that this entry has sent.
	sent atomic.Int64
}

// runMargin calls play with an entry whose group runs 20 requests of other entries. There is an urgent route with that aim and one that is
// less urgent, both with a gap aim of 200 ms.
func runMargin(t *testing.T, aim time.Duration, play func(g *marginGroup, send func(route ident.Class, tokens string))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		e := &iterationEngine{}
		running.Go(func() { e.run(ctx) })
		cfg := timedConfig()
		cfg.Services[1].Engine.Slots = 40
		cfg.Services[1].Engine.TypicalSize = httproute.RequestSize{Prompt: 1000, Answer: 100}
		cfg.Routes = nil
		for i, name := range []ident.Class{"urgent", "patient"} {
			r := newRoute(name, httproute.KindStream, "model", 1)
			r.Priority, r.Aim, r.GapAim, r.Timeout = 1+i, aim*time.Duration(1+i), 200*time.Millisecond, 5*time.Second
			cfg.Routes = append(cfg.Routes, r)
		}
		g := &marginGroup{relay: relayForEngines(map[string]*iterationEngine{"h0": e})}
		g.relay.SendUpdate = func(relay.EntryUpdate, []string) { g.sent.Add(1) }
		g.relay.SetConfig(cfg)
		g.relay.SetConfirmed(time.Now())
		setGroups(g.relay, 1, 1)
		g.relay.SetPeerCounts(map[ident.Incarnation]int{"h0": 20})
		play(g, func(route ident.Class, tokens string) {
			r := httptest.NewRequest(http.MethodPost, "/"+string(route)+"/x", http.NoBody)
			r.Host = "h"
			for name, value := range map[string]string{"Request": string(route) + tokens, "Key": "secret", "Model": "m", "Tokens": tokens} {
				r.Header.Set(name, value)
			}
			running.Go(func() {
				defer func() { _ = recover() }() // an aborted answer panics, as in net/http
				g.relay.ServeHTTP(httptest.NewRecorder(), r)
			})
			synctest.Wait()
		})
		time.Sleep(10 * time.Second)
		e.close()
		cancel()
		running.Wait()
	})
}

// receivePrompt tells the entry of a prompt that another one has sent.
func (g *marginGroup) receivePrompt(tokens ident.Tokens) {
	g.relay.Receive(relay.EntryUpdate{Head: "h0", PromptTokens: tokens}, netip.AddrPortFrom(netip.IPv4Unspecified(), 1))
}

// Guards against a less urgent prompt after which the gaps of all streams of a group are over their aim by the usual error of an estimate,
// once a more urgent request is there.
func TestLessUrgentLeaveAMarginForGaps(t *testing.T) {
	for _, tt := range []struct {
		pending ident.Tokens
		want    int64
	}{
		// An iteration of 53 ms and 20 ms for each 1,000 tokens, with an error of 30 ms.
		{300, 2},
		{5000, 1},
	} {
		runMargin(t, time.Second, func(g *marginGroup, send func(route ident.Class, tokens string)) {
			send("urgent", "400,40")
			g.receivePrompt(tt.pending)
			send("patient", "1000,40")
			if got := g.sent.Load(); got != tt.want {
				t.Errorf("%d requests were sent at once beside %d pending tokens, want %d", got, tt.pending, tt.want)
			}
		})
	}
}

// Guards against a less urgent prompt after which a more urgent request is in time only if it does not wait for a whole iteration.
func TestLessUrgentLeaveAWholeIteration(t *testing.T) {
	for _, tt := range []struct {
		pending ident.Tokens
		want    int64
	}{
		// The next urgent request needs 130 ms for the usual delay, 53 ms for an iteration, 20 ms for each 1,000 of its and all pending
		// tokens, and up to 52 ms until the running iteration ends.
		{300, 2},
		{2000, 1},
	} {
		runMargin(t, 300*time.Millisecond, func(g *marginGroup, send func(route ident.Class, tokens string)) {
			send("urgent", "400,40")
			g.receivePrompt(tt.pending)
			send("patient", "1500,40")
			if got := g.sent.Load(); got != tt.want {
				t.Errorf("%d requests were sent at once beside %d pending tokens, want %d", got, tt.pending, tt.want)
			}
		})
	}
}
