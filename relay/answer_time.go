package relay

import (
	"net/http"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// answerTimeWeight is the least weight of a new answer in the mean time and its mean deviation.
	answerTimeWeight = 1.0 / 32
	// answerTimeDeviations is how many mean deviations an answer may take longer than the mean.
	answerTimeDeviations = 3
	// firstEventTokens is the time to the first event of a stream, in tokens of its answer.
	firstEventTokens = 20
)

// answerTimeKey identifies requests whose answers take similar times.
type answerTimeKey struct {
	class ident.Class
	model ident.Model
}

// answerTime is how long answers take from the end of the request's body to their own end, per unit of their expected size.
type answerTime struct {
	mean, deviation time.Duration
	seen            int
}

// add adds the time of an answer; a is nil before the first one.
func (a *answerTime) add(d time.Duration) *answerTime {
	if a == nil {
		return &answerTime{mean: d, deviation: d / 2, seen: 1}
	}
	a.seen++
	weight := max(answerTimeWeight, 1/float64(a.seen))
	a.deviation += time.Duration(weight * float64((d-a.mean).Abs()-a.deviation))
	a.mean += time.Duration(weight * float64(d-a.mean))
	return a
}

// longest is the time per unit within which nearly all answers end.
func (a *answerTime) longest() time.Duration {
	return a.mean + answerTimeDeviations*a.deviation
}

// answerTimeKey returns the key of the request's answer times. A model that the caller names to a plain service is ignored.
func (x *exchange) answerTimeKey() answerTimeKey {
	if x.service.Engine == nil {
		return answerTimeKey{class: x.route.Name}
	}
	return answerTimeKey{x.route.Name, x.model}
}

// learnAnswerTime learns from a complete answer. A stream that the caller continued has only a part of its answer.
func (x *exchange) learnAnswerTime() {
	if x.status >= http.StatusMultipleChoices || x.r.Header.Get(x.s.Headers.EventID) != "" {
		return
	}
	key := x.answerTimeKey()
	perUnit := time.Duration(float64(x.s.Now().Sub(x.servedFrom)) / x.expectedUnits())
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	x.s.answerTimes[key] = x.s.answerTimes[key].add(perUnit)
}

// expectedUnits is the expected size of the answer: the tokens of an engine's answer, and 1 for any other.
func (x *exchange) expectedUnits() float64 {
	if x.service.Engine == nil {
		return 1
	}
	if x.answerTokens == 0 {
		x.setTokenCounts()
	}
	return float64(firstEventTokens + x.answerTokens)
}

// longestAnswer is the time within which nearly all answers of the request's kind and size end, unknown if none has been seen.
func (x *exchange) longestAnswer(unknown time.Duration) time.Duration {
	units := x.expectedUnits()
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	known := x.s.answerTimes[x.answerTimeKey()]
	if known == nil {
		return unknown
	}
	return time.Duration(units * float64(known.longest()))
}
