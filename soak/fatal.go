package soak

// Requests that end the upstreams which run them, and come again under other
// ids, at any entry: either with the same body, or with another body and the
// same prompt part. What upstreams see is the check: one that has ended three
// (five with the part) reaches no more than three later on, wherever it comes.

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/dunlinquay/dunlinquay/platform"
	"github.com/dunlinquay/dunlinquay/transport"
)

const (
	// fatalPrefix begins a body that ends what runs it.
	fatalPrefix = "fatal-"
	// fatalPartPrefix begins a body that ends what runs it because of a prompt part; the part's name ends at the slash.
	fatalPartPrefix = fatalPrefix + "part-"
	// fatalEnds is after how many ends all entries must know within fatalKnown, fatalPartEnds the same for a prompt part, and fatalMore how
	// many upstreams it may reach later.
	fatalEnds     = 3
	fatalPartEnds = 5
	fatalMore     = 3
	fatalKnown    = 3 * time.Second
	// heldCode is the number of the refusal of work that is held.
	heldCode = `"result-code":2021`
	// partHeldCode is the same for a prompt part that is held.
	partHeldCode = `"result-code":2025`
)

// fatal is one body, or one prompt part, that ends what runs it.
type fatal struct {
	// enoughAt is when as many upstreams had ended as all entries must know of.
	enoughAt time.Time
	ends     int
	late     int
}

// fatalName returns what requests with this body have in common, and how many ends are enough for it.
func fatalName(body string) (string, int) {
	if name, _, ok := strings.Cut(body, "/"); ok && strings.HasPrefix(body, fatalPartPrefix) {
		return name, fatalPartEnds
	}
	return body, fatalEnds
}

// promptParts returns the header of a prompt: a part that all share, one that few share, and one of its own.
func promptParts(few, id string) string {
	return "a0:40," + few + ":40," + strconv.FormatUint(hashOf(id), 16) + ":20"
}

// isFatal reports whether a body ends what runs it.
func isFatal(body []byte) bool {
	return strings.HasPrefix(string(body), fatalPrefix)
}

// fatalRuns notes that an upstream begins to run a body that ends it; ends is set for the first of those that run there, since several
// copies at one upstream end it once.
func (t *truth) fatalRuns(body string, ends bool) {
	name, enough := fatalName(body)
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.fatals[name]
	if f == nil {
		f = &fatal{}
		t.fatals[name] = f
	}
	now := time.Now()
	if f.ends >= enough && now.Sub(f.enoughAt) > fatalKnown {
		f.late++
	}
	if ends {
		f.ends++
	}
	if ends && f.ends == enough {
		f.enoughAt = now
	}
	if f.late > fatalMore && !t.untimed {
		t.noteBrokenf("%s, under which %d upstreams had ended, reached %d more later than %v after that", name, enough, f.late, fatalKnown)
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

// sendFatals lets one new body or prompt part after the other come as long as there is trouble, and each of them again and again as long as
// there is load: with ever new ones no site of some engines would come to serve again.
func (s *soak) sendFatals(trouble, load context.Context, random *rand.Rand) {
	for n := 0; ; n++ {
		pause(trouble, between(random, time.Second, 3*time.Second))
		if trouble.Err() != nil {
			return
		}
		f := &fatalSeries{body: fatalPrefix + strconv.Itoa(n), kind: one(random, kinds), model: string(one(random, models).Name), copies: 1 + random.IntN(3)}
		if n%2 == 1 {
			f.body, f.kind, f.part = fatalPartPrefix+strconv.Itoa(n), kinds[random.IntN(2)], "bad"+strconv.Itoa(n)
		}
		f.every = between(random, 100*time.Millisecond, 500*time.Millisecond)
		s.notef("%s comes on %s every %v at %d entries", f.body, f.kind.path, f.every, f.copies)
		s.tasks.Go(func() { s.repeat(load, f) })
	}
}

// fatalSeries is a body, or with part a prompt part, that comes again and again.
type fatalSeries struct {
	body, part, model string
	kind              kind
	copies            int
	every             time.Duration
}

// repeat sends a series until ctx ends.
func (s *soak) repeat(ctx context.Context, f *fatalSeries) {
	random := s.random(hashOf(f.body))
	for n := 0; ctx.Err() == nil; n++ {
		for i := range f.copies {
			c := &caller{s: s, name: f.body + "-" + strconv.Itoa(i), random: s.random(random.Uint64()), entry: one(random, s.entries), sent: n}
			s.tasks.Go(func() { c.sendOnce(ctx, f) })
		}
		pause(ctx, f.every)
	}
}

// sendOnce sends one request of a series, whatever comes of it.
func (c *caller) sendOnce(ctx context.Context, f *fatalSeries) {
	r := &request{id: c.name + "-" + strconv.Itoa(c.sent), repeatable: f.kind.repeatable, key: stableKey}
	ctx, cancel := context.WithTimeout(ctx, callerWait)
	defer cancel()
	body := f.body
	if f.part != "" {
		body += "/" + r.id
	}
	req, err := c.request(ctx, f.kind, r, []byte(body))
	if err != nil {
		c.s.truth.breaksf("a request cannot be built: %v", err)
		return
	}
	if f.part != "" {
		names := platform.HeaderNames()
		req.Header.Set(names.Model, f.model)
		req.Header.Set(names.PromptParts, promptParts(f.part, r.id))
	}
	c.s.truth.sends(r)
	resp, err := transport.New(transport.Fresh, transport.TCP()).Do(req)
	if err != nil {
		return // nothing is promised to it
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	switch {
	case strings.Contains(string(text), heldCode):
		c.s.truth.answered("held")
	case strings.Contains(string(text), partHeldCode):
		c.s.truth.answered("held by a part")
	}
	if resp.StatusCode == http.StatusServiceUnavailable {
		c.s.truth.refused(r)
	}
}
