package site

// Entries exchange quarantine reports, on request fingerprints under which upstreams crashed, by datagrams. The leader
// distributes the same reports with its sync replies: datagrams may be filtered, while every serving entry has a
// connection to the leader. Both sides compare digests of their reports and send nothing while these are equal.

import (
	"context"
	"net/netip"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/link"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/transport"
)

// maxSyncReports bounds the quarantine reports of one sync, 26 to 98 bytes each in CBOR with a short customer name.
const maxSyncReports = 32

// maxKeptReports bounds the quarantine reports that are saved to disk or sent to an entry that has just started; those
// with the most crashes go first.
const maxKeptReports = 256

// QuarantineState is a quarantined request fingerprint, as operators see it.
type QuarantineState struct {
	Customer ident.Customer `json:"customer"`
	// Content is the digest of the request's path and body, as in the request log.
	Content string `json:"content"`
	// Part is the part of prompts that is quarantined, "" for a content. FailedTrials is how many trials of it crashed an upstream.
	Part         ident.PromptPart `json:"part,omitempty"`
	FailedTrials int              `json:"failed-trials,omitempty"`
	// Ends is how many upstreams in a row crashed under such requests, ForMS how much longer they are refused.
	Ends  int   `json:"ends"`
	ForMS int64 `json:"for-ms"`
}

// mergeQuarantine applies the caller's quarantine reports, and adds the caller's missing ones to the reply. Followers
// receive them too, so that a new leader knows them, as does a follower that has restarted.
func (c *Control) mergeQuarantine(now time.Time, call *SyncCall, reply *SyncReply) {
	c.applyQuarantine(now, call.Held)
	reply.HeldSum = c.quarantine.Digest(now)
	if reply.HeldSum == call.HeldSum {
		return
	}
	if call.HeldSum == 0 {
		// The caller may have just started, and must know all quarantines before it sends requests.
		reply.Held = c.keptReports(now)
	}
	reply.Held = append(reply.Held, c.quarantine.ToSend(now, maxSyncReports)...)
}

// keptReports returns the reports that a new process needs, maxKeptReports at most.
func (c *Control) keptReports(now time.Time) []quarantine.Report {
	reports := c.quarantine.Kept(now)
	return reports[:min(len(reports), maxKeptReports)]
}

// applyQuarantine applies quarantine reports of other daemons.
func (c *Control) applyQuarantine(now time.Time, list []quarantine.Report) {
	for i := range list {
		c.quarantine.Merge(now, &list[i])
	}
}

// quarantineStates returns the fingerprints in quarantine, and those that wait for a trial.
func (c *Control) quarantineStates(now time.Time) []QuarantineState {
	var list []QuarantineState
	for _, report := range c.quarantine.Kept(now) {
		list = append(list, QuarantineState{
			Customer: report.Customer, Content: report.Content.String(), Part: report.Part, FailedTrials: report.FailedTrials,
			Ends: len(report.Ends), ForMS: c.quarantine.Remaining(now, report.Fingerprint()).Milliseconds(),
		})
	}
	return list
}

// releaseQuarantine ends the quarantine of a content or a part of prompts, given as in QuarantineState; the entries
// receive that with their next syncs.
func (c *Control) releaseQuarantine(now time.Time, name string) error {
	released := 0
	for _, report := range c.quarantine.Kept(now) {
		if name != "" && (string(report.Part) == name || report.Content.String() == name) {
			c.quarantine.Answered(now, report.Fingerprint())
			released++
		}
	}
	c.Log.Info("quarantine released by an operator", "name", name, "released", released)
	if released == 0 {
		return result.New(result.ChangeNotFound, "no content or prompt part %q is quarantined", name)
	}
	return nil
}

// answerRelease answers an operator's call, through the leader.
func (c *Control) answerRelease(name string) ForwardedReply {
	reply, err := c.callLeader(context.Background(), forwardTimeout, &ForwardedCall{Kind: CallRelease, From: string(c.self.Name), Release: name})
	if err != nil {
		return ForwardedReply{Code: result.CodeOf(err), Text: result.Message(err)}
	}
	return reply
}

// Release asks the control daemons at addresses (host:port of their peer listeners), one after the other until one
// answers, to end the quarantine of a content or a part of prompts.
func Release(ctx context.Context, dial transport.Dial, addresses []string, name string) error {
	return callControls(dial, addresses, func(client *link.Client) (ForwardedReply, error) {
		var reply ForwardedReply
		err := client.Call(ctx, forwardTimeout+callTimeout, "Release", &ReleaseCall{name}, &reply)
		return reply, err
	})
}

// fillQuarantine adds this entry's quarantine reports to a call.
func (e *Entry) fillQuarantine(call *SyncCall) {
	list, now := e.relay.Quarantine, e.relay.Now()
	call.HeldSum = list.Digest(now)
	if call.HeldSum != e.leaderQuarantineDigest {
		// ToSend rotates over the reports, so it is called only when its result is sent.
		call.Held = list.ToSend(now, maxSyncReports)
	}
	e.metrics.quarantined.Update(float64(list.QuarantinedLen(now)))
}

// applyQuarantine applies the leader's quarantine reports.
func (e *Entry) applyQuarantine(reply *SyncReply) {
	e.leaderQuarantineDigest = reply.HeldSum
	e.relay.ApplyQuarantineReports(reply.Held, netip.AddrPort{})
}

// logQuarantineEvent logs a change of a fingerprint's quarantine.
func (e *Entry) logQuarantineEvent(event *relay.QuarantineEvent) {
	from := "this entry"
	if event.From.IsValid() {
		from = event.From.String()
	}
	fields := []any{
		"customer", event.Customer, "content", event.Content.String(), "ends", len(event.Ends), "for-ms", event.Remaining.Milliseconds(),
		"newest-ms", event.AgeMS, "from", from,
	}
	if event.Part != "" {
		fields = append(fields, "part", event.Part, "moments", event.Moments, "failed-trials", event.FailedTrials)
	}
	e.Log.Info("work "+quarantineAction(event), fields...)
}

func quarantineAction(event *relay.QuarantineEvent) string {
	switch {
	case event.Trying:
		return "admitted for one attempt"
	case len(event.Ends) == 0:
		return "cleared"
	}
	return "quarantined"
}

// quarantineRule returns the rule of the settings.
func quarantineRule(cfg *settings.Quarantine) quarantine.Rule {
	return quarantine.Rule{Crashes: cfg.Ends, InitialDuration: cfg.Hold.Std(), MaxRecords: cfg.Records}
}
