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

// lostLooks is how many looks in a row must find a group incomplete before its tries end.
const lostLooks = 2

// try is one sending of a request.
type try struct {
	target *routing.Target
	cancel context.CancelCauseFunc
	lost   int
}

type watched struct {
	mu    sync.Mutex
	tries map[*try]struct{}
}

// add watches t until the returned function is called.
func (w *watched) add(t *try) (remove func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tries == nil {
		w.tries = map[*try]struct{}{}
	}
	w.tries[t] = struct{}{}
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.tries, t)
	}
}

// Look ends the tries whose group has lost a member; a group that leaves as planned ends its work in peace.
func (d *Dispatcher) Look(now time.Time) {
	d.watched.mu.Lock()
	defer d.watched.mu.Unlock()
	for t := range d.watched.tries {
		if t.target.Whole(now, d.Table.Bound) || t.target.Leaving() {
			t.lost = 0
			continue
		}
		t.lost++
		if t.lost >= lostLooks {
			t.cancel(errMemberLost)
		}
	}
}
