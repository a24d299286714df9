package fairshare

// Requests of language models differ tenfold in work, so customers are compared
// by the upstream time that their requests use and not by their number. Each
// customer has two decaying sums: the work that was sent to upstreams, and the
// work that found no capacity. The fair shares follow from both by max-min
// fairness: a customer that asks for less than an equal part of the capacity gets
// all of it, and what it leaves goes to the others. With equal weights:
//
//	sent 10 in total      asked   fair share
//	customer a              1         1
//	customer b              3         3
//	customer c             20         6       over its share
//
// Without work that found no capacity every customer gets what it asks for, and
// none is over its share. Only work counts that is recent, so an idle customer
// neither keeps a share nor saves one up.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// MaxCustomers bounds the customers with an account of their own; all others share one.
	MaxCustomers = 1000
	// halfLife is the half-life of the sums: short enough that a customer's excess counts within about a second, and long enough that the
	// few requests of a small customer do not look like an excess.
	halfLife = 2 * time.Second
	// updateInterval is how often the sums decay and the fair shares are computed again: often compared to the half-life.
	updateInterval = 100 * time.Millisecond
	// idleAfter is when an account without requests is dropped; a thousandth of its sums is left by then.
	idleAfter = 10 * halfLife
	// overRatio is the ratio of what a customer asks for to its fair share from which it is over its share. The sums of few requests vary,
	// and the sent work understates the capacity in the first second of an overload; with 1.1 large customers counted as over their share
	// then.
	overRatio = 1.25
	// overDeviations is by how many standard deviations of the number of its requests a customer must exceed its share: at an entry that
	// sees a few requests, one refusal would otherwise be an excess.
	overDeviations = 1.5
	// minServed is the fraction of its fair share that a customer must have got to be over its share, so that several customers with an
	// excess share by their weights what the others leave.
	minServed = 0.9
	// minActive is the fraction of the sent work below which what customers within their shares ask for no longer counts: nearly all of it has
	// decayed.
	minActive = 0.001
)

// Usage is work of a customer, in upstream-seconds, and the number of its requests.
type Usage struct {
	// Sent is the work of requests that were sent to upstreams.
	Sent float64
	// Unmet is the work of requests that found no capacity: those that wait, and those that were refused.
	Unmet float64
	// Requests is the number of requests with this work.
	Requests float64
}

// Asked returns the work that was asked for, whether it was sent or not.
func (u Usage) Asked() float64 { return u.Sent + u.Unmet }

// Plus returns the sum of two usages.
func (u Usage) Plus(other Usage) Usage {
	return Usage{u.Sent + other.Sent, u.Unmet + other.Unmet, u.Requests + other.Requests}
}

// maxWork bounds the work, and the requests, that are added at once: a million upstreams complete it in a second.
const maxWork = 1e6

// valid reports whether the work can be that of real requests.
func (u Usage) valid() bool {
	return math.Abs(u.Sent) <= maxWork && math.Abs(u.Unmet) <= maxWork && math.Abs(u.Requests) <= maxWork // false for NaN
}

// account holds the decaying sums of one customer, or of all customers without an account of their own.
type account struct {
	customer ident.Customer
	weight   float64
	usage    Usage
	usedAt   time.Time
	// ratio and over are the account's share as of the last computation of fair shares.
	ratio float64
	over  bool
}

// add adds work; a correction of work that has decayed since, or of work that was never reported, leaves no negative sum.
func (a *account) add(now time.Time, u Usage) {
	a.usage.Sent = max(0, a.usage.Sent+u.Sent)
	a.usage.Unmet = max(0, a.usage.Unmet+u.Unmet)
	a.usage.Requests = max(0, a.usage.Requests+u.Requests)
	a.usedAt = now
}

// Counters holds the sums of all customers that compete for the same capacity. The zero value is empty, with equal weights; it is not safe
// for concurrent use.
type Counters struct {
	// Weights are the weights of the shares; a customer that is not listed has 1.
	Weights map[ident.Customer]float64

	accounts map[ident.Customer]*account
	list     []*account
	// sorted is reused for each computation of the fair shares.
	sorted []*account
	// rest is the account of customers without one of their own.
	rest      account
	updatedAt time.Time
	// othersActive is set when customers within their shares asked for work as of the last computation; computed is set until the sums
	// decay.
	othersActive bool
	computed     bool
}

// Add adds work of a customer; negative work corrects what was added before. Invalid values are ignored.
func (c *Counters) Add(now time.Time, customer ident.Customer, u Usage) {
	if !u.valid() {
		return
	}
	c.update(now)
	a := c.accounts[customer]
	if a == nil && len(c.list) < MaxCustomers {
		a = c.open(customer)
	}
	if a == nil {
		a = &c.rest
		a.weight = max(1, a.weight)
	}
	a.add(now, u)
}

// AddRest adds work of a number of customers that get no account of their own.
func (c *Counters) AddRest(now time.Time, customers int, u Usage) {
	if customers <= 0 || !u.valid() {
		return
	}
	c.update(now)
	c.rest.weight = max(c.rest.weight, float64(customers))
	c.rest.add(now, u)
}

// open adds an account for a customer.
func (c *Counters) open(customer ident.Customer) *account {
	if c.accounts == nil {
		c.accounts = map[ident.Customer]*account{}
	}
	weight := c.Weights[customer]
	if weight <= 0 {
		weight = 1
	}
	a := &account{customer: customer, weight: weight}
	c.accounts[customer] = a
	c.list = append(c.list, a)
	return a
}

// update lets the sums decay, and drops idle accounts.
func (c *Counters) update(now time.Time) {
	elapsed := now.Sub(c.updatedAt)
	if elapsed < updateInterval && !c.updatedAt.IsZero() {
		return
	}
	c.updatedAt = now
	c.computed = false
	remaining := math.Exp2(-float64(elapsed) / float64(halfLife))
	c.rest.decay(remaining)
	c.list = slices.DeleteFunc(c.list, func(a *account) bool {
		idle := now.Sub(a.usedAt) > idleAfter
		if idle {
			delete(c.accounts, a.customer)
		}
		a.decay(remaining)
		return idle
	})
	if now.Sub(c.rest.usedAt) > idleAfter {
		c.rest = account{}
	}
}

func (a *account) decay(remaining float64) {
	a.usage.Sent *= remaining
	a.usage.Unmet *= remaining
	a.usage.Requests *= remaining
}

// Entry is the work of one customer.
type Entry struct {
	Customer ident.Customer
	Usage
}

// Largest returns the n customers that ask for the most work, in that order, with the number and the sum of all others.
func (c *Counters) Largest(now time.Time, n int) (largest []Entry, others int, rest Usage) {
	c.update(now)
	slices.SortFunc(c.list, func(a, b *account) int {
		return cmp.Or(cmp.Compare(b.usage.Asked(), a.usage.Asked()), cmp.Compare(a.customer, b.customer))
	})
	rest, others = c.rest.usage, int(c.rest.weight)
	for i, a := range c.list {
		if i < n {
			largest = append(largest, Entry{a.customer, a.usage})
			continue
		}
		rest = rest.Plus(a.usage)
		others++
	}
	return largest, others, rest
}
