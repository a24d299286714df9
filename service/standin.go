package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/standin"
)

const maxStandInBodyBytes = 16 << 20

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
	*standin.Server
	// Delay is how long each call takes.
	Delay time.Duration
	// Limit is how many calls a second it names as its limit; 0 names none.
	Limit ratelimit.Rate
	// OnCall is told of each call; it must not block.
	OnCall func()

	mu   sync.Mutex
	runCounts map[string]int
}

// NewStandIn returns a stand-in that answers at once.
func NewStandIn() *StandIn {
	return &StandIn{Server: standin.NewServer(), OnCall: func() {}, runCounts: map[string]int{}}
}

// Start listens on address (host:port, port 0 for any).
func (s *StandIn) Start(address string) error {
	return s.Serve(address, http.HandlerFunc(s.serve))
}

// Doubled returns how many bodies ran more than once.
func (s *StandIn) Doubled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, runs := range s.runCounts {
		if runs > 1 {
			n++
		}
	}
	return n
}

func (s *StandIn) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStandInBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.OnCall()
	time.Sleep(s.Delay)
	call := fmt.Sprint(r.Method, " ", r.URL.RequestURI(), " ", string(body))
	s.mu.Lock()
	s.runCounts[call]++
	run := s.runCounts[call]
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	ratelimit.SetHeader(w.Header(), s.Limit)
	_ = json.NewEncoder(w).Encode(Effect{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Body: string(body), Run: run})
}
