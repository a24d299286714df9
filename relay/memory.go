package relay

// A body is held whole until its request has ended, an answer until its caller
// has read it, and callers may be slow. So both have a bound over all requests:
// a body beyond it is refused as not run, and an answer stays with its upstream
// until there is room.

import (
	"context"
	"errors"
	"io"
	"net/http"

	"golang.org/x/sync/semaphore"

	"github.com/dunlinquay/dunlinquay/result"
)

// defaultMemoryBytes bounds bodies, and answers, where nobody sets another bound, in bytes.
const defaultMemoryBytes = 64 << 20

var errMemoryLimit = errors.New("too much is held for other requests")

// memory is what may be held for all requests together.
type memory struct {
	bodies, answers *semaphore.Weighted
	maxBytes        int64
}

func newMemory(most int64) *memory {
	return &memory{semaphore.NewWeighted(most), semaphore.NewWeighted(most), most}
}

// SetMemoryLimit bounds the bodies, and the answers, that are held at the same moment, in bytes; it is called before the relay serves.
func (s *Relay) SetMemoryLimit(most int64) {
	s.memory = newMemory(most)
}

// bodyReader counts what is read of a body against the bound.
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

// reserveAnswer waits until there is room for an answer.
func (x *exchange) reserveAnswer(resp *http.Response) error {
	size := resp.ContentLength
	if size < 0 || size > maxAnswerBytes {
		size = maxAnswerBytes
	}
	size = min(size, x.s.memory.maxBytes)
	ctx, cancel := context.WithTimeout(x.r.Context(), x.timeLeft())
	defer cancel()
	if err := x.s.memory.answers.Acquire(ctx, size); err != nil {
		return result.Wrap(err, result.TimedOut, "no room for the answer in time")
	}
	x.answerBytes += size
	return nil
}

// releaseMemory gives back what was held for the request.
func (x *exchange) releaseMemory() {
	x.s.memory.bodies.Release(x.bodyBytes)
	x.releaseAnswer()
	x.bodyBytes = 0
}

func (x *exchange) releaseAnswer() {
	x.s.memory.answers.Release(x.answerBytes)
	x.answerBytes = 0
}
