package admission

// A customer's limit counts over all daemons together, but requests arrive at
// any of them. The control leader leases each daemon a share of each limit, by
// the demand that the daemon reports, and never more in sum than the limit:
// a share that a daemon may still use counts against the limit until its lease
// has run out or the daemon has reported with the smaller one.
//
//	limit 12, daemons a (wants 10), b (wants 1), c (wants 0)
//	floor for each: 1; the rest by demand: a 10, b 1, c 1
//
// A daemon that has lost control falls back to limit/n, so that the sum stays
// near the limit when all of them do.

import (
	"sort"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

// Limit is one customer's bound over all daemons; zero fields mean no bound.
type Limit struct {
	Weight            float64
	Concurrent        int
	RequestsPerSecond float64
	TokensPerSecond   float64
}

// Fallback returns the share of one daemon of n that has no lease.
func (l Limit) Fallback(n int) Share {
	parts := float64(max(n, 1))
	return Share{
		Weight:            l.Weight,
		Concurrent:        l.Concurrent / max(n, 1),
		RequestsPerSecond: l.RequestsPerSecond / parts,
		TokensPerSecond:   l.TokensPerSecond / parts,
		Bounded:           l.Concurrent > 0,
	}
}

type lease struct {
	share   Share
	expires time.Time
}

// Allotment divides limits among daemons; it belongs to the control leader and needs no lock of its own.
type Allotment struct {
	// Lease is how long a daemon may use a share without hearing again.
	Lease time.Duration

	leases  map[ident.Customer]map[ident.Daemon]lease
	demands map[ident.Customer]map[ident.Daemon]Demand
}

// NewAllotment returns an allotment whose leases last for lease.
func NewAllotment(duration time.Duration) *Allotment {
	return &Allotment{
		Lease:   duration,
		leases:  map[ident.Customer]map[ident.Daemon]lease{},
		demands: map[ident.Customer]map[ident.Daemon]Demand{},
	}
}

// Report takes a daemon's demands; what it does not name it does not want.
func (a *Allotment) Report(d ident.Daemon, demands []Demand) {
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

// Grant returns the share of one daemon among the live ones and leases it from now on.
func (a *Allotment) Grant(now time.Time, d ident.Daemon, live []ident.Daemon, name ident.Customer, l Limit) Share {
	byDaemon := a.leases[name]
	if byDaemon == nil {
		byDaemon = map[ident.Daemon]lease{}
		a.leases[name] = byDaemon
	}
	others := Share{}
	for other, held := range byDaemon {
		if other == d || now.After(held.expires) {
			continue
		}
		others.Concurrent += held.share.Concurrent
		others.RequestsPerSecond += held.share.RequestsPerSecond
		others.TokensPerSecond += held.share.TokensPerSecond
	}
	part := a.part(d, live, name)
	share := Share{
		Weight:            l.Weight,
		Bounded:           l.Concurrent > 0,
		Concurrent:        min(a.concurrent(d, live, name, l.Concurrent), l.Concurrent-others.Concurrent),
		RequestsPerSecond: rate(part, l.RequestsPerSecond, others.RequestsPerSecond),
		TokensPerSecond:   rate(part, l.TokensPerSecond, others.TokensPerSecond),
	}
	share.Concurrent = max(0, share.Concurrent)
	byDaemon[d] = lease{share, now.Add(a.Lease)}
	return share
}

const (
	floorShare = 0.25
	// leastPart keeps a share that is all used elsewhere from reading as no bound.
	leastPart = 1e-6
)

func rate(part, limit, others float64) float64 {
	return max(limit*leastPart, min(part*limit, limit-others))
}

// part returns the share of a rate: a quarter is spread evenly, the rest follows demand.
func (a *Allotment) part(d ident.Daemon, live []ident.Daemon, name ident.Customer) float64 {
	n := float64(max(len(live), 1))
	total, own := 0.0, 0.0
	for _, other := range live {
		want := float64(a.demands[name][other].Requests)
		total += want
		if other == d {
			own = want
		}
	}
	if total == 0 {
		return 1 / n
	}
	return floorShare/n + (1-floorShare)*own/total
}

// concurrent divides whole places: one for each daemon while they last, the rest by demand, remainders by name.
func (a *Allotment) concurrent(d ident.Daemon, live []ident.Daemon, name ident.Customer, limit int) int {
	if limit == 0 {
		return 0
	}
	names := append([]ident.Daemon(nil), live...)
	sort.Slice(names, func(i, j int) bool {
		x, y := a.demands[name][names[i]].Concurrent, a.demands[name][names[j]].Concurrent
		if x != y {
			return x > y
		}
		return names[i] < names[j]
	})
	places := map[ident.Daemon]int{}
	left := limit
	// Places go round by round to those whose demand is not yet met, then evenly.
	for left > 0 && len(names) > 0 {
		given := 0
		for _, n := range names {
			if left > 0 && places[n] < a.demands[name][n].Concurrent+1 {
				places[n]++
				left--
				given++
			}
		}
		if given == 0 {
			break
		}
	}
	for i := 0; left > 0 && len(names) > 0; i++ {
		places[names[i%len(names)]]++
		left--
	}
	return places[d]
}
