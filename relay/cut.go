package relay

import (
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"
)

// Cut says how the connection of a try without a whole answer ended.
type Cut string

// The ways in which a connection ends.
const (
	// CutClosed means that the upstream closed the connection, as the kernel of a VM does for a process that has ended.
	CutClosed Cut = "closed"
	// CutReset means that it was reset.
	CutReset Cut = "reset"
	// CutUnusable means that what came is no answer to this request.
	CutUnusable Cut = "unusable"
)

// cutOf tells how a connection ended by the error that its reader or writer met.
func cutOf(err error) Cut {
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, errPartEvent):
		return CutClosed
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return CutReset
	}
	return CutUnusable
}

// note takes over what the follower saw of the try until it ended; f is nil when nothing was sent.
func (t *Try) note(f *follower, now time.Time) {
	if f == nil {
		return
	}
	if f.moved {
		t.SilentMS, t.Suspicions = f.silent.Milliseconds(), f.suspicions
	}
	if f.cut != nil {
		t.Cut, t.RanMS, t.Events = cutOf(f.cut), now.Sub(f.sent).Milliseconds(), f.events
	}
	t.RetryAfter, t.Leaving, t.Limit = f.notice.Text, f.notice.Leaving, f.notice.Limit
	if f.status >= http.StatusBadRequest {
		t.Status = f.status
	}
}
