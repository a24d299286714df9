package backoff

import (
	"errors"
	"time"
)

// Refusal is an upstream's refusal that asks for time.
type Refusal struct {
	Asked time.Duration
	cause error
}

// Error returns the words of the refusal.
func (r *Refusal) Error() string { return r.cause.Error() }

// Unwrap returns the error with the code.
func (r *Refusal) Unwrap() error { return r.cause }

// Refused adds the time that an upstream asked for to its refusal.
func Refused(cause error, asked time.Duration) error {
	return &Refusal{Asked: asked, cause: cause}
}

// AskedBy returns the time that an upstream asked for with err, 0 when it asked for none.
func AskedBy(err error) time.Duration {
	var r *Refusal
	if errors.As(err, &r) {
		return r.Asked
	}
	return 0
}
