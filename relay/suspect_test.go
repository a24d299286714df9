package relay_test

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/sharing"
)

const (
	stallEntries = 12
	stallGroups  = 6
	// stallRate is a load in requests per second that leaves spare capacity, stallTestDuration how long callers arrive.
	stallRate         = 90
	stallTestDuration = 8 * time.Second
	// stallAt is when a group stalls or slows down, stallDuration for how long.
	stallAt       = 4 * time.Second
	stallDuration = 3 * time.Second
	// stallFirstEventAim bounds the time to the first event of an answer in time, stallGapAim the gaps between its events.
	stallFirstEventAim = 400 * time.Millisecond
	stallGapAim        = 300 * time.Millisecond
	// datagramDelay is how long an update takes from entry to entry.
	datagramDelay = time.Millisecond
)

// stallScenario is a fault at a site with several entries and groups.
type stallScenario struct {
	// stalls is set when a group stalls, slows when its iterations take twelve times as long.
	stalls, slows bool
	// lossRate is the fraction of the updates that is lost.
	lossRate float64
}

// stallResult counts how the requests ended.
type stallResult struct {
	total, late, moved int
	// silent is, for each moved attempt, how long its upstream had been silent.
	silent []time.Duration
	// sentAfter is the time from the fault to the last request that was sent to the group during the fault.
	sentAfter time.Duration
}

// runStall runs a scenario with callers at random entries.
func runStall(t *testing.T, p stallScenario) stallResult {
	t.Helper()
	var got stallResult
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		engines := map[string]*iterationEngine{}
		for i := range stallGroups {
			e := &iterationEngine{slots: excessSlots}
			engines["h"+strconv.Itoa(i)] = e
			running.Go(func() { e.run(ctx) })
		}
		entries := newStallEntries(p, engines)
		var mu sync.Mutex
		began := time.Now()
		observe := func(r *relay.Record) {
			mu.Lock()
			defer mu.Unlock()
			got.record(r, time.Since(began)-r.Total)
		}
		for _, s := range entries {
			s.Observe = observe
		}
		if p.stalls {
			time.AfterFunc(stallAt, func() { engines["h0"].stall(stallDuration) })
		}
		if p.slows {
			time.AfterFunc(stallAt, func() { engines["h0"].slow(12, stallDuration) })
		}
		sendToEntries(entries)
		for _, e := range engines {
			e.close()
		}
		cancel()
		running.Wait()
	})
	slices.Sort(got.silent)
	return got
}

// record counts a finished request by its arrival time.
func (r *stallResult) record(rec *relay.Record, arrivedAt time.Duration) {
	r.total++
	if rec.Code != 0 || rec.FirstEvent > stallFirstEventAim || rec.MaxEventGap > stallGapAim {
		r.late++
	}
	for _, attempt := range rec.Attempts {
		startedAt := arrivedAt + time.Duration(attempt.StartMS)*time.Millisecond
		if attempt.Result == "stalled" {
			r.moved++
			r.silent = append(r.silent, time.Duration(attempt.SilentMS)*time.Millisecond)
		}
		if attempt.Upstream == "h0" && startedAt > stallAt && startedAt < stallAt+stallDuration {
			r.sentAfter = max(r.sentAfter, startedAt-stallAt)
		}
	}
}

// newStallEntries returns entries that send each other updates.
func newStallEntries(p stallScenario, engines map[string]*iterationEngine) []*relay.Relay {
	random := rand.New(rand.NewPCG(3, 3))
	addresses := make([]string, stallEntries)
	for i := range addresses {
		addresses[i] = "10.0.0." + strconv.Itoa(i) + ":7"
	}
	var mu sync.Mutex
	entries := make([]*relay.Relay, stallEntries)
	for i := range entries {
		entry := relayForEngines(engines)
		entries[i] = entry
		from := netip.MustParseAddrPort(addresses[i])
		entry.SendUpdate = func(update relay.EntryUpdate, _ []string) {
			for j, peer := range entries {
				mu.Lock()
				lost := random.Float64() < p.lossRate
				mu.Unlock()
				if j != i && !lost {
					time.AfterFunc(datagramDelay, func() { peer.Receive(update, from) })
				}
			}
		}
		cfg := timedConfig()
		cfg.Services[1].Engine.Slots = excessSlots
		cfg.Services[1].Engine.StepTimePerSequence = 200 * time.Microsecond
		cfg.Services[1].Engine.TypicalSize = httproute.RequestSize{Prompt: 800, Answer: floodEvents * 5}
		cfg.Routes = []httproute.Route{newRoute("stream", httproute.KindStream, "model", 2)}
		cfg.Routes[0].Aim = stallFirstEventAim
		cfg.Routes[0].GapAim = stallGapAim
		cfg.Routes[0].Timeout = excessCallerTimeout
		entry.SetConfig(cfg)
		entry.SetConfirmed(time.Now())
		setGroups(entry, 1, stallGroups)
		entry.SetEntries(sharing.New(addresses[i], map[ident.Hall][]string{"hall": addresses}))
	}
	return entries
}

