package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/dunlinquay/dunlinquay/engine"
	"github.com/dunlinquay/dunlinquay/fleet"
	"github.com/dunlinquay/dunlinquay/ident"
	"github.com/dunlinquay/dunlinquay/presence"
	"github.com/dunlinquay/dunlinquay/result"
)

// probes watches this daemon's share of the upstreams; the leader also looks itself at those that seem absent.
type probes struct {
	d *Daemon

	mu   sync.Mutex
	seen map[ident.VM]sighting
	busy map[ident.VM]bool

	// mine is this daemon's share among live for the VMs of revision at; only run uses it.
	mine []watched
	live []presence.Watcher
	at   ident.Revision
}

type sighting struct {
	at time.Time
	presence.Observation
}

// maxProbes bounds the probes on their way at once.
const maxProbes = 512

func newProbes(d *Daemon) *probes {
	return &probes{d: d, seen: map[ident.VM]sighting{}, busy: map[ident.VM]bool{}}
}

func (p *probes) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	every(ctx, p.d.cfg.Times.Probe.Std(), func() {
		for _, v := range p.share() {
			if !p.begin(v.name) {
				continue
			}
			wg.Go(func() {
				defer p.end(v.name)
				p.probe(ctx, v)
			})
		}
	})
}

type watched struct {
	name    ident.VM
	address string
}

// share returns the VMs that this daemon has to watch now.
func (p *probes) share() []watched {
	now := p.d.now()
	p.divide(p.watchers(now))
	if p.d.control == nil || !p.d.control.leads() {
		return p.mine
	}
	list := slices.Clone(p.mine)
	p.d.machine.Read(func(s *fleet.State) {
		for name, v := range s.VMs {
			// One that is in the list already is being probed when its second turn comes.
			if v.Listing != fleet.ListingGone && p.d.leader.Detector.Absent(now, v) {
				list = append(list, watched{name, v.Address})
			}
		}
	})
	return list
}

// divide works out the share anew when the VMs or the live daemons have changed, which is seldom beside the probes.
func (p *probes) divide(live []presence.Watcher) {
	p.d.machine.Read(func(s *fleet.State) {
		if p.at == s.Revision && slices.Equal(p.live, live) {
			return
		}
		p.at, p.live, p.mine = s.Revision, live, nil
		for name, v := range s.VMs {
			if v.Listing != fleet.ListingGone && slices.Contains(presence.Watchers(name, v.Hall, live), p.d.cfg.Name) {
				p.mine = append(p.mine, watched{name, v.Address})
			}
		}
	})
}

func (p *probes) watchers(now time.Time) []presence.Watcher {
	var live []presence.Watcher
	for _, peer := range p.d.members.Live(now) {
		live = append(live, presence.Watcher{Name: peer.Name, Hall: peer.Hall})
	}
	return live
}

func (p *probes) begin(name ident.VM) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[name] || len(p.busy) >= maxProbes {
		return false
	}
	p.busy[name] = true
	return true
}

func (p *probes) end(name ident.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, name)
}

func (p *probes) probe(ctx context.Context, v watched) {
	ctx, cancel := context.WithTimeout(ctx, p.d.cfg.Times.PresenceBound.Std())
	defer cancel()
	// The age counts from the question: the answer may have been true only then.
	asked := p.d.now()
	state, err := p.d.engines.State(ctx, v.address)
	if ctx.Err() != nil && err != nil && result.CodeOf(err) == result.Cancelled {
		return
	}
	o := observation(v.name, &state, err)
	p.mu.Lock()
	p.seen[v.name] = sighting{asked, o}
	p.mu.Unlock()
	p.d.table.Observe(asked, []presence.Observation{o})
}

func observation(name ident.VM, state *engine.State, err error) presence.Observation {
	switch {
	case err == nil:
		return presence.Observation{
			VM: name, Sight: presence.ProbeAnswered, Incarnation: state.Incarnation, Group: state.Group, Epoch: state.Epoch,
			Leaving: state.Leaving, Slots: state.Slots, Running: state.Running, Queued: state.Queued,
		}
	case result.CodeOf(err) == result.NeverSent:
		return presence.Observation{VM: name, Sight: presence.ProbeRefused}
	}
	return presence.Observation{VM: name, Sight: presence.ProbeTimedOut}
}

// newest returns the sightings that are young enough to matter, with their ages; older ones are forgotten.
func (p *probes) newest(now time.Time) []presence.Observation {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []presence.Observation
	for name, s := range p.seen {
		age := now.Sub(s.at)
		if age > p.d.cfg.Times.LossBound.Std() {
			delete(p.seen, name)
			continue
		}
		o := s.Observation
		o.Age = age.Milliseconds()
		list = append(list, o)
	}
	return list
}
