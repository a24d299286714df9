package siteload

// An entry of a large site sees few of the requests for a model: with 74 entries
// and 40 requests per second, one every two seconds. What it needs to know to
// order, place and refuse them well is only known to all entries together. Each
// entry therefore reports its counts with its calls to the leader, and the reply
// holds the sums:
//
//	entry -- Report --> leader: Table.Apply     Table.Summary -- Summary --> entries
//
// Reports and summaries are soft state. A summary carries the age of the oldest
// report in it, and an entry without a fresh one decides by its own counts.

import (
	"math"
	"time"

	"github.com/dunlinquay/dunlinquay/answerlen"
	"github.com/dunlinquay/dunlinquay/fairshare"
	"github.com/dunlinquay/dunlinquay/ident"
)

// Urgency orders the kinds of requests that compete for the same groups; lower values are more urgent.
type Urgency int

// Key identifies the requests that compete for the same groups: those for one model of a service.
type Key struct {
	Service ident.Service
	Model   ident.Model
}

// Report holds what one entry counted.
type Report struct {
	Queues []QueueReport
	// Answers are the lengths of the answers since the last report.
	Answers []answerlen.Sample
}

// QueueReport holds the counts of the requests with one key.
type QueueReport struct {
	Key    Key
	Levels []LevelReport
	// FirstEvents are the delays of first events since the last report.
	FirstEvents DelaySample
}

// LevelReport holds the counts of the requests with one key and urgency.
type LevelReport struct {
	Urgency Urgency
	// Waiting is the number of requests that wait for a group now.
	Waiting int
	// Arrived, Sent and Refused are counted since the last report.
	Arrived int
	Sent    int
	Refused int
	// Spare counts those that were sent to a group with spare capacity, which late requests can use too.
	Spare int
	// Prompt is the sum of the prompt tokens of those that arrived; Aim is their shortest aim for the first event, GapAim that for gaps.
	Prompt ident.Tokens
	Aim    time.Duration
	GapAim time.Duration
	// Returning are the refused callers that were told to return, by the slot in which they are due, the first of which is the present one.
	Returning []int
	// Customers holds the work of customers since the last report, at most MaxReportCustomers of them.
	Customers []CustomerWork
}

// CustomerWork is the work of one customer.
type CustomerWork struct {
	Customer ident.Customer
	fairshare.Usage
}

// ReturnSlot is the length of a slot of Returning, and ReturnSlots the largest number of slots: the longest Retry-After, and jitter.
const (
	ReturnSlot  = 250 * time.Millisecond
	ReturnSlots = 12
)

// DelaySample sums by how much first events were later than estimated.
type DelaySample struct {
	Count int
	// Sum is the sum of the delays, Squares that of their squares in ns²: the deviation follows from these sums, while one from the mean
	// that each entry expected would be too large until all entries know the mean.
	Sum     time.Duration
	Squares float64
}

const (
	// maxSampleDelay bounds a delay in both directions. A first event of a group that had stalled says nothing about the others.
	maxSampleDelay = 300 * time.Millisecond
	// maxSampleCount bounds the first events in one report, which are many times those of an entry in the time between two.
	maxSampleCount = 100_000
)

// Add adds one first event that was later than estimated by delay.
func (d *DelaySample) Add(delay time.Duration) {
	if d.Count >= maxSampleCount {
		return
	}
	delay = min(maxSampleDelay, max(-maxSampleDelay, delay))
	d.Count++
	d.Sum += delay
	d.Squares += float64(delay) * float64(delay)
}

// valid reports whether the sums can come from that many delays within the bounds.
func (d *DelaySample) valid() bool {
	if d.Count < 0 || d.Count > maxSampleCount {
		return false
	}
	n, bound := float64(d.Count), float64(maxSampleDelay)
	// The sum of squares is at least the square of the sum divided by the count; rounding may make it a little smaller.
	minSquares := float64(d.Sum) * float64(d.Sum) * (1 - 1e-9)
	return math.Abs(float64(d.Sum)) <= n*bound && d.Squares*n >= minSquares && d.Squares <= n*bound*bound*(1+1e-9)
}

// Summary holds the sums over all entries.
type Summary struct {
	Queues []QueueSummary
	// Answers are the lengths of the answers of all entries, nil in most summaries; see Table.Answers.
	Answers []answerlen.Sample
}

// Queue returns the sums for a key, nil if no entry reported any requests.
func (s *Summary) Queue(key Key) *QueueSummary {
	if s == nil {
		return nil
	}
	for i := range s.Queues {
		if s.Queues[i].Key == key {
			return &s.Queues[i]
		}
	}
	return nil
}

// QueueSummary holds the sums of the requests with one key.
type QueueSummary struct {
	Key Key
	// Levels are sorted by urgency, most urgent first.
	Levels []LevelSummary
	// Delay describes the delays of first events.
	Delay DelaySummary
	// Age is the age of the oldest report in Waiting.
	Age time.Duration
}

// Level returns the sums for an urgency, nil if there are none.
func (q *QueueSummary) Level(u Urgency) *LevelSummary {
	if q == nil {
		return nil
	}
	for i := range q.Levels {
		if q.Levels[i].Urgency == u {
			return &q.Levels[i]
		}
	}
	return nil
}

// LevelSummary holds the sums of the requests with one key and urgency.
type LevelSummary struct {
	Urgency Urgency
	Waiting int
	// ArrivalRate, SendRate and RefusalRate are per second.
	ArrivalRate float64
	SendRate    float64
	RefusalRate float64
	// SpareRate counts the sends to groups with spare capacity.
	SpareRate float64
	// SinceArrival, SinceSend, SinceRefusal and SinceSpare are the times since the last report of each; they hold only where the rate is
	// above 0.
	SinceArrival time.Duration
	SinceSend    time.Duration
	SinceRefusal time.Duration
	SinceSpare   time.Duration
	// MeanPrompt is the mean prompt size, Aim the shortest recent aim for the first event, GapAim the one for gaps between events.
	MeanPrompt ident.Tokens
	Aim        time.Duration
	GapAim     time.Duration
	// Returning are the refused callers that were told to return, by slot as in LevelReport.
	Returning []int
	// Customers holds the decaying sums of the customers that ask for the most work, Others the number of all other customers and
	// OthersWork the sum of their work.
	Customers  []CustomerWork
	Others     int
	OthersWork fairshare.Usage
}

// DelaySummary is the mean delay of first events and the mean deviation from it; Samples is the weight of the events behind them.
type DelaySummary struct {
	Mean      time.Duration
	Deviation time.Duration
	Samples   float64
}
