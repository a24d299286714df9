package admission

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
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

// AwaySpread is the part of the time by which callers are spread, so that they do not all come back when the first target may be tried.
const AwaySpread = 0.5

// RefuseAway returns the refusal of a request for a model all of whose targets asked for time, the first of them for so long.
func RefuseAway(free time.Duration, model ident.Model) error {
	after := free + time.Duration(AwaySpread*rand.Float64()*float64(free))
	return Refuse(result.BackedOff, after, "all that serve model %q want nothing yet, the first for another %v", model, free)
}

// RetryAfter returns when it is worth asking again, or zero when err does not say.
func RetryAfter(err error) time.Duration {
	var r *Refusal
	if errors.As(err, &r) {
		return r.After
	}
	return 0
}
