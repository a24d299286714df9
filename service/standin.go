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

// StandInReply is the body of the stand-in's reply: the call as received, and how often the same call has run so far.
type StandInReply struct {
	Method   string `json:"method"`
	Path     string `json:"path"`
	Query    string `json:"query"`
	Body     string `json:"body"`
	RunCount int    `json:"run"`
}

// StandIn is a plain HTTP service that counts how often it ran each call (same method, URI and body).
type StandIn struct {
	*standin.Server
	// Delay is the processing time of each call.
	Delay time.Duration
	// Limit is the advertised limit in calls per second; 0 advertises none.
	Limit ratelimit.Rate
	// OnCall is run for each call before Delay; it must not block.
	OnCall func()

	mu        sync.Mutex
	runCounts map[string]int
}

// NewStandIn returns a stand-in without delay and limit.
func NewStandIn() *StandIn {
	return &StandIn{Server: standin.NewServer(), OnCall: func() {}, runCounts: map[string]int{}}
}

// Start listens on address (host:port; port 0 selects a free port).
func (s *StandIn) Start(address string) error {
	return s.Serve(address, http.HandlerFunc(s.serve))
}

// RepeatedCalls returns the number of distinct calls that ran more than once.
func (s *StandIn) RepeatedCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, count := range s.runCounts {
		if count > 1 {
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
	_ = json.NewEncoder(w).Encode(StandInReply{Method: r.Method, Path: r.URL.Path, Query: r.URL.RawQuery, Body: string(body), RunCount: run})
}
