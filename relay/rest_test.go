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
// roster changed. So what an upstream says of its own wishes has to be kept, for the life that said it and for as long as it said.

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
	"github.com/dunlinquay/dunlinquay/relay"
	"github.com/dunlinquay/dunlinquay/roster"
)

const (
	// wishTrip is a round trip to an upstream, wishWork how long it works on a request.
	wishTrip = 2 * time.Millisecond
	wishWork = 60 * time.Millisecond
	// wishEvery is how often a request comes, wishLasts for how long.
	wishEvery = 10 * time.Millisecond
	wishLasts = 8 * time.Second
	// wishAt is when the first upstream begins to say something.
	wishAt = time.Second
	// onItsWay is how long after an upstream's word a request may still reach it: one that was sent before the word came.
	onItsWay = wishTrip + time.Millisecond
)

// wisher is an upstream that says what it wants.
type wisher struct {
	mu sync.Mutex
	// busyUntil is until when it turns away what comes, asking for rest with the text asks when that is not empty.
	busyUntil time.Time
	asks      string
	leaving   bool
	// arrived is when requests came, refused when it turned one away, said when it first said that it leaves, and served when it
	// first gave a whole answer after its last refusal.
	arrived []time.Time
	refused []time.Time
	said    time.Time
	served  time.Time
	conns   []net.Conn
}

func (u *wisher) dial(ctx context.Context, _ string) (net.Conn, error) {
	time.Sleep(wishTrip)
	near, far := net.Pipe()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.conns = append(u.conns, far)
	go u.serve(far)
	return near, ctx.Err()
}

func (u *wisher) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		extra, refuses := u.take()
		if refuses {
			time.Sleep(wishTrip)
			_, err = io.WriteString(c, head(r, 503, append(extra, "Not-Run: 1", "Content-Length: 0")...))
		} else {
			time.Sleep(wishWork)
			u.done()
			extra = append(extra, signature, "Content-Type: text/event-stream", "Transfer-Encoding: chunked")
			piece := events(1, 2)
			_, err = io.WriteString(c, head(r, 200, extra...)+fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(piece), piece))
		}
		if err != nil {
			return
		}
	}
}

// take notes that a request came and returns what the answer says beside, and whether it is a refusal.
func (u *wisher) take() (extra []string, refuses bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := time.Now()
	u.arrived = append(u.arrived, now)
	if u.leaving {
		extra = append(extra, "Leaving: 1")
		if u.said.IsZero() {
			u.said = now.Add(wishWork)
		}
	}
	if !now.Before(u.busyUntil) {
		return extra, false
	}
	u.refused = append(u.refused, now)
	u.served = time.Time{}
	if u.asks != "" {
		extra = append(extra, "Retry-After: "+u.asks)
	}
	return extra, true
}

func (u *wisher) done() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.served.IsZero() {
		u.served = time.Now()
	}
}

// between returns how many requests came after one moment and before another.
func (u *wisher) between(from, to time.Time) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := 0
	for _, at := range u.arrived {
		if at.After(from) && at.Before(to) {
			n++
		}
	}
	return n
}

// wishSite is one entry before upstreams that say what they want.
type wishSite struct {
	relay     *relay.Relay
	upstreams []*wisher
	revision  roster.Revision

	mu      sync.Mutex
	records []*relay.Record
}

func newWishSite(n int) *wishSite {
	s := &wishSite{}
	byAddress := map[string]*wisher{}
	for i := range n {
		u := &wisher{}
		s.upstreams = append(s.upstreams, u)
		byAddress["h"+strconv.Itoa(i)] = u
	}
	s.relay = relay.New(names(), func(ctx context.Context, address string) (net.Conn, error) {
		return byAddress[address].dial(ctx, address)
	})
	s.relay.KeysLapse = time.Hour
	s.relay.Budget = relay.NewBudget(relay.BudgetRule{Ratio: 0.2, Window: 10 * time.Second, Allowance: 1000})
	s.relay.Draw = rand.New(rand.NewPCG(1, 1)).IntN
	s.relay.Observe = func(r *relay.Record) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.records = append(s.records, r)
	}
	cfg := config()
	cfg.Services[1].Engine.Slots = excessSlots
	s.relay.SetConfig(cfg)
	s.relay.SetConfirmed(time.Now())
	s.list(nil, "")
	return s
}

// list tells the entry of all upstreams but those that are missed; groups have names that end in suffix.
func (s *wishSite) list(missed map[int]bool, suffix string) {
	s.revision++
	d := roster.Delta{Full: true, Revision: s.revision}
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
	s.relay.SetRoster(&d)
}

