package relay_test

// These tests guard against sending requests to an upstream before its requested backoff has ended. If an entry only remembers for a fixed
// short time that an overloaded upstream refused a request, it soon chooses the upstream again, and even prefers it, since the upstream has
// less load than others. A backoff must therefore be kept for the incarnation that requested it and for the whole requested time.

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	// upstreamRoundTrip is the round trip to an upstream, upstreamServiceTime how long a request takes there.
	upstreamRoundTrip   = 2 * time.Millisecond
	upstreamServiceTime = 60 * time.Millisecond
	// backoffRequestInterval is the interval between requests, backoffLoadDuration how long requests are sent.
	backoffRequestInterval = 10 * time.Millisecond
	backoffLoadDuration    = 8 * time.Second
	// signalAt is when the first upstream starts to send backpressure signals.
	signalAt = time.Second
	// maxInFlight is how long after an upstream's signal a request can still arrive that was sent before the signal was received.
	maxInFlight = upstreamRoundTrip + time.Millisecond
)

// signalingUpstream is an upstream that sends backpressure signals.
type signalingUpstream struct {
	mu sync.Mutex
	// busyUntil is until when the upstream refuses requests, with the Retry-After retryAfter unless that is empty.
	busyUntil  time.Time
	retryAfter string
	leaving    bool
	// limit is the limit header of its answers, absent if empty; limitNamedAt is when the first answer with a limit was sent.
	limit        string
	limitNamedAt time.Time
	// arrivedAt and refusedAt are the times of all requests and of the refused ones. leavingSaidAt is when it first announced its shutdown,
	// servedAt when it sent the first complete answer after its last refusal.
	arrivedAt     []time.Time
	refusedAt     []time.Time
	leavingSaidAt time.Time
	servedAt      time.Time
	conns         []net.Conn
	// extraDialTime is added to the time to open a connection.
	extraDialTime time.Duration
}

func (u *signalingUpstream) dial(ctx context.Context, _ string) (net.Conn, error) {
	time.Sleep(upstreamRoundTrip + u.extraDialTime)
	near, far := net.Pipe()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns = append(u.conns, far)
	go u.serve(far)
	return near, ctx.Err()
}

func (u *signalingUpstream) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		headers, refused := u.admit()
		if refused {
			time.Sleep(upstreamRoundTrip)
			_, err = io.WriteString(c, answerHead(r, 503, append(headers, "Not-Run: 1", "Content-Length: 0")...))
		} else {
			time.Sleep(upstreamServiceTime)
			headers = u.complete(headers)
			headers = append(headers, signature, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
			chunk := eventText(1, 2)
			_, err = io.WriteString(c, answerHead(r, 200, headers...)+fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(chunk), chunk))
		}
		if err != nil {
			return
		}
	}
}

// admit records a request and returns the signal headers of its answer, and whether the answer is a refusal.
func (u *signalingUpstream) admit() (headers []string, refused bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.arrivedAt = append(u.arrivedAt, now)
	if u.leaving {
		headers = append(headers, "Leaving: 1")
		if u.leavingSaidAt.IsZero() {
			u.leavingSaidAt = now.Add(upstreamServiceTime)
		}
	}
	if !now.Before(u.busyUntil) {
		return headers, false
	}
	headers = u.addLimit(headers)
	u.refusedAt = append(u.refusedAt, now)
	u.servedAt = time.Time{}
	if u.retryAfter != "" {
		headers = append(headers, "Retry-After: "+u.retryAfter)
	}
	return headers, true
}

// complete records a complete answer and returns its signal headers.
func (u *signalingUpstream) complete(headers []string) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.servedAt.IsZero() {
		u.servedAt = time.Now()
	}
	return u.addLimit(headers)
}

// addLimit appends the limit header; the mutex is held.
func (u *signalingUpstream) addLimit(headers []string) []string {
	if u.limit == "" {
		return headers
	}
	if u.limitNamedAt.IsZero() {
		u.limitNamedAt = time.Now()
	}
	return append(headers, "Limit: "+u.limit)
}

// setLimit sets the limit that the upstream advertises, 0 for none.
func (u *signalingUpstream) setLimit(rate ratelimit.Rate) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = ""
	if rate > 0 {
		u.limit = strconv.FormatFloat(float64(rate), 'f', -1, 64)
	}
}

