package relay_test

// Three heads turned away all that came for nine seconds, and each time asked the entry that had sent it for some seconds of rest. The
// entry kept of that only that the head had refused, for a fixed 120 ms; then it was as good as any other, and had less to do, so it
// was chosen first. What settled it were the tries of the same entry at the same head, long before the time that was asked for was over:
//
//	"tries":[{"to":"i-71d8ddc42a","result":"not-run","at-ms":0},{"to":"i-a866eebe31","result":"done","at-ms":2}]   at 6.05 s
//	"tries":[{"to":"i-71d8ddc42a","result":"not-run","at-ms":0},{"to":"i-78c9132e00","result":"done","at-ms":0}]   at 6.99 s
//	"tries":[{"to":"i-71d8ddc42a","result":"not-run","at-ms":0},{"to":"i-be6a307a7e","result":"done","at-ms":0}]   at 7.54 s
//	"tries":[{"to":"i-71d8ddc42a","result":"not-run","at-ms":0},{"to":"i-74fb043a03","result":"not-run","at-ms":0}, ...   at 7.75 s
//
// Of 145 next tries after a refusal 76 came after 0.12 to 0.5 s and 64 after 0.5 to 3 s, at every entry, while neither groups nor the
// roster changed. So what an upstream asks for has to be kept, for the life that said it and for as long as it said.

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
	// upstreamRoundTrip is a round trip to an upstream, upstreamServiceTime how long it works on a request.
	upstreamRoundTrip   = 2 * time.Millisecond
	upstreamServiceTime = 60 * time.Millisecond
	// backoffRequestInterval is how often a request comes, backoffLoadDuration for how long.
	backoffRequestInterval = 10 * time.Millisecond
	backoffLoadDuration    = 8 * time.Second
	// signalAt is when the first upstream begins to say something.
	signalAt = time.Second
	// maxInFlight is how long after an upstream's word a request may still reach it: one that was sent before the word came.
	maxInFlight = upstreamRoundTrip + time.Millisecond
)

// signalingUpstream is an upstream that says what it wants.
type signalingUpstream struct {
	mu sync.Mutex
	// busyUntil is until when it turns away what comes, asking for rest with the text asks when that is not empty.
	busyUntil  time.Time
	retryAfter string
	leaving    bool
	// limit is what it names in its answers while that is not empty, named when the first answer with one left it.
	limit        string
	limitNamedAt time.Time
	// arrivedAt is when requests came, refused when it turned one away, said when it first said that it leaves, and served when it
	// first gave a whole answer after its last refusal.
	arrivedAt     []time.Time
	refusedAt     []time.Time
	leavingSaidAt time.Time
	servedAt      time.Time
	conns         []net.Conn
	// extraDialTime is how much longer its connections take to open.
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

// admit notes that a request came and returns what the answer says beside, and whether it is a refusal.
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

// complete notes that an answer leaves and returns what it says beside.
func (u *signalingUpstream) complete(headers []string) []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.servedAt.IsZero() {
		u.servedAt = time.Now()
	}
	return u.addLimit(headers)
}

// addLimit adds the limit to what an answer says; the mutex is held.
func (u *signalingUpstream) addLimit(headers []string) []string {
	if u.limit == "" {
		return headers
	}
	if u.limitNamedAt.IsZero() {
		u.limitNamedAt = time.Now()
	}
	return append(headers, "Limit: "+u.limit)
}

// setLimit lets an upstream name a limit, or none.
func (u *signalingUpstream) setLimit(rate ratelimit.Rate) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = ""
	if rate > 0 {
		u.limit = strconv.FormatFloat(float64(rate), 'f', -1, 64)
	}
}

// countBetween returns how many requests came after one moment and before another.
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

// signalEntry is one entry before upstreams that say what they want.
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

// newSignalEntryFor returns one more entry before the same upstreams.
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

// setRoster tells the entry of all upstreams but those that are missed; groups have names that end in suffix.
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

// load lets a request come every backoffRequestInterval until backoffLoadDuration is over.
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

// close closes all connections.
func (u *signalingUpstream) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		c.Close()
	}
	u.conns = nil
}

// signalScenario is a load on a route, and what the first upstream does in it.
type signalScenario struct {
	path string
	act  func(s *signalEntry, u *signalingUpstream)
}

// runSignals plays p before three upstreams.
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

// setBusy lets an upstream turn away what comes for a time, and ask for rest.
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

