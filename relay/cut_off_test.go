package relay_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/sharing"
)

// cutSite is a site of entries with plain workers and groups of one engine.
type cutSite struct {
	t       *testing.T
	network *memoryNetwork
	paths   []*upstreamPath
	entries []*relay.Relay
	// addresses are those of the entries, workers those of the plain workers, groups those of the heads of groups.
	addresses []string
	workers   []string
	groups    []string
	ends      []func()

	mu sync.Mutex
	// entryEnds end the servers of the entries for each other, nil for those that have ended.
	entryEnds []func()
	// runs counts the runs of each request, streams those of streams of the first entry's callers by upstream.
	runs    map[string]int
	streams map[string]int
	// refused are the requests that were reported as not run.
	refused map[string]bool
	// forwarded counts the requests that entries sent through others.
	forwarded int
	// faults are those of upstreams by address, suspended are the entries that answer no other entry for now.
	faults    map[string]upstreamFault
	suspended map[int]bool
}

// upstreamFault is what an upstream does instead of answering.
type upstreamFault string

const (
	// faultCloses runs a request and closes the connection, faultBreaksOff does so within the answer.
	faultCloses    upstreamFault = "closes"
	faultBreaksOff upstreamFault = "breaks off"
	faultFails     upstreamFault = "fails"
	faultRefuses   upstreamFault = "refuses"
	// faultSilent runs a request and sends nothing.
	faultSilent upstreamFault = "silent"
)

const (
	cutSiteEntries = 3
	cutSitePlain   = 3
	cutSiteGroups  = 6
	// cutSiteEvents is the number of events in a stream.
	cutSiteEvents = 5
)

// cutSiteSize has the numbers of entries, plain workers and groups of a site.
type cutSiteSize struct{ entries, plain, groups int }

func cutSiteConfig() *httproute.Config {
	cfg := timedConfig()
	cfg.Routes = []httproute.Route{
		newRoute("safe", httproute.KindSafe, "plain", 2), newRoute("unsafe", httproute.KindUnsafe, "plain", 1), newRoute("stream", httproute.KindStream, "model", 2),
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		r.Public, r.Timeout, r.Aim, r.GapAim = true, 4*time.Second, 400*time.Millisecond, 300*time.Millisecond
	}
	e := cfg.Services[1].Engine
	e.Slots, e.TypicalSize = 26, httproute.RequestSize{Prompt: 600, Answer: 25}
	return cfg
}

// newCutSite starts a small site in a synctest bubble; stop ends it.
func newCutSite(t *testing.T) *cutSite {
	t.Helper()
	return newCutSiteOf(t, cutSiteSize{cutSiteEntries, cutSitePlain, cutSiteGroups})
}

// newCutSiteOf is newCutSite for a site of that size.
func newCutSiteOf(t *testing.T, size cutSiteSize) *cutSite {
	t.Helper()
	s := &cutSite{
		t: t, network: &memoryNetwork{listeners: map[string]*memoryListener{}}, runs: map[string]int{}, streams: map[string]int{},
		refused: map[string]bool{}, faults: map[string]upstreamFault{}, suspended: map[int]bool{},
	}
	delta := roster.Delta{Full: true, Revision: 1}
	upstreams := map[string]bool{}
	for i := range size.plain + size.groups {
		address := fmt.Sprintf("10.2.0.%d:80", i)
		upstreams[address] = true
		s.ends = append(s.ends, s.network.serve(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serveUpstream(address, w, r) })))
		u := roster.Upstream{ID: ident.Incarnation(fmt.Sprintf("u%d", i)), Service: "plain", Address: address, Slots: 16}
		if i < size.plain {
			s.workers = append(s.workers, address)
		} else {
			u.Service, u.Slots = "model", 26
			s.groups = append(s.groups, address)
			delta.Groups = append(delta.Groups, roster.Group{
				Name: ident.Group(fmt.Sprintf("g%d", i)), Service: "model", Model: "m", Phase: roster.PhaseOpen, Members: []ident.Incarnation{u.ID},
			})
		}
		delta.Upstreams = append(delta.Upstreams, u)
	}
	for i := range size.entries {
		s.addresses = append(s.addresses, fmt.Sprintf("10.1.0.%d:70", i))
	}
	for i := range s.addresses {
		path := &upstreamPath{network: s.network, upstreams: upstreams}
		e := relay.New(headerNames(), path.dial)
		e.Budget = relay.NewRetryBudget(relay.RetryBudgetRule{Ratio: 0.2, Window: 10 * time.Second, Allowance: 100})
		e.Budget.SetEntries(size.entries)
		e.SendUpdate = func(update relay.EntryUpdate, to []string) { s.deliver(i, update, to) }
		e.SetConfig(cutSiteConfig())
		e.ApplyRoster(&delta)
		e.SetConfirmed(time.Now())
		s.paths, s.entries = append(s.paths, path), append(s.entries, e)
		s.entryEnds = append(s.entryEnds, nil)
		s.serveEntry(i)
	}
	for i, e := range s.entries {
		e.SetEntries(sharing.New(s.addresses[i], map[ident.Hall][]string{"hall": s.addresses}))
	}
	return s
}

