package daemon

// All daemons together keep to the rate limits that upstreams advertise. The
// daemon that coordinates an upstream grants a permit for each request; the
// others request permits over the peer connections. Beats carry the limits that
// daemons have seen.

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
	// permitTimeout bounds a call to a coordinator; the limiter gives up earlier.
	permitTimeout    = 200 * time.Millisecond
	maxLimitsPerBeat = 64
	// removedLimitRetention is how long beats report that an upstream no longer has a limit.
	removedLimitRetention = 5 * time.Second
)

// buildLimits connects the dispatcher's rate limiter to the other daemons.
func (d *Daemon) buildLimits() {
	dispatcher := d.dispatch
	totalDaemons := len(d.cfg.Peers) + 1
	d.coordinators = &ratelimit.Coordinators{Now: d.now, TotalEntries: totalDaemons, MayCoordinate: func() bool { return 2*len(d.daemons.Live(d.now())) > totalDaemons }}
	dispatcher.Limits.Now, dispatcher.Limits.Coordinator, dispatcher.Limits.Send = d.now, d.coordinators.Of, d.requestPermit
	dispatcher.Services.PermitIn, d.routes.PermitIn = dispatcher.PermitIn, dispatcher.PermitIn
	dispatcher.LimitChanged = func(upstream string, current, previous ratelimit.Limit) {
		if !current.Limited() {
			d.Log.Info("upstream removed its limit", "upstream", upstream, "was", previous.Rate, "was-since", previous.Since)
			return
		}
		d.Log.Info("upstream set a limit", "upstream", upstream, "limit", current.Rate, "was", previous.Rate)
	}
	dispatcher.LimitUnreadable = func(upstream string, err error) {
		d.Log.Info("upstream sent an unreadable limit", "upstream", upstream, "code", result.CodeOf(err), "error", result.Message(err))
	}
	d.engineClient.OnResponse, d.engineClient.Now = dispatcher.ApplyLimit, d.now
}

// updateCoordinators assigns coordinators among the live daemons; only beatLoop calls it.
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

// requestPermit requests a permit from the daemon that coordinates the upstream, without waiting for the reply.
func (d *Daemon) requestPermit(to string, request *ratelimit.PermitRequest[string]) {
	client := d.peers[ident.Daemon(to)]
	if client == nil {
		return
	}
	go func() {
		reply, err := client.Permit(context.Background(), permitTimeout, &peer.PermitCall{From: d.cfg.Name, Question: *request})
		// Without a reply the limiter decides by itself and counts the request as unanswered.
		if err == nil && reply.Known {
			d.dispatch.Limits.HandleReply(&reply.Answer)
		}
	}()
}

// handlePermit answers another daemon's permit request; Known stays false if the upstream's coordinator is unknown here.
func (d *Daemon) handlePermit(call *peer.PermitCall) peer.PermitReply {
	answer, ok := d.dispatch.Limits.HandleRequest(&call.Question, string(call.From))
	if !ok {
		return peer.PermitReply{}
	}
	return peer.PermitReply{Known: true, Answer: *answer}
}

// limitsForBeat returns the limits that this daemon knows, at most maxLimitsPerBeat.
func (d *Daemon) limitsForBeat(now time.Time) []peer.Limit {
	var limits []peer.Limit
	limiter := d.dispatch.Limits
	limiter.Table.Each(func(upstream string, limit ratelimit.Limit) {
		age := now.Sub(limit.LastSeen)
		if len(limits) < maxLimitsPerBeat && (limit.Limited() || age < removedLimitRetention) {
			limits = append(limits, peer.Limit{Upstream: upstream, Rate: limit.Rate, Age: age, Own: limit.Direct})
		}
	})
	for i := range limits {
		_, limits[i].Apart = limiter.Stats(limits[i].Upstream)
	}
	return limits
}

// mergeLimits merges the limits that another daemon has seen, and records for which it uses its local share.
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
