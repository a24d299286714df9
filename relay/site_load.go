package relay

// Each entry counts the requests of every queue and reports the counts to the
// leader, which returns the sums over all entries (see package siteload).

import (
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/overload"
	"github.com/dunlinquay/dunlinquay/siteload"
)

// maxSiteLoadAge is the age up to which the sums over all entries are used: three times the usual time between two replies of the leader.
const maxSiteLoadAge = time.Second

// siteLoad holds this entry's counts since its last report, and the sums over all entries.
type siteLoad struct {
	counts map[queueKey]*queueCounts
	// reported are the counts of the last report, which the sums include.
	reported *siteload.Report
	summary  *siteload.Summary
	// receivedAt is when the summary was received.
	receivedAt time.Time
}

// queueCounts are the counts of one queue since the last report.
type queueCounts struct {
	levels      map[siteload.Urgency]*siteload.LevelReport
	firstEvents siteload.DelaySample
}

// urgency returns the urgency of the request, 0 for all requests of a service whose routes all have the same priority.
func (x *exchange) urgency() siteload.Urgency {
	if x.table == nil || !x.table.HasUrgencies(x.service.Name) {
		return 0
	}
	return siteload.Urgency(httproute.Urgency(x.route, x.customer))
}

// loadKey returns the key of the request's queue in reports.
func (k queueKey) loadKey() siteload.Key {
	return siteload.Key{Service: k.service, Model: k.model}
}

// countsOf returns the counts of a queue; the mutex is held.
func (s *Relay) countsOf(key queueKey) *queueCounts {
	c := s.siteLoad.counts[key]
	if c == nil {
		c = &queueCounts{levels: map[siteload.Urgency]*siteload.LevelReport{}}
		s.siteLoad.counts[key] = c
	}
	return c
}

// noteArrival counts a request that has arrived.
func (c *queueCounts) noteArrival(x *exchange) {
	l := c.level(x.urgency())
	l.Arrived++
	l.Prompt += x.prefillTokens()
	if l.Aim == 0 || x.route.Aim > 0 && x.route.Aim < l.Aim {
		l.Aim, l.GapAim = x.route.Aim, x.route.GapAim
	}
}

// level returns the counts of an urgency.
func (c *queueCounts) level(u siteload.Urgency) *siteload.LevelReport {
	l := c.levels[u]
	if l == nil {
		l = &siteload.LevelReport{Urgency: u}
		c.levels[u] = l
	}
	return l
}

// CollectLoad returns the counts since the last call, for the report to the leader.
func (s *Relay) CollectLoad() *siteload.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, q := range s.queues {
		q.Each(func(queued *overload.Queued[*queuedRequest]) {
			s.countsOf(key).level(queued.Value.x.urgency()).Waiting++
		})
		q.EachReturning(s.Now(), func(u siteload.Urgency, slots []int) { s.countsOf(key).level(u).Returning = slots })
	}
	report := &siteload.Report{Answers: s.answerLengths.TakeReport()}
	for key, c := range s.siteLoad.counts {
		r := siteload.QueueReport{Key: key.loadKey(), FirstEvents: c.firstEvents}
		for _, l := range c.levels {
			l.Customers = s.shares.takeReport(s.Now(), shareKey{key, l.Urgency})
			r.Levels = append(r.Levels, *l)
		}
		report.Queues = append(report.Queues, r)
	}
	clear(s.siteLoad.counts)
	s.siteLoad.reported = report
	return report
}

// SetSiteLoad replaces the sums over all entries; the summary must not change afterwards.
func (s *Relay) SetSiteLoad(summary *siteload.Summary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	s.siteLoad.summary, s.siteLoad.receivedAt = summary, now
	s.setSiteDelays(summary, now)
	s.shares.applySummary(now, summary)
	if summary != nil && summary.Answers != nil {
		s.answerLengths.SetSite(now, summary.Answers)
	}
	for key, q := range s.queues {
		q.SetSite(now, s.siteOf(key, now))
	}
}

// siteOf returns what is known of all entries' requests for a queue; the mutex is held.
func (s *Relay) siteOf(key queueKey, now time.Time) overload.Site {
	summary := s.siteLoadOf(key, now)
	if summary == nil {
		return overload.Site{}
	}
	return overload.Site{Levels: summary.Levels, Own: s.reportedLevels(key), Age: now.Sub(s.siteLoad.receivedAt), Entries: s.entryCount()}
}

// reportedLevels returns this entry's last report of a queue; the mutex is held.
func (s *Relay) reportedLevels(key queueKey) []siteload.LevelReport {
	if s.siteLoad.reported == nil {
		return nil
	}
	for i := range s.siteLoad.reported.Queues {
		if r := &s.siteLoad.reported.Queues[i]; r.Key == key.loadKey() {
			return r.Levels
		}
	}
	return nil
}

// entryCount returns the number of entries of the site; the mutex is held.
func (s *Relay) entryCount() int {
	if s.entries != nil {
		return s.entries.Total()
	}
	return s.Budget.Entries()
}

// siteLoadOf returns the sums over all entries for a queue, nil while no fresh ones are known; the mutex is held.
func (s *Relay) siteLoadOf(key queueKey, now time.Time) *siteload.QueueSummary {
	q := s.siteLoad.summary.Queue(key.loadKey())
	if q == nil || now.Sub(s.siteLoad.receivedAt)+q.Age > maxSiteLoadAge+maxSiteLoadAge/2 {
		return nil
	}
	return q
}
