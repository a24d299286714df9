package site

// What upstreams say that nothing here reads is told to the leader once, so that
// operators see it: it may be a wish that is not kept.

import (
	"net/http"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
)

// maxUnrecognizedUpstreams bounds the upstreams of which one call tells such words.
const maxUnrecognizedUpstreams = 64

// unrecognizedQueue are the words that the leader has not been told of yet.
type unrecognizedQueue struct {
	mu      sync.Mutex
	pending map[ident.Incarnation][]string
	// inCall are those of the call that is out, leadership is the leader that knows all others.
	inCall     map[ident.Incarnation][]string
	leadership LeadershipID
}

// add notes a word for the leader.
func (n *unrecognizedQueue) add(id ident.Incarnation, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pending == nil {
		n.pending = map[ident.Incarnation][]string{}
	}
	n.pending[id] = append(n.pending[id], name)
}

// takeForCall returns what the leader is told with the next call, nil when there is nothing.
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

// acknowledge notes that a leader has taken the call, and reports whether it is another one, which has to be told all.
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

// resendUnrecognized lets the next calls tell a new leader of all words.
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

// unrecognizedPruneInterval is how often what ended upstreams said is forgotten.
const unrecognizedPruneInterval = 10 * time.Second

// pruneUnrecognized forgets what upstreams said that have ended.
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

// noteUnrecognizedHeaders notes what an engine says with its answer to an order or a question that nothing reads.
func (c *Control) noteUnrecognizedHeaders(id ident.Incarnation, headers http.Header) {
	for _, name := range c.Unrecognized.AddHeaders(id, headers) {
		c.Log.Info("upstream says what nothing reads", "upstream", id, "word", name)
	}
}

// NoteUnrecognizedReportFields notes fields of an upstream's report that nothing reads.
func (c *Control) NoteUnrecognizedReportFields(id ident.Incarnation, fields []string) {
	for _, field := range c.Unrecognized.AddNames(id, fields) {
		c.Log.Info("upstream says what nothing reads", "upstream", id, "field", field)
	}
}

// LogUnrecognizedConfigFields tells of fields of an accepted configuration that nothing reads.
func (c *Control) LogUnrecognizedConfigFields(version httproute.Version, fields []string) {
	c.Log.Info("configuration says what nothing reads", "version", version, "fields", fields)
}
