package backoff

import (
	"errors"
	"time"
)

// Refusal is an upstream's refusal that asks for time.
type Refusal struct {
	Backoff time.Duration
	cause   error
}

// Error returns the words of the refusal.
func (r *Refusal) Error() string { return r.cause.Error() }

// Unwrap returns the error with the code.
func (r *Refusal) Unwrap() error { return r.cause }

// NewRefusal adds the time that an upstream asked for to its refusal.
func NewRefusal(cause error, backoff time.Duration) error {
	return &Refusal{Backoff: backoff, cause: cause}
}

// RequestedBy returns the time that an upstream asked for with err, 0 when it asked for none.
func RequestedBy(err error) time.Duration {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Backoff
	}
	return 0
}
