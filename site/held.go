package site

// Entries tell each other of work under which upstreams ended by datagrams. The
// leader passes the same reports on with its syncs: datagrams may be filtered,
// and every entry that serves has a way to the leader. Both sides name all that
// they know by a digest, so nothing is sent while they know the same.

import (
	"net/netip"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/settings"
)

// heldMost bounds the reports of one sync, about 100 bytes each.
const heldMost = 32

// heldKept bounds the works that are kept on disk, the longest held first.
const heldKept = 256

// HeldState is a work that is held, as operators see it.
type HeldState struct {
	Customer ident.Customer `json:"customer"`
	// Content is the digest of the request's path and body, as in the lines on requests.
	Content string `json:"content"`
	// Ends is how many upstreams ended under it in a row, ForMS how long it is still held.
	Ends  int   `json:"ends"`
	ForMS int64 `json:"for-ms"`
}

// heldWorks is what a control daemon knows of works: the leader from entries, the others from the leader, so that a new leader and one
// that starts again know it too.
type heldWorks struct {
	mu   sync.Mutex
	list quarantine.List
}

// newHeldWorks returns an empty list by the rule of the settings.
func newHeldWorks(q *settings.Quarantine) *heldWorks {
	return &heldWorks{list: quarantine.List{Rule: heldRule(q)}}
}

// take takes what a caller tells of works, and fills in what it does not know.
func (h *heldWorks) take(now time.Time, call *SyncCall, reply *SyncReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range call.Held {
		h.list.Hear(now, &call.Held[i])
	}
	reply.HeldSum = h.list.Sum(now)
	if reply.HeldSum != call.HeldSum {
		reply.Held = h.list.ToTell(now, heldMost)
	}
}

// hear takes what the leader knows.
func (h *heldWorks) hear(now time.Time, list []quarantine.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range list {
		h.list.Hear(now, &list[i])
	}
}

func (h *heldWorks) sum(now time.Time) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.list.Sum(now)
}

// kept returns what is to outlive a restart of all daemons.
func (h *heldWorks) kept(now time.Time) []quarantine.Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := h.list.HeldNow(now)
	return list[:min(len(list), heldKept)]
}

// state returns what is held now.
func (h *heldWorks) state(now time.Time) []HeldState {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []HeldState
	for _, n := range h.list.HeldNow(now) {
		list = append(list, HeldState{n.Customer, n.Content.String(), len(n.Ends), h.list.Held(now, n.Work()).Milliseconds()})
	}
	return list
}

// tellHeld fills in what the leader is told of works.
func (e *Entry) tellHeld(call *SyncCall) {
	list, sum := e.relay.WorkToTell(heldMost)
	call.HeldSum = sum
	if sum != e.leaderSum {
		call.Held = list
	}
	e.numbers.held.Update(float64(e.relay.HeldCount()))
}

// hearHeld takes what the leader knows of works.
func (e *Entry) hearHeld(r *SyncReply) {
	e.leaderSum = r.HeldSum
	e.relay.HearWork(r.Held, netip.AddrPort{})
}

// noteHolding logs what became of held work.
func (e *Entry) noteHolding(h *relay.Holding) {
	from := "this entry"
	if h.From.IsValid() {
		from = h.From.String()
	}
	e.Log.Info("work "+holdingOf(h), "customer", h.Customer, "content", h.Content.String(), "ends", len(h.Ends), "for-ms", h.For.Milliseconds(),
		"newest-ms", h.AgeMS, "from", from)
}

func holdingOf(h *relay.Holding) string {
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
	return quarantine.Rule{Ends: q.Ends, Hold: q.Hold.Std(), Records: q.Records}
}
