package soak

// Operators drain halls and take them back, and upstreams are cold after their
// start. What reaches an upstream of a drained hall, or a cold one beyond what
// it takes, breaks a promise.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/platform"
)

const (
	// hallBound is how long after a hall was drained requests may still reach its upstreams.
	hallBound = 3 * time.Second
	// backLimit is how long taking a hall back may take.
	backLimit = 30 * time.Second
	// coldFor is how long an upstream is cold after its start, coldRate what it takes then in a second.
	coldFor  = 2 * time.Second
	coldRate = 10.0
	// coldOver and coldSlack are what may reach it in a second: so many times coldRate, and so many requests.
	coldOver  = 1.5
	coldSlack = 5
)

// drainHall drains a hall and takes it back later; one at a time, so that others serve.
func (s *soak) drainHall(ctx context.Context, random *rand.Rand) string {
	hall := ident.Hall(fmt.Sprintf("hall-%d", random.IntN(domainCount)))
	if !s.truth.beginDrain(hall) {
		return ""
	}
	lasts := between(random, hallBound, 2*hallBound)
	seed := random.Uint64()
	s.tasks.Go(func() {
		random := rand.New(rand.NewPCG(seed, 1))
		if s.orderHall(ctx, random, platform.DrainPath(hall)) {
			s.truth.drainAcknowledged(hall)
			s.notef("%s drained", hall)
		}
		pause(ctx, lasts)
		s.truth.endDrain(hall)
		// The hall is taken back also when the faults have ended meanwhile: what serves then is checked.
		back, cancel := context.WithTimeout(context.WithoutCancel(ctx), backLimit)
		defer cancel()
		if s.orderHall(back, random, platform.UndrainPath(hall)) {
			s.notef("%s taken back", hall)
		}
		s.truth.forgetDrain(hall)
	})
	return string(hall)
}

// orderHall gives an order on a hall to one daemon after the other until one acknowledges it.
func (s *soak) orderHall(ctx context.Context, random *rand.Rand, path string) bool {
	for ctx.Err() == nil {
		d := one(random, s.controlDaemons())
		callCtx, cancel := context.WithTimeout(ctx, changeLimit)
		status, text, err := call(callCtx, http.MethodPost, "http://"+d.calls.address()+path, nil)
		cancel()
		switch {
		case err == nil && status == http.StatusOK:
			return true
		case err == nil && status >= http.StatusBadRequest && status < http.StatusInternalServerError && status != http.StatusNotFound:
			s.truth.breaksf("%s refuses %s with %d %s", d.name, path, status, text)
		}
		pause(ctx, probePause)
	}
	return false
}

// drains is the hall that operators drain, since when that was acknowledged.
type drains struct {
	hall  ident.Hall
	since time.Time
}

func (t *truth) beginDrain(hall ident.Hall) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.drains.hall != "" {
		return false
	}
	t.drains.hall = hall
	return true
}

func (t *truth) drainAcknowledged(hall ident.Hall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.drains.hall == hall {
		t.drains.since = time.Now()
	}
}

// endDrain lets requests reach the hall again, forgetDrain lets another one be drained.
func (t *truth) endDrain(ident.Hall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drains.since = time.Time{}
}

func (t *truth) forgetDrain(ident.Hall) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drains = drains{}
}

// drainedFor returns how long a hall has been drained, 0 when it is not.
func (t *truth) drainedFor(hall ident.Hall) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.drains.hall != hall || t.drains.since.IsZero() {
		return 0
	}
	return time.Since(t.drains.since)
}

// checkHallAndCold checks a request that reaches the upstream.
func (e *engine) checkHallAndCold(id string) {
	if !e.watched {
		return
	}
	if after := e.truth.drainedFor(e.hall); after > hallBound {
		e.truth.breaksf("%s gets request %s %v after its hall was drained", e.id, id, after)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.started) >= coldFor {
		return
	}
	e.whileCold = append(slices.DeleteFunc(e.whileCold, func(at time.Time) bool { return now.Sub(at) >= time.Second }), now)
	if n := len(e.whileCold); float64(n) > coldRate*coldOver+coldSlack {
		e.truth.breaksf("%s gets %d requests in a second while it is cold", e.id, n)
	}
}
