package relay_test

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
)

// Guards against requests of other entries that count as finished while they still run, because answers take longer than the typical one:
// entries then send more than a group has slots.
func TestRequestsRunAsLongAsAnswersTake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		e := &iterationEngine{slots: excessSlots}
		running.Go(func() { e.run(ctx) })
		cfg := timedConfig()
		// Answers have floodEvents events of 30 ms or more; the typical one would have one.
		cfg.Services[1].Engine.Slots = excessSlots
		cfg.Services[1].Engine.TypicalSize = httproute.RequestSize{Prompt: 800, Answer: 5}
		cfg.Routes = []httproute.Route{newRoute("stream", httproute.KindStream, "model", 1)}
		s := relayForEngines(map[string]*iterationEngine{"h0": e})
		s.SetConfig(cfg)
		s.SetConfirmed(time.Now())
		setGroups(s, 1, 1)
		var records sync.Map
		s.Observe = func(r *relay.Record) { records.Store(r.ID, r) }
		for i := range 10 {
			(&excessCaller{entry: s, id: strconv.Itoa(i), tokens: "800,40"}).call(&records)
		}
		s.SetPeerCounts(map[ident.Incarnation]int{"h0": 20})
		time.Sleep(130 * time.Millisecond)
		if got := relay.RequestsAt(s, "h0"); got < 12 {
			t.Errorf("%d of 20 requests count as running after half of the time of an answer, want 12 or more", got)
		}
		e.close()
		cancel()
		running.Wait()
	})
}

// slotTimeRelay returns a relay with one group, whose typical answer has floodEvents events.
func slotTimeRelay(e *iterationEngine) *relay.Relay {
	cfg := timedConfig()
	cfg.Services[1].Engine.Slots = excessSlots
	cfg.Services[1].Engine.TypicalSize = httproute.RequestSize{Prompt: 800, Answer: floodEvents * 5}
	cfg.Routes = []httproute.Route{newRoute("stream", httproute.KindStream, "model", 1)}
	s := relayForEngines(map[string]*iterationEngine{"h0": e})
	s.SetConfig(cfg)
	s.SetConfirmed(time.Now())
	setGroups(s, 1, 1)
	return s
}

// Guards against prompts of other entries that count as prefilled while they still wait for a slot.
func TestPromptsArePendingWhileTheyWaitForASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := slotTimeRelay(&iterationEngine{slots: excessSlots})
		s.SetPeerCounts(map[ident.Incarnation]int{"h0": excessSlots + 14})
		s.Receive(relay.EntryUpdate{Head: "h0", PromptTokens: 800}, netip.AddrPortFrom(netip.IPv4Unspecified(), 1))
		time.Sleep(300 * time.Millisecond)
		if got := relay.PendingPromptAt(s, "h0"); got != 800 {
			t.Errorf("%d tokens are pending before a slot is free, want 800", got)
		}
	})
}
