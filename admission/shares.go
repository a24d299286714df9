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
	// Lease is how long a daemon may use a share without hearing again, Period how long a division holds.
	Lease  time.Duration
	Period time.Duration

	// quiet is until when leases of an earlier leader may still be in use.
	quiet     time.Time
	divisions map[ident.Customer]*division
	held      map[ident.Customer]*holdings
	demands   map[ident.Customer]map[ident.Daemon]Demand
}

// division is one customer's limit divided by the demand of one moment. It is the same for every daemon, and working it
// out for each of them anew would cost the square of their number.
type division struct {
	at     time.Time
	limit  Limit
	live   int
	places map[ident.Daemon]int
	parts  map[ident.Daemon]float64
}

// periodShare is the share of a lease for which a division holds.
const periodShare = 4

// NewAllotment returns an allotment whose leases last for duration.
func NewAllotment(duration time.Duration) *Allotment {
	return &Allotment{
		Lease:     duration,
		Period:    duration / periodShare,
		divisions: map[ident.Customer]*division{},
		held:      map[ident.Customer]*holdings{},
		demands:   map[ident.Customer]map[ident.Daemon]Demand{},
	}
}

// Begin starts the reign of a leader at now. What its predecessor has granted is not known here, so nothing is granted until
// that has run out; daemons keep their leases meanwhile, and then fall back.
func (a *Allotment) Begin(now time.Time) {
	a.quiet = now.Add(a.Lease)
	a.divisions = map[ident.Customer]*division{}
	a.held = map[ident.Customer]*holdings{}
}

// MayGrant reports whether every lease of an earlier leader has run out.
func (a *Allotment) MayGrant(now time.Time) bool {
	return now.After(a.quiet)
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
	div := a.divide(now, live, name, l)
	h := a.holdings(name)
	others := h.without(d)
	part := div.parts[d]
	share := Share{
		Weight:            l.Weight,
		Bounded:           l.Concurrent > 0,
		Concurrent:        max(0, min(div.places[d], l.Concurrent-others.Concurrent)),
		RequestsPerSecond: rate(part, l.RequestsPerSecond, others.RequestsPerSecond),
		TokensPerSecond:   rate(part, l.TokensPerSecond, others.TokensPerSecond),
	}
	h.set(d, lease{share, now.Add(a.Lease)})
	return share
}

func (a *Allotment) holdings(name ident.Customer) *holdings {
	h := a.held[name]
	if h == nil {
		h = &holdings{leases: map[ident.Daemon]lease{}}
		a.held[name] = h
	}
	return h
}

// holdings are the leases of one customer and their sum. A lease that has run out counts until the next division looks
// through them, which errs on the side of the limit.
type holdings struct {
	leases map[ident.Daemon]lease
	sum    Share
}

func (h *holdings) without(d ident.Daemon) Share {
	own := h.leases[d].share
	return Share{
		Concurrent:        h.sum.Concurrent - own.Concurrent,
		RequestsPerSecond: h.sum.RequestsPerSecond - own.RequestsPerSecond,
		TokensPerSecond:   h.sum.TokensPerSecond - own.TokensPerSecond,
	}
}

func (h *holdings) set(d ident.Daemon, l lease) {
	h.sum = h.without(d)
	h.add(l.share)
	h.leases[d] = l
}

func (h *holdings) add(s Share) {
	h.sum.Concurrent += s.Concurrent
	h.sum.RequestsPerSecond += s.RequestsPerSecond
	h.sum.TokensPerSecond += s.TokensPerSecond
}

// expire drops leases that have run out and adds up the others anew.
func (h *holdings) expire(now time.Time) {
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
	floorShare = 0.25
	// leastPart keeps a share that is all used elsewhere from reading as no bound.
	leastPart = 1e-6
)

func rate(part, limit, others float64) float64 {
	return max(limit*leastPart, min(part*limit, limit-others))
}

// divide returns the division in force, made anew when it is old or no longer fits.
func (a *Allotment) divide(now time.Time, live []ident.Daemon, name ident.Customer, l Limit) *division {
	div := a.divisions[name]
	if div == nil || now.Sub(div.at) >= a.Period || div.limit != l || div.live != len(live) {
		div = &division{at: now, limit: l, live: len(live), places: a.places(live, name, l.Concurrent), parts: a.parts(live, name)}
		a.divisions[name] = div
		a.holdings(name).expire(now)
	}
	return div
}

// parts returns the shares of a rate: a quarter is spread evenly, the rest follows demand.
func (a *Allotment) parts(live []ident.Daemon, name ident.Customer) map[ident.Daemon]float64 {
	total := 0.0
	for _, d := range live {
		total += float64(a.demands[name][d].Requests)
	}
	parts := make(map[ident.Daemon]float64, len(live))
	even := 1 / float64(max(len(live), 1))
	for _, d := range live {
		parts[d] = even
		if total > 0 {
			parts[d] = floorShare*even + (1-floorShare)*float64(a.demands[name][d].Requests)/total
		}
	}
	return parts
}

// places divides whole places: one for each daemon while they last, the rest by demand, remainders by name.
func (a *Allotment) places(live []ident.Daemon, name ident.Customer, limit int) map[ident.Daemon]int {
	places := map[ident.Daemon]int{}
	if limit == 0 {
		return places
	}
	names := append([]ident.Daemon(nil), live...)
	sort.Slice(names, func(i, j int) bool {
		x, y := a.demands[name][names[i]].Concurrent, a.demands[name][names[j]].Concurrent
		if x != y {
			return x > y
		}
		return names[i] < names[j]
	})
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
	return places
}