func (s *cutSite) stop() {
	for _, end := range s.ends {
		end()
	}
	for i := range s.entries {
		s.endEntry(i)
	}
}

// serveEntry serves requests that other entries forward to an entry, until endEntry is called.
func (s *cutSite) serveEntry(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entryEnds[i] != nil {
		return
	}
	handler := &relay.EntryHandler{Relay: s.entries[i]}
	s.entryEnds[i] = s.network.serve(s.addresses[i], http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.forwarded++
		s.mu.Unlock()
		for s.isSuspended(i) {
			time.Sleep(resendInterval)
		}
		handler.ServeHTTP(w, r)
	}))
}

// endEntry closes the connections from other entries and refuses new ones.
func (s *cutSite) endEntry(i int) {
	s.mu.Lock()
	end := s.entryEnds[i]
	s.entryEnds[i] = nil
	s.mu.Unlock()
	if end != nil {
		end()
	}
}

func (s *cutSite) isSuspended(entry int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspended[entry]
}

// deliver sends an update from one entry to others.
func (s *cutSite) deliver(from int, update relay.EntryUpdate, to []string) {
	for i, e := range s.entries {
		if i != from && (to == nil || slices.Contains(to, s.addresses[i])) {
			time.AfterFunc(time.Millisecond, func() { e.Receive(update, netip.MustParseAddrPort(s.addresses[from])) })
		}
	}
}

// serveUpstream answers as a worker or the head of a group.
func (s *cutSite) serveUpstream(address string, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request")
	// net/http notices only after the body that the connection has ended.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("Request", id)
	s.mu.Lock()
	fault := s.faults[address]
	if fault != faultRefuses {
		s.runs[id]++
	}
	if strings.Contains(id, "-0-stream-") {
		s.streams[address]++
	}
	s.mu.Unlock()
	switch fault {
	case faultCloses:
		panic(http.ErrAbortHandler)
	case faultRefuses:
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case faultSilent:
		<-r.Context().Done()
		return
	}
	w.Header().Set("Signature", "s")
	if fault == faultFails {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if fault == faultBreaksOff {
		w.Header().Set("Content-Length", "1000")
		defer panic(http.ErrAbortHandler)
	}
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		time.Sleep(10 * time.Millisecond)
		_, _ = io.WriteString(w, cutSiteBody(r.URL.Path, id))
		return
	}
	first := 1
	if last := r.Header.Get("Event"); last != "" {
		_, _ = fmt.Sscanf(last, "%d", &first)
		first++
	}
	for i := first; i <= cutSiteEvents; i++ {
		time.Sleep(30 * time.Millisecond)
		if r.Context().Err() != nil || fault == faultBreaksOff && i == cutSiteEvents {
			return
		}
		_, _ = io.WriteString(w, cutSiteEvent(id, i))
		_ = http.NewResponseController(w).Flush()
	}
}

func cutSiteEvent(id string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", i, id)
}

// cutSiteBody is the whole answer to a request.
func cutSiteBody(path, id string) string {
	if !strings.HasPrefix(path, "/stream/") {
		return "answer to " + id
	}
	var b strings.Builder
	for i := 1; i <= cutSiteEvents; i++ {
		b.WriteString(cutSiteEvent(id, i))
	}
	return b.String()
}

// request sends one request to an entry and reports whether it was served.
func (s *cutSite) request(entry int, class, id string) (served bool) {
	path := "/" + class + "/x"
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body of "+id))
	r.Host = "h"
	for name, value := range map[string]string{"Request": id, "Deadline": "4000", "Model": "m", "Tokens": "600,25"} {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	defer func() {
		// An answer that breaks off ends with a panic, as net/http wants it.
		if recover() != nil {
			served = false
		}
	}()
	s.entries[entry].ServeHTTP(w, r)
	if w.Code != http.StatusOK {
		s.noteFailure(id, w)
		return false
	}
	if got, want := w.Body.String(), cutSiteBody(path, id); got != want {
		s.t.Errorf("%s: answer %q, want %q", id, got, want)
	}
	return true
}

// noteFailure notes whether a request was reported as not run, and checks that.
func (s *cutSite) noteFailure(id string, answer *httptest.ResponseRecorder) {
	notRun := strings.Contains(answer.Body.String(), `"not-run":true`)
	switch answer.Code {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		notRun = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[id] = notRun
	if notRun && s.runs[id] > 0 {
		s.t.Errorf("%s: status %d, %s after %d runs", id, answer.Code, answer.Body, s.runs[id])
	}
}

// checkRuns checks that requests ran as often as they may: those that were reported as not run never, also not later.
func (s *cutSite) checkRuns() {
	s.t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, runs := range s.runs {
		most := 2
		if strings.Contains(id, "-unsafe-") {
			most = 1
		}
		if s.refused[id] {
			most = 0
		}
		if runs > most {
			s.t.Errorf("%s ran %d times, want at most %d", id, runs, most)
		}
	}
}

// cutSiteCount counts the requests of one kind and those that were served.
type cutSiteCount struct{ sent, served int }

// countRequest sends one request to an entry and counts it under mu.
func (s *cutSite) countRequest(mu *sync.Mutex, count *cutSiteCount, entry int, class, id string) {
	served := s.request(entry, class, id)
	mu.Lock()
	defer mu.Unlock()
	count.sent++
	if served {
		count.served++
	}
}

// load sends requests of all classes to all entries for d, and returns the counts by entry.
func (s *cutSite) load(name string, d time.Duration) []cutSiteCount {
	counts := make([]cutSiteCount, len(s.entries))
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		for entry := range s.entries {
			for _, class := range []string{"safe", "unsafe", "stream"} {
				id := fmt.Sprintf("%s-%d-%s-%d", name, entry, class, n)
				wg.Go(func() { s.countRequest(&mu, &counts[entry], entry, class, id) })
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	return counts
}

// Guards against entries that refuse what other entries could serve, because they reach no upstream themselves.
func TestEntriesWithoutPathToUpstreams(t *testing.T) {
	for _, mode := range []cutMode{cutSilent, cutReset, cutRefused, cutNewOnly} {
		for _, cutEntries := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, %d of %d entries", mode, cutEntries, cutSiteEntries), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newCutSite(t)
					defer s.stop()
					s.playCut(mode, cutEntries)
				})
			})
		}
	}
}

