package relay_test

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	excessGroups = 4
	excessSlots  = 26
	// excessRate is the usual load in requests per second, which leaves capacity for a burst.
	excessRate = 60
	// excessAim bounds the time to the first event of an answer in time, excessGapAim the gaps between its events.
	excessAim    = 400 * time.Millisecond
	excessGapAim = 200 * time.Millisecond
	// excessCallerTimeout is how long callers wait for an answer.
	excessCallerTimeout = 6 * time.Second
)

// excessPattern is a load that exceeds the capacity of the groups.
type excessPattern struct {
	name string
	// duration is how long callers arrive, loadFactor the load as a multiple of the usual one at a time since the start.
	duration   time.Duration
	loadFactor func(at time.Duration) float64
	// lostGroups is the number of groups that are missing from lostAt on for lostFor.
	lostGroups int
	lostAt     time.Duration
	lostFor    time.Duration
	// impatient is set when callers ignore Retry-After and retry at once, three times.
	impatient bool
	// Of the callers that arrived between from and to, at least the fraction minInAim of the usual load must be answered in time.
	from, to time.Duration
	minInAim float64
	// maxHeld bounds how long finally refused callers may have been kept waiting by their attempts, on average.
	maxHeld time.Duration
}

// excessResult counts how the requests of the callers between from and to ended.
type excessResult struct {
	total, inAim, late, refused int
	// heldTotal is the sum of the times that refused callers were kept waiting.
	heldTotal time.Duration
	// bySize has, by prompt size, the number of callers and of those answered in time; tokens is the sum of the latter's prompts.
	bySize map[int][2]int
	tokens int
}

// excessCaller sends one request and retries it after a refusal.
type excessCaller struct {
	entry     *relay.Relay
	id        string
	tokens    string
	impatient bool
	// key is the customer's key, "secret" if empty.
	key string
}

// call returns the time to the first event from the first attempt, 0 if there was none, the longest gap between events, and the total time
// of refused attempts.
func (c *excessCaller) call(records *sync.Map) (firstEvent, maxGap, held time.Duration) {
	began := time.Now()
	maxAttempts := 2
	if c.impatient {
		maxAttempts = 4
	}
	for n := range maxAttempts {
		remaining := excessCallerTimeout - time.Since(began)
		if remaining <= 0 {
			break
		}
		ctx, cancel := context.WithTimeout(context.Background(), remaining)
		r := httptest.NewRequest(http.MethodPost, "/stream/x", http.NoBody).WithContext(ctx)
		r.Host = "h"
		id := c.id + "." + strconv.Itoa(n)
		for name, value := range map[string]string{
			"Request": id, "Key": cmp.Or(c.key, "secret"), "Model": "m", "Tokens": c.tokens, "Deadline": strconv.Itoa(int(remaining.Milliseconds())),
		} {
			r.Header.Set(name, value)
		}
		w := httptest.NewRecorder()
		sent := time.Now()
		func() {
			defer func() { _ = recover() }() // an aborted answer panics, as in net/http
			c.entry.ServeHTTP(w, r)
		}()
		cancel()
		found, _ := records.Load(id)
		if rec, ok := found.(*relay.Record); ok && rec.Code == 0 {
			return sent.Sub(began) + rec.FirstEvent, rec.MaxEventGap, 0
		}
		held += time.Since(sent)
		seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		if err != nil {
			break
		}
		if !c.impatient {
			time.Sleep(min(time.Duration(seconds*float64(time.Second)), (excessCallerTimeout-time.Since(began))/3))
		}
	}
	return 0, 0, held
}

// runExcess runs a load pattern against an entry with simulated engines.
func runExcess(t *testing.T, p *excessPattern) excessResult {
	t.Helper()
	var got excessResult
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		engines := map[string]*iterationEngine{}
		cfg := timedConfig()
		cfg.Services[1].Engine.Slots = excessSlots
		cfg.Services[1].Engine.StepTimePerSequence = 200 * time.Microsecond
		cfg.Services[1].Engine.TypicalSize = httproute.RequestSize{Prompt: 1400, Answer: floodEvents * 5}
		cfg.Routes = []httproute.Route{newRoute("stream", httproute.KindStream, "model", 1)}
		cfg.Routes[0].Aim = excessAim
		cfg.Routes[0].Timeout = excessCallerTimeout
		for i := range excessGroups {
			e := &iterationEngine{slots: excessSlots}
			engines["h"+strconv.Itoa(i)] = e
			running.Go(func() { e.run(ctx) })
		}
		s := relayForEngines(engines)
		var records sync.Map
		s.Observe = func(r *relay.Record) { records.Store(r.ID, r) }
		s.SetConfig(cfg)
		s.SetConfirmed(time.Now())
		setGroups(s, 1, excessGroups)
		if p.lostGroups > 0 {
			time.AfterFunc(p.lostAt, func() { setGroups(s, 2, excessGroups-p.lostGroups) })
			time.AfterFunc(p.lostAt+p.lostFor, func() { setGroups(s, 3, excessGroups) })
		}
		got = sendExcess(s, p, &records)
		for _, e := range engines {
			e.close()
		}
		cancel()
		running.Wait()
	})
	return got
}

