package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// Share describes what a customer asks for, compared with its fair share of the capacity.
type Share struct {
	// Ratio is the work that the customer asks for, relative to its fair share; it is at most 1 while capacity suffices.
	Ratio float64
	// Over is set when the customer asks for clearly more than its fair share, and has got a part of it.
	Over bool
	// OthersActive is set when there are customers within their shares that ask for work.
	OthersActive bool
}

// Share returns the share of a customer as of at most updateInterval ago.
func (c *Counters) Share(now time.Time, customer ident.Customer) Share {
	c.update(now)
	if !c.computed {
		c.compute()
	}
	a := c.accounts[customer]
	if a == nil && len(c.list) >= MaxCustomers {
		a = &c.rest
	}
	if a == nil {
		return Share{OthersActive: c.othersActive}
	}
	return Share{Ratio: a.ratio, Over: a.over, OthersActive: c.othersActive}
}

// compute computes the fair share of weight 1, and whether customers within their shares ask for work.
func (c *Counters) compute() {
	c.computed = true
	c.sorted = append(c.sorted[:0], c.list...)
	if c.rest.weight > 0 {
		c.sorted = append(c.sorted, &c.rest)
	}
	slices.SortFunc(c.sorted, func(a, b *account) int { return cmp.Compare(a.relativeDemand(), b.relativeDemand()) })
	capacity := 0.0
	for _, a := range c.sorted {
		capacity += a.usage.Sent
	}
	level := levelOf(c.sorted, capacity)
	within := 0.0
	for _, a := range c.sorted {
		a.compare(level * a.weight)
		if !a.over {
			within += a.usage.Asked()
		}
	}
	c.othersActive = within > minActive*capacity
}

// compare compares what an account asks for with its fair share.
func (a *account) compare(fairShare float64) {
	a.ratio = 0
	if a.usage.Asked() > 0 && fairShare > 0 {
		a.ratio = a.usage.Asked() / fairShare
	}
	deviation := a.usage.Asked() / math.Sqrt(a.usage.Requests)
	a.over = a.ratio > overRatio && a.usage.Asked()-overDeviations*deviation > fairShare && a.usage.Sent > minServed*fairShare
}

// relativeDemand returns what the account asks for, relative to its weight.
func (a *account) relativeDemand() float64 {
	return a.usage.Asked() / a.weight
}

// levelOf divides a capacity among accounts that are sorted by their relative demand, and returns the share of weight 1. If the capacity
// suffices for all, that is the largest relative demand.
func levelOf(accounts []*account, capacity float64) float64 {
	weights := 0.0
	for _, a := range accounts {
		weights += a.weight
	}
	level := 0.0
	for _, a := range accounts {
		if a.relativeDemand()*weights >= capacity {
			return capacity / weights
		}
		level = a.relativeDemand()
		capacity -= a.usage.Asked()
		weights -= a.weight
	}
	return level
}
