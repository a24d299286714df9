package engine

// StandIn is a small stand-in of a model engine for the demo, the tests and
// trying things by hand. Its answer to a prompt is derived from the prompt, so
// that anyone can tell a whole answer from a fragment or a stranger's:
//
//	token i = first six hex digits of xxhash(prompt, i), and a space
//
// Faults are switches. It is not a simulator: it knows nothing of other VMs
// but what PeersPresent tells it.

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/standin"
)

const (
	maxOrderBytes    = 1 << 20
	maxGenerateBytes = 64 << 20
	maxEvents        = 4096
)

// StandIn is one stand-in engine; exported fields are set before Start.
type StandIn struct {
	*standin.Server
	// Slots is how many requests run at once; more wait.
	Slots int
	// TokenTime is the time for one token, PrefillTime for the prompt, LoadTime for the weights.
	TokenTime   time.Duration
	PrefillTime time.Duration
	LoadTime    time.Duration
	// ChecksOrders makes it refuse the orders of older leaders.
	ChecksOrders bool
	// PeersPresent tells whether all members of the replica are there; nil means they are.
	PeersPresent func(members []string) bool
	// OnRun is told of each request that starts to run.
	OnRun func(id ident.Request, prompt string)
	// CutAfter breaks each stream after so many tokens; 0 never does.
	CutAfter atomic.Int64
	// Foreign makes it answer with another request's id.
	Foreign atomic.Bool
	// Limit is how many requests a second it names as its limit; 0 names none.
	Limit atomic.Int64
	// Refuse makes it refuse every request as not run.
	Refuse atomic.Bool

	mu          sync.Mutex
	incarnation ident.Incarnation
	state       State
	joinOrder       Order
	fence       Fence
	loadedModel      string
	readyAt     time.Time
	cancels     map[ident.Request]context.CancelFunc
	slots       chan struct{}
	paused      chan struct{}
	events      []CacheEvent
	firstSequence  uint64
	running     atomic.Int64
	queued      atomic.Int64
}

// NewStandIn returns a stand-in with four slots and quick tokens.
func NewStandIn() *StandIn {
	return &StandIn{
		Server:       standin.NewServer(),
		Slots:        4,
		TokenTime:    time.Millisecond,
		ChecksOrders: true,
		OnRun:        func(ident.Request, string) {},
		cancels:      map[ident.Request]context.CancelFunc{},
		firstSequence:   1,
	}
}

// Start listens on address (host:port, port 0 for any) with a new incarnation and nothing loaded.
func (s *StandIn) Start(address string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.Serve(address, s.Handler()); err != nil {
		return err
	}
	s.incarnation = ident.NewIncarnation()
	s.state = State{Phase: PhaseIdle}
	s.fence = Fence{}
	s.loadedModel = ""
	s.slots = make(chan struct{}, s.Slots)
	return nil
}

// Pause makes every call hang until Resume, as a frozen machine does.
func (s *StandIn) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused == nil {
		s.paused = make(chan struct{})
	}
}

// Resume lets paused calls go on as if nothing had happened.
func (s *StandIn) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused != nil {
		close(s.paused)
		s.paused = nil
	}
}

// SetLeaving makes the engine say of itself that it leaves.
func (s *StandIn) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Leaving = leaving
}

// Fence returns the highest fence that the stand-in has obeyed.
func (s *StandIn) Fence() Fence {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fence
}

func (s *StandIn) waitWhilePaused() {
	s.mu.Lock()
	paused := s.paused
	s.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

// Handler returns the HTTP interface.
func (s *StandIn) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathState, s.handleState)
	mux.HandleFunc("POST "+PathOrders, s.handleOrder)
	mux.HandleFunc("POST "+PathGenerate, s.handleGenerate)
	mux.HandleFunc("POST "+PathCancel, s.handleCancel)
	mux.HandleFunc("GET "+PathEvents, s.handleEvents)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.waitWhilePaused()
		mux.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *StandIn) handleState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.finishLoad()
	st := s.state
	st.Incarnation = s.incarnation
	s.mu.Unlock()
	st.Slots = s.Slots
	st.Running = int(s.running.Load())
	st.Queued = int(s.queued.Load())
	writeJSON(w, http.StatusOK, st)
}

// finishLoad ends a load whose time has come.
func (s *StandIn) finishLoad() {
	if s.state.Phase == PhaseLoading && !time.Now().Before(s.readyAt) {
		s.state.Phase = PhaseReady
	}
}

