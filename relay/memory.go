package relay

// A body is kept in memory until its request has ended, an answer until its
// caller has read it, and callers can be slow. Both are bounded over all
// requests: a body beyond the bound is refused as not run, and an answer is not
// read from its upstream until there is memory for it. Bodies that are read at
// the same time can each hold a part of the memory while none has the rest, so
// one of them may wait for it and all others are refused:
//
//	memory 8, bodies of 4:  a has 3, b has 3, c has 2
//	a needs 1 more, waits   b needs 1 more, is refused   a has 4

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/dunlinquay/dunlinquay/result"
)

// defaultMemoryBytes bounds the bodies, and the answers, unless SetMemoryLimit is called.
const defaultMemoryBytes = 64 << 20

// lingerTime bounds how long the rest of a refused body is read after the answer.
const lingerTime = 500 * time.Millisecond

var errMemoryLimit = errors.New("memory bound reached by the bodies of other requests")

// memory accounts for the bodies and answers of all requests, each up to maxBytes.
type memory struct {
	bodies, answers *semaphore.Weighted
	maxBytes        int64
	// waiter is the request whose body may wait for memory, until that body has been read.
	waiter atomic.Pointer[exchange]
}

func newMemory(maxBytes int64) *memory {
	return &memory{bodies: semaphore.NewWeighted(maxBytes), answers: semaphore.NewWeighted(maxBytes), maxBytes: maxBytes}
}

// mayWait reports whether the body of the request may wait for memory.
func (m *memory) mayWait(x *exchange) bool {
	return m.waiter.CompareAndSwap(nil, x) || m.waiter.Load() == x
}

// SetMemoryLimit bounds the bodies, and the answers, that are in memory at the same time; it must be called before the relay serves.
func (s *Relay) SetMemoryLimit(maxBytes int64) {
	s.memory = newMemory(maxBytes)
}

// bodyReader counts the bytes read of a body against the bound.
type bodyReader struct {
	io.Reader
	x *exchange
}

func (r *bodyReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if memoryErr := r.x.reserveBody(int64(n)); memoryErr != nil {
		return 0, memoryErr
	}
	return n, err
}

// reserveBody counts n further bytes of the body. A body of which nothing has been read yet is refused at once when the memory is used up.
func (x *exchange) reserveBody(n int64) error {
	m := x.s.memory
	if m.bodies.TryAcquire(n) {
		x.bodyBytes += n
		return nil
	}
	if x.bodyBytes == 0 || x.bodyBytes+n > m.maxBytes || !m.mayWait(x) {
		return errMemoryLimit
	}
	ctx, cancel := x.waitContext()
	defer cancel()
	if err := m.bodies.Acquire(ctx, n); err != nil {
		return cmp.Or(x.r.Context().Err(), errMemoryLimit)
	}
	x.bodyBytes += n
	return nil
}

// discardBody reads the rest of a refused body after the answer. Closing a connection with unread data resets it, and the caller could lose
// the answer.
func (x *exchange) discardBody() {
	if !x.bodyRefused {
		return
	}
	control := http.NewResponseController(x.w)
	if control.Flush() == nil && control.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		_, _ = io.Copy(io.Discard, x.r.Body)
	}
}

// answerSizeOf returns the memory that an answer may need.
func (m *memory) answerSizeOf(resp *http.Response) int64 {
	size := resp.ContentLength
	if size < 0 || size > maxAnswerBytes {
		size = maxAnswerBytes
	}
	return min(size, m.maxBytes)
}

// tryReserveAnswer reports whether there is memory for an answer, and reserves it.
func (x *exchange) tryReserveAnswer(resp *http.Response) bool {
	size := x.s.memory.answerSizeOf(resp)
	if !x.s.memory.answers.TryAcquire(size) {
		return false
	}
	x.answerBytes += size
	return true
}

// reserveAnswer waits until there is memory for an answer.
func (x *exchange) reserveAnswer(resp *http.Response) error {
	size := x.s.memory.answerSizeOf(resp)
	ctx, cancel := x.waitContext()
	defer cancel()
	if err := x.s.memory.answers.Acquire(ctx, size); err != nil {
		return result.Wrap(err, result.TimedOut, "no memory for the answer in time")
	}
	x.answerBytes += size
	return nil
}

// releaseMemory releases the memory of the request's body and answer.
func (x *exchange) releaseMemory() {
	x.s.memory.bodies.Release(x.bodyBytes)
	x.releaseAnswer()
	x.bodyBytes = 0
}

func (x *exchange) releaseAnswer() {
	x.s.memory.answers.Release(x.answerBytes)
	x.answerBytes = 0
}