// countBetween returns how many requests arrived between two times.
func (u *signalingUpstream) countBetween(from, to time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, at := range u.arrivedAt {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// signalEntry is an entry in front of upstreams that send backpressure signals.
type signalEntry struct {
	relay     *relay.Relay
	upstreams []*signalingUpstream

	mu       sync.Mutex
	revision roster.Revision
	records  []*relay.Record
}

func newSignalEntry(n int) *signalEntry {
	var upstreams []*signalingUpstream
	for range n {
		upstreams = append(upstreams, &signalingUpstream{})
	}
	return newSignalEntryFor(upstreams)
}

// newSignalEntryFor returns an entry in front of existing upstreams.
func newSignalEntryFor(upstreams []*signalingUpstream) *signalEntry {
	s := &signalEntry{upstreams: upstreams}
	byAddress := map[string]*signalingUpstream{}
	for i, u := range upstreams {
		byAddress["h"+strconv.Itoa(i)] = u
	}
	s.relay = relay.New(headerNames(), func(ctx context.Context, address string) (net.Conn, error) {
		return byAddress[address].dial(ctx, address)
	})
	s.relay.KeyValidity = time.Hour
	s.relay.Budget = relay.NewRetryBudget(relay.RetryBudgetRule{Ratio: 0.2, Window: 10 * time.Second, Allowance: 1000})
	s.relay.RandomInt = rand.New(rand.NewPCG(1, 1)).IntN
	s.relay.Observe = func(r *relay.Record) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.records = append(s.records, r)
	}
	cfg := config()
	cfg.Services[1].Engine.Slots = excessSlots
	s.relay.SetConfig(cfg)
	s.relay.SetConfirmed(time.Now())
	s.setRoster(nil, "")
	return s
}

// setRoster applies a roster with all upstreams but the missed ones; the names of groups end in suffix.
func (s *signalEntry) setRoster(missed map[int]bool, suffix string) {
	s.mu.Lock()
	s.revision++
	d := roster.Delta{Full: true, Revision: s.revision}
	s.mu.Unlock()
	for i := range s.upstreams {
		if missed[i] {
			continue
		}
		head, plain := ident.Incarnation("h"+strconv.Itoa(i)), ident.Incarnation("p"+strconv.Itoa(i))
		d.Upstreams = append(d.Upstreams,
			roster.Upstream{ID: head, Service: "model", Address: string(head), Slots: excessSlots},
			roster.Upstream{ID: plain, Service: "plain", Address: string(head), Slots: excessSlots})
		d.Groups = append(d.Groups, roster.Group{
			Name: ident.Group("g" + string(head) + suffix), Service: "model", Model: "m", Phase: roster.PhaseOpen, Members: []ident.Incarnation{head},
		})
	}
	s.relay.ApplyRoster(&d)
}

// send sends one request and returns the answer.
func (s *signalEntry) send(path, id string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body "+id))
	r.Host = "h"
	for name, value := range map[string]string{
		"Request": id, "Key": "secret", "Model": "m", "Tokens": "800,40", "Deadline": "5000",
	} {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	defer func() { _ = recover() }() // an aborted answer panics, as in net/http
	s.relay.ServeHTTP(w, r)
	return w
}

// load sends a request every backoffRequestInterval for backoffLoadDuration.
func (s *signalEntry) load(path string) {
	began := time.Now()
	var wg sync.WaitGroup
	for n := 0; time.Since(began) < backoffLoadDuration; n++ {
		wg.Go(func() { s.send(path, strconv.Itoa(n)) })
		time.Sleep(backoffRequestInterval)
	}
	wg.Wait()
	for _, u := range s.upstreams {
		u.close()
	}
}

// close closes all connections of the upstream.
func (u *signalingUpstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		c.Close()
	}
	u.conns = nil
}

// signalScenario is a load on a route, during which act makes the first upstream send signals.
type signalScenario struct {
	path string
	act  func(s *signalEntry, u *signalingUpstream)
}

// runSignals runs a scenario with three upstreams.
func runSignals(t *testing.T, scenario signalScenario) *signalEntry {
	t.Helper()
	var s *signalEntry
	synctest.Test(t, func(*testing.T) {
		s = newSignalEntry(3)
		time.AfterFunc(signalAt, func() { scenario.act(s, s.upstreams[0]) })
		s.load(scenario.path)
	})
	return s
}

// setBusy makes the upstream refuse requests for a time, with a Retry-After.
func (u *signalingUpstream) setBusy(d time.Duration, retryAfter string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.busyUntil, u.retryAfter = time.Now().Add(d), retryAfter
}

func (u *signalingUpstream) setLeaving() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// An entry sends no request to an upstream before the backoff that the upstream requested from it has ended.
func TestBackoffIsKept(t *testing.T) {
	const requested = 3 * time.Second
	requestsBackoff := func(_ *signalEntry, u *signalingUpstream) { u.setBusy(requested-time.Second, "3") }
	changesRoster := func(s *signalEntry, u *signalingUpstream) {
		requestsBackoff(s, u)
		time.AfterFunc(700*time.Millisecond, func() { s.setRoster(map[int]bool{0: true}, "") })
		time.AfterFunc(900*time.Millisecond, func() { s.setRoster(nil, " again") })
	}
	slowDial := func(s *signalEntry, u *signalingUpstream) {
		requestsBackoff(s, u)
		u.extraDialTime = 40 * time.Millisecond
		for n := range 12 {
			go s.send("/safe/x", "concurrent "+strconv.Itoa(n))
		}
	}
	for name, scenario := range map[string]signalScenario{
		"connections open slowly":                       {"/safe/x", slowDial},
		"a plain worker":                                {"/safe/x", requestsBackoff},
		"a plain worker, unrepeatable requests":         {"/unsafe/x", requestsBackoff},
		"the head of a group":                           {"/stream/x", requestsBackoff},
		"the upstream is briefly missing in the roster": {"/safe/x", changesRoster},
		"its group is formed again":                     {"/stream/x", changesRoster},
	} {
		t.Run(name, func(t *testing.T) {
			s := runSignals(t, scenario)
			u := s.upstreams[0]
			if len(u.refusedAt) == 0 {
				t.Fatal("no request arrived while the upstream refused requests: the test checks nothing")
			}
			for _, at := range u.refusedAt {
				if n := u.countBetween(at.Add(maxInFlight), at.Add(requested)); n > 0 {
					t.Errorf("%d requests arrived within the backoff of %v requested at %v", n, requested, at.Sub(u.refusedAt[0]))
				}
			}
			if u.servedAt.IsZero() {
				t.Error("the upstream served no request after its backoff")
			}
		})
	}
}

// An upstream that announces its shutdown gets no new requests, whether or not the roster shows that it is leaving.
func TestLeavingUpstreamGetsNoRequests(t *testing.T) {
	leaves := func(_ *signalEntry, u *signalingUpstream) { u.setLeaving() }
	changesRoster := func(s *signalEntry, u *signalingUpstream) {
		u.setLeaving()
		time.AfterFunc(700*time.Millisecond, func() { s.setRoster(map[int]bool{0: true}, "") })
		time.AfterFunc(900*time.Millisecond, func() { s.setRoster(nil, " again") })
	}
	refuses := func(_ *signalEntry, u *signalingUpstream) {
		u.setLeaving()
		u.setBusy(time.Second, "")
	}
	for name, scenario := range map[string]signalScenario{
		"a plain worker":      {"/safe/x", leaves},
		"the head of a group": {"/stream/x", leaves},
		"the upstream is briefly missing in the roster": {"/stream/x", changesRoster},
		"announced in refusals":                         {"/stream/x", refuses},
	} {
		t.Run(name, func(t *testing.T) {
			s := runSignals(t, scenario)
			u := s.upstreams[0]
			if u.leavingSaidAt.IsZero() {
				t.Fatal("no request arrived once the upstream was leaving: the test checks nothing")
			}
			if n := u.countBetween(u.leavingSaidAt.Add(maxInFlight), u.leavingSaidAt.Add(backoffLoadDuration)); n > 0 {
				t.Errorf("%d requests arrived after the upstream had announced its shutdown", n)
			}
		})
	}
}

// When all upstreams are backed off for longer than a request can wait, the request is refused at once. Its Retry-After is the time until the
// first upstream is available, with jitter, so that not all callers retry at the same time.
func TestAllUpstreamsBackedOff(t *testing.T) {
	const requested = 4 * time.Second
	for name, path := range map[string]string{"plain workers": "/safe/x", "heads of groups": "/stream/x"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSignalEntry(3)
				for _, u := range s.upstreams {
					u.setBusy(requested, "4")
				}
				s.send(path, "attempts all")
				time.Sleep(100 * time.Millisecond)
				began := time.Now()
				var earliest, latest time.Duration
				for n := range 20 {
					w := s.send(path, "refused "+strconv.Itoa(n))
					seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
					if w.Code != http.StatusServiceUnavailable || err != nil {
						t.Fatalf("status %d, %v, want 503 with Retry-After", w.Code, err)
					}
					retryAfter := time.Duration(seconds * float64(time.Second))
					if n == 0 {
						earliest, latest = retryAfter, retryAfter
					}
					earliest, latest = min(earliest, retryAfter), max(latest, retryAfter)
				}
				s.relay.Wait()
				if waited := time.Since(began); waited > 0 {
					t.Errorf("refused after %v, want at once", waited)
				}
				firstAvailable := requested
				for _, u := range s.upstreams {
					firstAvailable = min(firstAvailable, u.refusedAt[0].Add(requested).Sub(began))
				}
				if earliest < firstAvailable || latest > firstAvailable*3/2+upstreamRoundTrip*4 || latest-earliest < firstAvailable/8 {
					t.Errorf("Retry-After from %v to %v, the first upstream is available after %v", earliest, latest, firstAvailable)
				}
				for _, r := range s.records[1:] {
					if r.Code != result.BackedOff || len(r.Attempts) > 0 {
						t.Errorf("code %d after %d attempts, want %d after none", r.Code, len(r.Attempts), result.BackedOff)
					}
				}
				for i, u := range s.upstreams {
					if n := u.countBetween(began, began.Add(requested)); n > 0 {
						t.Errorf("%d requests reached upstream %d during its backoff", n, i)
					}
				}
				for _, u := range s.upstreams {
					u.close()
				}
			})
		})
	}
}

