package httproute

// How much of a group's capacity a request needs. An engine works in iterations
// of continuous batching. Each prefills some of the pending prompts and then runs
// a fixed number of token steps. A step takes a constant time, plus a time for
// each decoding sequence. So only the times of prefill and of the sequences grow
// with the number of requests, and there are two ways to reach a group's full
// load:
//
//   - Prefill and the sequences take so much of each iteration that iterations
//     get long, and new requests wait for several of them.
//   - Requests stay so long that all slots are in use.

import (
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// perRequestFraction is the fraction of a group's time that prefill and the sequences may take. Iterations are then 1/(1-0.6) = 2.5
	// times as long as without requests.
	perRequestFraction = 0.6
	// slotFraction is the fraction of the slots that may be in use on average, so that most requests find a free slot.
	slotFraction = 0.65
)

// UpstreamSeconds returns the upstream time, in seconds, that requests with these total token counts need from groups of m under full load.
func (e *Engine) UpstreamSeconds(m *Model, prompt, answer ident.Tokens) float64 {
	perRequest := float64(answer) * e.StepTimePerSequence.Seconds()
	if e.PrefillRate > 0 {
		perRequest += float64(prompt) / e.PrefillRate
	}
	sharedSteps := float64(answer) * e.StepTime.Seconds() / (slotFraction * float64(max(1, e.Slots)))
	return float64(m.Size) * m.TimeFactor * max(perRequest/perRequestFraction, perRequest+sharedSteps)
}

// FullLoadEventGap returns the time between events of a stream at a group of m under full load. Longer gaps mean that the group is slow or
// overloaded.
func (e *Engine) FullLoadEventGap(m *Model, crossDomain bool) time.Duration {
	step := e.StepTime.Seconds() + e.StepTimePerSequence.Seconds()*slotFraction*float64(e.Slots)
	gap := float64(max(1, e.StepsPerIteration)) * step / (1 - perRequestFraction) * m.TimeFactor
	if crossDomain {
		gap *= max(1, e.CrossDomainSlowdown)
	}
	return time.Duration(gap * float64(time.Second))
}
