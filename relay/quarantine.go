package relay

// Work under which upstreams ended, at any entry, is held (package quarantine).
// This file finds out whether an upstream has ended, and tells the entries: all
// of them at once, and by turns again and again, since datagrams are lost and
// entries start. The leader passes the same reports on with its syncs.

import (
	"context"
	"net/netip"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/transport"
)

const (
	// quarantineSyncInterval is how often one other entry is told of works by turns, quarantineSyncBatch of how many: an entry that has just started hears
	// of what is held from each of the others four times a second, shared by their number.
	quarantineSyncInterval = 250 * time.Millisecond
	quarantineSyncBatch    = 4
	// crashProbeTimeout bounds the question whether an upstream has ended: a VM whose process is gone refuses within a round trip.
	crashProbeTimeout = dialTimeout
	// publishMinCrashes is from how many ends on, and publishMaxEvents until how many events, all entries are told at once. Of a batch that is cut off
	// most have had events for many passes; of those that could be at fault a few.
	publishMinCrashes = 2
	publishMaxEvents  = 1
)

// QuarantineEvent tells operators that work is held, was let in once more, or has been cleared.
type QuarantineEvent struct {
	quarantine.Report
	// Remaining is how long it is held, 0 when it is not.
	Remaining time.Duration
	// From is the entry that told of it, invalid for this one.
	From netip.AddrPort
}

// crashProbe is the question whether an upstream that cut a connection off has ended.
type crashProbe struct {
	done    chan struct{}
	crashed bool
}

func (x *exchange) fingerprint() quarantine.Fingerprint {
	fp := quarantine.Fingerprint{Content: x.content}
	if x.customer != nil {
		fp.Customer = x.customer.Name
	}
	return fp
}

// quarantineError is the error of a request whose work must not be sent to an upstream, nil of any other.
func (x *exchange) quarantineError() error {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	return x.quarantineErrorLocked(x.s.Now())
}

// quarantineErrorLocked is held for callers that hold the mutex.
func (x *exchange) quarantineErrorLocked(now time.Time) error {
	remaining := x.s.Quarantine.Remaining(now, x.fingerprint())
	if remaining <= 0 {
		return nil
	}
	x.minRetryAfter = remaining
	return result.New(result.WorkHeld, "upstreams ended while they ran the same, content %v; held for another %v", x.content, remaining.Round(time.Millisecond))
}

// beginAttempt notes that the request is about to be sent, unless its work has come to be held meanwhile.
func (x *exchange) beginAttempt() error {
	s := x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	if err := x.quarantineErrorLocked(now); err != nil {
		return err
	}
	if report, ok := s.Quarantine.BeginTrial(now, x.fingerprint()); ok {
		s.OnQuarantine(&QuarantineEvent{Report: report})
		s.publishQuarantine(&report)
	}
	return nil
}

// noteEvidence takes what the end of a try says of the request's work.
func (x *exchange) noteEvidence(t *target, f *forwarder, outcome attemptOutcome) {
	switch outcome {
	case outcomeDone, outcomeFailed:
		x.s.noteSurvived(x.fingerprint())
	case outcomeBroken:
		if f.cutErr != nil && connFailureOf(f.cutErr) != ConnUnusable && x.s.upstreamCrashed(t) {
			x.s.noteCrash(x.fingerprint(), t.id, f.eventCount)
		}
	}
}

// noteSurvived notes that an upstream lives on after it has run the work.
func (s *Relay) noteSurvived(fingerprint quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashes := s.Quarantine.Crashes(fingerprint)
	report, ok := s.Quarantine.Answered(s.Now(), fingerprint)
	if !ok {
		return
	}
	if crashes >= s.Quarantine.Rule.Crashes {
		s.OnQuarantine(&QuarantineEvent{Report: report})
	}
	s.publishQuarantine(&report)
}

