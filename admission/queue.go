package admission

// Requests that wait for a slot of the same model stand in one queue, ordered
// by priority and, within a priority, by start-time fair queueing (Goyal 1996):
// each request gets a virtual start, the later of the queue's virtual time and
// the end of its customer's last request, and an end that lies cost/weight
// further. A customer that floods the queue moves only its own ends away; a
// small customer's request starts at the present virtual time, before them.
//
// When the queue is full, the request shed is the least important one with the
// latest virtual start, which is the flooding customer's newest.

import (
	"container/heap"
	"time"
)

type queue struct {
	items   waiters
	virtual float64
	// work is the expected seconds of everything that waits.
	work float64
}

// waiter is one queued request.
type waiter struct {
	ask      *Ask
	customer *customer
	start    float64
	service  float64
	order    uint64
	index    int
	// granted receives nil when the request may run, or the refusal.
	granted chan error
}

type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool { return w[i].before(w[j]) }

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push and Pop serve container/heap.
func (w *waiters) Push(x any) {
	item := x.(*waiter)
	item.index = len(*w)
	*w = append(*w, item)
}

// Pop removes the last item.
func (w *waiters) Pop() any {
	old := *w
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	item.index = -1
	return item
}

func (a *waiter) before(b *waiter) bool {
	if a.ask.Priority != b.ask.Priority {
		return a.ask.Priority < b.ask.Priority
	}
	if a.start != b.start {
		return a.start < b.start
	}
	return a.order < b.order
}

func (q *queue) push(w *waiter) {
	w.start = max(q.virtual, w.customer.finish)
	w.customer.finish = w.start + cost(w.ask)/w.customer.weight()
	q.work += w.service
	heap.Push(&q.items, w)
}

// cost is what a request takes from the engines in units that all customers share.
func cost(a *Ask) float64 {
	return 1 + float64(a.Tokens)
}

func (q *queue) remove(w *waiter) {
	if w.index < 0 {
		return
	}
	heap.Remove(&q.items, w.index)
	q.work = max(0, q.work-w.service)
}

func (q *queue) first() *waiter {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

// served moves virtual time to the start of the request that was let through.
func (q *queue) served(w *waiter) {
	q.virtual = max(q.virtual, w.start)
}

// last returns the least important waiter.
func (q *queue) last() *waiter {
	var last *waiter
	for _, w := range q.items {
		if last == nil || last.before(w) {
			last = w
		}
	}
	return last
}

// lengthOf returns how many of a class wait.
func (q *queue) lengthOf(a *Ask) int {
	n := 0
	for _, w := range q.items {
		if w.ask.Class == a.Class {
			n++
		}
	}
	return n
}

// ahead returns the expected seconds of the work that is at least as important as a.
func (q *queue) ahead(a *Ask) float64 {
	if a.Priority > 0 || len(q.items) == 0 {
		return q.work
	}
	sum := 0.0
	for _, w := range q.items {
		if w.ask.Priority <= a.Priority {
			sum += w.service
		}
	}
	return sum
}

func expired(now time.Time, w *waiter) bool {
	return now.Add(time.Duration(w.service * float64(time.Second))).After(w.ask.Deadline)
}
