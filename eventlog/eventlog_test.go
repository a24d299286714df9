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

// gate is a writer that stands still until it is opened.
type gate struct {
	open chan struct{}
	once sync.Once

	mu  sync.Mutex
	buf bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(b)
}

func (g *gate) lines(t *testing.T) []map[string]any {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []map[string]any
	for _, line := range strings.Split(strings.TrimSpace(g.buf.String()), "\n") {
		var m map[string]any
		if err := json.Unmarshal([]byte(line), &m); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		list = append(list, m)
	}
	return list
}

// A writer that does not take anything must not hold up those who log; what is dropped is counted, and lines on requests
// leave room for events.
func TestLoggingNeverBlocks(t *testing.T) {
	const many = 20000
	g := &gate{open: make(chan struct{})}
	l := eventlog.New(g)
	ctx, end := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx)
	}()
	requests, events := l.Requests(), l.Events()
	for i := range many {
		requests.Info("request", "id", i)
	}
	events.Info("event", "what", "kept")
	g.once.Do(func() { close(g.open) })
	end()
	<-done
	written, dropped, kept := 0, 0.0, false
	for _, line := range g.lines(t) {
		switch line["msg"] {
		case "request":
			written++
		case "event":
			kept = true
		case "log lines dropped":
			dropped += line["count"].(float64)
		}
	}
	if written+int(dropped) != many || dropped == 0 {
		t.Errorf("%d lines written and %v counted as dropped of %d", written, dropped, many)
	}
	if !kept {
		t.Error("an event was dropped for requests")
	}
}
