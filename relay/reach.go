package relay

// A connection that cannot be opened shows that the upstream has failed, or that
// this entry has lost its path to it. Such an upstream is unreachable until a probe
// opens a connection: requests are sent to other upstreams, or, if there is none,
// through another entry (forward.go). An entry that has heard from no upstream
// of a service since the connection was begun checks its paths to all of them at
// once, so that it knows within two dial time-outs that it is cut off. A site's only entry has no
// other path and does none of this.

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
)

const (
	// probeInterval is the interval between two rounds of probes, probesPerRound how many unreachable upstreams a round probes.
	probeInterval  = 200 * time.Millisecond
	probesPerRound = 4
	// maxPathProbes bounds the connections that a check of all paths opens at once.
	maxPathProbes = 64
)

// Reach is how many of a set of upstreams this entry reaches.
type Reach string

const (
	// ReachMost means at least half of the upstreams.
	ReachMost Reach = "most"
	// ReachFew means less than half of the upstreams.
	ReachFew Reach = "few"
	// ReachNone means no upstream.
	ReachNone Reach = "none"
)

// ReachabilityEvent says that the reach of this entry has changed, for the log.
type ReachabilityEvent struct {
	// Service is the service of the upstreams, empty if they are those of all services.
	Service ident.Service
	Reach   Reach
	// Unreachable is the number of unreachable upstreams, Total that of all.
	Unreachable, Total int
}

// pathCount counts upstreams and those of them that are unreachable.
type pathCount struct {
	unreachable, total int
}

func (c *pathCount) add(unreachable bool) {
	c.total++
	if unreachable {
		c.unreachable++
	}
}

// reach returns the reach among the counted upstreams.
func (c pathCount) reach() Reach {
	switch {
	case c.total > 0 && c.unreachable == c.total:
		return ReachNone
	case 2*c.unreachable > c.total:
		return ReachFew
	}
	return ReachMost
}

// reachability is what this entry knows of its paths to upstreams; it is guarded by the relay's mutex.
type reachability struct {
	// contactAt is when any upstream of a service last sent something or accepted a connection, lastContactAt when one of any service did.
	contactAt     map[ident.Service]time.Time
	lastContactAt time.Time
	// pathsCheckedAt is when the paths to a service were last checked, nextProbe the index of the next upstream to probe in a round.
	pathsCheckedAt map[ident.Service]time.Time
	nextProbe      int
	probeScheduled bool
	// anyUnreachable is set while some upstream is unreachable, reachesFew while most are.
	anyUnreachable bool
	reachesFew     bool
	// reported is the reach of the last event for each service, and for all services together under the empty name.
	reported map[ident.Service]Reach
}

// noteContact records that an upstream of a service sent something; the mutex is held.
func (s *Relay) noteContact(service ident.Service, now time.Time) {
	s.reach.contactAt[service], s.reach.lastContactAt = now, now
}

// noteConnected records that a connection to an upstream of a service was opened; the mutex is held.
func (s *Relay) noteConnected(service ident.Service, ts *targetState) {
	s.noteContact(service, s.Now())
	if !ts.unreachable {
		return
	}
	if s.countPaths()[service].reach() == ReachNone {
		// The path of this entry is back. Upstreams that are still unreachable are found by requests, without connections to all at once.
		for _, t := range s.index.all {
			if t.service == service {
				s.stateOf(t).unreachable = false
			}
		}
	}
	ts.unreachable = false
	s.updateReach()
}

// markUnreachable records that the connection to t which was begun at startedAt cannot be opened; the mutex is held.
func (s *Relay) markUnreachable(t *target, startedAt time.Time) {
	ts := s.stateOf(t)
	if !ts.unreachable {
		ts.unreachable = true
		s.pool.drop(t.address)
		s.updateReach()
		s.checkPaths(startedAt)
	}
	s.scheduleProbes()
}

// countPaths counts the upstreams of each service, and those of all services under the empty name; the mutex is held.
func (s *Relay) countPaths() map[ident.Service]pathCount {
	counts := map[ident.Service]pathCount{}
	for _, t := range s.index.all {
		for _, service := range []ident.Service{"", t.service} {
			c := counts[service]
			c.add(s.stateOf(t).unreachable)
			counts[service] = c
		}
	}
	return counts
}

