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
	// limitsTold bounds the limits that a beat tells of, limitEnded is how long the end of one is told.
	limitsTold = 64
	limitEnded = 5 * time.Second
)

// buildLimits lets the dispatcher keep to limits together with the other daemons.
func (d *Daemon) buildLimits() {
	x := d.dispatch
	all := len(d.cfg.Peers) + 1
	d.seats = &ratelimit.Coordinators{Now: d.now, TotalEntries: all, MayCoordinate: func() bool { return 2*len(d.members.Live(d.now())) > all }}
	x.Limits.Now, x.Limits.Coordinator, x.Limits.Send = d.now, d.seats.Of, d.askPermit
	x.Services.TurnIn, d.routes.PermitIn = x.TurnIn, x.TurnIn
	x.LimitChanged = func(upstream string, now, was ratelimit.Limit) {
		if !now.Limited() {
			d.Log.Info("upstream names no limit any more", "upstream", upstream, "was", was.Rate, "was-since", was.Since)
			return
		}
		d.Log.Info("upstream names a limit", "upstream", upstream, "limit", now.Rate, "was", was.Rate)
	}
	x.LimitUnclear = func(upstream string, err error) {
		d.Log.Info("upstream names an unreadable limit", "upstream", upstream, "code", result.CodeOf(err), "error", result.Message(err))
	}
	d.engines.Heard, d.engines.Now = x.HeardLimit, d.now
}

// seat tells who is alive of the daemons that may coordinate upstreams; it belongs to the loop of beats.
func (d *Daemon) seat() {
	var names []string
	for _, p := range d.members.Live(d.now()) {
		names = append(names, string(p.Name))
	}
	entries := sharing.New(string(d.cfg.Name), map[ident.Hall][]string{d.cfg.Hall: names})
	if d.seated == nil || entries.Total() != d.seated.Total() || entries.AddsTo(d.seated) {
		d.seats.SetEntries(entries)
		d.seated = entries
	}
}

// askPermit sends a question to the daemon that coordinates an upstream.
func (d *Daemon) askPermit(to string, q *ratelimit.PermitRequest[string]) {
	client := d.peers[ident.Daemon(to)]
	if client == nil {
		return
	}
	go func() {
		reply, err := client.Permit(context.Background(), permitTimeout, &peer.PermitCall{From: d.cfg.Name, Question: *q})
		// Without an answer the limiter goes on by itself, and counts that.
		if err == nil && reply.Known {
			d.dispatch.Limits.HandleReply(&reply.Answer)
		}
	}()
}

// handlePermit answers another daemon's question.
func (d *Daemon) handlePermit(c *peer.PermitCall) peer.PermitReply {
	a, ok := d.dispatch.Limits.HandleRequest(&c.Question, string(c.From))
	if !ok {
		return peer.PermitReply{}
	}
	return peer.PermitReply{Known: true, Answer: *a}
}

// limitsToTell returns what this daemon knows of limits.
func (d *Daemon) limitsToTell(now time.Time) []peer.Limit {
	var list []peer.Limit
	limits := d.dispatch.Limits
	limits.Table.Each(func(upstream string, w ratelimit.Limit) {
		age := now.Sub(w.LastSeen)
		if len(list) < limitsTold && (w.Limited() || age < limitEnded) {
			list = append(list, peer.Limit{Upstream: upstream, Rate: w.Rate, Age: age, Own: w.Direct})
		}
	})
	for i := range list {
		_, list[i].Apart = limits.Stats(list[i].Upstream)
	}
	return list
}

// hearLimits takes what another daemon knows of limits, and how many take their own parts.
func (d *Daemon) hearLimits(now time.Time, b *peer.Beat) {
	apart := map[string]bool{}
	for i := range b.Limits {
		l := &b.Limits[i]
		if l.Own {
			d.dispatch.Limits.Table.Merge(l.Upstream, l.Rate, now.Add(-max(0, l.Age)))
		}
		if l.Apart {
			apart[l.Upstream] = true
		}
	}
	d.dispatch.Limits.MergeLocalShares(string(b.From), apart)
}
