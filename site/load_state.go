package site

import (
	"time"

	"github.com/dunlinquay/dunlinquay/answerlen"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/siteload"
)

// LoadState holds the sums of what all entries reported of their requests.
type LoadState struct {
	Queues []QueueState `json:"queues"`
	// Answers are the lengths of earlier answers, by which those of later ones are estimated.
	Answers []AnswerState `json:"answers"`
}

// QueueState holds the sums of the requests for one model of a service.
type QueueState struct {
	Service ident.Service `json:"service"`
	Model   ident.Model   `json:"model"`
	// AgeMS is the age of the oldest report in the numbers of waiting requests.
	AgeMS int64 `json:"report-age-ms"`
	// Levels are sorted by urgency, most urgent first.
	Levels []LevelState `json:"levels"`
	// Delay is by how much first events are later than estimated, nil without any.
	Delay *DelayState `json:"first-event-delay,omitempty"`
	// Customers holds the work of the customers that ask for the most, where the settings order requests by their shares.
	Customers []CustomerState `json:"customers,omitempty"`
}

// CustomerState is the recent work of a customer in upstream-seconds: what was sent to upstreams, and what found no capacity.
type CustomerState struct {
	Urgency  siteload.Urgency `json:"urgency"`
	Customer ident.Customer   `json:"customer"`
	Sent     float64          `json:"sent"`
	Unmet    float64          `json:"unmet"`
}

// LevelState holds the sums of the requests of one urgency.
type LevelState struct {
	Urgency siteload.Urgency `json:"urgency"`
	Waiting int              `json:"waiting"`
	Arrived float64          `json:"arrived-per-second"`
	Sent    float64          `json:"sent-per-second"`
	Refused float64          `json:"refused-per-second"`
}

// DelayState describes by how much first events are later than estimated; Samples is the number of events, after decay.
type DelayState struct {
	MeanMS      float64 `json:"mean-ms"`
	DeviationMS float64 `json:"deviation-ms"`
	Samples     float64 `json:"samples"`
}

// AnswerState describes the answers to requests of one class for a model, in tokens; Answers is their number, after decay.
type AnswerState struct {
	Class   ident.Class `json:"class"`
	Model   ident.Model `json:"model"`
	Answers float64     `json:"answers"`
	Mean    float64     `json:"mean-tokens"`
	Median  float64     `json:"median-tokens"`
	// Long is the length that nine of ten answers have at most.
	Long float64 `json:"nine-tenths-tokens"`
	// Ratio is the mean ratio of the lengths to the callers' hints, 0 without hints.
	Ratio float64 `json:"ratio-to-hint"`
}

// loadState describes the load for operators; the mutex is held.
func (r *leadership) loadState(now time.Time) LoadState {
	state := LoadState{}
	summary := r.load.Summary(now)
	for i := range summary.Queues {
		state.Queues = append(state.Queues, queueState(&summary.Queues[i]))
	}
	lengths := r.load.AnswerLengths(now)
	for i := range lengths {
		state.Answers = append(state.Answers, answerState(&lengths[i]))
	}
	return state
}

func queueState(q *siteload.QueueSummary) QueueState {
	state := QueueState{Service: q.Key.Service, Model: q.Key.Model, AgeMS: q.Age.Milliseconds()}
	for _, l := range q.Levels {
		state.Levels = append(state.Levels, LevelState{l.Urgency, l.Waiting, l.ArrivalRate, l.SendRate, l.RefusalRate})
		for _, c := range l.Customers {
			state.Customers = append(state.Customers, CustomerState{l.Urgency, c.Customer, c.Sent, c.Unmet})
		}
	}
	if q.Delay.Samples > 0 {
		state.Delay = &DelayState{inMilliseconds(q.Delay.Mean), inMilliseconds(q.Delay.Deviation), q.Delay.Samples}
	}
	return state
}

func answerState(l *answerlen.Lengths) AnswerState {
	return AnswerState{l.Class, l.Model, l.Answers, l.Mean, l.Median, l.Long, l.Ratio}
}

// inMilliseconds returns a duration in milliseconds with its fraction.
func inMilliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
