package relay

// Requests whose prompts share a part that crashes upstreams have different
// fingerprints, so crashes are also counted by part (quarantine/parts.go). An answer
// that has begun clears all parts of its prompt; it need not be complete.

import (
	"net/netip"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/overload"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/result"
)

const (
	// partReportCopies is how often reports on quarantined parts are sent, partReportInterval the time between two: losses come in bursts, and
	// an answer begins later than all copies.
	partReportCopies   = 3
	partReportInterval = 30 * time.Millisecond
)

// setPromptParts reads the parts of the prompt.
func (x *exchange) setPromptParts() {
	x.promptParts = parsePromptParts(x.r.Header.Values(x.s.Headers.PromptParts))
	x.quarantineParts = make([]quarantine.Fingerprint, len(x.promptParts))
	for i, part := range x.promptParts {
		x.quarantineParts[i] = quarantine.PartFingerprint(x.service.Name, x.model, part)
	}
}

// partQuarantineError returns an error if a part of the prompt is quarantined. A stream that has begun is continued: its upstream has begun an
// answer to the same prompt. The mutex is held.
func (x *exchange) partQuarantineError(now time.Time) error {
	if x.eventCount > 0 {
		return nil
	}
	remaining, part := x.s.Quarantine.RemainingOfParts(now, x.quarantineParts)
	if remaining <= 0 {
		return nil
	}
	x.minRetryAfter = remaining
	return result.New(result.PartQuarantined, "upstreams crashed when they began answers to prompts with part %s; quarantined for another %v", part.Part, remaining.Round(time.Millisecond))
}

// refuseQueuedParts ends the wait of all queued requests that have a quarantined part; the mutex is held.
func (s *Relay) refuseQueuedParts(now time.Time) {
	for _, q := range s.queues {
		var refused []*overload.Queued[*queuedRequest]
		q.Each(func(queued *overload.Queued[*queuedRequest]) {
			if err := queued.Value.x.partQuarantineError(now); err != nil {
				refused = append(refused, queued)
				queued.Value.complete(choice{}, err)
			}
		})
		for _, queued := range refused {
			q.Remove(queued)
		}
	}
}

// quarantineRefusal returns the final error of a quarantined request. A refusal because of a part says that the request did not run, which an
// earlier attempt may contradict.
func (x *exchange) quarantineRefusal(err error) error {
	if result.CodeOf(err) == result.PartQuarantined {
		return x.finalError(err)
	}
	return err
}

// noteSuccess records that an upstream has answered the request with success.
func (x *exchange) noteSuccess() {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	if isSuccess(x.status) {
		x.noteAnswerBegun(x.s.Now())
	}
}

// noteAnswerBegun records that an upstream has begun to answer the request; the mutex is held.
func (x *exchange) noteAnswerBegun(now time.Time) {
	for _, part := range x.quarantineParts {
		x.s.clearPart(now, part)
	}
}

// clearPart clears the crashes of a part. Other entries are told if they may have quarantined it, or would at the next crash.
func (s *Relay) clearPart(now time.Time, part quarantine.Fingerprint) {
	crashes := s.Quarantine.Crashes(part)
	report, ok := s.Quarantine.Answered(now, part)
	if !ok || crashes < publishMinCrashes {
		return
	}
	if crashes >= s.Quarantine.Rule.Crashes {
		s.OnQuarantine(&QuarantineEvent{Report: report})
	}
	s.publishQuarantine(&report)
}

// notePartCrashes records that an incarnation crashed before it had begun to answer the request.
func (x *exchange) notePartCrashes(incarnation ident.Incarnation) {
	if x.eventCount > 0 || len(x.quarantineParts) == 0 {
		return
	}
	s := x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	// The last part belongs to this request or its session.
	for _, part := range x.quarantineParts[:len(x.quarantineParts)-1] {
		report := s.Quarantine.Crashed(now, part, quarantine.CrashIDOf(incarnation))
		s.sendQuarantineEvent(now, &report, netip.AddrPort{})
		if s.Quarantine.Remaining(now, part) > 0 {
			s.publishPart(&report)
			continue
		}
		s.publishQuarantine(&report)
	}
}

// publishPart sends a report on a quarantined part or its trial to all entries, several times: one that misses it would begin a trial of its
// own. The mutex is held.
func (s *Relay) publishPart(report *quarantine.Report) {
	s.publishQuarantine(report)
	for n := 1; n < partReportCopies; n++ {
		delay := time.Duration(n) * partReportInterval
		repeated := *report
		repeated.AgeMS += delay.Milliseconds()
		time.AfterFunc(delay, func() { s.SendUpdate(EntryUpdate{QuarantineReport: &repeated}, nil) })
	}
}
