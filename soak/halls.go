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
	"github.com/dunlinquay/dunlinquay/site"
	"github.com/dunlinquay/dunlinquay/transport"
)

const (
	// hallBound is how long after a hall was drained requests may still reach its upstreams.
	hallBound = 3 * time.Second
	// backLimit is how long taking a hall back may take.
	backLimit = 30 * time.Second
	// drainWatchPause is how often the list of drained halls is read.
	drainWatchPause = 100 * time.Millisecond
	// mostDrains is how many times a hall is drained in a row, at most.
	mostDrains = 4
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

// drainAgain drains a hall several times in series, each time until an order to do so and one to take it back are acknowledged. Operators wait
// only briefly for an answer, so that orders of theirs are read when newer ones have been acknowledged.
func (s *soak) drainAgain(ctx context.Context, random *rand.Rand) string {
	hall := ident.Hall(fmt.Sprintf("hall-%d", random.IntN(domainCount)))
	if !s.truth.beginDrain(hall) {
		return ""
	}
	seed := random.Uint64()
	s.tasks.Go(func() {
		random := rand.New(rand.NewPCG(seed, 1))
		defer s.truth.forgetDrain(hall)
		for range 1 + random.IntN(mostDrains) {
			if ctx.Err() == nil && s.orderHallWithin(ctx, random, platform.DrainPath(hall), orderPatience) {
				s.truth.drainAcknowledged(hall)
				s.notef("%s drained", hall)
			}
			// About every second time the hall is taken back at once.
			pause(ctx, time.Duration(random.IntN(2))*between(random, hallBound, 3*hallBound))
			s.truth.endDrain(hall)
			if ctx.Err() == nil {
				s.giveUpOrder(ctx, random, platform.UndrainPath(hall))
			}
			back, cancel := context.WithTimeout(context.WithoutCancel(ctx), backLimit)
			if s.orderHallWithin(back, random, platform.UndrainPath(hall), orderPatience) {
				s.notef("%s taken back", hall)
			}
			cancel()
		}
	})
	return string(hall)
}

// giveUpOrder gives an order on a hall to a daemon that is paused, or to which operators' calls are held back, and gives it up.
func (s *soak) giveUpOrder(ctx context.Context, random *rand.Rand, path string) {
	d := one(random, s.controlDaemons())
	wait := between(random, 2*orderPatience, longestHold)
	if random.IntN(2) == 0 {
		d.pause(true)
		s.after(ctx, wait, func() { d.pause(false) })
	} else {
		d.calls.set(weather{muteTo: true})
		s.after(ctx, wait, func() { d.calls.set(weather{}) })
	}
	callCtx, cancel := context.WithTimeout(ctx, orderPatience)
	defer cancel()
	_, _, err := call(callCtx, http.MethodPost, "http://"+d.calls.address()+path, nil)
	s.notef("%s reads %s within %v: %v", d.name, path, wait, err)
}

// orderHall gives an order on a hall to one daemon after the other until one acknowledges it.
func (s *soak) orderHall(ctx context.Context, random *rand.Rand, path string) bool {
	return s.orderHallWithin(ctx, random, path, changeLimit)
}

// orderHallWithin is orderHall for an operator who waits as long as patience for each answer.
func (s *soak) orderHallWithin(ctx context.Context, random *rand.Rand, path string, patience time.Duration) bool {
	for ctx.Err() == nil {
		d := one(random, s.controlDaemons())
		callCtx, cancel := context.WithTimeout(ctx, patience)
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

// watchDrains checks that the leader lists the drained hall. A leader that was paused may answer once with what it knew before, so two answers
// in a row must lack the hall.
func (s *soak) watchDrains(ctx context.Context, random *rand.Rand) {
	var missingSince time.Time
	for ctx.Err() == nil {
		pause(ctx, drainWatchPause)
		before := s.truth.drained()
		if before.since.IsZero() {
			missingSince = time.Time{}
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, orderPatience)
		state, err := site.Inspect(callCtx, transport.TCP(), []string{one(random, s.controlDaemons()).link.address()})
		cancel()
		if err != nil || s.truth.drained() != before {
			continue
		}
		if slices.Contains(state.Drained, before.hall) {
			missingSince = time.Time{}
			continue
		}
		if missingSince != before.since {
			missingSince = before.since
			continue
		}
		s.truth.breaksf("the leader lists the drained halls %v, %v after it confirmed the drain of %s", state.Drained, time.Since(before.since), before.hall)
	}
}

// drained returns the hall that is drained, with a zero time if its drain was not acknowledged or is about to end.
func (t *truth) drained() drains {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drains
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
