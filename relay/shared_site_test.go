package relay_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/dunlinquay/dunlinquay/httproute"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/siteload"
)

const (
	// sharedEntries is the number of entries that share the groups; each sees a request about once a second.
	sharedEntries = 30
	sharedSlots   = 26
	sharedGapAim  = 300 * time.Millisecond
	// loadReportInterval is the time between two calls of an entry to the leader, reportDelay the time until the sums with a report are back.
	loadReportInterval = 200 * time.Millisecond
	reportDelay        = 300 * time.Millisecond
	// updateDelay is the time that an update takes to other entries.
	updateDelay = 2 * time.Millisecond
)

// callerKind is a kind of callers, which send random requests on a route of their own.
type callerKind struct {
	name     ident.Class
	priority int
	prompt   int
	events   int
	aim      time.Duration
	timeout  time.Duration
	// rate returns the callers per second at a time since the start.
	rate func(at time.Duration) float64
}

// sharedLoad is a load of several kinds of callers on one model.
type sharedLoad struct {
	groups   int
	duration time.Duration
	kinds    []callerKind
	// lost reports whether the exchange of an entry with the leader is lost at a time since the start.
	lost func(entry int, at time.Duration) bool
	// prepare sets fields of each relay.
	prepare func(s *relay.Relay)
}

// sharedCall is what one caller received.
type sharedCall struct {
	kind ident.Class
	// at is when the caller made its first attempt, since the start of the load.
	at time.Duration
	// firstEvent is the time to the first event from the first attempt, 0 if there was none.
	firstEvent time.Duration
	inAim      bool
	refusals   []refusal
}

// refusal is a refused attempt: how long it took, and the Retry-After.
type refusal struct {
	after, retryAfter time.Duration
	// attemptedAt is when the attempt was made, since the start of the load.
	attemptedAt time.Duration
}

// sharedSite has entries that share engines, and a leader that sums their reports.
type sharedSite struct {
	load    *sharedLoad
	began   time.Time
	relays  []*relay.Relay
	engines map[string]*iterationEngine
	records sync.Map

	mu    sync.Mutex
	table siteload.Table
	// inflight are the requests of each entry at each upstream, as last reported.
	inflight []map[ident.Incarnation]int
}

// runShared runs a load against a site and returns what its callers received.
func runShared(t *testing.T, load *sharedLoad) []sharedCall {
	t.Helper()
	var calls []sharedCall
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		site := &sharedSite{load: load, began: time.Now(), engines: map[string]*iterationEngine{}, inflight: make([]map[ident.Incarnation]int, sharedEntries)}
		for i := range load.groups {
			e := &iterationEngine{slots: sharedSlots}
			site.engines["h"+strconv.Itoa(i)] = e
			running.Go(func() { e.run(ctx) })
		}
		for i := range sharedEntries {
			site.relays = append(site.relays, site.newRelay(i))
		}
		for i, s := range site.relays {
			running.Go(func() { site.report(ctx, i, s) })
		}
		calls = site.send()
		for _, e := range site.engines {
			e.close()
		}
		cancel()
		running.Wait()
	})
	return calls
}

func (p *sharedSite) newRelay(i int) *relay.Relay {
	cfg := timedConfig()
	engine := cfg.Services[1].Engine
	engine.Slots, engine.StepTimePerSequence = sharedSlots, 200*time.Microsecond
	engine.TypicalSize = httproute.RequestSize{Prompt: 1700, Answer: 80}
	cfg.Routes = nil
	for _, kind := range p.load.kinds {
		r := newRoute(kind.name, httproute.KindStream, "model", 1)
		r.Priority, r.Aim, r.GapAim, r.Timeout = kind.priority, kind.aim, sharedGapAim, kind.timeout
		cfg.Routes = append(cfg.Routes, r)
	}
	s := relay.New(headerNames(), func(ctx context.Context, address string) (net.Conn, error) {
		return p.engines[address].dial(ctx, address)
	})
	s.KeyValidity = time.Hour
	s.Budget = relay.NewRetryBudget(relay.RetryBudgetRule{Ratio: 0.2, Window: 10 * time.Second, Allowance: 100})
	s.Budget.SetEntries(sharedEntries)
	s.RandomInt = rand.New(rand.NewPCG(1, uint64(i))).IntN
	s.Observe = func(r *relay.Record) { p.records.Store(r.ID, r) }
	from := netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(1+i))
	s.SendUpdate = func(update relay.EntryUpdate, _ []string) {
		time.AfterFunc(updateDelay, func() {
			for j, other := range p.relays {
				if j != i {
					other.Receive(update, from)
				}
			}
		})
	}
	if p.load.prepare != nil {
		p.load.prepare(s)
	}
	s.SetConfig(cfg)
	s.SetConfirmed(time.Now())
	setGroups(s, 1, p.load.groups)
	return s
}

