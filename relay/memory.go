package relay

// A body is kept in memory until its request has ended, an answer until its
// caller has read it, and callers can be slow. Both are bounded over all
// requests: a body beyond the bound is refused as not run, and an answer is not
// read from its upstream until there is memory for it.

import (
	"context"
	"errors"
	"io"
	"net/http"

	"golang.org/x/sync/semaphore"

	"github.com/dunlinquay/dunlinquay/result"
)

// defaultMemoryBytes bounds the bodies, and the answers, unless SetMemoryLimit is called.
const defaultMemoryBytes = 64 << 20

var errMemoryLimit = errors.New("memory bound reached by the bodies of other requests")

// memory accounts for the bodies and answers of all requests, each up to maxBytes.
type memory struct {
	bodies, answers *semaphore.Weighted
	maxBytes        int64
}

func newMemory(maxBytes int64) *memory {
	return &memory{semaphore.NewWeighted(maxBytes), semaphore.NewWeighted(maxBytes), maxBytes}
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
	if n > 0 && !r.x.s.memory.bodies.TryAcquire(int64(n)) {
		return 0, errMemoryLimit
	}
	r.x.bodyBytes += int64(n)
	return n, err
}

// reserveAnswer waits until there is memory for an answer.
func (x *exchange) reserveAnswer(resp *http.Response) error {
	size := resp.ContentLength
	if size < 0 || size > maxAnswerBytes {
		size = maxAnswerBytes
	}
	size = min(size, x.s.memory.maxBytes)
	ctx, cancel := context.WithTimeout(x.r.Context(), x.timeLeft())
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
