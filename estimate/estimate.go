package estimate

// An engine works in passes. A pass reads the prompts that wait, then plays
// Stride token steps for every sequence that writes, and its events go out at
// its end:
//
//	| read a, b, c | steps for all | read d | steps for all | ...
//	               first words of a, b, c   first word of d
//
// So what a request waits for are the prompts that are read in the same pass,
// and so do all streams of the group: their pause is the length of a pass. The
// number of requests says little, because prompts differ by ten times in size.

import (
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

// Group is what the engine publishes of a group of one model, in the form that the estimates need.
type Group struct {
	// perPromptToken is the time to read one token of a prompt, steps that of the token steps of a pass without any sequence,
	// perSequence what each sequence adds to a pass.
	perPromptToken float64
	iterationBase  float64
	perSequence    float64
	slots          int
	// answerTime is how long an answer of usual length keeps its slot when all slots are taken.
	answerTime float64
}

// Load is what is known to be at a group.
type Load struct {
	// PendingPrompt are the tokens of prompts that were sent and of which no word came yet.
	PendingPrompt ident.Tokens
	// Requests are all requests there, read or not.
	Requests int
}

// NewGroup returns the figures of groups of m; all takes slowdown times as long, 1 for a group that runs as it should.
func NewGroup(engine *httproute.Engine, model *httproute.Model, slowdown float64) Group {
	slowFactor := model.Pace * slowdown
	stepsPerIteration := float64(max(1, engine.Stride))
	g := Group{
		iterationBase: stepsPerIteration * float64(engine.Step) * slowFactor,
		perSequence:   stepsPerIteration * float64(engine.PerSequence) * slowFactor,
		slots:         max(1, engine.Slots),
	}
	if engine.ReadRate > 0 {
		g.perPromptToken = float64(time.Second) / engine.ReadRate * slowFactor
	}
	g.answerTime = float64(engine.Usual.Answer) / stepsPerIteration * g.iterationNanos(0, g.slots)
	return g
}

// IterationTime returns the length of a pass that reads so many tokens while so many requests write, which is also the pause that all
// streams of the group make.
func (g *Group) IterationTime(promptTokens ident.Tokens, decoding int) time.Duration {
	return time.Duration(g.iterationNanos(float64(promptTokens), decoding))
}

func (g *Group) iterationNanos(promptTokens float64, decoding int) float64 {
	return promptTokens*g.perPromptToken + g.iterationBase + g.perSequence*float64(min(decoding, g.slots))
}

// FirstEvent returns the time until the first event of a request whose prompt has so many tokens: half of the pass that is in
// progress when it comes, a slot when none is free, and the pass that reads it along with what else waits. It is 0 for an upstream
// whose figures are not known.
func (g *Group) FirstEvent(load Load, promptTokens ident.Tokens) time.Duration {
	if g.slots == 0 {
		return 0
	}
	currentIteration := g.iterationNanos(0, load.Requests) / 2
	return time.Duration(currentIteration + g.slotWait(load.Requests) + g.iterationNanos(float64(load.PendingPrompt+promptTokens), load.Requests+1))
}

// Remaining returns how many of so many requests are still there after a time, if as many end in a moment as usual.
func (g *Group) Remaining(requests int, after time.Duration) int {
	if g.answerTime <= 0 || after <= 0 {
		return requests
	}
	return int(float64(requests)/(1+float64(after)/g.answerTime) + 0.5)
}

// slotWait is the time until a slot is free: slots free up one after the other over the time of an answer.
func (g *Group) slotWait(requests int) float64 {
	excess := requests + 1 - g.slots
	if excess <= 0 {
		return 0
	}
	return float64(excess) / float64(g.slots) * g.answerTime
}
