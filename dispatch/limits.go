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

// permitWaitFraction is the part of its time that a request waits for its turn where it has nowhere else to go: the rest is for the answer.
const permitWaitFraction = 0.5

// pendingPermitWait is how long the questions that are out on an upstream take to be answered.
const pendingPermitWait = 5 * time.Millisecond

// TurnIn returns how long until the upstream at an address has a turn for a request, 0 when it may have one now.
func (d *Dispatcher) TurnIn(now time.Time, address string) time.Duration {
	availability := d.Limits.Availability(now, address)
	if availability.Busy {
		return max(availability.Remaining, pendingPermitWait)
	}
	return availability.Remaining
}

// HeardLimit takes what an upstream says of its limit in an answer to a request that was sent at a time. That it names none counts only in
// a success: a failure may come from something before it that knows of no limit.
func (d *Dispatcher) HeardLimit(address string, sentAt time.Time, status int, h http.Header) {
	now, limits := d.Now(), d.Limits.Table
	rate, hasLimit, err := ratelimit.ParseHeader(h, ratelimit.Header)
	var previous ratelimit.Limit
	changed := false
	switch {
	case err != nil:
		d.LimitUnclear(address, err)
	case hasLimit:
		previous, changed = limits.Record(address, rate, now)
	case status < http.StatusMultipleChoices:
		previous, changed = limits.RecordUnlimited(address, sentAt, now)
	}
	if changed {
		d.LimitChanged(address, limits.Newest(address), previous)
	}
}

// awaitPermit waits until a request may go to an upstream. One that has nowhere else to go waits for its turn; any other goes elsewhere.
func (d *Dispatcher) awaitPermit(ctx context.Context, address string, deadline time.Time, mustWait bool) ratelimit.Permit {
	maxWait := ratelimit.MaxWaitWithAlternatives
	if mustWait {
		maxWait = max(maxWait, time.Duration(permitWaitFraction*float64(deadline.Sub(d.Now()))))
	}
	permit := d.Limits.Acquire(ctx, address, maxWait)
	if !permit.OK || permit.After <= 0 {
		return permit
	}
	timer := time.NewTimer(permit.After)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return permit
}

// refuseNoPermit returns the refusal of a request that gets no turn in time.
func refuseNoPermit(permit *ratelimit.Permit, model ident.Model) error {
	retryAfter := permit.After + time.Duration(admission.AwaySpread*rand.Float64()*float64(permit.After))
	return admission.Refuse(result.Limited, retryAfter, "all that serve %q take no more within their limits in time, the first one takes another in %v", model, permit.After)
}
