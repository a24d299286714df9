package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	maxStandInBody    = 16 << 20
	readHeaderTimeout = 5 * time.Second
)

// Effect is what the stand-in replies: what it was asked, and the how-manieth run of that body it was.
type Effect struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query"`
	Body   string `json:"body"`
	Run    int    `json:"run"`
}

// StandIn is a small plain service that counts how often each body arrived.
type StandIn struct {
	// Listen opens the address; tests replace it.
	Listen func(address string) (net.Listener, error)
	// Delay is how long each call takes.
	Delay time.Duration

	mu      sync.Mutex
	runs    map[string]int
	server  *http.Server
	address string
}

// NewStandIn returns a stand-in that answers at once.
func NewStandIn() *StandIn {
	return &StandIn{
		Listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		runs:   map[string]int{},
	}
}

// Start listens on address (host:port, port 0 for any).
func (s *StandIn) Start(address string) error {
	ln, err := s.Listen(address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.address = ln.Addr().String()
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: readHeaderTimeout}
	server := s.server
	go func() { _ = server.Serve(ln) }()
	return nil
}

// Address returns host:port of the listener.
func (s *StandIn) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Kill closes the listener and every connection at once.
func (s *StandIn) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.server != nil {
		_ = s.server.Close()
	}
}

// Doubled returns how many bodies ran more than once.
func (s *StandIn) Doubled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, runs := range s.runs {
		if runs > 1 {
			n++
		}
	}
	return n
}

func (s *StandIn) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStandInBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(s.Delay)
	key := fmt.Sprint(r.Method, " ", r.URL.RequestURI(), " ", string(body))
	s.mu.Lock()
	s.runs[key]++
	run := s.runs[key]
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Effect{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Body: string(body), Run: run})
}