// A request waits for the end of a backoff that ends before the request is late. Each upstream then gets a single probe, and the other queued
// requests only after the upstream has accepted it.
func TestQueuedRequestsProbeAfterBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSignalEntry(3)
		for _, u := range s.upstreams {
			u.setBusy(100*time.Millisecond, "0.5")
		}
		s.send("/stream/x", "attempts all")
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		var wg sync.WaitGroup
		for n := range 30 {
			wg.Go(func() { s.send("/stream/x", strconv.Itoa(n)) })
		}
		wg.Wait()
		s.relay.Wait()
		for i, u := range s.upstreams {
			backoffEnd := u.refusedAt[0].Add(500 * time.Millisecond)
			if n := u.countBetween(began, backoffEnd); n > 0 {
				t.Errorf("%d requests reached upstream %d before its backoff ended", n, i)
			}
			if n := u.countBetween(backoffEnd, u.servedAt); n > 1 {
				t.Errorf("%d requests reached upstream %d before it had accepted one, want at most 1", n, i)
			}
		}
		served := 0
		for _, r := range s.records[1:] {
			if r.Code == 0 && r.FirstEvent < config().Routes[2].Aim {
				served++
			}
		}
		if served != 30 {
			t.Errorf("%d of 30 queued requests answered in time, want all", served)
		}
		for _, u := range s.upstreams {
			u.close()
		}
	})
}

