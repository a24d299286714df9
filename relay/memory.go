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

// memoryDefault bounds bodies, and answers, where nobody sets another bound, in bytes.
const memoryDefault = 64 << 20

var errNoMemory = errors.New("too much is held for other requests")

// memory is what may be held for all requests together.
type memory struct {
	bodies, answers *semaphore.Weighted
	most            int64
}

func newMemory(most int64) *memory {
	return &memory{semaphore.NewWeighted(most), semaphore.NewWeighted(most), most}
}

// SetMemory bounds the bodies, and the answers, that are held at the same moment, in bytes; it is called before the relay serves.
func (s *Relay) SetMemory(most int64) {
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
		return 0, errNoMemory
	}
	r.x.heldBody += int64(n)
	return n, err
}

// holdAnswer waits until there is room for an answer.
func (x *exchange) holdAnswer(resp *http.Response) error {
	size := resp.ContentLength
	if size < 0 || size > maxAnswer {
		size = maxAnswer
	}
	size = min(size, x.s.memory.most)
	ctx, cancel := context.WithTimeout(x.r.Context(), x.left())
	defer cancel()
	if err := x.s.memory.answers.Acquire(ctx, size); err != nil {
		return result.Wrap(err, result.TimedOut, "no room for the answer in time")
	}
	x.heldAnswer += size
	return nil
}

// releaseMemory gives back what was held for the request.
func (x *exchange) releaseMemory() {
	x.s.memory.bodies.Release(x.heldBody)
	x.releaseAnswer()
	x.heldBody = 0
}

func (x *exchange) releaseAnswer() {
	x.s.memory.answers.Release(x.heldAnswer)
	x.heldAnswer = 0
}
