package relay

import "sync/atomic"

// phase is how far a request in progress has come.
type phase int32

const (
	// phaseReading lasts until the body has been read and the request was admitted.
	phaseReading phase = iota
	// phaseWaiting is between attempts: the request waits for a target, a permit or another entry.
	phaseWaiting
	// phaseSent is during an attempt, before the head of the answer was sent to the caller.
	phaseSent
	// phaseAnswering is from the head of the answer on.
	phaseAnswering
	phaseCount
)

// progress counts requests in progress by phase.
type progress [phaseCount]atomic.Int64

// Progress is the number of requests in progress in each phase.
type Progress struct {
	Reading   int64 `json:"reading"`
	Waiting   int64 `json:"waiting"`
	Sent      int64 `json:"sent"`
	Answering int64 `json:"answering"`
}

// Total is the number of requests in progress.
func (p Progress) Total() int64 { return p.Reading + p.Waiting + p.Sent + p.Answering }

// Progress returns the number of requests in progress in each phase.
func (s *Relay) Progress() Progress {
	return Progress{
		Reading: s.progress[phaseReading].Load(), Waiting: s.progress[phaseWaiting].Load(),
		Sent: s.progress[phaseSent].Load(), Answering: s.progress[phaseAnswering].Load(),
	}
}

// enter moves the request to another phase; it never leaves phaseAnswering.
func (x *exchange) enter(p phase) {
	if x.phase == phaseAnswering || x.phase == p {
		return
	}
	x.s.progress[x.phase].Add(-1)
	x.s.progress[p].Add(1)
	x.phase = p
}
