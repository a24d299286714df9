package relay

import (
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"
)

// ConnFailure says how the connection of a try without a whole answer ended.
type ConnFailure string

// The ways in which a connection ends.
const (
	// ConnClosed means that the upstream closed the connection, as the kernel of a VM does for a process that has ended.
	ConnClosed ConnFailure = "closed"
	// ConnReset means that it was reset.
	ConnReset ConnFailure = "reset"
	// ConnUnusable means that what came is no answer to this request.
	ConnUnusable ConnFailure = "unusable"
)

// connFailureOf tells how a connection ended by the error that its reader or writer met.
func connFailureOf(err error) ConnFailure {
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, errPartialEvent):
		return ConnClosed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return ConnReset
	}
	return ConnUnusable
}

// setOutcome takes over what the follower saw of the try until it ended; f is nil when nothing was sent.
func (t *Attempt) setOutcome(f *forwarder, now time.Time) {
	if f == nil {
		return
	}
	if f.abandoned {
		t.SilentMS, t.Suspicions = f.silentFor.Milliseconds(), f.suspicionCount
	}
	if f.cutErr != nil {
		t.ConnFailure, t.RanMS, t.Events = connFailureOf(f.cutErr), now.Sub(f.sentAt).Milliseconds(), f.eventCount
	}
	t.RetryAfter, t.Leaving, t.Limit = f.notice.RetryAfterText, f.notice.Leaving, f.notice.Limit
	if f.status >= http.StatusBadRequest {
		t.Status = f.status
	}
}
