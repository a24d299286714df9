package estimate

// An engine uses continuous batching. Each iteration prefills the pending
// prompts and then runs StepsPerIteration token steps for every decoding
// sequence; its events are sent at its end:
//
//	| prefill a, b, c | steps for all | prefill d | steps for all | ...
//	                first events of a, b, c     first event of d
//
// A request therefore waits for all prompts that are prefilled in the same
// iteration, and so do the streams of the group: their event gap is the length
// of an iteration. The number of requests says little about that length, because
// prompts differ in size by a factor of ten.

import (
	"math"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

// Group holds the published figures of a group of one model in the form that the estimates need.
type Group struct {
	// perPromptToken is the prefill time of one token, iterationBase the time of an iteration without prompts and sequences,
	// perSequence the time that each sequence adds to an iteration; all in ns.
	perPromptToken float64
	iterationBase  float64
	perSequence    float64
	slots          int
	// stepsPerIteration is the number of answer tokens in an event, typicalAnswer the length of a typical answer in tokens.
	stepsPerIteration float64
	typicalAnswer     ident.Tokens
	// answerTime is how long an answer of typical length uses its slot while all slots are in use, in ns.
	answerTime float64
}

// Load is the known load of a group.
type Load struct {
	// PendingPrompt is the number of tokens of prompts that were sent and have no event yet.
	PendingPrompt ident.Tokens
	// Requests is the number of all requests, with or without events.
	Requests int
	// SlotTime is how long a request uses its slot on average, 0 if it is unknown; an answer of typical length is assumed then.
	SlotTime time.Duration
	// SlotWait is the least time until a slot is free, as far as it is known.
	SlotWait time.Duration
}

// NewGroup returns the figures of groups of the model; slowdown multiplies all times and is 1 for a group at full speed.
func NewGroup(engine *httproute.Engine, model *httproute.Model, slowdown float64) Group {
	slowFactor := model.TimeFactor * slowdown
	stepsPerIteration := float64(max(1, engine.StepsPerIteration))
	g := Group{
		iterationBase: stepsPerIteration * float64(engine.StepTime) * slowFactor,
		perSequence:   stepsPerIteration * float64(engine.StepTimePerSequence) * slowFactor,
		slots:         max(1, engine.Slots),

		stepsPerIteration: stepsPerIteration, typicalAnswer: engine.TypicalSize.Answer,
	}
	if engine.PrefillRate > 0 {
		g.perPromptToken = float64(time.Second) / engine.PrefillRate * slowFactor
	}
	g.answerTime = float64(engine.TypicalSize.Answer) / stepsPerIteration * g.iterationNanos(0, g.slots)
	return g
}

// IterationTime returns the length of an iteration that prefills promptTokens while that many requests are decoding. It is also the
// event gap of all streams of the group.
func (g *Group) IterationTime(promptTokens ident.Tokens, decoding int) time.Duration {
	return time.Duration(g.iterationNanos(float64(promptTokens), decoding))
}

func (g *Group) iterationNanos(promptTokens float64, decoding int) float64 {
	return promptTokens*g.perPromptToken + g.iterationBase + g.perSequence*float64(min(decoding, g.slots))
}

// answerIterations returns the iterations that an answer takes; a length of 0 stands for the typical one.
func (g *Group) answerIterations(answer ident.Tokens) float64 {
	if answer <= 0 {
		answer = g.typicalAnswer
	}
	return max(1, math.Ceil(float64(answer)/g.stepsPerIteration))
}

// FirstEvent returns the time to the first event of a request: half of the iteration in progress when it arrives, the wait for a slot
// if none is free, and the iteration that prefills its prompt together with the other pending ones. It is 0 for an upstream whose
// figures are not known.
func (g *Group) FirstEvent(load Load, promptTokens ident.Tokens) time.Duration {
	if g.slots == 0 {
		return 0
	}
	currentIteration := g.iterationNanos(0, load.Requests) / 2
	return time.Duration(currentIteration + g.slotWait(&load) + g.iterationNanos(float64(load.PendingPrompt+promptTokens), load.Requests+1))
}

// Remaining returns how many of the requests are still in progress after a time, if each uses its slot for slotTime on average; 0 stands
// for an answer of typical length.
func (g *Group) Remaining(requests int, after, slotTime time.Duration) int {
	nanos := g.slotNanos(slotTime)
	if nanos <= 0 || after <= 0 {
		return requests
	}
	return int(float64(requests)/(1+float64(after)/nanos) + 0.5)
}

// slotNanos returns the mean time for which a request uses its slot, in ns.
func (g *Group) slotNanos(known time.Duration) float64 {
	if known > 0 {
		return float64(known)
	}
	return g.answerTime
}

// slotWait is the time until a slot is free: the known one, or longer if the slots become free one by one, evenly over the time for which
// requests use them.
func (g *Group) slotWait(load *Load) float64 {
	excess := load.Requests + 1 - g.slots
	if excess <= 0 {
		return 0
	}
	return max(float64(load.SlotWait), float64(excess)/float64(g.slots)*g.slotNanos(load.SlotTime))
}
