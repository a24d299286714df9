package soak

// Upstreams that turn requests away and ask the entry that sent them for time,
// and leaving ones that say so in their answers. They know which entry a request
// comes from by its caller's word, since links stand between.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/platform"
)

const (
	// askedKnown is how long after an upstream's word requests may be on their way, and askedMore how many may come later.
	askedKnown = 500 * time.Millisecond
	askedMore  = 2
	// leavingKnown is how long after it a caller may still have sent a request that reaches a leaving upstream.
	leavingKnown = 2 * time.Second
	// closesPart is the part of the answers after which an upstream closes the connection, and says so.
	closesPart = 0.05
)

// sender is one life of an entry.
type sender struct {
	entry ident.Daemon
	life  int
}

// senderOf returns the life of an entry that runs now, life 0 where none does.
func senderOf(d *daemon) sender {
	life, _, _ := d.state()
	return sender{d.name, life}
}

// asked is a time that an upstream asked an entry for, and how many requests came in it.
type asked struct {
	at    time.Time
	until time.Time
	came  int
}

// sentBy returns through which entry a request goes.
func (t *truth) sentBy(id string) (from sender, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.requests[id]; r != nil {
		return r.from, r.sent
	}
	return sender{}, time.Time{}
}

// turnsAway lets an upstream turn away all that comes for a time, and ask each time for up to so long.
func (s *soak) turnsAway(ctx context.Context, random *rand.Rand) string {
	e := s.someEngine(random)
	if e == nil {
		return ""
	}
	set := func(most time.Duration) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.asksFor = most
	}
	wait, most := between(random, 500*time.Millisecond, 5*time.Second), between(random, 200*time.Millisecond, 6*time.Second)
	set(most)
	s.after(ctx, wait, func() { set(0) })
	return fmt.Sprintf("%s for %v, asks for up to %v", e.id, wait, most)
}

// arrives notes that a request has come, says in its answer that the upstream leaves if it does, and turns the request away when the
// upstream takes none now.
func (e *engine) arrives(w http.ResponseWriter, id string) (turnedAway bool) {
	from, sent := e.truth.sentBy(id)
	now := time.Now()
	e.mu.Lock()
	var broken []string
	if from.life > 0 {
		broken = append(e.earlyFor(now, from), e.lateFor(now, from, sent)...)
	}
	if from.life > 0 {
		if what := e.countLimited(now, from); what != "" {
			broken = append(broken, what)
		}
	}
	wait, turnedAway := e.ask(now, from)
	e.sayLimit(w.Header(), now, from)
	leaving, closes := e.says(), e.random.Float64() < closesPart
	e.mu.Unlock()
	if closes {
		w.Header().Set("Connection", "close")
	}
	for _, what := range broken {
		e.truth.breaksf("%s gets request %s from %v: %s", e.id, id, from, what)
	}
	if leaving {
		w.Header().Set(platform.HeaderNames().Backpressure.Leaving, "1")
	}
	if turnedAway {
		w.Header().Set("Retry-After", wait)
	}
	return turnedAway
}

// earlyFor counts a request in the times that its entry was asked for, and tells what is broken by it; the mutex is held.
func (e *engine) earlyFor(now time.Time, from sender) (broken []string) {
	for _, a := range e.asked[from] {
		if now.Sub(a.at) <= askedKnown || now.After(a.until) {
			continue
		}
		a.came++
		if a.came > askedMore && e.asksWatched {
			broken = append(broken, fmt.Sprintf("the %d. in the %v that it asked for %v ago", a.came, a.until.Sub(a.at), now.Sub(a.at)))
		}
	}
	return broken
}

// lateFor notes that an entry is told of the leaving, and tells what is broken by a request that was sent long after; the mutex is held.
func (e *engine) lateFor(now time.Time, from sender, sent time.Time) (broken []string) {
	if !e.says() {
		return nil
	}
	said, ok := e.saidLeaving[from]
	if !ok {
		e.saidLeaving[from] = now.Add(workTime)
		return nil
	}
	if late := sent.Sub(said); late > leavingKnown && e.asksWatched {
		broken = append(broken, fmt.Sprintf("sent %v after it was told that it leaves", late))
	}
	return broken
}

// says reports whether the upstream says in its answers that it leaves; the mutex is held.
func (e *engine) says() bool {
	return e.draining || e.goesSilently
}

// ask draws the time that an upstream asks for while it turns requests away, as seconds, as a date, or so that it can't be read, which
// asks for nothing; the mutex is held.
func (e *engine) ask(now time.Time, from sender) (text string, turnsAway bool) {
	if e.asksFor == 0 {
		return "", false
	}
	wait := time.Duration(e.random.Float64() * float64(e.asksFor)).Round(time.Millisecond)
	until := now.Add(wait)
	switch n := e.random.IntN(10); {
	case n == 0:
		return "soon", true
	case n < 3:
		until = until.Truncate(time.Second)
		text = until.UTC().Format(http.TimeFormat)
	default:
		text = strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)
	}
	e.asked[from] = append(e.asked[from], &asked{at: now, until: until})
	return text, true
}

// leavesSilently lets an upstream say in its answers that it leaves, and in no report, and end after a while.
func (s *soak) leavesSilently(ctx context.Context, random *rand.Rand) string {
	e := s.someEngine(random)
	if e == nil {
		return ""
	}
	e.mu.Lock()
	e.goesSilently = true
	e.mu.Unlock()
	s.after(ctx, drainTime, e.crash)
	s.replaceLater(ctx, e, drainTime)
	return string(e.id)
}
