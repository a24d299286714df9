package engine

// StandIn replaces a model engine in the demo, in tests and in manual trials.
// Its answer is derived from the prompt, so that a caller can detect a
// fragment or another request's answer:
//
//	token i = first six hex digits of xxhash(prompt, i), and a space
//
// Faults are injected by fields and methods. StandIn does not simulate a
// cluster: all that it knows of other VMs is the result of PeersPresent.

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

// StandIn is one stand-in engine. Set the exported fields before Start; the atomic ones may change later.
type StandIn struct {
	*standin.Server
	// Slots is the number of requests that run at once; further requests wait.
	Slots int
	// TokenTime is the time to generate one token, PrefillTime to process a prompt, LoadTime to load a model.
	TokenTime   time.Duration
	PrefillTime time.Duration
	LoadTime    time.Duration
	// ChecksOrders makes the engine refuse orders of older leaders.
	ChecksOrders bool
	// PeersPresent reports whether all members of the replica are running; nil counts as true.
	PeersPresent func(members []string) bool
	// OnRun is called for each request that starts to run.
	OnRun func(id ident.Request, prompt string)
	// CutAfterTokens is the number of tokens after which each stream is broken off; 0 disables it.
	CutAfterTokens atomic.Int64
	// Foreign makes answers contain another request's ID.
	Foreign atomic.Bool
	// RequestsPerSecond is the advertised limit in requests per second; 0 advertises none.
	RequestsPerSecond atomic.Int64
	// Refuse makes the engine refuse every generate request as not run.
	Refuse atomic.Bool

	mu            sync.Mutex
	incarnation   ident.Incarnation
	state         State
	joinOrder     Order
	fence         Fence
	loadedModel   string
	readyAt       time.Time
	cancels       map[ident.Request]context.CancelFunc
	slots         chan struct{}
	paused        chan struct{}
	events        []CacheEvent
	firstSequence uint64
	running       atomic.Int64
	queued        atomic.Int64
}

// NewStandIn returns a stand-in that has four slots, checks orders and generates a token per millisecond.
func NewStandIn() *StandIn {
	return &StandIn{
		Server:        standin.NewServer(),
		Slots:         4,
		TokenTime:     time.Millisecond,
		ChecksOrders:  true,
		OnRun:         func(ident.Request, string) {},
		cancels:       map[ident.Request]context.CancelFunc{},
		firstSequence: 1,
	}
}

// Start listens on address (host:port; port 0 selects a free port) with a new incarnation and no model loaded.
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

// Pause makes calls and running answers block until Resume, as on a frozen machine.
func (s *StandIn) Pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused == nil {
		s.paused = make(chan struct{})
	}
}

// Resume continues the paused calls.
func (s *StandIn) Resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.paused != nil {
		close(s.paused)
		s.paused = nil
	}
}

// SetLeaving sets whether the engine reports that it is leaving.
func (s *StandIn) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Leaving = leaving
}

// Fence returns the fence of the last order that the stand-in did not refuse as fenced.
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

// Handler serves the engine's HTTP interface.
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

// finishLoad changes the phase from loading to ready once the load time has elapsed. The caller holds mu.
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
		writeJSON(w, http.StatusConflict, Refusal{Reason: fmt.Sprintf("already in epoch %d", s.state.Epoch)})
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

// admit returns the refusal of a request that the stand-in does not run, or nil.
func (s *StandIn) admit(g *GenerateRequest) *Refusal {
	s.mu.Lock()
	s.finishLoad()
	st, joinOrder := s.state, s.joinOrder
	s.mu.Unlock()
	switch {
	case s.Refuse.Load():
		return &Refusal{NotRun: true, Reason: "refusal is switched on"}
	case st.Epoch != g.Epoch || st.Group != g.Group:
		return &Refusal{NotRun: true, WrongEpoch: true, Reason: fmt.Sprintf("in group %q epoch %d", st.Group, st.Epoch)}
	case st.Phase != PhaseReady:
		return &Refusal{NotRun: true, Reason: "engine is not ready"}
	case joinOrder.Rank != 0:
		return &Refusal{NotRun: true, Reason: "engine is not the first member of the replica"}
	case s.PeersPresent != nil && !s.PeersPresent(joinOrder.Members):
		return &Refusal{NotRun: true, Reason: "a member of the replica is absent"}
	}
	return nil
}

func (s *StandIn) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var g GenerateRequest
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

func (s *StandIn) run(ctx context.Context, w http.ResponseWriter, g *GenerateRequest) {
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
	ratelimit.SetHeader(w.Header(), ratelimit.Rate(s.RequestsPerSecond.Load()))
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	cutAfter := int(s.CutAfterTokens.Load())
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

// ExpectedToken returns token i, counted from 0, of a stand-in's answer to prompt.
func ExpectedToken(prompt []byte, i int) string {
	h := xxhash.New()
	_, _ = h.Write(prompt)
	_, _ = h.WriteString(strconv.Itoa(i))
	return fmt.Sprintf("%016x", h.Sum64())[:tokenDigits] + " "
}

// ExpectedText returns a stand-in's complete answer of n tokens to prompt.
func ExpectedText(prompt []byte, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(ExpectedToken(prompt, i))
	}
	return b.String()
}