// setGroups applies a roster with the first n groups only.
func setGroups(s *relay.Relay, revision roster.Revision, n int) {
	d := roster.Delta{Full: true, Revision: revision}
	for i := range n {
		id := ident.Incarnation("h" + strconv.Itoa(i))
		d.Upstreams = append(d.Upstreams, roster.Upstream{ID: id, Service: "model", Address: string(id), Slots: excessSlots})
		d.Groups = append(d.Groups, roster.Group{
			Name: ident.Group("g" + id), Service: "model", Model: "m", Phase: roster.PhaseOpen, Members: []ident.Incarnation{id},
		})
	}
	s.ApplyRoster(&d)
}

// sendExcess starts callers at random times, with prompts of 200 to 4000 tokens, and waits until all have ended.
func sendExcess(s *relay.Relay, p *excessPattern, records *sync.Map) excessResult {
	random := rand.New(rand.NewPCG(2, 2))
	prompts := []int{200, 400, 800, 1600, 4000}
	began := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	got := excessResult{bySize: map[int][2]int{}}
	for n := 0; time.Since(began) < p.duration; n++ {
		time.Sleep(time.Duration(random.ExpFloat64() / (excessRate * p.loadFactor(time.Since(began))) * float64(time.Second)))
		caller := &excessCaller{entry: s, id: strconv.Itoa(n), impatient: p.impatient}
		prompt := prompts[random.IntN(len(prompts))]
		caller.tokens = strconv.Itoa(prompt) + ",40"
		start := time.Since(began)
		wg.Go(func() {
			firstEvent, maxGap, held := caller.call(records)
			if start < p.from || start >= p.to {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			got.total++
			counts := got.bySize[prompt]
			counts[0]++
			defer func() { got.bySize[prompt] = counts }()
			switch {
			case firstEvent == 0:
				got.refused++
				got.heldTotal += held
			case firstEvent <= excessAim && maxGap <= excessGapAim:
				got.inAim++
				counts[1]++
				got.tokens += prompt
			default:
				got.late++
			}
		})
	}
	wg.Wait()
	return got
}

func constantLoad(loadFactor float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return loadFactor }
}

// loadBetween is a load of loadFactor from one time to another, and the usual load otherwise.
func loadBetween(from, to time.Duration, loadFactor float64) func(time.Duration) float64 {
	return func(elapsed time.Duration) float64 {
		if elapsed >= from && elapsed < to {
			return loadFactor
		}
		return 1
	}
}

// During an overload more callers than usual are answered in time, finally refused callers are not kept waiting for long, and soon after the
// overload nearly all requests are in time again. Without package overload, callers would wait for seconds before their final refusal.
func TestOverload(t *testing.T) {
	sec := time.Second
	for _, p := range []excessPattern{
		{name: "usual load", duration: 6 * sec, loadFactor: constantLoad(1), to: 6 * sec, minInAim: 0.97},
		{name: "1.7 times the load for 3 s", duration: 8 * sec, loadFactor: loadBetween(2*sec, 5*sec, 1.7), from: 2 * sec, to: 5 * sec, minInAim: 1.3, maxHeld: 700 * time.Millisecond},
		{name: "three times the load for 10 s", duration: 12 * sec, loadFactor: loadBetween(sec, 11*sec, 3), from: sec, to: 11 * sec, minInAim: 1.2, maxHeld: 700 * time.Millisecond},
		{name: "after three times the load for 10 s", duration: 15 * sec, loadFactor: loadBetween(0, 10*sec, 3), from: 11 * sec, to: 15 * sec, minInAim: 0.75},
		{name: "half of the groups missing for 3 s", duration: 8 * sec, loadFactor: constantLoad(1), lostGroups: 2, lostAt: 2 * sec, lostFor: 3 * sec, from: 2 * sec, to: 5 * sec, minInAim: 0.6, maxHeld: 700 * time.Millisecond},
		{name: "all callers retry after 2 s", duration: 8 * sec, loadFactor: loadBetween(2*sec, 2100*time.Millisecond, 20), from: 2200 * time.Millisecond, to: 5 * sec, minInAim: 0.9, maxHeld: 1500 * time.Millisecond},
		{name: "callers retry at once, three times", duration: 8 * sec, loadFactor: loadBetween(sec, 7*sec, 2), impatient: true, from: sec, to: 7 * sec, minInAim: 1.2, maxHeld: 700 * time.Millisecond},
	} {
		t.Run(p.name, func(t *testing.T) {
			got := runExcess(t, &p)
			usual := excessRate * (p.to - p.from).Seconds()
			held := got.heldTotal / time.Duration(max(1, got.refused))
			t.Logf("%d callers: %d in time (%.2f of the usual load, %d tokens, by prompt size %v), %d late, %d refused after %v on average", got.total, got.inAim,
				float64(got.inAim)/usual, got.tokens, got.bySize, got.late, got.refused, held.Round(time.Millisecond))
			if float64(got.inAim) < p.minInAim*usual {
				t.Errorf("%d callers answered in time, want at least %.2f of the usual %.0f", got.inAim, p.minInAim, usual)
			}
			if held > p.maxHeld && p.maxHeld > 0 {
				t.Errorf("refused callers waited %v on average, want at most %v", held, p.maxHeld)
			}
		})
	}
}
