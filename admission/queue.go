package admission

// Requests that wait for a slot of the same model are in one queue, ordered by
// priority and, within a priority, by start-time fair queueing (Goyal 1996): the
// virtual start of a request is the later of the queue's virtual time and the
// virtual finish of its customer's last request; its virtual finish is
// cost/weight after that. A customer that floods the queue delays only its own
// requests: another customer's request starts at the current virtual time,
// before them.
//
// When the queue is full, the request of the lowest priority with the latest
// virtual start is shed, which is the newest of the flooding customer.

import (
	"container/heap"
	"time"
)

// queue holds the waiting requests of one model.
type queue struct {
	items       waiters
	virtualTime float64
	// expectedSeconds is the expected service time of all waiting requests.
	expectedSeconds float64
}

// waiter is one queued request.
type waiter struct {
	request        *Request
	customer       *customer
	virtualStart   float64
	serviceSeconds float64
	sequence       uint64
	index          int
	// answer receives nil when the request is admitted, or its refusal.
	answer chan error
}

type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(i, j int) bool { return w[i].before(w[j]) }

func (w waiters) Swap(i, j int) {
	w[i], w[j] = w[j], w[i]
	w[i].index, w[j].index = i, j
}

// Push appends an item, for container/heap.
func (w *waiters) Push(x any) {
	item := x.(*waiter)
	item.index = len(*w)
	*w = append(*w, item)
}

// Pop removes the last item, for container/heap.
func (w *waiters) Pop() any {
	old := *w
	item := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	item.index = -1
	return item
}

func (a *waiter) before(b *waiter) bool {
	if a.request.Priority != b.request.Priority {
		return a.request.Priority < b.request.Priority
	}
	if a.virtualStart != b.virtualStart {
		return a.virtualStart < b.virtualStart
	}
	return a.sequence < b.sequence
}

func (q *queue) push(w *waiter) {
	w.virtualStart = max(q.virtualTime, w.customer.virtualFinish)
	w.customer.virtualFinish = w.virtualStart + cost(w.request)/w.customer.weight()
	q.expectedSeconds += w.serviceSeconds
	heap.Push(&q.items, w)
}

// cost is the estimated engine use of a request, in tokens.
func cost(a *Request) float64 {
	return 1 + float64(a.Tokens)
}

func (q *queue) remove(w *waiter) {
	if w.index < 0 {
		return
	}
	heap.Remove(&q.items, w.index)
	q.expectedSeconds = max(0, q.expectedSeconds-w.serviceSeconds)
}

func (q *queue) first() *waiter {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

// advanceVirtualTime advances virtual time to the virtual start of w, which has just been removed.
func (q *queue) advanceVirtualTime(w *waiter) {
	q.virtualTime = max(q.virtualTime, w.virtualStart)
}

// leastImportant returns the waiter that would be admitted last, nil if the queue is empty.
func (q *queue) leastImportant() *waiter {
	var leastImportant *waiter
	for _, w := range q.items {
		if leastImportant == nil || leastImportant.before(w) {
			leastImportant = w
		}
	}
	return leastImportant
}

// classLength returns how many requests of a's class wait.
func (q *queue) classLength(a *Request) int {
	n := 0
	for _, w := range q.items {
		if w.request.Class == a.Class {
			n++
		}
	}
	return n
}

// secondsAhead returns the expected service time of the waiting requests that are at least as important as a.
func (q *queue) secondsAhead(a *Request) float64 {
	if a.Priority > 0 || len(q.items) == 0 {
		return q.expectedSeconds
	}
	sum := 0.0
	for _, w := range q.items {
		if w.request.Priority <= a.Priority {
			sum += w.serviceSeconds
		}
	}
	return sum
}

// deadlineUnreachable reports whether w would miss its deadline even if admitted now.
func deadlineUnreachable(now time.Time, w *waiter) bool {
	return now.Add(time.Duration(w.serviceSeconds * float64(time.Second))).After(w.request.Deadline)
}
