package site_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/dunlinquay/dunlinquay/backoff"
	"github.com/dunlinquay/dunlinquay/catalog"
	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/roster"
	"github.com/dunlinquay/dunlinquay/settings"
	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/transport"
)

// cutMode is what happens to the connections from an entry to all upstreams.
type cutMode string

const (
	cutNone    cutMode = ""
	cutSilent  cutMode = "silent"
	cutReset   cutMode = "reset"
	cutRefused cutMode = "refused"
	// cutNewOnly refuses new connections, while open ones work.
	cutNewOnly cutMode = "new connections only"
)

// upstreamPath is the network between one entry and all upstreams.
type upstreamPath struct {
	upstreams map[string]bool

	mu   sync.Mutex
	mode cutMode
	// spared is an upstream that stays reachable.
	spared string
	conns  map[*pathConn]struct{}
	// dials counts new connections to upstreams.
	dials int
}

func (p *upstreamPath) cut(mode cutMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode != cutReset {
		return
	}
	for c := range p.conns {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (p *upstreamPath) current() cutMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// dial opens a connection as the entry does.
func (p *upstreamPath) dial(ctx context.Context, address string) (net.Conn, error) {
	if !p.upstreams[address] || address == p.spared {
		return transport.TCP()(ctx, address)
	}
	p.mu.Lock()
	p.dials++
	p.mu.Unlock()
	switch p.current() {
	case cutSilent, cutReset:
		<-ctx.Done()
		return nil, ctx.Err()
	case cutRefused, cutNewOnly:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	conn, err := transport.TCP()(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &pathConn{conn, p}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[*pathConn]struct{}{}
	}
	p.conns[c] = struct{}{}
	return c, nil
}

// pathConn is a connection to an upstream that loses everything while the path is silent.
type pathConn struct {
	net.Conn
	path *upstreamPath
}

func (c *pathConn) silent() bool {
	mode := c.path.current()
	return mode == cutSilent || mode == cutRefused
}

func (c *pathConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent() {
			return n, err
		}
	}
}

func (c *pathConn) Write(b []byte) (int, error) {
	if c.silent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// cutSite is a site of entries with plain workers and groups of one engine, without control: the test sends the leader's replies.
type cutSite struct {
	t       *testing.T
	paths   []*upstreamPath
	entries []*site.Entry
	callers []string
	reply   site.SyncReply

	mu sync.Mutex
	// runs counts the runs of each request that must not be repeated, arrivals the streams of callers
	// of the first entry by upstream.
	runs     map[string]int
	arrivals map[string]int
}

const (
	cutSiteEntries = 3
	// cutSitePlain and cutSiteGroups are the numbers of workers and groups.
	cutSitePlain  = 3
	cutSiteGroups = 6
)

func cutSiteHeaders() relay.HeaderNames {
	return relay.HeaderNames{
		RequestID: "Request", Deadline: "Deadline", Key: "Key", Customer: "Customer", Incarnation: "Life", Signature: "Signature",
		NotRun: "Not-Run", EventID: "Last-Event-Id", Model: "Model", Tokens: "Tokens", Priority: "Priority",
		Blamed: "Blamed", AnswerEstimate: "Estimate", Backpressure: backoff.HeaderNames{Leaving: "Leaving", Limit: "Limit"},
	}
}

func cutSiteConfig(body []byte) (*httproute.Config, error) {
	if string(body) != "1" {
		return nil, fmt.Errorf("no such configuration: %q", body)
	}
	route := func(name ident.Class, kind httproute.Kind, service ident.Service, attempts int) httproute.Route {
		return httproute.Route{
			Name: name, Host: "h", Prefix: "/" + string(name) + "/", Kind: kind, Resumable: kind == httproute.KindStream, Public: true,
			Split: []httproute.Share{{Service: service, Weight: 1}}, Timeout: 4 * time.Second, Aim: 400 * time.Millisecond, GapAim: 300 * time.Millisecond, MaxAttempts: attempts,
		}
	}
	return &httproute.Config{
		Version: 1,
		Routes: []httproute.Route{
			route("safe", httproute.KindSafe, "plain", 2), route("once", httproute.KindUnsafe, "plain", 1), route("stream", httproute.KindStream, "model", 2),
		},
		Services: []httproute.Service{{Name: "plain"}, {Name: "model", Engine: &httproute.Engine{
			Slots: 26, StepTime: 6 * time.Millisecond, StepTimePerSequence: 100 * time.Microsecond, StepsPerIteration: 5, PrefillRate: 46_000,
			TypicalSize: httproute.RequestSize{Prompt: 600, Answer: 20}, Models: []httproute.Model{{Name: "m", Size: 1, TimeFactor: 1}},
		}}},
	}, nil
}

func newCutSite(t *testing.T) *cutSite {
	t.Helper()
	s := &cutSite{t: t, runs: map[string]int{}, arrivals: map[string]int{}}
	config, err := catalog.NewDocument(1, []byte("1"))
	if err != nil {
		t.Fatal(err)
	}
	s.reply = site.SyncReply{Leads: true, Leadership: "a/1", Entries: cutSiteEntries, Usable: true, Version: 1, Config: config.Compressed, Changes: roster.Delta{Full: true, Revision: 1}}
	upstreams := map[string]bool{}
	for i := range cutSitePlain + cutSiteGroups {
		server := httptest.NewServer(http.HandlerFunc(s.serveUpstream))
		t.Cleanup(server.Close)
		address := server.Listener.Addr().String()
		upstreams[address] = true
		id := ident.Incarnation(fmt.Sprintf("u%d", i))
		u := roster.Upstream{ID: id, Service: "plain", Address: address, Slots: 16}
		if i >= cutSitePlain {
			u.Service, u.Slots = "model", 26
			s.reply.Changes.Groups = append(s.reply.Changes.Groups, roster.Group{
				Name: ident.Group(fmt.Sprintf("g%d", i)), Service: "model", Model: "m", Phase: roster.PhaseOpen, Members: []ident.Incarnation{id},
			})
		}
		s.reply.Changes.Upstreams = append(s.reply.Changes.Upstreams, u)
	}
	s.startEntries(upstreams)
	return s
}

func (s *cutSite) startEntries(upstreams map[string]bool) {
	s.t.Helper()
	var hosts []string
	for i := range cutSiteEntries {
		hosts = append(hosts, fmt.Sprintf("127.0.7.%d", i+1))
	}
	peerPort, callerPort := freePort(s.t, hosts...), freePort(s.t, hosts...)
	var list []string
	for _, host := range hosts {
		cfg := settings.DefaultSite()
		cfg.Name, cfg.Hall, cfg.PeerPort = ident.Daemon(host), "hall", peerPort
		cfg.Halls = map[ident.Hall]ident.Region{"hall": "region"}
		cfg.Listen.Host, cfg.Listen.Callers = host, fmt.Sprintf("%s:%d", host, callerPort)
		path := &upstreamPath{upstreams: upstreams}
		e := site.NewEntry(&cfg, cutSiteHeaders(), path.dial)
		e.DecodeConfig = cutSiteConfig
		e.ReadyHandler = func(func() bool) http.Handler { return http.NotFoundHandler() }
		e.LoadSettings = func() (*settings.Site, error) { return &cfg, nil }
		ctx, stop := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			if err := e.Run(ctx); err != nil {
				s.t.Errorf("%s: %v", host, err)
			}
		}()
		s.t.Cleanup(func() {
			stop()
			<-done
		})
		s.paths, s.entries, s.callers = append(s.paths, path), append(s.entries, e), append(s.callers, cfg.Listen.Callers)
		list = append(list, cfg.PeerAddress())
	}
	s.reply.Lists = []site.EntryList{{Hall: "hall", Entries: list}}
	for _, e := range s.entries {
		reply := s.reply
		e.ApplyReply(time.Now(), &reply)
	}
}

// serveUpstream answers as a worker or the head of a group.
func (s *cutSite) serveUpstream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request")
	s.mu.Lock()
	if strings.Contains(id, "-0-stream-") {
		s.arrivals[r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()]++
	}
	s.mu.Unlock()
	w.Header().Set("Request", id)
	w.Header().Set("Signature", "s")
	if !strings.HasPrefix(r.URL.Path, "/stream/") {
		if strings.HasPrefix(r.URL.Path, "/once/") {
			s.mu.Lock()
			s.runs[id]++
			s.mu.Unlock()
		}
		time.Sleep(10 * time.Millisecond)
		_, _ = io.WriteString(w, cutSiteBody(r.URL.Path, id))
		return
	}
	first := 1
	if last := r.Header.Get("Last-Event-Id"); last != "" {
		_, _ = fmt.Sscanf(last, "%d", &first)
		first++
	}
	for i := first; i <= cutSiteEvents; i++ {
		time.Sleep(30 * time.Millisecond)
		if r.Context().Err() != nil {
			return
		}
		_, _ = io.WriteString(w, cutSiteEvent(id, i))
		_ = http.NewResponseController(w).Flush()
	}
}

// cutSiteEvents is the number of events in a stream.
const cutSiteEvents = 5

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
func (s *cutSite) request(client *http.Client, entry int, class, id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	path := "/" + class + "/x"
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.callers[entry]+path, strings.NewReader("body of "+id))
	if err != nil {
		s.t.Error(err)
		return false
	}
	r.Host = "h"
	for name, value := range map[string]string{"Request": id, "Deadline": "4000", "Model": "m", "Tokens": "600,25"} {
		r.Header.Set(name, value)
	}
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return false
	}
	if want := cutSiteBody(path, id); string(body) != want {
		s.t.Errorf("%s: answer %q, want %q", id, body, want)
	}
	return true
}

