package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/admission"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/peer"
	"github.com/dunlinquay/dunlinquay/presence"
	"github.com/dunlinquay/dunlinquay/quorum"
	"github.com/dunlinquay/dunlinquay/result"
)

// leaders is the newest word on who leads which instance.
type leaders struct {
	byInstance [instanceCount]ident.Daemon
}

const (
	followWait    = 2 * time.Second
	followTimeout = 4 * time.Second
	followBatch   = 1024
	followRetry   = 100 * time.Millisecond
	maxFollowWait = 10 * time.Second
)

func (d *Daemon) handlers() *peer.Handlers {
	return &peer.Handlers{
		Deliver: func(c *peer.DeliverCall) {
			if d.control != nil {
				d.control.deliver(c.Messages)
			}
		},
		Beat:   d.handleBeat,
		Follow: d.handleFollow,
		Propose: func(c *peer.ProposeCall) peer.ProposeReply {
			if d.control == nil {
				return peer.ProposeReply{Code: result.NoLeader, Text: "not a control member"}
			}
			ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
			defer cancel()
			return d.control.propose(ctx, c)
		},
		Hello: func() (peer.HelloReply, error) {
			if d.control == nil {
				return peer.HelloReply{}, result.New(result.PeerRefused, "not a control member")
			}
			return d.control.hello(), nil
		},
		Admit: func(c *peer.AdmitCall) peer.AdmitReply {
			if d.control == nil {
				return peer.AdmitReply{Code: result.NoLeader, Text: "not a control member"}
			}
			ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
			defer cancel()
			return d.control.admit(ctx, c)
		},
	}
}

// beatLoop tells every other daemon how this one is, and hears of them in turn.
func (d *Daemon) beatLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var busy sync.Map
	every(ctx, d.cfg.Times.Beat.Std(), func() {
		b := d.beat()
		d.hear(b)
		d.shares.refresh()
		d.answerSelf()
		for name, client := range d.peers {
			// A peer that does not answer must not hold up the beats to the others, nor collect them.
			if _, running := busy.LoadOrStore(name, true); running {
				continue
			}
			wg.Go(func() {
				defer busy.Delete(name)
				sent := d.now()
				reply, err := client.Beat(ctx, callTimeout, b)
				if err == nil {
					d.takeReply(name, sent, &reply)
				}
			})
		}
	})
}

func (d *Daemon) beat() *peer.Beat {
	return &peer.Beat{
		From: d.cfg.Name, Hall: d.cfg.Hall, Incarnation: d.incarnation, Revision: d.view.revision(),
		Stopping: d.stopping.Load(), Observations: d.probes.newest(d.now()), InFlight: d.view.inFlight(),
		Demands: d.gate.Demands(),
	}
}

// answerSelf counts this control member among those that know what is in force.
func (d *Daemon) answerSelf() {
	if d.control == nil || !d.control.formed() {
		return
	}
	d.force.answered(d.cfg.Name, d.now(), d.machine.Revision())
	d.learnLeaders(d.control.leaders())
}

// hear takes a beat, another daemon's or the own one.
func (d *Daemon) hear(b *peer.Beat) {
	now := d.now()
	d.members.Hear(presence.Peer{
		Name: b.From, Hall: b.Hall, Incarnation: b.Incarnation, Revision: b.Revision, Heard: now,
		Stopping: b.Stopping, InFlight: b.InFlight,
	})
	d.table.Observe(now, b.Observations)
	d.shares.report(b.From, b.Demands)
}

func (d *Daemon) handleBeat(b *peer.Beat) peer.BeatReply {
	d.hear(b)
	reply := peer.BeatReply{Incarnation: d.incarnation, Revision: d.machine.Revision()}
	if d.control == nil {
		return reply
	}
	reply.Control = true
	reply.Formed = d.control.formed()
	reply.Leaders = d.control.leaders()
	if d.control.leads() {
		reply.Shares = d.shares.grant(d.now(), b.From)
	}
	return reply
}

func (d *Daemon) takeReply(name ident.Daemon, sent time.Time, reply *peer.BeatReply) {
	if !reply.Control || !reply.Formed {
		return
	}
	d.force.answered(name, sent, reply.Revision)
	d.learnLeaders(reply.Leaders)
	if reply.Shares != nil {
		d.shares.take(d.now(), reply.Shares)
	}
}

// learnLeaders keeps the newest word; a wrong one only costs a call that is refused.
func (d *Daemon) learnLeaders(known map[quorum.Instance]ident.Daemon) {
	next := *d.leaders.Load()
	for i, name := range known {
		if i < instanceCount && name != "" {
			next.byInstance[i] = name
		}
	}
	d.leaders.Store(&next)
}

// handleFollow answers a daemon that keeps up with the log.
func (d *Daemon) handleFollow(c *peer.FollowCall) (peer.FollowReply, error) {
	if d.control == nil || !d.control.formed() {
		return peer.FollowReply{}, result.New(result.PeerRefused, "not a formed control member")
	}
	changed := d.machine.Changed()
	entries, ok := d.machine.Since(c.After, followBatch)
	if ok && len(entries) == 0 {
		timer := time.NewTimer(min(time.Duration(c.WaitMillis)*time.Millisecond, maxFollowWait))
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		}
		entries, ok = d.machine.Since(c.After, followBatch)
	}
	reply := peer.FollowReply{Entries: entries, Revision: d.machine.Revision()}
	if ok {
		return reply, nil
	}
	snapshot, err := d.machine.Snapshot()
	reply.Snapshot = snapshot
	return reply, err
}

// followLoop keeps a daemon without the control role at the newest revision, from one control member at a time,
// those of its own hall first.
func (d *Daemon) followLoop(ctx context.Context) {
	sources := d.followSources()
	for n := 0; ctx.Err() == nil; {
		if err := d.followOnce(ctx, sources[n%len(sources)]); err != nil {
			n++
			sleep(ctx, followRetry)
		}
	}
}

func (d *Daemon) followSources() []ident.Daemon {
	var near, far []ident.Daemon
	for _, name := range d.cfg.ControlMembers {
		if d.hallOf(name) == d.cfg.Hall {
			near = append(near, name)
		} else {
			far = append(far, name)
		}
	}
	return append(near, far...)
}

func (d *Daemon) hallOf(name ident.Daemon) ident.Hall {
	for _, p := range d.cfg.Peers {
		if p.Name == name {
			return p.Hall
		}
	}
	return d.cfg.Hall
}

func (d *Daemon) followOnce(ctx context.Context, source ident.Daemon) error {
	call := &peer.FollowCall{After: d.machine.Revision(), WaitMillis: followWait.Milliseconds()}
	reply, err := d.peers[source].Follow(ctx, followTimeout, call)
	if err != nil {
		return err
	}
	if reply.Snapshot != nil {
		if err := d.machine.Restore(reply.Revision, reply.Snapshot); err != nil {
			return err
		}
	}
	for _, e := range reply.Entries {
		d.machine.Apply(e.Revision, e.Data)
	}
	d.machine.Notify()
	if len(reply.Entries) == 0 && d.machine.Revision() < d.force.newest() {
		// This member is behind the others; the next source may not be.
		return result.New(result.MemberBehind, "%s is behind", source)
	}
	return nil
}

// shares is this daemon's part of its customers' limits, and as leader the division among all daemons.
type shares struct {
	d *Daemon

	mu        sync.Mutex
	allotment *admission.Allotment
	leased    map[ident.Customer]admission.Share
	until     time.Time
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

// grant divides every limit for one daemon, as leader.
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
		s.take(now, s.grant(now, s.d.cfg.Name))
		return
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
