package relay

import (
	"time"

	"github.com/dunlinquay/dunlinquay/answerlen"
	"github.com/dunlinquay/dunlinquay/ident"
)

// answerKey identifies requests with similar answers.
func (x *exchange) answerKey() answerlen.Key {
	key := answerlen.Key{Class: x.route.Name, Model: x.model}
	if x.customer != nil {
		key.Customer = x.customer.Name
	}
	return key
}

// expectedAnswer returns the expected tokens of the answer: what similar requests with the caller's estimate had, and without any what the
// caller estimates or the service's typical answer. The mutex is held.
func (x *exchange) expectedAnswer(now time.Time) ident.Tokens {
	return x.s.answerLengths.Mean(now, x.answerKey(), x.answerSize)
}

// remainingAnswer returns the expected tokens of the answer without the events that the caller already has, 0 if they are unknown.
func (x *exchange) remainingAnswer() ident.Tokens {
	if x.answerTokens <= 0 {
		return 0
	}
	return max(1, x.answerTokens-(x.prefillTokens()-x.promptTokens))
}

// learnAnswerLength counts the answer of a stream that has ended. A stream that the caller continued has only a part of its answer.
func (x *exchange) learnAnswerLength() {
	if x.service.Engine == nil || x.r.Header.Get(x.s.Headers.EventID) != "" {
		return
	}
	written := ident.Tokens(x.eventCount * max(1, x.service.Engine.StepsPerIteration))
	if x.answerSize.Max > 0 {
		// The last iteration writes fewer tokens than others.
		written = min(written, x.answerSize.Max)
	}
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	x.s.answerLengths.Add(x.s.Now(), x.answerKey(), written, x.answerSize.Hint)
}