// cutSiteCount counts the requests of one kind and those that were served.
type cutSiteCount struct{ sent, served int }

// load sends requests of all classes to all entries for d, and returns the counts by entry.
func (s *cutSite) load(name string, d time.Duration) []cutSiteCount {
	counts := make([]cutSiteCount, len(s.entries))
	var mu sync.Mutex
	var wg sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	defer client.CloseIdleConnections()
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		for entry := range s.entries {
			for _, class := range []string{"safe", "once", "stream"} {
				id := fmt.Sprintf("%s-%d-%s-%d", name, entry, class, n)
				wg.Go(func() {
					served := s.request(client, entry, class, id)
					mu.Lock()
					defer mu.Unlock()
					counts[entry].sent++
					if served {
						counts[entry].served++
					}
				})
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
				t.Parallel()
				s := newCutSite(t)
				s.load("before", time.Second)
				for i := range cutEntries {
					s.paths[i].cut(mode)
				}
				// The rule counts from 3 s after the cut on.
				s.load("cut", 3*time.Second)
				counts := s.load("late", 1500*time.Millisecond)
				s.checkFirstAttempts(counts, cutEntries)
				for i := range cutEntries {
					s.paths[i].cut(cutNone)
				}
				s.load("healed", time.Second)
				for entry, c := range s.load("after", time.Second) {
					if c.served < c.sent*49/50 {
						t.Errorf("a second after the cut entry %d served %d of %d requests", entry, c.served, c.sent)
					}
				}
				s.checkDirect()
				s.mu.Lock()
				defer s.mu.Unlock()
				for id, runs := range s.runs {
					if runs > 1 {
						t.Errorf("%s ran %d times", id, runs)
					}
				}
			})
		}
	}
}