// updateReach sets anyUnreachable and reachesFew, and calls OnReachability for each service whose reach has changed; the mutex is held.
func (s *Relay) updateReach() {
	counts := s.countPaths()
	all := counts[""]
	s.reach.anyUnreachable, s.reach.reachesFew = all.unreachable > 0, all.reach() != ReachMost
	for service := range s.reach.reported {
		if _, ok := counts[service]; !ok {
			delete(s.reach.reported, service)
		}
	}
	for _, service := range slices.Sorted(maps.Keys(counts)) {
		c := counts[service]
		reach := c.reach()
		if reach == cmp.Or(s.reach.reported[service], ReachMost) {
			continue
		}
		s.reach.reported[service] = reach
		s.OnReachability(ReachabilityEvent{service, reach, c.unreachable, c.total})
	}
}

// checkPaths probes the upstreams of all services of which nothing was heard since a time, unless it did so shortly before; the mutex is held.
func (s *Relay) checkPaths(since time.Time) {
	now := s.Now()
	silent := map[ident.Service]bool{}
	for _, t := range s.index.all {
		if _, known := silent[t.service]; known {
			continue
		}
		silent[t.service] = !s.reach.contactAt[t.service].After(since) && now.Sub(s.reach.pathsCheckedAt[t.service]) >= probeInterval
		if silent[t.service] {
			s.reach.pathsCheckedAt[t.service] = now
		}
	}
	started := 0
	for _, t := range s.index.all {
		if started < maxPathProbes && silent[t.service] && !s.stateOf(t).unreachable && s.startProbe(t) {
			started++
		}
	}
}

// checkPath probes the upstream of a silent request; the mutex is held.
func (s *Relay) checkPath(t *target, now time.Time) {
	if ts := s.stateOf(t); s.hasOtherEntries() && !ts.unreachable && now.Sub(ts.probedAt) >= probeInterval {
		s.startProbe(t)
	}
}

// scheduleProbes starts rounds of probes until no upstream is unreachable; the mutex is held.
func (s *Relay) scheduleProbes() {
	if s.reach.probeScheduled {
		return
	}
	s.reach.probeScheduled = true
	time.AfterFunc(probeInterval, s.probeUnreachable)
}

// probeUnreachable probes some of the unreachable upstreams, in rotation.
func (s *Relay) probeUnreachable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reach.probeScheduled = false
	var unreachable []*target
	for _, t := range s.index.all {
		if s.stateOf(t).unreachable {
			unreachable = append(unreachable, t)
		}
	}
	for range min(probesPerRound, len(unreachable)) {
		s.reach.nextProbe++
		s.startProbe(unreachable[s.reach.nextProbe%len(unreachable)])
	}
	if len(unreachable) > 0 {
		s.scheduleProbes()
	}
}

// startProbe opens a connection to t in the background, unless that is under way; the mutex is held.
func (s *Relay) startProbe(t *target) bool {
	ts := s.stateOf(t)
	if ts.probing {
		return false
	}
	startedAt := s.Now()
	ts.probing, ts.probedAt = true, startedAt
	id, service, address := t.id, t.service, t.address
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		defer cancel()
		conn, err := s.pool.open(ctx, address)
		s.mu.Lock()
		defer s.mu.Unlock()
		ts.probing = false
		switch current := s.index.target(id); {
		case err == nil:
			s.pool.keep(conn)
			s.noteConnected(service, ts)
		case current != nil && current.address == address:
			s.markUnreachable(current, startedAt)
		}
	}()
	return true
}

// pathsFor counts the upstreams that the request may be sent to, and those of them that are unreachable; the mutex is held.
func (s *Relay) pathsFor(x *exchange) pathCount {
	var c pathCount
	targets := s.index.targets(x.service, x.model)
	for i := range targets {
		if x.regionAllowed(&targets[i]) {
			c.add(s.stateOf(&targets[i]).unreachable)
		}
	}
	return c
}

// target returns the target with an id, nil if there is none.
func (f *targetIndex) target(id ident.Incarnation) *target {
	for _, t := range f.all {
		if t.id == id {
			return t
		}
	}
	return nil
}
