package daemon

// All daemons together keep to the limits that upstreams name: the one that
// coordinates an upstream lets each request go, and is asked over the peers'
// connections. What upstreams say of their limits goes with the beats.

import (
	"context"
	"time"

	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/peer"
	"github.com/dunlinquay/dunlinquay/ratelimit"
	"github.com/dunlinquay/dunlinquay/result"
	"github.com/dunlinquay/dunlinquay/sharing"
)

const (
	// permitTimeout bounds a question to a coordinator; the limiter waits for less.
	permitTimeout = 200 * time.Millisecond
	// maxLimitsPerBeat bounds the limits that a beat tells of, removedLimitRetention is how long the end of one is told.
	maxLimitsPerBeat      = 64
	removedLimitRetention = 5 * time.Second
)

// buildLimits lets the dispatcher keep to limits together with the other daemons.
func (d *Daemon) buildLimits() {
	dispatcher := d.dispatch
	totalDaemons := len(d.cfg.Peers) + 1
	d.coordinators = &ratelimit.Coordinators{Now: d.now, TotalEntries: totalDaemons, MayCoordinate: func() bool { return 2*len(d.daemons.Live(d.now())) > totalDaemons }}
	dispatcher.Limits.Now, dispatcher.Limits.Coordinator, dispatcher.Limits.Send = d.now, d.coordinators.Of, d.requestPermit
	dispatcher.Services.TurnIn, d.routes.PermitIn = dispatcher.TurnIn, dispatcher.TurnIn
	dispatcher.LimitChanged = func(upstream string, current, previous ratelimit.Limit) {
		if !current.Limited() {
			d.Log.Info("upstream names no limit any more", "upstream", upstream, "was", previous.Rate, "was-since", previous.Since)
			return
		}
		d.Log.Info("upstream names a limit", "upstream", upstream, "limit", current.Rate, "was", previous.Rate)
	}
	dispatcher.LimitUnclear = func(upstream string, err error) {
		d.Log.Info("upstream names an unreadable limit", "upstream", upstream, "code", result.CodeOf(err), "error", result.Message(err))
	}
	d.engineClient.Heard, d.engineClient.Now = dispatcher.HeardLimit, d.now
}

// updateCoordinators tells who is alive of the daemons that may coordinate upstreams; it belongs to the loop of beats.
func (d *Daemon) updateCoordinators() {
	var names []string
	for _, p := range d.daemons.Live(d.now()) {
		names = append(names, string(p.Name))
	}
	entries := sharing.New(string(d.cfg.Name), map[ident.Hall][]string{d.cfg.Hall: names})
	if d.coordinatorEntries == nil || entries.Total() != d.coordinatorEntries.Total() || entries.AddsTo(d.coordinatorEntries) {
		d.coordinators.SetEntries(entries)
		d.coordinatorEntries = entries
	}
}

// requestPermit sends a question to the daemon that coordinates an upstream.
func (d *Daemon) requestPermit(to string, request *ratelimit.PermitRequest[string]) {
	client := d.peers[ident.Daemon(to)]
	if client == nil {
		return
	}
	go func() {
		reply, err := client.Permit(context.Background(), permitTimeout, &peer.PermitCall{From: d.cfg.Name, Question: *request})
		// Without an answer the limiter goes on by itself, and counts that.
		if err == nil && reply.Known {
			d.dispatch.Limits.HandleReply(&reply.Answer)
		}
	}()
}

// handlePermit answers another daemon's question.
func (d *Daemon) handlePermit(call *peer.PermitCall) peer.PermitReply {
	answer, ok := d.dispatch.Limits.HandleRequest(&call.Question, string(call.From))
	if !ok {
		return peer.PermitReply{}
	}
	return peer.PermitReply{Known: true, Answer: *answer}
}

// limitsForBeat returns what this daemon knows of limits.
func (d *Daemon) limitsForBeat(now time.Time) []peer.Limit {
	var sent []peer.Limit
	limits := d.dispatch.Limits
	limits.Table.Each(func(upstream string, limit ratelimit.Limit) {
		age := now.Sub(limit.LastSeen)
		if len(sent) < maxLimitsPerBeat && (limit.Limited() || age < removedLimitRetention) {
			sent = append(sent, peer.Limit{Upstream: upstream, Rate: limit.Rate, Age: age, Own: limit.Direct})
		}
	})
	for i := range sent {
		_, sent[i].Apart = limits.Stats(sent[i].Upstream)
	}
	return sent
}

// mergeLimits takes what another daemon knows of limits, and how many take their own parts.
func (d *Daemon) mergeLimits(now time.Time, beat *peer.Beat) {
	localShareUsed := map[string]bool{}
	for i := range beat.Limits {
		limit := &beat.Limits[i]
		if limit.Own {
			d.dispatch.Limits.Table.Merge(limit.Upstream, limit.Rate, now.Add(-max(0, limit.Age)))
		}
		if limit.Apart {
			localShareUsed[limit.Upstream] = true
		}
	}
	d.dispatch.Limits.MergeLocalShares(string(beat.From), localShareUsed)
}