// Guards against an entry that sends all requests of a model to the only group that it reaches.
func TestEntryThatReachesOneGroup(t *testing.T) {
	t.Parallel()
	s := newCutSite(t)
	spared := s.reply.Changes.Upstreams[cutSitePlain].Address
	s.paths[0].spared = spared
	s.load("before", time.Second)
	s.paths[0].cut(cutSilent)
	s.load("cut", time.Second)
	s.mu.Lock()
	s.arrivals = map[string]int{}
	s.mu.Unlock()
	counts := s.load("late", 3*time.Second)
	s.checkFirstAttempts(counts, 1)
	streams := 0
	for _, u := range s.reply.Changes.Upstreams[cutSitePlain:] {
		streams += s.arrivals[u.Address]
	}
	if got := s.arrivals[spared]; 2*got > streams {
		t.Errorf("%d of %d streams of callers of the entry were sent to one of %d groups", got, streams, cutSiteGroups)
	}
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

// checkDirect checks that each entry sends requests to upstreams itself again.
func (s *cutSite) checkDirect() {
	s.t.Helper()
	for entry, path := range s.paths {
		path.mu.Lock()
		open := len(path.conns)
		path.mu.Unlock()
		if open == 0 {
			s.t.Errorf("entry %d has opened no connection to an upstream", entry)
		}
	}
}
