//go:build review

package harness

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/platform"
	"github.com/dunlinquay/dunlinquay/roster"
)

// Worker is a sound worker of a plain service, by PROTOCOL.md.
type Worker struct {
	ID      string
	Service ident.Service
	Hall    ident.Hall
	Slots   int
	Work    time.Duration
	// OnRequest is called for each request that arrives for this worker, before it is admitted.
	OnRequest func(w *Worker, id string)
	// OnRun is called when work on a request starts.
	OnRun func(w *Worker, id string)
	// Answer writes the answer instead of the usual one, if it is set and returns true.
	Answer func(w *Worker, rw http.ResponseWriter, r *http.Request, body []byte) bool

	site     *Site
	address  string
	server   *http.Server
	sequence uint64
	leaving  atomic.Bool
	stopBeat chan struct{}
	once     sync.Once

	mu      sync.Mutex
	running int
	// beatURL is the address that the last acknowledgement named.
	beatURL string
	next    int
}

// StartWorker starts a worker that registers at the site.
func (s *Site) StartWorker(w *Worker) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.site, w.address, w.stopBeat = s, ln.Addr().String(), make(chan struct{})
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(ln) }()
	go w.beatLoop()
	return nil
}

// Address is where the worker listens.
func (w *Worker) Address() string { return w.address }

func (w *Worker) beatLoop() {
	for {
		select {
		case <-w.stopBeat:
			return
		default:
		}
		w.Beat()
		select {
		case <-w.stopBeat:
			return
		case <-time.After(HeartbeatEvery):
		}
	}
}

// report returns the next heartbeat.
func (w *Worker) report() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	return platform.EncodeReport(&roster.Report{Sequence: w.sequence, Upstream: roster.Upstream{
		ID: ident.Incarnation(w.ID), Service: w.Service, Address: w.address, Hall: w.Hall, Slots: w.Slots,
	}})
}

// Beat sends a heartbeat to one daemon after another until one acknowledges it, and returns that daemon.
func (w *Worker) Beat() *Daemon {
	return w.post(platform.ReportPath(ident.Incarnation(w.ID)), w.report())
}

// SignOff sends the message that the worker is gone, and returns the daemon that acknowledged it.
func (w *Worker) SignOff() *Daemon {
	return w.post(platform.SignOffPath(ident.Incarnation(w.ID)), nil)
}

// StopBeats ends the heartbeats.
func (w *Worker) StopBeats() { w.once.Do(func() { close(w.stopBeat) }) }

// Leave makes the worker say in its answers that it is leaving.
func (w *Worker) Leave() { w.leaving.Store(true) }

// Close ends the worker at once.
func (w *Worker) Close() {
	w.StopBeats()
	_ = w.server.Close()
}

func (w *Worker) post(path string, body []byte) *Daemon {
	w.mu.Lock()
	named := w.beatURL
	w.mu.Unlock()
	for range len(w.site.Controls) + 1 {
		target := named
		if target == "" {
			w.mu.Lock()
			target = w.site.Controls[w.next%len(w.site.Controls)].Settings.Listen.Control
			w.next++
			w.mu.Unlock()
		}
		status, answer, err := Call(http.MethodPost, "http://"+target+path, body, time.Second)
		if err == nil && status/100 == 2 {
			w.noteAnswer(answer)
			for _, d := range w.site.Controls {
				if d.Settings.Listen.Control == target {
					return d
				}
			}
			return nil
		}
		named = ""
		w.mu.Lock()
		w.beatURL = ""
		w.mu.Unlock()
	}
	return nil
}

// noteAnswer keeps the address that an acknowledgement names, its only text.
func (w *Worker) noteAnswer(answer []byte) {
	var fields map[string]any
	if json.Unmarshal(answer, &fields) != nil {
		return
	}
	for _, v := range fields {
		if text, ok := v.(string); ok && text != "" {
			w.mu.Lock()
			w.beatURL = strings.TrimPrefix(text, "http://")
			w.mu.Unlock()
		}
	}
}

func (w *Worker) takeSlot() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	// A worker works on its slots and queues a few more.
	if w.running >= 5*w.Slots {
		return false
	}
	w.running++
	return true
}

func (w *Worker) freeSlot() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running--
}

// queued returns how many requests there are for each slot, at least 1.
func (w *Worker) crowd() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(1, float64(w.running)/float64(w.Slots))
}

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	names := platform.HeaderNames()
	id := r.Header.Get(names.RequestID)
	if id != "" {
		rw.Header().Set(names.RequestID, id)
	}
	if w.leaving.Load() {
		rw.Header().Set("Connection", "close")
	}
	if r.URL.Path == HealthPath {
		rw.Header().Set("X-Instance-Id", w.ID)
		if w.leaving.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if expected := r.Header.Get(names.Incarnation); expected != "" && expected != w.ID {
		rw.Header().Set(names.NotRun, "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if w.OnRequest != nil {
		w.OnRequest(w, id)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !w.takeSlot() {
		rw.Header().Set(names.NotRun, "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer w.freeSlot()
	if w.OnRun != nil {
		w.OnRun(w, id)
	}
	if w.Answer != nil && w.Answer(w, rw, r, body) {
		return
	}
	time.Sleep(time.Duration(w.crowd() * float64(w.Work)))
	rw.Header().Set(names.Signature, "s-"+w.ID+"-"+id)
	fmt.Fprintf(rw, "answer to %s", id)
}

// HealthPath is where a worker answers health checks.
const HealthPath = "/healthz"
