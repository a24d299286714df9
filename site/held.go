package site

// Entries tell each other of work under which upstreams ended by datagrams. The
// leader passes the same reports on with its syncs: datagrams may be filtered,
// and every entry that serves has a way to the leader. Both sides name all that
// they know by a digest, so nothing is sent while they know the same.

import (
	"net/netip"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/settings"
)

// maxSyncReports bounds the reports of one sync, 26 to 98 bytes each in CBOR with a short name of the customer.
const maxSyncReports = 32

// maxSavedReports bounds the works that are kept on disk, the longest held first.
const maxSavedReports = 256

// QuarantineState is a work that is held, as operators see it.
type QuarantineState struct {
	Customer ident.Customer `json:"customer"`
	// Content is the digest of the request's path and body, as in the lines on requests.
	Content string `json:"content"`
	// Ends is how many upstreams ended under it in a row, ForMS how long it is still held.
	Ends  int   `json:"ends"`
	ForMS int64 `json:"for-ms"`
}

// mergeQuarantine takes what a caller tells of works, and fills in what it does not know. Control daemons that follow are told too, so that a
// new leader and one that starts again know it.
func (c *Control) mergeQuarantine(now time.Time, call *SyncCall, reply *SyncReply) {
	c.applyQuarantine(now, call.Held)
	reply.HeldSum = c.quarantine.Digest(now)
	if reply.HeldSum != call.HeldSum {
		reply.Held = c.quarantine.ToSend(now, maxSyncReports)
	}
}

// applyQuarantine takes what others know of works.
func (c *Control) applyQuarantine(now time.Time, list []quarantine.Report) {
	for i := range list {
		c.quarantine.Merge(now, &list[i])
	}
}

// quarantineStates returns what is held now.
func (c *Control) quarantineStates(now time.Time) []QuarantineState {
	var list []QuarantineState
	for _, report := range c.quarantine.Quarantined(now) {
		list = append(list, QuarantineState{report.Customer, report.Content.String(), len(report.Ends), c.quarantine.Remaining(now, report.Fingerprint()).Milliseconds()})
	}
	return list
}

// fillQuarantine fills in what the leader is told of works.
func (e *Entry) fillQuarantine(call *SyncCall) {
	list, now := e.relay.Quarantine, e.relay.Now()
	call.HeldSum = list.Digest(now)
	if call.HeldSum != e.leaderQuarantineDigest {
		// Asked for only when it is sent: each time it is the next ones' turn.
		call.Held = list.ToSend(now, maxSyncReports)
	}
	e.metrics.quarantined.Update(float64(list.QuarantinedLen(now)))
}

// applyQuarantine takes what the leader knows of works.
func (e *Entry) applyQuarantine(reply *SyncReply) {
	e.leaderQuarantineDigest = reply.HeldSum
	e.relay.ApplyQuarantineReports(reply.Held, netip.AddrPort{})
}

// logQuarantineEvent logs what became of held work.
func (e *Entry) logQuarantineEvent(event *relay.QuarantineEvent) {
	from := "this entry"
	if event.From.IsValid() {
		from = event.From.String()
	}
	e.Log.Info("work "+quarantineAction(event), "customer", event.Customer, "content", event.Content.String(), "ends", len(event.Ends), "for-ms", event.Remaining.Milliseconds(),
		"newest-ms", event.AgeMS, "from", from)
}

func quarantineAction(event *relay.QuarantineEvent) string {
	switch {
	case event.Trying:
		return "let in once more"
	case len(event.Ends) == 0:
		return "cleared"
	}
	return "held"
}

// quarantineRule is the rule that the settings give.
func quarantineRule(cfg *settings.Quarantine) quarantine.Rule {
	return quarantine.Rule{Crashes: cfg.Ends, InitialDuration: cfg.Hold.Std(), MaxRecords: cfg.Records}
}
