package relay

// Work under which upstreams ended, at any entry, is held (package quarantine).
// This file finds out whether an upstream has ended, and tells the entries: all
// of them at once, and by turns again and again, since datagrams are lost and
// entries start. The leader passes the same reports on with its syncs.

import (
	"context"
	"net/netip"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/transport"
)

const (
	// tellAgain is how often one other entry is told of works by turns, tellWorks of how many: an entry that has just started hears
	// of what is held from each of the others four times a second, shared by their number.
	tellAgain = 250 * time.Millisecond
	tellWorks = 4
	// proofTimeout bounds the question whether an upstream has ended: a VM whose process is gone refuses within a round trip.
	proofTimeout = dialTimeout
	// tellEnds is from how many ends on, and tellEvents until how many events, all entries are told at once. Of a batch that is cut off
	// most have had events for many passes; of those that could be at fault a few.
	tellEnds   = 2
	tellEvents = 1
)

// Holding tells operators that work is held, was let in once more, or has been cleared.
type Holding struct {
	quarantine.Report
	// For is how long it is held, 0 when it is not.
	For time.Duration
	// From is the entry that told of it, invalid for this one.
	From netip.AddrPort
}

// proof is the question whether an upstream that cut a connection off has ended.
type proof struct {
	done  chan struct{}
	ended bool
}

func (x *exchange) work() quarantine.Work {
	w := quarantine.Work{Content: x.content}
	if x.customer != nil {
		w.Customer = x.customer.Name
	}
	return w
}

// held is the error of a request whose work must not be sent to an upstream, nil of any other.
func (x *exchange) held() error {
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	return x.heldAt(x.s.Now())
}

// heldAt is held for callers that hold the mutex.
func (x *exchange) heldAt(now time.Time) error {
	left := x.s.Quarantine.Held(now, x.work())
	if left <= 0 {
		return nil
	}
	x.comeBack = left
	return result.New(result.WorkHeld, "upstreams ended while they ran the same, content %v; held for another %v", x.content, left.Round(time.Millisecond))
}

// begin notes that the request is about to be sent, unless its work has come to be held meanwhile.
func (x *exchange) begin() error {
	s := x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	if err := x.heldAt(now); err != nil {
		return err
	}
	if tell, ok := s.Quarantine.Begin(now, x.work()); ok {
		s.Note(&Holding{Report: tell})
		s.tellWork(&tell)
	}
	return nil
}

// concluded takes what the end of a try says of the request's work.
func (x *exchange) concluded(t *target, f *follower, v verdict) {
	switch v {
	case verdictDone, verdictFailed:
		x.s.answered(x.work())
	case verdictBroken:
		if f.cut != nil && cutOf(f.cut) != CutUnusable && x.s.hasEnded(t) {
			x.s.ended(x.work(), t.id, f.events)
		}
	}
}

// answered notes that an upstream lives on after it has run the work.
func (s *Relay) answered(w quarantine.Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ends := s.Quarantine.Ends(w)
	tell, ok := s.Quarantine.Answered(s.Now(), w)
	if !ok {
		return
	}
	if ends >= s.Quarantine.Rule.Ends {
		s.Note(&Holding{Report: tell})
	}
	s.tellWork(&tell)
}

// hasEnded reports whether the upstream of t, which cut a connection off, has ended: nothing listens there any more. A connection may
// also be cut by a link, a proxy or an upstream that goes on, and work must not be held for that. The request waits for the answer, a
// round trip, because its next try would end one more upstream.
func (s *Relay) hasEnded(t *target) bool {
	s.mu.Lock()
	ts := s.stateOf(t)
	if ts.refused {
		s.mu.Unlock()
		return true
	}
	p := ts.proof
	if p == nil {
		p = &proof{done: make(chan struct{})}
		ts.proof = p
		s.mu.Unlock()
		s.prove(t, ts, p)
		return p.ended
	}
	s.mu.Unlock()
	<-p.done
	return p.ended
}

func (s *Relay) prove(t *target, ts *targetState, p *proof) {
	ctx, cancel := context.WithTimeout(context.Background(), proofTimeout)
	defer cancel()
	ended := transport.Refuses(ctx, s.pool.dial, t.address)
	s.mu.Lock()
	defer s.mu.Unlock()
	p.ended = ended
	if p.ended {
		ts.refused = true
	}
	ts.proof = nil
	close(p.done)
}

// ended notes that the life of an upstream ended while it ran the work, of which so many events had come from there.
func (s *Relay) ended(w quarantine.Work, life ident.Incarnation, events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	tell := s.Quarantine.Ended(now, w, quarantine.EndOf(life))
	s.noteHeld(now, &tell, netip.AddrPort{})
	if len(tell.Ends) >= tellEnds || events <= tellEvents {
		s.tellWork(&tell)
		return
	}
	s.tellByTurns()
}

// noteHeld passes on that the work of a report is held, if it is; the mutex is held.
func (s *Relay) noteHeld(now time.Time, n *quarantine.Report, from netip.AddrPort) {
	if left := s.Quarantine.Held(now, n.Work()); left > 0 {
		s.Note(&Holding{*n, left, from})
	}
}

// tellWork tells all entries of one work; the mutex is held.
func (s *Relay) tellWork(n *quarantine.Report) {
	s.Tell(News{Work: n}, nil)
	s.tellByTurns()
}

// HearWork takes what another entry, or the leader, knows of works.
func (s *Relay) HearWork(list []quarantine.Report, from netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range list {
		s.hearWork(&list[i], from)
	}
}

// hearWork takes what somebody else knows of one work; the mutex is held.
func (s *Relay) hearWork(n *quarantine.Report, from netip.AddrPort) {
	now := s.Now()
	if !s.Quarantine.Hear(now, n) {
		return
	}
	s.noteHeld(now, n, from)
	s.tellByTurns()
}

// tellByTurns begins to tell other entries again and again, as long as there is something to tell; the mutex is held.
func (s *Relay) tellByTurns() {
	if s.telling {
		return
	}
	s.telling = true
	time.AfterFunc(tellAgain, s.tellOne)
}

// tellOne tells one other entry of some works.
func (s *Relay) tellOne() {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.Quarantine.ToTell(s.Now(), tellWorks)
	s.telling = len(list) > 0
	if !s.telling {
		return
	}
	time.AfterFunc(tellAgain, s.tellOne)
	if s.entries == nil {
		return
	}
	others := s.entries.Others()
	if len(others) == 0 {
		return
	}
	to := []string{others[s.Draw(len(others))]}
	for i := range list {
		s.Tell(News{Work: &list[i]}, to)
	}
}
