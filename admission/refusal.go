package admission

import (
	"errors"
	"time"

	"github.com/dunlinquay/dunlinquay/result"
)

// Refusal is a request that was not sent, with the time after which it is worth asking again.
type Refusal struct {
	After time.Duration
	cause error
}

// Error returns the words of the refusal.
func (r *Refusal) Error() string { return r.cause.Error() }

// Unwrap returns the error with the code.
func (r *Refusal) Unwrap() error { return r.cause }

// Refuse returns a refusal that says when it is worth asking again.
func Refuse(code result.Code, after time.Duration, format string, args ...any) error {
	return &Refusal{After: after, cause: result.New(code, format, args...)}
}

// RetryAfter returns when it is worth asking again, or zero when err does not say.
func RetryAfter(err error) time.Duration {
	var r *Refusal
	if errors.As(err, &r) {
		return r.After
	}
	return 0
}
