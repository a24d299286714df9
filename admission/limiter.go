package admission

import (
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// Share is what one daemon may let one customer use; zero means no bound.
type Share struct {
	Weight            float64
	Concurrent        int
	RequestsPerSecond float64
	TokensPerSecond   float64
	// Bounded is set when Concurrent counts even when it is zero.
	Bounded bool
}

// Demand is what one customer has used and wanted at one daemon since the last report.
type Demand struct {
	Customer ident.Customer
	// Concurrent is the largest number running and waiting at once.
	Concurrent int
	Requests   int
	Tokens     int
}

// bucket is a token bucket that holds one second's worth, and may go into debt by one request.
type bucket struct {
	level float64
	at    time.Time
}

func (b *bucket) refill(now time.Time, rate float64) {
	full := max(rate, 1)
	if b.at.IsZero() {
		b.level = full
	} else {
		b.level = min(full, b.level+rate*now.Sub(b.at).Seconds())
	}
	b.at = now
}

// wait returns how long until the bucket lets a request through; zero is now.
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

func (b *bucket) take(rate, n float64) {
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
	// finish is the virtual time at which the customer's queued work ends; see queue.go.
	finish float64
	demand Demand
}

func (c *customer) atLimit() bool {
	return (c.share.Concurrent > 0 || c.share.Bounded) && c.running >= c.share.Concurrent
}

// rateWait returns how long the customer's rates make it wait, and takes the request from them when that is zero.
func (c *customer) rateWait(now time.Time, tokens ident.Tokens) time.Duration {
	d := max(c.requests.wait(now, c.share.RequestsPerSecond), c.tokens.wait(now, c.share.TokensPerSecond))
	if d == 0 {
		c.requests.take(c.share.RequestsPerSecond, 1)
		c.tokens.take(c.share.TokensPerSecond, float64(tokens))
	}
	return d
}

func (c *customer) weight() float64 {
	if c.share.Weight <= 0 {
		return 1
	}
	return c.share.Weight
}

func (c *customer) noteDemand() {
	c.demand.Concurrent = max(c.demand.Concurrent, c.running+c.waiting)
}
