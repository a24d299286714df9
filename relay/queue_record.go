package relay

import (
	"github.com/dunlinquay/dunlinquay/result"
)

// awaitTarget reserves the next target, and notes for the record how long the request waited and, if it is refused for lack of capacity,
// what is known of the requests at all entries.
func (x *exchange) awaitTarget() (choice, error) {
	startedAt := x.s.Now()
	chosen, err := x.reserveTarget()
	x.queuedFor += x.s.Now().Sub(startedAt)
	if result.CodeOf(err) == result.Overloaded {
		x.siteAtRefusal = x.siteQueue()
	}
	return chosen, err
}

// siteQueue returns what is known of the requests at all entries that compete with this one, nil without a fresh summary.
func (x *exchange) siteQueue() *SiteQueue {
	s := x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	queue := s.siteLoadOf(x.queueKey(), now)
	if queue == nil {
		return nil
	}
	site := &SiteQueue{Age: now.Sub(s.siteLoad.receivedAt) + queue.Age}
	for _, level := range queue.Levels {
		site.SendRate += level.SendRate
		if level.Urgency <= x.urgency() {
			site.Waiting += level.Waiting
		}
	}
	return site
}

// noteQueue adds to the record how the request was ordered and how long it waited.
func (x *exchange) noteQueue(record *Record) {
	if x.service == nil {
		return
	}
	record.UnreachableTargets = x.unreachableTargets
	record.Targets, record.SuspectTargets = x.knownTargets, x.suspectTargets
	record.Urgency, record.Queued, record.Site = x.urgency(), x.queuedFor, x.siteAtRefusal
}
