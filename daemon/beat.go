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

// knownLeaders holds the leader of each quorum instance as last reported.
type knownLeaders struct {
	byInstance [instanceCount]ident.Daemon
}

func (d *Daemon) handlers() *peer.Handlers {
	return &peer.Handlers{
		Deliver: func(call *peer.DeliverCall) {
			if d.control != nil {
				d.control.deliver(call.Messages)
			}
		},
		Beat:   d.handleBeat,
		Follow: d.handleFollow,
		Permit: d.handlePermit,
		Propose: func(call *peer.ProposeCall) peer.ProposeReply {
			if d.control == nil {
				return peer.ProposeReply{Code: result.NoLeader, Text: "not a control member"}
			}
			ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
			defer cancel()
			return d.control.proposeLocally(ctx, call)
		},
		Hello: func() (peer.HelloReply, error) {
			if d.control == nil {
				return peer.HelloReply{}, result.New(result.PeerRefused, "not a control member")
			}
			return d.control.hello(), nil
		},
		Admit: func(call *peer.AdmitCall) peer.AdmitReply {
			if d.control == nil {
				return peer.AdmitReply{Code: result.NoLeader, Text: "not a control member"}
			}
			ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
			defer cancel()
			return d.control.admitMember(ctx, call)
		},
	}
}

// beatLoop sends this daemon's state to every other daemon and applies their replies.
func (d *Daemon) beatLoop(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var callsInProgress sync.Map
	runEvery(ctx, d.cfg.Times.Beat.Std(), func() {
		beat := d.newBeat()
		d.receiveBeat(beat)
		d.updateCoordinators()
		d.shares.refresh()
		d.noteOwnRevision()
		for name, client := range d.peers {
			// An unresponsive peer must neither delay beats to others nor accumulate calls.
			if _, running := callsInProgress.LoadOrStore(name, true); running {
				continue
			}
			wg.Go(func() {
				defer callsInProgress.Delete(name)
				sentAt := d.now()
				reply, err := client.Beat(ctx, callTimeout, beat)
				if err == nil {
					d.applyBeatReply(name, sentAt, &reply)
				}
			})
		}
	})
}

func (d *Daemon) newBeat() *peer.Beat {
	return &peer.Beat{
		From: d.cfg.Name, Hall: d.cfg.Hall, Incarnation: d.incarnation, Revision: d.applied.revision(),
		Stopping: d.stopping.Load(), Observations: d.prober.recent(d.now()), InFlight: d.applied.inFlight(),
		Demands: d.admission.TakeDemands(), Held: d.dispatch.Quarantine.ToSend(d.now(), maxQuarantineReportsPerBeat),
		Limits: d.limitsForBeat(d.now()),
	}
}

// noteOwnRevision counts this control member's own revision like another member's reply to a beat.
func (d *Daemon) noteOwnRevision() {
	if d.control == nil || !d.control.knowsCommitted() {
		return
	}
	d.freshness.noteReply(d.cfg.Name, d.now(), d.fleet.Revision())
	d.updateLeaders(d.control.leaders())
}

// receiveBeat applies a beat, another daemon's or this one's own.
func (d *Daemon) receiveBeat(beat *peer.Beat) {
	now := d.now()
	d.daemons.Update(presence.Peer{
		Name: beat.From, Hall: beat.Hall, Incarnation: beat.Incarnation, Revision: beat.Revision, LastContact: now,
		Stopping: beat.Stopping, InFlight: beat.InFlight,
	})
	d.vmTable.Observe(now, beat.Observations)
	d.shares.reportDemands(beat.From, beat.Demands)
	if beat.From != d.cfg.Name {
		d.mergeQuarantineReports(now, beat)
		d.mergeLimits(now, beat)
	}
}

// maxQuarantineReportsPerBeat bounds the reports in one beat; successive beats carry different ones in rotation. A report
// is 26 to 98 bytes in CBOR with a short customer name.
const maxQuarantineReportsPerBeat = 16

// mergeQuarantineReports merges another daemon's evidence about request fingerprints under which upstreams crashed.
func (d *Daemon) mergeQuarantineReports(now time.Time, beat *peer.Beat) {
	for i := range beat.Held {
		report := &beat.Held[i]
		if !d.dispatch.Quarantine.Merge(now, report) {
			continue
		}
		if remaining := d.dispatch.Quarantine.Remaining(now, report.Fingerprint()); remaining > 0 {
			d.logQuarantined(report, remaining, beat.From)
		}
	}
}

// logQuarantined logs that a request fingerprint is quarantined, and which daemon reported it.
func (d *Daemon) logQuarantined(report *quarantine.Report, remaining time.Duration, from ident.Daemon) {
	d.Log.Info("work quarantined", "customer", report.Customer, "content", report.Content.String(), "part", report.Part, "ends", len(report.Ends),
		"for-ms", remaining.Milliseconds(), "from", from)
}

func (d *Daemon) handleBeat(beat *peer.Beat) peer.BeatReply {
	d.receiveBeat(beat)
	reply := peer.BeatReply{Incarnation: d.incarnation, Revision: d.fleet.Revision()}
	if d.control == nil {
		return reply
	}
	reply.Current = d.control.knowsCommitted()
	reply.Leaders = d.control.leaders()
	if d.control.leads() {
		reply.Shares = d.shares.grant(d.now(), beat.From)
	}
	return reply
}

func (d *Daemon) applyBeatReply(name ident.Daemon, sentAt time.Time, reply *peer.BeatReply) {
	if !reply.Current {
		return
	}
	d.freshness.noteReply(name, sentAt, reply.Revision)
	d.updateLeaders(reply.Leaders)
	if reply.Shares != nil {
		// The lease starts when the call was sent, which is before the leader starts it on its side.
		d.shares.apply(sentAt, reply.Shares)
	}
}

// updateLeaders records reported leaders; an outdated one only costs a call that the other daemon refuses.
func (d *Daemon) updateLeaders(reported map[quorum.Instance]ident.Daemon) {
	next := *d.leaders.Load()
	for i, name := range reported {
		if i < instanceCount && name != "" {
			next.byInstance[i] = name
		}
	}
	d.leaders.Store(&next)
}
