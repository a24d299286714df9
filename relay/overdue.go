package relay

// The estimate tells when a group must show a sign: a stream that writes has an
// event at the end of each pass, and a prompt its first word. A group that is
// silent for longer has probably lost a member, which its head does not tell
// for seconds.

import (
	"time"

	"github.com/dunlinquay/dunlinquay/estimate"
	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// launchTime is what a first word takes beyond the passes of the estimate until it has been measured: engines were seen
	// to need 75 to 115 ms.
	launchTime = 100 * time.Millisecond
	// launchSmoothing is the weight of a new first word in the measured time.
	launchSmoothing = 0.05
)

// overdue returns for how long the lane has been silent beyond what the estimate allows at that load.
func (l *lane) overdue(times *estimate.Group, at estimate.Load, launch time.Duration, now time.Time) time.Duration {
	heard := time.Duration(0)
	if now.Before(l.quietUntil) {
		heard = now.Sub(l.quietSince)
	}
	if l.inflight == 0 {
		return heard
	}
	expected := times.Pass(at.Unread, at.Requests)
	if l.writing == 0 {
		expected = launch + times.FirstWord(at, 0)
	}
	return max(heard, l.silence(now)-expected)
}

const (
	// TellOverdueEvery is how often TellOverdue is to be called: a group that lost a member is to be known to all entries
	// within about a pass.
	TellOverdueEvery = 40 * time.Millisecond
	// overdueTold is from when on others are told.
	overdueTold = 120 * time.Millisecond
	// quietHeard is how long the news that a group is overdue is believed, some times TellOverdueEvery; quietMost bounds
	// the time that is believed of it.
	quietHeard = 150 * time.Millisecond
	quietMost  = 2 * time.Second
)

// TellOverdue tells the other entries of the groups whose streams at this entry are overdue: most entries have none at a
// group, and would find out half a second later.
func (s *Relay) TellOverdue() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	for head, times := range s.fleet.times {
		l := s.lanes[head]
		if l == nil || l.writing == 0 {
			continue
		}
		at := estimate.Load{Unread: l.unreadNow(now), Requests: l.inflight + s.others[head]}
		overdue := l.silence(now) - times.Pass(at.Unread, at.Requests)
		if overdue > overdueTold {
			s.Tell(News{Head: head, Overdue: overdue})
		}
	}
}

// hearOverdue takes the news that streams of another entry are overdue, unless the group has shown a sign here since.
func (l *lane) hearOverdue(now time.Time, overdue time.Duration) {
	since := now.Add(-min(overdue, quietMost))
	if l.answered.After(since) {
		return
	}
	l.quietSince = since
	l.quietUntil = now.Add(quietHeard)
}

// launchOf returns what first words of a model take beyond the estimate; the mutex is held.
func (s *Relay) launchOf(model ident.Model) time.Duration {
	if d, ok := s.launch[model]; ok {
		return d
	}
	return launchTime
}

// learnLaunch takes the first word of the first try of a request; the mutex is held.
func (x *exchange) learnLaunch() {
	if x.expected == 0 || len(x.tries) != 1 {
		return
	}
	known := x.s.launchOf(x.model)
	x.s.launch[x.model] = known + time.Duration(launchSmoothing*float64(x.first-x.expected-known))
}
