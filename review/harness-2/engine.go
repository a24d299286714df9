//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/platform"
	"github.com/dunlinquay/dunlinquay/replicaset"
	"github.com/dunlinquay/dunlinquay/roster"
)

// Times of an engine, as the protocol and the configuration state them.
const (
	rejoin      = 200 * time.Millisecond
	warm        = 1100 * time.Millisecond
	load        = 12 * time.Second
	loadAtStart = 1200 * time.Millisecond
	form        = 300 * time.Millisecond
	eventEvery  = 40 * time.Millisecond
	eventCount  = 10
)

// engine is a stand-in of a model worker.
type engine struct {
	site *site
	id   string
	// plain is set for a worker of the plain service, which takes no orders.
	plain bool
	hall  string
	// ran is called with each request that a plain worker runs.
	ran     func()
	domain  string
	address string
	server  *http.Server
	// calls are the addresses of the control daemons, in the order in which this worker tries them.
	calls []string
	// opened is called when an order to open was taken.
	opened func(e *engine)
	// joined is called when a join was taken, with the membership until then.
	joined func(e *engine, before roster.Membership, members []string, o *replicaset.Order)

	mu        sync.Mutex
	gone      bool
	member    roster.Membership
	members   []string
	last      ident.Model
	staged    ident.Model
	highest   ident.Epoch
	sequence  uint64
	preferred string
	leader    string
	// holds makes the network hold up the next periodic heartbeat; held is that heartbeat, and where it goes.
	holds   bool
	held    []byte
	heldTo  string
	heldAt  time.Time
	changed chan struct{}
}

func (s *site) engine(id, domain, host string, calls []string) (*engine, error) {
	e := &engine{site: s, id: id, domain: domain, hall: "hall-a", calls: calls, changed: make(chan struct{}, 1), ran: func() {}, opened: func(*engine) {},
		joined: func(*engine, roster.Membership, []string, *replicaset.Order) {}}
	ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	e.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+platform.OrderPath, e.order)
	mux.HandleFunc("GET "+platform.SlowdownPath, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(platform.EncodeSlowdown(1)) })
	mux.HandleFunc("/", e.serve)
	e.server = &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(ln) }()
	return e, nil
}

// crash ends the worker without a word.
func (e *engine) crash() {
	e.mu.Lock()
	e.gone = true
	e.mu.Unlock()
	_ = e.server.Close()
	e.site.record.line("worker %s crashes", e.id)
}

func (e *engine) isGone() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.gone
}

func (e *engine) change() {
	select {
	case e.changed <- struct{}{}:
	default:
	}
}

// beats sends heartbeats about every heartbeatMs, and at once after a change.
func (e *engine) beats() {
	for !e.isGone() {
		e.beat()
		select {
		case <-e.changed:
		case <-time.After(reportEvery):
		}
	}
}

// encode returns the next heartbeat; the sequence rises with every call.
func (e *engine) encode() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	r := &roster.Report{Sequence: e.sequence, Upstream: roster.Upstream{
		ID: ident.Incarnation(e.id), Service: "model", Address: e.address, Hall: ident.Hall(e.hall), Domain: ident.Domain(e.domain), Slots: 26, Member: e.member,
	}}
	if e.last != "" && e.member.State != roster.MemberNone {
		r.Loaded = []ident.Model{e.last}
	}
	if e.plain {
		r.Service, r.Slots = "plain", 6
	}
	if e.staged != "" {
		r.Staged = []ident.Model{e.staged}
	}
	return platform.EncodeReport(r)
}

// beat calls one daemon after the other until one acknowledges.
func (e *engine) beat() {
	e.mu.Lock()
	order := append([]string(nil), e.calls...)
	if e.preferred != "" {
		order = append([]string{e.preferred}, order...)
	}
	holds := e.holds
	e.holds = false
	e.mu.Unlock()
	if holds {
		// This call is held up on its way; the worker calls the next daemon after a second.
		body := e.encode()
		e.mu.Lock()
		e.held, e.heldTo, e.heldAt = body, e.calls[len(e.calls)-1], time.Now()
		e.mu.Unlock()
		e.site.record.line("worker %s: heartbeat %s to %s is held up on its way", e.id, body, e.heldTo)
		time.Sleep(time.Second)
	}
	for _, address := range order {
		if e.isGone() {
			return
		}
		status, answer, err := call(time.Second, http.MethodPost, "http://"+address+platform.ReportPath(ident.Incarnation(e.id)), e.encode())
		if err == nil && status == http.StatusOK {
			var named map[string]string
			_ = json.Unmarshal(answer, &named)
			e.mu.Lock()
			e.preferred, e.leader = address, address
			for _, other := range named {
				e.preferred, e.leader = other, other
			}
			e.mu.Unlock()
			return
		}
	}
}

