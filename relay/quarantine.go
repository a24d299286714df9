package relay

// A request under which upstreams crashed, at any entry, is quarantined by its
// fingerprint (package quarantine). This file detects crashes of upstreams and sends
// reports of them to the other entries: once to all, and then periodically to one
// random entry, since datagrams are lost and entries restart. The leader forwards
// the same reports with its syncs.

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
	// Every quarantineSyncInterval an entry sends quarantineSyncBatch reports to one other entry. An entry that has just started thus
	// receives four batches per second on average.
	quarantineSyncInterval = 250 * time.Millisecond
	quarantineSyncBatch    = 4
	// crashProbeTimeout bounds a crash probe: a VM whose process has ended refuses connections within a round trip.
	crashProbeTimeout = dialTimeout
	// pathSamples is how many other upstreams are probed to learn whether this entry has lost its path.
	pathSamples = 4
	// A crash is published to all entries at once from publishMinCrashes crashes on, or if the request had at most publishMaxEvents events.
	// Most requests in a crashed batch have had events for many iterations; only the few without could be the cause.
	publishMinCrashes = 2
	publishMaxEvents  = 1
)

// QuarantineEvent says that a fingerprint was quarantined, admitted for one trial, or cleared, for the log.
type QuarantineEvent struct {
	quarantine.Report
	// Remaining is the remaining quarantine, 0 if there is none.
	Remaining time.Duration
	// From is the entry that sent the report, invalid for this entry and the leader.
	From netip.AddrPort
}

// crashProbe checks whether an upstream whose connection broke has crashed; crashed is valid once done is closed.
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

// quarantineError returns an error if the request's fingerprint is quarantined.
func (x *exchange) quarantineError() error {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	return x.quarantineErrorLocked(x.s.Now())
}

// quarantineErrorLocked is quarantineError for callers that hold the mutex.
func (x *exchange) quarantineErrorLocked(now time.Time) error {
	remaining := x.s.Quarantine.Remaining(now, x.fingerprint())
	if remaining <= 0 {
		return x.partQuarantineError(now)
	}
	x.minRetryAfter = remaining
	return result.New(result.WorkHeld, "upstreams crashed while they ran the same request, content %v; quarantined for another %v", x.content, remaining.Round(time.Millisecond))
}

// beginAttempt records that the request is about to be sent, unless its fingerprint has been quarantined meanwhile.
func (x *exchange) beginAttempt() error {
	s := x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	if err := x.quarantineErrorLocked(now); err != nil {
		return err
	}
	s.beginTrial(now, x.fingerprint())
	for _, part := range x.quarantineParts {
		s.beginTrial(now, part)
	}
	return nil
}

// beginTrial records a trial if the fingerprint was quarantined; the mutex is held.
func (s *Relay) beginTrial(now time.Time, fingerprint quarantine.Fingerprint) {
	report, ok := s.Quarantine.BeginTrial(now, fingerprint)
	if !ok {
		return
	}
	s.OnQuarantine(&QuarantineEvent{Report: report})
	if fingerprint.Part != "" {
		s.publishPart(&report)
		return
	}
	s.publishQuarantine(&report)
}

// noteEvidence records whether the upstream survived the request or crashed under it.
func (x *exchange) noteEvidence(t *target, f *forwarder, record *Attempt, outcome attemptOutcome) {
	switch outcome {
	case outcomeDone:
		x.s.noteSurvived(x.fingerprint())
		x.noteSuccess()
	case outcomeFailed:
		x.s.noteSurvived(x.fingerprint())
	case outcomeBroken:
		if f.cutErr != nil && connFailureOf(f.cutErr) != ConnUnusable && x.s.upstreamCrashed(t) {
			record.Crashed = true
			x.s.noteCrash(x.fingerprint(), t.id, f.eventCount)
			x.notePartCrashes(t.id)
		}
	}
}

// noteSurvived records that an upstream answered a request with the fingerprint.
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

