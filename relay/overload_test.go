package relay_test

import (
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
	// excessRate is what the groups carry with room for a burst, in requests a second.
	excessRate = 60
	// excessAim and excessGapAim are within what the first word must come, and the others after it.
	excessAim    = 400 * time.Millisecond
	excessGapAim = 200 * time.Millisecond
	// excessCallerTimeout is how long callers wait for an answer.
	excessCallerTimeout = 6 * time.Second
)

// excessPattern is a load that is more than the groups take.
type excessPattern struct {
	name string
	// duration is how long callers come, times how many times the usual traffic comes at a moment.
	duration   time.Duration
	loadFactor func(at time.Duration) float64
	// lostGroups is how many groups are gone from lostAt on for lostFor.
	lostGroups int
	lostAt     time.Duration
	lostFor    time.Duration
	// impatient is set when callers come back at once and three times as often, whatever they are told.
	impatient bool
	// countInAim is the least part of the usual traffic that must be answered in time, of the callers that came from its start to its end.
	from, to time.Duration
	minInAim float64
	// maxHeld is the longest time on average that requests which are refused for good may have been held.
	maxHeld time.Duration
}

// excessResult is what became of the callers that came within the time that counts.
type excessResult struct {
	total, inAim, late, refused int
	// heldTotal is the time for which tries of refused callers were kept, in all.
	heldTotal time.Duration
	// bySize counts by prompt those that asked and those that were in time, tokens are the prompts of these.
	bySize map[int][2]int
	tokens int
}

// caller sends one request, and again when it is told to come back.
type excessCaller struct {
	entry     *relay.Relay
	id        string
	tokens    string
	impatient bool
}

// call returns when the first word came after the first try, 0 if none did, the longest pause after it, and how long tries were held
// in vain.
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
		for name, found := range map[string]string{
			"Request": id, "Key": "secret", "Model": "m", "Tokens": c.tokens, "Deadline": strconv.Itoa(int(remaining.Milliseconds())),
		} {
			r.Header.Set(name, found)
		}
		w := httptest.NewRecorder()
		sent := time.Now()
		func() {
			defer func() { _ = recover() }() // an answer that is cut off ends in a panic, as in net/http
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

// runExcess plays a pattern before engines with slots.
func runExcess(t *testing.T, p *excessPattern) excessResult {
	t.Helper()
	var got excessResult
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		engines := map[string]*iterationEngine{}
		cfg := timedConfig()
		cfg.Services[1].Engine.Slots = excessSlots
		cfg.Services[1].Engine.PerSequence = 200 * time.Microsecond
		cfg.Services[1].Engine.Usual = httproute.Usual{Prompt: 1400, Answer: floodEvents * 5}
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

// setGroups lets the first groups serve, and no others.
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

// sendExcess lets callers come at random moments, with prompts that differ by twenty times in size, and waits for their ends.
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

// loadBetween is times within a span, and once outside.
func loadBetween(from, to time.Duration, loadFactor float64) func(time.Duration) float64 {
	return func(elapsed time.Duration) float64 {
		if elapsed >= from && elapsed < to {
			return loadFactor
		}
		return 1
	}
}

// Loads that are more than the groups take: more callers than usual are answered in time meanwhile, those that are refused for good
// are not held for long (2.9 s and more without package overload), and soon after it nearly all is as usual.
func TestOverload(t *testing.T) {
	sec := time.Second
	for _, p := range []excessPattern{
		{name: "usual", duration: 6 * sec, loadFactor: constantLoad(1), to: 6 * sec, minInAim: 0.97},
		{name: "a burst of 1.7 times for 3 s", duration: 8 * sec, loadFactor: loadBetween(2*sec, 5*sec, 1.7), from: 2 * sec, to: 5 * sec, minInAim: 1.3, maxHeld: 700 * time.Millisecond},
		{name: "three times for 10 s", duration: 12 * sec, loadFactor: loadBetween(sec, 11*sec, 3), from: sec, to: 11 * sec, minInAim: 1.2, maxHeld: 700 * time.Millisecond},
		{name: "after three times for 10 s", duration: 15 * sec, loadFactor: loadBetween(0, 10*sec, 3), from: 11 * sec, to: 15 * sec, minInAim: 0.75},
		{name: "half of the groups gone for 3 s", duration: 8 * sec, loadFactor: constantLoad(1), lostGroups: 2, lostAt: 2 * sec, lostFor: 3 * sec, from: 2 * sec, to: 5 * sec, minInAim: 0.6, maxHeld: 700 * time.Millisecond},
		{name: "everybody back after 2 s", duration: 8 * sec, loadFactor: loadBetween(2*sec, 2100*time.Millisecond, 20), from: 2200 * time.Millisecond, to: 5 * sec, minInAim: 0.9, maxHeld: 1500 * time.Millisecond},
		{name: "callers that come back at once, three times", duration: 8 * sec, loadFactor: loadBetween(sec, 7*sec, 2), impatient: true, from: sec, to: 7 * sec, minInAim: 1.2, maxHeld: 700 * time.Millisecond},
	} {
		t.Run(p.name, func(t *testing.T) {
			got := runExcess(t, &p)
			usual := excessRate * (p.to - p.from).Seconds()
			held := got.heldTotal / time.Duration(max(1, got.refused))
			t.Logf("%d asked: %d in time (%.2f of usual, %d tokens, by prompt %v), %d late, %d refused after %v on average", got.total, got.inAim,
				float64(got.inAim)/usual, got.tokens, got.bySize, got.late, got.refused, held.Round(time.Millisecond))
			if float64(got.inAim) < p.minInAim*usual {
				t.Errorf("%d answered in time, want %.2f of the usual %.0f", got.inAim, p.minInAim, usual)
			}
			if held > p.maxHeld && p.maxHeld > 0 {
				t.Errorf("held for %v on average before the last refusal, want %v at most", held, p.maxHeld)
			}
		})
	}
}