// deliver lets the held heartbeat arrive.
func (e *engine) deliver() {
	e.mu.Lock()
	body, to, at := e.held, e.heldTo, e.heldAt
	e.held = nil
	e.mu.Unlock()
	if body == nil {
		return
	}
	status, _, err := call(time.Second, http.MethodPost, "http://"+to+platform.ReportPath(ident.Incarnation(e.id)), body)
	e.site.record.line("worker %s: the held heartbeat arrives at %s, %.2f s late: status %d, error %v", e.id, to, time.Since(at).Seconds(), status, err)
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	o, err := platform.DecodeOrder(body)
	outcome := replicaset.OutcomeRefused
	switch {
	case err != nil:
	case r.Header.Get(platform.HeaderNames().Incarnation) != e.id:
		outcome = replicaset.OutcomeWrongIncarnation
	default:
		outcome = e.carryOut(o)
	}
	e.site.record.line("worker %s: order %s: %s", e.id, body, outcome)
	w.WriteHeader(platform.OrderStatus(outcome))
	if o != nil && o.Action == replicaset.ActionOpen && outcome == replicaset.OutcomeAccepted {
		go e.opened(e)
	}
}

func (e *engine) carryOut(o *replicaset.Order) replicaset.Outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.change()
	switch o.Action {
	case replicaset.ActionStage:
		time.AfterFunc(load, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.staged = o.Model
			e.change()
		})
		return replicaset.OutcomeAccepted
	case replicaset.ActionJoin:
		return e.join(o)
	}
	if e.member.Group != o.Group || e.member.Epoch != o.Epoch {
		return replicaset.OutcomeRefused
	}
	switch o.Action {
	case replicaset.ActionOpen:
		if e.member.State == roster.MemberReady {
			e.member.State = roster.MemberOpen
		}
	case replicaset.ActionClose:
		e.member.State = roster.MemberReady
	case replicaset.ActionLeave:
		e.member, e.members = roster.Membership{}, nil
	}
	return replicaset.OutcomeAccepted
}

// join takes a join; the mutex is held.
func (e *engine) join(o *replicaset.Order) replicaset.Outcome {
	same := e.member.Group == o.Group && e.member.Epoch == o.Epoch
	switch {
	case same:
		return replicaset.OutcomeAccepted
	case o.Epoch < e.highest:
		return replicaset.OutcomeFenced
	}
	e.joined(e, e.member, e.members, o)
	wait := load
	switch {
	case e.last == o.Model:
		wait = rejoin
	case e.staged == o.Model:
		wait = warm
	case !e.site.requested.Load():
		wait = loadAtStart
	}
	e.highest, e.members = o.Epoch, nil
	rank := 0
	for i, id := range o.Members {
		e.members = append(e.members, string(id))
		if string(id) == e.id {
			rank = i
		}
	}
	e.member = roster.Membership{Group: o.Group, Epoch: o.Epoch, Rank: rank, State: roster.MemberJoining}
	epoch := o.Epoch
	time.AfterFunc(wait, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.member.Epoch == epoch && e.member.State == roster.MemberJoining {
			e.member.State, e.last, e.staged = roster.MemberReady, o.Model, o.Model
			e.change()
		}
	})
	return replicaset.OutcomeAccepted
}

func (e *engine) place() roster.Membership {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gone {
		return roster.Membership{}
	}
	return e.member
}

// serve answers a request with a few events.
func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	names := platform.HeaderNames()
	id := r.Header.Get(names.RequestID)
	w.Header().Set(names.RequestID, id)
	if _, err := io.ReadAll(r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if e.plain {
		e.site.record.line("worker %s in %s: runs request %s", e.id, e.hall, id)
		e.ran()
		w.Header().Set(names.Signature, e.id+"."+id)
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	if p := e.place(); r.Header.Get(names.Incarnation) != e.id || p.State != roster.MemberOpen {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set(names.Signature, e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	for n := 1; n <= eventCount && r.Context().Err() == nil; n++ {
		time.Sleep(eventEvery)
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, id)
		_ = http.NewResponseController(w).Flush()
	}
}

// fetch sends one request for the plain service to an entry and returns its status, 0 without an answer.
func (s *site) fetch(entry *daemon, id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+net.JoinHostPort(entry.host, fmt.Sprint(callerPort))+"/fetch/x", http.NoBody)
	if err != nil {
		return 0
	}
	names := platform.HeaderNames()
	req.Host = routeHost
	req.Header.Set(names.RequestID, id)
	req.Header.Set(names.Key, tenantKey)
	req.Header.Set(names.Deadline, "4000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// stream sends one request for the model to an entry and returns its status.
func (s *site) stream(entry *daemon, id string) int {
	s.requested.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+net.JoinHostPort(entry.host, fmt.Sprint(callerPort))+"/summary/x", http.NoBody)
	if err != nil {
		return 0
	}
	names := platform.HeaderNames()
	req.Host = routeHost
	req.Header.Set(names.RequestID, id)
	req.Header.Set(names.Key, tenantKey)
	req.Header.Set(names.Deadline, "6000")
	req.Header.Set(names.Model, "m1")
	req.Header.Set(names.Tokens, "674,130")
	req.Header.Set(names.PromptParts, "5:40,"+id+":634")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