// report exchanges the counts of an entry for the sums over all entries until ctx ends.
func (p *sharedSite) report(ctx context.Context, i int, s *relay.Relay) {
	time.Sleep(loadReportInterval * time.Duration(i) / sharedEntries)
	for ctx.Err() == nil {
		report := s.CollectLoad()
		observations, _ := s.CollectObservations()
		lost := p.load.lost != nil && p.load.lost(i, time.Since(p.began))
		if !lost {
			time.AfterFunc(reportDelay/2, func() {
				summary, others := p.exchange(i, report, observations)
				time.AfterFunc(reportDelay/2, func() {
					s.SetSiteLoad(summary)
					s.SetPeerCounts(others)
				})
			})
		}
		time.Sleep(loadReportInterval)
	}
}

// exchange applies a report at the leader and returns its reply.
func (p *sharedSite) exchange(i int, report *siteload.Report, observations []relay.Observation) (*siteload.Summary, map[ident.Incarnation]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.table.Apply(time.Now(), strconv.Itoa(i), report)
	p.inflight[i] = map[ident.Incarnation]int{}
	for _, o := range observations {
		p.inflight[i][o.ID] = o.Inflight
	}
	others := map[ident.Incarnation]int{}
	for j, inflight := range p.inflight {
		for id, n := range inflight {
			if j != i {
				others[id] += n
			}
		}
	}
	return p.table.Summary(time.Now()), others
}

// send starts the callers of all kinds at random entries and waits until all have ended.
func (p *sharedSite) send() []sharedCall {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var calls []sharedCall
	for k := range p.load.kinds {
		kind := &p.load.kinds[k]
		wg.Go(func() {
			random := rand.New(rand.NewPCG(3, uint64(k)))
			for n := 0; ; n++ {
				time.Sleep(time.Duration(random.ExpFloat64() / kind.rate(time.Since(p.began)) * float64(time.Second)))
				if time.Since(p.began) >= p.load.duration {
					return
				}
				entries := [2]*relay.Relay{p.relays[random.IntN(sharedEntries)], p.relays[random.IntN(sharedEntries)]}
				wg.Go(func() {
					call := p.call(kind, string(kind.name)+strconv.Itoa(n), entries)
					mu.Lock()
					defer mu.Unlock()
					calls = append(calls, call)
				})
			}
		})
	}
	wg.Wait()
	return calls
}

// call sends one request, and once more after a refusal, as the Retry-After says but after at most a third of the remaining time.
func (p *sharedSite) call(kind *callerKind, id string, entries [2]*relay.Relay) sharedCall {
	began := time.Now()
	result := sharedCall{kind: kind.name, at: began.Sub(p.began)}
	for n, entry := range entries {
		remaining := kind.timeout - time.Since(began)
		sent := time.Now()
		w, rec := p.attempt(kind, id+"."+strconv.Itoa(n), entry, remaining)
		if rec != nil && rec.Code == 0 {
			result.firstEvent = sent.Sub(began) + rec.FirstEvent
			result.inAim = result.firstEvent <= kind.aim && rec.MaxEventGap <= sharedGapAim
			return result
		}
		seconds, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		if err != nil {
			return result
		}
		retryAfter := time.Duration(seconds * float64(time.Second))
		result.refusals = append(result.refusals, refusal{time.Since(sent), retryAfter, sent.Sub(p.began)})
		time.Sleep(min(retryAfter, (kind.timeout-time.Since(began))/3))
	}
	return result
}

func (p *sharedSite) attempt(kind *callerKind, id string, entry *relay.Relay, remaining time.Duration) (*httptest.ResponseRecorder, *relay.Record) {
	ctx, cancel := context.WithTimeout(context.Background(), remaining)
	defer cancel()
	r := httptest.NewRequest(http.MethodPost, "/"+string(kind.name)+"/x", http.NoBody).WithContext(ctx)
	r.Host = "h"
	for name, value := range map[string]string{
		"Request": id, "Key": "secret", "Model": "m", "Tokens": strconv.Itoa(kind.prompt) + "," + strconv.Itoa(10*kind.events),
		"Estimate": strconv.Itoa(5 * kind.events), "Deadline": strconv.Itoa(int(remaining.Milliseconds())),
	} {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	func() {
		defer func() { _ = recover() }() // an aborted answer panics, as in net/http
		entry.ServeHTTP(w, r)
	}()
	found, _ := p.records.Load(id)
	rec, _ := found.(*relay.Record)
	return w, rec
}

// inAimShare returns the callers of a kind between two times and the fraction of them that were answered in time.
func inAimShare(calls []sharedCall, kind ident.Class, from, to time.Duration) (n int, share float64) {
	inAim := 0
	for i := range calls {
		if c := &calls[i]; c.kind == kind && c.at >= from && c.at < to {
			n++
			if c.inAim {
				inAim++
			}
		}
	}
	return n, float64(inAim) / float64(max(1, n))
}
