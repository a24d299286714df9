package relay_test

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/siteload"
	"github.com/dunlinquay/dunlinquay/transport"
)

const (
	delayEntries = 20
	// trueDelay and trueDeviation are the mean of the delays and their standard deviation.
	trueDelay     = 5 * time.Millisecond
	trueDeviation = 20 * time.Millisecond
	// delayTolerance is by how much an entry's estimate may differ from trueDelay.
	delayTolerance = 10 * time.Millisecond
	reportInterval = 250 * time.Millisecond
)

// delayEntry returns a relay with a clock that advance moves.
func delayEntry() (s *relay.Relay, advance func(time.Duration)) {
	s = relay.New(headerNames(), transport.TCP())
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s.Now = func() time.Time { return now }
	return s, func(d time.Duration) { now = now.Add(d) }
}

// summaryOf returns a summary with a delay of the model m only.
func summaryOf(delay siteload.DelaySummary) *siteload.Summary {
	return &siteload.Summary{Queues: []siteload.QueueSummary{{Key: siteload.Key{Service: "model", Model: "m"}, Delay: delay}}}
}

// exchangeLoad reports the counts of all entries to the leader's table and returns its sums to them.
func exchangeLoad(table *siteload.Table, entries []*relay.Relay, now time.Time) {
	for i, s := range entries {
		table.Apply(now, strconv.Itoa(i), s.CollectLoad())
	}
	summary := table.Summary(now)
	for _, s := range entries {
		s.SetSiteLoad(summary)
	}
}

// Guards against entries of a large site that each learn the delay of first events from their own few requests: they would assume the
// initial delay for a minute.
func TestEntriesWithFewRequestsLearnTheDelayTogether(t *testing.T) {
	var entries []*relay.Relay
	var advance []func(time.Duration)
	for range delayEntries {
		s, adv := delayEntry()
		entries, advance = append(entries, s), append(advance, adv)
	}
	random := rand.New(rand.NewPCG(3, 3))
	table := &siteload.Table{}
	now := entries[0].Now()
	lastReport := now
	// Each entry has one first event every two seconds, at a time of its own; 50 first events take 5 s.
	for step := range int(7 * time.Second / (100 * time.Millisecond)) {
		relay.LearnDelay(entries[step%delayEntries], "model", "m", trueDelay+time.Duration(random.NormFloat64()*float64(trueDeviation)))
		now = now.Add(100 * time.Millisecond)
		for _, adv := range advance {
			adv(100 * time.Millisecond)
		}
		if now.Sub(lastReport) >= reportInterval {
			lastReport = now
			exchangeLoad(table, entries, now)
		}
	}
	for i, s := range entries {
		mean, deviation := relay.DispatchDelay(s, "m")
		if (mean-trueDelay).Abs() > delayTolerance || deviation > 30*time.Millisecond {
			t.Errorf("entry %d assumes a delay of %v with a deviation of %v, want %v within %v and at most 30 ms", i, mean, deviation, trueDelay, delayTolerance)
		}
	}
}

// Guards against requests with a short aim that are refused while groups have free slots, because entries with few requests assume a delay
// far above the actual one.
func TestShortAimsAreServedAtEntriesWithFewRequests(t *testing.T) {
	refused, late, total := 0, 0, 0
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		engines := map[string]*iterationEngine{}
		cfg := timedConfig()
		cfg.Services[1].Engine.Slots = excessSlots
		cfg.Services[1].Engine.TypicalSize = httproute.RequestSize{Prompt: 1460, Answer: floodEvents * 5}
		cfg.Routes = []httproute.Route{newRoute("stream", httproute.KindStream, "model", 1)}
		cfg.Routes[0].Aim = 300 * time.Millisecond
		const groups = 1
		for i := range groups {
			e := &iterationEngine{slots: excessSlots}
			engines["h"+strconv.Itoa(i)] = e
			running.Go(func() { e.run(ctx) })
		}
		var mu sync.Mutex
		began := time.Now()
		var entries []*relay.Relay
		for range delayEntries {
			s := relayForEngines(engines)
			s.Observe = func(r *relay.Record) {
				mu.Lock()
				defer mu.Unlock()
				if time.Since(began) < 7*time.Second {
					return
				}
				total++
				switch {
				case r.Code != 0:
					refused++
				case r.FirstEvent > 300*time.Millisecond:
					late++
				}
			}
			s.SetConfig(cfg)
			setGroups(s, 1, groups)
			s.SetConfirmed(time.Now())
			entries = append(entries, s)
		}
		for _, s := range entries {
			s.SendUpdate = func(update relay.EntryUpdate, _ []string) {
				go func() {
					time.Sleep(time.Millisecond)
					for _, other := range entries {
						if other != s {
							other.Receive(update, netip.AddrPort{})
						}
					}
				}()
			}
		}
		table := &siteload.Table{}
		running.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(reportInterval)
				exchangeLoad(table, entries, time.Now())
			}
		})
		random := rand.New(rand.NewPCG(4, 4))
		var wg sync.WaitGroup
		for n := 0; time.Since(began) < 27*time.Second; n++ {
			time.Sleep(time.Duration(random.ExpFloat64() / (delayEntries / 2) * float64(time.Second)))
			r := httptest.NewRequest(http.MethodPost, "/stream/x", http.NoBody)
			r.Host = "h"
			for name, value := range map[string]string{"Request": strconv.Itoa(n), "Key": "secret", "Model": "m", "Tokens": "1460,40"} {
				r.Header.Set(name, value)
			}
			wg.Go(func() {
				defer func() { _ = recover() }() // an aborted answer panics, as in net/http
				entries[n%delayEntries].ServeHTTP(httptest.NewRecorder(), r)
			})
		}
		wg.Wait()
		for _, e := range engines {
			e.close()
		}
		cancel()
		running.Wait()
	})
	t.Logf("%d requests, %d refused, %d late", total, refused, late)
	if refused > 0 {
		t.Errorf("%d of %d requests refused, want none", refused, total)
	}
}

