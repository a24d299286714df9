package soak

// Stand-ins of upstreams: model engines that form groups by orders (orders.go),
// and plain services. They speak what the adapter of the platform speaks, and
// tell the truth what they run (serve.go).

import (
	"bytes"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/platform"
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
	// shortEventTime is the time between two events of a stream, unless the plan is one of stops.
	shortEventTime = 15 * time.Millisecond
	workTime       = 10 * time.Millisecond
	slots          = 16
	// drainTime is how long an upstream serves after its leaving was acknowledged, drainGrace when it must get nothing new.
	drainTime  = 4 * time.Second
	drainGrace = 3 * time.Second
	// maxWorkTime bounds how long an upstream that leaves stays for work in progress.
	maxWorkTime = 10 * time.Second
)

// modelService and plainService are the two services of the soak.
const (
	modelService ident.Service = "model"
	plainService ident.Service = "plain"
)

var models = []httproute.Model{
	{Name: "large", Size: 4, InitialShare: 0.6, TimeFactor: 1, LoadTime: loadTime, WarmLoadTime: warmTime},
	{Name: "small", Size: 2, InitialShare: 0.4, TimeFactor: 1, LoadTime: loadTime, WarmLoadTime: warmTime},
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
	// replaced lets another upstream come in the place of this one.
	replaced func()

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
	// loses is the part of the answers that are lost, pace how many times slower the engine is.
	loses    float64
	pace     float64
	random   *rand.Rand
	wasReady map[membership]bool
	// asksFor is the longest time for which it asks while it turns requests away, 0 when it does not; asked are the times that it asked
	// for, saidLeaving is when it first told an entry that it leaves. What reaches it all the same breaks a promise when asksWatched.
	asksFor     time.Duration
	asked       map[sender][]*asked
	saidLeaving map[sender]time.Time
	asksWatched bool
	// naming is the limit that it names, nil when it names none.
	naming *naming
	// goesSilently is set when it says in its answers that it leaves, and in no report.
	goesSilently bool
	// started is when it started, whileCold are the requests of the last second that reached it while it was cold.
	started   time.Time
	whileCold []time.Time
	// resumesAt is when a pause of the upstream ends.
	resumesAt time.Time
	// eventTime is the time between two events of a stream.
	eventTime time.Duration
	// watched is set when new work long after the acknowledged leaving breaks a promise.
	watched bool
}

func newEngine(ctx context.Context, t *truth, eventTime time.Duration, id ident.Incarnation, service ident.Service, place int, reports func() []string) (*engine, error) {
	e := &engine{
		id: id, service: service, hall: ident.Hall(fmt.Sprintf("hall-%d", place)), domain: ident.Domain(fmt.Sprintf("domain-%d", place)),
		truth: t, eventTime: eventTime, reports: reports, started: time.Now(), changed: make(chan struct{}, 1), wasReady: map[membership]bool{},
		asked: map[sender][]*asked{}, saidLeaving: map[sender]time.Time{}, random: rand.New(rand.NewPCG(hashOf(string(id)), 1)),
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
	mux.HandleFunc("GET "+platform.SlowdownPath, e.tell)
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
		e.post(platform.SignOffPath(e.id), nil)
		e.finishWork()
		e.crash()
	}()
}

// finishWork waits until nothing runs here, or at the head of the group that this engine is a member of: a planned end breaks no answer off.
func (e *engine) finishWork() {
	for end := time.Now().Add(maxWorkTime); time.Now().Before(end) && e.ctx.Err() == nil; pause(e.ctx, shortEventTime) {
		if e.inProgress() == 0 && e.headInProgress() == 0 {
			return
		}
	}
}

func (e *engine) inProgress() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

func (e *engine) headInProgress() int {
	members := e.list()
	if len(members) == 0 {
		return 0
	}
	e.truth.mu.Lock()
	head := e.truth.engines[members[0]]
	e.truth.mu.Unlock()
	if head == nil || head.place().Group != e.place().Group {
		return 0
	}
	return head.inProgress()
}

func (e *engine) pauseUntil(at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resumesAt = at
}

// awaitResume waits while the upstream is paused.
func (e *engine) awaitResume() {
	for e.ctx.Err() == nil {
		e.mu.Lock()
		wait := time.Until(e.resumesAt)
		e.mu.Unlock()
		if wait <= 0 {
			return
		}
		pause(e.ctx, wait)
	}
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
	r.ColdFor = max(0, coldFor-time.Since(e.started))
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
