package httproute_test

import (
	"math"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

// Long prompts with short answers are bound by passes that get long, short prompts with long answers by slots.
func TestWork(t *testing.T) {
	e := &httproute.Engine{Slots: 25, Step: 6 * time.Millisecond, PerSequence: 240 * time.Microsecond, ReadRate: 46000}
	for _, c := range []struct {
		name           string
		model          httproute.Model
		prompt, answer ident.Tokens
		want           float64
	}{
		{"nothing", httproute.Model{Size: 8, Pace: 1}, 0, 0, 0},
		{"a prompt only", httproute.Model{Size: 1, Pace: 1}, 46000, 0, 1 / 0.6},
		{"members and pace", httproute.Model{Size: 8, Pace: 0.5}, 46000, 0, 4 / 0.6},
		// 0.0434 s of reading and 0.006 s of its own part, 0.0092 s of steps shared by 16.25.
		{"a long prompt", httproute.Model{Size: 1, Pace: 1}, 2000, 25, (2000/46000.0 + 25*0.00024) / 0.6},
		// 0.0002 s of reading, 0.024 s of its own part, 0.037 s of steps shared by 16.25.
		{"a long answer", httproute.Model{Size: 1, Pace: 1}, 10, 100, 10/46000.0 + 100*(0.00024+0.006/16.25)},
	} {
		if got := e.Work(&c.model, c.prompt, c.answer); math.Abs(got-c.want) > 1e-9 {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	silent := (&httproute.Engine{}).Work(&httproute.Model{Size: 1, Pace: 1}, 1000, 1000)
	if silent != 0 {
		t.Errorf("an engine that publishes nothing: %v, want 0", silent)
	}
}
