package daemon

import (
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/admission"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quorum"
)

// customerShares holds this daemon's leased shares of customers' limits; on the leader it also divides the limits among
// all daemons.
type customerShares struct {
	d *Daemon

	mu        sync.Mutex
	allocator *admission.ShareAllocator
	// term is the term in which the allocator was started.
	term        quorum.Term
	leased      map[ident.Customer]admission.Share
	leasedUntil time.Time
}

const shareLeaseBeats = 6

func newCustomerShares(d *Daemon) *customerShares {
	return &customerShares{d: d, allocator: admission.NewShareAllocator(d.cfg.Times.Beat.Std() * shareLeaseBeats)}
}

func (s *customerShares) reportDemands(from ident.Daemon, demands []admission.Demand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.SetDemands(from, demands)
}

// limits returns the limits of each customer in the settings, as changed by operators.
func (s *customerShares) limits() map[ident.Customer]admission.Limit {
	limits := map[ident.Customer]admission.Limit{}
	for _, c := range s.d.cfg.Customers {
		limits[c.Name] = admission.Limit(c.Limits)
	}
	for name, limit := range s.d.applied.limits() {
		if _, ok := limits[name]; ok {
			limits[name] = admission.Limit{
				Weight: limit.Weight, Concurrent: limit.Concurrent, RequestsPerSecond: limit.RequestsPerSecond, TokensPerSecond: limit.TokensPerSecond,
			}
		}
	}
	return limits
}

// grant returns the shares of one daemon, on the leader; nil while leases of an earlier leader may still be in use.
func (s *customerShares) grant(now time.Time, to ident.Daemon) map[ident.Customer]admission.Share {
	var live []ident.Daemon
	for _, p := range s.d.daemons.Live(now) {
		if !p.Stopping || p.Name == to {
			live = append(live, p.Name)
		}
	}
	limits := s.limits()
	s.mu.Lock()
	defer s.mu.Unlock()
	if term := s.d.control.nodes[instanceFleet].Status().Term; term != s.term {
		s.term = term
		s.allocator.StartTerm(now)
	}
	if !s.allocator.MayGrant(now) {
		return nil
	}
	granted := map[ident.Customer]admission.Share{}
	for name, limit := range limits {
		granted[name] = s.allocator.Grant(now, to, live, name, limit)
	}
	return granted
}

func (s *customerShares) apply(now time.Time, leased map[ident.Customer]admission.Share) {
	s.mu.Lock()
	s.leased = leased
	s.leasedUntil = now.Add(s.allocator.LeaseDuration)
	s.mu.Unlock()
	s.d.admission.SetShares(leased)
}

// refresh renews the lease locally on the leader, and applies an even share of each limit once the lease has expired.
func (s *customerShares) refresh() {
	now := s.d.now()
	if s.d.control != nil && s.d.control.leads() {
		if granted := s.grant(now, s.d.cfg.Name); granted != nil {
			s.apply(now, granted)
			return
		}
	}
	s.mu.Lock()
	expired := s.leased == nil || now.After(s.leasedUntil)
	s.mu.Unlock()
	if !expired {
		return
	}
	fallback := map[ident.Customer]admission.Share{}
	for name, limit := range s.limits() {
		fallback[name] = limit.Fallback(len(s.d.cfg.Peers) + 1)
	}
	s.d.admission.SetShares(fallback)
}
