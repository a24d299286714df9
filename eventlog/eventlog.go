package eventlog

// Logging must not delay requests, and must not use unlimited memory under
// load. Lines pass through a queue of fixed length to one goroutine. If the queue
// is full, lines are dropped, and a later line has their number. Lines on
// requests may fill only a part of the queue, so that the rest is left for errors
// and changes of state.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"

	"github.com/dunlinquay/dunlinquay/park"
)

const (
	queueLength = 1024
	// requestFraction is the fraction of the queue that lines on single requests may fill.
	requestFraction = 0.75
	// writeBufferSize is the size in bytes of the buffer that combines lines into one write.
	writeBufferSize = 16 << 10
	// batchDelay is how long a line waits for further lines, since one write for several lines is cheaper.
	batchDelay = 100 * time.Millisecond
	// flushTimeout bounds how long Flush waits.
	flushTimeout = 200 * time.Millisecond
)

// Log queues lines and writes them to one writer.
type Log struct {
	tasks   *park.Group
	lines   chan string
	dropped atomic.Uint64
	out     *bufio.Writer
	done    chan struct{}
}

// New returns a log that writes to w while Run runs.
func New(w io.Writer) *Log {
	l := &Log{tasks: park.New(), lines: make(chan string, queueLength), out: bufio.NewWriterSize(w, writeBufferSize), done: make(chan struct{})}
	l.tasks.Go(func(ctx context.Context) { l.writeLines(ctx) })
	return l
}

// Run writes lines until ctx ends, and then the lines that are still queued.
func (l *Log) Run(ctx context.Context) {
	l.tasks.Run(ctx)
}

// Flush waits until Run has written all lines and returned, but only for a short time.
func (l *Log) Flush() {
	select {
	case <-l.done:
	case <-time.After(flushTimeout):
	}
}

// EventLogger returns the logger for changes of state and for errors.
func (l *Log) EventLogger() logr.Logger {
	return l.newLogger(queueLength)
}

// RequestLogger returns the logger for lines on single requests.
func (l *Log) RequestLogger() logr.Logger {
	return l.newLogger(int(requestFraction * queueLength))
}

func (l *Log) newLogger(maxQueued int) logr.Logger {
	return funcr.NewJSON(func(line string) { l.enqueue(line, maxQueued) }, funcr.Options{LogTimestamp: true})
}

func (l *Log) enqueue(line string, maxQueued int) {
	if len(l.lines) >= maxQueued {
		l.dropped.Add(1)
		return
	}
	select {
	case l.lines <- line:
	default:
		l.dropped.Add(1)
	}
}

func (l *Log) writeLines(ctx context.Context) {
	defer close(l.done)
	for {
		select {
		case line := <-l.lines:
			l.write(line)
			l.writeBatch(ctx)
		case <-ctx.Done():
			l.writeQueued()
			return
		}
	}
}

// writeBatch writes lines to the buffer during batchDelay, and then flushes the buffer.
func (l *Log) writeBatch(ctx context.Context) {
	timer := time.NewTimer(batchDelay)
	defer timer.Stop()
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		case <-timer.C:
			l.flush()
			return
		case <-ctx.Done():
			return
		}
	}
}

func (l *Log) writeQueued() {
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		default:
			l.flush()
			return
		}
	}
}

func (l *Log) flush() {
	if n := l.dropped.Swap(0); n > 0 {
		l.write(fmt.Sprintf(`{"logger":"eventlog","level":0,"msg":"log lines dropped","count":%d}`, n))
	}
	// An error is ignored, since there is no other place to report errors of the log.
	_ = l.out.Flush()
}

func (l *Log) write(line string) {
	_, _ = l.out.WriteString(line)
	_ = l.out.WriteByte('\n')
}
