package relay

import (
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/dunlinquay/dunlinquay/httphead"
)

// ConnFailure is how the connection failed of an attempt without a complete answer.
type ConnFailure string

// The ways in which a connection fails.
const (
	// ConnClosed means that the upstream closed the connection, as a kernel does for a process that has ended.
	ConnClosed ConnFailure = "closed"
	// ConnReset means that the connection was reset.
	ConnReset ConnFailure = "reset"
	// ConnUnusable means that the received bytes are no valid answer to the request.
	ConnUnusable ConnFailure = "unusable"
)

// connFailureOf returns the connection failure that a read or write error indicates.
func connFailureOf(err error) ConnFailure {
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, errPartialEvent):
		return ConnClosed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return ConnReset
	}
	return ConnUnusable
}

// setHeadError copies why the head of the answer was rejected, if err says that it was.
func (t *Attempt) setHeadError(err error) {
	var headErr *httphead.Error
	if errors.As(err, &headErr) {
		t.HeadRule, t.HeadLine = headErr.Rule, headErr.Line
	}
}

// setOutcome copies what the forwarder observed of the attempt; f is nil when nothing was sent.
func (t *Attempt) setOutcome(f *forwarder, now time.Time) {
	if f == nil {
		return
	}
	if f.abandoned {
		t.SilentMS, t.Suspicions = f.silentFor.Milliseconds(), f.suspicionCount
	}
	if f.cutErr != nil {
		t.ConnFailure, t.RanMS, t.Events = connFailureOf(f.cutErr), now.Sub(f.sentAt).Milliseconds(), f.eventCount
		t.setHeadError(f.cutErr)
	}
	t.RetryAfter, t.Leaving, t.Limit = f.notice.RetryAfterText, f.notice.Leaving, f.notice.Limit
	if f.status >= http.StatusBadRequest {
		t.Status = f.status
	}
}
