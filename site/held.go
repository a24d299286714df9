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

// heldMost bounds the reports of one sync, 26 to 98 bytes each in CBOR with a short name of the customer.
const heldMost = 32

// heldKept bounds the works that are kept on disk, the longest held first.
const heldKept = 256

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
	reply.HeldSum = c.held.Digest(now)
	if reply.HeldSum != call.HeldSum {
		reply.Held = c.held.ToSend(now, heldMost)
	}
}

// applyQuarantine takes what others know of works.
func (c *Control) applyQuarantine(now time.Time, list []quarantine.Report) {
	for i := range list {
		c.held.Merge(now, &list[i])
	}
}

// heldState returns what is held now.
func (c *Control) heldState(now time.Time) []QuarantineState {
	var list []QuarantineState
	for _, n := range c.held.Quarantined(now) {
		list = append(list, QuarantineState{n.Customer, n.Content.String(), len(n.Ends), c.held.Remaining(now, n.Fingerprint()).Milliseconds()})
	}
	return list
}

// sendQuarantine fills in what the leader is told of works.
func (e *Entry) sendQuarantine(call *SyncCall) {
	list, now := e.relay.Quarantine, e.relay.Now()
	call.HeldSum = list.Digest(now)
	if call.HeldSum != e.leaderSum {
		// Asked for only when it is sent: each time it is the next ones' turn.
		call.Held = list.ToSend(now, heldMost)
	}
	e.numbers.held.Update(float64(list.QuarantinedLen(now)))
}

// applyQuarantine takes what the leader knows of works.
func (e *Entry) applyQuarantine(r *SyncReply) {
	e.leaderSum = r.HeldSum
	e.relay.ApplyQuarantineReports(r.Held, netip.AddrPort{})
}

// noteHolding logs what became of held work.
func (e *Entry) noteHolding(h *relay.QuarantineEvent) {
	from := "this entry"
	if h.From.IsValid() {
		from = h.From.String()
	}
	e.Log.Info("work "+holdingOf(h), "customer", h.Customer, "content", h.Content.String(), "ends", len(h.Ends), "for-ms", h.Remaining.Milliseconds(),
		"newest-ms", h.AgeMS, "from", from)
}

func holdingOf(h *relay.QuarantineEvent) string {
	switch {
	case h.Trying:
		return "let in once more"
	case len(h.Ends) == 0:
		return "cleared"
	}
	return "held"
}

// heldRule is the rule that the settings give.
func heldRule(q *settings.Quarantine) quarantine.Rule {
	return quarantine.Rule{Crashes: q.Ends, InitialDuration: q.Hold.Std(), MaxRecords: q.Records}
}
