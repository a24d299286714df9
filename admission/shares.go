package admission

// A customer's limit applies to all daemons together, but requests arrive at any
// of them. The control leader leases each daemon a share of each limit according
// to the demand that the daemon reports. The shares never add up to more than
// the limit: a share that a daemon may still use counts against the limit until
// its lease expires or the daemon is granted a smaller one.
//
//	limit 12, daemons a (demand 10), b (demand 1), c (demand 0)
//	at least 1 for each, the rest by demand: a 9, b 2, c 1
//
// A daemon without contact to the control leader falls back to limit/n, so that
// the sum stays near the limit if all of them do.

import (
	"sort"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// Limit is one customer's limit over all daemons together; zero fields mean no bound.
type Limit struct {
	Weight            float64
	Concurrent        int
	RequestsPerSecond float64
	TokensPerSecond   float64
}

// Fallback returns the share of each of n daemons that have no leases.
func (l Limit) Fallback(n int) Share {
	daemons := float64(max(n, 1))
	return Share{
		Weight:            l.Weight,
		Concurrent:        l.Concurrent / max(n, 1),
		RequestsPerSecond: l.RequestsPerSecond / daemons,
		TokensPerSecond:   l.TokensPerSecond / daemons,
		Bounded:           l.Concurrent > 0,
	}
}

// lease is a share that a daemon may use until it expires.
type lease struct {
	share   Share
	expires time.Time
}

// ShareAllocator divides customers' limits among daemons. It is used by the control leader and is not safe for concurrent use.
type ShareAllocator struct {
	// LeaseDuration is how long a daemon may use a share after a grant.
	LeaseDuration time.Duration
	// DivisionPeriod is how long a division of a limit is used before it is computed again.
	DivisionPeriod time.Duration

	// noGrantsBefore is the time until which leases of an earlier leader may still be in use.
	noGrantsBefore   time.Time
	divisions        map[ident.Customer]*division
	leasesByCustomer map[ident.Customer]*customerLeases
	demands          map[ident.Customer]map[ident.Daemon]Demand
}

// division is one customer's limit divided by the demand at one time. It is shared by the grants to all daemons, since computing it for
// each grant would have a cost quadratic in their number.
type division struct {
	computedAt    time.Time
	limit         Limit
	liveDaemons   int
	slots         map[ident.Daemon]int
	rateFractions map[ident.Daemon]float64
}

// divisionsPerLease is how many times a division is computed during a lease.
const divisionsPerLease = 4

// NewShareAllocator returns an allocator whose leases last for duration.
func NewShareAllocator(duration time.Duration) *ShareAllocator {
	return &ShareAllocator{
		LeaseDuration:    duration,
		DivisionPeriod:   duration / divisionsPerLease,
		divisions:        map[ident.Customer]*division{},
		leasesByCustomer: map[ident.Customer]*customerLeases{},
		demands:          map[ident.Customer]map[ident.Daemon]Demand{},
	}
}

// StartTerm starts a leader's term at now. The leases of its predecessor are not known here, so nothing is granted until they have expired;
// daemons use those leases meanwhile, and then fall back.
func (a *ShareAllocator) StartTerm(now time.Time) {
	a.noGrantsBefore = now.Add(a.LeaseDuration)
	a.divisions = map[ident.Customer]*division{}
	a.leasesByCustomer = map[ident.Customer]*customerLeases{}
}

// MayGrant reports whether all leases of earlier leaders have expired.
func (a *ShareAllocator) MayGrant(now time.Time) bool {
	return now.After(a.noGrantsBefore)
}

// SetDemands replaces the demands of daemon d; customers that are not in demands have none.
func (a *ShareAllocator) SetDemands(d ident.Daemon, demands []Demand) {
	for _, byDaemon := range a.demands {
		delete(byDaemon, d)
	}
	for _, demand := range demands {
		byDaemon := a.demands[demand.Customer]
		if byDaemon == nil {
			byDaemon = map[ident.Daemon]Demand{}
			a.demands[demand.Customer] = byDaemon
		}
		byDaemon[d] = demand
	}
}

// Grant leases daemon d its share of a customer's limit, starting at now, and returns the share. live lists the live daemons.
func (a *ShareAllocator) Grant(now time.Time, d ident.Daemon, live []ident.Daemon, name ident.Customer, l Limit) Share {
	div := a.currentDivision(now, live, name, l)
	leases := a.customerLeases(name)
	others := leases.sumWithout(d)
	fraction := div.rateFractions[d]
	share := Share{
		Weight:            l.Weight,
		Bounded:           l.Concurrent > 0,
		Concurrent:        max(0, min(div.slots[d], l.Concurrent-others.Concurrent)),
		RequestsPerSecond: leasableRate(fraction, l.RequestsPerSecond, others.RequestsPerSecond),
		TokensPerSecond:   leasableRate(fraction, l.TokensPerSecond, others.TokensPerSecond),
	}
	leases.set(d, lease{share, now.Add(a.LeaseDuration)})
	return share
}

func (a *ShareAllocator) customerLeases(name ident.Customer) *customerLeases {
	h := a.leasesByCustomer[name]
	if h == nil {
		h = &customerLeases{leases: map[ident.Daemon]lease{}}
		a.leasesByCustomer[name] = h
	}
	return h
}

// customerLeases holds the leases of one customer and their sum. An expired lease counts until the next division, so the sum is never
// too low.
type customerLeases struct {
	leases map[ident.Daemon]lease
	sum    Share
}

func (h *customerLeases) sumWithout(d ident.Daemon) Share {
	own := h.leases[d].share
	return Share{
		Concurrent:        h.sum.Concurrent - own.Concurrent,
		RequestsPerSecond: h.sum.RequestsPerSecond - own.RequestsPerSecond,
		TokensPerSecond:   h.sum.TokensPerSecond - own.TokensPerSecond,
	}
}

func (h *customerLeases) set(d ident.Daemon, l lease) {
	h.sum = h.sumWithout(d)
	h.add(l.share)
	h.leases[d] = l
}

func (h *customerLeases) add(s Share) {
	h.sum.Concurrent += s.Concurrent
	h.sum.RequestsPerSecond += s.RequestsPerSecond
	h.sum.TokensPerSecond += s.TokensPerSecond
}

// dropExpired removes expired leases and recomputes the sum.
func (h *customerLeases) dropExpired(now time.Time) {
	h.sum = Share{}
	for d, l := range h.leases {
		if now.After(l.expires) {
			delete(h.leases, d)
			continue
		}
		h.add(l.share)
	}
}

const (
	// evenFraction is the fraction of a rate that is divided evenly, whatever the demand.
	evenFraction = 0.25
	// minRateFraction keeps a rate above zero, which would mean no bound, if other daemons hold all of the limit.
	minRateFraction = 1e-6
)

func leasableRate(fraction, limit, others float64) float64 {
	return max(limit*minRateFraction, min(fraction*limit, limit-others))
}

// currentDivision returns the division of a customer's limit. It computes a new one if the last is too old, or if the limit or the
// number of live daemons has changed.
func (a *ShareAllocator) currentDivision(now time.Time, live []ident.Daemon, name ident.Customer, l Limit) *division {
	current := a.divisions[name]
	if current == nil || now.Sub(current.computedAt) >= a.DivisionPeriod || current.limit != l || current.liveDaemons != len(live) {
		current = &division{computedAt: now, limit: l, liveDaemons: len(live), slots: a.divideSlots(live, name, l.Concurrent), rateFractions: a.rateFractions(live, name)}
		a.divisions[name] = current
		a.customerLeases(name).dropExpired(now)
	}
	return current
}

// rateFractions returns each live daemon's fraction of a rate: evenFraction is divided evenly, the rest in proportion to demand.
func (a *ShareAllocator) rateFractions(live []ident.Daemon, name ident.Customer) map[ident.Daemon]float64 {
	total := 0.0
	for _, d := range live {
		total += float64(a.demands[name][d].Requests)
	}
	fractions := make(map[ident.Daemon]float64, len(live))
	even := 1 / float64(max(len(live), 1))
	for _, d := range live {
		fractions[d] = even
		if total > 0 {
			fractions[d] = evenFraction*even + (1-evenFraction)*float64(a.demands[name][d].Requests)/total
		}
	}
	return fractions
}

// divideSlots divides limit concurrent requests among the live daemons, starting with those of the highest demand.
func (a *ShareAllocator) divideSlots(live []ident.Daemon, name ident.Customer, limit int) map[ident.Daemon]int {
	slots := map[ident.Daemon]int{}
	if limit == 0 {
		return slots
	}
	daemons := append([]ident.Daemon(nil), live...)
	sort.Slice(daemons, func(i, j int) bool {
		demandI, demandJ := a.demands[name][daemons[i]].Concurrent, a.demands[name][daemons[j]].Concurrent
		if demandI != demandJ {
			return demandI > demandJ
		}
		return daemons[i] < daemons[j]
	})
	remaining := limit
	// Each round gives one slot to each daemon that has no more than its demand. What remains is divided evenly.
	for remaining > 0 && len(daemons) > 0 {
		assigned := 0
		for _, d := range daemons {
			if remaining > 0 && slots[d] < a.demands[name][d].Concurrent+1 {
				slots[d]++
				remaining--
				assigned++
			}
		}
		if assigned == 0 {
			break
		}
	}
	for i := 0; remaining > 0 && len(daemons) > 0; i++ {
		slots[daemons[i%len(daemons)]]++
		remaining--
	}
	return slots
}