// upstreamCrashed reports whether the upstream of t, which cut a connection off, has ended: nothing listens there any more. A connection may
// also be cut by a link, a proxy or an upstream that goes on, and work must not be held for that. The request waits for the answer, a
// round trip, because its next try would end one more upstream.
func (s *Relay) upstreamCrashed(t *target) bool {
	s.mu.Lock()
	ts := s.stateOf(t)
	if ts.connectionRefused {
		s.mu.Unlock()
		return true
	}
	probe := ts.crashProbe
	if probe == nil {
		probe = &crashProbe{done: make(chan struct{})}
		ts.crashProbe = probe
		s.mu.Unlock()
		s.probeCrash(t, ts, probe)
		return probe.crashed
	}
	s.mu.Unlock()
	<-probe.done
	return probe.crashed
}

func (s *Relay) probeCrash(t *target, ts *targetState, probe *crashProbe) {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	crashed := transport.Refuses(ctx, s.pool.dial, t.address)
	s.mu.Lock()
	defer s.mu.Unlock()
	probe.crashed = crashed
	if probe.crashed {
		ts.connectionRefused = true
	}
	ts.crashProbe = nil
	close(probe.done)
}

// noteCrash notes that the life of an upstream ended while it ran the work, of which so many events had come from there.
func (s *Relay) noteCrash(fingerprint quarantine.Fingerprint, incarnation ident.Incarnation, eventCount int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	report := s.Quarantine.Crashed(now, fingerprint, quarantine.CrashIDOf(incarnation))
	s.sendQuarantineEvent(now, &report, netip.AddrPort{})
	if len(report.Ends) >= publishMinCrashes || eventCount <= publishMaxEvents {
		s.publishQuarantine(&report)
		return
	}
	s.startQuarantineSync()
}

// sendQuarantineEvent passes on that the work of a report is held, if it is; the mutex is held.
func (s *Relay) sendQuarantineEvent(now time.Time, report *quarantine.Report, from netip.AddrPort) {
	if remaining := s.Quarantine.Remaining(now, report.Fingerprint()); remaining > 0 {
		s.OnQuarantine(&QuarantineEvent{*report, remaining, from})
	}
}

// publishQuarantine tells all entries of one work; the mutex is held.
func (s *Relay) publishQuarantine(report *quarantine.Report) {
	s.SendUpdate(EntryUpdate{QuarantineReport: report}, nil)
	s.startQuarantineSync()
}

// ApplyQuarantineReports takes what another entry, or the leader, knows of works.
func (s *Relay) ApplyQuarantineReports(reports []quarantine.Report, from netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range reports {
		s.applyQuarantineReport(&reports[i], from)
	}
}

// applyQuarantineReport takes what somebody else knows of one work; the mutex is held.
func (s *Relay) applyQuarantineReport(report *quarantine.Report, from netip.AddrPort) {
	now := s.Now()
	if !s.Quarantine.Merge(now, report) {
		return
	}
	s.sendQuarantineEvent(now, report, from)
	s.startQuarantineSync()
}

// startQuarantineSync begins to tell other entries again and again, as long as there is something to tell; the mutex is held.
func (s *Relay) startQuarantineSync() {
	if s.quarantineSyncScheduled {
		return
	}
	s.quarantineSyncScheduled = true
	time.AfterFunc(quarantineSyncInterval, s.syncQuarantine)
}

// syncQuarantine tells one other entry of some works.
func (s *Relay) syncQuarantine() {
	s.mu.Lock()
	defer s.mu.Unlock()
	reports := s.Quarantine.ToSend(s.Now(), quarantineSyncBatch)
	s.quarantineSyncScheduled = len(reports) > 0
	if !s.quarantineSyncScheduled {
		return
	}
	time.AfterFunc(quarantineSyncInterval, s.syncQuarantine)
	if s.entries == nil {
		return
	}
	others := s.entries.Others()
	if len(others) == 0 {
		return
	}
	to := []string{others[s.RandomInt(len(others))]}
	for i := range reports {
		s.SendUpdate(EntryUpdate{QuarantineReport: &reports[i]}, to)
	}
}
