package eventlog

// Logging must not slow requests down, and under load it must not grow without
// bound. Lines go through a queue of fixed length to one goroutine; when the
// queue is full a line is dropped, and how many were dropped is written once
// there is room again. An error or a change of state is kept rather than the
// line of one more request: requests may use only part of the queue.

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
	// requestPart is the part of the queue that lines on single requests may fill.
	requestPart = 0.75
	// writeBuffer gathers the lines of one moment into one write.
	writeBuffer = 16 << 10
	// gatherTime is how long a line may wait for others; a write costs more than a line.
	gatherTime = 100 * time.Millisecond
	// drainTime bounds the wait for the last lines at the end.
	drainTime = 200 * time.Millisecond
)

// Log writes lines to one writer.
type Log struct {
	tasks   *park.Group
	lines   chan string
	dropped atomic.Uint64
	out     *bufio.Writer
	ended   chan struct{}
}

// New returns a log that writes to w once Run is called.
func New(w io.Writer) *Log {
	l := &Log{tasks: park.New(), lines: make(chan string, queueLength), out: bufio.NewWriterSize(w, writeBuffer), ended: make(chan struct{})}
	l.tasks.Go(func(ctx context.Context) { l.loop(ctx) })
	return l
}

// Run writes lines until ctx ends, and then what is still queued.
func (l *Log) Run(ctx context.Context) {
	l.tasks.Run(ctx)
}

// Flush waits for a moment until Run has ended and everything is written.
func (l *Log) Flush() {
	select {
	case <-l.ended:
	case <-time.After(drainTime):
	}
}

// Events returns the logger for changes of state and for errors.
func (l *Log) Events() logr.Logger {
	return l.logger(queueLength)
}

// Requests returns the logger for lines on single requests.
func (l *Log) Requests() logr.Logger {
	return l.logger(int(requestPart * queueLength))
}

func (l *Log) logger(limit int) logr.Logger {
	return funcr.NewJSON(func(line string) { l.add(line, limit) }, funcr.Options{LogTimestamp: true})
}

func (l *Log) add(line string, limit int) {
	if len(l.lines) >= limit {
		l.dropped.Add(1)
		return
	}
	select {
	case l.lines <- line:
	default:
		l.dropped.Add(1)
	}
}

func (l *Log) loop(ctx context.Context) {
	defer close(l.ended)
	for {
		select {
		case line := <-l.lines:
			l.write(line)
			l.gather(ctx)
		case <-ctx.Done():
			l.drain()
			return
		}
	}
}

// gather writes what comes within a moment and flushes it together.
func (l *Log) gather(ctx context.Context) {
	timer := time.NewTimer(gatherTime)
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

func (l *Log) drain() {
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
	// There is nowhere to report that the log itself can't be written.
	_ = l.out.Flush()
}

func (l *Log) write(line string) {
	_, _ = l.out.WriteString(line)
	_ = l.out.WriteByte('\n')
}
