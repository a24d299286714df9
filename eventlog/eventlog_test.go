package eventlog_test

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"

	"github.com/dunlinquay/dunlinquay/eventlog"
)

// blockedWriter is a writer whose Write blocks until unblocked is closed.
type blockedWriter struct {
	unblocked chan struct{}
	once      sync.Once

	mu  sync.Mutex
	buf bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblocked
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(b)
}

func (w *blockedWriter) lines(t *testing.T) []map[string]any {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	var lines []map[string]any
	for _, line := range strings.Split(strings.TrimSpace(w.buf.String()), "\n") {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		lines = append(lines, fields)
	}
	return lines
}

// A blocked writer must not block the code that logs. Dropped lines are counted, and lines on requests leave space in the queue for events.
func TestLoggingNeverBlocks(t *testing.T) {
	const lineCount = 20000
	writer := &blockedWriter{unblocked: make(chan struct{})}
	log := eventlog.New(writer)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		log.Run(ctx)
	}()
	requests, events := log.RequestLogger(), log.EventLogger()
	for i := range lineCount {
		requests.Info("request", "id", i)
	}
	events.Info("event", "what", "kept")
	writer.once.Do(func() { close(writer.unblocked) })
	cancel()
	<-done
	written, dropped, eventWritten := 0, 0.0, false
	for _, line := range writer.lines(t) {
		switch line["msg"] {
		case "request":
			written++
		case "event":
			eventWritten = true
		case "log lines dropped":
			dropped += line["count"].(float64)
		}
	}
	if written+int(dropped) != lineCount || dropped == 0 {
		t.Errorf("%d lines written and %v counted as dropped, want %d together and some dropped", written, dropped, lineCount)
	}
	if !eventWritten {
		t.Error("lines on requests displaced an event")
	}
}
