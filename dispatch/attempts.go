package dispatch

// If a member of a group dies, its head may keep a connection open and never
// answer. The presence of the members is therefore checked periodically, in one
// pass for all attempts in progress instead of a timer for each.

import (
	"context"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/routing"
)

// maxIncompleteChecks is how many checks in a row must find a group incomplete before its attempts are cancelled.
const maxIncompleteChecks = 2

// attempt is one attempt in progress: the request has been sent, and its answer is not complete.
type attempt struct {
	target *routing.Target
	cancel context.CancelCauseFunc
	// incompleteChecks is how many checks in a row have found the group incomplete.
	incompleteChecks int
}

// attemptSet holds the attempts in progress.
type attemptSet struct {
	mu     sync.Mutex
	active map[*attempt]struct{}
}

// add includes a in the checks until the returned function is called.
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

// CheckAttempts cancels the attempts whose group has lost a member. A group that is leaving may finish its requests.
func (d *Dispatcher) CheckAttempts(now time.Time) {
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
