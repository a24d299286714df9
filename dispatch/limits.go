package dispatch

// Upstreams name how many requests a second they take from all daemons together
// (package ratelimit). What is to be sent is let go by the daemon that
// coordinates the upstream; heads of groups and workers go by their addresses.

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/dunlinquay/dunlinquay/admission"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/result"
)

// turnPart is the part of its time that a request waits for its turn where it has nowhere else to go: the rest is for the answer.
const turnPart = 0.5

// busyWait is how long the questions that are out on an upstream take to be answered.
const busyWait = 5 * time.Millisecond

// TurnIn returns how long until the upstream at an address has a turn for a request, 0 when it may have one now.
func (d *Dispatcher) TurnIn(now time.Time, address string) time.Duration {
	g := d.Limits.Availability(now, address)
	if g.Busy {
		return max(g.Remaining, busyWait)
	}
	return g.Remaining
}

// HeardLimit takes what an upstream says of its limit in an answer to a request that was sent at a time. That it names none counts only in
// a success: a failure may come from something before it that knows of no limit.
func (d *Dispatcher) HeardLimit(address string, sent time.Time, status int, h http.Header) {
	now, words := d.Now(), d.Limits.Table
	rate, named, err := ratelimit.ParseHeader(h, ratelimit.Header)
	var was ratelimit.Limit
	changed := false
	switch {
	case err != nil:
		d.LimitUnclear(address, err)
	case named:
		was, changed = words.Record(address, rate, now)
	case status < http.StatusMultipleChoices:
		was, changed = words.RecordUnlimited(address, sent, now)
	}
	if changed {
		d.LimitChanged(address, words.Newest(address), was)
	}
}

// turn waits until a request may go to an upstream. One that has nowhere else to go waits for its turn; any other goes elsewhere.
func (d *Dispatcher) turn(ctx context.Context, address string, deadline time.Time, waits bool) ratelimit.Permit {
	patience := ratelimit.MaxWaitWithAlternatives
	if waits {
		patience = max(patience, time.Duration(turnPart*float64(deadline.Sub(d.Now()))))
	}
	p := d.Limits.Acquire(ctx, address, patience)
	if !p.OK || p.After <= 0 {
		return p
	}
	timer := time.NewTimer(p.After)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return p
}

// refuseTurn returns the refusal of a request that gets no turn in time.
func refuseTurn(p *ratelimit.Permit, model ident.Model) error {
	after := p.After + time.Duration(admission.AwaySpread*rand.Float64()*float64(p.After))
	return admission.Refuse(result.Limited, after, "all that serve %q take no more within their limits in time, the first one takes another in %v", model, p.After)
}
