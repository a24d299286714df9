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

// unreadMost bounds the upstreams of which one call tells such words.
const unreadMost = 64

// unreadNews are the words that the leader has not been told of yet.
type unreadNews struct {
	mu    sync.Mutex
	fresh map[ident.Incarnation][]string
	// sent are those of the call that is out, leadership is the leader that knows all others.
	sent       map[ident.Incarnation][]string
	leadership LeadershipID
}

// add notes a word for the leader.
func (n *unreadNews) add(id ident.Incarnation, word string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.fresh == nil {
		n.fresh = map[ident.Incarnation][]string{}
	}
	n.fresh[id] = append(n.fresh[id], word)
}

// toTell returns what the leader is told with the next call, nil when there is nothing.
func (n *unreadNews) toTell() map[ident.Incarnation][]string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent = nil
	for id, words := range n.fresh {
		if n.sent == nil {
			n.sent = map[ident.Incarnation][]string{}
		}
		if len(n.sent) == unreadMost {
			break
		}
		n.sent[id] = words
	}
	return n.sent
}

// told notes that a leader has taken the call, and reports whether it is another one, which has to be told all.
func (n *unreadNews) told(leadership LeadershipID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id := range n.sent {
		n.fresh[id] = n.fresh[id][len(n.sent[id]):]
		if len(n.fresh[id]) == 0 {
			delete(n.fresh, id)
		}
	}
	n.sent = nil
	another := n.leadership != leadership
	n.leadership = leadership
	return another
}

// tellAllUnread lets the next calls tell a new leader of all words.
func (e *Entry) tellAllUnread() {
	e.relay.Unrecognized.Each(func(id ident.Incarnation, words []string) {
		e.unread.mu.Lock()
		defer e.unread.mu.Unlock()
		if e.unread.fresh == nil {
			e.unread.fresh = map[ident.Incarnation][]string{}
		}
		e.unread.fresh[id] = words
	})
}

// forgetEvery is how often what ended upstreams said is forgotten.
const forgetEvery = 10 * time.Second

// forgetUnread forgets what upstreams said that have ended.
func (r *leadership) forgetUnread(now time.Time) {
	if now.Sub(r.forgotAt) < forgetEvery {
		return
	}
	r.forgotAt = now
	upstreams, _ := r.roster.Upstreams(now)
	there := make(map[ident.Incarnation]bool, len(upstreams))
	for i := range upstreams {
		there[upstreams[i].ID] = true
	}
	r.c.Unrecognized.Retain(func(id ident.Incarnation) bool { return there[id] })
}

// heardUnread notes what an engine says with its answer to an order or a question that nothing reads.
func (c *Control) heardUnread(id ident.Incarnation, h http.Header) {
	for _, word := range c.Unrecognized.AddHeaders(id, h) {
		c.Log.Info("upstream says what nothing reads", "upstream", id, "word", word)
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