// ask sends one request and returns the answer.
func (s *wishSite) ask(path, id string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body "+id))
	r.Host = "h"
	for name, value := range map[string]string{
		"Request": id, "Key": "secret", "Model": "m", "Tokens": "800,40", "Deadline": "5000",
	} {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	defer func() { _ = recover() }() // an answer that is cut off ends in a panic, as in net/http
	s.relay.ServeHTTP(w, r)
	return w
}

// load lets a request come every wishEvery until wishLasts is over.
func (s *wishSite) load(path string) {
	began := time.Now()
	var wg sync.WaitGroup
	for n := 0; time.Since(began) < wishLasts; n++ {
		wg.Go(func() { s.ask(path, strconv.Itoa(n)) })
		time.Sleep(wishEvery)
	}
	wg.Wait()
	for _, u := range s.upstreams {
		for _, c := range u.conns {
			c.Close()
		}
	}
}

// wishes plays a site whose first upstream is told by says what it wants.
func wishes(t *testing.T, path string, upstreams int, says func(s *wishSite, first *wisher)) *wishSite {
	t.Helper()
	var s *wishSite
	synctest.Test(t, func(t *testing.T) {
		s = newWishSite(upstreams)
		time.AfterFunc(wishAt, func() { says(s, s.upstreams[0]) })
		s.load(path)
	})
	return s
}

// busy lets an upstream turn away what comes for a time, and ask for rest.
func (u *wisher) busy(d time.Duration, asks string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.busyUntil, u.asks = time.Now().Add(d), asks
}

func (u *wisher) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.leaving = true
}

// An upstream that has asked an entry for rest is reached by nothing that the entry sends before that time is over.
func TestRestIsKept(t *testing.T) {
	const asked = 3 * time.Second
	rests := func(_ *wishSite, u *wisher) { u.busy(asked-time.Second, "3") }
	changes := func(s *wishSite, u *wisher) {
		rests(s, u)
		time.AfterFunc(700*time.Millisecond, func() { s.list(map[int]bool{0: true}, "") })
		time.AfterFunc(900*time.Millisecond, func() { s.list(nil, " again") })
	}
	for name, play := range map[string]struct {
		path string
		says func(s *wishSite, u *wisher)
	}{
		"a plain worker":                  {"/safe/x", rests},
		"a plain worker, once":            {"/unsafe/x", rests},
		"the head of a group":             {"/stream/x", rests},
		"the list misses it for a moment": {"/safe/x", changes},
		"its group is formed again":       {"/stream/x", changes},
	} {
		t.Run(name, func(t *testing.T) {
			s := wishes(t, play.path, 3, play.says)
			u := s.upstreams[0]
			if len(u.refused) == 0 {
				t.Fatal("nothing came while it turned requests away: the test shows nothing")
			}
			for _, at := range u.refused {
				if n := u.between(at.Add(onItsWay), at.Add(asked)); n > 0 {
					t.Errorf("%d requests reached it in the %v that it had asked for at %v", n, asked, at.Sub(u.refused[0]))
				}
			}
			if u.served.IsZero() {
				t.Error("it serves nothing after its rest")
			}
		})
	}
}

// An upstream that says that it leaves gets nothing new, whether or not the roster tells.
func TestALeavingUpstreamGetsNothingNew(t *testing.T) {
	leaves := func(_ *wishSite, u *wisher) { u.leave() }
	changes := func(s *wishSite, u *wisher) {
		u.leave()
		time.AfterFunc(700*time.Millisecond, func() { s.list(map[int]bool{0: true}, "") })
		time.AfterFunc(900*time.Millisecond, func() { s.list(nil, " again") })
	}
	turnsAway := func(_ *wishSite, u *wisher) {
		u.leave()
		u.busy(time.Second, "")
	}
	for name, play := range map[string]struct {
		path string
		says func(s *wishSite, u *wisher)
	}{
		"a plain worker":                  {"/safe/x", leaves},
		"the head of a group":             {"/stream/x", leaves},
		"the list misses it for a moment": {"/stream/x", changes},
		"it says so in refusals":          {"/stream/x", turnsAway},
	} {
		t.Run(name, func(t *testing.T) {
			s := wishes(t, play.path, 3, play.says)
			u := s.upstreams[0]
			if u.said.IsZero() {
				t.Fatal("nothing came once it was leaving: the test shows nothing")
			}
			if n := u.between(u.said.Add(onItsWay), u.said.Add(wishLasts)); n > 0 {
				t.Errorf("%d requests reached it after it had said that it leaves", n)
			}
		})
	}
}
