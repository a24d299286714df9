package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/peer"
	"github.com/dunlinquay/dunlinquay/presence"
	"github.com/dunlinquay/dunlinquay/quarantine"
	"github.com/dunlinquay/dunlinquay/quorum"
	"github.com/dunlinquay/dunlinquay/result"
)

// leaders is the newest word on who leads which instance.
type leaders struct {
	byInstance [instanceCount]ident.Daemon
}

func (d *Daemon) handlers() *peer.Handlers {
	return &peer.Handlers{
		Deliver: func(c *peer.DeliverCall) {
			if d.control != nil {
				d.control.deliver(c.Messages)
			}
		},
		Beat:   d.handleBeat,
		Follow: d.handleFollow,
		Permit: d.handlePermit,
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
		d.seat()
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
		Demands: d.gate.Demands(), Held: d.dispatch.Quarantine.ToSend(d.now(), heldTold),
		Limits: d.limitsToTell(d.now()),
	}
}

// answerSelf counts this control member among those that know what is in force.
func (d *Daemon) answerSelf() {
	if d.control == nil || !d.control.current() {
		return
	}
	d.force.answered(d.cfg.Name, d.now(), d.machine.Revision())
	d.learnLeaders(d.control.leaders())
}

// hear takes a beat, another daemon's or the own one.
func (d *Daemon) hear(b *peer.Beat) {
	now := d.now()
	d.members.Update(presence.Peer{
		Name: b.From, Hall: b.Hall, Incarnation: b.Incarnation, Revision: b.Revision, LastContact: now,
		Stopping: b.Stopping, InFlight: b.InFlight,
	})
	d.table.Observe(now, b.Observations)
	d.shares.report(b.From, b.Demands)
	if b.From != d.cfg.Name {
		d.hearHeld(now, b)
		d.hearLimits(now, b)
	}
}

// heldTold bounds the works that a beat tells of, by turns; one takes 26 to 98 bytes in CBOR with a short name of the customer.
const heldTold = 16

// hearHeld takes what another daemon knows of works under which upstreams ended.
func (d *Daemon) hearHeld(now time.Time, b *peer.Beat) {
	for i := range b.Held {
		r := &b.Held[i]
		if !d.dispatch.Quarantine.Merge(now, r) {
			continue
		}
		if left := d.dispatch.Quarantine.Remaining(now, r.Fingerprint()); left > 0 {
			d.logHeld(r, left, b.From)
		}
	}
}

// logHeld logs that work is held, and who told of it.
func (d *Daemon) logHeld(r *quarantine.Report, left time.Duration, from ident.Daemon) {
	d.Log.Info("work held", "customer", r.Customer, "content", r.Content.String(), "ends", len(r.Ends), "for-ms", left.Milliseconds(), "from", from)
}

func (d *Daemon) handleBeat(b *peer.Beat) peer.BeatReply {
	d.hear(b)
	reply := peer.BeatReply{Incarnation: d.incarnation, Revision: d.machine.Revision()}
	if d.control == nil {
		return reply
	}
	reply.Current = d.control.current()
	reply.Leaders = d.control.leaders()
	if d.control.leads() {
		reply.Shares = d.shares.grant(d.now(), b.From)
	}
	return reply
}

func (d *Daemon) takeReply(name ident.Daemon, sent time.Time, reply *peer.BeatReply) {
	if !reply.Current {
		return
	}
	d.force.answered(name, sent, reply.Revision)
	d.learnLeaders(reply.Leaders)
	if reply.Shares != nil {
		// The lease runs from the question, which came before the leader counted it.
		d.shares.take(sent, reply.Shares)
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