// Guards against an entry without a leader that forgets what it has learnt, or that learns nothing.
func TestOwnDelayHoldsWithoutALeader(t *testing.T) {
	s, advance := delayEntry()
	for range 40 {
		relay.LearnDelay(s, "model", "m", trueDelay)
		advance(2 * time.Second)
	}
	learnt, _ := relay.DispatchDelay(s, "m")
	advance(10 * time.Minute)
	later, _ := relay.DispatchDelay(s, "m")
	if (learnt-trueDelay).Abs() > delayTolerance || later != learnt {
		t.Errorf("delay %v after 40 first events and %v ten minutes later, want %v within %v both times", learnt, later, trueDelay, delayTolerance)
	}
}

// Guards against a site average that replaces what an entry with many requests measures itself, and against one that is used for ever.
func TestSiteDelayIsWeighted(t *testing.T) {
	ms := time.Millisecond
	site := siteload.DelaySummary{Mean: 5 * ms, Deviation: 12 * ms, Samples: 1000}
	for _, tt := range []struct {
		name    string
		own     int
		summary *siteload.Summary
		age     time.Duration
		want    time.Duration
		tol     time.Duration
	}{
		{"no summary", 0, nil, 0, 100 * ms, 0},
		{"no first events of its own", 0, summaryOf(site), 0, 5 * ms, 0},
		{"no first events of its own, 9 s later", 0, summaryOf(site), 9 * time.Second, 5 * ms, 0},
		{"no first events of its own, 11 s later", 0, summaryOf(site), 11 * time.Second, 100 * ms, 0},
		{"too few samples", 0, summaryOf(siteload.DelaySummary{Mean: 5 * ms, Deviation: 12 * ms, Samples: 7}), 0, 100 * ms, 0},
		{"many first events of its own", 2000, summaryOf(siteload.DelaySummary{Mean: 5 * ms, Deviation: 12 * ms, Samples: 9000}), 0, 60 * ms, 2 * ms},
		{"the summary holds only its own", 30, summaryOf(siteload.DelaySummary{Mean: 5 * ms, Deviation: 12 * ms, Samples: 30}), 0, 60 * ms, 12 * ms},
		{"a summary without a number", 0, summaryOf(siteload.DelaySummary{Mean: 5 * ms, Samples: math.NaN()}), 0, 100 * ms, 0},
		{"a summary with an infinite weight", 0, summaryOf(siteload.DelaySummary{Mean: 5 * ms, Samples: math.Inf(1)}), 0, 100 * ms, 0},
		{"a mean above the bound", 0, summaryOf(siteload.DelaySummary{Mean: time.Hour, Samples: 100}), 0, 200 * ms, 0},
		{"a mean below the bound", 0, summaryOf(siteload.DelaySummary{Mean: -time.Hour, Samples: 100}), 0, -200 * ms, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, advance := delayEntry()
			for range tt.own {
				relay.LearnDelay(s, "model", "m", 60*ms)
			}
			s.SetSiteLoad(tt.summary)
			advance(tt.age)
			if got, _ := relay.DispatchDelay(s, "m"); (got - tt.want).Abs() > tt.tol {
				t.Errorf("delay %v, want %v within %v", got, tt.want, tt.tol)
			}
		})
	}
}

// Guards against a new leader, which has no samples yet, or one that knows few, making entries forget the site's delay.
func TestSummaryOfANewLeaderKeepsTheDelay(t *testing.T) {
	ms := time.Millisecond
	s, advance := delayEntry()
	s.SetSiteLoad(summaryOf(siteload.DelaySummary{Mean: 5 * ms, Deviation: 12 * ms, Samples: 500}))
	var got []time.Duration
	for _, summary := range []*siteload.Summary{
		{}, summaryOf(siteload.DelaySummary{}), summaryOf(siteload.DelaySummary{Mean: 80 * ms, Samples: 9}),
		summaryOf(siteload.DelaySummary{Mean: 15 * ms, Samples: 30}),
	} {
		advance(time.Second)
		s.SetSiteLoad(summary)
		mean, _ := relay.DispatchDelay(s, "m")
		got = append(got, mean)
	}
	if diff := cmp.Diff([]time.Duration{5 * ms, 5 * ms, 5 * ms, 15 * ms}, got); diff != "" {
		t.Errorf("delays after no queue, no samples, 9 samples and 30 samples (-want +got):\n%s", diff)
	}
}

// Guards against single first events of a stalled group that make an entry assume that no request can be in time.
func TestSingleDelaysAreBounded(t *testing.T) {
	s, _ := delayEntry()
	for range 20 {
		relay.LearnDelay(s, "model", "m", trueDelay)
	}
	before, _ := relay.DispatchDelay(s, "m")
	relay.LearnDelay(s, "model", "m", time.Minute)
	after, _ := relay.DispatchDelay(s, "m")
	if after-before > 6*time.Millisecond {
		t.Errorf("delay %v before and %v after one first event that was a minute late, want at most 6 ms more", before, after)
	}
}
