package daemon

import (
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/admission"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quorum"
)

// shares is this daemon's part of its customers' limits, and as leader the division among all daemons.
type shares struct {
	d *Daemon

	mu        sync.Mutex
	allotment *admission.Allotment
	// term is the term for which the allotment was begun.
	term   quorum.Term
	leased map[ident.Customer]admission.Share
	until  time.Time
}

const leaseBeats = 6

func newShares(d *Daemon) *shares {
	return &shares{d: d, allotment: admission.NewAllotment(d.cfg.Times.Beat.Std() * leaseBeats)}
}

func (s *shares) report(from ident.Daemon, demands []admission.Demand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allotment.Report(from, demands)
}

// limits returns what settings and operators say of each customer.
func (s *shares) limits() map[ident.Customer]admission.Limit {
	limits := map[ident.Customer]admission.Limit{}
	for _, c := range s.d.cfg.Customers {
		limits[c.Name] = admission.Limit(c.Limits)
	}
	for name, l := range s.d.view.limits() {
		if _, ok := limits[name]; ok {
			limits[name] = admission.Limit{
				Weight: l.Weight, Concurrent: l.Concurrent, RequestsPerSecond: l.RequestsPerSecond, TokensPerSecond: l.TokensPerSecond,
			}
		}
	}
	return limits
}

// grant divides every limit for one daemon, as leader; nothing while an earlier leader's leases may be in use.
func (s *shares) grant(now time.Time, to ident.Daemon) map[ident.Customer]admission.Share {
	var live []ident.Daemon
	for _, p := range s.d.members.Live(now) {
		if !p.Stopping || p.Name == to {
			live = append(live, p.Name)
		}
	}
	limits := s.limits()
	s.mu.Lock()
	defer s.mu.Unlock()
	if term := s.d.control.nodes[instanceFleet].Status().Term; term != s.term {
		s.term = term
		s.allotment.Begin(now)
	}
	if !s.allotment.MayGrant(now) {
		return nil
	}
	granted := map[ident.Customer]admission.Share{}
	for name, l := range limits {
		granted[name] = s.allotment.Grant(now, to, live, name, l)
	}
	return granted
}

func (s *shares) take(now time.Time, leased map[ident.Customer]admission.Share) {
	s.mu.Lock()
	s.leased = leased
	s.until = now.Add(s.allotment.Lease)
	s.mu.Unlock()
	s.d.gate.SetShares(leased)
}

// refresh leases from itself when this daemon leads, and falls back to an even part when its lease has run out.
func (s *shares) refresh() {
	now := s.d.now()
	if s.d.control != nil && s.d.control.leads() {
		if granted := s.grant(now, s.d.cfg.Name); granted != nil {
			s.take(now, granted)
			return
		}
	}
	s.mu.Lock()
	stale := s.leased == nil || now.After(s.until)
	s.mu.Unlock()
	if !stale {
		return
	}
	fallback := map[ident.Customer]admission.Share{}
	for name, l := range s.limits() {
		fallback[name] = l.Fallback(len(s.d.cfg.Peers) + 1)
	}
	s.d.gate.SetShares(fallback)
}