// A suspension of this VM neither extends a backoff nor ends it: the time of the suspension counts.
func TestSuspensionCountsAsBackoff(t *testing.T) {
	vm := &suspendableClock{startedAt: time.Now()}
	busy := true
	u := newUpstream(t, always(func(c net.Conn, r *http.Request) bool {
		if busy {
			_, err := io.WriteString(c, answerHead(r, 503, "Not-Run: 1", "Retry-After: 3", "Content-Length: 0"))
			return err == nil
		}
		return respondComplete(c, r)
	}))
	s := newTestEntry(t, []*upstream{u}, nil)
	s.relay.Now = vm.clock().Now
	s.relay.SetConfirmed(s.relay.Now())
	s.do(s.request("POST", "/safe/x", "refused", ""))
	busy = false
	vm.suspendedFor = 2 * time.Second
	s.relay.SetConfirmed(s.relay.Now())
	if got := s.do(s.request("POST", "/safe/x", "early", "")); got.Status != http.StatusServiceUnavailable {
		t.Errorf("status %d after 2 of 3 s, want 503", got.Status)
	}
	vm.suspendedFor = 3 * time.Second
	s.relay.SetConfirmed(s.relay.Now())
	if got := s.do(s.request("POST", "/safe/x", "after", "")); got.Status != http.StatusOK {
		t.Errorf("status %d after 3 s, want 200", got.Status)
	}
	if n := len(u.received()); n != 2 {
		t.Errorf("%d requests reached the upstream, want the one before and the one after", n)
	}
}

// A backoff applies only to the incarnation that requested it.
func TestNewIncarnationHasNoBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSignalEntry(1)
		u := s.upstreams[0]
		u.setBusy(time.Millisecond, "60")
		s.send("/safe/x", "refused")
		time.Sleep(10 * time.Millisecond)
		d := roster.Delta{Full: true, Revision: 9}
		d.Upstreams = append(d.Upstreams, roster.Upstream{ID: "p0@2", Service: "plain", Address: "h0", Slots: excessSlots})
		s.relay.ApplyRoster(&d)
		if w := s.send("/safe/x", "to the new incarnation"); w.Code != http.StatusOK {
			t.Errorf("status %d, want 200", w.Code)
		}
		u.close()
	})
}
