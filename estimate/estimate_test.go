package estimate_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/dunlinquay/dunlinquay/estimate"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

// engine prefills 50 tokens per ms and runs 5 steps of 6 ms per iteration; each of at most 20 sequences adds 0.2 ms to a step.
func engine() *httproute.Engine {
	return &httproute.Engine{
		Slots: 20, StepTime: 6 * time.Millisecond, StepTimePerSequence: 200 * time.Microsecond, PrefillRate: 50_000, StepsPerIteration: 5,
		Models:      []httproute.Model{{Name: "large", Size: 4, TimeFactor: 1}, {Name: "small", Size: 2, TimeFactor: 0.5}},
		TypicalSize: httproute.RequestSize{Prompt: 1000, Answer: 100},
	}
}

func TestIterationTime(t *testing.T) {
	testEngine := engine()
	tests := []struct {
		name         string
		model        int
		slowdown     float64
		promptTokens ident.Tokens
		decoding     int
		want         time.Duration
	}{
		{"idle", 0, 1, 0, 0, 30 * time.Millisecond},
		{"prefill only", 0, 1, 2000, 0, 70 * time.Millisecond},
		{"decoding only", 0, 1, 0, 10, 40 * time.Millisecond},
		{"both", 0, 1, 2000, 10, 80 * time.Millisecond},
		{"more requests than slots", 0, 1, 0, 50, 50 * time.Millisecond},
		{"a model that takes half the time", 1, 1, 2000, 10, 40 * time.Millisecond},
		{"a group across domains", 0, 3, 2000, 10, 240 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			group := estimate.NewGroup(testEngine, &testEngine.Models[tt.model], tt.slowdown)
			if diff := cmp.Diff(tt.want, group.IterationTime(tt.promptTokens, tt.decoding).Round(time.Microsecond)); diff != "" {
				t.Errorf("iteration time (-want +got):\n%s", diff)
			}
		})
	}
}

func TestFirstEvent(t *testing.T) {
	testEngine := engine()
	group := estimate.NewGroup(testEngine, &testEngine.Models[0], 1)
	tests := []struct {
		name   string
		load   estimate.Load
		prompt ident.Tokens
		want   time.Duration
	}{
		{"idle", estimate.Load{}, 0, 46 * time.Millisecond},
		{"a long prompt", estimate.Load{}, 5000, 146 * time.Millisecond},
		{"behind a long prompt", estimate.Load{PendingPrompt: 5000, Requests: 1}, 500, 157500 * time.Microsecond},
		{"beside ten that decode", estimate.Load{Requests: 10}, 500, 71 * time.Millisecond},
		{"the last slot", estimate.Load{Requests: 19}, 0, 74500 * time.Microsecond},
		{"two must finish first", estimate.Load{Requests: 21}, 0, 175 * time.Millisecond},
		{"two must finish first that take 2 s each", estimate.Load{Requests: 21, SlotTime: 2 * time.Second}, 0, 275 * time.Millisecond},
		{"the first slot is free in 300 ms", estimate.Load{Requests: 21, SlotWait: 300 * time.Millisecond}, 0, 375 * time.Millisecond},
		{"a slot is free, whatever was known", estimate.Load{Requests: 10, SlotWait: 300 * time.Millisecond}, 500, 71 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, group.FirstEvent(tt.load, tt.prompt).Round(time.Microsecond)); diff != "" {
				t.Errorf("time to first event (-want +got):\n%s", diff)
			}
		})
	}
}

// An engine that publishes no times has no estimate.
func TestEngineWithoutFigures(t *testing.T) {
	testEngine := &httproute.Engine{Models: []httproute.Model{{Name: "m", Size: 1, TimeFactor: 1}}}
	group := estimate.NewGroup(testEngine, &testEngine.Models[0], 1)
	if diff := cmp.Diff(time.Duration(0), group.FirstEvent(estimate.Load{Requests: 3}, 100)); diff != "" {
		t.Errorf("time to first event (-want +got):\n%s", diff)
	}
}

func BenchmarkFirstEvent(b *testing.B) {
	testEngine := engine()
	group := estimate.NewGroup(testEngine, &testEngine.Models[0], 1)
	load := estimate.Load{PendingPrompt: 3000, Requests: 12}
	b.ReportAllocs()
	for b.Loop() {
		group.FirstEvent(load, 1000)
	}
}
