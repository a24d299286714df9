package soak

// The truth is what upstreams and callers saw. Every promise is checked where
// its two sides meet here, most of them while the soak runs.

import (
	"fmt"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	// keyBound is the time after which a removed key must not be served; it stands in the daemons' settings.
	keyBound = 5 * time.Second
	// maxBroken bounds the broken promises that are kept.
	maxBroken = 40
)

// request is what one caller sent.
type request struct {
	id         string
	repeatable bool
	key        string
	sent       time.Time
	// notRun is set when the caller was told so.
	notRun bool
	runs   int
	// from is the entry that it was sent to.
	from sender
}

// membership is a group that an engine was in; a group is named anew each time it is formed.
type membership struct {
	group ident.Group
	epoch ident.Epoch
}

type acceptance struct {
	version httproute.Version
	at      time.Time
}

type truth struct {
	began time.Time

	mu       sync.Mutex
	requests map[string]*request
	// removed holds when a configuration without a key was acknowledged.
	removed map[string]time.Time
	// gone is the number of the first key that versions may have yet.
	gone    uint64
	engines map[ident.Incarnation]*engine
	drains  drains
	acked   httproute.Version
	// history holds when each version was acknowledged, in order.
	history []acceptance
	// fatals are the bodies that end what runs them.
	fatals map[string]*fatal
	// untimed leaves out checks that depend on the speed of the machine.
	untimed bool
	broken  []string
	answers map[string]int
	// limits are what became of the limits that upstreams named.
	limits []LimitRun
}

func newTruth() *truth {
	return &truth{
		began: time.Now(), requests: map[string]*request{}, removed: map[string]time.Time{},
		engines: map[ident.Incarnation]*engine{}, answers: map[string]int{}, fatals: map[string]*fatal{},
	}
}

// noteBrokenf notes a broken promise; the mutex is held.
func (t *truth) noteBrokenf(format string, args ...any) {
	if len(t.broken) < maxBroken {
		t.broken = append(t.broken, fmt.Sprintf("%.2f s: ", time.Since(t.began).Seconds())+fmt.Sprintf(format, args...))
	}
}

func (t *truth) breaksf(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteBrokenf(format, args...)
}

// sends notes a request before it leaves its caller.
func (t *truth) sends(r *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.sent = time.Now()
	t.requests[r.id] = r
}

// runs notes that an upstream begins to work on a request.
func (t *truth) runs(id string, at ident.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[id]
	if r == nil {
		t.noteBrokenf("%s runs request %q, which nobody sent", at, id)
		return
	}
	r.runs++
	if r.runs > 1 && !r.repeatable {
		t.noteBrokenf("request %s runs for the %d. time, at %s, and may run once", id, r.runs, at)
	}
	if r.notRun && !r.repeatable {
		t.noteBrokenf("request %s runs at %s after its caller was told that it did not", id, at)
	}
	if gone, ok := t.removed[r.key]; ok && r.sent.Sub(gone) > keyBound {
		t.noteBrokenf("request %s runs at %s, sent %v after its key was removed", id, at, r.sent.Sub(gone))
	}
}

// refused notes that the caller was told that its request did not run.
func (t *truth) refused(r *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.notRun = true
	if r.runs > 0 && !r.repeatable {
		t.noteBrokenf("the caller of %s is told that it did not run, and it ran", r.id)
	}
}

// answered counts how requests ended.
func (t *truth) answered(how string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers[how]++
}

// joins checks that an engine which takes an order to join is not in a group that serves; its mutex is not held.
func (t *truth) joins(e *engine, group ident.Group) {
	t.mu.Lock()
	defer t.mu.Unlock()
	was, members := e.place(), e.list()
	if was.Group == "" || was.Group == group || len(members) == 0 {
		return
	}
	head := t.engines[members[0]]
	if head == nil {
		return
	}
	h := head.place()
	if h.Group == was.Group && (h.State == roster.MemberOpen || h.State == roster.MemberClosing) {
		t.noteBrokenf("%s joins %s while %s, the head of its group %s, is %s", e.id, group, head.id, was.Group, h.State)
	}
}

// serves checks that a group that takes a request has had all its members ready.
func (t *truth) serves(e *engine, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, members := e.place(), e.list()
	if p.Group == "" {
		return // it left or ended a moment ago
	}
	if len(members) != size {
		t.noteBrokenf("%s serves with %d members in place of %d", p.Group, len(members), size)
	}
	for _, id := range members {
		if member := t.engines[id]; member == nil || !member.ready(membership{p.Group, p.Epoch}) {
			t.noteBrokenf("%s serves, and its member %s was never ready", p.Group, id)
		}
	}
}

// accepted notes an acknowledged configuration and the keys that no version from it on has.
func (t *truth) accepted(version httproute.Version) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acked = max(t.acked, version)
	t.history = append(t.history, acceptance{version, time.Now()})
	for ; t.gone+keysKept <= uint64(version); t.gone++ {
		t.removed[keyOf(t.gone)] = time.Now()
	}
}

func (t *truth) newestAccepted() httproute.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.acked
}

// acceptedBefore returns the newest version that had been acknowledged at that moment.
func (t *truth) acceptedBefore(at time.Time) httproute.Version {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := httproute.Version(0)
	for _, a := range t.history {
		if a.at.Before(at) {
			newest = max(newest, a.version)
		}
	}
	return newest
}
