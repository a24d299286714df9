package soak

// Stand-ins of upstreams: model engines that form groups by orders, and plain
// services. They speak what the adapter of the platform speaks, and tell the
// truth what they run.

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/platform"
	"github.com/dunlinquay/dunlinquay/replicaset"
	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	reportEvery = 300 * time.Millisecond
	reportLimit = time.Second
	rejoinTime  = 30 * time.Millisecond
	warmTime    = 100 * time.Millisecond
	loadTime    = 500 * time.Millisecond
	// standTime is how long a group without a member stands still until it is broken.
	standTime = 2 * time.Second
	eventTime = 15 * time.Millisecond
	workTime  = 10 * time.Millisecond
	slots     = 16
	// drainTime is how long an upstream serves after its leaving was acknowledged, drainGrace when it must get nothing new.
	drainTime  = 4 * time.Second
	drainGrace = 3 * time.Second
)

// modelService and plainService are the two services of the soak.
const (
	modelService ident.Service = "model"
	plainService ident.Service = "plain"
)

var models = []httproute.Model{
	{Name: "large", Size: 4, Share: 0.6, Pace: 1, Load: loadTime, Warm: warmTime},
	{Name: "small", Size: 2, Share: 0.4, Pace: 1, Load: loadTime, Warm: warmTime},
}

// engine is one life of an upstream; a plain one has no models.
type engine struct {
	id      ident.Incarnation
	service ident.Service
	hall    ident.Hall
	domain  ident.Domain
	truth   *truth
	reports func() []string
	ctx     context.Context
	end     context.CancelFunc
	link    *link
	changed chan struct{}

	mu       sync.Mutex
	gone     bool
	draining bool
	// drained is when a control daemon acknowledged that this upstream leaves.
	drained  time.Time
	member   roster.Membership
	members  []ident.Incarnation
	model    ident.Model
	last     ident.Model
	staged   ident.Model
	highest  ident.Epoch
	sequence uint64
	running  int
	// stood is since when the group stands still for want of a member.
	stood time.Time
	// loses is the part of the answers that are lost.
	loses    float64
	random   *rand.Rand
	wasReady map[membership]bool
	// watched is set when new work long after the acknowledged leaving breaks a promise.
	watched bool
}

func newEngine(ctx context.Context, t *truth, id ident.Incarnation, service ident.Service, place int, reports func() []string) (*engine, error) {
	e := &engine{
		id: id, service: service, hall: ident.Hall(fmt.Sprintf("hall-%d", place)), domain: ident.Domain(fmt.Sprintf("domain-%d", place)),
		truth: t, reports: reports, changed: make(chan struct{}, 1), wasReady: map[membership]bool{}, random: rand.New(rand.NewPCG(hashOf(string(id)), 1)),
	}
	e.ctx, e.end = context.WithCancel(ctx)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if e.link, err = newLink(e.ctx, "127.0.0.1:0", ln.Addr().String()); err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.OrderPath, e.order)
	mux.HandleFunc("/", e.serve)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(e.ctx, func() { _ = server.Close() })
	go func() { _ = server.Serve(ln) }()
	go e.reportLoop()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.engines[id] = e
	return e, nil
}

func hashOf(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

func (e *engine) place() roster.Membership {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return roster.Membership{}
	}
	return e.member
}

// list returns the members of the group that the engine is in.
func (e *engine) list() []ident.Incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.members
}

// crash ends the upstream without a word.
func (e *engine) crash() {
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	e.end()
}

// drain announces the end, serves on for a while after that is acknowledged, signs off and ends.
func (e *engine) drain() {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	e.change()
	go func() {
		pause(e.ctx, drainTime)
		e.post(platform.LeavePath(e.id), nil)
		e.crash()
	}()
}

func (e *engine) change() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