// sendToEntries sends requests to random entries at random times, and waits until all have ended.
func sendToEntries(entries []*relay.Relay) {
	random := rand.New(rand.NewPCG(2, 2))
	prompts := []int{200, 400, 800, 1600}
	began := time.Now()
	var wg sync.WaitGroup
	for n := 0; time.Since(began) < stallTestDuration; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / stallRate * float64(time.Second)))
		entry := entries[random.IntN(len(entries))]
		r := httptest.NewRequest(http.MethodPost, "/stream/x", http.NoBody)
		r.Host = "h"
		for name, value := range map[string]string{
			"Request": strconv.Itoa(n), "Key": "secret", "Model": "m", "Tokens": strconv.Itoa(prompts[random.IntN(len(prompts))]) + ",40",
			"Deadline": "6000",
		} {
			r.Header.Set(name, value)
		}
		wg.Go(func() {
			defer func() { _ = recover() }() // an aborted answer panics, as in net/http
			entry.ServeHTTP(httptest.NewRecorder(), r)
		})
	}
	wg.Wait()
}

// A group stalls for 3 s while it still accepts requests: its requests move to other groups within a few iterations. With fixed time-outs
// alone (firstEventTimeout, eventGapTimeout) all moved requests are late.
func TestStalledGroup(t *testing.T) {
	for _, lossRate := range []float64{0, 0.02} {
		got := runStall(t, stallScenario{stalls: true, lossRate: lossRate})
		t.Logf("%d requests, %d late, %d moved after %v, last request sent to the group after %v", got.total, got.late, got.moved, got.silent, got.sentAfter)
		if got.moved == 0 {
			t.Fatal("no request was moved")
		}
		if middle := got.silent[len(got.silent)/2]; middle > 350*time.Millisecond {
			t.Errorf("half of the moved requests moved after %v of silence or more, want at most 350 ms", middle)
		}
		if got.late > got.moved*3/4 {
			t.Errorf("%d late requests, %d moved; want late ones at most three quarters of the moved ones", got.late, got.moved)
		}
	}
}

// While all groups work and a few updates are lost, no request is moved.
func TestNoMovesWithoutStall(t *testing.T) {
	if got := runStall(t, stallScenario{lossRate: 0.02}); got.moved > 0 {
		t.Errorf("%d of %d requests moved although every group works", got.moved, got.total)
	}
}

// With 90 percent of the updates lost, entries underestimate the iterations of groups. Even so few requests are moved without need.
func TestLostUpdates(t *testing.T) {
	got := runStall(t, stallScenario{lossRate: 0.9})
	t.Logf("%d requests, %d late, %d moved after %v", got.total, got.late, got.moved, got.silent)
	if got.moved > got.total/100 {
		t.Errorf("%d of %d requests moved although every group works, want at most one percent", got.moved, got.total)
	}
}

// A group that becomes twelve times slower makes progress, but always too late: its requests move, and few of them are late.
func TestSlowGroup(t *testing.T) {
	got := runStall(t, stallScenario{slows: true})
	t.Logf("%d requests, %d late, %d moved after %v", got.total, got.late, got.moved, got.silent)
	if got.moved == 0 || got.late > 12 {
		t.Errorf("%d requests late and %d moved, want at most 12 late and some moved", got.late, got.moved)
	}
}
