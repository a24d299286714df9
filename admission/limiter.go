package admission

import (
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// Share is one daemon's share of one customer's limits; zero fields mean no bound.
type Share struct {
	Weight            float64
	Concurrent        int
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Bounded makes Concurrent a bound even if it is zero.
	Bounded bool
}

// Demand is what one customer has used or requested at one daemon since the last report.
type Demand struct {
	Customer ident.Customer
	// Concurrent is the maximum number of requests that were running or waiting at once.
	Concurrent int
	Requests   int
	Tokens     int
}

// bucket is a token bucket that holds one second of the rate; one request may make its level negative.
type bucket struct {
	level      float64
	refilledAt time.Time
}

func (b *bucket) refill(now time.Time, rate float64) {
	capacity := max(rate, 1)
	if b.refilledAt.IsZero() {
		b.level = capacity
	} else {
		b.level = min(capacity, b.level+rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
}

// wait returns how long until the bucket admits a request, zero for now.
func (b *bucket) wait(now time.Time, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	b.refill(now, rate)
	if b.level > 0 {
		return 0
	}
	return time.Duration((-b.level + 1) / rate * float64(time.Second))
}

func (b *bucket) consume(rate, n float64) {
	if rate > 0 {
		b.level -= n
	}
}

// customer is the state of one customer at this daemon.
type customer struct {
	share    Share
	running  int
	waiting  int
	requests bucket
	tokens   bucket
	// virtualFinish is the virtual time at which the customer's last queued request ends; see queue.go.
	virtualFinish    float64
	unreportedDemand Demand
}

func (c *customer) atLimit() bool {
	return (c.share.Concurrent > 0 || c.share.Bounded) && c.running >= c.share.Concurrent
}

// consumeRates counts one request against the customer's rates and returns zero, or returns how long the request must wait.
func (c *customer) consumeRates(now time.Time, tokens ident.Tokens) time.Duration {
	wait := max(c.requests.wait(now, c.share.RequestsPerSecond), c.tokens.wait(now, c.share.TokensPerSecond))
	if wait == 0 {
		c.requests.consume(c.share.RequestsPerSecond, 1)
		c.tokens.consume(c.share.TokensPerSecond, float64(tokens))
	}
	return wait
}

func (c *customer) weight() float64 {
	if c.share.Weight <= 0 {
		return 1
	}
	return c.share.Weight
}

func (c *customer) updatePeakConcurrency() {
	c.unreportedDemand.Concurrent = max(c.unreportedDemand.Concurrent, c.running+c.waiting)
}
