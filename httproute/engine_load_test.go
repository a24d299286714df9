package httproute_test

import (
	"math"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

// Requests with long prompts and short answers are limited by the length of iterations, those with short prompts and long answers by slots.
func TestUpstreamSeconds(t *testing.T) {
	e := &httproute.Engine{Slots: 25, StepTime: 6 * time.Millisecond, StepTimePerSequence: 240 * time.Microsecond, PrefillRate: 46000}
	for _, c := range []struct {
		name           string
		model          httproute.Model
		prompt, answer ident.Tokens
		want           float64
	}{
		{"no tokens", httproute.Model{Size: 8, TimeFactor: 1}, 0, 0, 0},
		{"a prompt only", httproute.Model{Size: 1, TimeFactor: 1}, 46000, 0, 1 / 0.6},
		{"size and time factor", httproute.Model{Size: 8, TimeFactor: 0.5}, 46000, 0, 4 / 0.6},
		// 0.0434 s of prefill, 0.006 s for the sequence, and 0.0092 s of the constant step time, which 25 * 0.65 = 16.25 sequences share.
		{"a long prompt", httproute.Model{Size: 1, TimeFactor: 1}, 2000, 25, (2000/46000.0 + 25*0.00024) / 0.6},
		// 0.0002 s of prefill, 0.024 s for the sequence, and 0.037 s of the constant step time, which 16.25 sequences share.
		{"a long answer", httproute.Model{Size: 1, TimeFactor: 1}, 10, 100, 10/46000.0 + 100*(0.00024+0.006/16.25)},
	} {
		if got := e.UpstreamSeconds(&c.model, c.prompt, c.answer); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	noFigures := (&httproute.Engine{}).UpstreamSeconds(&httproute.Model{Size: 1, TimeFactor: 1}, 1000, 1000)
	if noFigures != 0 {
		t.Errorf("an engine without published times: %v, want 0", noFigures)
	}
}