// upstreamCrashed reports whether the upstream of t, whose connection broke, has crashed: no process listens at its address any more. A
// connection can also be broken by a link, a proxy or an upstream that still runs, which must not lead to quarantine. The request waits for
// the result, two round trips, because its next attempt could crash one more upstream.
func (s *Relay) upstreamCrashed(t *target) bool {
	s.mu.Lock()
	ts := s.stateOf(t)
	if ts.crashed {
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

// probeCrash runs the probe p and records its result.
func (s *Relay) probeCrash(t *target, ts *targetState, probe *crashProbe) {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	refused := transport.RefusesConnections(ctx, s.pool.dial, t.address)
	crashed := refused && s.reachesAnother(ctx, t)
	s.mu.Lock()
	defer s.mu.Unlock()
	probe.crashed = crashed
	ts.connectionRefused = ts.connectionRefused || refused
	ts.crashed = ts.crashed || crashed
	ts.crashProbe = nil
	close(probe.done)
}

// reachesAnother reports whether a connection to another upstream can be opened, or there is no other one. If none can, this entry has lost
// its path, and refused connections say nothing about an upstream.
func (s *Relay) reachesAnother(ctx context.Context, t *target) bool {
	addresses := s.otherAddresses(t)
	if len(addresses) == 0 {
		return true
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connected := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() {
			conn, err := s.pool.dial(ctx, address)
			if err == nil {
				conn.Close()
			}
			connected <- err == nil
		}()
	}
	for range addresses {
		if <-connected {
			return true
		}
	}
	return false
}

// otherAddresses returns up to pathSamples addresses of other upstreams, in random order, reachable ones first.
func (s *Relay) otherAddresses(t *target) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var reachable, others []string
	all := s.index.all
	if len(all) == 0 {
		return nil
	}
	offset := s.RandomInt(len(all))
	for i := range all {
		other := all[(i+offset)%len(all)]
		ts := s.stateOf(other)
		switch {
		case other.address == t.address:
		case ts.unreachable || ts.connectionRefused:
			others = append(others, other.address)
		default:
			reachable = append(reachable, other.address)
		}
	}
	reachable = append(reachable, others...)
	return reachable[:min(pathSamples, len(reachable))]
}

// noteCrash records that an incarnation crashed while it ran a request with the fingerprint, after eventCount events of the request.
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

// sendQuarantineEvent passes a report to OnQuarantine if its fingerprint is quarantined; the mutex is held.
func (s *Relay) sendQuarantineEvent(now time.Time, report *quarantine.Report, from netip.AddrPort) {
	remaining := s.Quarantine.Remaining(now, report.Fingerprint())
	if remaining <= 0 {
		return
	}
	s.OnQuarantine(&QuarantineEvent{*report, remaining, from})
	if report.Part != "" {
		s.refuseQueuedParts(now)
	}
}

// publishQuarantine sends a report to all entries; the mutex is held.
func (s *Relay) publishQuarantine(report *quarantine.Report) {
	s.SendUpdate(EntryUpdate{QuarantineReport: report}, nil)
	s.startQuarantineSync()
}

// ApplyQuarantineReports merges the reports of another entry or the leader.
func (s *Relay) ApplyQuarantineReports(reports []quarantine.Report, from netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range reports {
		s.applyQuarantineReport(&reports[i], from)
	}
}

// applyQuarantineReport merges one report of another process; the mutex is held.
func (s *Relay) applyQuarantineReport(report *quarantine.Report, from netip.AddrPort) {
	now := s.Now()
	if !s.Quarantine.Merge(now, report) {
		return
	}
	s.sendQuarantineEvent(now, report, from)
	s.startQuarantineSync()
}

// startQuarantineSync starts to send reports periodically, until no report is left to send; the mutex is held.
func (s *Relay) startQuarantineSync() {
	if s.quarantineSyncScheduled {
		return
	}
	s.quarantineSyncScheduled = true
	time.AfterFunc(quarantineSyncInterval, s.syncQuarantine)
}

// syncQuarantine sends a batch of reports to one random entry and schedules the next batch.
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