func (s *StandIn) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&o); err != nil {
		writeJSON(w, http.StatusBadRequest, Refusal{Reason: err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ChecksOrders && o.Fence.Less(s.fence) {
		writeJSON(w, StatusFenced, Refusal{Reason: fmt.Sprintf("fence %v is older than %v", o.Fence, s.fence)})
		return
	}
	s.fence = o.Fence
	if o.Kind == OrderLeave {
		s.leave(w, &o)
		return
	}
	s.join(w, &o)
}

func (s *StandIn) leave(w http.ResponseWriter, o *Order) {
	if s.state.Epoch == o.Epoch {
		s.state.Group, s.state.Epoch, s.state.Phase = "", 0, PhaseIdle
	}
	writeJSON(w, http.StatusOK, OrderAnswer{Incarnation: s.incarnation, Done: true})
}

func (s *StandIn) join(w http.ResponseWriter, o *Order) {
	if s.state.Epoch > o.Epoch {
		writeJSON(w, http.StatusConflict, Refusal{Reason: fmt.Sprintf("joined epoch %d already", s.state.Epoch)})
		return
	}
	if s.state.Epoch != o.Epoch {
		model := fmt.Sprint(o.Model, o.Version, o.Adapters)
		s.state.Group, s.state.Epoch, s.state.Phase = o.Group, o.Epoch, PhaseLoading
		s.joinOrder = *o
		s.readyAt = time.Now()
		if s.loadedModel != model {
			s.readyAt = s.readyAt.Add(s.LoadTime)
			s.loadedModel = model
		}
	}
	s.finishLoad()
	writeJSON(w, http.StatusOK, OrderAnswer{Incarnation: s.incarnation, Done: s.state.Phase == PhaseReady})
}

func (s *StandIn) handleCancel(w http.ResponseWriter, r *http.Request) {
	var c struct {
		Request ident.Request `json:"request"`
	}
	_ = json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrderBytes)).Decode(&c)
	s.mu.Lock()
	if cancel, ok := s.cancels[c.Request]; ok {
		cancel()
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *StandIn) handleEvents(w http.ResponseWriter, r *http.Request) {
	first, _ := strconv.ParseUint(r.URL.Query().Get("first"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	first = max(first, s.firstSequence)
	skip := min(int(first-s.firstSequence), len(s.events))
	writeJSON(w, http.StatusOK, CacheEvents{First: first, Events: slices.Clone(s.events[skip:])})
}

func (s *StandIn) appendCacheEvents(prefixes []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range prefixes {
		s.events = append(s.events, CacheEvent{Prefix: p})
	}
	if excess := len(s.events) - maxEvents; excess > 0 {
		s.events = slices.Clone(s.events[excess:])
		s.firstSequence += uint64(excess)
	}
}

// admit checks everything that lets the stand-in refuse a request as not run.
func (s *StandIn) admit(g *Generate) *Refusal {
	s.mu.Lock()
	s.finishLoad()
	st, joinOrder := s.state, s.joinOrder
	s.mu.Unlock()
	switch {
	case s.Refuse.Load():
		return &Refusal{NotRun: true, Reason: "told to refuse"}
	case st.Epoch != g.Epoch || st.Group != g.Group:
		return &Refusal{NotRun: true, Epoch: true, Reason: fmt.Sprintf("in group %q epoch %d", st.Group, st.Epoch)}
	case st.Phase != PhaseReady:
		return &Refusal{NotRun: true, Reason: "still loading"}
	case joinOrder.Rank != 0:
		return &Refusal{NotRun: true, Reason: "not the first member"}
	case s.PeersPresent != nil && !s.PeersPresent(joinOrder.Members):
		return &Refusal{NotRun: true, Reason: "a member of the replica is absent"}
	}
	return nil
}

func (s *StandIn) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var g Generate
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxGenerateBytes)).Decode(&g); err != nil {
		writeJSON(w, http.StatusBadRequest, Refusal{NotRun: true, Reason: err.Error()})
		return
	}
	if refusal := s.admit(&g); refusal != nil {
		writeJSON(w, http.StatusServiceUnavailable, refusal)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	s.mu.Lock()
	s.cancels[g.Request] = cancel
	slots := s.slots
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.cancels, g.Request)
		s.mu.Unlock()
	}()
	s.queued.Add(1)
	select {
	case slots <- struct{}{}:
		s.queued.Add(-1)
	case <-ctx.Done():
		s.queued.Add(-1)
		return
	}
	defer func() { <-slots }()
	s.run(ctx, w, &g)
}

func (s *StandIn) run(ctx context.Context, w http.ResponseWriter, g *Generate) {
	s.running.Add(1)
	defer s.running.Add(-1)
	s.OnRun(g.Request, string(g.Prompt))
	s.appendCacheEvents(g.Prefixes)
	if !sleep(ctx, s.PrefillTime) {
		return
	}
	id := g.Request
	if s.Foreign.Load() {
		id = "somebody-else"
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	ratelimit.SetHeader(w.Header(), ratelimit.Rate(s.Limit.Load()))
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	cutAfter := int(s.CutAfter.Load())
	for i := g.From; i < int(g.MaxTokens); i++ {
		if cutAfter > 0 && i-g.From >= cutAfter {
			panic(http.ErrAbortHandler)
		}
		s.waitWhilePaused()
		if !sleep(ctx, s.TokenTime) {
			return
		}
		if encoder.Encode(Token{Request: id, Epoch: g.Epoch, N: i, Text: ExpectedToken(g.Prompt, i)}) != nil {
			return
		}
		if s.TokenTime > 0 {
			_ = controller.Flush()
		}
	}
	_ = encoder.Encode(Token{
		Request: id, Epoch: g.Epoch, N: max(int(g.MaxTokens), g.From), Done: true, Finish: "stop",
		PromptTokens: len(strings.Fields(string(g.Prompt))),
	})
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

const tokenDigits = 6

// ExpectedToken returns the i-th token that a stand-in answers to prompt.
func ExpectedToken(prompt []byte, i int) string {
	h := xxhash.New()
	_, _ = h.Write(prompt)
	_, _ = h.WriteString(strconv.Itoa(i))
	return fmt.Sprintf("%016x", h.Sum64())[:tokenDigits] + " "
}

// ExpectedText returns the whole answer of n tokens that a stand-in gives to prompt.
func ExpectedText(prompt []byte, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(ExpectedToken(prompt, i))
	}
	return b.String()
}
