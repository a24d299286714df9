package estimate_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/estimate"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

const batchSlots = 20

// batchEngine simulates an engine with continuous batching, iteration by iteration.
type batchEngine struct {
	group    *estimate.Group
	waiting  []batchRequest
	decoding []batchRequest
	// iterationEnds is when the running iteration ends.
	iterationEnds time.Time
}

type batchRequest struct {
	prompt ident.Tokens
	events int
}

// advance runs the iterations that end until now.
func (e *batchEngine) advance(now time.Time) {
	for len(e.waiting)+len(e.decoding) > 0 && !e.iterationEnds.After(now) {
		running := e.decoding[:0]
		for _, r := range e.decoding {
			if r.events--; r.events > 0 {
				running = append(running, r)
			}
		}
		e.decoding = running
		e.begin(e.iterationEnds)
	}
}

func (e *batchEngine) begin(now time.Time) {
	n := min(len(e.waiting), batchSlots-len(e.decoding))
	prompts := ident.Tokens(0)
	for _, r := range e.waiting[:n] {
		prompts += r.prompt
	}
	e.decoding = append(e.decoding, e.waiting[:n]...)
	e.waiting = e.waiting[n:]
	e.iterationEnds = now.Add(e.group.IterationTime(prompts, len(e.decoding)))
}

func (e *batchEngine) add(now time.Time, r batchRequest) {
	e.waiting = append(e.waiting, r)
	if len(e.waiting)+len(e.decoding) == 1 {
		e.begin(now)
	}
}

// Guards against a load that is believed to be lower than it is while requests come faster than before, and the reverse when they no longer
// do: what is believed differs from what runs by at most a tenth of the slots on average.
func TestBatchFollowsTheLoad(t *testing.T) {
	for _, tt := range []struct {
		name string
		// perSecond are the requests per second in each second.
		perSecond []float64
	}{
		{"steady", []float64{8, 8, 8, 8, 8, 8}},
		{"a flood", []float64{6, 6, 24, 24, 18, 18, 18, 18}},
		{"the end of a flood", []float64{18, 18, 18, 6, 6, 6}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			testEngine := engine()
			testEngine.Slots = batchSlots
			group := estimate.NewGroup(testEngine, &testEngine.Models[0], 1)
			e := &batchEngine{group: &group}
			var batch estimate.Batch
			random := rand.New(rand.NewPCG(1, 1))
			start := time.Unix(1_700_000_000, 0)
			now, sent, differences := start, 0, 0
			for {
				second := int(now.Sub(start) / time.Second)
				if second >= len(tt.perSecond) {
					break
				}
				r := batchRequest{prompt: 1000, events: 3 + random.IntN(15)}
				now = now.Add(time.Duration(random.ExpFloat64() / tt.perSecond[second] * float64(time.Second)))
				e.advance(now)
				difference := batch.Running(&group, now, 0) - len(e.waiting) - len(e.decoding)
				sent, differences = sent+1, differences+max(difference, -difference)
				e.add(now, r)
				batch.Add(&group, now, 0, r.prompt, ident.Tokens(r.events*testEngine.StepsPerIteration))
			}
			if mean := float64(differences) / float64(sent); mean > batchSlots/10 {
				t.Errorf("%.1f requests too many or too few on average, want at most %d", mean, batchSlots/10)
			}
		})
	}
}

// Requests of other entries wait for the slots that this entry's own requests leave.
func TestBatchWaitsForSlots(t *testing.T) {
	testEngine := &httproute.Engine{
		Slots: 2, StepTime: 10 * time.Millisecond, StepsPerIteration: 1, TypicalSize: httproute.RequestSize{Answer: 10},
		Models: []httproute.Model{{Name: "m", Size: 1, TimeFactor: 1}},
	}
	group := estimate.NewGroup(testEngine, &testEngine.Models[0], 1)
	start := time.Unix(1_700_000_000, 0)
	var batch estimate.Batch
	for range 3 {
		batch.Add(&group, start, 1, 0, 0)
	}
	var got []int
	for _, ms := range []time.Duration{90, 110, 190, 210, 290, 310} {
		got = append(got, batch.Running(&group, start.Add(ms*time.Millisecond), 1))
	}
	if diff := cmp.Diff([]int{3, 2, 2, 1, 1, 0}, got); diff != "" {
		t.Errorf("requests at the group (-want +got):\n%s", diff)
	}
}

// Guards against a wait for a slot that is assumed to be short because slots usually become free evenly, where all requests began together.
func TestSlotWaitAfterABurst(t *testing.T) {
	testEngine := &httproute.Engine{
		Slots: 4, StepTime: 10 * time.Millisecond, StepsPerIteration: 1, TypicalSize: httproute.RequestSize{Answer: 10},
		Models: []httproute.Model{{Name: "m", Size: 1, TimeFactor: 1}},
	}
	group := estimate.NewGroup(testEngine, &testEngine.Models[0], 1)
	start := time.Unix(1_700_000_000, 0)
	var batch estimate.Batch
	for range 4 {
		batch.Add(&group, start, 0, 0, 0)
	}
	var got []time.Duration
	for _, ms := range []time.Duration{0, 50, 110} {
		got = append(got, batch.SlotWait(&group, start.Add(ms*time.Millisecond), 0).Round(time.Millisecond))
	}
	// All but the first request wait for the next iteration, on average for half of one.
	if diff := cmp.Diff([]time.Duration{100 * time.Millisecond, 50 * time.Millisecond, 0}, got); diff != "" {
		t.Errorf("wait for a slot (-want +got):\n%s", diff)
	}
}

// An engine that publishes no times cannot be followed.
func TestBatchWithoutFigures(t *testing.T) {
	group := estimate.NewGroup(&httproute.Engine{}, &httproute.Model{TimeFactor: 1}, 1)
	start := time.Unix(1_700_000_000, 0)
	var batch estimate.Batch
	batch.Add(&group, start, 0, 100, 10)
	if got := batch.Running(&group, start.Add(time.Second), 0); got != 0 {
		t.Errorf("%d requests at an engine without figures, want 0", got)
	}
}

func BenchmarkBatch(b *testing.B) {
	testEngine := engine()
	group := estimate.NewGroup(testEngine, &testEngine.Models[0], 1)
	now := time.Unix(1_700_000_000, 0)
	var batch estimate.Batch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(20 * time.Millisecond)
		batch.Add(&group, now, 2, 1000, 100)
		batch.Running(&group, now, 2)
	}
}
