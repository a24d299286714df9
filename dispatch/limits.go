package dispatch

// Upstreams advertise how many requests per second they accept from all daemons
// together (package ratelimit). The daemon that coordinates an upstream grants
// the permits to send to it; heads of groups and workers are identified by
// their addresses.

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

// permitWaitFraction is the fraction of its remaining time that a request without another target waits for a permit; the rest is left
// for the answer.
const permitWaitFraction = 0.5

// pendingPermitWait is the expected wait while earlier permit requests for the upstream are unanswered.
const pendingPermitWait = 5 * time.Millisecond

// PermitIn returns how long until a permit for the upstream at address can be expected, 0 if one may be available now.
func (d *Dispatcher) PermitIn(now time.Time, address string) time.Duration {
	availability := d.Limits.Availability(now, address)
	if availability.Busy {
		return max(availability.Remaining, pendingPermitWait)
	}
	return availability.Remaining
}

// ApplyLimit applies the limit header in the response to a request that was sent at sentAt. Only a successful response without the
// header removes the limit: a failure may be from a proxy before the upstream, which does not know the limit.
func (d *Dispatcher) ApplyLimit(address string, sentAt time.Time, status int, h http.Header) {
	now, limits := d.Now(), d.Limits.Table
	rate, hasLimit, err := ratelimit.ParseHeader(h, ratelimit.Header)
	var previous ratelimit.Limit
	changed := false
	switch {
	case err != nil:
		d.LimitUnreadable(address, err)
	case hasLimit:
		previous, changed = limits.Record(address, rate, now)
	case status < http.StatusMultipleChoices:
		previous, changed = limits.RecordUnlimited(address, sentAt, now)
	}
	if changed {
		d.LimitChanged(address, limits.Newest(address), previous)
	}
}

// awaitPermit waits for a permit to send a request to the upstream at address. With mustWait, for a request without another target, it
// waits for a fraction of the remaining time; otherwise only briefly.
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

// refuseNoPermit returns the refusal of a request that gets no permit in time.
func refuseNoPermit(permit *ratelimit.Permit, model ident.Model) error {
	retryAfter := permit.After + time.Duration(admission.RetryJitter*rand.Float64()*float64(permit.After))
	return admission.Refuse(result.Limited, retryAfter, "no upstream of %q has a permit in time; the first is available in %v", model, permit.After)
}
