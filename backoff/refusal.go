package backoff

import (
	"errors"
	"time"
)

// Refusal is the error of a refusal with which an upstream requested a backoff.
type Refusal struct {
	Backoff time.Duration
	cause   error
}

// Error returns the text of the wrapped error.
func (r *Refusal) Error() string { return r.cause.Error() }

// Unwrap returns the wrapped error, which has the result code.
func (r *Refusal) Unwrap() error { return r.cause }

// NewRefusal adds the requested backoff to the error of a refusal.
func NewRefusal(cause error, backoff time.Duration) error {
	return &Refusal{Backoff: backoff, cause: cause}
}

// RequestedBy returns the backoff that an upstream requested with err, 0 when it requested none.
func RequestedBy(err error) time.Duration {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Backoff
	}
	return 0
}