// playCut cuts entries off for a while and checks what is served meanwhile and afterwards.
func (s *cutSite) playCut(mode cutMode, cutEntries int) {
	s.load("before", time.Second)
	for i := range cutEntries {
		s.paths[i].cut(mode)
	}
	// The rule counts from 3 s after the cut on.
	s.load("cut", 3*time.Second)
	s.checkFirstAttempts(s.load("late", 1500*time.Millisecond), cutEntries)
	for i := range cutEntries {
		s.paths[i].cut(cutNone)
	}
	s.load("healed", time.Second)
	s.mu.Lock()
	s.forwarded = 0
	s.mu.Unlock()
	for entry, c := range s.load("after", time.Second) {
		if c.served < c.sent*49/50 {
			s.t.Errorf("a second after the cut entry %d served %d of %d requests", entry, c.served, c.sent)
		}
	}
	s.checkRuns()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.forwarded > 0 {
		s.t.Errorf("a second after the cut %d requests were sent through other entries", s.forwarded)
	}
}

// Guards against an entry that sends all requests of a model to the only group that it reaches.
func TestEntryThatReachesOneGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCutSite(t)
		defer s.stop()
		spared := s.groups[0]
		s.load("before", time.Second)
		s.paths[0].cutExcept([]string{spared}, cutSilent)
		s.load("cut", time.Second)
		s.mu.Lock()
		s.streams = map[string]int{}
		s.mu.Unlock()
		s.checkFirstAttempts(s.load("late", 3*time.Second), 1)
		s.paths[0].cut(cutNone)
		time.Sleep(time.Second)
		s.mu.Lock()
		defer s.mu.Unlock()
		streams := 0
		for _, address := range s.groups {
			streams += s.streams[address]
		}
		if got := s.streams[spared]; 2*got > streams {
			t.Errorf("%d of %d streams of callers of the entry were sent to one of %d groups", got, streams, cutSiteGroups)
		}
	})
}

// Guards against requests that are refused because the only other entry that may serve them is silent for a moment.
func TestRequestsWaitForTheLastSilentEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCutSite(t)
		defer s.stop()
		s.paths[0].cut(cutRefused)
		s.load("cut", time.Second)
		s.endEntry(1)
		s.setSuspended(2, true)
		time.AfterFunc(600*time.Millisecond, func() { s.setSuspended(2, false) })
		var wg sync.WaitGroup
		// The later requests arrive when it is known that the entry is silent.
		for i := range 5 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				if id := fmt.Sprint("late-0-unsafe-", i); !s.request(0, "unsafe", id) {
					t.Errorf("%s is not served", id)
				}
			})
		}
		wg.Wait()
		s.checkRuns()
	})
}

// checkFirstAttempts compares the first entries, which are cut off, with the others: callers are not served less than two thirds as often,
// unless at most 10 and one in 50 of all requests fail there.
func (s *cutSite) checkFirstAttempts(counts []cutSiteCount, cutEntries int) {
	s.t.Helper()
	var cut, others, all cutSiteCount
	for entry, c := range counts {
		part := &others
		if entry < cutEntries {
			part = &cut
		}
		part.sent, part.served = part.sent+c.sent, part.served+c.served
		all.sent += c.sent
	}
	s.t.Logf("cut off: %d of %d served, others: %d of %d", cut.served, cut.sent, others.served, others.sent)
	cutRate, otherRate := float64(cut.served)/float64(cut.sent), float64(others.served)/float64(others.sent)
	if cutRate < otherRate*2/3 && cut.sent-cut.served > 10+all.sent/50 {
		s.t.Errorf("entries that are cut off served %d of %d requests, the others %d of %d", cut.served, cut.sent, others.served, others.sent)
	}
	if otherRate < 0.9 {
		s.t.Errorf("entries that are not cut off served %d of %d requests", others.served, others.sent)
	}
}
