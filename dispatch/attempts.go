package dispatch

// An engine whose fellow member has died may keep a connection open and never
// answer. Every try in progress is therefore held against presence now and
// then: one look for all of them, instead of a timer for each.

import (
	"context"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/routing"
)

// maxIncompleteChecks is how many looks in a row must find a group incomplete before its tries end.
const maxIncompleteChecks = 2

// attempt is one sending of a request.
type attempt struct {
	target *routing.Target
	cancel context.CancelCauseFunc
	incompleteChecks   int
}

type attemptSet struct {
	mu    sync.Mutex
	active map[*attempt]struct{}
}

// add watches t until the returned function is called.
func (w *attemptSet) add(a *attempt) (remove func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active == nil {
		w.active = map[*attempt]struct{}{}
	}
	w.active[a] = struct{}{}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.active, a)
	}
}

// Look ends the tries whose group has lost a member; a group that leaves as planned ends its work in peace.
func (d *Dispatcher) Look(now time.Time) {
	d.attempts.mu.Lock()
	defer d.attempts.mu.Unlock()
	for a := range d.attempts.active {
		if a.target.Whole(now, d.Table.Bound) || a.target.Leaving() {
			a.incompleteChecks = 0
			continue
		}
		a.incompleteChecks++
		if a.incompleteChecks >= maxIncompleteChecks {
			a.cancel(errMemberLost)
		}
	}
}