func (e *engine) reportLoop() {
	for e.ctx.Err() == nil {
		e.breakUp()
		e.report()
		timer := time.NewTimer(reportEvery)
		select {
		case <-e.ctx.Done():
		case <-e.changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// breakUp notes that a group is broken when its head has stood still for long enough.
func (e *engine) breakUp() {
	whole := e.whole()
	e.mu.Lock()
	defer e.mu.Unlock()
	open := e.member.Rank == 0 && (e.member.State == roster.MemberOpen || e.member.State == roster.MemberClosing)
	switch {
	case whole || !open:
		e.stood = time.Time{}
	case e.stood.IsZero():
		e.stood = time.Now()
	case time.Since(e.stood) >= standTime:
		e.member.State = roster.MemberBroken
	}
}

func (e *engine) report() {
	e.mu.Lock()
	e.sequence++
	r := &roster.Report{Sequence: e.sequence, Upstream: roster.Upstream{
		ID: e.id, Service: e.service, Address: e.link.address(), Hall: e.hall, Domain: e.domain, Slots: slots, Draining: e.draining, Member: e.member,
	}}
	if e.last != "" && e.member.State != roster.MemberNone {
		r.Loaded = []ident.Model{e.last}
	}
	if e.staged != "" {
		r.Staged = []ident.Model{e.staged}
	}
	e.mu.Unlock()
	if e.post(platform.ReportPath(e.id), platform.EncodeReport(r)) && r.Draining {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.drained.IsZero() {
			e.drained = time.Now()
		}
	}
}

// post calls control daemons in turn until one acknowledges.
func (e *engine) post(path string, body []byte) bool {
	for _, address := range e.reports() {
		ctx, cancel := context.WithTimeout(e.ctx, reportLimit)
		status, _, err := call(ctx, http.MethodPost, "http://"+address+path, body)
		cancel()
		if err == nil && status == http.StatusOK {
			return true
		}
	}
	return false
}

// call makes one HTTP call over a connection of its own.
func call(ctx context.Context, method, url string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	o, err := platform.DecodeOrder(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	outcome := replicaset.OutcomeStranger
	if r.Header.Get(platform.Names().Incarnation) == string(e.id) {
		outcome = e.carryOut(o)
	}
	w.WriteHeader(platform.OrderStatus(outcome))
}

func (e *engine) carryOut(o *replicaset.Order) replicaset.Outcome {
	switch o.Action {
	case replicaset.ActionStage:
		e.later(loadTime, func() { e.staged = o.Model })
		return replicaset.OutcomeTaken
	case replicaset.ActionJoin:
		return e.join(o)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.member.Group != o.Group || e.member.Epoch != o.Epoch {
		return replicaset.OutcomeRefused
	}
	switch o.Action {
	case replicaset.ActionOpen:
		if e.member.State != roster.MemberReady && e.member.State != roster.MemberOpen {
			return replicaset.OutcomeRefused
		}
		e.member.State = roster.MemberOpen
	case replicaset.ActionClose:
		if e.member.State == roster.MemberOpen {
			e.member.State = roster.MemberClosing
			go e.finish(o.Epoch)
		}
	case replicaset.ActionLeave:
		e.member, e.members = roster.Membership{}, nil
	}
	e.change()
	return replicaset.OutcomeTaken
}

// finish makes a closing group ready again when its work is done.
func (e *engine) finish(epoch ident.Epoch) {
	for e.ctx.Err() == nil {
		pause(e.ctx, eventTime)
		e.mu.Lock()
		over := e.running == 0 || e.member.Epoch != epoch
		if over && e.member.Epoch == epoch && e.member.State == roster.MemberClosing {
			e.member.State = roster.MemberReady
		}
		e.mu.Unlock()
		if over {
			e.change()
			return
		}
	}
}

func (e *engine) join(o *replicaset.Order) replicaset.Outcome {
	e.mu.Lock()
	same := e.member.Group == o.Group && e.member.Epoch == o.Epoch
	low := o.Epoch < e.highest
	e.mu.Unlock()
	switch {
	case same:
		return replicaset.OutcomeTaken
	case low:
		return replicaset.OutcomeFenced
	}
	e.truth.joins(e, o.Group)
	e.mu.Lock()
	defer e.mu.Unlock()
	rank := 0
	for i, id := range o.Members {
		if id == e.id {
			rank = i
		}
	}
	e.highest, e.members, e.model = o.Epoch, o.Members, o.Model
	e.member = roster.Membership{Group: o.Group, Epoch: o.Epoch, Rank: rank, State: roster.MemberJoining}
	wait := loadTime
	switch o.Model {
	case e.last:
		wait = rejoinTime
	case e.staged:
		wait = warmTime
	}
	epoch := o.Epoch
	e.later(wait, func() {
		if e.member.Epoch != epoch || e.member.State != roster.MemberJoining {
			return
		}
		e.member.State = roster.MemberReady
		if e.last != o.Model && e.staged != o.Model {
			e.staged = o.Model
		}
		e.last = o.Model
		e.wasReady[membership{o.Group, epoch}] = true
	})
	e.change()
	return replicaset.OutcomeTaken
}

// ready reports whether the engine was ever ready in that group.
func (e *engine) ready(m membership) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.wasReady[m]
}

// later does something after a while, with the mutex held.
func (e *engine) later(wait time.Duration, do func()) {
	time.AfterFunc(wait, func() {
		if e.ctx.Err() != nil {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		do()
		e.change()
	})
}

// whole reports whether every member of the group is there and in it.
func (e *engine) whole() bool {
	e.mu.Lock()
	members, place := e.members, e.member
	e.mu.Unlock()
	for _, id := range members {
		e.truth.mu.Lock()
		other := e.truth.engines[id]
		e.truth.mu.Unlock()
		if other == nil {
			return false
		}
		if p := other.place(); p.Group != place.Group || p.Epoch != place.Epoch {
			return false
		}
	}
	return true
}

// standsStill waits while a member is missing, and reports whether the group is broken by it or gone.
func (e *engine) standsStill(r *http.Request, epoch ident.Epoch) bool {
	for limit := time.Now().Add(standTime); !e.whole(); {
		if time.Now().After(limit) || r.Context().Err() != nil {
			return true
		}
		pause(e.ctx, eventTime)
	}
	return e.place().Epoch != epoch
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	names := platform.Names()
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	epoch, admitted := e.admits(ident.Model(r.Header.Get(names.Model)))
	if r.Header.Get(names.Incarnation) != string(e.id) || !admitted {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !e.takeSlot() {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.freeSlot()
	if late := e.late(); late > 0 {
		e.truth.breaksf("%s gets request %s %v after its leaving was acknowledged", e.id, id, late)
	}
	// The body is read before work begins; a request that does not arrive whole does not run.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if e.service == plainService {
		e.servePlain(w, r, id)
		return
	}
	if e.standsStill(r, epoch) {
		w.Header().Set(names.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.serveStream(w, r, id, epoch)
}

// admits reports whether requests are for this upstream, and the epoch of the group that then works on them: engines take
// those for their model as head of an open group.
func (e *engine) admits(model ident.Model) (ident.Epoch, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.member.Epoch, e.service == plainService || e.member.State == roster.MemberOpen && e.member.Rank == 0 && e.model == model
}

// late returns how long after its acknowledged leaving the upstream is, once nothing new may come.
func (e *engine) late() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if after := time.Since(e.drained); e.watched && !e.drained.IsZero() && after > drainGrace {
		return after
	}
	return 0
}

func (e *engine) takeSlot() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running >= slots {
		return false
	}
	e.running++
	return true
}

func (e *engine) freeSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// loss reports whether this answer gets lost.
func (e *engine) loss() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Float64() < e.loses
}

func (e *engine) servePlain(w http.ResponseWriter, r *http.Request, id string) {
	e.truth.runs(id, e.id)
	pause(r.Context(), workTime)
	if e.loss() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(platform.Names().Signature, "s-"+string(e.id))
	_, _ = io.WriteString(w, plainBody(id))
}

// plainBody is the whole answer of the plain service.
func plainBody(id string) string {
	return fmt.Sprintf("%s:%x", id, hashOf(id))
}

// eventsOf is the number of events of a request's stream.
func eventsOf(id string) int {
	return 3 + int(hashOf(id)%20)
}

// eventOf is one event of it.
func eventOf(id string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %x\n\n", n, hashOf(id+"/"+strconv.Itoa(n)))
}

func (e *engine) serveStream(w http.ResponseWriter, r *http.Request, id string, epoch ident.Epoch) {
	model, _ := (&httproute.Engine{Models: models}).Model(ident.Model(r.Header.Get(platform.Names().Model)))
	e.truth.serves(e, model.Size)
	e.truth.runs(id, e.id)
	// A stream that starts anew has no last event.
	last, _ := strconv.Atoi(r.Header.Get(platform.Names().EventID))
	w.Header().Set(platform.Names().Signature, "s-"+string(e.id))
	w.Header().Set("Content-Type", "text/event-stream")
	for n := last + 1; n <= eventsOf(id); n++ {
		pause(r.Context(), eventTime)
		if r.Context().Err() != nil || e.standsStill(r, epoch) || e.loss() {
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, eventOf(id, n)); err != nil {
			return
		}
		// A caller that is gone shows in the next event.
		_ = http.NewResponseController(w).Flush()
	}
}