// An upstream that has asked an entry for rest is reached by nothing that the entry sends before that time is over.
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
			go s.send("/safe/x", "at once "+strconv.Itoa(n))
		}
	}
	for name, scenario := range map[string]signalScenario{
		"connections open slowly":         {"/safe/x", slowDial},
		"a plain worker":                  {"/safe/x", requestsBackoff},
		"a plain worker, once":            {"/unsafe/x", requestsBackoff},
		"the head of a group":             {"/stream/x", requestsBackoff},
		"the list misses it for a moment": {"/safe/x", changesRoster},
		"its group is formed again":       {"/stream/x", changesRoster},
	} {
		t.Run(name, func(t *testing.T) {
			s := runSignals(t, scenario)
			u := s.upstreams[0]
			if len(u.refusedAt) == 0 {
				t.Fatal("nothing came while it turned requests away: the test shows nothing")
			}
			for _, at := range u.refusedAt {
				if n := u.countBetween(at.Add(maxInFlight), at.Add(requested)); n > 0 {
					t.Errorf("%d requests reached it in the %v that it had asked for at %v", n, requested, at.Sub(u.refusedAt[0]))
				}
			}
			if u.servedAt.IsZero() {
				t.Error("it serves nothing after its rest")
			}
		})
	}
}

// An upstream that says that it leaves gets nothing new, whether or not the roster tells.
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
		"a plain worker":                  {"/safe/x", leaves},
		"the head of a group":             {"/stream/x", leaves},
		"the list misses it for a moment": {"/stream/x", changesRoster},
		"it says so in refusals":          {"/stream/x", refuses},
	} {
		t.Run(name, func(t *testing.T) {
			s := runSignals(t, scenario)
			u := s.upstreams[0]
			if u.leavingSaidAt.IsZero() {
				t.Fatal("nothing came once it was leaving: the test shows nothing")
			}
			if n := u.countBetween(u.leavingSaidAt.Add(maxInFlight), u.leavingSaidAt.Add(backoffLoadDuration)); n > 0 {
				t.Errorf("%d requests reached it after it had said that it leaves", n)
			}
		})
	}
}

// Where all upstreams have asked for more time than a request has, it is refused at once and told when the first of them may be tried;
// callers do not all come back at that moment.
func TestAllUpstreamsBackedOff(t *testing.T) {
	const requested = 4 * time.Second
	for name, path := range map[string]string{"plain workers": "/safe/x", "heads of groups": "/stream/x"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSignalEntry(3)
				for _, u := range s.upstreams {
					u.setBusy(requested, "4")
				}
				s.send(path, "asks all")
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
					t.Errorf("callers are told to come back after %v to %v, the first upstream may be tried after %v", earliest, latest, firstAvailable)
				}
				for _, r := range s.records[1:] {
					if r.Code != result.BackedOff || len(r.Attempts) > 0 {
						t.Errorf("code %d after %d tries, want %d after none", r.Code, len(r.Attempts), result.BackedOff)
					}
				}
				for i, u := range s.upstreams {
					if n := u.countBetween(began, began.Add(requested)); n > 0 {
						t.Errorf("%d requests reached upstream %d", n, i)
					}
				}
				for _, u := range s.upstreams {
					u.close()
				}
			})
		})
	}
}

// Where upstreams may be tried again before a request is late, it waits for that; then they get one request each until they have taken
// one, and not all that has waited.
func TestQueuedRequestsProbeAfterBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSignalEntry(3)
		for _, u := range s.upstreams {
			u.setBusy(100*time.Millisecond, "0.5")
		}
		s.send("/stream/x", "asks all")
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
				t.Errorf("%d requests reached upstream %d before its time was over", n, i)
			}
			if n := u.countBetween(backoffEnd, u.servedAt); n > 1 {
				t.Errorf("%d requests reached upstream %d before it had taken one, want 1", n, i)
			}
		}
		served := 0
		for _, r := range s.records[1:] {
			if r.Code == 0 && r.FirstEvent < config().Routes[2].Aim {
				served++
			}
		}
		if served != 30 {
			t.Errorf("%d of 30 that waited were answered in time", served)
		}
		for _, u := range s.upstreams {
			u.close()
		}
	})
}

// What an upstream asks for is not lengthened by a suspension of this VM, and not forgotten by one: its clock counts meanwhile.
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
		t.Errorf("status %d after two of three seconds, want 503", got.Status)
	}
	vm.suspendedFor = 3 * time.Second
	s.relay.SetConfirmed(s.relay.Now())
	if got := s.do(s.request("POST", "/safe/x", "after", "")); got.Status != http.StatusOK {
		t.Errorf("status %d after three seconds, want 200", got.Status)
	}
	if n := len(u.received()); n != 2 {
		t.Errorf("%d requests reached the upstream, want the one before and the one after", n)
	}
}

// Another life of an upstream has asked for nothing.
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
		if w := s.send("/safe/x", "to the new life"); w.Code != http.StatusOK {
			t.Errorf("status %d, want 200", w.Code)
		}
		u.close()
	})
}
