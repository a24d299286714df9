package site

// Names of headers and fields from upstreams that no code recognizes are sent to the leader once, so that operators see
// them: such a header may be a request that is not met.

import (
	"net/http"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

// maxUnrecognizedUpstreams bounds the upstreams in one call's unrecognized names.
const maxUnrecognizedUpstreams = 64

// unrecognizedQueue holds the names that the leader has not received yet.
type unrecognizedQueue struct {
	mu      sync.Mutex
	pending map[ident.Incarnation][]string
	// inCall are the names in the outstanding call, leadership is the leader that has received all others.
	inCall     map[ident.Incarnation][]string
	leadership LeadershipID
}

// add queues a name for the leader.
func (n *unrecognizedQueue) add(id ident.Incarnation, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pending == nil {
		n.pending = map[ident.Incarnation][]string{}
	}
	n.pending[id] = append(n.pending[id], name)
}

// takeForCall returns the names for the next call, nil when there are none.
func (n *unrecognizedQueue) takeForCall() map[ident.Incarnation][]string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inCall = nil
	for id, names := range n.pending {
		if n.inCall == nil {
			n.inCall = map[ident.Incarnation][]string{}
		}
		if len(n.inCall) == maxUnrecognizedUpstreams {
			break
		}
		n.inCall[id] = names
	}
	return n.inCall
}

// acknowledge removes the names of the last call, which a leader has received, and reports whether the leader is a new
// one, to which all names have to be sent.
func (n *unrecognizedQueue) acknowledge(leadership LeadershipID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id := range n.inCall {
		n.pending[id] = n.pending[id][len(n.inCall[id]):]
		if len(n.pending[id]) == 0 {
			delete(n.pending, id)
		}
	}
	n.inCall = nil
	newLeader := n.leadership != leadership
	n.leadership = leadership
	return newLeader
}

// resendUnrecognized queues all known names for a new leader.
func (e *Entry) resendUnrecognized() {
	e.relay.Unrecognized.Each(func(id ident.Incarnation, names []string) {
		e.unrecognized.mu.Lock()
		defer e.unrecognized.mu.Unlock()
		if e.unrecognized.pending == nil {
			e.unrecognized.pending = map[ident.Incarnation][]string{}
		}
		e.unrecognized.pending[id] = names
	})
}

// unrecognizedPruneInterval is how often the names of removed upstreams are deleted.
const unrecognizedPruneInterval = 10 * time.Second

// pruneUnrecognized deletes the names of upstreams that are no longer in the roster.
func (r *leadership) pruneUnrecognized(now time.Time) {
	if now.Sub(r.unrecognizedPrunedAt) < unrecognizedPruneInterval {
		return
	}
	r.unrecognizedPrunedAt = now
	upstreams, _ := r.roster.Upstreams(now)
	existing := make(map[ident.Incarnation]bool, len(upstreams))
	for i := range upstreams {
		existing[upstreams[i].ID] = true
	}
	r.control.Unrecognized.Retain(func(id ident.Incarnation) bool { return existing[id] })
}

// noteUnrecognizedHeaders records unrecognized headers in an engine's answer to an order or a query.
func (c *Control) noteUnrecognizedHeaders(id ident.Incarnation, headers http.Header) {
	for _, name := range c.Unrecognized.AddHeaders(id, headers) {
		c.Log.Info("upstream sent an unrecognized header", "upstream", id, "word", name)
	}
}

// NoteUnrecognizedReportFields records unrecognized fields of an upstream's report.
func (c *Control) NoteUnrecognizedReportFields(id ident.Incarnation, fields []string) {
	for _, field := range c.Unrecognized.AddNames(id, fields) {
		c.Log.Info("upstream sent an unrecognized field", "upstream", id, "field", field)
	}
}

// LogUnrecognizedConfigFields logs unrecognized fields of an accepted configuration.
func (c *Control) LogUnrecognizedConfigFields(version httproute.Version, fields []string) {
	c.Log.Info("configuration has unrecognized fields", "version", version, "fields", fields)
}
