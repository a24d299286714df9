package httproute

// How much of a group a request takes. An engine works in passes: each reads
// some of the prompts that wait and then plays Stride token steps. A step costs
// the same however many sequences write, plus a part for each of them. So of a
// group's time only reading and the sequences' own part grow with the requests,
// and a group is full in one of two ways:
//
//   - reading and the sequences' own part take so much of each pass that
//     passes get long, and new requests wait for several of them;
//   - requests stay until all slots are taken.

import (
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// busyPart is the part of a group's time that reading and the sequences' own part may take: passes are then 1/(1-0.6),
	// 2.5 times as long as with nothing to do (worked out from the published figures).
	busyPart = 0.6
	// slotsPart is the part of the slots that may be taken on average, so that most requests find one.
	slotsPart = 0.65
)

// Work returns the time that requests with so many tokens in all take of upstreams of m, in upstream-seconds of a full group.
func (e *Engine) Work(m *Model, prompt, answer ident.Tokens) float64 {
	own := float64(answer) * e.PerSequence.Seconds()
	if e.ReadRate > 0 {
		own += float64(prompt) / e.ReadRate
	}
	steps := float64(answer) * e.Step.Seconds() / (slotsPart * float64(max(1, e.Slots)))
	return float64(m.Size) * m.Pace * max(own/busyPart, own+steps)
}

// FullPause returns the time between events of a stream at a full group of m: longer ones mean that it is slow, or overloaded.
func (e *Engine) FullPause(m *Model, far bool) time.Duration {
	step := e.Step.Seconds() + e.PerSequence.Seconds()*slotsPart*float64(e.Slots)
	pause := float64(max(1, e.Stride)) * step / (1 - busyPart) * m.Pace
	if far {
		pause *= max(1, e.FarFactor)
	}
	return time.Duration(pause * float64(time.Second))
}
