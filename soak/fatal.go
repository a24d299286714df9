package soak

// Requests that end the upstreams which run them, and come again with the same
// body under other ids, at any entry. What upstreams see is the check: one that
// has ended three reaches no more than three later on, wherever it comes.

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dunlinquay/dunlinquay/transport"
)

const (
	// fatalPrefix begins a body that ends what runs it.
	fatalPrefix = "fatal-"
	// fatalEnds is after how many ends all entries must know within fatalKnown, and fatalMore how many it may reach later.
	fatalEnds  = 3
	fatalMore  = 3
	fatalKnown = 3 * time.Second
	// heldCode is the number of the refusal of work that is held.
	heldCode = `"result-code":2021`
)

// fatal is one body that ends what runs it.
type fatal struct {
	third time.Time
	ends  int
	late  int
}

// isFatal reports whether a body ends what runs it.
func isFatal(body []byte) bool {
	return strings.HasPrefix(string(body), fatalPrefix)
}

// fatalRuns notes that an upstream begins to run a body that ends it; ends is set for the first of those that run there, since several
// copies at one upstream end it once.
func (t *truth) fatalRuns(body string, ends bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.fatals[body]
	if f == nil {
		f = &fatal{}
		t.fatals[body] = f
	}
	now := time.Now()
	if f.ends >= fatalEnds && now.Sub(f.third) > fatalKnown {
		f.late++
	}
	if ends {
		f.ends++
	}
	if ends && f.ends == fatalEnds {
		f.third = now
	}
	if f.late > fatalMore && !t.untimed {
		t.noteBrokenf("%s, under which %d upstreams had ended, reached %d more later than %v after the third", body, fatalEnds, f.late, fatalKnown)
	}
}

// ends lets the upstream end under a request, and another one come in its place.
func (e *engine) ends(body string) {
	e.mu.Lock()
	replaced := e.replaced
	first := !e.gone && replaced != nil
	e.gone = true
	e.mu.Unlock()
	e.truth.fatalRuns(body, first)
	if !first {
		return
	}
	e.crash()
	replaced()
}

// sendFatals lets one new body after the other come as long as there is trouble, and each of them again and again as long as there is
// load: with ever new ones no site of some engines would come to serve again.
func (s *soak) sendFatals(trouble, load context.Context, random *rand.Rand) {
	for n := 0; ; n++ {
		pause(trouble, between(random, time.Second, 3*time.Second))
		if trouble.Err() != nil {
			return
		}
		body := fatalPrefix + strconv.Itoa(n)
		k := one(random, kinds)
		copies := 1 + random.IntN(3)
		every := between(random, 100*time.Millisecond, 500*time.Millisecond)
		s.notef("%s comes on %s every %v at %d entries", body, k.path, every, copies)
		s.tasks.Go(func() { s.repeat(load, body, k, copies, every) })
	}
}

// repeat sends one body until ctx ends.
func (s *soak) repeat(ctx context.Context, body string, k kind, copies int, every time.Duration) {
	random := s.random(hashOf(body))
	for n := 0; ctx.Err() == nil; n++ {
		for i := range copies {
			c := &caller{s: s, name: body + "-" + strconv.Itoa(i), random: s.random(random.Uint64()), entry: one(random, s.entries), sent: n}
			s.tasks.Go(func() { c.sendOnce(ctx, k, body) })
		}
		pause(ctx, every)
	}
}

// sendOnce sends one request with a body, whatever comes of it.
func (c *caller) sendOnce(ctx context.Context, k kind, body string) {
	r := &request{id: c.name + "-" + strconv.Itoa(c.sent), repeatable: k.repeatable, key: stableKey}
	ctx, cancel := context.WithTimeout(ctx, callerWait)
	defer cancel()
	req, err := c.request(ctx, k, r, []byte(body))
	if err != nil {
		c.s.truth.breaksf("a request cannot be built: %v", err)
		return
	}
	c.s.truth.sends(r)
	resp, err := transport.New(transport.Fresh, transport.TCP()).Do(req)
	if err != nil {
		return // nothing is promised to it
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if strings.Contains(string(text), heldCode) {
		c.s.truth.answered("held")
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		c.s.truth.refused(r)
	}
}
