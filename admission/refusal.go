package admission

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/result"
)

// Refusal is the error of a request that was not sent.
type Refusal struct {
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
	cause      error
}

// Error returns the message of the cause.
func (r *Refusal) Error() string { return r.cause.Error() }

// Unwrap returns the cause, which has the result code.
func (r *Refusal) Unwrap() error { return r.cause }

// Refuse returns a Refusal with a result code and the time to wait before a retry.
func Refuse(code result.Code, after time.Duration, format string, args ...any) error {
	return &Refusal{RetryAfter: after, cause: result.New(code, format, args...)}
}

// RetryJitter is the fraction of the wait that is added as random jitter, so that callers do not all retry at the same moment.
const RetryJitter = 0.5

// RefuseBackedOff returns the refusal of a request for a model whose targets are all backed off; the first is available in availableIn.
func RefuseBackedOff(availableIn time.Duration, model ident.Model) error {
	retryAfter := availableIn + time.Duration(RetryJitter*rand.Float64()*float64(availableIn))
	return Refuse(result.BackedOff, retryAfter, "all upstreams of model %q are backed off; the first is available in %v", model, availableIn)
}

// RetryAfter returns how long to wait before a retry, zero if err is no Refusal.
func RetryAfter(err error) time.Duration {
	var r *Refusal
	if errors.As(err, &r) {
		return r.RetryAfter
	}
	return 0
}
